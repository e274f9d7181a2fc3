"""
The fold of the control stream: one deterministic decision about each record, in offset order.

A record carries the revision of its subject that it builds on, so a writer that was overtaken is
told so, repeats are recognised by the writer's sequence, and a replaced writer is fenced by its
incarnation. Domains add the meaning of their kinds in tables of appliers.
"""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import msgspec

from ._ids import RecordId
from ._records import MONOTONE_KINDS, Record, StoredRecord

REASON_REPEATED = "repeated"
REASON_FENCED = "fenced"
REASON_STALE = "stale"
REASON_NO_BASE = "base_required"

# Offsets after which a writer that wrote nothing is forgotten. Longer than the log keeps records.
WRITER_MEMORY_OFFSETS = 1_000_000
# Decisions kept so that writers can ask for them.
DECISIONS_KEPT = 4096


class WriterMark(NamedTuple):
    """
    How far a writer has come.

    :param incarnation: its newest incarnation.
    :param sequence: its highest sequence in that incarnation.
    :param offset: where that record is.
    """

    incarnation: int
    sequence: int
    offset: int


class Decision(NamedTuple):
    """
    What became of a record.

    :param offset: its place in the log.
    :param record: the record.
    :param accepted: whether it took effect.
    :param reason: why not, or empty.
    :param overtaken_by: offset of the record that it lost against, or 0.
    """

    offset: int
    record: Record
    accepted: bool
    reason: str = ""
    overtaken_by: int = 0


class LogPosition(msgspec.Struct):
    """
    Revisions, writers and the next offset to fold.
    """

    next_offset: int = 1
    revisions: dict[str, int] = msgspec.field(default_factory=dict)
    writers: dict[str, WriterMark] = msgspec.field(default_factory=dict)
    decisions: dict[RecordId, Decision] = msgspec.field(default_factory=dict)


# An applier changes its slice of the folded state. It returns a reason to reject the record, or an
# empty text, and must decide before it changes anything.
Applier = Callable[[Any, int, Record], str]


def fold_record(
    position: LogPosition,
    appliers: Mapping[str, Applier],
    folded: Any,
    stored: StoredRecord,
) -> Decision | None:
    """
    Decide about the next record of the log.

    :param position: changed in place.
    :param appliers: meaning of each kind; records of other kinds are accepted and change only
        their subject's revision, so that a newer program can use them.
    :param folded: the folded state, changed in place by the applier.
    :param stored: the record at ``position.next_offset``.
    :returns: the decision, or ``None`` when the log holds no record there.
    :raises ValueError: when the offset is not the next one.
    """
    if stored.offset != position.next_offset:
        raise ValueError(f"expected offset {position.next_offset}, got {stored.offset}")
    position.next_offset += 1
    if stored.record is None:
        return None
    decision = _decide(position, appliers, folded, stored.offset, stored.record)
    _remember(position, decision)
    return decision


def _decide(
    position: LogPosition,
    appliers: Mapping[str, Applier],
    folded: Any,
    offset: int,
    record: Record,
) -> Decision:
    reason, overtaken_by = _check_order(position, record)
    if not reason and record.kind in appliers:
        reason = appliers[record.kind](folded, offset, record)
    if reason:
        return Decision(offset, record, False, reason, overtaken_by)
    position.revisions[record.subject] = offset
    return Decision(offset, record, True)


def _check_order(position: LogPosition, record: Record) -> tuple[str, int]:
    mark = position.writers.get(record.id.writer)
    if mark is not None and record.id.incarnation < mark.incarnation:
        return REASON_FENCED, mark.offset
    if mark is not None and _is_repeat(mark, record.id):
        return REASON_REPEATED, mark.offset
    if record.base is None:
        return ("", 0) if record.kind in MONOTONE_KINDS else (REASON_NO_BASE, 0)
    current = position.revisions.get(record.subject, 0)
    if record.base != current:
        return REASON_STALE, current
    return "", 0


def _is_repeat(mark: WriterMark, record_id: RecordId) -> bool:
    return record_id.incarnation == mark.incarnation and record_id.sequence <= mark.sequence


def _remember(position: LogPosition, decision: Decision) -> None:
    record_id = decision.record.id
    if decision.reason in (REASON_REPEATED, REASON_FENCED):
        position.decisions.setdefault(record_id, decision)
    else:
        mark = WriterMark(record_id.incarnation, record_id.sequence, decision.offset)
        position.writers.pop(record_id.writer, None)
        position.writers[record_id.writer] = mark
        position.decisions[record_id] = decision
    while len(position.decisions) > DECISIONS_KEPT:
        position.decisions.pop(next(iter(position.decisions)))
    _forget_old_writers(position, decision.offset)


def _forget_old_writers(position: LogPosition, offset: int) -> None:
    # Writers stand in the order of their last record, so only the first can be too old.
    oldest = next(iter(position.writers), None)
    if oldest is None:
        return
    if position.writers[oldest].offset < offset - WRITER_MEMORY_OFFSETS:
        position.writers.pop(oldest)
