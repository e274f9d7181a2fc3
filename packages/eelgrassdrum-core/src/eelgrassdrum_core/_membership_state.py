"""
State of the membership: the known entry instances and when each was last seen.
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
    One other entry instance, as seen from this one.

    :param sender: id, incarnation and zone.
    :param peer_address: ``IP:PORT`` for messages.
    :param zone: availability zone.
    :param state: ``unknown`` (listed, never seen), ``alive``, ``suspect``, ``dead`` or
        ``leaving``.
    """

    sender: Sender
    peer_address: str
    zone: str
    state: str


class Peer(msgspec.Struct):
    """
    State of one other entry instance.

    :param listed: whether the platform's instance list contains it.
    :param last_seen_s: arrival time of its newest heartbeat, or -1.
    :param confirmed_s: newest ``sent_s`` of this instance that it has echoed, so that its heartbeat
        is known to be true after that time, or -1.
    :param sent_s: time of the last heartbeat sent to it, or -1.
    :param echo_s: ``sent_s`` of its newest heartbeat, by its clock, or -1.
    :param state: its liveness.
    :param known_s: time at which this incarnation became known.
    :param changed_s: time of the last change of its liveness, or -1.
    :param suspects: instances from which it receives no heartbeats.
    :param next_offset: first offset that it has not folded.
    :param feed_sent: sequence number in the feed up to which values were sent to it.
    :param feed_reset_s: time at which sending last restarted from the beginning of the feed.
    :param withdrawn_seen: version of this instance's withdrawals that it has.
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
    Identifies a value in a feed.

    :param origin: instance of the local zone, or zone.
    :param key: hash of the value's name.
    """

    origin: str
    key: int


class FeedEntry(NamedTuple):
    """
    One value in a feed.

    :param sequence: sequence number in the feed.
    :param value: the value.
    """

    sequence: int
    value: int


class Feed(msgspec.Struct):
    """
    Latest values in the order of their last change.

    :param entries: the values.
    :param sequence: sequence number of the newest entry.
    """

    entries: dict[FeedKey, FeedEntry] = msgspec.field(default_factory=dict)
    sequence: int = 0


class AggregateState(msgspec.Struct):
    """
    Aggregate values that the entry instances exchange.

    :param values_by_origin: values by origin and hash of their name.
    :param last_seen_s: time at which each origin was last known to be reachable.
    :param zone_feed: values to send to instances of the local zone.
    :param relay_feed: sums of the local zone to send to other zones.
    """

    values_by_origin: dict[str, dict[int, int]] = msgspec.field(default_factory=dict)
    last_seen_s: dict[str, float] = msgspec.field(default_factory=dict)
    zone_feed: Feed = msgspec.field(default_factory=Feed)
    relay_feed: Feed = msgspec.field(default_factory=Feed)


class MembershipState(msgspec.Struct):
    """
    Entry instances, contacts with other zones, and pauses of this process.

    :param peers: other entry instances by id.
    :param listed: whether the platform's instance list was read since the start.
    :param zones: time at which each other zone was last known to be reachable.
    :param zones_from_local_peers: zones whose latest contact was reported by a local-zone peer.
    :param direct_heartbeats_s: time of the last heartbeat received directly, by other zone.
    :param tick_s: time of the last tick, or -1 before the first.
    :param last_gap_s: length of the last pause of this process, seen as a gap between two ticks.
    :param last_gap_ended_s: time at which that pause ended, or -1.
    :param pauses: number of such pauses.
    :param superseded: whether a newer incarnation of this instance is alive.
    :param zone_heartbeats_sent_s: time of the last heartbeats to the local zone; -1 makes them due.
    :param relay_heartbeats_sent_s: time of the last heartbeats to other zones; -1 makes them due.
    :param zone_receivers: number of receivers of the last heartbeats in the local zone.
    :param relay_receivers: number of paths to other zones that this instance serves.
    :param aggregates: aggregate values that the instances exchange.
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
