"""
Appends the owner's records in batches and emits the effects that depend on them once committed.

One append is in flight at a time, and its size is bounded whatever waits: what the store can't take
at once would be refused each time. A batch without a response is sent again with the same sequence
number, so that retries are idempotent: the store repeats its first response.
"""

import itertools

from . import _fold, effects, events
from ._node import Batch, CallerRecords, Journal, Moment, Node, Worker, emit, log_line
from ._records import Begun, Closed, LeaseBounded, OwnerHeartbeat, Record, encode_records

CHANNEL = "owner"
PRODUCER = "owner"
# A third of the minimum timeout after which other instances claim the log. The heartbeats also
# carry the owner's clock, from which all instances compute elapsed time.
HEARTBEAT_INTERVAL_S = 0.2
# Retry interval of an append that was refused or has no response.
RETRY_S = 0.15
# Minimum interval between log lines about failed appends, while the store is unavailable.
RETRY_LOG_INTERVAL_S = 1.0
# Age at which callers' records are refused if the store definitely didn't append them; allows for
# two attempts.
REFUSE_AFTER_S = 0.25
# Age at which callers' records that wait for the batch in flight are refused; twice the append
# latency of the slowest store observed.
MAX_QUEUED_S = 0.8
# Age of the batch in flight from which no new decisions are made; several round trips to a store
# without load.
STALL_TIMEOUT_S = 0.4
# Size of the records from which a further one goes into another append, so that a heartbeat waits
# for little more than a link takes to carry this.
MAX_APPEND_BYTES = 256 * 1024
# Jobs that one record names as begun.
MAX_BEGUN_JOBS = 500
# Full appends that wait, from which no new decisions are made.
MAX_FULL_APPENDS = 4
# Time of the last attempt of an append that is to be sent at once.
NEVER_SENT_S = -1e9


def write(node: Node, at: Moment, record: Record) -> None:
    """
    Apply a record of the owner and append it with the next batch.

    :param node: the instance, which owns the log.
    :param at: the current time.
    :param record: the record.
    """
    # Encoded first, as a record that can't be encoded must not be applied.
    (data,) = encode_records([record])
    _fold.apply(node.replicated, record, at.now_s, at.wall_ms)
    _add(node, record, data)


def write_unapplied(node: Node, record: Record) -> None:
    """
    Append a record of the owner with the next batch, and apply it only once it is read.

    :param node: the instance, which owns the log.
    :param record: the record.
    """
    (data,) = encode_records([record])
    _add(node, record, data)


def _add(node: Node, record: Record, data: bytes) -> None:
    batch = _batch_for(node, len(data))
    batch.records.append(record)
    batch.data.append(data)
    batch.size_bytes += len(data)


def _batch_for(node: Node, size_bytes: int) -> Batch:
    """
    Return the batch that records of a size are added to.
    """
    journal = node.journal
    max_bytes = min(MAX_APPEND_BYTES, node.bounds.append_bytes)
    if journal.next.size_bytes and journal.next.size_bytes + size_bytes > max_bytes:
        journal.queue.append(journal.next)
        journal.next = Batch()
    return journal.next


def waiting_batches(journal: Journal) -> tuple[Batch, ...]:
    """
    Return the batches that were not sent.

    :param journal: the owner's appends.
    :returns: the batches, in the order in which they will be appended.
    """
    return (*journal.queue, journal.next)


def waiting_records(node: Node) -> int:
    """
    Return the number of the owner's records that were not sent.

    :param node: the instance.
    :returns: number of records.
    """
    return sum(len(batch.records) for batch in waiting_batches(node.journal))


def write_bound(node: Node, at: Moment, record: LeaseBounded, is_first: bool) -> None:
    """
    Write a bound on the leases of a worker.

    :param node: the instance, which owns the log.
    :param at: the current time.
    :param record: the bound.
    :param is_first: whether the log has no bound of this worker, so that this one can be withdrawn
        until it is sent.
    """
    write(node, at, record)
    if is_first:
        node.journal.next.bounds[record.worker] = record


def withdraw_bound(node: Node, worker_id: str) -> bool:
    """
    Withdraw the first bound on the leases of a worker, unless it was sent.

    :param node: the instance, which owns the log.
    :param worker_id: the worker.
    :returns: whether there was one.
    """
    for batch in waiting_batches(node.journal):
        record = batch.bounds.pop(worker_id, None)
        if record is not None:
            place = batch.records.index(record)
            del batch.records[place]
            batch.size_bytes -= len(batch.data.pop(place))
            return True
    return False


