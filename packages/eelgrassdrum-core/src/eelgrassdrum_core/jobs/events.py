"""
The events that the job reducer handles.
"""

import math
from typing import NamedTuple

from .model import (
    Config,
    EndRow,
    InstanceRow,
    JobSpec,
    Refusal,
    RunRow,
    TaskKey,
    Wave,
    WorkerEntry,
    ZoneRequest,
)

SUBMIT = "submit"
LOOK_UP = "look_up"
CANCEL = "cancel"
COUNT = "count"

# Outcomes of appends and other calls: `REFUSED` and `UNSENT` calls definitely had no effect, those
# with an `UNKNOWN` outcome may have had one, `FENCED` appends carried an outdated epoch.
OK = "ok"
REFUSED = "refused"
UNKNOWN = "unknown"
FENCED = "fenced"
UNSENT = "unsent"


class Ticked(NamedTuple):
    """
    Time has passed.
    """


class StopAsked(NamedTuple):
    """
    The process was asked to stop.
    """


class CallReceived(NamedTuple):
    """
    A caller sent a request.

    :param token: identifies the request; the reply carries the same token.
    :param kind: one of `SUBMIT`, `LOOK_UP`, `CANCEL` and `COUNT`.
    :param key: key of the request, or empty.
    :param deadline_s: seconds that the caller waits for a response.
    :param spec: the submitted job, or ``None`` if there is none or its body is malformed.
    """

    token: int
    kind: str
    host: str
    path: str
    key: str
    deadline_s: float
    spec: JobSpec | None = None


class CallAbandoned(NamedTuple):
    """
    A caller disconnected before it was answered.
    """

    token: int


class LogRead(NamedTuple):
    """
    A part of the log was read.

    :param offset: offset of the first record.
    :param records: the encoded records.
    :param end: offset after the last record of the log.
    :param sent_s: when the read was sent, by this instance's clock.
    """

    offset: int
    records: tuple[bytes, ...]
    end: int
    sent_s: float


class LogGap(NamedTuple):
    """
    The log no longer holds the requested records.

    :param first: oldest offset that the log holds.
    :param offset: the requested offset, or ``None`` if unknown.
    :param sent_s: when the read was sent, by this instance's clock.
    """

    first: int
    offset: int | None = None
    sent_s: float = math.inf


class LogReadFailed(NamedTuple):
    """
    A read of the log failed.

    :param reason: such as ``timeout`` or ``connect``, or the status of the response.
    :param sent_s: when the read was sent, by this instance's clock.
    """

    reason: str
    sent_s: float = math.inf


class SnapshotRead(NamedTuple):
    """
    The latest snapshot of the replicated state was read.

    :param data: the encoded snapshot, or ``None`` if there is none.
    """

    data: bytes | None


class Appended(NamedTuple):
    """
    An append to the log completed.

    :param channel: channel of the append.
    :param seq: sequence number of the append.
    :param outcome: `OK`, `REFUSED` (definitely not appended), `UNSENT` (the owner of the log
        couldn't be reached, so that records were definitely not forwarded), `UNKNOWN` or `FENCED`.
    :param detail: details for the log.
    :param refused: jobs that the owner refused; their records were not appended, and the outcome
        is that of the other records.
    """

    channel: str
    seq: int
    outcome: str
    detail: str = ""
    refused: tuple[Refusal, ...] = ()


class PeerRecords(NamedTuple):
    """
    Another instance forwarded its callers' records to the owner.

    :param token: identifies the request; the answer carries the same token.
    :param epoch: the owner's epoch that the sender knows.
    :param records: the encoded records.
    :param may_refuse: whether the sender handles refusals of single jobs, and none of the records
        can be in the log already.
    """

    token: int
    epoch: int
    records: tuple[bytes, ...]
    may_refuse: bool = False


class OperatorRead(NamedTuple):
    """
    The operator's publications were read.

    :param cursor: position of the next read.
    :param config: a new configuration, or ``None``.
    :param waves: new maintenance waves.
    :param sent_s: when the read was sent, by this instance's clock.
    :param records_left: number of records after the cursor when the response was sent.
    :param zone_requests: requests about availability zones, in the order of their offsets unless
        all records were read.
    :param is_full: whether the newest record of each key was read, so that a zone without a request
        isn't evacuated.
    """

    cursor: int
    config: Config | None
    waves: tuple[Wave, ...]
    sent_s: float
    records_left: int = 0
    zone_requests: tuple[ZoneRequest, ...] = ()
    is_full: bool = False


