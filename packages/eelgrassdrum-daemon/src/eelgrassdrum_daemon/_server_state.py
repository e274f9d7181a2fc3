"""
State of the HTTP server's connections.
"""

import socket

import msgspec
from circuits.web.parsers import HttpParser
from circuits.web.wrappers import Response

from ._request_head import RequestHead
from ._timers import Timer


class Exchange(msgspec.Struct, eq=False):
    """
    A complete request of a client, and its pending response.

    :param token: identifier of the exchange, unique in this process.
    :param req: the request line and headers.
    :param res: the pending response.
    :param body: the request's body.
    """

    token: int
    req: RequestHead
    res: Response
    body: bytes


class ServerConn(msgspec.Struct, eq=False):
    """
    A client connection.
    """

    sock: socket.socket
    parser: HttpParser | None = None
    received_bytes: int = 0
    length_bytes: int | None = None
    deadline: Timer | None = None
    token: int | None = None
    held_bytes: int = 0
    close_after: bool = False
    closing: bool = False


class ServerLimits(msgspec.Struct, frozen=True):
    """
    Resource limits of the server.

    :param max_body_bytes: maximum size of a request body.
    :param read_timeout_s: timeout in seconds for receiving a complete request.
    :param max_conns: maximum number of open connections.
    :param max_buffered_bytes: maximum total size of buffered requests, complete or partial.
    """

    max_body_bytes: int = 16 * 1024 * 1024
    max_buffered_bytes: int = 96 * 1024 * 1024
    read_timeout_s: float = 10.0
    max_conns: int = 2048


class ServerCounters(msgspec.Struct):
    """
    Counters of the server since process start.
    """

    accepted: int = 0
    received: int = 0
    malformed: int = 0
    timed_out: int = 0
    abandoned: int = 0