def emit_after_commit(node: Node, effect: object) -> None:
    """
    Emit an effect once all records written so far are committed.

    :param node: the instance.
    :param effect: the effect.
    """
    node.journal.next.effects.append(effect)


def acknowledge(node: Node, worker: Worker, number: int) -> None:
    """
    Acknowledge the end of a run to its worker once all records written so far are committed.

    :param node: the instance.
    :param worker: the worker.
    :param number: number of the end in the worker's list.
    """
    node.journal.next.acks[worker.id] = (worker.entry.incarnation, number)


def add_callers_records(node: Node, records: CallerRecords) -> None:
    """
    Append callers' records with the next batch, or answer at once if all of them were refused.

    :param node: the instance, which owns the log.
    :param records: the records.
    """
    if records.records:
        size_bytes = sum(map(len, records.records))
        batch = _batch_for(node, size_bytes)
        batch.callers.append(records)
        batch.size_bytes += size_bytes
    else:
        _answer(node, records, events.OK)


def is_stalled(node: Node, now_s: float) -> bool:
    """
    Return whether the store responds too slowly for new decisions to be made.

    :param node: the instance.
    :param now_s: the current time by this instance's clock.
    :returns: whether the append in flight is older than `STALL_TIMEOUT_S`, or many others wait.
    """
    journal = node.journal
    is_late = journal.in_flight is not None and now_s - journal.sent_s > STALL_TIMEOUT_S
    return is_late or len(journal.queue) >= MAX_FULL_APPENDS


def reset(node: Node, seq: int) -> None:
    """
    Start with an empty journal after a change of ownership.

    Callers' records that were pending are answered: as unknown if their append was in flight,
    otherwise as refused.

    :param node: the instance.
    :param seq: sequence number of the epoch's last append so far.
    """
    former, node.journal = node.journal, Journal(seq=seq)
    if former.in_flight is not None:
        _answer_callers(node, former.in_flight, events.UNKNOWN)
    for batch in waiting_batches(former):
        _answer_callers(node, batch, events.REFUSED)


def _answer_callers(node: Node, batch: Batch, outcome: str) -> None:
    """
    Report the outcome of the callers' records in a batch and remove them from it.
    """
    callers, batch.callers = batch.callers, []
    for item in callers:
        batch.size_bytes -= sum(map(len, item.records))
        _answer(node, item, outcome)


def _answer(node: Node, item: CallerRecords, outcome: str) -> None:
    if item.token is None:
        node.intake.outcomes.append((item.seq, outcome, item.refused))
    else:
        emit(node, effects.AnswerPeer(item.token, outcome, item.refused))


def flush(node: Node, at: Moment) -> None:
    """
    Send the next batch, or resend the one in flight if its retry is due.

    :param node: the instance.
    :param at: the current time.
    """
    journal = node.journal
    if not node.ownership.is_owner:
        return
    _refuse_queued_callers(node, at)
    if journal.is_waiting:
        return
    if journal.in_flight is not None:
        if at.now_s - journal.last_sent_s >= RETRY_S:
            _send(node, at)
        return
    if at.now_s - journal.heartbeat_s >= HEARTBEAT_INTERVAL_S:
        journal.heartbeat_s = at.now_s
        write(node, at, OwnerHeartbeat(node.ownership.epoch, round(at.now_s * 1000)))
    _write_begins(node, at)
    batch = _take_batch(journal)
    if batch is None:
        return
    journal.in_flight = batch
    journal.data = _data_of(batch)
    journal.seq += 1
    journal.sent_s = at.now_s
    journal.is_uncertain = False
    _send(node, at)


def _write_begins(node: Node, at: Moment) -> None:
    """
    Record which jobs have begun, with an append that is sent anyway: that of a heartbeat at the
    latest.
    """
    if not node.begun_jobs or is_idle(node):
        return
    jobs = tuple(itertools.islice(node.begun_jobs, MAX_BEGUN_JOBS))
    for job in jobs:
        del node.begun_jobs[job]
    write(node, at, Begun(node.ownership.epoch, jobs))


def _take_batch(journal: Journal) -> Batch | None:
    """
    Remove the batch to append next. One that has lost its records to a withdrawal leaves what
    depends on it to the batch behind.
    """
    while journal.queue:
        batch = journal.queue.popleft()
        if batch.records or batch.callers:
            return batch
        follower = journal.queue[0] if journal.queue else journal.next
        follower.effects[:0] = batch.effects
        follower.acks = {**batch.acks, **follower.acks}
    batch = journal.next
    if not batch.records and not batch.callers:
        return None
    journal.next = Batch()
    return batch


