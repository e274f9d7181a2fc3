"""
Tails the job log and applies its records to the replicated state.
"""

from . import (
    _fold,
    _instances,
    _intake,
    _on_demand,
    _outage,
    _ownership,
    _replicated_state,
    _snapshot,
    _takeover,
    effects,
    events,
)
from ._node import CallerRecords, Moment, Node, Tail, emit, log_line
from ._records import (
    OWNER_RECORDS,
    Cancelled,
    Claimed,
    OwnerHeartbeat,
    OwnerRecord,
    Submitted,
    decode_record,
)

# Instance and incarnation of an owner whose claim is missing.
UNKNOWN_OWNER = ("", 0)
# How long a read waits at the store for a new record; bounds the staleness of the replicated state.
WAIT_S = 0.5
# Time from the release of the log in which reads don't wait; instances usually claim it earlier.
RELEASED_S = 0.5
# Delay before a failed read is retried.
RETRY_S = 0.1
# Delay before the snapshot is read again for records that neither it nor the log contains.
SNAPSHOT_RETRY_S = 1.0
# Factor by which a former maximum decays at each read: to a tenth after two seconds of reads at
# the usual interval.
DECAY_FACTOR = 0.85
# Minimum interval between log lines about failures of reads that were replaced by later ones.
REPLACED_LOG_INTERVAL_S = 1.0


def read(node: Node, at: Moment) -> None:
    """
    Request the next part of the log, unless a read is in progress or not due yet.

    While the log doesn't respond, reads are sent at intervals although others are pending. They
    ask for little, since their responses may arrive at the same time.

    :param node: the instance.
    :param at: the current time.
    """
    tail = node.tail
    is_probing = _outage.is_silent(node) and not tail.needs_snapshot
    if is_probing:
        is_pending = at.now_s - tail.sent_s < _outage.PROBE_INTERVAL_S
    else:
        is_pending = tail.is_reading
    if is_pending or at.now_s < _on_demand.next_read_s(node, _intake.is_idle(node)):
        return
    tail.is_reading = True
    tail.sent_s = at.now_s
    if tail.needs_snapshot:
        emit(node, effects.ReadSnapshot())
    else:
        is_awaited = is_probing or _is_just_released(node, at) or bool(node.intake.questions)
        tail.wait_s = WAIT_S if tail.is_caught_up and not is_awaited else 0.0
        emit(node, effects.ReadLog(node.replicated.offset, tail.wait_s, is_probing))


def _is_just_released(node: Node, at: Moment) -> bool:
    """
    Return whether the log was released lately and may be claimed once a read shows no new owner.
    """
    is_released = node.replicated.epoch > 0 and node.replicated.owner is None
    return is_released and at.now_s - node.tail.owner_record_s < RELEASED_S


def on_read(node: Node, at: Moment, event: events.LogRead) -> None:
    """
    Apply a part of the log to the replicated state.

    :param node: the instance.
    :param at: the current time.
    :param event: the part of the log.
    """
    tail = node.tail
    if event.sent_s >= tail.sent_s:
        tail.is_reading = False
    is_latest = event.sent_s >= node.store.answered_sent_s
    was_silent, was_outage = _outage.is_silent(node), _outage.is_outage(node, at)
    _outage.on_read(node, at, event.sent_s)
    if tail.needs_snapshot or event.offset != node.replicated.offset:
        return
    if tail.readable_since_s > at.now_s:
        tail.readable_since_s = at.now_s
        log_line(node, "store.log_readable", offset=event.offset, end=event.end)
    tail.last_success_s = max(tail.last_success_s, event.sent_s)
    tail.answered_s = at.now_s
    if was_outage:
        # Nothing was known about the owner meanwhile, so its next gap begins here.
        tail.owner_record_s = at.now_s
    former_owner_record_s = tail.owner_record_s
    for data in event.records:
        _fold_record(node, at, data)
        node.replicated.offset += 1
        tail.read_bytes += len(data)
    if tail.owner_record_s > former_owner_record_s and not was_silent:
        node.intake.unheard_until_s = 0.0
    _update_delays(tail, at.now_s, event, former_owner_record_s)
    was_caught_up = tail.is_caught_up
    # The end that a replaced read found may be older than the latest known one.
    is_current = is_latest or was_caught_up
    if node.replicated.offset >= event.end:
        tail.complete_s = max(tail.complete_s, event.sent_s)
    _takeover.note_read(tail, at.now_s, event.sent_s)
    tail.is_caught_up = is_current and node.replicated.offset >= event.end
    tail.has_caught_up = tail.has_caught_up or tail.is_caught_up
    if tail.is_caught_up and not was_caught_up:
        log_line(
            node, "log.caught_up", offset=node.replicated.offset, jobs=len(node.replicated.jobs)
        )
        tail.owner_record_s = max(tail.owner_record_s, at.now_s)
    if tail.is_caught_up and not node.ownership.is_owner:
        tail.next_read_s = at.now_s + _on_demand.READER_INTERVAL_S
    if event.records:
        node.plan_due = True
    _intake.answer_questions(node, at)
    if node.ownership.reload_wanted:
        reload(node, at, "another_instance_claimed")
    elif tail.is_incomplete and was_caught_up and tail.owner_record_s > former_owner_record_s:
        _await_snapshot(node, at)


