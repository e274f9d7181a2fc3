"""
Waiting requests of each service, ordered by weighted fair queueing over teams.
"""

from collections import deque
from collections.abc import Callable

import msgspec

from ._requests import Request


class TeamQueue(msgspec.Struct):
    """
    One team's waiting requests for one service.

    :param virtual_s: resource-time used so far, divided by the team's share.
    """

    urgent: deque[Request] = msgspec.field(default_factory=deque)
    normal: deque[Request] = msgspec.field(default_factory=deque)
    virtual_s: float = 0.0


class ServiceQueue(msgspec.Struct):
    """
    All waiting requests for one service.
    """

    teams: dict[str, TeamQueue] = msgspec.field(default_factory=dict)
    virtual_s: float = 0.0


class FairState(msgspec.Struct):
    """
    Waiting requests by service, with counts by queue.
    """

    services: dict[str, ServiceQueue] = msgspec.field(default_factory=dict)
    queued: dict[str, int] = msgspec.field(default_factory=dict)
    queued_bytes: dict[str, int] = msgspec.field(default_factory=dict)


def push(fair: FairState, req: Request, *, first: bool = False) -> None:
    """
    Let a request wait.

    :param fair: changed in place.
    :param req: the request.
    :param first: put it before others of its team, as after an attempt that did not run.
    """
    service = fair.services.setdefault(req.service, ServiceQueue())
    team = service.teams.get(req.team)
    if team is None:
        team = service.teams[req.team] = TeamQueue()
    if not team.urgent and not team.normal:
        # A team that comes back gets no credit for the time it was away.
        team.virtual_s = max(team.virtual_s, service.virtual_s)
    line = team.urgent if req.urgent else team.normal
    if first:
        line.appendleft(req)
    else:
        line.append(req)
    _count(fair, req, 1)


def pop(fair: FairState, service_name: str, may_start: Callable[[Request], bool]) -> Request | None:
    """
    Take the request that is next by fair order.

    :param fair: changed in place.
    :param service_name: ``WORKSPACE/SERVICE``.
    :param may_start: whether the first request of a team may start now.
    :returns: the request, or ``None`` when none may start.
    """
    service = fair.services.get(service_name)
    if service is None:
        return None
    waiting = [team for team in service.teams.values() if team.urgent or team.normal]
    for team in sorted(waiting, key=lambda team: team.virtual_s):
        line = team.urgent or team.normal
        if may_start(line[0]):
            service.virtual_s = max(service.virtual_s, team.virtual_s)
            req = line.popleft()
            _count(fair, req, -1)
            return req
    return None


def charge(fair: FairState, req: Request, cost_s: float, share: float) -> None:
    """
    Add what a request has used to its team's account.

    :param fair: changed in place.
    :param req: the request.
    :param cost_s: resource-time in seconds.
    :param share: weight of the team.
    """
    service = fair.services.setdefault(req.service, ServiceQueue())
    service.teams.setdefault(req.team, TeamQueue()).virtual_s += cost_s / share


def remove_where(fair: FairState, condition: Callable[[Request], bool]) -> list[Request]:
    """
    Take out all waiting requests for which a condition holds.

    :param fair: changed in place.
    :param condition: whether to take a request out.
    :returns: the requests taken out.
    """
    removed: list[Request] = []
    for service in fair.services.values():
        for team in service.teams.values():
            for line in (team.urgent, team.normal):
                taken = [req for req in line if condition(req)]
                if taken:
                    kept = [req for req in line if not condition(req)]
                    line.clear()
                    line.extend(kept)
                    removed.extend(taken)
    for req in removed:
        _count(fair, req, -1)
    return removed


def _count(fair: FairState, req: Request, step: int) -> None:
    fair.queued[req.queue] = fair.queued.get(req.queue, 0) + step
    size = step * req.size_bytes
    fair.queued_bytes[req.queue] = fair.queued_bytes.get(req.queue, 0) + size
