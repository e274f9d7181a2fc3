"""
The fold of the control stream: one deterministic decision about each record, in offset order.

A record carries the revision of its subject that it builds on, so a writer that was overtaken is
told so, repeats are recognised by the writer's sequence, and a replaced writer is fenced by its
incarnation. Domains add the meaning of their kinds in tables of appliers. Records of kinds that
this program does not know are kept, so that a newer one that starts from this fold can apply them.
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

# Offsets after which a writer that wrote nothing is forgotten. Longer than the log keeps records.
WRITER_RETENTION_OFFSETS = 1_000_000
# Decisions kept so that writers can ask for them.
DECISIONS_KEPT = 4096
# Bounds of what is kept of kinds that this program does not know.
UNKNOWN_RECORDS_KEPT = 5000
UNKNOWN_BYTES_KEPT = 8 * 1024 * 1024


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


class Verdict(NamedTuple):
    """
    What is remembered of a decision, without the record's body.

    :param offset: its place in the log.
    :param accepted: whether it took effect.
    :param reason: why not, or empty.
    :param overtaken_by: offset of the record that it lost against, or 0.
    :param subject: what the record changes, which tells who may see the verdict.
    """

    offset: int
    accepted: bool
    reason: str
    overtaken_by: int
    subject: str


class UnknownRecords(msgspec.Struct):
    """
    Records of kinds that this program does not know, oldest first.

    :param records: the records.
    :param sizes: bytes of each, encoded.
    :param total_bytes: sum of the sizes.
    :param lost: count by kind of those that were dropped to keep within the bounds.
    """

    records: list[StoredRecord] = msgspec.field(default_factory=list)
    sizes: list[int] = msgspec.field(default_factory=list)
    total_bytes: int = 0
    lost: dict[str, int] = msgspec.field(default_factory=dict)


class LogPosition(msgspec.Struct):
    """
    Revisions, writers and the next offset to fold.

    :param next_offset: first offset that was not folded.
    :param revisions: offset of each subject's last accepted record.
    :param writers: how far each writer has come, in the order of their last records.
    :param decisions: the newest decisions.
    :param unknown: records that a newer program may understand.
    """

    next_offset: int = 1
    revisions: dict[str, int] = msgspec.field(default_factory=dict)
    writers: dict[str, WriterMark] = msgspec.field(default_factory=dict)
    decisions: dict[RecordId, Verdict] = msgspec.field(default_factory=dict)
    unknown: UnknownRecords = msgspec.field(default_factory=UnknownRecords)


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
    :param appliers: meaning of each kind; records of other kinds are kept for a newer program,
        which decides about them when it starts from this fold.
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
    # Writers stand in the order of their last record, so only the first can be too old.
    oldest = next(iter(position.writers), None)
    if oldest is None:
        return
    if position.writers[oldest].offset < offset - WRITER_RETENTION_OFFSETS:
        position.writers.pop(oldest)


def apply_unknown_records(
    position: LogPosition, appliers: Mapping[str, Applier], folded: Any
) -> None:
    """
    Decide about the kept records of kinds that an older program did not know.

    A kind depends only on the subjects and the slice of its own domain, so deciding about its
    records after those of other kinds gives what deciding in order would have given.

    :param position: its kept records are changed in place.
    :param appliers: meaning of each kind.
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
