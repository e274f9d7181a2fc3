"""
Events: everything that the reducer can be told.
"""

from typing import Any, NamedTuple

from ._ids import Credential, RecordId, Sender
from ._records import Record, StoredRecord


class Started(NamedTuple):
    """
    The process has started and its adapters are ready.

    :param seed: seed of every random choice that the reducer makes.
    """

    seed: int


class Ticked(NamedTuple):
    """
    Some time has passed; sent about ten times a second.
    """


class StopRequested(NamedTuple):
    """
    The process was asked to stop gracefully.
    """


class RequestReceived(NamedTuple):
    """
    A caller's whole request has arrived.

    :param token: the daemon's name for the open exchange with the caller.
    :param request_id: the caller's id of the request.
    :param queue: ``WORKSPACE/QUEUE``.
    :param credential: the key presented, or ``None``.
    :param idempotent: whether running it twice does no harm.
    :param urgent: whether it goes before others of its team.
    :param timeout_s: seconds that the caller will wait, or ``None``.
    :param size_bytes: length of the body.
    :param body_hash: hash of the body, to tell a repeat from another request with the same id.
    :param repeat: whether the caller says that it has sent the request before.
    """

    token: int
    request_id: str
    queue: str
    credential: Credential | None
    idempotent: bool
    urgent: bool
    timeout_s: float | None
    size_bytes: int
    body_hash: int = 0
    repeat: bool = False


class RequestAbandoned(NamedTuple):
    """
    The caller of an open exchange is gone.

    :param token: the exchange.
    """

    token: int


class AttemptAnswered(NamedTuple):
    """
    An endpoint gave its whole answer.

    :param attempt: id of the attempt, as echoed by the endpoint.
    :param status: HTTP status of the answer.
    :param size_bytes: length of the answer's body.
    """

    attempt: str
    status: int
    size_bytes: int


class AttemptRefused(NamedTuple):
    """
    An endpoint refused an attempt before running it.

    :param attempt: id of the attempt.
    :param leaving: whether the endpoint said that it is leaving.
    """

    attempt: str
    leaving: bool


class AttemptFailed(NamedTuple):
    """
    An attempt ended without an answer.

    :param attempt: id of the attempt.
    :param sent: ``False`` only when certainly no byte of it was sent.
    :param reason: such as ``connect``, ``timeout``, ``closed`` or ``malformed``.
    """

    attempt: str
    sent: bool
    reason: str


class LogRead(NamedTuple):
    """
    A read of the control stream was answered.

    :param records: the records read, in offset order.
    :param head: offset of the newest record in the stream.
    :param first: offset of the oldest record that the log still keeps.
    """

    records: tuple[StoredRecord, ...]
    head: int
    first: int = 1


class LogTruncated(NamedTuple):
    """
    The log no longer keeps the offset that was asked for.

    :param first: oldest offset kept.
    :param head: newest offset.
    """

    first: int
    head: int


class LogUnavailable(NamedTuple):
    """
    A read of the log failed.

    :param reason: what the adapter saw.
    """

    reason: str


class AppendDone(NamedTuple):
    """
    The log has taken a batch of records.

    :param offsets: offset of each record of the batch.
    """

    offsets: tuple[int, ...]


class AppendFailed(NamedTuple):
    """
    An append was refused, or its answer was lost.

    :param reason: what the adapter saw.
    :param may_have_effect: ``False`` only when the log certainly did not take the batch.
    """

    reason: str
    may_have_effect: bool


class RecordFolded(NamedTuple):
    """
    The fold has decided about a record.

    :param offset: its place in the log.
    :param record: the record.
    :param accepted: whether it took effect.
    :param reason: why not, or empty.
    """

    offset: int
    record: Record
    accepted: bool
    reason: str


class ListedInstance(NamedTuple):
    """
    One entry of the platform's instance list.

    :param id: id of the instance.
    :param role: ``entry``, ``endpoint`` or ``worker``.
    :param address: ``IP:PORT`` for callers or attempts.
    :param zone: availability zone.
    :param state: ``live`` or ``leaving``.
    :param incarnation: number that grows with each start.
    :param peer_address: ``IP:PORT`` for other entry instances.
    :param rack: failure domain in the zone.
    :param service: ``WORKSPACE/SERVICE`` that an endpoint runs.
    :param slots: requests that an endpoint runs at once.
    :param cores: processors of a worker.
    :param memory_gb: memory of a worker.
    :param accelerators: accelerators of a worker.
    """

    id: str
    role: str
    address: str
    zone: str
    state: str = "live"
    incarnation: int = 0
    peer_address: str = ""
    rack: str = ""
    service: str = ""
    slots: int = 1
    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0


class InstancesListed(NamedTuple):
    """
    The platform's list of instances was read.

    :param instances: all entries.
    """

    instances: tuple[ListedInstance, ...]


class RunningAttempt(NamedTuple):
    """
    An attempt that an endpoint says is running there.

    :param attempt: id of the attempt.
    :param holder: instance and incarnation that sent it, ``INSTANCE:INCARNATION``.
    :param team: its team.
    """

    attempt: str
    holder: str
    team: str


class EndpointProbed(NamedTuple):
    """
    A probe of an endpoint ended.

    :param endpoint: id of the endpoint.
    :param healthy: whether it answered in time.
    :param leaving: whether it said that it is leaving.
    :param incarnation: the endpoint's incarnation.
    :param running: what runs there, or ``None`` when it did not say.
    """

    endpoint: str
    healthy: bool
    leaving: bool = False
    incarnation: int = 0
    running: tuple[RunningAttempt, ...] | None = None


class PeerReceived(NamedTuple):
    """
    A message came from another entry instance.

    :param sender: who sent it.
    :param message: the decoded message, one of the types in the wire registry.
    """

    sender: Sender
    message: Any


class RecordProposed(NamedTuple):
    """
    A domain of this instance wants a record in the log.

    :param kind: kind of the record.
    :param subject: what it changes.
    :param base: revision it builds on.
    :param body: its fields.
    """

    kind: str
    subject: str
    base: int | None
    body: dict[str, Any]


class RecordResolved(NamedTuple):
    """
    One of this instance's own records was decided.

    :param id: the record's id.
    :param offset: its place in the log.
    :param accepted: whether it took effect.
    :param reason: why not, or empty.
    """

    id: RecordId
    offset: int
    accepted: bool
    reason: str


class CapacityChanged(NamedTuple):
    """
    Something that queued requests wait for may be free now.

    :param service: the service to look at, or ``None`` for all.
    """

    service: str | None = None
