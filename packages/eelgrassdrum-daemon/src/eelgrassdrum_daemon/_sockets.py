"""
Non-blocking TCP sockets of the client side.
"""

import errno
import socket

CONNECT_PENDING = frozenset({0, errno.EINPROGRESS})


def begin_connect(address: str) -> socket.socket | None:
    """
    Begin to connect without waiting.

    :param address: ``IP:PORT``.
    :returns: the socket, which becomes writable when it is connected or has failed, or ``None``
        when the address cannot be connected to.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
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
    Tell whether a connection that should be quiet still is.

    :param sock: the socket.
    :returns: ``False`` when the other end closed it, or sent bytes that belong to no request.
    """
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
