"""
The fold of the control stream: accepts or rejects each record deterministically, in offset order.

A record carries the revision of its subject that it builds on, so that concurrent updates are
detected (optimistic concurrency control). Repeated appends are recognised by the writer's sequence
number, and a replaced writer is fenced by its incarnation. Domains register an applier function
for each of their record kinds. Records of kinds that this version does not know are retained, so
that a newer version that starts from this fold can apply them.
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
REASON_UNKNOWN_KIND = "unknown_kind"

# A writer without a record in this many offsets is evicted. Longer than the log keeps records.
WRITER_RETENTION_OFFSETS = 1_000_000
# Most recent decisions that are retained so that writers can look them up.
DECISIONS_KEPT = 4096
# Limits on the retained records of kinds that this version does not know.
UNKNOWN_RECORDS_KEPT = 5000
UNKNOWN_BYTES_KEPT = 8 * 1024 * 1024


class WriterMark(NamedTuple):
    """
    The last record of a writer.

    :param incarnation: the writer's newest incarnation.
    :param sequence: highest sequence number in that incarnation.
    :param offset: offset of that record.
    """

    incarnation: int
    sequence: int
    offset: int


class Decision(NamedTuple):
    """
    Whether a record was accepted, and why not.

    :param offset: offset of the record.
    :param record: the record.
    :param accepted: whether it took effect.
    :param reason: why it was rejected, or empty.
    :param overtaken_by: offset of the record that takes precedence over it, or 0.
    """

    offset: int
    record: Record
    accepted: bool
    reason: str = ""
    overtaken_by: int = 0


class Verdict(NamedTuple):
    """
    A decision as it is retained, without the record's body.

    :param offset: offset of the record.
    :param accepted: whether it took effect.
    :param reason: why it was rejected, or empty.
    :param overtaken_by: offset of the record that takes precedence over it, or 0.
    :param subject: subject of the record, which determines who may see the verdict.
    """

    offset: int
    accepted: bool
    reason: str
    overtaken_by: int
    subject: str


class UnknownRecords(msgspec.Struct):
    """
    Retained records of kinds that this version does not know, oldest first.

    :param records: the records.
    :param sizes: encoded size of each record in bytes.
    :param total_bytes: sum of the sizes.
    :param lost: number of records by kind that were dropped to stay within the limits.
    """

    records: list[StoredRecord] = msgspec.field(default_factory=list)
    sizes: list[int] = msgspec.field(default_factory=list)
    total_bytes: int = 0
    lost: dict[str, int] = msgspec.field(default_factory=dict)


class LogPosition(msgspec.Struct):
    """
    Position in the log, with what is needed to check the next record.

    :param next_offset: first offset that is not folded yet.
    :param revisions: offset of each subject's last accepted record.
    :param writers: last record of each writer, in the order of these records.
    :param decisions: the most recent decisions.
    :param unknown: records of kinds that only a newer version knows.
    """

    next_offset: int = 1
    revisions: dict[str, int] = msgspec.field(default_factory=dict)
    writers: dict[str, WriterMark] = msgspec.field(default_factory=dict)
    decisions: dict[RecordId, Verdict] = msgspec.field(default_factory=dict)
    unknown: UnknownRecords = msgspec.field(default_factory=UnknownRecords)


# An applier updates its slice of the folded state. It returns a reason to reject the record, or an
# empty string. It has to check the record before it changes any state.
Applier = Callable[[Any, int, Record], str]


def fold_record(
    position: LogPosition,
    appliers: Mapping[str, Applier],
    folded: Any,
    stored: StoredRecord,
) -> Decision | None:
    """
    Accept or reject the next record of the log, and apply it if it is accepted.

    :param position: changed in place.
    :param appliers: applier of each kind; records of other kinds are retained for a newer version,
        which applies or rejects them when it starts from this fold.
    :param folded: the folded state, changed in place by the applier.
    :param stored: the record at ``position.next_offset``.
    :returns: the decision, or ``None`` when the log holds no valid record at this offset.
    :raises ValueError: when ``stored`` is not at the next offset.
    """
    if stored.offset != position.next_offset:
        raise ValueError(f"expected offset {position.next_offset}, got {stored.offset}")
    position.next_offset += 1
    if stored.record is None:
        return None
    decision = _decide(position, appliers, folded, stored.offset, stored.record)
    _record_decision(position, decision)
    return decision


def _decide(
    position: LogPosition,
    appliers: Mapping[str, Applier],
    folded: Any,
    offset: int,
    record: Record,
) -> Decision:
    reason, overtaken_by = _check_writer(position, record)
    if reason:
        return Decision(offset, record, False, reason, overtaken_by)
    if record.kind not in appliers:
        _retain_unknown(position.unknown, StoredRecord(offset, record))
        return Decision(offset, record, False, REASON_UNKNOWN_KIND)
    return _apply(position, appliers, folded, offset, record)


def _apply(
    position: LogPosition,
    appliers: Mapping[str, Applier],
    folded: Any,
    offset: int,
    record: Record,
) -> Decision:
    reason, overtaken_by = _check_base(position, record)
    if not reason:
        reason = appliers[record.kind](folded, offset, record)
    if reason:
        return Decision(offset, record, False, reason, overtaken_by)
    position.revisions[record.subject] = offset
    return Decision(offset, record, True)


def _check_writer(position: LogPosition, record: Record) -> tuple[str, int]:
    mark = position.writers.get(record.id.writer)
    if mark is not None and record.id.incarnation < mark.incarnation:
        return REASON_FENCED, mark.offset
    if mark is not None and _is_repeat(mark, record.id):
        return REASON_REPEATED, mark.offset
    return "", 0


def _check_base(position: LogPosition, record: Record) -> tuple[str, int]:
    if record.base is None:
        return ("", 0) if record.kind in MONOTONE_KINDS else (REASON_NO_BASE, 0)
    current = position.revisions.get(record.subject, 0)
    if record.base != current:
        return REASON_STALE, current
    return "", 0


def _is_repeat(mark: WriterMark, record_id: RecordId) -> bool:
    return record_id.incarnation == mark.incarnation and record_id.sequence <= mark.sequence


def _record_decision(position: LogPosition, decision: Decision) -> None:
    record_id = decision.record.id
    verdict = _to_verdict(decision)
    if decision.reason in (REASON_REPEATED, REASON_FENCED):
        position.decisions.setdefault(record_id, verdict)
    else:
        mark = WriterMark(record_id.incarnation, record_id.sequence, decision.offset)
        position.writers.pop(record_id.writer, None)
        position.writers[record_id.writer] = mark
        position.decisions[record_id] = verdict
    while len(position.decisions) > DECISIONS_KEPT:
        position.decisions.pop(next(iter(position.decisions)))
    _evict_idle_writer(position, decision.offset)


def _evict_idle_writer(position: LogPosition, offset: int) -> None:
    # Writers are ordered by their last record, so the first one has been idle the longest.
    oldest = next(iter(position.writers), None)
    if oldest is None:
        return
    if position.writers[oldest].offset < offset - WRITER_RETENTION_OFFSETS:
        position.writers.pop(oldest)


def apply_unknown_records(
    position: LogPosition, appliers: Mapping[str, Applier], folded: Any
) -> None:
    """
    Apply the retained records of kinds that an older version did not know.

    A kind depends only on the subjects and the slice of its own domain, so applying its records
    after those of other kinds gives the same result as applying all records in order.

    :param position: its retained records are changed in place.
    :param appliers: applier of each kind.
    :param folded: the folded state, changed in place.
    """
    unknown = position.unknown
    position.unknown = UnknownRecords(lost=unknown.lost)
    for stored in unknown.records:
        record = stored.record
        if record is None:
            continue
        if record.kind not in appliers:
            _retain_unknown(position.unknown, stored)
            continue
        decision = _apply(position, appliers, folded, stored.offset, record)
        if record.id in position.decisions:
            position.decisions[record.id] = _to_verdict(decision)


def _to_verdict(decision: Decision) -> Verdict:
    return Verdict(
        decision.offset,
        decision.accepted,
        decision.reason,
        decision.overtaken_by,
        decision.record.subject,
    )


def _retain_unknown(unknown: UnknownRecords, stored: StoredRecord) -> None:
    size = len(msgspec.msgpack.encode(stored))
    unknown.records.append(stored)
    unknown.sizes.append(size)
    unknown.total_bytes += size
    while len(unknown.records) > UNKNOWN_RECORDS_KEPT or unknown.total_bytes > UNKNOWN_BYTES_KEPT:
        dropped = unknown.records.pop(0)
        unknown.total_bytes -= unknown.sizes.pop(0)
        if dropped.record is not None:
            kind = dropped.record.kind
            unknown.lost[kind] = unknown.lost.get(kind, 0) + 1
