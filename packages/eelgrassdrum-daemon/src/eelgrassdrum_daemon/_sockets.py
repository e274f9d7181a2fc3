"""
Non-blocking TCP client sockets.
"""

import errno
import socket
import struct

CONNECT_PENDING = frozenset({0, errno.EINPROGRESS})
# Makes a close reset the connection: `l_onoff` and `l_linger` of `struct linger`.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def begin_connect(address: str, ack_timeout_s: float | None = None) -> socket.socket | None:
    """
    Start a non-blocking connect.

    When the socket is closed, or its process ends in any way, the kernel resets the connection and
    discards what the peer has not acknowledged. It would otherwise go on sending these bytes, and a
    request could arrive long after its sender has given it up.

    :param address: ``IP:PORT``.
    :param ack_timeout_s: time after which the kernel resets the connection if the peer has not
        acknowledged what was sent, also while the process is paused; ``None`` for the default of
        the kernel.
    :returns: the socket, which becomes writable when the connect succeeds or fails, or ``None``
        if the address is invalid or the connect fails immediately.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    if ack_timeout_s is not None:
        ack_timeout_ms = round(ack_timeout_s * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ack_timeout_ms)
    try:
        code = sock.connect_ex((host, int(port)))
    except (OSError, ValueError, OverflowError):
        code = errno.EADDRNOTAVAIL
    if code in CONNECT_PENDING:
        return sock
    sock.close()
    return None


def is_open(sock: socket.socket) -> bool:
    """
    Return whether an idle connection is open and has no unread data.

    :param sock: the socket.
    :returns: ``False`` if the peer closed it, or sent bytes that belong to no request.
    """
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
