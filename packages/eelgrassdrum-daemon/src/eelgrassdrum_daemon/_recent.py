"""
Bounded history of finished requests, so that operators can look up the outcome of one.
"""

from collections import OrderedDict
from typing import NamedTuple

import msgspec

MAX_REQUESTS = 4096


class EndedRequest(NamedTuple):
    """
    Outcome of a finished request.

    :param request_id: the caller's id.
    :param queue: ``WORKSPACE/QUEUE``.
    :param state: ``answered`` or ``refused``.
    :param status: HTTP status returned to the caller.
    :param attempt: id of the attempt whose response was returned, or empty.
    :param error: error code of the rejection, or empty.
    :param run_state: ``done``, ``not_run`` or ``unknown``.
    :param message: human-readable reason for the rejection.
    :param ended_at_s: seconds since the Unix epoch.
    """

    request_id: str
    queue: str
    state: str
    status: int
    attempt: str
    error: str
    run_state: str
    message: str
    ended_at_s: float


class RecentRequests(msgspec.Struct):
    """
    The newest finished requests by id, and counts by outcome.
    """

    by_id: OrderedDict[str, EndedRequest] = msgspec.field(default_factory=OrderedDict)
    counts: dict[str, int] = msgspec.field(default_factory=dict)


def record_ended_request(recent: RecentRequests, ended: EndedRequest) -> None:
    """
    Store the outcome of a request, and evict the oldest when the history is full.

    :param recent: changed in place.
    :param ended: outcome of the request.
    """
    name = ended.error or ended.state
    recent.counts[name] = recent.counts.get(name, 0) + 1
    recent.by_id.pop(ended.request_id, None)
    recent.by_id[ended.request_id] = ended
    if len(recent.by_id) > MAX_REQUESTS:
        recent.by_id.popitem(last=False)
