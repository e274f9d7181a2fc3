"""
Eviction from a full queue: the team with the most waiting requests per share gives way.

Otherwise a team that floods a queue would keep all other teams out, regardless of their shares.
"""

from collections import deque

from ._fair import update_queued_counts
from ._fair_state import FairState, TeamQueue
from ._requests import Request


def evict_newest_excess(
    fair: FairState, service_name: str, queue: str, team_name: str
) -> Request | None:
    """
    Remove the newest waiting request of the team with the most requests per share in a full queue.

    :param fair: changed in place.
    :param service_name: ``WORKSPACE/SERVICE``.
    :param queue: ``WORKSPACE/QUEUE``.
    :param team_name: team whose new request needs space.
    :returns: the removed request, or ``None`` if the other team would have no more requests per
        share than this team has with its new request, or if all its requests were tried before.
    """
    service = fair.services.get(service_name)
    if service is None:
        return None

    def requests_per_share(name: str, team: TeamQueue) -> float:
        return fair.queued_by_team.get((queue, name), 0) / team.share

    largest = max(
        service.teams, key=lambda name: requests_per_share(name, service.teams[name]), default=None
    )
    if largest is None or largest == team_name:
        return None
    own = service.teams.get(team_name, TeamQueue())
    if (
        requests_per_share(largest, service.teams[largest])
        <= requests_per_share(team_name, own) + 1 / own.share
    ):
        return None
    req = _take_newest(service.teams[largest].normal, queue)
    if req is not None:
        update_queued_counts(fair, req, -1)
    return req


def _take_newest(requests: deque[Request], queue: str) -> Request | None:
    for index in range(len(requests) - 1, -1, -1):
        # A request that was already tried may have run, so it can't be refused as not run.
        if requests[index].queue == queue and requests[index].tries == 0:
            req = requests[index]
            del requests[index]
            return req
    return None
