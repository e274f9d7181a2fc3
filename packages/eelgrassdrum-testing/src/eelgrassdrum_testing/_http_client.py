"""
A small blocking HTTP client for benches and tests.
"""

import http.client
from typing import NamedTuple

import msgspec

DEADLINE_S = 20.0


class Answer(NamedTuple):
    """
    Status, headers with lower-case names, and body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> object:
        """
        Decode the body.

        :returns: the value.
        """
        return msgspec.json.decode(self.body)


def connect(address: str, timeout_s: float = DEADLINE_S) -> http.client.HTTPConnection:
    """
    Make a connection that `send` can use more than once.

    :param address: host and port.
    :param timeout_s: seconds that each step may take.
    :returns: the connection.
    """
    return http.client.HTTPConnection(address, timeout=timeout_s)


def send(
    conn: http.client.HTTPConnection,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
) -> Answer:
    """
    Send a request on an open connection and wait for its answer.

    :param conn: the connection.
    :param method: HTTP method.
    :param path: path and query.
    :param body: bytes, or anything that msgspec encodes as JSON.
    :param headers: headers.
    :returns: the answer.
    """
    data = body if body is None or isinstance(body, bytes) else msgspec.json.encode(body)
    conn.request(method, path, body=data, headers=headers or {})
    res = conn.getresponse()
    named = {name.lower(): value for name, value in res.getheaders()}
    return Answer(res.status, named, res.read())


def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = DEADLINE_S,
) -> Answer:
    """
    Send one request on a connection of its own.

    :param address: host and port.
    :param method: HTTP method.
    :param path: path and query.
    :param body: bytes, or anything that msgspec encodes as JSON.
    :param headers: headers.
    :param timeout_s: seconds that each step may take.
    :returns: the answer.
    """
    conn = connect(address, timeout_s)
    try:
        return send(conn, method, path, body, headers)
    finally:
        conn.close()
