"""
State of this instance's reads from and appends to the log service.
"""

from collections import deque
from typing import Literal, NamedTuple

import msgspec

from ._records import Record, StoredRecord

NEVER_S = -1.0

Lane = Literal["urgent", "normal"]
URGENT: Lane = "urgent"
NORMAL: Lane = "normal"


class LogReached(NamedTuple):
    """
    All records that the log held at a certain time are folded.

    :param as_of_s: that time.
    """

    as_of_s: float


class FollowLog(NamedTuple):
    """
    The fold is complete up to its offset: read the log from there.
    """


class FoldReplaced(NamedTuple):
    """
    The fold was replaced by a snapshot; there is no ``RecordFolded`` for the records in it.
    """


class SnapshotNeeded(NamedTuple):
    """
    The log no longer holds the records that follow the fold.

    :param reason: how this was detected.
    """

    reason: str


class LogState(msgspec.Struct):
    """
    This instance's view of the log service.

    :param head: newest known offset.
    :param first: oldest offset that the log keeps, as last reported.
    :param caught_up: whether the fold has caught up with the log's head, or with a peer that had.
    :param available: whether the last read was answered.
    :param reading: whether a read is pending or scheduled.
    :param read_issued_s: time at which the pending read was issued.
    :param answered_s: time of the last answer to a read, or -1.
    """

    head: int = 0
    first: int = 1
    caught_up: bool = False
    available: bool = True
    reading: bool = False
    read_issued_s: float = 0.0
    answered_s: float = NEVER_S


class TailRecord(NamedTuple):
    """
    A folded record that peers may request.

    :param stored: the record.
    :param size_bytes: its encoded size.
    """

    stored: StoredRecord
    size_bytes: int


class LogTail(msgspec.Struct):
    """
    The most recently folded records, oldest first.
    """

    records: deque[TailRecord] = msgspec.field(default_factory=deque)
    total_bytes: int = 0


class OutboxLane(msgspec.Struct):
    """
    Records of one priority, which are appended in order under one writer name.

    :param waiting: records that are not yet appended.
    :param in_flight: the batch that is not yet known to be in the log.
    :param uncertain_since_s: time since when it is unknown whether the batch is in the log, or -1.
    :param expires_s: time after which a record is not appended any more, by sequence number.
    :param next_sequence: sequence number of the next record.
    """

    waiting: deque[Record] = msgspec.field(default_factory=deque)
    in_flight: tuple[Record, ...] = ()
    uncertain_since_s: float = NEVER_S
    expires_s: dict[int, float] = msgspec.field(default_factory=dict)
    next_sequence: int = 1


class Outbox(msgspec.Struct):
    """
    Records that are not yet known to be in the log.

    :param lanes: lanes in order of priority.
    :param sending: lane whose append is pending, or empty.
    :param quota_records: records that the rate limit allows now.
    :param refilled_s: time at which the quota was last updated.
    :param not_before_s: end of the backoff after a failed append.
    :param failures: consecutive failed appends.
    :param appended: records appended since the start, repeats included.
    :param repeated: records that were appended again.
    """

    lanes: dict[Lane, OutboxLane] = msgspec.field(
        default_factory=lambda: {URGENT: OutboxLane(), NORMAL: OutboxLane()}
    )
    sending: str = ""
    quota_records: float = 0.0
    refilled_s: float = NEVER_S
    not_before_s: float = NEVER_S
    failures: int = 0
    appended: int = 0
    repeated: int = 0
