"""
Requests that ended lately, so that operators can ask what became of one.
"""

from collections import OrderedDict
from typing import NamedTuple

import msgspec

MAX_REQUESTS = 4096


class EndedRequest(NamedTuple):
    """
    What became of a request.

    :param request_id: the caller's id.
    :param queue: ``WORKSPACE/QUEUE``.
    :param state: ``answered`` or ``refused``.
    :param status: HTTP status that the caller got.
    :param attempt: id of the attempt whose answer was given, or empty.
    :param error: code of the refusal, or empty.
    :param run_state: ``done``, ``not_run`` or ``unknown``.
    :param message: why it was refused, for people.
    :param ended_at_s: seconds since 1970.
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
    The newest ended requests by id, and how many ended in which way.
    """

    by_id: OrderedDict[str, EndedRequest] = msgspec.field(default_factory=OrderedDict)
    counts: dict[str, int] = msgspec.field(default_factory=dict)


def remember(recent: RecentRequests, ended: EndedRequest) -> None:
    """
    Keep what became of a request, and forget the oldest.

    :param recent: changed in place.
    :param ended: the request.
    """
    name = ended.error or ended.state
    recent.counts[name] = recent.counts.get(name, 0) + 1
    recent.by_id.pop(ended.request_id, None)
    recent.by_id[ended.request_id] = ended
    if len(recent.by_id) > MAX_REQUESTS:
        recent.by_id.popitem(last=False)
