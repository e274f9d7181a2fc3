"""
Answers to callers that read slowly, beside the end of the server's process.
"""

import os
import socket
import subprocess
import sys
from collections.abc import Iterator

from circuits import Component
from circuits.core.pollers import EPoll

from eelgrassdrum_daemon._http_server import HttpServer
from eelgrassdrum_daemon._server_state import Exchange, ServerLimits
from eelgrassdrum_daemon._timers import Scheduler

BODY = bytes(range(256)) * 1_200
CALLER_BUFFER_BYTES = 4_096
READ_TIMEOUT_S = 10.0
POLL_S = 0.01
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


def serve_one_and_exit() -> None:
    """
    Answer one request, and end the process once the kernel has taken the answer.
    """
    root = Component()
    EPoll().register(root)
    scheduler = Scheduler().register(root)
    limits = ServerLimits(1_024, 1_024 * 1_024, READ_TIMEOUT_S, 4)

    def on_request(exchange: Exchange) -> None:
        server.answer(exchange.token, 200, {}, BODY)
        exit_when_written(exchange.req.sock)

    def exit_when_written(sock: socket.socket) -> None:
        if server._tcp._buffers.get(sock):
            scheduler.call_later(POLL_S, lambda: exit_when_written(sock))
        else:
            os._exit(0)

    server = HttpServer(
        ("127.0.0.1", 0), scheduler, limits, on_request, lambda _token: None, channel="callers"
    ).register(root)
    print(server.address, flush=True)
    root.run()


def make_process() -> Iterator[subprocess.Popen]:
    args = [sys.executable, __file__]
    with subprocess.Popen(args, stdout=subprocess.PIPE, text=True) as process:
        yield process
        process.kill()


FIXTURES = {"process": make_process}


# Guards against a reset of callers' connections, which would discard answers that were written.
def test_answer_arrives_whole_after_the_process_has_ended(process: subprocess.Popen) -> None:
    """
    A caller that reads after the process has ended receives the whole answer.
    """
    assert process.stdout is not None
    host, _, port = process.stdout.readline().strip().rpartition(":")
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_BUFFER_BYTES)
        caller.settimeout(READ_TIMEOUT_S)
        caller.connect((host, int(port)))
        caller.sendall(REQUEST)
        assert process.wait(READ_TIMEOUT_S) == 0
        received = b""
        while part := caller.recv(65_536):
            received += part
    assert received.endswith(b"\r\n\r\n" + BODY)


if __name__ == "__main__":
    serve_one_and_exit()
