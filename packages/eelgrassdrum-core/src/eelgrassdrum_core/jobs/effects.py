"""
The effects that the job reducer requests and the instance carries out.
"""

from typing import Any, NamedTuple

from .model import Refusal, TaskKey


class Reply(NamedTuple):
    """
    Answer a caller.

    :param outcome: one of the constants below.
    :param detail: state of the job, or the reason of a refusal.
    :param number: number of queued jobs, in response to a count.
    :param retry_after_s: seconds after which a refused call may be retried.
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

    :param wait_s: maximum time to wait for a new record.
    :param is_probe: whether a few records are enough, as the read shows whether the log responds.
    """

    offset: int
    wait_s: float
    is_probe: bool = False


class ReadSnapshot(NamedTuple):
    """
    Read the latest snapshot of the replicated state.
    """


class WriteSnapshot(NamedTuple):
    """
    Store a snapshot of the replicated state.
    """

    offset: int
    data: bytes


class TrimLog(NamedTuple):
    """
    Remove the records of the log before an offset.
    """

    before: int


class Append(NamedTuple):
    """
    Append to the job log.

    :param channel: channel of the append, which its outcome is returned with.
    :param producer: together with epoch and sequence number makes retries idempotent; empty if that
        isn't needed.
    """

    channel: str
    producer: str
    epoch: int
    seq: int
    records: tuple[bytes, ...]


class Forward(NamedTuple):
    """
    Forward callers' records to the owner, which appends them.

    :param address: address at which the owner accepts them.
    :param epoch: epoch of the owner.
    :param seq: sequence number of the batch, which its outcome is returned with.
    :param may_refuse: whether the owner may refuse single jobs, since none of the records can be in
        the log already.
    """

    address: str
    epoch: int
    seq: int
    records: tuple[bytes, ...]
    timeout_s: float
    may_refuse: bool = False


class AnswerPeer(NamedTuple):
    """
    Answer another instance with the outcome of the records that it forwarded.

    :param outcome: `OK`, `REFUSED` (definitely not appended) or `UNKNOWN`, as in `events`.
    :param refused: jobs that were refused; the outcome is that of the other records.
    """

    token: int
    outcome: str
    refused: tuple[Refusal, ...] = ()


class ReadOperator(NamedTuple):
    """
    Read the operator's publications.

    :param cursor: position to continue from, or ``None`` to read all records.
    """

    cursor: int | None
    wait_s: float


class ReadWorkers(NamedTuple):
    """
    Read the registry of workers.

    :param cursor: position to continue from, or ``None`` to read all entries.
    """

    cursor: int | None
    wait_s: float


class Hold(NamedTuple):
    """
    Renew a worker's lease and request the list of its runs.

    :param token: fencing token.
    :param acked: number of the latest end that is committed to the log, or 0 if the worker has
        already been notified of it.
    :param lease_ms: expiry of the lease on the worker's clock, or ``None`` to leave it unchanged.
    :param wait_s: how long the worker waits for a run to end before it responds.
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

    :param lease_ms: time on the worker's clock at which the order expires.
    :param token: fencing token.
    :param checkpoint: checkpoint to resume from, or empty.
    :param ticket: ticket of the advice service, or empty.
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
    Order a worker to throttle a task to a percentage of its speed.

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
    Ask the advice service which workers may run a step.
    """

    job: str
    occurrence: int
    step: int
    workers: tuple[str, ...]


class ListInstances(NamedTuple):
    """
    Request the list of instances from the machine service.
    """


# Time from sending an order for an instance until it is given up.
ORDER_TIMEOUT_S = 2.0


class OrderInstance(NamedTuple):
    """
    Order the machine service to maintain or to move an instance.

    It is given up after `ORDER_TIMEOUT_S`, and must not be carried out from then on.

    :param wave: number of the wave, or -1 for a move.
    :param pool: target pool of a move, otherwise empty.
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

    :param action: name of the event.
    """

    action: str
    fields: dict[str, Any]


class Exit(NamedTuple):
    """
    Exit the process.
    """
