"""
Starts this instance from a snapshot: the newest usable one in the log, or a peer's state.

The snapshot stream is searched backwards, because the newest snapshots are at its end. Until the
search finds one, a peer is asked for its state as well; whichever is complete first is used.
"""

from collections.abc import Iterator

from . import _snapshots_peer
from ._effects import Emit, WriteLog
from ._events import PeerReceived, Started, Ticked
from ._handlers import HandlerTable
from ._log_state import FollowLog, LogReached, SnapshotNeeded
from ._snapshots_chunks import ChunkError, SnapshotChunk, is_complete, join_chunks
from ._snapshots_codec import SnapshotError
from ._snapshots_install import install
from ._snapshots_messages import (
    ReadSnapshots,
    SnapshotsRead,
    SnapshotsTruncated,
    SnapshotsUnavailable,
    StateGiven,
)
from ._snapshots_state import SEEKING, WHOLE, SnapshotSearch
from ._state import State

WINDOW_CHUNKS = 16
# Maximum number of snapshots whose chunks are held at the same time during the search.
MAX_CANDIDATE_SNAPSHOTS = 4
RETRY_S = 0.5
RETRY_MAX_S = 8.0


def on_started(state: State, event: Started) -> Iterator[object]:
    """
    Search for a snapshot before the log is read.
    """
    yield from _start_search(state, 0.0)


def on_needed(state: State, event: SnapshotNeeded) -> Iterator[object]:
    """
    Search for a snapshot that is newer than the fold.
    """
    if state.snapshots.phase == SEEKING:
        return
    yield WriteLog("recovery.started", {"reason": event.reason})
    yield from _start_search(state, min(RETRY_MAX_S, RETRY_S * 2**state.snapshots.search_count))
    state.snapshots.search_count += 1


def on_reached(state: State, event: LogReached) -> Iterator[object]:
    """
    Reset the backoff of the search, because the fold has caught up.
    """
    state.snapshots.search_count = 0
    return iter(())


def on_read(state: State, event: SnapshotsRead) -> Iterator[object]:
    """
    Collect the chunks, install the newest complete snapshot, or read further back.
    """
    state.snapshots.reading = False
    if state.snapshots.phase != SEEKING:
        return
    search = state.snapshots.search
    if not search.window_first:
        yield from _read_newest(state, event.first, event.head)
        return
    for stored in event.chunks:
        if stored.chunk is not None:
            _collect_chunk(state, stored.chunk)
    yield from _install_newest(state)
    if state.snapshots.phase == SEEKING:
        yield from _read_further_back(state)


def on_truncated(state: State, event: SnapshotsTruncated) -> Iterator[object]:
    """
    Restart the search at the chunks that are still kept.
    """
    state.snapshots.reading = False
    if state.snapshots.phase == SEEKING:
        yield from _read_newest(state, event.first, event.head)


def on_unavailable(state: State, event: SnapshotsUnavailable) -> Iterator[object]:
    """
    Restart the search after a delay.
    """
    state.snapshots.reading = False
    if state.snapshots.phase == SEEKING:
        search = state.snapshots.search
        search.window_first = 0
        search.log_failed = True
        yield _read(state, 1, 1, RETRY_S)


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Ask a peer for its state while the search of the log has found nothing.
    """
    if state.snapshots.phase == SEEKING:
        yield from _snapshots_peer.request_state(state)


def on_peer(state: State, event: PeerReceived) -> Iterator[object]:
    """
    Handle a chunk of a peer's state, or answer a peer's request for state.
    """
    if not isinstance(event.message, StateGiven):
        yield from _snapshots_peer.send_state(state, event)
        return
    if state.snapshots.phase != SEEKING:
        return
    chunks = _snapshots_peer.accept_chunk(state, event.sender, event.message.chunk)
    if not is_complete(chunks):
        yield from _snapshots_peer.request_next_chunks(state)
        return
    try:
        yield from install(state, join_chunks(chunks))
    except (ChunkError, SnapshotError) as exc:
        _snapshots_peer.abandon_peer(state)
        yield _skipped_event(event.message.chunk.snapshot, exc)
        return
    # Only peers that have caught up send their state, so the installed fold has caught up too.
    state.log.caught_up = True
    yield from _finish(state)


def _start_search(state: State, delay_s: float) -> Iterator[object]:
    snapshots = state.snapshots
    snapshots.phase = SEEKING
    snapshots.search = SnapshotSearch(since_s=state.now_s)
    if not snapshots.reading:
        yield _read(state, 1, 1, delay_s)


def _read(state: State, first: int, limit: int, delay_s: float = 0.0) -> ReadSnapshots:
    state.snapshots.reading = True
    return ReadSnapshots(first, limit, delay_s)


def _read_newest(state: State, first: int, head: int) -> Iterator[object]:
    search = state.snapshots.search
    if head < first:
        # Without any snapshot, the log must still hold all records.
        yield from _finish(state)
        return
    search.first = first
    search.window_last = head
    search.window_first = max(first, head - WINDOW_CHUNKS + 1)
    yield _read(state, search.window_first, WINDOW_CHUNKS)


def _read_further_back(state: State) -> Iterator[object]:
    search = state.snapshots.search
    if search.window_first <= search.first:
        yield WriteLog("recovery.no_snapshot", {"chunks_from": search.first})
        yield from _finish(state)
        return
    search.window_last = search.window_first - 1
    search.window_first = max(search.first, search.window_last - WINDOW_CHUNKS + 1)
    count = search.window_last - search.window_first + 1
    yield _read(state, search.window_first, count)


def _collect_chunk(state: State, chunk: SnapshotChunk) -> None:
    search = state.snapshots.search
    if chunk.snapshot in search.rejected:
        return
    search.from_log.setdefault(chunk.snapshot, {})[chunk.number] = chunk
    if len(search.from_log) > MAX_CANDIDATE_SNAPSHOTS:
        search.from_log.pop(min(search.from_log, key=lambda name: _snapshot_offset(state, name)))


def _snapshot_offset(state: State, snapshot: str) -> int:
    chunks = state.snapshots.search.from_log[snapshot]
    return next(iter(chunks.values())).offset


def _install_newest(state: State) -> Iterator[object]:
    search = state.snapshots.search
    complete = [name for name, chunks in search.from_log.items() if is_complete(chunks)]
    for name in sorted(complete, key=lambda name: _snapshot_offset(state, name), reverse=True):
        try:
            yield from install(state, join_chunks(search.from_log[name]))
        except (ChunkError, SnapshotError) as exc:
            search.rejected.add(name)
            del search.from_log[name]
            yield _skipped_event(name, exc)
        else:
            yield from _finish(state)
            return


def _finish(state: State) -> Iterator[object]:
    state.snapshots.phase = WHOLE
    state.snapshots.search = SnapshotSearch()
    yield Emit(FollowLog())


def _skipped_event(snapshot: str, exc: Exception) -> WriteLog:
    return WriteLog("snapshot.skipped", {"snapshot": snapshot, "reason": str(exc)})


HANDLERS: HandlerTable = {
    Started: on_started,
    SnapshotNeeded: on_needed,
    LogReached: on_reached,
    SnapshotsRead: on_read,
    SnapshotsTruncated: on_truncated,
    SnapshotsUnavailable: on_unavailable,
    Ticked: on_tick,
    PeerReceived: on_peer,
}
