"""
The platform's append-only log service as state and pure functions over it.

Time comes in with each call, so the same functions serve unit tests in virtual time and the
HTTP stand-in.
"""

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

CONTROL_STREAM = "control"
SNAPSHOTS_STREAM = "snapshots"
STREAMS = (CONTROL_STREAM, SNAPSHOTS_STREAM)
APPENDS_PER_S = 400
RETENTION_RECORDS = 100_000
RETENTION_AGE_S = 3600.0
READ_LIMIT_RECORDS = 1000


class LogError(Exception):
    """
    A call that the log service refuses.
    """


class RateLimitedError(LogError):
    """
    More appends a second than the service takes; ``retry_after_s`` says when there is room.
    """

    def __init__(self, retry_after_s: float) -> None:
        """
        Keep the time after which the append fits.

        :param retry_after_s: seconds.
        """
        super().__init__(f"over the cap on appends; room in {retry_after_s:.3f} s")
        self.retry_after_s = retry_after_s


class BatchTooLargeError(LogError):
    """
    One append holds more records than the service takes in a second.
    """


class RecordsDroppedError(LogError):
    """
    The records that a read begins with are no longer kept.
    """

    def __init__(self, first: int, head: int) -> None:
        """
        Keep the bounds of what is left.

        :param first: oldest offset that is kept.
        :param head: offset of the newest record.
        """
        super().__init__(f"records before offset {first} were dropped")
        self.first = first
        self.head = head


class LogConfig(msgspec.Struct, frozen=True):
    """
    The service's limits.

    :param appends_per_s: records a second over all streams, with bursts of one second's worth.
    :param retention_records: newest records that each stream keeps.
    :param retention_age_s: seconds that a record is kept.
    """

    appends_per_s: float = APPENDS_PER_S
    retention_records: int = RETENTION_RECORDS
    retention_age_s: float = RETENTION_AGE_S


class StoredRecord(NamedTuple):
    """
    A record, its offset and the time at which it was appended.
    """

    offset: int
    stored_at_s: float
    record: object


class Stream(msgspec.Struct):
    """
    The records of one stream that are still kept, oldest first.
    """

    head: int = 0
    records: deque[StoredRecord] = msgspec.field(default_factory=deque)


class LogState(msgspec.Struct):
    """
    All streams and the room left under the cap on appends.
    """

    cfg: LogConfig
    streams: dict[str, Stream]
    room_records: float
    refilled_at_s: float


class Appended(msgspec.Struct, frozen=True):
    """
    The offsets that an append gave, in the order of its records.
    """

    offsets: list[int]
    head: int


class ReadRecord(msgspec.Struct, frozen=True):
    """
    One record of a read.
    """

    offset: int
    record: object


class ReadResult(msgspec.Struct, frozen=True):
    """
    The records of a read with the bounds of the stream.
    """

    records: list[ReadRecord]
    head: int
    first: int


def new_log(cfg: LogConfig | None = None, now_s: float = 0.0) -> LogState:
    """
    Make an empty log.

    :param cfg: limits.
    :param now_s: time in seconds on any clock that does not go back.
    :returns: the state.
    """
    cfg = cfg or LogConfig()
    return LogState(cfg, {name: Stream() for name in STREAMS}, cfg.appends_per_s, now_s)


def append(state: LogState, stream: str, records: Sequence[object], now_s: float) -> Appended:
    """
    Append records as one unit: all of them or none.

    :param state: the log, changed in place.
    :param stream: name of the stream.
    :param records: what to append.
    :param now_s: time in seconds.
    :returns: the offsets.
    :raises RateLimitedError: over the cap; nothing was appended.
    :raises BatchTooLargeError: the records can never fit under the cap.
    """
    take_room(state, len(records), now_s)
    target = state.streams[stream]
    offsets = list(range(target.head + 1, target.head + 1 + len(records)))
    target.records.extend(
        StoredRecord(offset, now_s, record) for offset, record in zip(offsets, records, strict=True)
    )
    target.head += len(records)
    drop_old(state.cfg, target, now_s)
    return Appended(offsets, target.head)


def read(state: LogState, stream: str, start: int, limit: int, now_s: float) -> ReadResult:
    """
    Read records from an offset on.

    :param state: the log; records past their retention are dropped.
    :param stream: name of the stream.
    :param start: first offset wanted.
    :param limit: most records wanted.
    :param now_s: time in seconds.
    :returns: the records, none when the start lies past the head.
    :raises RecordsDroppedError: the start is older than what is kept.
    """
    source = state.streams[stream]
    drop_old(state.cfg, source, now_s)
    first = first_offset(source)
    if start < first:
        raise RecordsDroppedError(first, source.head)
    begin = start - first
    end = min(begin + min(limit, READ_LIMIT_RECORDS), len(source.records))
    found = [source.records[index] for index in range(begin, end)]
    return ReadResult([ReadRecord(r.offset, r.record) for r in found], source.head, first)


def first_offset(stream: Stream) -> int:
    """
    Tell the oldest offset that can still be read.

    :param stream: the stream.
    :returns: the offset, one past the head when nothing is kept.
    """
    return stream.records[0].offset if stream.records else stream.head + 1


def drop_old(cfg: LogConfig, stream: Stream, now_s: float) -> None:
    """
    Drop the records that are past the retention by count or by age.

    :param cfg: limits.
    :param stream: the stream, changed in place.
    :param now_s: time in seconds.
    """
    oldest_s = now_s - cfg.retention_age_s
    records = stream.records
    while records and (len(records) > cfg.retention_records or records[0].stored_at_s < oldest_s):
        records.popleft()


def take_room(state: LogState, count: int, now_s: float) -> None:
    """
    Take room under the cap on appends from a token bucket.

    :param state: the log, changed in place.
    :param count: records to be appended.
    :param now_s: time in seconds.
    :raises RateLimitedError: there is not room enough now.
    :raises BatchTooLargeError: there never will be.
    """
    cap = state.cfg.appends_per_s
    if count > cap:
        raise BatchTooLargeError(f"{count} records in one append, at most {cap:g}")
    gained = (now_s - state.refilled_at_s) * cap
    state.room_records = min(cap, state.room_records + gained)
    state.refilled_at_s = now_s
    if count > state.room_records:
        raise RateLimitedError((count - state.room_records) / cap)
    state.room_records -= count
