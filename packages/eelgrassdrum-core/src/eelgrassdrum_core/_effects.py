"""
Effects: the actions that the reducer can request from the daemon.
"""

from typing import Any, NamedTuple

from ._ids import Sender
from ._records import Record
from ._refusals import Refusal


class Emit(NamedTuple):
    """
    Reduce another event before the current reduction ends.

    :param event: the event.
    """

    event: Any


class Dispatch(NamedTuple):
    """
    Send a request's body to an endpoint.

    :param attempt: id of the attempt.
    :param token: token of the HTTP exchange with the caller whose body is sent.
    :param endpoint: id of the endpoint.
    :param address: ``IP:PORT`` of the endpoint.
    :param timeout_s: seconds after which the attempt fails.
    :param request_id: request id chosen by the caller.
    :param team: ``WORKSPACE/TEAM``.
    :param queue: ``WORKSPACE/QUEUE``.
    :param holder: ``INSTANCE:INCARNATION`` of this instance.
    """

    attempt: str
    token: int
    endpoint: str
    address: str
    timeout_s: float
    request_id: str
    team: str
    queue: str
    holder: str


class Reply(NamedTuple):
    """
    Send the response of an attempt to a caller.

    :param token: token of the exchange.
    :param attempt: id of the attempt.
    """

    token: int
    attempt: str


class Refuse(NamedTuple):
    """
    Refuse the request of an exchange immediately.

    :param token: token of the exchange.
    :param refusal: the reason, and when to retry.
    """

    token: int
    refusal: Refusal


class DropAnswer(NamedTuple):
    """
    Discard the response of an attempt that no caller waits for.

    :param attempt: id of the attempt.
    """

    attempt: str


class ReadLog(NamedTuple):
    """
    Read the control stream.

    :param from_offset: first offset to read.
    :param wait_s: seconds that the log may delay its response until a record is appended.
    :param delay_s: seconds to wait before reading.
    """

    from_offset: int
    wait_s: float
    delay_s: float = 0.0


class AppendRecords(NamedTuple):
    """
    Append a batch of records to the control stream.

    :param records: the records, in order.
    :param delay_s: seconds to wait before appending.
    """

    records: tuple[Record, ...]
    delay_s: float = 0.0


class ReadInstances(NamedTuple):
    """
    Read the platform's list of instances.
    """


class ProbeEndpoint(NamedTuple):
    """
    Request the health of an endpoint on a separate connection.

    :param endpoint: id of the endpoint.
    :param address: ``IP:PORT``.
    :param timeout_s: seconds to wait for the response.
    """

    endpoint: str
    address: str
    timeout_s: float


class SendPeer(NamedTuple):
    """
    Send a message to another entry instance, without a guarantee of delivery.

    :param address: ``IP:PORT`` of the peer.
    :param message: an instance of a type in the wire registry.
    """

    address: str
    message: Any


class WriteLog(NamedTuple):
    """
    Write a line of the structured log.

    :param action: name of the event, such as ``log.unavailable``.
    :param fields: further fields; must not contain secrets.
    """

    action: str
    fields: dict[str, Any]


class ObserveLatency(NamedTuple):
    """
    Record the latency of a finished request in the histograms.

    :param queue: ``WORKSPACE/QUEUE``.
    :param team: ``WORKSPACE/TEAM``.
    :param wait_s: seconds from arrival to dispatch.
    :param run_s: seconds from dispatch to response.
    """

    queue: str
    team: str
    wait_s: float
    run_s: float


class Exit(NamedTuple):
    """
    Exit the process; its allowances are released, or the wait for their release has timed out.
    """


class Identity(NamedTuple):
    """
    Identity and addresses of this instance.

    :param sender: id, incarnation and zone.
    :param address: ``IP:PORT`` for callers.
    :param peer_address: ``IP:PORT`` for peers.
    """

    sender: Sender
    address: str
    peer_address: str
