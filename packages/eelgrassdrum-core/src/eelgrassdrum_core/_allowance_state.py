"""
What one entry instance knows of allowances besides the log: its lease, demand and evidence.
"""

from typing import NamedTuple

import msgspec

from ._allowance_messages import TeamDemand


class UsageCap(NamedTuple):
    """
    Units that this instance promised not to exceed.

    :param revision: revision of the team's allowances for which the promise holds.
    :param units: the most that it uses.
    """

    revision: int
    units: int


class LeaseState(msgspec.Struct):
    """
    This instance's own lease.

    :param until_s: own time at which it ends.
    :param sent_s: own time at which the last accepted renewal was sent.
    :param renewal_proposed_at_s: own time of a renewal whose fate is open, or ``None``.
    :param asked_at_s: own time of the last request for an extension.
    :param extensions: own time of the request that each reclaimer granted.
    :param released: whether this leaving instance asked the log to take back what it holds.
    :param released_at_s: own time at which it did.
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
    What this instance has seen of another holder's lease.

    :param renewed_offset: the holder's last accepted renewal.
    :param orphaned: whether all its reclaimers are gone.
    :param since_s: own time from which its lease is counted.
    :param reclaiming: whether this instance asked the log to reclaim it.
    """

    renewed_offset: int
    orphaned: bool
    since_s: float
    reclaiming: bool = False


class HolderDemand(NamedTuple):
    """
    The last demand heard from a holder.

    :param row: the demand.
    :param at_s: own time of its arrival.
    """

    row: TeamDemand
    at_s: float


class TeamBalance(msgspec.Struct):
    """
    A balancer's view of one team.

    :param demands: last demand by key of the holder.
    :param unbalanced_since_s: own time since which a holder could gain, or ``None``.
    :param asked_revision: revision for which cessions were asked.
    :param asked_at_s: own time of that question.
    :param ceded: units that each holder promised not to exceed at that revision.
    :param moved_at_s: own time of the last record wanted.
    """

    demands: dict[str, HolderDemand] = msgspec.field(default_factory=dict)
    unbalanced_since_s: float | None = None
    asked_revision: int = -1
    asked_at_s: float = 0.0
    ceded: dict[str, int] = msgspec.field(default_factory=dict)
    moved_at_s: float = -1e9


class BalanceState(msgspec.Struct):
    """
    Demand at this instance, and the teams that it balances.

    :param teams: view by team.
    :param peaks: recent peak of the demand at this instance, by team.
    :param reported: demand reported last, by team, with own time.
    :param reported_at_s: own time of the last report.
    :param balanced_at_s: own time of the last balancing.
    :param ranks: balancers of each team, chosen among the holders.
    :param holders: keys of the holders.
    :param tokens: records that may be written now.
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
    An attempt of unknown outcome, which may still run.

    :param team: ``WORKSPACE/TEAM``.
    :param endpoint: where it was sent.
    :param since_s: own time at which its outcome was lost.
    """

    team: str
    endpoint: str
    since_s: float


class EndpointObservation(NamedTuple):
    """
    What an endpoint last said to run.

    :param at_s: own time of its answer.
    :param running: units by key of the holder and team.
    """

    at_s: float
    running: dict[tuple[str, str], int]


class RecoveryState(msgspec.Struct):
    """
    Evidence that work has ended.

    :param uncertain: attempts of this instance whose outcome is unknown, by id.
    :param observations: last sight of each endpoint.
    :param fenced_at_s: own time at which each former holder was seen to be fenced.
    :param probed_at_s: own time of the last probes.
    :param proposed: revision for which a settlement of a team and holder was wanted.
    """

    uncertain: dict[str, UncertainAttempt] = msgspec.field(default_factory=dict)
    observations: dict[str, EndpointObservation] = msgspec.field(default_factory=dict)
    fenced_at_s: dict[str, float] = msgspec.field(default_factory=dict)
    probed_at_s: float = 0.0
    proposed: dict[tuple[str, str], int] = msgspec.field(default_factory=dict)


class LimitState(msgspec.Struct):
    """
    Upper limits at this instance.

    :param running: units in use by team, with work of unknown outcome.
    :param caps: promises made to balancers, by team.
    """

    running: dict[str, int] = msgspec.field(default_factory=dict)
    caps: dict[str, UsageCap] = msgspec.field(default_factory=dict)
    lease: LeaseState = msgspec.field(default_factory=LeaseState)
    watches: dict[str, LeaseWatch] = msgspec.field(default_factory=dict)
    balance: BalanceState = msgspec.field(default_factory=BalanceState)
    recovery: RecoveryState = msgspec.field(default_factory=RecoveryState)
