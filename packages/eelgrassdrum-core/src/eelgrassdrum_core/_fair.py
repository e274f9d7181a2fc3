"""
Queues of waiting requests per service, served by weighted fair queueing among teams.
"""

from collections.abc import Callable

from ._fair_accounts import get_team_queue, mark_active
from ._fair_state import FairState, ServiceQueue, TeamQueue
from ._requests import Request


def push(fair: FairState, req: Request, now_s: float, *, at_front: bool = False) -> None:
    """
    Add a request to its team's queue.

    :param fair: changed in place.
    :param req: the request.
    :param now_s: current time.
    :param at_front: whether to put it before the others of its team, as for a retry.
    """
    team = get_team_queue(fair, req.service, req.team)
    mark_active(fair.services[req.service], team, now_s)
    requests = team.urgent if req.urgent else team.normal
    if at_front:
        requests.appendleft(req)
    else:
        requests.append(req)
    update_queued_counts(fair, req, 1)


def pop(
    fair: FairState,
    service_name: str,
    may_start: Callable[[Request], bool],
    *,
    ignore_ceiling: bool = False,
) -> Request | None:
    """
    Remove and return the next request in fair order.

    :param fair: changed in place.
    :param service_name: ``WORKSPACE/SERVICE``.
    :param may_start: returns whether the first request of a team may start now.
    :param ignore_ceiling: whether to ignore teams that wait at other instances.
    :returns: the request, or ``None`` if none may start.
    """
    service = fair.services.get(service_name)
    if service is None:
        return None
    waiting = [team for team in service.teams.values() if is_waiting(team)]
    for team in sorted(waiting, key=lambda team: team.virtual_s):
        if team.virtual_s > service.ceiling_s and not ignore_ceiling:
            # Above the ceiling, a team that waits only at other instances has been served less and
            # goes first.
            return None
        requests = team.urgent or team.normal
        team.is_blocked = not may_start(requests[0])
        if not team.is_blocked:
            req = requests.popleft()
            update_queued_counts(fair, req, -1)
            return req
    return None


def is_waiting(team: TeamQueue) -> bool:
    """
    Return whether a team has requests waiting at this instance.

    :param team: the team's queue.
    :returns: whether it has.
    """
    return bool(team.urgent or team.normal)


def count_waiting(team: TeamQueue) -> int:
    """
    Return the number of a team's requests waiting at this instance.

    :param team: the team's queue.
    :returns: their number.
    """
    return len(team.urgent) + len(team.normal)


def remove_where(fair: FairState, condition: Callable[[Request], bool]) -> list[Request]:
    """
    Remove all waiting requests that satisfy a condition.

    :param fair: changed in place.
    :param condition: returns whether to remove a request.
    :returns: the removed requests.
    """
    removed: list[Request] = []
    for service in fair.services.values():
        for team in service.teams.values():
            for requests in (team.urgent, team.normal):
                matching = [req for req in requests if condition(req)]
                if matching:
                    kept = [req for req in requests if not condition(req)]
                    requests.clear()
                    requests.extend(kept)
                    removed.extend(matching)
    for req in removed:
        update_queued_counts(fair, req, -1)
    return removed


def update_queued_counts(fair: FairState, req: Request, step: int) -> None:
    """
    Update the counts of waiting requests when a request starts or stops waiting.

    :param fair: changed in place.
    :param req: the request.
    :param step: 1 when it starts waiting, -1 when it stops.
    """
    fair.queued[req.queue] = fair.queued.get(req.queue, 0) + step
    size = step * req.size_bytes
    fair.queued_bytes[req.queue] = fair.queued_bytes.get(req.queue, 0) + size
    key = (req.queue, req.team)
    fair.queued_by_team[key] = fair.queued_by_team.get(key, 0) + step
    if fair.queued_by_team[key] == 0:
        del fair.queued_by_team[key]


__all__ = [
    "FairState",
    "ServiceQueue",
    "TeamQueue",
    "count_waiting",
    "is_waiting",
    "pop",
    "push",
    "remove_where",
    "update_queued_counts",
]
