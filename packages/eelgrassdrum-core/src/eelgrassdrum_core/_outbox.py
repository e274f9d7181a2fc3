"""
Outbox of records that this instance appends to the log, in order, with one batch in flight.

Key withdrawals are appended first, under a separate writer name, because the fold accepts the
records of one writer only in the order of their sequence numbers. A batch with an unknown outcome
is not appended again until the log has been read up to a head that is newer than the failure.
Records that were not found there are appended again with the same ids; the fold applies each id
only once. A record of limited validity that has expired is dropped instead.
"""

from collections import deque
from collections.abc import Iterator
from math import inf

from ._effects import AppendRecords, Emit, WriteLog
from ._events import (
    AppendDone,
    AppendFailed,
    RecordFolded,
    RecordProposed,
    RecordResolved,
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
# Limit for all instances together, below the platform's rate limit.
FLEET_RECORDS_PER_S = 200.0
MIN_RECORDS_PER_S = 2.0
BACKOFF_MIN_S = 0.25
BACKOFF_MAX_S = 4.0
URGENT_KINDS = frozenset({KEY_WITHDRAWN})
URGENT_SUFFIX = "/urgent"
REASON_OUTBOX_FULL = "outbox_full"
REASON_EXPIRED = "expired"


def on_proposed(state: State, event: RecordProposed) -> Iterator[object]:
    """
    Assign a sequence number to the record and put it in its lane.
    """
    sender = state.identity.sender
    name = URGENT if event.kind in URGENT_KINDS else NORMAL
    lane = state.outbox.lanes[name]
    record_id = RecordId(writer_name(state, name), sender.incarnation, lane.next_sequence)
    if len(lane.waiting) >= MAX_WAITING_RECORDS:
        yield Emit(RecordResolved(record_id, 0, False, REASON_OUTBOX_FULL))
        return
    lane.next_sequence += 1
    if event.valid_s < inf:
        lane.expires_s[record_id.sequence] = state.now_s + event.valid_s
    lane.waiting.append(Record(record_id, event.kind, event.subject, event.base, event.body))
    yield from _send_next(state)


def on_done(state: State, event: AppendDone) -> Iterator[object]:
    """
    Continue with the next batch after a successful append.
    """
    outbox = state.outbox
    lane = _end_append(outbox)
    if lane is not None:
        lane.in_flight = ()
    outbox.failures = 0
    yield from _send_next(state)


def on_failed(state: State, event: AppendFailed) -> Iterator[object]:
    """
    Append the batch again after a backoff; if it may be in the log, only after reading the log.
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
    End the uncertainty of batches that failed before the log was read.
    """
    for lane in state.outbox.lanes.values():
        if lane.uncertain_since_s != NEVER_S and lane.uncertain_since_s <= event.as_of_s:
            lane.uncertain_since_s = NEVER_S
    yield from _send_next(state)


def on_folded(state: State, event: RecordFolded) -> Iterator[object]:
    """
    Notify the domains of the outcome of this instance's own records.
    """
    record_id = event.record.id
    if record_id.incarnation != state.identity.sender.incarnation:
        return
    if event.reason == REASON_REPEATED:
        # The first copy of the record has already been resolved.
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
    Append records that had to wait for quota or for the end of a backoff.
    """
    yield from _send_next(state)


def writer_name(state: State, lane: Lane) -> str:
    """
    Return the writer name of this instance for a lane.

    :param state: the state.
    :param lane: the lane.
    :returns: the writer name.
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
        yield from _drop_expired(lane, state.now_s)
        batch = _take_batch(outbox, lane)
        if batch:
            lane.in_flight = batch
            outbox.sending = name
            outbox.quota_records -= len(batch)
            outbox.appended += len(batch)
            yield AppendRecords(batch)
            return


def _drop_expired(lane: OutboxLane, now_s: float) -> Iterator[object]:
    """
    Drop the records that have expired, none of which is in an append that is pending.
    """
    expired = {sequence for sequence, at_s in lane.expires_s.items() if at_s <= now_s}
    if not expired:
        return
    dropped = [r for r in (*lane.in_flight, *lane.waiting) if r.id.sequence in expired]
    lane.in_flight = tuple(r for r in lane.in_flight if r.id.sequence not in expired)
    lane.waiting = deque(r for r in lane.waiting if r.id.sequence not in expired)
    for sequence in expired:
        del lane.expires_s[sequence]
    if dropped:
        fields = {"records": len(dropped), "first": dropped[0].subject}
        yield WriteLog("append.expired", fields)
    for record in dropped:
        yield Emit(RecordResolved(record.id, 0, False, REASON_EXPIRED))


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
    lane.expires_s.pop(sequence, None)
    if lane.in_flight:
        lane.in_flight = tuple(r for r in lane.in_flight if r.id.sequence > sequence)


HANDLERS: HandlerTable = {
    RecordProposed: on_proposed,
    AppendDone: on_done,
    AppendFailed: on_failed,
    LogReached: on_reached,
    RecordFolded: on_folded,
    Ticked: on_tick,
}
