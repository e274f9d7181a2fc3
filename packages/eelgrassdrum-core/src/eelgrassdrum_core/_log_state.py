"""
State of this instance's dealings with the log service.
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
    Everything that was in the log at some moment is folded.

    :param as_of_s: that moment.
    """

    as_of_s: float


class FollowLog(NamedTuple):
    """
    The fold is whole up to some offset: read the log from there on.
    """


class FoldReplaced(NamedTuple):
    """
    The fold was replaced by a snapshot; no ``RecordFolded`` tells of what it holds.
    """


class SnapshotNeeded(NamedTuple):
    """
    Records between the fold and the log's oldest record are gone.

    :param reason: how it was noticed.
    """

    reason: str


class LogState(msgspec.Struct):
    """
    This instance's view of the log service.

    :param head: newest offset seen.
    :param first: oldest offset that the log keeps, as last seen.
    :param caught_up: whether the fold is whole: it has reached the head, or a whole peer.
    :param available: whether the last read was answered.
    :param reading: whether a read is awaited or scheduled.
    :param read_issued_s: time of the read that is awaited.
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
    A folded record that peers may ask for.

    :param stored: the record.
    :param size_bytes: its length when encoded.
    """

    stored: StoredRecord
    size_bytes: int


class LogTail(msgspec.Struct):
    """
    The newest records that were folded, oldest first.
    """

    records: deque[TailRecord] = msgspec.field(default_factory=deque)
    total_bytes: int = 0


class OutboxLane(msgspec.Struct):
    """
    Records that are appended in their order, under one writer's name.

    :param waiting: records not yet appended.
    :param in_flight: the batch that is not yet known to be in the log.
    :param uncertain_since_s: time since which the batch may or may not be in the log, or -1.
    :param next_sequence: sequence of the next record.
    """

    waiting: deque[Record] = msgspec.field(default_factory=deque)
    in_flight: tuple[Record, ...] = ()
    uncertain_since_s: float = NEVER_S
    next_sequence: int = 1


class Outbox(msgspec.Struct):
    """
    Records not yet known to be in the log.

    :param lanes: lanes in the order of their priority.
    :param sending: lane whose answer is awaited, or empty.
    :param quota_records: records that may be appended now.
    :param refilled_s: time at which the room was last worked out.
    :param not_before_s: time before which nothing is appended, after a failure.
    :param failures: failures in a row.
    :param appended: records appended since the start, repeats included.
    :param repeated: records appended more than once.
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
