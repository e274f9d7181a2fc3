"""
Records that this instance wants in the log, appended in order with one batch in flight.

Withdrawals go first, under a writer's name of their own, since the fold takes the records of one
writer in the order of their sequence. A batch whose answer was lost is not appended again before
the log was read to a head that is newer than the loss; what was not found there is appended with
the same ids, and the fold takes each id once.
"""

from collections.abc import Iterator

from ._effects import AppendRecords, Emit, WriteLog
from ._events import (
    AppendDone,
    AppendFailed,
    RecordFolded,
    RecordResolved,
    RecordWanted,
    StopRequested,
    Ticked,
)
from ._fold import REASON_FENCED, REASON_REPEATED
from ._handlers import HandlerTable
from ._ids import RecordId
from ._log_state import NEVER_S, NORMAL, URGENT, Lane, LogReached, Outbox, OutboxLane
from ._records import KEY_WITHDRAWN, Record
from ._state import State

BATCH_RECORDS = 50
MAX_WAITING_RECORDS = 2000
# Records that all instances together append in a second at most, below the platform's cap.
FLEET_RECORDS_PER_S = 200.0
MIN_RECORDS_PER_S = 2.0
BACKOFF_MIN_S = 0.25
BACKOFF_MAX_S = 4.0
URGENT_KINDS = frozenset({KEY_WITHDRAWN})
URGENT_SUFFIX = "/urgent"
REASON_OUTBOX_FULL = "outbox_full"


def on_wanted(state: State, event: RecordWanted) -> Iterator[object]:
    """
    Number the record and append it as soon as it is its turn.
    """
    sender = state.identity.sender
    name = URGENT if event.kind in URGENT_KINDS else NORMAL
    lane = state.outbox.lanes[name]
    record_id = RecordId(writer_name(state, name), sender.incarnation, lane.next_sequence)
    if len(lane.waiting) >= MAX_WAITING_RECORDS:
        yield Emit(RecordResolved(record_id, 0, False, REASON_OUTBOX_FULL))
        return
    lane.next_sequence += 1
    lane.waiting.append(Record(record_id, event.kind, event.subject, event.base, event.body))
    yield from _send_next(state)


def on_done(state: State, event: AppendDone) -> Iterator[object]:
    """
    Append the next batch.
    """
    outbox = state.outbox
    lane = _end_append(outbox)
    if lane is not None:
        lane.in_flight = ()
    outbox.failures = 0
    yield from _send_next(state)


def on_failed(state: State, event: AppendFailed) -> Iterator[object]:
    """
    Append the batch again later; when it may be in the log, only after looking there.
    """
    yield WriteLog("append.failed", {"reason": event.reason})
    outbox = state.outbox
    lane = _end_append(outbox)
    if lane is not None and event.may_have_effect:
        lane.uncertain_since_s = state.now_s
    backoff_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**outbox.failures)
    outbox.failures += 1
    outbox.not_before_s = state.now_s + backoff_s * (0.5 + state.rng.random())


def on_reached(state: State, event: LogReached) -> Iterator[object]:
    """
    Settle what was uncertain before the moment up to which the log was read.
    """
    for lane in state.outbox.lanes.values():
        if lane.uncertain_since_s != NEVER_S and lane.uncertain_since_s <= event.as_of_s:
            lane.uncertain_since_s = NEVER_S
    yield from _send_next(state)


def on_folded(state: State, event: RecordFolded) -> Iterator[object]:
    """
    Tell the domains what became of this instance's own records.
    """
    record_id = event.record.id
    if record_id.incarnation != state.identity.sender.incarnation:
        return
    if event.reason == REASON_REPEATED:
        # The first copy of the record was resolved already.
        return
    for name, lane in state.outbox.lanes.items():
        if record_id.writer == writer_name(state, name):
            _remove_folded(lane, record_id.sequence)
            yield Emit(RecordResolved(record_id, event.offset, event.accepted, event.reason))
            if event.reason == REASON_FENCED and not state.membership.superseded:
                state.membership.superseded = True
                yield WriteLog("instance.fenced", {"offset": event.offset})
                yield Emit(StopRequested())


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Append what had to wait for room or for the end of a pause.
    """
    yield from _send_next(state)


def writer_name(state: State, lane: Lane) -> str:
    """
    Give the name under which this instance writes a lane's records.

    :param state: the state.
    :param lane: the lane.
    :returns: the writer's name.
    """
    instance = state.identity.sender.instance
    return instance + URGENT_SUFFIX if lane == URGENT else instance


def _send_next(state: State) -> Iterator[object]:
    outbox = state.outbox
    if outbox.sending or state.now_s < outbox.not_before_s:
        return
    _refill_quota(state)
    for name, lane in outbox.lanes.items():
        if lane.uncertain_since_s != NEVER_S:
            continue
        batch = _take_batch(outbox, lane)
        if batch:
            lane.in_flight = batch
            outbox.sending = name
            outbox.quota_records -= len(batch)
            outbox.appended += len(batch)
            yield AppendRecords(batch)
            return


def _take_batch(outbox: Outbox, lane: OutboxLane) -> tuple[Record, ...]:
    if lane.in_flight:
        if outbox.quota_records < 1:
            return ()
        outbox.repeated += len(lane.in_flight)
        return lane.in_flight
    count = min(len(lane.waiting), BATCH_RECORDS, int(outbox.quota_records))
    return tuple(lane.waiting.popleft() for _ in range(count))


def _refill_quota(state: State) -> None:
    outbox = state.outbox
    writers = 1 + len(state.membership.peers)
    rate = max(MIN_RECORDS_PER_S, FLEET_RECORDS_PER_S / writers)
    if outbox.refilled_s == NEVER_S:
        outbox.quota_records = BATCH_RECORDS
    else:
        gained = (state.now_s - outbox.refilled_s) * rate
        outbox.quota_records = min(BATCH_RECORDS, outbox.quota_records + gained)
    outbox.refilled_s = state.now_s


def _end_append(outbox: Outbox) -> OutboxLane | None:
    for name, lane in outbox.lanes.items():
        if name == outbox.sending:
            outbox.sending = ""
            return lane
    return None


def _remove_folded(lane: OutboxLane, sequence: int) -> None:
    if lane.in_flight:
        lane.in_flight = tuple(r for r in lane.in_flight if r.id.sequence > sequence)


HANDLERS: HandlerTable = {
    RecordWanted: on_wanted,
    AppendDone: on_done,
    AppendFailed: on_failed,
    LogReached: on_reached,
    RecordFolded: on_folded,
    Ticked: on_tick,
}
