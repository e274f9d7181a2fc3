"""
Messages by which entry instances learn of each other.
"""

from typing import NamedTuple

from ._wire import register_message


class ZoneView(NamedTuple):
    """
    What the sender knows of one other availability zone.

    :param zone: the zone.
    :param age_ms: milliseconds since the zone was last known to be in touch.
    """

    zone: str
    age_ms: int


class MemberView(NamedTuple):
    """
    What the sender knows of one entry instance.

    :param instance: id of the instance.
    :param incarnation: its newest incarnation.
    :param state: its liveness, as one of the constants of the membership state.
    """

    instance: str
    incarnation: int
    state: str


class OriginValues(NamedTuple):
    """
    Changed numbers of one origin.

    :param origin: instance of the sender's zone, or zone, whose numbers they are.
    :param numbers: number by hash of its name.
    """

    origin: str
    numbers: dict[int, int]


@register_message
class Heartbeat(NamedTuple):
    """
    Sign of life of one entry instance, with what it knows.

    ``echo_s`` lets the receiver date what the message says by its own clock: all of it was true
    after the receiver sent the echoed heartbeat, however long the answer waited in buffers.

    :param sent_s: time of sending by the sender's clock.
    :param echo_s: ``sent_s`` of the receiver's newest heartbeat that the sender has, or -1.
    :param peer_address: ``IP:PORT`` of the sender.
    :param leaving: whether the sender is stopping.
    :param next_offset: first offset that the sender has not folded.
    :param head_age_ms: milliseconds since a moment of which the sender knows that it has folded
        all records then in the log, or -1.
    :param wants_answer: whether the receiver is to send a heartbeat back at once.
    :param zones: other zones that the sender is in touch with.
    :param suspects: instances of the sender's zone that it does not hear.
    :param members: instances of the sender's zone, or in it those of others that are not alive.
    :param numbers: changed aggregates.
    :param withdrawn: names of withdrawn keys whose withdrawal is not known to be in the log.
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
    numbers: tuple[OriginValues, ...] = ()
    withdrawn: tuple[str, ...] = ()
    withdrawn_version: int = 0
    withdrawn_seen: int = 0


@register_message
class Superseded(NamedTuple):
    """
    Tells an instance that a newer incarnation of it is alive.

    :param incarnation: the newer incarnation.
    """

    incarnation: int
