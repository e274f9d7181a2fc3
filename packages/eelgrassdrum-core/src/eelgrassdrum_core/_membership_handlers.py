"""
Sends and handles heartbeats, and detects pauses of this process.
"""

from collections.abc import Iterator

from . import _membership, _membership_aggregates, _membership_heartbeat
from ._effects import Emit, SendPeer, WriteLog
from ._events import InstancesListed, PeerReceived, StopRequested, Ticked
from ._handlers import HandlerTable
from ._ids import Sender
from ._membership_heartbeat import RELAY_HEARTBEAT_INTERVAL_S, ZONE_HEARTBEAT_INTERVAL_S
from ._membership_messages import Heartbeat, MemberView, Superseded
from ._membership_state import ALIVE, DEAD, LEAVING, NEVER_S, Peer
from ._state import State

# Interval of heartbeats to instances that count as dead.
DEAD_PEER_HEARTBEAT_INTERVAL_S = 5.0
# A relay that receives nothing from another zone tries the zone's next instance after this time.
TARGET_SILENCE_TIMEOUT_S = 2.0


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Detect a pause, update the liveness of peers, and send the heartbeats that are due.
    """
    membership = state.membership
    yield from _detect_pause(state)
    membership.tick_s = state.now_s
    if state.now_s - membership.zone_heartbeats_sent_s >= ZONE_HEARTBEAT_INTERVAL_S:
        membership.zone_heartbeats_sent_s = state.now_s
        yield from _update_and_log_liveness(state)
        _membership_aggregates.refresh_local_values(state)
        yield from _send_zone_heartbeats(state)
    if state.now_s - membership.relay_heartbeats_sent_s >= RELAY_HEARTBEAT_INTERVAL_S:
        membership.relay_heartbeats_sent_s = state.now_s
        yield from _send_relay_heartbeats(state)


def on_listed(state: State, event: InstancesListed) -> Iterator[object]:
    """
    Update the peers from the platform's instance list.
    """
    own = state.identity.sender
    state.membership.listed = True
    _membership.update_from_list(state.membership, own, event.instances, state.now_s)
    return iter(())


def on_peer(state: State, event: PeerReceived) -> Iterator[object]:
    """
    Handle a heartbeat, or a notice that this incarnation was superseded.
    """
    if isinstance(event.message, Superseded):
        yield from _handle_superseded(state, event.message.incarnation)
    elif isinstance(event.message, Heartbeat):
        yield from _handle_heartbeat(state, event.sender, event.message)


def _detect_pause(state: State) -> Iterator[object]:
    gap_s = _membership.pause_s(state)
    if gap_s <= _membership.PAUSE_THRESHOLD_S:
        return
    membership = state.membership
    membership.last_gap_s = gap_s
    membership.last_gap_ended_s = state.now_s
    membership.pauses += 1
    # No heartbeats could be received during the pause, so it does not count as silence of peers.
    for peer in membership.peers.values():
        if peer.last_seen_s != NEVER_S:
            peer.last_seen_s = max(peer.last_seen_s, state.now_s - _membership.SUSPECT_AFTER_S)
    yield WriteLog("process.paused", {"gap_s": gap_s})


def _update_and_log_liveness(state: State) -> Iterator[object]:
    for member in _membership.update_liveness(state):
        fields = {"instance": member.sender.instance, "state": member.state}
        yield WriteLog("member.changed", fields)


def _send_zone_heartbeats(state: State) -> Iterator[object]:
    zone = state.identity.sender.zone
    state.membership.zone_receivers = len(_membership.zone_peers(state))
    for peer in state.membership.peers.values():
        if peer.sender.zone != zone:
            continue
        if peer.state == DEAD and state.now_s - peer.sent_s < DEAD_PEER_HEARTBEAT_INTERVAL_S:
            continue
        yield SendPeer(peer.peer_address, _membership_heartbeat.build_heartbeat(state, peer))


def _send_relay_heartbeats(state: State) -> Iterator[object]:
    zones = _membership.relayed_zones(state)
    # Each pair of zones has a path from either side, and both carry values.
    state.membership.relay_receivers = 2 * len(zones)
    for zone in zones:
        peer = _choose_target(state, zone)
        if peer is not None:
            yield SendPeer(
                peer.peer_address,
                _membership_heartbeat.build_heartbeat(state, peer, wants_answer=True),
            )


def _choose_target(state: State, zone: str) -> Peer | None:
    peers = state.membership.peers
    in_zone = [p for p in peers.values() if p.sender.zone == zone]
    usable = [p.sender for p in in_zone if p.state not in (DEAD, LEAVING)]
    if not usable:
        return None
    ranked = _membership.rank(f"target/{state.identity.sender.zone}", usable)
    last_s = max(max(p.last_seen_s, p.known_s) for p in in_zone)
    shift = int((state.now_s - last_s) // TARGET_SILENCE_TIMEOUT_S)
    return peers[ranked[shift % len(ranked)].instance]


def _handle_superseded(state: State, incarnation: int) -> Iterator[object]:
    if incarnation <= state.identity.sender.incarnation or state.membership.superseded:
        return
    state.membership.superseded = True
    yield WriteLog("instance.superseded", {"incarnation": incarnation})
    yield Emit(StopRequested())


def _handle_heartbeat(state: State, sender: Sender, heartbeat: Heartbeat) -> Iterator[object]:
    own = state.identity.sender
    if sender.instance == own.instance:
        yield from _handle_superseded(state, sender.incarnation)
        return
    peer = state.membership.peers.get(sender.instance)
    if peer is not None and sender.incarnation < peer.sender.incarnation:
        yield SendPeer(heartbeat.peer_address, Superseded(peer.sender.incarnation))
        return
    if peer is None or sender.incarnation > peer.sender.incarnation:
        peer = Peer(sender, heartbeat.peer_address, known_s=state.now_s)
        state.membership.peers[sender.instance] = peer
    _update_peer(state, peer, heartbeat)
    _update_zones(state, peer, heartbeat)
    _update_members(state, sender.zone, heartbeat)
    if sender.zone == own.zone:
        _membership_aggregates.mark_origin_seen(
            state.membership.aggregates, sender.instance, state.now_s
        )
    _membership_aggregates.merge_received(state, sender.zone, heartbeat.values)
    if heartbeat.wants_answer:
        yield SendPeer(peer.peer_address, _membership_heartbeat.build_heartbeat(state, peer))


def _update_peer(state: State, peer: Peer, heartbeat: Heartbeat) -> None:
    peer.peer_address = heartbeat.peer_address
    peer.last_seen_s = state.now_s
    peer.echo_s = max(peer.echo_s, heartbeat.sent_s)
    peer.confirmed_s = max(peer.confirmed_s, heartbeat.echo_s)
    peer.suspects = frozenset(heartbeat.suspects)
    peer.next_offset = max(peer.next_offset, heartbeat.next_offset)
    liveness = LEAVING if heartbeat.leaving else ALIVE
    if peer.state != liveness:
        peer.state = liveness
        peer.changed_s = state.now_s


def _update_zones(state: State, peer: Peer, heartbeat: Heartbeat) -> None:
    own_zone = state.identity.sender.zone
    if heartbeat.echo_s == NEVER_S:
        return
    from_own_zone = peer.sender.zone == own_zone
    if not from_own_zone:
        _update_zone_reachability(state, peer.sender.zone, heartbeat.echo_s, from_own_zone)
    for view in heartbeat.zones:
        if view.zone != own_zone:
            at_s = heartbeat.echo_s - view.age_ms / 1000
            _update_zone_reachability(state, view.zone, at_s, from_own_zone)


def _update_zone_reachability(state: State, zone: str, at_s: float, from_own_zone: bool) -> None:
    membership = state.membership
    if at_s > membership.zones.get(zone, NEVER_S):
        membership.zones[zone] = at_s
        if from_own_zone:
            membership.zones_from_local_peers.add(zone)
        else:
            membership.zones_from_local_peers.discard(zone)
        if state.now_s - at_s <= _membership.ZONE_REACHABLE_S:
            _membership_aggregates.mark_origin_seen(membership.aggregates, zone, state.now_s)


def _update_members(state: State, from_zone: str, heartbeat: Heartbeat) -> None:
    own_zone = state.identity.sender.zone
    if from_zone != own_zone:
        state.membership.direct_heartbeats_s[from_zone] = state.now_s
    for view in heartbeat.members:
        peer = state.membership.peers.get(view.instance)
        if peer is None or peer.sender.zone == own_zone:
            continue
        zone = peer.sender.zone
        has_authority = zone == from_zone or not _membership_heartbeat.has_direct_heartbeats(
            state, zone
        )
        if has_authority and view.incarnation == peer.sender.incarnation:
            _update_member(state, peer, view)


def _update_member(state: State, peer: Peer, view: MemberView) -> None:
    is_gone = view.state in (DEAD, LEAVING)
    was_gone = peer.state in (DEAD, LEAVING)
    if is_gone != was_gone:
        peer.state = view.state if is_gone else ALIVE
        peer.changed_s = state.now_s


HANDLERS: HandlerTable = {
    Ticked: on_tick,
    InstancesListed: on_listed,
    PeerReceived: on_peer,
}
