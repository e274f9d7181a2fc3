"""
State of the membership: the entry instances known here and when each was heard.
"""

from typing import NamedTuple

import msgspec

from ._ids import Sender

UNKNOWN = "unknown"
ALIVE = "alive"
SUSPECT = "suspect"
DEAD = "dead"
LEAVING = "leaving"

NEVER_S = -1.0


class Member(NamedTuple):
    """
    One other entry instance, as seen from here.

    :param sender: id, incarnation and zone.
    :param peer_address: ``IP:PORT`` for messages.
    :param zone: availability zone.
    :param state: ``unknown`` (listed, never heard), ``alive``, ``suspect``, ``dead`` or
        ``leaving``.
    """

    sender: Sender
    peer_address: str
    zone: str
    state: str


class Peer(msgspec.Struct):
    """
    What is kept of one other entry instance.

    :param listed: whether the platform lists it.
    :param last_seen_s: time of the newest heartbeat's arrival, or -1.
    :param confirmed_s: time up to which its last heartbeat is known to be true, or -1.
    :param sent_s: time of the last heartbeat sent to it, or -1.
    :param echo_s: its clock in its newest heartbeat, or -1.
    :param state: its liveness.
    :param known_s: time at which this incarnation became known here.
    :param changed_s: time of the last change of its liveness.
    :param suspects: instances that it does not hear.
    :param next_offset: first offset that it has not folded.
    :param feed_sent: place in the feed of aggregates up to which it was sent numbers.
    :param feed_reset_s: time at which the feed was last sent from its start.
    :param withdrawn_seen: version of the own withdrawals that it has.
    :param withdrawn_version: version of its withdrawals that this instance has.
    """

    sender: Sender
    peer_address: str
    listed: bool = False
    known_s: float = 0.0
    last_seen_s: float = NEVER_S
    confirmed_s: float = NEVER_S
    sent_s: float = NEVER_S
    echo_s: float = NEVER_S
    state: str = UNKNOWN
    changed_s: float = NEVER_S
    suspects: frozenset[str] = frozenset()
    next_offset: int = 1
    feed_sent: int = 0
    feed_reset_s: float = 0.0
    withdrawn_seen: int = 0
    withdrawn_version: int = 0


class FeedKey(NamedTuple):
    """
    Which number it is.

    :param origin: instance of the own zone, or zone.
    :param key: hash of the number's name.
    """

    origin: str
    key: int


class FeedEntry(NamedTuple):
    """
    One number in a feed.

    :param sequence: place in the feed.
    :param value: the number.
    """

    sequence: int
    value: int


class Feed(msgspec.Struct):
    """
    Newest numbers in the order of their last change.

    :param entries: the numbers.
    :param sequence: place of the newest entry.
    """

    entries: dict[FeedKey, FeedEntry] = msgspec.field(default_factory=dict)
    sequence: int = 0


class AggregateState(msgspec.Struct):
    """
    Numbers that the entry instances tell each other.

    :param numbers: numbers by origin and hash of their name.
    :param last_seen_s: time at which each origin was last heard of.
    :param zone_feed: what is told to instances of the own zone.
    :param relay_feed: sums of the own zone, which are told to other zones.
    """

    numbers: dict[str, dict[int, int]] = msgspec.field(default_factory=dict)
    last_seen_s: dict[str, float] = msgspec.field(default_factory=dict)
    zone_feed: Feed = msgspec.field(default_factory=Feed)
    relay_feed: Feed = msgspec.field(default_factory=Feed)


class MembershipState(msgspec.Struct):
    """
    Entry instances, contacts with zones and pauses of this process.

    :param peers: other entry instances by id.
    :param listed: whether the platform's list was read since the start.
    :param zones: time up to which each other zone is known to be in touch.
    :param zones_from_local_peers: zones of which an instance of the own zone has told last.
    :param direct_heartbeats_s: time of the last heartbeat that came straight from each other zone.
    :param tick_s: time of the last tick, or -1 before the first.
    :param last_gap_s: length of the last pause between two ticks that was too long.
    :param last_gap_ended_s: time at which that pause ended, or -1.
    :param pauses: count of such pauses.
    :param superseded: whether a newer incarnation of this instance is alive.
    :param zone_heartbeats_sent_s: time of the last heartbeats in the zone.
    :param relay_heartbeats_sent_s: time of the last heartbeats to other zones.
    :param zone_receivers: count of the last heartbeats' receivers in the zone.
    :param relay_receivers: count of paths to other zones that this instance serves.
    :param aggregates: numbers that instances tell each other.
    """

    peers: dict[str, Peer] = msgspec.field(default_factory=dict)
    listed: bool = False
    zones: dict[str, float] = msgspec.field(default_factory=dict)
    zones_from_local_peers: set[str] = msgspec.field(default_factory=set)
    direct_heartbeats_s: dict[str, float] = msgspec.field(default_factory=dict)
    tick_s: float = NEVER_S
    last_gap_s: float = 0.0
    last_gap_ended_s: float = NEVER_S
    pauses: int = 0
    superseded: bool = False
    zone_heartbeats_sent_s: float = NEVER_S
    relay_heartbeats_sent_s: float = NEVER_S
    zone_receivers: int = 0
    relay_receivers: int = 0
    aggregates: AggregateState = msgspec.field(default_factory=AggregateState)
