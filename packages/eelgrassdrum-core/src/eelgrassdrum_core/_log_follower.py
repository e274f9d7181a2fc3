"""
Follows the control stream and folds its records.
"""

from collections.abc import Iterator

from . import _allowance_fold, _config, _keys, _moves_fold, _pools_fold
from ._effects import Emit, ReadLog, WriteLog
from ._events import LogRead, LogTruncated, LogUnavailable, RecordFolded, Started
from ._fold import Applier, Decision, fold_record
from ._handlers import HandlerTable
from ._records import Record
from ._state import Fold, State


def _for_slice(name: str, applier: Applier) -> Applier:
    def apply(fold: Fold, offset: int, record: Record) -> str:
        return applier(getattr(fold, name), offset, record)

    return apply


APPLIERS: dict[str, Applier] = {
    **{kind: _for_slice("config", applier) for kind, applier in _config.APPLIERS.items()},
    **{kind: _for_slice("keys", applier) for kind, applier in _keys.APPLIERS.items()},
    **_allowance_fold.APPLIERS,
    **_pools_fold.APPLIERS,
    **_moves_fold.APPLIERS,
}


def on_started(state: State, event: Started) -> Iterator[object]:
    """
    Begin to read the log.
    """
    state.rng.seed(event.seed)
    yield ReadLog(state.fold.position.next_offset, state.tuning.log_wait_s)


def on_log_read(state: State, event: LogRead) -> Iterator[object]:
    """
    Fold what was read, and read on.
    """
    state.log.available = True
    state.log.head = max(state.log.head, event.head)
    for stored in event.records:
        if stored.offset < state.fold.position.next_offset:
            continue
        decision = fold_record(state.fold.position, APPLIERS, state.fold, stored)
        if decision is not None:
            yield Emit(_folded(decision))
    if state.fold.position.next_offset > event.head:
        state.log.caught_up = True
    yield ReadLog(state.fold.position.next_offset, state.tuning.log_wait_s)


def on_log_unavailable(state: State, event: LogUnavailable) -> Iterator[object]:
    """
    Try again later.
    """
    if state.log.available:
        yield WriteLog("log.unavailable", {"reason": event.reason})
    state.log.available = False
    yield ReadLog(
        state.fold.position.next_offset, state.tuning.log_wait_s, state.tuning.log_retry_s
    )


def on_log_truncated(state: State, event: LogTruncated) -> Iterator[object]:
    """
    Say that records are missing; this instance stays unready until it has a snapshot.
    """
    state.log.caught_up = False
    yield WriteLog("log.truncated", {"first": event.first, "head": event.head})
    yield ReadLog(
        state.fold.position.next_offset, state.tuning.log_wait_s, state.tuning.log_retry_s
    )


def _folded(decision: Decision) -> RecordFolded:
    return RecordFolded(decision.offset, decision.record, decision.accepted, decision.reason)


HANDLERS: HandlerTable = {
    Started: on_started,
    LogRead: on_log_read,
    LogUnavailable: on_log_unavailable,
    LogTruncated: on_log_truncated,
}
