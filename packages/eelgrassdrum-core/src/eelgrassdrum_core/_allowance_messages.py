"""
Record kinds and peer messages for leases and moves of allowances.
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
    A holder's demand for units of a team.

    :param team: ``WORKSPACE/TEAM``.
    :param revision: revision of the team's allowances that the holder has folded.
    :param units: units running and waiting at the holder, or a decayed recent peak of them.
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
    :param units: number of units.
    """

    team: str
    revision: int
    units: int


@register_message
class DemandReported(NamedTuple):
    """
    Report of a holder's demand to the balancers of the teams.

    :param rows: one per team.
    """

    rows: tuple[TeamDemand, ...]


@register_message
class CessionAsked(NamedTuple):
    """
    Request of a balancer that a holder use at most these units while the revision is current.

    :param rows: one per team.
    """

    rows: tuple[TeamUnits, ...]


@register_message
class UnitsCeded(NamedTuple):
    """
    Promise of a holder to use at most these units while the revision is current.

    :param rows: one per team.
    """

    rows: tuple[TeamUnits, ...]


@register_message
class ExtensionAsked(NamedTuple):
    """
    Request of a holder that can't renew its lease in the log, sent to its reclaimers.

    :param renewed_offset: offset of the holder's last accepted renewal.
    :param asked_at_s: local time of the holder, returned in the response.
    """

    renewed_offset: int
    asked_at_s: float


@register_message
class ExtensionGiven(NamedTuple):
    """
    Extension granted by a reclaimer, which counts the holder's lease from now.

    :param renewed_offset: as in the request.
    :param asked_at_s: as in the request.
    """

    renewed_offset: int
    asked_at_s: float


def holder_key(sender: Sender) -> str:
    """
    Return the key under which an instance holds allowances.

    :param sender: the instance.
    :returns: ``INSTANCE:INCARNATION``.
    """
    return f"{sender.instance}:{sender.incarnation}"


def holder_subject(instance: str) -> str:
    """
    Return the subject of records about an instance's lease.

    :param instance: id of the instance.
    :returns: the subject.
    """
    return f"holder/{instance}"


def allowance_subject(team: str) -> str:
    """
    Return the subject of records about a team's allowances.

    :param team: ``WORKSPACE/TEAM``.
    :returns: the subject.
    """
    return f"allowance/{team}"
