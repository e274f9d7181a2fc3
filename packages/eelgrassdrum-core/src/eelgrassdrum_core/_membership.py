"""
Membership: the known entry instances, their liveness, and the relays between zones.

Within a zone each instance sends heartbeats to all others. Between two zones only the relays do:
instances chosen by rendezvous hashing. The choice differs by zone, so the load per instance falls
as its zone grows. An instance is suspect before it counts as dead, and it counts as dead only when
no other instance of the zone receives its heartbeats. Liveness is only a hint for decisions; no
guarantee to callers depends on it.
"""

from collections.abc import Iterable
from functools import lru_cache

import xxhash

from ._events import ListedInstance
from ._ids import Sender
from ._membership_state import (
    ALIVE,
    DEAD,
    LEAVING,
    NEVER_S,
    SUSPECT,
    UNKNOWN,
    Member,
    MembershipState,
    Peer,
)
from ._state import State

SUSPECT_AFTER_S = 2.0
DEAD_AFTER_S = 6.0
# Time after which a silent instance that is not in the platform's list is removed.
FORGET_AFTER_S = 30.0
ZONE_REACHABLE_S = 5.0
# Both zones of a pair choose relays, so each pair of zones has twice as many paths.
RELAYS_PER_ZONE_PAIR = 2
PAUSE_THRESHOLD_S = 1.0


def members(state: State) -> tuple[Member, ...]:
    """
    Return all other known entry instances.

    :param state: the state.
    :returns: the instances, sorted by id.
    """
    peers = state.membership.peers
    return tuple(_to_member(peers[instance]) for instance in sorted(peers))


def zone_peers(state: State) -> tuple[Member, ...]:
    """
    Return the other entry instances of the local zone that are not dead.

    :param state: the state.
    :returns: the instances, sorted by id.
    """
    zone = state.identity.sender.zone
    peers = state.membership.peers
    names = (n for n, peer in peers.items() if peer.sender.zone == zone and peer.state != DEAD)
    return tuple(_to_member(peers[name]) for name in sorted(names))


def reachable_zones(state: State) -> frozenset[str]:
    """
    Return the zones that are reachable, directly or through relays, including the local zone.

    :param state: the state.
    :returns: names of zones.
    """
    since_s = state.now_s - ZONE_REACHABLE_S
    reached = {zone for zone, at_s in state.membership.zones.items() if at_s >= since_s}
    return frozenset(reached | {state.identity.sender.zone})


def known_zones(state: State) -> frozenset[str]:
    """
    Return the zones with an entry instance that is not known to be dead or leaving.

    :param state: the state.
    :returns: names of zones.
    """
    gone = (DEAD, LEAVING)
    peers = state.membership.peers.values()
    zones = {peer.sender.zone for peer in peers if peer.state not in gone}
    return frozenset(zones | {state.identity.sender.zone})


def relayed_zones(state: State) -> tuple[str, ...]:
    """
    Return the other zones for which this instance is a relay of the local zone.

    :param state: the state.
    :returns: names of zones, sorted.
    """
    own = state.identity.sender
    candidates = _relay_candidates(state)
    others = sorted(known_zones(state) - {own.zone})
    return tuple(zone for zone in others if own in _choose_relays(zone, candidates))


def is_relay(state: State) -> bool:
    """
    Return whether this instance is a relay between its zone and another one.

    :param state: the state.
    :returns: whether it is a relay.
    """
    return bool(relayed_zones(state))


def relays(state: State, zone: str) -> tuple[Sender, ...]:
    """
    Return the local zone's relays to another zone, first choice first.

    :param state: the state.
    :param zone: the other zone.
    :returns: up to `RELAYS_PER_ZONE_PAIR` instances; none for the local zone.
    """
    if zone == state.identity.sender.zone:
        return ()
    return _choose_relays(zone, _relay_candidates(state))


def rank(purpose: str, senders: Iterable[Sender]) -> tuple[Sender, ...]:
    """
    Order instances by rendezvous hashing.

    :param purpose: what they are chosen for, which is part of the hash.
    :param senders: the candidates.
    :returns: the candidates, first choice first.
    """
    return tuple(sorted(senders, key=lambda s: _weight(purpose, s.instance), reverse=True))