class OperatorReadBegan(NamedTuple):
    """
    The response to a read of the operator's publications has begun to arrive.

    :param sent_s: when the read was sent, by this instance's clock.
    """

    sent_s: float


class OperatorReadFailed(NamedTuple):
    """
    The operator's publications couldn't be read.

    :param restart: whether the store has dropped the records at the cursor, so that all records
        must be read again.
    :param sent_s: when the read was sent, by this instance's clock.
    """

    reason: str
    restart: bool = False
    sent_s: float = math.inf


class WorkersRead(NamedTuple):
    """
    Entries of the registry of workers were read.

    :param cursor: position of the next read.
    :param is_full: whether these are the entries of all workers.
    :param entries: latest entry by worker; ``None`` for a worker whose entry is gone or unreadable.
    :param sent_s: when the read was sent, by this instance's clock.
    """

    cursor: int
    is_full: bool
    entries: dict[str, WorkerEntry | None]
    sent_s: float = math.inf


class WorkersReadFailed(NamedTuple):
    """
    The registry couldn't be read.

    :param restart: whether all entries must be read again.
    :param sent_s: when the read was sent, by this instance's clock.
    """

    reason: str
    restart: bool = False
    sent_s: float = math.inf


class HoldAnswered(NamedTuple):
    """
    A worker renewed its lease and listed its runs.

    :param token: fencing token of the call.
    :param sent_s: when the call was sent, by this instance's clock.
    :param clock_ms: the worker's monotonic clock.
    :param runs: the running runs.
    :param ends: the ended runs that aren't acknowledged yet, from the earliest on.
    :param is_complete: whether the lists name all runs and all such ends.
    """

    worker: str
    token: int
    sent_s: float
    clock_ms: int
    incarnation: int
    runs: tuple[RunRow, ...]
    ends: tuple[EndRow, ...]
    is_complete: bool = True


class HoldFailed(NamedTuple):
    """
    A worker didn't respond to the renewal of its lease, or refused it.

    :param reason: such as ``timeout``, ``fence`` or ``other_worker``.
    :param token: fencing token of the call.
    :param sent_s: when the call was sent, by this instance's clock.
    """

    worker: str
    reason: str
    token: int
    sent_s: float = math.inf


class StartAnswered(NamedTuple):
    """
    An order to start a task completed.

    :param outcome: `OK`, `REFUSED`, `UNKNOWN` or `UNSENT`.
    :param reason: reason of a refusal.
    :param clock_ms: the worker's monotonic clock.
    """

    worker: str
    key: TaskKey
    run: int
    outcome: str
    reason: str
    clock_ms: int


class StopAnswered(NamedTuple):
    """
    An order to stop a task completed.

    :param outcome: `OK`, `REFUSED`, `UNKNOWN` or `UNSENT`.
    """

    worker: str
    key: TaskKey
    run: int
    outcome: str


class PaceAnswered(NamedTuple):
    """
    An order to throttle a task completed.

    :param percent: percentage of its speed that was ordered.
    """

    worker: str
    key: TaskKey
    run: int
    percent: int
    outcome: str


class AdviceAnswered(NamedTuple):
    """
    The advice service responded, or failed to.

    :param asked: workers that the request was about.
    :param tickets: ticket by worker that may run the step; ``None`` if there was no response.
    :param valid_s: validity of the tickets.
    """

    job: str
    occurrence: int
    step: int
    asked: tuple[str, ...]
    tickets: dict[str, str] | None
    valid_s: float


class InstancesListed(NamedTuple):
    """
    The machine service listed its instances, or failed to.

    :param rows: the instances, or ``None`` if there was no response.
    :param sent_s: when the call was sent, by this instance's clock.
    """

    rows: tuple[InstanceRow, ...] | None
    sent_s: float


class InstanceOrderAnswered(NamedTuple):
    """
    An order for an instance completed.

    :param outcome: `OK`, `REFUSED`, `UNKNOWN` or `UNSENT`.
    """

    instance: str
    wave: int
    pool: str
    outcome: str
    reason: str


class WaveStatusAnswered(NamedTuple):
    """
    The attempt to publish the state of a wave completed.
    """

    wave: int
    state: str
    outcome: str


class SnapshotWritten(NamedTuple):
    """
    The attempt to store a snapshot completed.
    """

    offset: int
    outcome: str