def _update_delays(
    tail: Tail, now_s: float, event: events.LogRead, former_owner_record_s: float
) -> None:
    """
    Update the decaying maxima of the gap between the owner's records and of the store's response
    time, from which the timeout of the owner is derived.
    """
    if tail.is_caught_up and tail.owner_record_s > former_owner_record_s:
        tail.owner_gap_s = max(
            tail.owner_record_s - former_owner_record_s, tail.owner_gap_s * DECAY_FACTOR
        )
    if not event.records and event.sent_s >= tail.sent_s:
        delay_s = max(0.0, now_s - event.sent_s - tail.wait_s)
        tail.store_delay_s = max(delay_s, tail.store_delay_s * DECAY_FACTOR)


def on_gap(node: Node, at: Moment, event: events.LogGap) -> None:
    """
    Restart from a snapshot, because the log no longer holds the next record.

    :param node: the instance.
    :param at: the current time.
    :param event: the oldest offset that the log holds.
    """
    tail = node.tail
    if event.sent_s >= tail.sent_s:
        tail.is_reading = False
    if tail.needs_snapshot:
        return
    is_replaced = event.sent_s < node.store.answered_sent_s
    if is_replaced or event.offset not in (None, node.replicated.offset):
        log_line(node, "store.replaced_read_gap", first=event.first, offset=event.offset)
        return
    if tail.last_success_s >= 0.0 or node.gap_offset != node.replicated.offset:
        # A later snapshot may have been stored since this one was read.
        node.gap_offset = node.replicated.offset
        reload(node, at, "log_was_trimmed")
        return
    # The log has lost records that are in no snapshot, or in none yet. Only an owner that still
    # lives knows them.
    log_line(node, "log.records_missing", offset=node.replicated.offset, first=event.first)
    tail.is_incomplete = True
    node.replicated.offset = event.first


def _await_snapshot(node: Node, at: Moment) -> None:
    """
    Read the snapshot again, because records are missing that a living owner knows, which will store
    one.
    """
    reload(node, at, "owner_knows_missing_records")
    node.tail.next_read_s = at.now_s + SNAPSHOT_RETRY_S


def on_failed(node: Node, at: Moment, event: events.LogReadFailed) -> None:
    """
    Schedule the retry of a failed read of the log.

    :param node: the instance.
    :param at: the current time.
    :param event: reason of the failure.
    """
    tail = node.tail
    _outage.on_read_failed(node, at, event.reason, event.sent_s)
    if _outage.is_silent(node):
        # Later reads are sent meanwhile, so the failed one is seldom the latest.
        _mark_unreadable(node, at, event.reason)
    if event.sent_s < tail.sent_s:
        if at.now_s - node.store.logged_s >= REPLACED_LOG_INTERVAL_S:
            node.store.logged_s = at.now_s
            log_line(node, "store.replaced_read_failed", reason=event.reason)
        return
    tail.is_reading = False
    tail.next_read_s = at.now_s + RETRY_S
    _mark_unreadable(node, at, event.reason)


def _mark_unreadable(node: Node, at: Moment, reason: str) -> None:
    if node.tail.readable_since_s <= at.now_s:
        log_line(node, "store.log_unreadable", reason=reason, offset=node.replicated.offset)
    _takeover.note_failure(node.tail)
    # Later than any time, until a read succeeds.
    node.tail.readable_since_s = 1e18


