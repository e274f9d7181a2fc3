"""
State of the HTTP client connections.
"""

import socket
from collections import deque

import msgspec
from circuits.web.parsers import HttpParser

from ._http_messages import ClientRequest
from ._timers import Timer


class ClientConn(msgspec.Struct, eq=False):
    """
    A connection to a server, and its request in flight, if any.

    :param send_until_s: time after which no first byte of the request is sent.
    :param submitted_s: when its request was submitted.
    :param received_s: when a part of the response last arrived.
    """

    sock: socket.socket
    address: str
    connecting: bool = True
    writing: bool = False
    req: ClientRequest | None = None
    parser: HttpParser | None = None
    out: deque[memoryview] = msgspec.field(default_factory=deque)
    sent_bytes: int = 0
    received_bytes: int = 0
    idle_since_s: float = 0.0
    deadline: Timer | None = None
    send_until_s: float = 0.0
    submitted_s: float = 0.0
    received_s: float = 0.0


class PoolCounters(msgspec.Struct):
    """
    Counters of a connection pool since process start.

    :param discarded_bytes: size of the incomplete responses of failed requests.
    """

    opened: int = 0
    reused: int = 0
    answered: int = 0
    failed: int = 0
    full: int = 0
    mismatched: int = 0
    discarded_bytes: int = 0
