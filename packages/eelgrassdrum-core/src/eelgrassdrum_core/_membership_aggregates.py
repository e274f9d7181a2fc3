"""
Aggregate values that entry instances exchange on heartbeats, such as each team's demand.

A domain registers a provider of its values. An instance sends its values to its zone, and relays
send the sums of their zone to other zones. Only changed values are sent, the oldest change first,
and at a limited rate: with more values their age grows, not the traffic.
"""

from collections.abc import Callable, Mapping
from itertools import islice
from typing import TYPE_CHECKING, Any

import xxhash

from ._membership_messages import OriginValues
from ._membership_state import AggregateState, Feed, FeedEntry, FeedKey, Peer

if TYPE_CHECKING:
    from ._state import State

Provider = Callable[[Any], Mapping[str, int]]

# Limit on the values that an instance sends to all instances of its zone together.
ZONE_VALUES_PER_S = 300
# Limit on the values that a relay sends to all other zones together.
RELAY_VALUES_PER_S = 150
# A value is not sent again when it has changed by no more than this ratio.
MIN_CHANGE_RATIO = 0.1
# All values are sent to a peer again after this time, because messages can be lost.
FULL_RESEND_INTERVAL_S = 30.0
# Values of an origin that was not seen for this time are ignored.
VALID_S = 10.0

PROVIDERS: dict[str, Provider] = {}


def register_aggregate(name: str, provide: Provider) -> None:
    """
    Register a provider of values that are exchanged on heartbeats.

    :param name: name of the aggregate, which must not change between versions.
    :param provide: returns this instance's non-negative values by name.
    """
    PROVIDERS[name] = provide


def fleet_number(state: "State", aggregate: str, name: str) -> int:
    """
    Return the sum of a value over all reachable instances.

    :param state: the state.
    :param aggregate: name of the aggregate.
    :param name: name of the value.
    :returns: the sum, including this instance's own value.
    """
    key = hash_name(aggregate, name)
    aggregates = state.membership.aggregates
    valid_since_s = state.now_s - VALID_S
    return sum(
        values.get(key, 0)
        for origin, values in aggregates.values_by_origin.items()
        if aggregates.last_seen_s[origin] >= valid_since_s
    )


def zone_number(state: "State", aggregate: str, name: str) -> int:
    """
    Return the sum of a value over the instances of the local zone.

    :param state: the state.
    :param aggregate: name of the aggregate.
    :param name: name of the value.
    :returns: the sum, including this instance's own value.
    """
    return _sum_zone(state, hash_name(aggregate, name))


def zone_values(state: "State", aggregate: str, name: str) -> dict[str, int]:
    """
    Return a value of each instance of the local zone, as last reported.

    :param state: the state.
    :param aggregate: name of the aggregate.
    :param name: name of the value.
    :returns: values by instance, including this instance's own.
    """
    key = hash_name(aggregate, name)
    aggregates = state.membership.aggregates
    valid_since_s = state.now_s - VALID_S
    return {
        origin: values.get(key, 0)
        for origin, values in aggregates.values_by_origin.items()
        if _is_own_zone(state, origin) and aggregates.last_seen_s[origin] >= valid_since_s
    }


def origin_value(state: "State", origin: str, aggregate: str, name: str) -> int:
    """
    Return a value of an instance of the local zone, or the sum of another zone, as last reported.

    :param state: the state.
    :param origin: the instance or the zone.
    :param aggregate: name of the aggregate.
    :param name: name of the value.
    :returns: the value, 0 when it is unknown.
    """
    aggregates = state.membership.aggregates
    if aggregates.last_seen_s.get(origin, 0.0) < state.now_s - VALID_S:
        return 0
    return aggregates.values_by_origin.get(origin, {}).get(hash_name(aggregate, name), 0)


def hash_name(aggregate: str, name: str) -> int:
    """
    Return the hash that identifies a value in messages.

    :param aggregate: name of the aggregate.
    :param name: name of the value.
    :returns: 32-bit hash.
    """
    return xxhash.xxh32_intdigest(f"{aggregate}/{name}".encode())


