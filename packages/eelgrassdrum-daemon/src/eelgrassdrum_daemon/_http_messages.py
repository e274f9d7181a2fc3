"""
Requests and answers of the client side of HTTP.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple


class HttpAnswer(NamedTuple):
    """
    A whole answer.

    :param status: HTTP status.
    :param headers: its headers, names in title case.
    :param body: its whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class HttpFailure(NamedTuple):
    """
    A request that ended without an answer.

    :param reason: such as ``connect``, ``timeout``, ``closed`` or ``malformed``.
    :param sent: ``False`` only when certainly no byte of the request was sent.
    """

    reason: str
    sent: bool


HttpOutcome = HttpAnswer | HttpFailure


class ClientRequest(NamedTuple):
    """
    A request to be sent.

    :param address: ``IP:PORT``.
    :param method: HTTP method.
    :param path: path and query.
    :param timeout_s: seconds until it has failed.
    :param on_done: called once with the outcome.
    :param headers: headers besides ``Host`` and ``Content-Length``.
    :param body: the body.
    :param is_expected: tells whether an answer belongs to this request; one that does not is
        dropped together with its connection.
    """

    address: str
    method: str
    path: str
    timeout_s: float
    on_done: Callable[[HttpOutcome], None]
    headers: Mapping[str, str] = {}
    body: bytes = b""
    is_expected: Callable[[HttpAnswer], bool] | None = None


def encode_head(req: ClientRequest) -> bytes:
    """
    Give the first line and the headers of a request as sent.

    :param req: the request.
    :returns: the bytes, up to the empty line.
    """
    lines = [f"{req.method} {req.path} HTTP/1.1", f"Host: {req.address}"]
    lines += [f"{name}: {value}" for name, value in req.headers.items()]
    lines += [f"Content-Length: {len(req.body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1")
