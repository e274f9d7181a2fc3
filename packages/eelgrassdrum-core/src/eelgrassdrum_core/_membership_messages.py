"""
Membership messages between entry instances.
"""

from typing import NamedTuple

from ._wire import register_message


class ZoneView(NamedTuple):
    """
    The sender's latest contact with another availability zone.

    :param zone: the zone.
    :param age_ms: milliseconds since the zone was last known to be reachable.
    """

    zone: str
    age_ms: int


class MemberView(NamedTuple):
    """
    The sender's view of one entry instance.

    :param instance: id of the instance.
    :param incarnation: its newest incarnation.
    :param state: its liveness, as one of the constants of the membership state.
    """

    instance: str
    incarnation: int
    state: str


class OriginValues(NamedTuple):
    """
    Changed aggregate values of one origin.

    :param origin: instance of the sender's zone, or zone, that the values belong to.
    :param values: values by hash of their name.
    """

    origin: str
    values: dict[int, int]


@register_message
class Heartbeat(NamedTuple):
    """
    Heartbeat of one entry instance, with its view of the fleet.

    ``echo_s`` lets the receiver date the contents by its own clock: all of them were true after the
    receiver sent the echoed heartbeat, however long this message was delayed in buffers.

    :param sent_s: send time by the sender's clock.
    :param echo_s: ``sent_s`` of the receiver's newest heartbeat that the sender has, or -1.
    :param peer_address: ``IP:PORT`` of the sender.
    :param leaving: whether the sender is stopping.
    :param next_offset: first offset that the sender has not folded.
    :param head_age_ms: milliseconds since the newest time such that the sender has folded all
        records that were in the log at that time, or -1.
    :param wants_answer: whether the receiver has to send a heartbeat back at once.
    :param zones: the sender's latest contacts with other zones.
    :param suspects: instances of the sender's zone from which it receives no heartbeats.
    :param members: to other zones, the instances of the sender's zone; within the zone, instances
        of other zones that are dead or leaving or whose liveness has changed recently.
    :param values: changed aggregate values.
    :param withdrawn: names of withdrawn keys whose withdrawal is not yet known to be in the log.
    :param withdrawn_version: version of the sender's set of such withdrawals.
    :param withdrawn_seen: version of the receiver's set that the sender has.
    """

    sent_s: float
    echo_s: float
    peer_address: str
    leaving: bool
    next_offset: int
    head_age_ms: int
    wants_answer: bool = False
    zones: tuple[ZoneView, ...] = ()
    suspects: tuple[str, ...] = ()
    members: tuple[MemberView, ...] = ()
    values: tuple[OriginValues, ...] = ()
    withdrawn: tuple[str, ...] = ()
    withdrawn_version: int = 0
    withdrawn_seen: int = 0


@register_message
class Superseded(NamedTuple):
    """
    Notifies an instance that a newer incarnation of it is alive.

    :param incarnation: the newer incarnation.
    """

    incarnation: int