def pause_s(state: State) -> float:
    """
    Return the time since the last tick, which is long right after a pause of the process.

    :param state: the state.
    :returns: seconds, 0 before the first tick.
    """
    tick_s = state.membership.tick_s
    return 0.0 if tick_s == NEVER_S else state.now_s - tick_s


def update_from_list(
    membership: MembershipState, own: Sender, listed: Iterable[ListedInstance], now_s: float
) -> None:
    """
    Update the peers from the platform's instance list, which may be stale.

    :param membership: changed in place.
    :param own: this instance, which is skipped.
    :param listed: all instances of the list.
    :param now_s: current time.
    """
    entries = {item.id: item for item in listed if item.role == "entry" and item.peer_address}
    entries.pop(own.instance, None)
    for item in entries.values():
        _add_listed(membership, item, now_s)
    for instance, peer in list(membership.peers.items()):
        peer.listed = instance in entries
        if not peer.listed and now_s - max(peer.last_seen_s, peer.known_s) > FORGET_AFTER_S:
            del membership.peers[instance]


def update_liveness(state: State) -> tuple[Member, ...]:
    """
    Update the liveness of all peers.

    :param state: the membership is changed in place.
    :returns: the instances whose state has changed.
    """
    changed = []
    for peer in state.membership.peers.values():
        liveness = _assess_liveness(state, peer)
        if liveness != peer.state:
            peer.state = liveness
            peer.changed_s = state.now_s
            changed.append(_to_member(peer))
    return tuple(changed)


def _relay_candidates(state: State) -> list[Sender]:
    own = state.identity.sender
    peers = state.membership.peers.values()
    return [own, *(p.sender for p in peers if p.sender.zone == own.zone and p.state == ALIVE)]


def _choose_relays(zone: str, candidates: list[Sender]) -> tuple[Sender, ...]:
    return rank(f"relay/{zone}", candidates)[:RELAYS_PER_ZONE_PAIR]


def _assess_liveness(state: State, peer: Peer) -> str:
    if peer.sender.zone != state.identity.sender.zone:
        return _assess_remote_liveness(state, peer)
    if peer.last_seen_s == NEVER_S:
        return DEAD if state.now_s - peer.known_s > DEAD_AFTER_S else UNKNOWN
    silent_s = state.now_s - peer.last_seen_s
    if peer.state == LEAVING:
        return DEAD if silent_s > DEAD_AFTER_S else LEAVING
    if silent_s <= SUSPECT_AFTER_S:
        return ALIVE
    if peer.state == DEAD:
        return DEAD
    if silent_s <= DEAD_AFTER_S or _is_seen_by_others(state, peer):
        return SUSPECT
    return DEAD


def _assess_remote_liveness(state: State, peer: Peer) -> str:
    # Only instances of its own zone can detect that a remote instance is dead; a zone that sends
    # nothing may merely be unreachable.
    if peer.state in (DEAD, LEAVING):
        return peer.state
    zone_s = state.membership.zones.get(peer.sender.zone, NEVER_S)
    if zone_s == NEVER_S:
        return UNKNOWN
    return SUSPECT if state.now_s - zone_s > ZONE_REACHABLE_S else ALIVE


def _is_seen_by_others(state: State, suspect: Peer) -> bool:
    return any(
        peer.sender.zone == suspect.sender.zone
        and peer.state == ALIVE
        and suspect.sender.instance not in peer.suspects
        for peer in state.membership.peers.values()
        if peer is not suspect
    )


def _add_listed(membership: MembershipState, item: ListedInstance, now_s: float) -> None:
    sender = Sender(item.id, item.incarnation, item.zone)
    peer = membership.peers.get(item.id)
    if peer is None or item.incarnation > peer.sender.incarnation:
        peer = Peer(sender, item.peer_address, known_s=now_s)
        membership.peers[item.id] = peer
    elif item.incarnation == peer.sender.incarnation:
        peer.peer_address = item.peer_address
    if item.state == "leaving" and item.incarnation == peer.sender.incarnation:
        peer.state = LEAVING


def _to_member(peer: Peer) -> Member:
    return Member(peer.sender, peer.peer_address, peer.sender.zone, peer.state)


@lru_cache(maxsize=65_536)
def _weight(purpose: str, instance: str) -> int:
    return xxhash.xxh64_intdigest(f"{purpose}/{instance}".encode())