def refresh_local_values(state: "State") -> None:
    """
    Update this instance's own values from the providers.

    :param state: the aggregates are changed in place.
    """
    origin = state.identity.sender.instance
    values = {
        hash_name(aggregate, name): value
        for aggregate, provide in PROVIDERS.items()
        for name, value in provide(state).items()
    }
    known = state.membership.aggregates.values_by_origin.get(origin, {})
    gone = {key: 0 for key in known if key not in values}
    _merge_values(state, origin, {**values, **gone})
    for key in {**values, **gone}:
        _update_feed(
            state.membership.aggregates.zone_feed, FeedKey(origin, key), values.get(key, 0)
        )


def merge_received(state: "State", from_zone: str, received: tuple[OriginValues, ...]) -> None:
    """
    Merge the values that a peer has reported.

    :param state: the aggregates are changed in place.
    :param from_zone: zone of the peer.
    :param received: the values that have changed.
    """
    for item in received:
        _merge_values(state, item.origin, item.values)
        if from_zone == state.identity.sender.zone:
            continue
        for key, value in item.values.items():
            _update_feed(state.membership.aggregates.zone_feed, FeedKey(item.origin, key), value)


def mark_origin_seen(aggregates: AggregateState, origin: str, now_s: float) -> None:
    """
    Record that an origin is reachable, even if none of its values has changed.

    :param aggregates: changed in place.
    :param origin: instance of the local zone, or zone.
    :param now_s: current time.
    """
    if origin in aggregates.values_by_origin:
        aggregates.last_seen_s[origin] = now_s


def select_feed_values(
    feed: Feed, peer: Peer, limit: int, now_s: float
) -> tuple[OriginValues, ...]:
    """
    Select the values to send to a peer next.

    :param feed: the feed.
    :param peer: its position in the feed is advanced.
    :param limit: maximum number of values.
    :param now_s: current time.
    :returns: the values, by origin.
    """
    if peer.feed_sent >= feed.sequence and now_s - peer.feed_reset_s >= FULL_RESEND_INTERVAL_S:
        peer.feed_sent = 0
        peer.feed_reset_s = now_s
    unsent = []
    for key, entry in reversed(feed.entries.items()):
        if entry.sequence <= peer.feed_sent:
            break
        unsent.append((key, entry))
    by_origin: dict[str, dict[int, int]] = {}
    for key, entry in islice(reversed(unsent), limit):
        by_origin.setdefault(key.origin, {})[key.key] = entry.value
        peer.feed_sent = entry.sequence
    return tuple(OriginValues(origin, values) for origin, values in by_origin.items())


def _merge_values(state: "State", origin: str, received: Mapping[int, int]) -> None:
    aggregates = state.membership.aggregates
    values = aggregates.values_by_origin.setdefault(origin, {})
    aggregates.last_seen_s[origin] = state.now_s
    for key, value in received.items():
        if value:
            values[key] = value
        else:
            values.pop(key, None)
    if _is_own_zone(state, origin):
        for key in received:
            total = _sum_zone(state, key)
            _update_feed(aggregates.relay_feed, FeedKey(state.identity.sender.zone, key), total)


def _sum_zone(state: "State", key: int) -> int:
    aggregates = state.membership.aggregates
    valid_since_s = state.now_s - VALID_S
    return sum(
        values.get(key, 0)
        for origin, values in aggregates.values_by_origin.items()
        if _is_own_zone(state, origin) and aggregates.last_seen_s[origin] >= valid_since_s
    )


def _is_own_zone(state: "State", origin: str) -> bool:
    own = state.identity.sender
    peer = state.membership.peers.get(origin)
    return origin == own.instance or (peer is not None and peer.sender.zone == own.zone)


def _update_feed(feed: Feed, key: FeedKey, value: int) -> None:
    current = feed.entries.get(key)
    if current is not None and _is_insignificant_change(current.value, value):
        return
    if current is None and not value:
        return
    feed.sequence += 1
    feed.entries.pop(key, None)
    feed.entries[key] = FeedEntry(feed.sequence, value)


def _is_insignificant_change(sent: int, value: int) -> bool:
    if not sent or not value:
        return sent == value
    return abs(value - sent) <= MIN_CHANGE_RATIO * sent
