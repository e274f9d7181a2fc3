"""
Reads the control stream continuously and folds its records.
"""

from collections.abc import Iterator

import msgspec

from . import (
    _allowance_fold,
    _config,
    _keys,
    _maintenance_fold,
    _moves_fold,
    _pools_fold,
    _snapshots_fold,
)
from ._effects import Emit, ReadLog, WriteLog
from ._events import LogRead, LogTruncated, LogUnavailable, RecordFolded, Started
from ._fold import Applier, Decision, fold_record
from ._handlers import HandlerTable
from ._log_state import FollowLog, LogReached, LogTail, SnapshotNeeded, TailRecord
from ._records import Record, StoredRecord
from ._state import Fold, State

# Limits on the folded records that are kept for peers.
TAIL_RECORDS = 2000
TAIL_BYTES = 4 * 1024 * 1024


def _for_slice(name: str, applier: Applier) -> Applier:
    def apply(fold: Fold, offset: int, record: Record) -> str:
        return applier(getattr(fold, name), offset, record)

    return apply


APPLIERS: dict[str, Applier] = {
    **{kind: _for_slice("config", applier) for kind, applier in _config.APPLIERS.items()},
    **{kind: _for_slice("keys", applier) for kind, applier in _keys.APPLIERS.items()},
    **{kind: _for_slice("snapshots", a) for kind, a in _snapshots_fold.APPLIERS.items()},
    **_allowance_fold.APPLIERS,
    **_pools_fold.APPLIERS,
    **_moves_fold.APPLIERS,
    **_maintenance_fold.APPLIERS,
}


def on_started(state: State, event: Started) -> Iterator[object]:
    """
    Seed the random generator; reading starts with `FollowLog`, once the start offset is known.
    """
    state.rng.seed(event.seed)
    return iter(())


def on_follow(state: State, event: FollowLog) -> Iterator[object]:
    """
    Start reading the log at the fold's next offset, unless a read is already pending.
    """
    if not state.log.reading:
        yield _read(state)


def on_log_read(state: State, event: LogRead) -> Iterator[object]:
    """
    Fold the records that were read, and continue reading.
    """
    log = state.log
    issued_s = log.read_issued_s
    log.reading = False
    log.available = True
    log.answered_s = state.now_s
    log.head = max(log.head, event.head)
    log.first = max(log.first, event.first)
    for stored in event.records:
        yield from fold_stored(state, stored)
    if state.fold.position.next_offset > event.head:
        log.caught_up = True
        yield Emit(LogReached(issued_s))
    yield _read(state)


def on_log_unavailable(state: State, event: LogUnavailable) -> Iterator[object]:
    """
    Retry the read after a delay.
    """
    if state.log.available:
        yield WriteLog("log.unavailable", {"reason": event.reason})
    state.log.available = False
    yield _read(state, state.tuning.log_retry_s)


def on_log_truncated(state: State, event: LogTruncated) -> Iterator[object]:
    """
    Report that records are missing; this instance is not ready until its fold is complete again.
    """
    log = state.log
    log.reading = False
    log.answered_s = state.now_s
    log.head = max(log.head, event.head)
    log.first = max(log.first, event.first)
    if state.fold.position.next_offset >= event.first:
        # A peer has supplied the records while the read was pending.
        yield _read(state)
        return
    log.caught_up = False
    yield WriteLog("log.truncated", {"first": event.first, "head": event.head})
    yield Emit(SnapshotNeeded("log truncated"))


def fold_stored(state: State, stored: StoredRecord) -> Iterator[object]:
    """
    Fold one record from the log or from a peer, if it is the next one.

    :param state: the state.
    :param stored: the record; it is ignored when it is not at the next offset.
    :returns: effects that notify the domains.
    """
    if stored.offset != state.fold.position.next_offset:
        return
    decision = fold_record(state.fold.position, APPLIERS, state.fold, stored)
    _add_to_tail(state.tail, stored)
    if decision is not None:
        yield Emit(_build_folded_event(decision))


def _read(state: State, delay_s: float = 0.0) -> ReadLog:
    state.log.reading = True
    state.log.read_issued_s = state.now_s
    return ReadLog(state.fold.position.next_offset, state.tuning.log_wait_s, delay_s)


def _add_to_tail(tail: LogTail, stored: StoredRecord) -> None:
    size = len(msgspec.msgpack.encode(stored))
    tail.records.append(TailRecord(stored, size))
    tail.total_bytes += size
    while len(tail.records) > TAIL_RECORDS or tail.total_bytes > TAIL_BYTES:
        tail.total_bytes -= tail.records.popleft().size_bytes


def _build_folded_event(decision: Decision) -> RecordFolded:
    return RecordFolded(decision.offset, decision.record, decision.accepted, decision.reason)


HANDLERS: HandlerTable = {
    Started: on_started,
    FollowLog: on_follow,
    LogRead: on_log_read,
    LogUnavailable: on_log_unavailable,
    LogTruncated: on_log_truncated,
}
