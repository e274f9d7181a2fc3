"""
Advice on each refusal that a caller can receive.
"""

from typing import NamedTuple

from eelgrassdrum_core import refusals

ADVICE = {
    "not_ready": "Retry. If it persists, see the instance's status and whether the log is up.",
    "stopping": "Retry; the balancer will choose another instance.",
    "unknown_queue": "Check the workspace and the queue against the document in force.",
    "key_required": "Send the team's key in X-Key, or use a queue that is open to all.",
    "key_refused": "Check the key with `keys list`; grant a new one if it was withdrawn.",
    "key_unverified": (
        "Retry elsewhere; the team's grace_s sets how much longer an instance accepts keys "
        "when it cannot see withdrawals."
    ),
    "key_forbidden": "Grant a key for this queue; the one that was sent is for other queues.",
    "bad_request": "Correct the request; the message says what is wrong with it.",
    "body_too_large": "Send less, or raise the queue's max_bytes.",
    "queue_full": "Retry after retry_after_s; if it persists, look at the pool of the service.",
    "overloaded": "Retry after retry_after_s; large bodies of others use up its memory.",
    "wait_too_long": "Retry after retry_after_s, or raise the queue's max_wait_s.",
    "limit_reached": "Retry after retry_after_s, or raise the team's limit.",
    "no_endpoint": "Retry; if it persists, look at the pool of the service.",
    "outcome_unknown": "Retry with the same request id, which does not run it a second time.",
    "run_timeout": "It may still be running. Run `explain` with its id before a retry.",
    "retries_spent": "Retry after retry_after_s; look for endpoints that cannot be reached.",
    "request_conflict": "Use a separate request id for each request.",
    "held_elsewhere": "Retry after retry_after_s; the instance named holds the outcome.",
    "unresolved": "Retry with the same request id, or with an id that names a reachable zone.",
}


class RefusalHelp(NamedTuple):
    """
    The explanation of a refusal.
    """

    code: str
    status: int
    run_state: str
    meaning: str
    advice: str


def explain_code(name: str) -> RefusalHelp | None:
    """
    Explain a refusal by its code.

    :param name: the code, as in the ``error`` field of a response.
    :returns: the explanation, or ``None`` when the code is unknown.
    """
    for code in refusals.ALL_CODES:
        if code.name == name:
            advice = ADVICE.get(name, "")
            return RefusalHelp(code.name, code.status, code.run_state, code.message, advice)
    return None
