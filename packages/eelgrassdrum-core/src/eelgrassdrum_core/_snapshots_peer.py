"""
State from peer to peer, in chunks that the asking side paces.
"""

from collections.abc import Iterator, Mapping

from . import _membership
from ._effects import SendPeer
from ._events import PeerReceived
from ._ids import Sender
from ._log_follower import APPLIERS
from ._membership_state import DEAD, LEAVING, Member
from ._snapshots_chunks import RawSnapshot, SnapshotChunk, count_chunks, cut_chunk
from ._snapshots_codec import encode_snapshot
from ._snapshots_messages import StateAsked, StateGiven
from ._state import State

# The log has this time to bring a snapshot before a peer is asked.
ASK_AFTER_S = 1.0
ANSWER_TIMEOUT_S = 1.0
CHUNKS_PER_QUESTION = 4
# A snapshot made for a peer is kept for others that start at the same time.
OFFER_KEPT_S = 30.0


def ask(state: State) -> Iterator[object]:
    """
    Ask a peer when it is time, and another one when the first does not answer.

    :param state: the state.
    :returns: effects.
    """
    seeking = state.snapshots.seeking
    if not seeking.log_failed and state.now_s - seeking.since_s < ASK_AFTER_S:
        return
    if seeking.peer:
        if state.now_s - seeking.peer_asked_s < ANSWER_TIMEOUT_S:
            return
        give_up(state)
    candidates = _candidates(state)
    if not candidates:
        return
    chosen = candidates[seeking.peer_failures % len(candidates)]
    seeking.peer = chosen.sender.instance
    yield _question(state, chosen.peer_address)


def ask_on(state: State) -> Iterator[object]:
    """
    Ask for the next chunks once those that were asked for have come.

    :param state: the state.
    :returns: effects.
    """
    seeking = state.snapshots.seeking
    peer = state.membership.peers.get(seeking.peer)
    if peer is not None and len(seeking.from_peer) % CHUNKS_PER_QUESTION == 0:
        yield _question(state, peer.peer_address)


def take(state: State, sender: Sender, chunk: SnapshotChunk) -> Mapping[int, SnapshotChunk]:
    """
    Take a chunk from the peer that was asked.

    :param state: the state.
    :param sender: who sent it.
    :param chunk: the chunk.
    :returns: all chunks of its snapshot that have come.
    """
    seeking = state.snapshots.seeking
    if sender.instance != seeking.peer:
        return {}
    if not seeking.peer_snapshot:
        seeking.peer_snapshot = chunk.snapshot
    if chunk.snapshot != seeking.peer_snapshot:
        return {}
    seeking.from_peer[chunk.number] = chunk
    seeking.peer_asked_s = state.now_s
    return seeking.from_peer


def give_up(state: State) -> None:
    """
    Forget what the peer gave, so that another one is asked.

    :param state: the state.
    """
    seeking = state.snapshots.seeking
    seeking.peer_failures += 1
    seeking.peer = ""
    seeking.peer_snapshot = ""
    seeking.from_peer = {}


def answer(state: State, event: PeerReceived) -> Iterator[object]:
    """
    Give chunks of the own state, if it is whole.

    :param state: the state.
    :param event: the message, which may be another one.
    :returns: effects.
    """
    message = event.message
    peer = state.membership.peers.get(event.sender.instance)
    if not isinstance(message, StateAsked) or peer is None or not state.log.caught_up:
        return
    raw = _offer(state, message.snapshot)
    if raw is None:
        return
    last = min(count_chunks(raw), message.first + min(message.limit, CHUNKS_PER_QUESTION))
    for number in range(max(0, message.first), last):
        yield SendPeer(peer.peer_address, StateGiven(cut_chunk(raw, number)))


def drop_old_offer(state: State) -> None:
    """
    Free the snapshot that was made for peers once nobody has asked for a while.

    :param state: the state.
    """
    offered = state.snapshots.offered
    if offered.raw is not None and state.now_s - offered.made_s > 2 * OFFER_KEPT_S:
        offered.raw = None


def _offer(state: State, snapshot: str) -> RawSnapshot | None:
    offered = state.snapshots.offered
    if snapshot:
        is_held = offered.raw is not None and offered.raw.snapshot == snapshot
        return offered.raw if is_held else None
    if offered.raw is None or state.now_s - offered.made_s >= OFFER_KEPT_S:
        offered.raw = encode_snapshot(state.fold, APPLIERS, state.identity.sender)
        offered.made_s = state.now_s
    return offered.raw


def _candidates(state: State) -> list[Member]:
    own_zone = state.identity.sender.zone
    usable = [m for m in _membership.members(state) if m.state not in (DEAD, LEAVING)]
    return sorted(usable, key=lambda m: (m.zone != own_zone, m.sender.instance))


def _question(state: State, address: str) -> SendPeer:
    seeking = state.snapshots.seeking
    seeking.peer_asked_s = state.now_s
    first = len(seeking.from_peer)
    return SendPeer(address, StateAsked(seeking.peer_snapshot, first, CHUNKS_PER_QUESTION))
