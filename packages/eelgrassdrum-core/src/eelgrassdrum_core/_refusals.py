"""
Refusals and failures that are reported to callers, each with a code.
"""

from typing import Literal, NamedTuple

RunState = Literal["not_run", "unknown"]
NOT_RUN: RunState = "not_run"
UNKNOWN: RunState = "unknown"


class RefusalCode(NamedTuple):
    """
    One kind of refusal.

    :param name: code in the ``error`` field of the response.
    :param status: HTTP status.
    :param run_state: ``not_run`` if the request certainly did not run, else ``unknown``.
    :param message: human-readable text.
    """

    name: str
    status: int
    run_state: RunState
    message: str


class Refusal(NamedTuple):
    """
    The refusal of one request.

    :param code: the kind of refusal.
    :param retry_after_s: seconds after which a retry is useful, or ``None`` if it never is.
    :param detail: additional human-readable text; contains nothing about other workspaces.
    """

    code: RefusalCode
    retry_after_s: float | None = None
    detail: str = ""


def for_repeat(refusal: Refusal) -> Refusal:
    """
    Return a refusal with an unknown run state, for a request that may have run in an earlier try.

    :param refusal: a refusal that describes only the current exchange.
    :returns: the refusal for a caller that may have sent the request before.
    """
    return refusal._replace(code=refusal.code._replace(run_state=UNKNOWN))


NOT_READY = RefusalCode("not_ready", 503, NOT_RUN, "this instance has no whole configuration yet")
STOPPING = RefusalCode("stopping", 503, NOT_RUN, "this instance is leaving; try again elsewhere")
UNKNOWN_QUEUE = RefusalCode("unknown_queue", 404, NOT_RUN, "there is no such queue for this key")
KEY_REQUIRED = RefusalCode("key_required", 401, NOT_RUN, "this queue needs a key")
KEY_REFUSED = RefusalCode("key_refused", 401, NOT_RUN, "the key is wrong, unknown or withdrawn")
KEY_UNVERIFIED = RefusalCode(
    "key_unverified", 503, NOT_RUN, "withdrawals cannot be seen from here, so no key is taken"
)
KEY_FORBIDDEN = RefusalCode("key_forbidden", 403, NOT_RUN, "the key does not open this queue")
BAD_REQUEST = RefusalCode("bad_request", 400, NOT_RUN, "the request is malformed")
BODY_TOO_LARGE = RefusalCode("body_too_large", 413, NOT_RUN, "the body is larger than allowed")
QUEUE_FULL = RefusalCode("queue_full", 503, NOT_RUN, "the queue is full")
OVERLOADED = RefusalCode("overloaded", 503, NOT_RUN, "this instance is out of memory for bodies")
RETRIES_SPENT = RefusalCode(
    "retries_spent", 503, NOT_RUN, "attempts did not start, and no more may be made now"
)
WAIT_TOO_LONG = RefusalCode("wait_too_long", 503, NOT_RUN, "the request could not start in time")
LIMIT_REACHED = RefusalCode("limit_reached", 429, NOT_RUN, "the team's upper limit is reached")
NO_ENDPOINT = RefusalCode("no_endpoint", 503, NOT_RUN, "no endpoint of the service can be reached")
OUTCOME_UNKNOWN = RefusalCode(
    "outcome_unknown", 502, UNKNOWN, "the request may have run, and its answer is lost"
)
RUN_TIMEOUT = RefusalCode("run_timeout", 504, UNKNOWN, "the request did not answer in time")
REQUEST_CONFLICT = RefusalCode(
    "request_conflict", 409, UNKNOWN, "another request has used this request id"
)
HELD_ELSEWHERE = RefusalCode(
    "held_elsewhere",
    409,
    UNKNOWN,
    "another instance has taken the request; its outcome is there",
)
UNRESOLVED = RefusalCode(
    "unresolved", 503, UNKNOWN, "instances that may know the request id cannot be reached"
)

ALL_CODES: tuple[RefusalCode, ...] = (
    NOT_READY,
    STOPPING,
    UNKNOWN_QUEUE,
    KEY_REQUIRED,
    KEY_REFUSED,
    KEY_UNVERIFIED,
    KEY_FORBIDDEN,
    BAD_REQUEST,
    BODY_TOO_LARGE,
    QUEUE_FULL,
    OVERLOADED,
    RETRIES_SPENT,
    WAIT_TOO_LONG,
    LIMIT_REACHED,
    NO_ENDPOINT,
    OUTCOME_UNKNOWN,
    RUN_TIMEOUT,
    REQUEST_CONFLICT,
    HELD_ELSEWHERE,
    UNRESOLVED,
)
