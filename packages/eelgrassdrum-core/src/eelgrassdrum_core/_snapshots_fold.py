"""
Which snapshot is the newest, as decided by the log.
"""

import msgspec

from ._records import Record

SNAPSHOT_MADE = "snapshot.made"
SNAPSHOT_SUBJECT = "snapshot"

REASON_INVALID = "invalid_snapshot"


class SnapshotFold(msgspec.Struct):
    """
    The newest snapshot that was announced.

    :param offset: last offset folded into it, or 0.
    :param announced: offset of the announcement, or 0.
    """

    offset: int = 0
    announced: int = 0


def apply_snapshot_made(snapshots: SnapshotFold, offset: int, record: Record) -> str:
    """
    Take over an announcement.

    :param snapshots: changed in place.
    :param offset: the record's place in the log.
    :param record: a ``snapshot.made`` record.
    :returns: a reason to reject it, or an empty text.
    """
    folded = record.body.get("offset")
    if record.subject != SNAPSHOT_SUBJECT or not isinstance(folded, int):
        return REASON_INVALID
    if not snapshots.offset <= folded < offset:
        return REASON_INVALID
    snapshots.offset = folded
    snapshots.announced = offset
    return ""


APPLIERS = {SNAPSHOT_MADE: apply_snapshot_made}
