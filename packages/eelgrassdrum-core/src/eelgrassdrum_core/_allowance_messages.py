"""
Record kinds and peer messages by which allowances are leased and moved.
"""

from typing import NamedTuple

from ._ids import Sender
from ._wire import register_message

HOLDER_RENEWED = "holder.renewed"
HOLDER_RECLAIMED = "holder.reclaimed"
HOLDER_RELEASED = "holder.released"
ALLOWANCE_MOVED = "allowance.moved"
ALLOWANCE_SETTLED = "allowance.settled"


class TeamDemand(NamedTuple):
    """
    What one holder could use of a team's limit.

    :param team: ``WORKSPACE/TEAM``.
    :param revision: revision of the team's allowances that the holder has folded.
    :param units: units running and waiting there.
    :param usable: units that the holder may run at this revision.
    """

    team: str
    revision: int
    units: int
    usable: int


class TeamUnits(NamedTuple):
    """
    A number of units of a team, at a revision of its allowances.

    :param team: ``WORKSPACE/TEAM``.
    :param revision: revision of the team's allowances.
    :param units: the number.
    """

    team: str
    revision: int
    units: int


@register_message
class DemandReported(NamedTuple):
    """
    A holder's demand, sent to the balancers of the teams.

    :param rows: one per team.
    """

    rows: tuple[TeamDemand, ...]


@register_message
class CessionAsked(NamedTuple):
    """
    A balancer asks a holder to use at most the given units while the revision stands.

    :param rows: one per team.
    """

    rows: tuple[TeamUnits, ...]


@register_message
class UnitsCeded(NamedTuple):
    """
    A holder promises to use at most the given units while the revision stands.

    :param rows: one per team.
    """

    rows: tuple[TeamUnits, ...]


@register_message
class ExtensionAsked(NamedTuple):
    """
    A holder that can't renew its lease in the log asks a reclaimer to wait.

    :param renewed_offset: the holder's last accepted renewal.
    :param asked_at_s: the holder's own time, which comes back in the answer.
    """

    renewed_offset: int
    asked_at_s: float


@register_message
class ExtensionGiven(NamedTuple):
    """
    A reclaimer counts the holder's lease from now.

    :param renewed_offset: as asked.
    :param asked_at_s: as asked.
    """

    renewed_offset: int
    asked_at_s: float


def holder_key(sender: Sender) -> str:
    """
    Give the name under which an instance holds allowances.

    :param sender: the instance.
    :returns: ``INSTANCE:INCARNATION``.
    """
    return f"{sender.instance}:{sender.incarnation}"


def holder_subject(instance: str) -> str:
    """
    Give the subject of an instance's lease.

    :param instance: id of the instance.
    :returns: the subject.
    """
    return f"holder/{instance}"


def allowance_subject(team: str) -> str:
    """
    Give the subject of a team's allowances.

    :param team: ``WORKSPACE/TEAM``.
    :returns: the subject.
    """
    return f"allowance/{team}"