def _data_of(batch: Batch) -> tuple[bytes, ...]:
    return (*batch.data, *(data for item in batch.callers for data in item.records))


def _refuse_queued_callers(node: Node, at: Moment) -> None:
    """
    Refuse callers' records that have waited too long for the batch in flight.
    """
    for batch in waiting_batches(node.journal):
        exchanges = len(batch.callers)
        if not exchanges or at.now_s - batch.callers[0].since_s < MAX_QUEUED_S:
            continue
        _answer_callers(node, batch, events.REFUSED)
        log_line(node, "records.given_back", exchanges=exchanges, reason="append_in_flight")


def _refuse_in_flight_callers(node: Node, at: Moment) -> None:
    """
    Refuse the callers' records of a batch that the store definitely didn't append.
    """
    journal = node.journal
    batch = journal.in_flight
    if batch is None or not batch.callers or journal.is_uncertain:
        return
    if at.now_s - journal.sent_s < REFUSE_AFTER_S:
        return
    log_line(node, "records.given_back", exchanges=len(batch.callers), reason="store_refuses")
    _answer_callers(node, batch, events.REFUSED)
    journal.data = _data_of(batch)
    if not batch.records:
        journal.in_flight = None
        journal.seq -= 1


def replace_pending(node: Node, sent_s: float) -> None:
    """
    Send the append in flight again without waiting for its timeout.

    The former attempt may have been executed, or may still be: the store then responds to both.

    :param node: the instance.
    :param sent_s: attempts that were sent later are not replaced, by this instance's clock.
    """
    journal = node.journal
    if journal.in_flight is None or not journal.is_waiting or journal.last_sent_s >= sent_s:
        return
    journal.is_waiting = False
    journal.is_uncertain = True
    journal.last_sent_s = NEVER_SENT_S


def _send(node: Node, at: Moment) -> None:
    journal = node.journal
    journal.last_sent_s = at.now_s
    if not journal.is_uncertain:
        journal.confirms_s = at.now_s
    journal.is_waiting = True
    emit(
        node,
        effects.Append(CHANNEL, PRODUCER, node.ownership.epoch, journal.seq, journal.data),
    )


def on_appended(node: Node, at: Moment, event: events.Appended) -> bool:
    """
    Handle the outcome of an append.

    :param node: the instance.
    :param at: the current time.
    :param event: outcome of the append.
    :returns: whether this instance still owns the log.
    """
    journal = node.journal
    if not node.ownership.is_owner or event.seq != journal.seq or journal.in_flight is None:
        return True
    journal.is_waiting = False
    if event.outcome == events.OK:
        _commit(node)
        return True
    if event.outcome == events.FENCED:
        return False
    if event.outcome == events.UNKNOWN:
        journal.is_uncertain = True
    _refuse_in_flight_callers(node, at)
    if at.now_s - journal.logged_s < RETRY_LOG_INTERVAL_S:
        return True
    journal.logged_s = at.now_s
    log_line(
        node,
        "owner.append_retried",
        seq=event.seq,
        outcome=event.outcome,
        detail=event.detail,
        age_s=round(at.now_s - journal.sent_s, 3),
    )
    return True


def _commit(node: Node) -> None:
    journal = node.journal
    batch = journal.in_flight
    journal.in_flight = None
    node.ownership.confirmed_s = max(node.ownership.confirmed_s, journal.confirms_s)
    if batch is None:
        return
    for record in batch.records:
        # Cancellations that precede the end of a job in the log may not have been read yet.
        if not isinstance(record, Closed):
            _fold.confirm(node.replicated, record)
    _answer_callers(node, batch, events.OK)
    for worker_id, (incarnation, number) in batch.acks.items():
        worker = node.workers.get(worker_id)
        # A restarted worker numbers its ends from the start, so a number of its former incarnation
        # must not acknowledge them.
        if worker is not None and worker.entry.incarnation == incarnation:
            worker.acked = max(worker.acked, number)
    node.out.extend(batch.effects)


def has_pending_records(node: Node) -> bool:
    """
    Return whether the replicated state contains records of this owner that aren't committed.

    :param node: the instance, which owns the log.
    :returns: whether such a record is being appended or waits for that.
    """
    journal = node.journal
    is_appending = journal.in_flight is not None and bool(journal.in_flight.records)
    return is_appending or any(batch.records for batch in waiting_batches(journal))


def is_idle(node: Node) -> bool:
    """
    Return whether all records of the journal are committed.

    :param node: the instance.
    :returns: whether nothing is left to append.
    """
    journal = node.journal
    return journal.in_flight is None and not any(
        batch.records or batch.callers for batch in waiting_batches(journal)
    )