def reload(node: Node, at: Moment, reason: str) -> None:
    """
    Discard the replicated state and rebuild it from the store.

    :param node: the instance.
    :param at: the current time.
    :param reason: reason for the structured log.
    """
    log_line(node, "log.reload", reason=reason, offset=node.replicated.offset)
    node.ownership.reload_wanted = False
    node.ownership.is_claim_awaited = False
    node.replicated = _replicated_state.ReplicatedState()
    node.tail = Tail(owner_record_s=at.now_s, claim_read_s=at.now_s)


def on_snapshot(node: Node, at: Moment, event: events.SnapshotRead) -> None:
    """
    Install a snapshot as the replicated state.

    :param node: the instance.
    :param at: the current time.
    :param event: the snapshot, if there is one.
    """
    node.tail.is_reading = False
    if not node.tail.needs_snapshot:
        return
    node.tail.needs_snapshot = False
    if event.data is None:
        return
    replicated = _snapshot.decode(event.data, at.now_s, at.wall_ms)
    if replicated is None:
        log_line(node, "snapshot.unreadable", size_bytes=len(event.data))
        return
    node.replicated = replicated
    log_line(node, "snapshot.installed", offset=replicated.offset, jobs=len(replicated.jobs))


def fold_callers_records(node: Node, at: Moment, callers: list[CallerRecords]) -> None:
    """
    Apply callers' records that this instance has just appended, before it reads them.

    :param node: the instance, which owns the log.
    :param at: the current time.
    :param callers: the appended records.
    """
    for item in callers:
        for data in item.records:
            record = decode_record(data)
            if isinstance(record, Cancelled) and _has_closed(node, record.job):
                # Which of the two comes first in the log is known once they are read.
                _intake.answer_cancels(node, record.job)
            elif isinstance(record, Submitted | Cancelled):
                _fold_callers_record(node, at, record)
    node.plan_due = True


def _has_closed(node: Node, job_id: str) -> bool:
    job = node.replicated.jobs.get(job_id)
    return job is not None and job.state in _replicated_state.FINAL_STATES


def _fold_callers_record(node: Node, at: Moment, record: Submitted | Cancelled) -> None:
    _fold.apply(node.replicated, record, at.now_s, at.wall_ms)
    if isinstance(record, Submitted):
        node.intake.accepted.pop(record.job, None)
    else:
        _intake.answer_cancels(node, record.job)


def _fold_record(node: Node, at: Moment, data: bytes) -> None:
    record = decode_record(data)
    if record is None:
        log_line(node, "log.unreadable_record", offset=node.replicated.offset, size_bytes=len(data))
        return
    if isinstance(record, Claimed):
        _fold.apply(node.replicated, record, at.now_s, at.wall_ms)
        node.tail.owner_record_s = node.tail.claim_read_s = at.now_s
        if _ownership.on_claimed(node, at, record):
            _instances.resume_orders(node, at)
        _intake.on_owner_changed(node)
        return
    if isinstance(record, OWNER_RECORDS):
        _fold_owner_record(node, at, record)
        return
    _fold_callers_record(node, at, record)


def _fold_owner_record(node: Node, at: Moment, record: OwnerRecord) -> None:
    if record.epoch > node.replicated.epoch and node.tail.is_incomplete:
        # The claim is among the missing records.
        node.replicated.epoch, node.replicated.owner = record.epoch, UNKNOWN_OWNER
        node.replicated.owner_address = ""
    if record.epoch != node.replicated.epoch:
        return
    if node.replicated.owner is not None:
        # An owner that has released the log goes on until another instance claims it.
        node.tail.owner_record_s = at.now_s
    if node.ownership.is_owner and record.epoch == node.ownership.epoch:
        # The owner applied the record when it wrote it. Reading it back proves that it is
        # committed, even if the response to its append was lost.
        _fold.confirm(node.replicated, record)
        if isinstance(record, OwnerHeartbeat):
            # All records that were acknowledged before it was written precede it in the log.
            node.tail.complete_s = max(node.tail.complete_s, record.clock_ms / 1000)
        return
    _fold.apply(node.replicated, record, at.now_s, at.wall_ms)
    _fold.confirm(node.replicated, record)
