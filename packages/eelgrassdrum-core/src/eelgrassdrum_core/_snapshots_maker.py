"""
Creates snapshots before the log drops the records that they replace.

The instance that creates a snapshot is chosen by rendezvous hashing. The next one in that order
takes over when no snapshot is announced in time. Two snapshots of the same state do no harm.
"""

from collections.abc import Iterator

from . import _membership, _snapshots_peer
from ._effects import Emit, WriteLog
from ._events import RecordProposed, Ticked
from ._handlers import HandlerTable
from ._log_follower import APPLIERS
from ._log_state import NEVER_S
from ._membership_state import ALIVE
from ._snapshots_chunks import build_chunk, count_chunks
from ._snapshots_codec import encode_snapshot
from ._snapshots_fold import SNAPSHOT_MADE, SNAPSHOT_SUBJECT
from ._snapshots_messages import (
    AppendSnapshotChunks,
    SnapshotAppendFailed,
    SnapshotChunksAppended,
)
from ._snapshots_state import SnapshotUpload
from ._state import State

CHUNKS_PER_APPEND = 4
APPEND_INTERVAL_S = 0.5
RETRY_S = 1.0
MAX_FAILURES = 30
# Additional wait for each instance that precedes this one in the order of choice.
TAKEOVER_S = 15.0
# A snapshot is due when the newest one covers less than this share of the records in the log.
RETENTION_SHARE = 0.5
RETENTION_MIN_INTERVAL_S = 60.0


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Start a snapshot when one is due and it is this instance's turn, and append the next chunks.
    """
    _snapshots_peer.drop_expired_shared_snapshot(state)
    _track_announcement(state)
    if state.snapshots.upload is not None:
        yield from _append_next(state)
        return
    if not _is_due(state):
        state.snapshots.due_since_s = NEVER_S
        return
    if state.snapshots.due_since_s == NEVER_S:
        state.snapshots.due_since_s = state.now_s
    if state.now_s - state.snapshots.due_since_s >= _own_rank(state) * TAKEOVER_S:
        raw = encode_snapshot(state.fold, APPLIERS, state.identity.sender)
        state.snapshots.upload = SnapshotUpload(raw)
        yield from _append_next(state)


def on_appended(state: State, event: SnapshotChunksAppended) -> Iterator[object]:
    """
    Continue with the next chunks, and announce the snapshot after the last one.
    """
    upload = state.snapshots.upload
    if upload is None:
        return
    upload.next_number += len(upload.in_flight)
    upload.in_flight = ()
    upload.failures = 0
    upload.not_before_s = state.now_s + APPEND_INTERVAL_S
    if upload.next_number < count_chunks(upload.raw):
        return
    state.snapshots.upload = None
    state.snapshots.due_since_s = NEVER_S
    # Prevents another snapshot from becoming due before the announcement is folded.
    state.snapshots.seen_s = state.now_s
    yield WriteLog("snapshot.made", {"snapshot": upload.raw.snapshot})
    base = state.fold.position.revisions.get(SNAPSHOT_SUBJECT, 0)
    body = {"snapshot": upload.raw.snapshot, "offset": upload.raw.offset}
    yield Emit(RecordProposed(SNAPSHOT_MADE, SNAPSHOT_SUBJECT, base, body))


def on_append_failed(state: State, event: SnapshotAppendFailed) -> Iterator[object]:
    """
    Retry the same chunks later; readers use each chunk only once.
    """
    upload = state.snapshots.upload
    if upload is None:
        return
    upload.in_flight = ()
    upload.failures += 1
    upload.not_before_s = state.now_s + RETRY_S * (1 + state.rng.random())
    if upload.failures >= MAX_FAILURES:
        state.snapshots.upload = None
        yield WriteLog("snapshot.abandoned", {"reason": event.reason})


def _append_next(state: State) -> Iterator[object]:
    upload = state.snapshots.upload
    if upload is None or upload.in_flight or state.now_s < upload.not_before_s:
        return
    last = min(count_chunks(upload.raw), upload.next_number + CHUNKS_PER_APPEND)
    numbers = range(upload.next_number, last)
    upload.in_flight = tuple(build_chunk(upload.raw, number) for number in numbers)
    yield AppendSnapshotChunks(upload.in_flight)


def _track_announcement(state: State) -> None:
    announced = state.fold.snapshots.announced
    if announced != state.snapshots.seen_offset or state.snapshots.seen_s == NEVER_S:
        state.snapshots.seen_offset = announced
        state.snapshots.seen_s = state.now_s


def _is_due(state: State) -> bool:
    if state.stopping or not state.log.caught_up or not state.log.available:
        return False
    newest = state.fold.position.next_offset - 1
    covered = state.fold.snapshots.offset
    if newest == 0:
        return False
    if newest - covered >= state.tuning.snapshot_records:
        return True
    age_s = state.now_s - state.snapshots.seen_s
    if age_s >= state.tuning.snapshot_interval_s:
        return True
    if age_s < RETENTION_MIN_INTERVAL_S:
        return False
    kept = newest - state.log.first
    return state.log.first > 1 and newest - covered > kept * (1 - RETENTION_SHARE)


def _own_rank(state: State) -> int:
    own = state.identity.sender
    peers = state.membership.peers.values()
    candidates = [own, *(peer.sender for peer in peers if peer.state == ALIVE)]
    purpose = f"snapshot/{state.fold.snapshots.announced}"
    return _membership.rank(purpose, candidates).index(own)


HANDLERS: HandlerTable = {
    Ticked: on_tick,
    SnapshotChunksAppended: on_appended,
    SnapshotAppendFailed: on_append_failed,
}
