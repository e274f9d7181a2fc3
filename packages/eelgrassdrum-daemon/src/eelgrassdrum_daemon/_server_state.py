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
    A whole request of a client, and the answer that it waits for.

    :param token: its number, unique in this process.
    :param req: the request's first line and headers.
    :param res: the answer to be.
    :param body: the request's body.
    """

    token: int
    req: RequestHead
    res: Response
    body: bytes


class ServerConn(msgspec.Struct, eq=False):
    """
    One connection of a client.
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
    What a client may take up.

    :param max_body_bytes: largest body.
    :param read_timeout_s: seconds for a whole request to arrive.
    :param max_conns: most open connections.
    :param max_buffered_bytes: requests held in all, whole or in part.
    """

    max_body_bytes: int = 16 * 1024 * 1024
    max_buffered_bytes: int = 96 * 1024 * 1024
    read_timeout_s: float = 10.0
    max_conns: int = 2048


class ServerCounters(msgspec.Struct):
    """
    What the server has done since the start.
    """

    accepted: int = 0
    received: int = 0
    malformed: int = 0
    timed_out: int = 0
    abandoned: int = 0
