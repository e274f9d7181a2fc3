"""
Requests whose bytes are held up on their way while the pool or its process gives them up.

The peer doesn't read and has a small receive buffer, so the kernel of the sender still holds most
of the request. Afterwards the peer reads whatever still arrives.
"""

import contextlib
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from functools import partial

import msgspec
from circuits import Component
from circuits.core.pollers import EPoll

from eelgrassdrum_daemon._http_messages import ClientRequest, HttpFailure, HttpOutcome
from eelgrassdrum_daemon._http_pool import HttpPool
from eelgrassdrum_daemon._http_state import ClientConn
from eelgrassdrum_daemon._timers import Scheduler

BODY = bytes(range(256)) * 1_200
PEER_BUFFER_BYTES = 4_096
TIMEOUT_S = 0.3
LONG_S = 30.0
READ_TIMEOUT_S = 1.0
POLL_S = 0.01
ANSWER = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY


class Loop(msgspec.Struct):
    """
    An event loop and its connection pool.
    """

    root: Component
    scheduler: Scheduler
    pool: HttpPool


def make_loop(**options: float) -> Loop:
    root = Component()
    poller = EPoll().register(root)
    scheduler = Scheduler().register(root)
    return Loop(root, scheduler, HttpPool(poller, scheduler, 2, **options).register(root))


def make_peer() -> Iterator[socket.socket]:
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PEER_BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        yield listener


def address_of(peer: socket.socket) -> str:
    host, port = peer.getsockname()
    return f"{host}:{port}"


def send_whole(
    loop: Loop, address: str, timeout_s: float, on_sent: Callable[[ClientConn], None]
) -> list[HttpOutcome]:
    """
    Submit a request, and run the loop until its outcome.

    :param on_sent: called once the kernel has taken all bytes of the request.
    """
    outcomes: list[HttpOutcome] = []

    def on_done(outcome: HttpOutcome) -> None:
        outcomes.append(outcome)
        loop.root.stop()

    def submit() -> None:
        req = ClientRequest(address, "POST", "/run", timeout_s, on_done, body=BODY)
        wait_until_sent(loop.pool.submit(req))

    def wait_until_sent(conn: ClientConn) -> None:
        if conn.out:
            loop.scheduler.call_later(POLL_S, partial(wait_until_sent, conn))
        else:
            on_sent(conn)

    loop.scheduler.call_later(0, submit)
    loop.scheduler.call_later(LONG_S, loop.root.stop)
    loop.root.run()
    return outcomes


def wait_for_outcome(_conn: ClientConn) -> None:
    """
    Do nothing, so that the loop goes on.
    """


def received_bytes(peer: socket.socket, answer: bytes = b"") -> int:
    """
    Accept the connection, and count the bytes of the body that arrive on it.

    :param answer: sent once the whole body has arrived.
    """
    peer.settimeout(READ_TIMEOUT_S)
    data = b""
    conn, _ = peer.accept()
    with conn, contextlib.suppress(ConnectionError, TimeoutError):
        conn.settimeout(READ_TIMEOUT_S)
        while not data.endswith(BODY) and (part := conn.recv(65_536)):
            data += part
        if data.endswith(BODY):
            conn.sendall(answer)
    return len(data.partition(b"\r\n\r\n")[2])


FIXTURES = {"loop": make_loop, "peer": make_peer}


# Guards against an order of a former owner that arrived after a cut, seconds after its timeout.
def test_request_that_timed_out_does_not_arrive_later(loop: Loop, peer: socket.socket) -> None:
    """
    Bytes of a request that the kernel still holds at the timeout never reach the peer.
    """
    outcomes = send_whole(loop, address_of(peer), TIMEOUT_S, wait_for_outcome)
    assert outcomes == [HttpFailure("timeout", sent=True)]
    assert received_bytes(peer) < len(BODY)


# Guards against an aborted request that is carried out all the same.
def test_request_that_was_aborted_does_not_arrive_later(loop: Loop, peer: socket.socket) -> None:
    """
    Bytes of a request that the kernel still holds when it is aborted never reach the peer.
    """
    outcomes = send_whole(loop, address_of(peer), LONG_S, loop.pool.abort)
    assert outcomes == [HttpFailure("aborted", sent=True)]
    assert received_bytes(peer) < len(BODY)


# Guards against an order of a killed process that its kernel goes on sending.
def test_request_of_a_killed_process_does_not_arrive_later(peer: socket.socket) -> None:
    """
    Bytes of a request that the kernel still holds when the process is killed never reach the peer.
    """
    args = [sys.executable, __file__, address_of(peer)]
    with subprocess.Popen(args, stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None
        assert process.stdout.readline() == "sent\n"
        process.kill()
    assert received_bytes(peer) < len(BODY)


# Guards against an order of a paused process, whose timers don't run, that arrives after its time.
def test_request_of_a_paused_process_does_not_arrive_later(peer: socket.socket) -> None:
    """
    Bytes that the peer doesn't acknowledge in time never reach it, though no timer runs meanwhile.
    """
    received: list[int] = []

    def pause(_conn: ClientConn) -> None:
        time.sleep(4 * TIMEOUT_S)
        received.append(received_bytes(peer))

    outcomes = send_whole(make_loop(ack_timeout_s=TIMEOUT_S), address_of(peer), LONG_S, pause)
    assert received[0] < len(BODY)
    assert outcomes == [HttpFailure("closed", sent=True)]


def test_request_that_is_read_in_time_arrives_whole(loop: Loop, peer: socket.socket) -> None:
    """
    A peer that reads in time receives the whole request, and its answer is received whole.
    """
    received: list[int] = []

    def answer(_conn: ClientConn) -> None:
        threading.Thread(target=lambda: received.append(received_bytes(peer, ANSWER))).start()

    outcomes = send_whole(loop, address_of(peer), LONG_S, answer)
    assert [len(outcome.body) for outcome in outcomes] == [len(BODY)]


def send_and_wait(address: str) -> None:
    """
    Send a request and wait, as a process that is then killed.
    """

    def wait(_conn: ClientConn) -> None:
        print("sent", flush=True)
        time.sleep(LONG_S)

    send_whole(make_loop(), address, LONG_S, wait)


if __name__ == "__main__":
    send_and_wait(sys.argv[1])
