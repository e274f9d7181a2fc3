"""
Records that this instance wants in the log, appended in order with one batch in flight.

A batch whose answer was lost is appended again with the same ids once the log answers reads; the
fold takes each id once.
"""

from collections.abc import Iterator

from ._effects import AppendRecords, Emit, WriteLog
from ._events import AppendDone, AppendFailed, RecordFolded, RecordResolved, RecordWanted
from ._handlers import HandlerTable
from ._ids import RecordId
from ._records import Record
from ._state import Outbox, State

BATCH_RECORDS = 50
RETRY_S = 0.5


def on_wanted(state: State, event: RecordWanted) -> Iterator[object]:
    """
    Number the record and append it when nothing is in flight.
    """
    sender = state.identity.sender
    outbox = state.outbox
    record_id = RecordId(sender.instance, sender.incarnation, outbox.next_sequence)
    outbox.next_sequence += 1
    outbox.waiting.append(Record(record_id, event.kind, event.subject, event.base, event.body))
    yield from _send_next(outbox)


def on_done(state: State, event: AppendDone) -> Iterator[object]:
    """
    Append the next batch.
    """
    state.outbox.in_flight = ()
    yield from _send_next(state.outbox)


def on_failed(state: State, event: AppendFailed) -> Iterator[object]:
    """
    Append the same batch again later.
    """
    yield WriteLog("append.failed", {"reason": event.reason})
    if state.outbox.in_flight:
        yield AppendRecords(state.outbox.in_flight, RETRY_S)


def on_folded(state: State, event: RecordFolded) -> Iterator[object]:
    """
    Tell the domains what became of this instance's own records.
    """
    record_id = event.record.id
    sender = state.identity.sender
    if (record_id.writer, record_id.incarnation) == (sender.instance, sender.incarnation):
        yield Emit(RecordResolved(record_id, event.offset, event.accepted, event.reason))


def _send_next(outbox: Outbox) -> Iterator[object]:
    if outbox.in_flight or not outbox.waiting:
        return
    count = min(len(outbox.waiting), BATCH_RECORDS)
    outbox.in_flight = tuple(outbox.waiting.popleft() for _ in range(count))
    yield AppendRecords(outbox.in_flight)


HANDLERS: HandlerTable = {
    RecordWanted: on_wanted,
    AppendDone: on_done,
    AppendFailed: on_failed,
    RecordFolded: on_folded,
}
