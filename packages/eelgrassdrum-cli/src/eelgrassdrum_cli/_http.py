"""
A minimal blocking HTTP client on top of `http.client`.

The client of `circuits.web` requires that library's event loop, uses a single connection
sequentially and has no deadline. A command makes a few sequential calls, each with its own timeout,
and must know whether a failed call may have taken effect; the standard library covers that in a few
lines.
"""

import http.client
from collections.abc import Mapping
from typing import Any, NamedTuple
from urllib.parse import urlsplit

import msgspec

MAX_ANSWER_BYTES = 64 * 1024 * 1024
RETRY_AFTER = "retry-after"


class HttpAnswer(NamedTuple):
    """
    A complete response; ``content`` is ``None`` when the body is not JSON.
    """

    status: int
    content: Any
    retry_after_s: float | None


class NoAnswerError(Exception):
    """
    Raised when a call returned no complete response.

    :param message: what went wrong.
    :param may_have_taken_effect: false when the request cannot have reached the server.
    """

    def __init__(self, message: str, *, may_have_taken_effect: bool) -> None:
        super().__init__(message)
        self.may_have_taken_effect = may_have_taken_effect


def call(
    method: str,
    url: str,
    *,
    timeout_s: float,
    content: Any = None,
    headers: Mapping[str, str] | None = None,
) -> HttpAnswer:
    """
    Make one HTTP call on a new connection.

    :param method: the HTTP method.
    :param url: an ``http`` URL.
    :param timeout_s: timeout of each socket operation, in seconds.
    :param content: value to send as JSON, if any.
    :param headers: additional headers.
    :returns: the response.
    :raises NoAnswerError: when there was no complete response.
    """
    parts = urlsplit(url)
    if parts.scheme != "http" or not parts.hostname:
        raise NoAnswerError(f"{url!r} is not an http URL", may_have_taken_effect=False)
    conn = http.client.HTTPConnection(parts.hostname, parts.port, timeout=timeout_s)
    try:
        _connect(conn, url)
        return _exchange(conn, method, url, content, dict(headers or {}))
    finally:
        conn.close()


def _connect(conn: http.client.HTTPConnection, url: str) -> None:
    try:
        conn.connect()
    except OSError as exc:
        raise NoAnswerError(f"{url}: {exc}", may_have_taken_effect=False) from exc


def _exchange(
    conn: http.client.HTTPConnection, method: str, url: str, content: Any, headers: dict[str, str]
) -> HttpAnswer:
    parts = urlsplit(url)
    target = f"{parts.path or '/'}?{parts.query}" if parts.query else parts.path or "/"
    body = None
    if content is not None:
        body = msgspec.json.encode(content)
        headers["Content-Type"] = "application/json"
    try:
        conn.request(method, target, body, headers)
        res = conn.getresponse()
        received = res.read(MAX_ANSWER_BYTES)
    except (OSError, http.client.HTTPException) as exc:
        message = f"{url}: {exc or type(exc).__name__}"
        raise NoAnswerError(message, may_have_taken_effect=True) from exc
    return HttpAnswer(
        res.status, _decode_json(received), _parse_seconds(res.getheader(RETRY_AFTER))
    )


def _decode_json(body: bytes) -> Any:
    try:
        return msgspec.json.decode(body)
    except msgspec.DecodeError:
        return None


def _parse_seconds(header: str | None) -> float | None:
    try:
        return float(header) if header else None
    except ValueError:
        return None
