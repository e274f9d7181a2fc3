"""
Records of the job log and their encoding.

Callers' records (`Submitted`, `Cancelled`) may be appended by any instance. All other records are
appended by the owner of the log and carry its epoch, which acts as a fencing token: the store
refuses appends with an older epoch.
"""

from collections.abc import Iterable

import msgspec

from .model import JobPolicy, JobSpec


class _Record(msgspec.Struct, frozen=True, array_like=True, tag=True):
    pass


class Submitted(_Record, frozen=True, tag="s"):
    """
    A caller submitted a job.

    :param service: service that the queue used at that time.
    :param at_ms: Unix time at the instance that received the job.
    :param policy: settings of the queue and of the workspace at that time; ``None`` in records of
        former releases.
    """

    job: str
    queue: str
    service: str
    workspace: str
    spec: JobSpec
    at_ms: int
    policy: JobPolicy | None = None


class Cancelled(_Record, frozen=True, tag="c"):
    """
    A caller cancelled a job.
    """

    job: str
    at_ms: int


class Claimed(_Record, frozen=True, tag="o"):
    """
    An instance claims ownership of the log, which it holds from this record on.

    :param incarnation: Unix time in milliseconds at which the instance started.
    :param address: address at which it accepts callers' records from other instances, or empty.
    :param weakness: 0 if it can carry the owner's load, up to 1 if it can't; ``None`` if unknown.
    :param keeps_bounds: whether it lifts the bound on a worker's leases before it grants one.
    :param lease_ms: longest lease that the claimant grants, or 0 if unknown.
    :param tells_begins: whether it records which jobs have begun; otherwise, a job counts as begun
        at its first recorded start.
    """

    epoch: int
    instance: str
    incarnation: int
    address: str = ""
    weakness: float | None = None
    keeps_bounds: bool = False
    lease_ms: int = 0
    tells_begins: bool = False


class Released(_Record, frozen=True, tag="l"):
    """
    The owner releases ownership of the log.
    """

    epoch: int


class OwnerHeartbeat(_Record, frozen=True, tag="b"):
    """
    The owner is alive.

    :param clock_ms: the owner's monotonic clock; only differences are meaningful.
    """

    epoch: int
    clock_ms: int = 0


class Started(_Record, frozen=True, tag="r"):
    """
    A task is about to be started on a worker.

    :param address: address of the worker, or empty if unknown.
    :param instance: the instance that the worker runs on, or empty if unknown.
    :param is_verified: whether the worker had just answered.
    """

    epoch: int
    job: str
    occurrence: int
    step: int
    index: int
    run: int
    worker: str
    worker_incarnation: int
    address: str = ""
    instance: str = ""
    is_verified: bool = False


class Begun(_Record, frozen=True, tag="n"):
    """
    Workers have begun the first tasks of jobs.

    :param jobs: ids of the jobs.
    """

    epoch: int
    jobs: tuple[str, ...]


class Ended(_Record, frozen=True, tag="e"):
    """
    A run has ended.

    :param end_state: how it ended, as reported by the worker (``done``, ``failed``, ``stopped``
        and so on), or ``lost``, ``crashed`` or ``unconfirmed``.
    :param checkpoint: last checkpoint of the run, or empty.
    :param is_established: whether the run of a long-running task had been up for so long that it
        isn't suspected of crashing workers.
    :param ran_ms: how long a run that was done took, or 0 if that is unknown or doesn't tell how
        long others of its step take.
    """

    epoch: int
    job: str
    occurrence: int
    step: int
    index: int
    run: int
    end_state: str
    checkpoint: str
    is_established: bool = False
    ran_ms: int = 0


class Closed(_Record, frozen=True, tag="f"):
    """
    A job has ended.

    :param state: ``completed``, ``failed`` or ``cancelled``.
    """

    epoch: int
    job: str
    state: str
    at_ms: int


class PolicySet(_Record, frozen=True, tag="p"):
    """
    The policy of a job, which its submission doesn't tell or which needs tickets as well.
    """

    epoch: int
    job: str
    policy: JobPolicy


class InstanceOrdered(_Record, frozen=True, tag="m"):
    """
    An order for an instance is about to be sent to the machine service.

    :param wave: number of the maintenance wave, or -1 for a move.
    :param pool: target pool of a move, otherwise empty.
    """

    epoch: int
    instance: str
    wave: int
    pool: str
    at_ms: int


class InstanceDone(_Record, frozen=True, tag="d"):
    """
    The machine service has accepted an order for an instance, or the owner has withdrawn it.
    """

    epoch: int
    instance: str
    wave: int


class WaveClosed(_Record, frozen=True, tag="w"):
    """
    Every instance of a maintenance wave has been maintained.
    """

    epoch: int
    wave: int


class BurstSeen(_Record, frozen=True, tag="h"):
    """
    The demand of a pool had a burst, from which a later owner sizes the reserves of pools.

    :param begun_ms: when it began, by the owner's monotonic clock.
    :param millicores: highest demand in its beginning.
    :param is_in_turn: whether the bursts of the pools rotate, as far as the owner knows.
    """

    epoch: int
    pool: str
    begun_ms: int
    millicores: int
    is_in_turn: bool


class LeaseBounded(_Record, frozen=True, tag="k"):
    """
    The owner can't reach a worker: no lease of its incarnation, nor of an earlier one, lasts longer
    than the given time, and none is granted until the bound is lifted.

    :param left_ms: longest time that a lease may still last, by any instance's clock.
    :param clock_ms: the owner's monotonic clock; only differences are meaningful.
    """

    epoch: int
    worker: str
    incarnation: int
    left_ms: int
    clock_ms: int


class LeaseLifted(_Record, frozen=True, tag="u"):
    """
    The owner has reached a worker again and may grant it leases.

    :param clock_ms: the owner's monotonic clock.
    """

    epoch: int
    worker: str
    clock_ms: int


Record = (
    Submitted
    | Cancelled
    | Claimed
    | Released
    | OwnerHeartbeat
    | Started
    | Begun
    | Ended
    | Closed
    | PolicySet
    | InstanceOrdered
    | InstanceDone
    | WaveClosed
    | BurstSeen
    | LeaseBounded
    | LeaseLifted
)
OwnerRecord = (
    Released
    | OwnerHeartbeat
    | Started
    | Begun
    | Ended
    | Closed
    | PolicySet
    | InstanceOrdered
    | InstanceDone
    | WaveClosed
    | BurstSeen
    | LeaseBounded
    | LeaseLifted
)
OWNER_RECORDS = (
    Released,
    OwnerHeartbeat,
    Started,
    Begun,
    Ended,
    Closed,
    PolicySet,
    InstanceOrdered,
    InstanceDone,
    WaveClosed,
    BurstSeen,
    LeaseBounded,
    LeaseLifted,
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


def encode_records(records: Iterable[Record]) -> list[bytes]:
    """
    Encode records for the log.

    :param records: the records.
    :returns: the encoded records, in the same order.
    """
    return [_encoder.encode(record) for record in records]


def decode_record(data: bytes) -> Record | None:
    """
    Decode a record of the log.

    :param data: the encoded record.
    :returns: the record, or ``None`` if it can't be decoded.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError:
        return None
