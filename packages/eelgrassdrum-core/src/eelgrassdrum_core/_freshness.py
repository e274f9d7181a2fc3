"""
Whether this instance can prove that it knows every withdrawn key.

There are two kinds of proof, and the newer one counts. Either this instance has folded every
record that the log held at some time, as read from the log or reported by a peer; or every zone
was reachable at some time, directly or through relays, so that a withdrawal known in any of them
has arrived here. A message is dated by the echoed timestamp that it carries, so a message that was
delayed in a buffer proves nothing new.
"""

from collections.abc import Iterator

from . import _refusals
from ._config import Team
from ._events import PeerReceived, RecordFolded
from ._handlers import HandlerTable
from ._ids import Sender
from ._log_state import NEVER_S, FoldReplaced, LogReached
from ._membership_messages import Heartbeat
from ._membership_state import DEAD, LEAVING, Peer
from ._refusals import Refusal
from ._state import State

UNVERIFIED_RETRY_S = 2.0
# A peer's proof that could not be used for this time is replaced by a newer one.
PEER_PROOF_KEPT_S = 2.0


def keyed_work_allowed(state: State, team: Team) -> bool:
    """
    Return whether requests with keys of a team may be accepted.

    :param state: the state.
    :param team: the team; its grace period extends the allowed age.
    :returns: whether the newest proof is recent enough.
    """
    if state.membership.superseded:
        return False
    return proof_age_s(state) <= state.tuning.key_freshness_s + team.grace_s


def unverified_refusal(state: State) -> Refusal:
    """
    Return the refusal of a keyed request while keys can't be verified.

    :param state: the state.
    :returns: the refusal; its retry delay has jitter, so that callers don't return all at once.
    """
    return Refusal(_refusals.KEY_UNVERIFIED, UNVERIFIED_RETRY_S * (0.75 + state.rng.random() / 2))


def proof_age_s(state: State) -> float:
    """
    Return the age of the newest proof of freshness.

    :param state: the state.
    :returns: age in seconds, infinite when there is no proof yet.
    """
    proved_s = max(state.freshness.log_proof_s, _all_zones_reached_s(state))
    return float("inf") if proved_s == NEVER_S else state.now_s - proved_s


def is_withdrawn(state: State, name: str) -> bool:
    """
    Return whether a key is known to be withdrawn, from the log or from a peer before the log.

    :param state: the state.
    :param name: ``WORKSPACE/KEYID``.
    :returns: whether it is withdrawn.
    """
    return name in state.freshness.withdrawn or name in state.fold.keys.withdrawn


def on_reached(state: State, event: LogReached) -> Iterator[object]:
    """
    Record a proof after the log was read up to its head.
    """
    state.freshness.log_proof_s = max(state.freshness.log_proof_s, event.as_of_s)
    return iter(())


def on_heartbeat(state: State, event: PeerReceived) -> Iterator[object]:
    """
    Record a peer's proof; it takes effect once the same offset is folded here.
    """
    heartbeat = event.message
    if isinstance(heartbeat, Heartbeat) and _is_current(state, event.sender):
        _update_behind_since(state)
        if heartbeat.echo_s != NEVER_S and heartbeat.head_age_ms >= 0:
            _record_peer_proof(
                state, heartbeat.echo_s - heartbeat.head_age_ms / 1000, heartbeat.next_offset
            )
    return iter(())


def on_folded(state: State, event: RecordFolded) -> Iterator[object]:
    """
    Apply a peer's proof if the fold has reached its offset.
    """
    _update_behind_since(state)
    _apply_peer_proof(state)
    return iter(())


def on_replaced(state: State, event: FoldReplaced) -> Iterator[object]:
    """
    Apply a peer's proof if the fold has reached its offset.
    """
    _update_behind_since(state)
    _apply_peer_proof(state)
    return iter(())


def _is_current(state: State, sender: Sender) -> bool:
    peer = state.membership.peers.get(sender.instance)
    return peer is not None and peer.sender == sender


def _all_zones_reached_s(state: State) -> float:
    membership = state.membership
    if not membership.listed or not state.log.caught_up:
        return NEVER_S
    needed = [peer for peer in membership.peers.values() if _may_know_withdrawals(peer)]
    own_zone = state.identity.sender.zone
    others = {peer.sender.zone for peer in needed} - {own_zone}
    if others:
        contact_times_s = [membership.zones.get(zone, NEVER_S) for zone in others]
    else:
        contact_times_s = [peer.confirmed_s for peer in needed]
    oldest_s = min(contact_times_s, default=state.now_s)
    behind_s = state.freshness.behind_since_s
    return oldest_s if behind_s == NEVER_S else min(oldest_s, behind_s)


def _may_know_withdrawals(peer: Peer) -> bool:
    """
    Return whether an instance may know of a withdrawal that is not known here.

    An instance that sends no heartbeats counts as dead after some seconds. But an instance behind
    a network partition receives no heartbeats at all, so only the platform's instance list or a
    heartbeat that announces leaving proves that a peer is gone.
    """
    return peer.state != LEAVING and (peer.listed or peer.state != DEAD)


def _update_behind_since(state: State) -> None:
    freshness = state.freshness
    own_next = state.fold.position.next_offset
    peers = state.membership.peers.values()
    if all(peer.next_offset <= own_next for peer in peers):
        freshness.behind_since_s = NEVER_S
        freshness.all_zones_reached_s = max(
            freshness.all_zones_reached_s, _all_zones_reached_s(state)
        )
    elif freshness.behind_since_s == NEVER_S:
        # Records that peers have folded since may be as old as the last complete contact.
        freshness.behind_since_s = max(freshness.all_zones_reached_s, 0.0)


def _record_peer_proof(state: State, at_s: float, next_offset: int) -> None:
    freshness = state.freshness
    if state.fold.position.next_offset >= next_offset:
        freshness.log_proof_s = max(freshness.log_proof_s, at_s)
    elif at_s - freshness.peer_proof_s > PEER_PROOF_KEPT_S:
        freshness.peer_proof_s = at_s
        freshness.peer_proof_offset = next_offset


def _apply_peer_proof(state: State) -> None:
    freshness = state.freshness
    if freshness.peer_proof_s == NEVER_S:
        return
    if state.fold.position.next_offset >= freshness.peer_proof_offset:
        freshness.log_proof_s = max(freshness.log_proof_s, freshness.peer_proof_s)
        freshness.peer_proof_s = NEVER_S


HANDLERS: HandlerTable = {
    LogReached: on_reached,
    PeerReceived: on_heartbeat,
    RecordFolded: on_folded,
    FoldReplaced: on_replaced,
}
