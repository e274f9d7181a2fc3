"""
Reads the log and keeps the book.
"""

from . import _book, _fold, _instances, _intake, _ownership, _snapshot, effects, events
from ._node import CallerRecords, Moment, Node, Tail, emit, log_line
from ._records import OWNER_RECORDS, Cancelled, Claimed, OwnerRecord, Submitted, decode_record

# How long a read waits at the store for a record; bounds the age of what is known of the log.
WAIT_S = 0.5
# An instance that only answers callers reads this often, which bounds the calls to the store.
READER_INTERVAL_S = 0.15
# A read that failed is tried again after this.
RETRY_S = 0.1
# What is left of a former measure at each read: a tenth after two seconds of a reader's reads.
FADE = 0.85


def read(node: Node, at: Moment) -> None:
    """
    Ask for the next part of the log, unless that is under way.

    :param node: the instance.
    :param at: the time.
    """
    tail = node.tail
    if tail.is_reading or at.now_s < tail.next_read_s:
        return
    tail.is_reading = True
    if tail.needs_snapshot:
        emit(node, effects.ReadSnapshot())
    else:
        tail.wait_s = WAIT_S if tail.is_caught_up else 0.0
        emit(node, effects.ReadLog(node.book.offset, tail.wait_s))


def on_read(node: Node, at: Moment, event: events.LogRead) -> None:
    """
    Fold a part of the log.

    :param node: the instance.
    :param at: the time.
    :param event: the part.
    """
    tail = node.tail
    tail.is_reading = False
    if tail.needs_snapshot or event.offset != node.book.offset:
        return
    if tail.steady_s > at.now_s:
        tail.steady_s = at.now_s
        log_line(node, "store.log_readable", offset=event.offset, end=event.end)
    tail.ok_s = event.sent_s
    tail.answered_s = at.now_s
    former_s = tail.owner_s
    for data in event.records:
        _fold_one(node, at, data)
        node.book.offset += 1
    _measure(tail, at.now_s, event, former_s)
    was_caught_up = tail.is_caught_up
    tail.is_caught_up = node.book.offset >= event.end
    tail.is_read = tail.is_read or tail.is_caught_up
    if tail.is_caught_up and not was_caught_up:
        log_line(node, "log.caught_up", offset=node.book.offset, jobs=len(node.book.jobs))
        tail.owner_s = max(tail.owner_s, at.now_s)
    if tail.is_caught_up and not node.ownership.is_owner:
        tail.next_read_s = at.now_s + READER_INTERVAL_S
    if event.records:
        node.plan_due = True
    if node.ownership.reload_wanted:
        reload(node, at, "another_instance_claimed")


def _measure(tail: Tail, now_s: float, event: events.LogRead, former_s: float) -> None:
    """
    Note how regular the owner's records come, and how fast the store answers: both tell how long a
    silence has to be to mean something.
    """
    if tail.is_caught_up and tail.owner_s > former_s:
        tail.gap_s = max(tail.owner_s - former_s, tail.gap_s * FADE)
    if not event.records:
        delay_s = max(0.0, now_s - event.sent_s - tail.wait_s)
        tail.delay_s = max(delay_s, tail.delay_s * FADE)


def on_gap(node: Node, at: Moment, event: events.LogGap) -> None:
    """
    Start again from a snapshot, since the log no longer holds what is next.

    :param node: the instance.
    :param at: the time.
    :param event: the oldest offset that is left.
    """
    node.tail.is_reading = False
    if node.tail.needs_snapshot:
        return
    if node.book.offset == 0 and not node.book.jobs:
        # Nothing is known yet: whatever is left of the log is all that there is.
        node.book.offset = event.first
        log_line(node, "log.starts_late", first=event.first)
        return
    reload(node, at, "log_was_trimmed")


def on_failed(node: Node, at: Moment, event: events.LogReadFailed) -> None:
    """
    Take note that the log can't be read.

    :param node: the instance.
    :param at: the time.
    :param event: why.
    """
    tail = node.tail
    tail.is_reading = False
    tail.next_read_s = at.now_s + RETRY_S
    if tail.steady_s <= at.now_s:
        log_line(node, "store.log_unreadable", reason=event.reason, offset=node.book.offset)
    tail.steady_s = 1e18


def reload(node: Node, at: Moment, reason: str) -> None:
    """
    Drop the book and build it again from the store.

    :param node: the instance.
    :param at: the time.
    :param reason: why, for the log.
    """
    log_line(node, "log.reload", reason=reason, offset=node.book.offset)
    node.ownership.reload_wanted = False
    node.book = _book.Book()
    node.tail = Tail(owner_s=at.now_s)


def on_snapshot(node: Node, at: Moment, event: events.SnapshotRead) -> None:
    """
    Begin from a snapshot.

    :param node: the instance.
    :param at: the time.
    :param event: the snapshot, if there is one.
    """
    node.tail.is_reading = False
    if not node.tail.needs_snapshot:
        return
    node.tail.needs_snapshot = False
    if event.data is None:
        return
    book = _snapshot.decode(event.data, at.now_s, at.wall_ms)
    if book is None:
        log_line(node, "snapshot.unreadable", size_bytes=len(event.data))
        return
    node.book = book
    log_line(node, "snapshot.installed", offset=book.offset, jobs=len(book.jobs))


def fold_callers(node: Node, at: Moment, callers: list[CallerRecords]) -> None:
    """
    Fold records of callers that this instance has just appended, before it reads them.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param callers: the records.
    """
    for item in callers:
        for data in item.records:
            record = decode_record(data)
            if isinstance(record, Submitted | Cancelled):
                _fold_caller_record(node, at, record)
    node.plan_due = True


def _fold_caller_record(node: Node, at: Moment, record: Submitted | Cancelled) -> None:
    _fold.apply(node.book, record, at.now_s, at.wall_ms)
    if isinstance(record, Submitted):
        node.intake.accepted.pop(record.job, None)
    else:
        _intake.answer_cancels(node, record.job)


def _fold_one(node: Node, at: Moment, data: bytes) -> None:
    record = decode_record(data)
    if record is None:
        log_line(node, "log.unreadable_record", offset=node.book.offset, size_bytes=len(data))
        return
    if isinstance(record, Claimed):
        _fold.apply(node.book, record, at.now_s, at.wall_ms)
        node.tail.owner_s = at.now_s
        if _ownership.on_claimed(node, at, record):
            _instances.resume_orders(node, at)
        _intake.on_owner_changed(node)
        return
    if isinstance(record, OWNER_RECORDS):
        _fold_owner_record(node, at, record)
        return
    _fold_caller_record(node, at, record)


def _fold_owner_record(node: Node, at: Moment, record: OwnerRecord) -> None:
    if record.epoch != node.book.epoch:
        return
    node.tail.owner_s = at.now_s
    if node.ownership.is_owner and record.epoch == node.ownership.epoch:
        # Applied when it was decided; its answer may have been lost.
        _fold.confirm(node.book, record)
        return
    _fold.apply(node.book, record, at.now_s, at.wall_ms)
    _fold.confirm(node.book, record)
