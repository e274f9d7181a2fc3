"""
State of fair queueing: waiting requests, accounts of teams, and what other instances serve.
"""

from collections import deque

import msgspec

from ._requests import Request

# Run times remembered for an estimate.
RUN_TIMES_KEPT = 32


class TeamQueue(msgspec.Struct):
    """
    One team's waiting requests for one service, and its account.

    :param virtual_s: resource-seconds used over the whole fleet, divided by the team's share.
    :param served_s: resource-seconds used at this instance since it started.
    :param share: weight of the team.
    :param active_at_s: time at which it last had demand anywhere.
    :param is_blocked: whether only its upper limit keeps its requests waiting here.
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
    All waiting requests for one service.

    :param teams: queues by team.
    :param virtual_s: level that the least served waiting team has reached.
    :param rate: growth of the level, per second.
    :param advanced_at_s: time at which the level was last looked at.
    :param ceiling_s: account above which a team leaves slots to teams of other instances.
    :param ceiling_team_s: account of the team for which slots are left free.
    :param ceiling_since_s: time since which that account has not grown.
    :param ceiling_off_until_s: time until which no slots are left free.
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
    What a running attempt was charged so far.

    :param service: ``WORKSPACE/SERVICE``.
    :param team: ``WORKSPACE/TEAM``.
    :param queue: ``WORKSPACE/QUEUE``.
    :param started_s: time of dispatch.
    :param charged_s: resource-seconds charged.
    """

    service: str
    team: str
    queue: str
    started_s: float
    charged_s: float


class RemoteSource(msgspec.Struct):
    """
    What one other instance, or one other zone, last told.

    :param origin: key of the instance that counts.
    :param sequence: number of its last message.
    :param at_s: own time of its arrival.
    :param interval_s: time between its last two messages.
    :param served: resource-seconds by service and team.
    :param waiting: waiting requests by service and team.
    """

    origin: str
    sequence: int
    at_s: float
    interval_s: float = 0.0
    served: dict[tuple[str, str], float] = msgspec.field(default_factory=dict)
    waiting: dict[tuple[str, str], int] = msgspec.field(default_factory=dict)


class FairExchange(msgspec.Struct):
    """
    Aggregates exchanged with other entry instances.

    :param sources: by id of a zone peer, or by name of another zone.
    :param zone_served: resource-seconds of the zone peers, as seen here.
    :param sequence: number of the last message sent.
    :param send_at_s: time of the next message to zone peers.
    :param relay_at_s: time of the next message to other zones.
    """

    sources: dict[str, RemoteSource] = msgspec.field(default_factory=dict)
    zone_served: dict[tuple[str, str], float] = msgspec.field(default_factory=dict)
    sequence: int = 0
    send_at_s: float = 0.0
    relay_at_s: float = 0.0


class FairState(msgspec.Struct):
    """
    Waiting requests by service, with counts by queue, and accounts of running attempts.

    :param services: queues by service.
    :param queued: waiting requests by queue.
    :param queued_bytes: bytes of their bodies by queue.
    :param queued_by_team: waiting requests by queue and team.
    :param charges: charges by attempt.
    :param run_times: last observed run times by queue and team.
    :param exchange: aggregates of other instances.
    """

    services: dict[str, ServiceQueue] = msgspec.field(default_factory=dict)
    queued: dict[str, int] = msgspec.field(default_factory=dict)
    queued_bytes: dict[str, int] = msgspec.field(default_factory=dict)
    queued_by_team: dict[tuple[str, str], int] = msgspec.field(default_factory=dict)
    charges: dict[str, Charge] = msgspec.field(default_factory=dict)
    run_times: dict[tuple[str, str], deque[float]] = msgspec.field(default_factory=dict)
    exchange: FairExchange = msgspec.field(default_factory=FairExchange)
