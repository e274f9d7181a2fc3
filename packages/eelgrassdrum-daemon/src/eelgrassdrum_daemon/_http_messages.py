"""
Requests and responses of the HTTP client.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple


class HttpAnswer(NamedTuple):
    """
    A complete response.

    :param status: HTTP status.
    :param headers: the headers, with names in title case.
    :param body: the complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class HttpFailure(NamedTuple):
    """
    The failure of a request that received no valid response.

    :param reason: such as ``connect``, ``timeout``, ``closed`` or ``malformed``.
    :param sent: ``False`` only if it is certain that no byte of the request was sent.
    """

    reason: str
    sent: bool


HttpOutcome = HttpAnswer | HttpFailure


class Transfer(NamedTuple):
    """
    How a response may go on arriving after the timeout of its request.

    :param idle_timeout_s: longest pause between two parts of the response, in seconds.
    :param max_s: time from the submission of the request after which it fails in any case.
    :param on_begin: called when the first part arrives.
    """

    idle_timeout_s: float
    max_s: float
    on_begin: Callable[[], None] | None = None


class ClientRequest(NamedTuple):
    """
    A request to be sent.

    :param address: ``IP:PORT``.
    :param method: HTTP method.
    :param path: path and query.
    :param timeout_s: timeout in seconds, after which the request fails.
    :param on_done: called once with the outcome.
    :param headers: headers besides ``Host`` and ``Content-Length``.
    :param body: the body.
    :param is_expected: returns whether a response belongs to this request; if not, the request
        fails and its connection is closed.
    :param send_within_s: time after which the request fails if nothing of it was sent yet, or
        ``None`` for its timeout.
    :param transfer: how the response may go on arriving after the timeout, or ``None`` if it has to
        be complete by then.
    """

    address: str
    method: str
    path: str
    timeout_s: float
    on_done: Callable[[HttpOutcome], None]
    headers: Mapping[str, str] = {}
    body: bytes = b""
    is_expected: Callable[[HttpAnswer], bool] | None = None
    send_within_s: float | None = None
    transfer: Transfer | None = None


def encode_head(req: ClientRequest) -> bytes:
    """
    Encode the request line and the headers of a request.

    :param req: the request.
    :returns: the bytes, including the empty line.
    """
    lines = [f"{req.method} {req.path} HTTP/1.1", f"Host: {req.address}"]
    lines += [f"{name}: {value}" for name, value in req.headers.items()]
    lines += [f"Content-Length: {len(req.body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1")
