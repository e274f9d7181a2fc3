"""
What to do about each refusal that a caller can be told.
"""

from typing import NamedTuple

from eelgrassdrum_core import refusals

ADVICE = {
    "not_ready": "Repeat it. If it lasts, see the instance's status and whether the log is up.",
    "stopping": "Repeat it; the balancer will choose another instance.",
    "unknown_queue": "Check the workspace and the queue against the document in force.",
    "key_required": "Send the team's key in X-Key, or use a queue that is open to all.",
    "key_refused": "Check the key with `keys list`; grant a new one if it was withdrawn.",
    "key_unverified": "Repeat it elsewhere; the team's grace_s says how long keys go on there.",
    "key_forbidden": "Grant a key for this queue; the one that came is for others.",
    "bad_request": "Mend the request; the message says what is wrong with it.",
    "body_too_large": "Send less, or raise the queue's max_bytes.",
    "queue_full": "Repeat it after retry_after_s; if it lasts, look at the pool of the service.",
    "overloaded": "Repeat it after retry_after_s; large bodies of others fill the instance.",
    "wait_too_long": "Repeat it after retry_after_s, or raise the queue's max_wait_s.",
    "limit_reached": "Repeat it after retry_after_s, or raise the team's limit.",
    "no_endpoint": "Repeat it; if it lasts, look at the pool of the service.",
    "outcome_unknown": "Repeat it under the same request id, which runs it no second time.",
    "run_timeout": "It may still be running. Ask `explain` with its id before a repeat.",
    "retries_spent": "Repeat it after retry_after_s; look for endpoints that cannot be reached.",
    "request_conflict": "Use a request id of your own for each request.",
    "held_elsewhere": "Repeat it after retry_after_s; the instance named holds the outcome.",
    "unresolved": "Repeat it under the same request id, or an id that names a zone in touch.",
}


class RefusalHelp(NamedTuple):
    """
    A refusal explained.
    """

    code: str
    status: int
    run_state: str
    meaning: str
    advice: str


def explain_code(name: str) -> RefusalHelp | None:
    """
    Explain a refusal by its code.

    :param name: the code, as in the ``error`` field of an answer.
    :returns: the explanation, or ``None`` when it is no code.
    """
    for code in refusals.ALL_CODES:
        if code.name == name:
            advice = ADVICE.get(name, "")
            return RefusalHelp(code.name, code.status, code.run_state, code.message, advice)
    return None
