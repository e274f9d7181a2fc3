"""
Builds the heartbeats that instances send within their zone and that relays send to other zones.
"""

from . import _freshness_withdrawals, _membership, _membership_aggregates
from ._membership_messages import Heartbeat, MemberView, OriginValues, ZoneView
from ._membership_state import ALIVE, DEAD, LEAVING, NEVER_S, Peer
from ._state import State

ZONE_HEARTBEAT_INTERVAL_S = 0.5
RELAY_HEARTBEAT_INTERVAL_S = 1.0
# A change of liveness is reported in heartbeats for this time.
LIVENESS_CHANGE_REPORT_S = 10.0
# An instance reports members of another zone to its own zone only if it has received a heartbeat
# from that zone within this time.
DIRECT_HEARTBEAT_MAX_AGE_S = 3.0
MAX_MEMBERS_PER_HEARTBEAT = 32
# The largest value that MessagePack encodes in three bytes.
MAX_AGE_MS = 65_535


def build_heartbeat(state: State, peer: Peer, *, wants_answer: bool = False) -> Heartbeat:
    """
    Build the heartbeat for one peer.

    :param state: the peer's entry is updated with what is sent.
    :param peer: the receiver.
    :param wants_answer: whether the peer has to answer at once.
    :returns: the message.
    """
    in_zone = peer.sender.zone == state.identity.sender.zone
    peer.sent_s = state.now_s
    return Heartbeat(
        sent_s=state.now_s,
        echo_s=peer.echo_s,
        peer_address=state.identity.peer_address,
        leaving=state.stopping,
        next_offset=state.fold.position.next_offset,
        head_age_ms=_head_age_ms(state),
        wants_answer=wants_answer,
        zones=_build_zone_views(state, in_zone),
        suspects=_list_suspects(state),
        members=_build_changed_members(state) if in_zone else _build_zone_members(state),
        values=_select_values(state, peer, in_zone),
        withdrawn=_freshness_withdrawals.unacknowledged_withdrawals(state, peer.withdrawn_seen),
        withdrawn_version=state.freshness.version,
        withdrawn_seen=peer.withdrawn_version,
    )


def has_direct_heartbeats(state: State, zone: str) -> bool:
    """
    Return whether this instance receives heartbeats directly from a zone, so that it can report on
    the zone's members.

    :param state: the state.
    :param zone: the other zone.
    :returns: whether one has arrived recently.
    """
    return (
        state.now_s - state.membership.direct_heartbeats_s.get(zone, -DIRECT_HEARTBEAT_MAX_AGE_S)
        < DIRECT_HEARTBEAT_MAX_AGE_S
    )


def _head_age_ms(state: State) -> int:
    log_proof_s = state.freshness.log_proof_s
    return -1 if log_proof_s == NEVER_S else int((state.now_s - log_proof_s) * 1000) + 1


def _build_zone_views(state: State, in_zone: bool) -> tuple[ZoneView, ...]:
    views = []
    for zone, at_s in state.membership.zones.items():
        if in_zone and zone in state.membership.zones_from_local_peers:
            # Another instance of this zone has the newer contact and reports it to all.
            continue
        age_ms = int((state.now_s - at_s) * 1000) + 1
        if age_ms <= MAX_AGE_MS:
            views.append(ZoneView(zone, age_ms))
    return tuple(views)


def _list_suspects(state: State) -> tuple[str, ...]:
    since_s = state.now_s - _membership.SUSPECT_AFTER_S
    zone = state.identity.sender.zone
    silent = [
        instance
        for instance, peer in state.membership.peers.items()
        if peer.sender.zone == zone and peer.last_seen_s < since_s
    ]
    return tuple(silent[:MAX_MEMBERS_PER_HEARTBEAT])


def _build_zone_members(state: State) -> tuple[MemberView, ...]:
    own = state.identity.sender
    views = [MemberView(own.instance, own.incarnation, LEAVING if state.stopping else ALIVE)]
    for member in _membership.members(state):
        if member.zone == own.zone:
            sender = member.sender
            views.append(MemberView(sender.instance, sender.incarnation, member.state))
    return tuple(views[:MAX_MEMBERS_PER_HEARTBEAT])


def _build_changed_members(state: State) -> tuple[MemberView, ...]:
    own_zone = state.identity.sender.zone
    changed = [
        MemberView(peer.sender.instance, peer.sender.incarnation, peer.state)
        for peer in state.membership.peers.values()
        if peer.sender.zone != own_zone
        and has_direct_heartbeats(state, peer.sender.zone)
        and (
            peer.state in (DEAD, LEAVING) or state.now_s - peer.changed_s < LIVENESS_CHANGE_REPORT_S
        )
    ]
    return tuple(changed[:MAX_MEMBERS_PER_HEARTBEAT])


def _select_values(state: State, peer: Peer, in_zone: bool) -> tuple[OriginValues, ...]:
    membership = state.membership
    if in_zone:
        limit = _membership_aggregates.ZONE_VALUES_PER_S * ZONE_HEARTBEAT_INTERVAL_S
        receivers = membership.zone_receivers
        feed = membership.aggregates.zone_feed
    else:
        limit = _membership_aggregates.RELAY_VALUES_PER_S * RELAY_HEARTBEAT_INTERVAL_S
        receivers = membership.relay_receivers
        feed = membership.aggregates.relay_feed
    peer_limit = max(1, int(limit / max(1, receivers)))
    return _membership_aggregates.select_feed_values(feed, peer, peer_limit, state.now_s)
