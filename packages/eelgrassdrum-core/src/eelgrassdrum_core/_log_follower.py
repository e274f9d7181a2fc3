"""
Follows the control stream and folds its records.
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

# Bounds of the records that are kept for peers.
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
    Seed the random choices; reading begins once it is known where.
    """
    state.rng.seed(event.seed)
    return iter(())


def on_follow(state: State, event: FollowLog) -> Iterator[object]:
    """
    Read the log from the fold's offset on, unless a read is awaited already.
    """
    if not state.log.reading:
        yield _read(state)


def on_log_read(state: State, event: LogRead) -> Iterator[object]:
    """
    Fold what was read, and read on.
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
    Try again later.
    """
    if state.log.available:
        yield WriteLog("log.unavailable", {"reason": event.reason})
    state.log.available = False
    yield _read(state, state.tuning.log_retry_s)


def on_log_truncated(state: State, event: LogTruncated) -> Iterator[object]:
    """
    Say that records are missing; this instance is unready until its fold is whole again.
    """
    log = state.log
    log.reading = False
    log.answered_s = state.now_s
    log.head = max(log.head, event.head)
    log.first = max(log.first, event.first)
    if state.fold.position.next_offset >= event.first:
        # Records came from a peer while the read was under way.
        yield _read(state)
        return
    log.caught_up = False
    yield WriteLog("log.truncated", {"first": event.first, "head": event.head})
    yield Emit(SnapshotNeeded("log truncated"))


def fold_stored(state: State, stored: StoredRecord) -> Iterator[object]:
    """
    Fold one record, from the log or from a peer, unless it is folded already.

    :param state: the state.
    :param stored: the record; one that is not the next offset is left alone.
    :returns: effects that tell the domains.
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
