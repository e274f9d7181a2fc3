"""
State of fair queueing: waiting requests, virtual times of teams, and reports of other instances.
"""

from collections import deque

import msgspec

from ._requests import Request

# Number of recent run times from which the run time is estimated.
RUN_TIMES_KEPT = 32


class TeamQueue(msgspec.Struct):
    """
    A team's waiting requests for a service, and its use of the service.

    :param urgent: urgent requests, which are served first.
    :param normal: the other requests.
    :param virtual_s: virtual time: resource-seconds used in the whole fleet, divided by the share.
    :param served_s: resource-seconds used at this instance since it started.
    :param share: weight of the team.
    :param active_at_s: time at which it last had demand at any instance.
    :param is_blocked: whether its upper limit, and not a lack of slots, keeps its requests waiting
        here.
    """

    urgent: deque[Request] = msgspec.field(default_factory=deque)
    normal: deque[Request] = msgspec.field(default_factory=deque)
    virtual_s: float = 0.0
    served_s: float = 0.0
    share: float = 1.0
    active_at_s: float = -1e9
    is_blocked: bool = False


class ServiceQueue(msgspec.Struct):
    """
    Waiting requests for one service.

    :param teams: queues by team.
    :param virtual_s: virtual time of the service, which follows the waiting team with the lowest.
    :param rate: growth of the virtual time per second.
    :param advanced_at_s: time at which the virtual time was last advanced.
    :param ceiling_s: virtual time above which a team leaves slots to teams at other instances.
    :param ceiling_team_s: virtual time of the team to which slots are left.
    :param ceiling_since_s: time since which that virtual time hasn't changed.
    :param ceiling_off_until_s: time until which no slots are left to other instances.
    """

    teams: dict[str, TeamQueue] = msgspec.field(default_factory=dict)
    virtual_s: float = 0.0
    rate: float = 0.0
    advanced_at_s: float = 0.0
    ceiling_s: float = float("inf")
    ceiling_team_s: float = 0.0
    ceiling_since_s: float = 0.0
    ceiling_off_until_s: float = 0.0


class Charge(msgspec.Struct):
    """
    Resource-seconds charged for a running attempt.

    :param service: ``WORKSPACE/SERVICE``.
    :param team: ``WORKSPACE/TEAM``.
    :param queue: ``WORKSPACE/QUEUE``.
    :param started_s: time of dispatch.
    :param charged_s: resource-seconds charged so far.
    """

    service: str
    team: str
    queue: str
    started_s: float
    charged_s: float


class RemoteSource(msgspec.Struct):
    """
    The last report of another instance or another zone.

    :param origin: key of the instance that computed the report.
    :param sequence: sequence number of the report.
    :param at_s: local time of its arrival.
    :param interval_s: time between the last two reports.
    :param served: resource-seconds by service and team.
    :param waiting: waiting requests by service and team, less the slots offered since the report.
    """

    origin: str
    sequence: int
    at_s: float
    interval_s: float = 0.0
    served: dict[tuple[str, str], float] = msgspec.field(default_factory=dict)
    waiting: dict[tuple[str, str], int] = msgspec.field(default_factory=dict)


class FairExchange(msgspec.Struct):
    """
    Reports exchanged with other entry instances.

    :param sources: last reports by id of a zone peer, or by prefixed name of another zone.
    :param zone_served: resource-seconds of the zone peers, by service and team, counted from the
        first report of each.
    :param sequence: sequence number of the last report sent.
    :param send_at_s: time of the next report to zone peers.
    :param relay_at_s: time of the next report to other zones.
    """

    sources: dict[str, RemoteSource] = msgspec.field(default_factory=dict)
    zone_served: dict[tuple[str, str], float] = msgspec.field(default_factory=dict)
    sequence: int = 0
    send_at_s: float = 0.0
    relay_at_s: float = 0.0


class FairState(msgspec.Struct):
    """
    Waiting requests by service, with counts by queue, and charges of running attempts.

    :param services: queues by service.
    :param queued: number of waiting requests by queue.
    :param queued_bytes: total length of their bodies by queue.
    :param queued_by_team: number of waiting requests by queue and team.
    :param charges: charges by attempt id.
    :param run_times: recent run times by queue and team.
    :param exchange: reports exchanged with other instances.
    """

    services: dict[str, ServiceQueue] = msgspec.field(default_factory=dict)
    queued: dict[str, int] = msgspec.field(default_factory=dict)
    queued_bytes: dict[str, int] = msgspec.field(default_factory=dict)
    queued_by_team: dict[tuple[str, str], int] = msgspec.field(default_factory=dict)
    charges: dict[str, Charge] = msgspec.field(default_factory=dict)
    run_times: dict[tuple[str, str], deque[float]] = msgspec.field(default_factory=dict)
    exchange: FairExchange = msgspec.field(default_factory=FairExchange)
