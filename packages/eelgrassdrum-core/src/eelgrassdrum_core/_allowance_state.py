"""
An instance's local state of allowances that isn't in the log: its lease, demand and evidence.
"""

from typing import NamedTuple

import msgspec

from ._allowance_messages import TeamDemand


class UsageCap(NamedTuple):
    """
    Units that this instance promised not to exceed.

    :param revision: revision of the team's allowances for which the promise is valid.
    :param units: maximum number of units in use.
    """

    revision: int
    units: int


class LeaseState(msgspec.Struct):
    """
    This instance's own lease; all times are local.

    :param until_s: time at which it expires.
    :param sent_s: time at which the last accepted renewal was sent.
    :param renewal_proposed_at_s: time at which a renewal was proposed whose outcome isn't known
        yet, or ``None``.
    :param asked_at_s: time of the last request for an extension.
    :param extensions: time of the request that each reclaimer granted, by key.
    :param released: whether this instance is stopping and has proposed to release its allowances.
    :param released_at_s: time at which it did so.
    """

    until_s: float = 0.0
    sent_s: float = 0.0
    renewal_proposed_at_s: float | None = None
    asked_at_s: float = 0.0
    extensions: dict[str, float] = msgspec.field(default_factory=dict)
    released: bool = False
    released_at_s: float = 0.0


class LeaseWatch(msgspec.Struct):
    """
    This instance's view of another holder's lease.

    :param renewed_offset: offset of the holder's last accepted renewal.
    :param orphaned: whether none of its reclaimers is a holder any more.
    :param since_s: local time from which its lease is counted.
    :param reclaiming: whether this instance has proposed to reclaim it.
    """

    renewed_offset: int
    orphaned: bool
    since_s: float
    reclaiming: bool = False


class HolderDemand(NamedTuple):
    """
    The last demand reported by a holder.

    :param row: the demand.
    :param at_s: local time of its arrival.
    """

    row: TeamDemand
    at_s: float


class TeamBalance(msgspec.Struct):
    """
    A balancer's view of one team; all times are local.

    :param demands: last reported demand by key of the holder.
    :param unbalanced_since_s: time since which units could be moved or allocated, or ``None``.
    :param asked_revision: revision for which cessions were requested.
    :param asked_at_s: time of the last request.
    :param ceded: units that each holder promised not to exceed at that revision.
    :param moved_at_s: time of the last record proposed.
    """

    demands: dict[str, HolderDemand] = msgspec.field(default_factory=dict)
    unbalanced_since_s: float | None = None
    asked_revision: int = -1
    asked_at_s: float = 0.0
    ceded: dict[str, int] = msgspec.field(default_factory=dict)
    moved_at_s: float = -1e9


class BalanceState(msgspec.Struct):
    """
    Demand at this instance, and the teams that it balances; all times are local.

    :param teams: view of each team that this instance may balance.
    :param peaks: decayed recent peak of the demand at this instance, by team.
    :param reported: last reported demand by team, with its time.
    :param reported_at_s: time of the last report.
    :param balanced_at_s: time of the last balancing.
    :param ranks: balancers of each team, chosen among the holders.
    :param holders: keys of the holders.
    :param tokens: records that may be proposed now; may be fractional.
    """

    teams: dict[str, TeamBalance] = msgspec.field(default_factory=dict)
    peaks: dict[str, float] = msgspec.field(default_factory=dict)
    reported: dict[str, HolderDemand] = msgspec.field(default_factory=dict)
    reported_at_s: float = 0.0
    balanced_at_s: float = 0.0
    ranks: dict[str, list[str]] = msgspec.field(default_factory=dict)
    holders: tuple[str, ...] = ()
    tokens: float = 0.0


class UncertainAttempt(NamedTuple):
    """
    An attempt whose outcome is unknown and which may still be running.

    :param team: ``WORKSPACE/TEAM``.
    :param endpoint: id of the endpoint that it was sent to.
    :param since_s: local time at which it failed without a response.
    """

    team: str
    endpoint: str
    since_s: float


class EndpointObservation(NamedTuple):
    """
    The running attempts that an endpoint last reported.

    :param at_s: local time of its response.
    :param running: units by key of the holder and team.
    """

    at_s: float
    running: dict[tuple[str, str], int]


class RecoveryState(msgspec.Struct):
    """
    Evidence that work has ended; all times are local.

    :param uncertain: attempts of this instance whose outcome is unknown, by id.
    :param observations: last observation of each endpoint.
    :param fenced_at_s: time at which each former holder was found to be fenced.
    :param probed_at_s: time of the last probes.
    :param proposed: last revision at which a settlement was proposed, by team and holder.
    """

    uncertain: dict[str, UncertainAttempt] = msgspec.field(default_factory=dict)
    observations: dict[str, EndpointObservation] = msgspec.field(default_factory=dict)
    fenced_at_s: dict[str, float] = msgspec.field(default_factory=dict)
    probed_at_s: float = 0.0
    proposed: dict[tuple[str, str], int] = msgspec.field(default_factory=dict)


class LimitState(msgspec.Struct):
    """
    Upper limits at this instance.

    :param running: units in use by team, including work of unknown outcome.
    :param caps: promises made to balancers, by team.
    """

    running: dict[str, int] = msgspec.field(default_factory=dict)
    caps: dict[str, UsageCap] = msgspec.field(default_factory=dict)
    lease: LeaseState = msgspec.field(default_factory=LeaseState)
    watches: dict[str, LeaseWatch] = msgspec.field(default_factory=dict)
    balance: BalanceState = msgspec.field(default_factory=BalanceState)
    recovery: RecoveryState = msgspec.field(default_factory=RecoveryState)
