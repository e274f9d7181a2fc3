"""
What an instance does, as the reducer of jobs asks for it.
"""

from typing import Any, NamedTuple

from .model import TaskKey


class Reply(NamedTuple):
    """
    Answer a caller.

    :param outcome: one of the names below.
    :param detail: state of the job, or the reason of a refusal.
    :param number: jobs that wait, for a count.
    :param retry_after_s: seconds after which a refused call may be tried again.
    """

    token: int
    outcome: str
    detail: str = ""
    number: int = 0
    retry_after_s: float | None = None


ACCEPTED = "accepted"
STATE = "state"
PENDING = "pending"
NO_SUCH_JOB = "no_such_job"
NO_SUCH_QUEUE = "no_such_queue"
UNKNOWN_KEY = "unknown_key"
MALFORMED = "malformed"
NOT_ACCEPTED = "not_accepted"
UNAVAILABLE = "unavailable"
UNCERTAIN = "uncertain"


class ReadLog(NamedTuple):
    """
    Read the job log.

    :param wait_s: how long to wait for a record.
    """

    offset: int
    wait_s: float


class ReadSnapshot(NamedTuple):
    """
    Read the newest snapshot of the book.
    """


class WriteSnapshot(NamedTuple):
    """
    Store a snapshot of the book.
    """

    offset: int
    data: bytes


class TrimLog(NamedTuple):
    """
    Drop the records of the log before an offset.
    """

    before: int


class Append(NamedTuple):
    """
    Append to the job log.

    :param channel: whose append it is; named in the outcome.
    :param producer: together with epoch and number makes a repeat harmless.
    """

    channel: str
    producer: str
    epoch: int
    seq: int
    records: tuple[bytes, ...]


class Forward(NamedTuple):
    """
    Send records of callers to the owner, which appends them.

    :param address: where the owner takes them.
    :param epoch: its epoch.
    :param seq: number of the batch, named in the outcome.
    """

    address: str
    epoch: int
    seq: int
    records: tuple[bytes, ...]
    timeout_s: float


class AnswerPeer(NamedTuple):
    """
    Say what became of the records that another instance sent.

    :param outcome: `OK`, `REFUSED` (certainly not appended) or `UNKNOWN`, as in `events`.
    """

    token: int
    outcome: str


class ReadOperator(NamedTuple):
    """
    Read what the operator publishes.

    :param cursor: where to go on, or ``None`` to read all.
    """

    cursor: int | None
    wait_s: float


class ReadWorkers(NamedTuple):
    """
    Read the registry of workers.

    :param cursor: where to go on, or ``None`` to read all.
    """

    cursor: int | None
    wait_s: float


class Hold(NamedTuple):
    """
    Renew a worker's lease and ask what it runs.

    :param token: fencing token.
    :param acked: newest end that is noted in the log, or 0 when the worker knows.
    :param lease_ms: end of the lease on the worker's clock, or ``None`` to leave it.
    :param wait_s: how long the worker waits for an end.
    """

    worker: str
    address: str
    token: int
    acked: int
    lease_ms: int | None
    wait_s: float


class StartTask(NamedTuple):
    """
    Order a worker to start a task.

    :param lease_ms: time on the worker's clock from which the order is void.
    """

    worker: str
    address: str
    key: TaskKey
    run: int
    payload: str
    lease_ms: int
    token: int
    checkpoint: str
    ticket: str


class StopTask(NamedTuple):
    """
    Order a worker to stop a task.
    """

    worker: str
    address: str
    key: TaskKey
    run: int
    token: int


class PaceTask(NamedTuple):
    """
    Order a worker to let a task work at a part of its speed.

    :param percent: 0 to 100.
    """

    worker: str
    address: str
    key: TaskKey
    run: int
    percent: int
    token: int


class Advise(NamedTuple):
    """
    Ask which workers may run a step.
    """

    job: str
    occurrence: int
    step: int
    workers: tuple[str, ...]


class ListInstances(NamedTuple):
    """
    Ask the machine service for its instances.
    """


class OrderInstance(NamedTuple):
    """
    Order the machine service to maintain or to move an instance.

    :param wave: number of the wave, or -1 for a move.
    :param pool: the new pool of a move, else empty.
    """

    instance: str
    wave: int
    pool: str
    token: int


class PublishWave(NamedTuple):
    """
    Publish the state of a maintenance wave.

    :param state: ``running`` or ``completed``.
    """

    wave: int
    state: str


class WriteLine(NamedTuple):
    """
    Write a line of the structured log.
    """

    action: str
    fields: dict[str, Any]


class Exit(NamedTuple):
    """
    End the process.
    """
