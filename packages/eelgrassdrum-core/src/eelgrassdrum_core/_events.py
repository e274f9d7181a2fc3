"""
Events: the inputs of the reducer.
"""

from math import inf
from typing import Any, NamedTuple

from ._ids import Credential, RecordId, Sender
from ._records import Record, StoredRecord


class Started(NamedTuple):
    """
    The process has started and its adapters are ready.

    :param seed: seed of the reducer's random number generator.
    """

    seed: int


class Ticked(NamedTuple):
    """
    Time has passed; sent about ten times a second.
    """


class StopRequested(NamedTuple):
    """
    The process was asked to stop gracefully.
    """


class RequestReceived(NamedTuple):
    """
    A complete request was received from a caller.

    :param token: token by which the daemon identifies the open HTTP exchange with the caller.
    :param request_id: request id chosen by the caller.
    :param queue: ``WORKSPACE/QUEUE``.
    :param credential: the key presented, or ``None``.
    :param idempotent: whether the request may safely run more than once.
    :param urgent: whether it is served before the other requests of its team.
    :param timeout_s: seconds that the caller will wait, or ``None`` for the default.
    :param size_bytes: length of the body.
    :param body_hash: hash of the body, to tell a retry from another request with the same id.
    :param repeat: whether the caller marked the request as a retry.
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
    The caller of an open exchange has disconnected.

    :param token: token of the exchange.
    """

    token: int


class AttemptAnswered(NamedTuple):
    """
    A complete response was received from an endpoint.

    :param attempt: id of the attempt, as echoed by the endpoint.
    :param status: HTTP status of the response.
    :param size_bytes: length of the response body.
    """

    attempt: str
    status: int
    size_bytes: int


class AttemptRefused(NamedTuple):
    """
    An endpoint refused an attempt before running it.

    :param attempt: id of the attempt.
    :param leaving: whether the endpoint reported that it is shutting down.
    """

    attempt: str
    leaving: bool


class AttemptFailed(NamedTuple):
    """
    An attempt ended without a response.

    :param attempt: id of the attempt.
    :param sent: ``False`` only if certainly no byte of the request was sent.
    :param reason: such as ``connect``, ``timeout``, ``closed`` or ``malformed``.
    """

    attempt: str
    sent: bool
    reason: str


class LogRead(NamedTuple):
    """
    A read of the control stream succeeded.

    :param records: the records read, in offset order.
    :param head: offset of the newest record in the stream.
    :param first: offset of the oldest record that the log retains.
    """

    records: tuple[StoredRecord, ...]
    head: int
    first: int = 1


class LogTruncated(NamedTuple):
    """
    The log no longer retains the requested offset.

    :param first: oldest offset retained.
    :param head: newest offset.
    """

    first: int
    head: int


class LogUnavailable(NamedTuple):
    """
    A read of the log failed.

    :param reason: the error reported by the adapter.
    """

    reason: str


class AppendDone(NamedTuple):
    """
    The log has stored a batch of records.

    :param offsets: offset of each record of the batch.
    """

    offsets: tuple[int, ...]


class AppendFailed(NamedTuple):
    """
    An append was refused, or its response was lost.

    :param reason: the error reported by the adapter.
    :param may_have_effect: ``False`` only if the log certainly did not store the batch.
    """

    reason: str
    may_have_effect: bool


class RecordFolded(NamedTuple):
    """
    A record was accepted or rejected by the fold.

    :param offset: its offset in the log.
    :param record: the record.
    :param accepted: whether it took effect.
    :param reason: the reason for its rejection, or an empty string.
    """

    offset: int
    record: Record
    accepted: bool
    reason: str


class ListedInstance(NamedTuple):
    """
    An entry of the platform's instance list.

    :param id: id of the instance.
    :param role: ``entry``, ``endpoint`` or ``worker``.
    :param address: ``IP:PORT`` for callers or attempts.
    :param zone: availability zone.
    :param state: ``live`` or ``leaving``.
    :param incarnation: number that increases with each start.
    :param peer_address: ``IP:PORT`` for other entry instances.
    :param rack: failure domain within the zone.
    :param service: ``WORKSPACE/SERVICE`` that an endpoint runs.
    :param slots: requests that an endpoint runs concurrently.
    :param cores: processor cores of a worker.
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
    An attempt that an endpoint reports as running.

    :param attempt: id of the attempt.
    :param holder: instance and incarnation that sent it, ``INSTANCE:INCARNATION``.
    :param team: its team.
    """

    attempt: str
    holder: str
    team: str


class EndpointProbed(NamedTuple):
    """
    A probe of an endpoint completed or failed.

    :param endpoint: id of the endpoint.
    :param healthy: whether it responded in time.
    :param leaving: whether it reported that it is shutting down.
    :param incarnation: the endpoint's incarnation.
    :param running: the attempts running there, or ``None`` if it did not report them.
    """

    endpoint: str
    healthy: bool
    leaving: bool = False
    incarnation: int = 0
    running: tuple[RunningAttempt, ...] | None = None


class PeerReceived(NamedTuple):
    """
    A message was received from another entry instance.

    :param sender: the sending instance.
    :param message: the decoded message, an instance of a type in the wire registry.
    """

    sender: Sender
    message: Any


class RecordProposed(NamedTuple):
    """
    A domain of this instance proposes a record for the log.

    :param kind: kind of the record.
    :param subject: the subject that it changes.
    :param base: revision of the subject that it builds on, or ``None`` for any.
    :param body: its fields.
    :param valid_s: seconds from now in which its append may begin or be repeated.
    """

    kind: str
    subject: str
    base: int | None
    body: dict[str, Any]
    valid_s: float = inf


class RecordResolved(NamedTuple):
    """
    A record written by this instance was accepted or rejected, or is not appended any more.

    :param id: the record's id.
    :param offset: its offset in the log.
    :param accepted: whether it took effect.
    :param reason: the reason for its rejection, or an empty string.
    """

    id: RecordId
    offset: int
    accepted: bool
    reason: str


class CapacityChanged(NamedTuple):
    """
    A resource that queued requests wait for may have become available.

    :param service: the service to check, or ``None`` for all.
    """

    service: str | None = None
