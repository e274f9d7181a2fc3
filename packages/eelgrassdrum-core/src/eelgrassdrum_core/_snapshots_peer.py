"""
Transfer of state between peers, in chunks that the receiver requests at its own rate.
"""

from collections.abc import Iterator, Mapping

from . import _membership
from ._effects import SendPeer
from ._events import PeerReceived
from ._ids import Sender
from ._log_follower import APPLIERS
from ._membership_state import DEAD, LEAVING, Member
from ._snapshots_chunks import RawSnapshot, SnapshotChunk, build_chunk, count_chunks
from ._snapshots_codec import encode_snapshot
from ._snapshots_messages import StateAsked, StateGiven
from ._state import State

# Time for the snapshot stream to supply a snapshot before a peer is asked.
PEER_REQUEST_DELAY_S = 1.0
ANSWER_TIMEOUT_S = 1.0
CHUNKS_PER_REQUEST = 4
# A snapshot built for a peer is reused for other peers that start within this time.
SHARED_SNAPSHOT_REUSE_S = 30.0


def request_state(state: State) -> Iterator[object]:
    """
    Request state from a peer once the snapshot stream has failed or had time to supply a snapshot,
    and from another peer if the first doesn't answer.

    :param state: the state.
    :returns: effects.
    """
    search = state.snapshots.search
    if not search.log_failed and state.now_s - search.since_s < PEER_REQUEST_DELAY_S:
        return
    if search.peer:
        if state.now_s - search.peer_requested_s < ANSWER_TIMEOUT_S:
            return
        abandon_peer(state)
    candidates = _candidates(state)
    if not candidates:
        return
    chosen = candidates[search.peer_failures % len(candidates)]
    search.peer = chosen.sender.instance
    yield _build_request(state, chosen.peer_address)


def request_next_chunks(state: State) -> Iterator[object]:
    """
    Request the next chunks once all chunks requested before have arrived.

    :param state: the state.
    :returns: effects.
    """
    search = state.snapshots.search
    peer = state.membership.peers.get(search.peer)
    if peer is not None and len(search.from_peer) % CHUNKS_PER_REQUEST == 0:
        yield _build_request(state, peer.peer_address)


def accept_chunk(state: State, sender: Sender, chunk: SnapshotChunk) -> Mapping[int, SnapshotChunk]:
    """
    Store a chunk from the peer that was asked, and ignore chunks of other peers.

    :param state: the state.
    :param sender: sender of the chunk.
    :param chunk: the chunk.
    :returns: all chunks of its snapshot received so far, none when the chunk was ignored.
    """
    search = state.snapshots.search
    if sender.instance != search.peer:
        return {}
    if not search.peer_snapshot:
        search.peer_snapshot = chunk.snapshot
    if chunk.snapshot != search.peer_snapshot:
        return {}
    search.from_peer[chunk.number] = chunk
    search.peer_requested_s = state.now_s
    return search.from_peer


def abandon_peer(state: State) -> None:
    """
    Discard the chunks of the peer, so that another peer is asked.

    :param state: the state.
    """
    search = state.snapshots.search
    search.peer_failures += 1
    search.peer = ""
    search.peer_snapshot = ""
    search.from_peer = {}


def send_state(state: State, event: PeerReceived) -> Iterator[object]:
    """
    Answer a peer's request with chunks of this instance's state, if its fold has caught up.

    :param state: the state.
    :param event: the message, which is ignored when it is not a `StateAsked`.
    :returns: effects.
    """
    message = event.message
    peer = state.membership.peers.get(event.sender.instance)
    if not isinstance(message, StateAsked) or peer is None or not state.log.caught_up:
        return
    raw = _get_shared_snapshot(state, message.snapshot)
    if raw is None:
        return
    last = min(count_chunks(raw), message.first + min(message.limit, CHUNKS_PER_REQUEST))
    for number in range(max(0, message.first), last):
        yield SendPeer(peer.peer_address, StateGiven(build_chunk(raw, number)))


def drop_expired_shared_snapshot(state: State) -> None:
    """
    Free the snapshot that was built for peers, once transfers that started while it was shared have
    had time to end.

    :param state: the state.
    """
    shared = state.snapshots.shared_snapshot
    if shared.raw is not None and state.now_s - shared.made_s > 2 * SHARED_SNAPSHOT_REUSE_S:
        shared.raw = None


def _get_shared_snapshot(state: State, snapshot: str) -> RawSnapshot | None:
    shared = state.snapshots.shared_snapshot
    if snapshot:
        is_held = shared.raw is not None and shared.raw.snapshot == snapshot
        return shared.raw if is_held else None
    if shared.raw is None or state.now_s - shared.made_s >= SHARED_SNAPSHOT_REUSE_S:
        shared.raw = encode_snapshot(state.fold, APPLIERS, state.identity.sender)
        shared.made_s = state.now_s
    return shared.raw


def _candidates(state: State) -> list[Member]:
    own_zone = state.identity.sender.zone
    usable = [m for m in _membership.members(state) if m.state not in (DEAD, LEAVING)]
    return sorted(usable, key=lambda m: (m.zone != own_zone, m.sender.instance))


def _build_request(state: State, address: str) -> SendPeer:
    search = state.snapshots.search
    search.peer_requested_s = state.now_s
    first = len(search.from_peer)
    return SendPeer(address, StateAsked(search.peer_snapshot, first, CHUNKS_PER_REQUEST))
