"""
Effects: everything that the reducer can ask the daemon to do.
"""

from typing import Any, NamedTuple

from ._ids import Sender
from ._records import Record
from ._refusals import Refusal


class Emit(NamedTuple):
    """
    Reduce another event before this reduction ends.

    :param event: the event.
    """

    event: Any


class Dispatch(NamedTuple):
    """
    Send a request's body to an endpoint.

    :param attempt: id of the attempt.
    :param token: the exchange whose body is sent.
    :param endpoint: id of the endpoint.
    :param address: ``IP:PORT`` of the endpoint.
    :param timeout_s: seconds after which the attempt has failed.
    :param request_id: the caller's id.
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
    Give an attempt's answer to a caller.

    :param token: the exchange.
    :param attempt: the attempt whose answer is given.
    """

    token: int
    attempt: str


class Refuse(NamedTuple):
    """
    Refuse an exchange, at once.

    :param token: the exchange.
    :param refusal: why, and when to come back.
    """

    token: int
    refusal: Refusal


class DropAnswer(NamedTuple):
    """
    Forget the answer of an attempt that nobody waits for.

    :param attempt: the attempt.
    """

    attempt: str


class ReadLog(NamedTuple):
    """
    Read the control stream.

    :param from_offset: first offset wanted.
    :param wait_s: seconds that the log may hold the read until a record comes.
    :param delay_s: seconds to wait before reading.
    """

    from_offset: int
    wait_s: float
    delay_s: float = 0.0


class AppendRecords(NamedTuple):
    """
    Append a batch to the control stream.

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
    Ask an endpoint for its health on a connection of its own.

    :param endpoint: id of the endpoint.
    :param address: ``IP:PORT``.
    :param timeout_s: seconds to wait for the answer.
    """

    endpoint: str
    address: str
    timeout_s: float


class SendPeer(NamedTuple):
    """
    Send a message to another entry instance, without any promise that it arrives.

    :param address: ``IP:PORT`` of the peer.
    :param message: one of the types in the wire registry.
    """

    address: str
    message: Any


class WriteLog(NamedTuple):
    """
    Write one line of the structured log.

    :param action: what happened, such as ``log.unavailable``.
    :param fields: more fields; never a secret.
    """

    action: str
    fields: dict[str, Any]


class ObserveLatency(NamedTuple):
    """
    Count one finished request in the histograms.

    :param queue: ``WORKSPACE/QUEUE``.
    :param team: ``WORKSPACE/TEAM``.
    :param wait_s: seconds from arrival to dispatch.
    :param run_s: seconds from dispatch to answer.
    """

    queue: str
    team: str
    wait_s: float
    run_s: float


class Exit(NamedTuple):
    """
    Everything is handed back: end the process.
    """


class Identity(NamedTuple):
    """
    Who this instance is.

    :param sender: id, incarnation and zone.
    :param address: ``IP:PORT`` for callers.
    :param peer_address: ``IP:PORT`` for peers.
    """

    sender: Sender
    address: str
    peer_address: str
