"""
The newest announced snapshot, as determined by the log.
"""

import msgspec

from ._records import Record

SNAPSHOT_MADE = "snapshot.made"
SNAPSHOT_SUBJECT = "snapshot"

REASON_INVALID = "invalid_snapshot"


class SnapshotFold(msgspec.Struct):
    """
    The newest announced snapshot.

    :param offset: last offset that it covers, or 0.
    :param announced: offset of the announcement, or 0.
    """

    offset: int = 0
    announced: int = 0


def apply_snapshot_made(snapshots: SnapshotFold, offset: int, record: Record) -> str:
    """
    Apply the announcement of a snapshot.

    :param snapshots: changed in place.
    :param offset: offset of the record.
    :param record: a ``snapshot.made`` record.
    :returns: a reason to reject it, or an empty string.
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
