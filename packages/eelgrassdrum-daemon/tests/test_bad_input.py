"""
Invalid input is rejected with a specific error, and the daemon keeps serving.
"""

import contextlib
import itertools
import socket
from collections.abc import Iterator
from typing import NamedTuple

import psutil

from eelgrassdrum_testing import _daemon as fleet
from eelgrassdrum_testing._http_client import call
from eelgrassdrum_testing._process import Process, processes, standin_command
from eelgrassdrum_testing._wait import wait_until

PATH = "/v1/queues/show/scores/requests"
READ_TIMEOUT_S = 0.5
MAX_BODY_BYTES = 100_000
MAX_BUFFERED_BYTES = 400_000
SOCKET_TIMEOUT_S = 20.0
MEMORY_SLACK_BYTES = 60_000_000
FAULTS_PATH = "/faults"
REQUEST_NUMBERS = itertools.count(1)

DOCUMENT = {
    "services": [{"name": "judging", "executors": 1, "max_unavailable": 0}],
    "queues": [
        {
            "name": "scores",
            "service": "judging",
            "access": "keyed",
            "max_queued": 50,
            "max_bytes": 1_000_000,
            "max_wait_s": 5.0,
            "max_run_s": 10.0,
        }
    ],
    "teams": [{"name": "judges", "share": 1.0, "limit": 90}],
}

HEAD = f"POST {PATH} HTTP/1.1\r\nHost: entry\r\nX-Request-Id: r1\r\n".encode()
GZIP_BOMB_HEAD = HEAD + b"Content-Encoding: gzip\r\nContent-Length: 10\r\n\r\n0123456789"

# Bytes of a request, and the status of the response before the connection closes.
MALFORMED: dict[str, tuple[bytes, int]] = {
    "no HTTP": (b"dahlias, class 7\r\n\r\n", 400),
    "TLS handshake": (
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + b"\x00" * 64 + b"\r\n",
        400,
    ),
    "bad method": (b"PO ST / HTTP/1.1\r\nHost: a\r\n\r\n", 400),
    "bad version": (b"GET /healthz HTTP/3.7\r\nHost: a\r\n\r\n", 505),
    "header without colon": (HEAD + b"nonsense\r\n\r\n", 400),
    "header with escaped line break": (HEAD + b"X-Key: a\\r\\nX-Holder: b\r\n\r\n", 400),
    "unreadable escape": (HEAD + b"X-Key: \\x\r\n\r\n", 400),
    "length that is no number": (HEAD + b"Content-Length: ten\r\n\r\n", 400),
    "negative length": (HEAD + b"Content-Length: -1\r\n\r\n", 400),
    "two lengths": (HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
    "length and chunks": (
        HEAD + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    "chunked body": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", 411),
    "compressed body": (GZIP_BOMB_HEAD, 415),
    "two requests at once": (HEAD + b"Content-Length: 0\r\n\r\n" + HEAD + b"\r\n", 400),
    "port that is no number": (b"GET /healthz HTTP/1.1\r\nHost: a:b\r\n\r\n", 400),
    "no host": (b"GET /healthz HTTP/1.1\r\nAccept: */*\r\n\r\n", 400),
    "endless headers": (HEAD + b"X-Pad: " + b"x" * 40_000, 431),
    "declared huge body": (HEAD + b"Content-Length: 99999999\r\n\r\n", 413),
}

# Headers of a well-formed request, and the status and error name of the response.
REFUSED: dict[str, tuple[dict[str, str], int, str]] = {
    "no request id": ({"X-Key": "egd_k1_s3cret"}, 400, "bad_request"),
    "request id with a space": ({"X-Request-Id": "a b"}, 400, "bad_request"),
    "long request id": ({"X-Request-Id": "r" * 129}, 400, "bad_request"),
    "key of another form": ({"X-Request-Id": "r", "X-Key": "s3cret"}, 400, "bad_request"),
    "basic authorization": (
        {"X-Request-Id": "r", "Authorization": "Basic abc"},
        400,
        "bad_request",
    ),
    "flag that is no flag": ({"X-Request-Id": "r", "X-Idempotent": "yes"}, 400, "bad_request"),
    "timeout of nothing": ({"X-Request-Id": "r", "X-Timeout-Ms": "0"}, 400, "bad_request"),
    "timeout of years": ({"X-Request-Id": "r", "X-Timeout-Ms": "9" * 30}, 400, "bad_request"),
    "no key": ({"X-Request-Id": "r"}, 401, "key_required"),
    "wrong secret": ({"X-Request-Id": "r", "X-Key": "egd_k1_other"}, 401, "key_refused"),
    "unknown key": ({"X-Request-Id": "r", "X-Key": "egd_k9_s3cret"}, 401, "key_refused"),
}


class Running(NamedTuple):
    """
    The running processes and a granted key.
    """

    platform: fleet.Platform
    daemon: Process
    writer: fleet.Writer
    key: str


def make_running() -> Iterator[Running]:
    with processes() as start:
        platform = fleet.start_platform(start)
        endpoint = start("ep-1", standin_command("endpoint", instance_id="ep-1"))
        listed = fleet.Endpoint("ep-1", "a", "show/judging", 4)
        fleet.list_endpoint(platform, listed, endpoint.address, "live")
        writer = fleet.Writer(platform.log.address)
        fleet.publish(writer, "show", DOCUMENT)
        key = fleet.grant_key(writer, "show", "judges", "k1", "s3cret")
        daemon = fleet.start_daemon(
            start,
            platform,
            "entry-a1",
            "a",
            list_interval_s=0.1,
            read_timeout_s=READ_TIMEOUT_S,
            max_body_bytes=MAX_BODY_BYTES,
            max_buffered_bytes=MAX_BUFFERED_BYTES,
        )
        fleet.wait_ready(daemon)
        running = Running(platform, daemon, writer, key)
        wait_until(lambda: submit(running, {}) == 200)
        yield running


def submit(running: Running, headers: dict[str, str], body: bytes = b"entry 12") -> int:
    # A repeated request id gets the first response, so each request uses a new id.
    named = {"X-Request-Id": f"r-good-{next(REQUEST_NUMBERS)}", "X-Key": running.key, **headers}
    return call(running.daemon.address, "POST", PATH, body, named).status


def open_socket(running: Running) -> socket.socket:
    host, _, port = running.daemon.address.rpartition(":")
    return socket.create_connection((host, int(port)), SOCKET_TIMEOUT_S)


def read_to_end(conn: socket.socket) -> bytes:
    data = b""
    with contextlib.suppress(ConnectionResetError):
        while part := conn.recv(65536):
            data += part
    return data


def send_raw(running: Running, data: bytes) -> bytes:
    """
    Send bytes and read until the server closes the connection.
    """
    with open_socket(running) as conn:
        conn.sendall(data)
        return read_to_end(conn)


FIXTURES = {"running": make_running}


def test_malformed_http_is_answered_and_closed(running: Running) -> None:
    """
    Each malformed request gets a JSON error with its status, and its connection closes.
    """
    for name, (data, status) in MALFORMED.items():
        answer = send_raw(running, data)
        assert answer.startswith(f"HTTP/1.1 {status} ".encode()), (name, answer)
        assert b'"run_state":"not_run"' in answer, name
    assert submit(running, {}) == 200


def test_bad_headers_are_refused_by_name(running: Running) -> None:
    """
    Each well-formed but invalid request is rejected as not run, with its error name.
    """
    for name, (headers, status, error) in REFUSED.items():
        answer = call(running.daemon.address, "POST", PATH, b"entry 12", headers)
        assert (answer.status, answer.json()["error"]) == (status, error), name
        assert answer.json()["run_state"] == "not_run", name
    assert submit(running, {}) == 200


def test_withdrawn_key_is_refused(running: Running) -> None:
    """
    A withdrawn key gets 401 once the record is applied, and stays refused after a new grant.
    """
    fleet.withdraw_key(running.writer, "show", "k1")
    wait_until(lambda: submit(running, {}) == 401)
    fleet.grant_key(running.writer, "show", "judges", "k1", "s3cret")
    fleet.grant_key(running.writer, "show", "judges", "k2", "0ther")
    wait_until(lambda: submit(running, {"X-Key": "egd_k2_0ther"}) == 200)
    assert submit(running, {}) == 401


def test_slow_requests_time_out(running: Running) -> None:
    """
    Incomplete headers or bodies get 408, and other requests are served meanwhile.
    """
    for part in (HEAD, HEAD + b"Content-Length: 100\r\n\r\nhalf"):
        with open_socket(running) as conn:
            conn.sendall(part)
            assert submit(running, {}) == 200
            assert read_to_end(conn).startswith(b"HTTP/1.1 408 ")


def test_dripping_body_times_out(running: Running) -> None:
    """
    Single bytes sent at intervals do not extend the read timeout of a request.
    """
    with open_socket(running) as conn:
        conn.sendall(HEAD + b"Content-Length: 100\r\n\r\n")
        conn.settimeout(READ_TIMEOUT_S / 5)
        answer = b""
        for _ in range(100):
            with contextlib.suppress(TimeoutError):
                answer = conn.recv(4096)
            if answer:
                break
            conn.sendall(b"x")
        assert answer.startswith(b"HTTP/1.1 408 ")


def test_many_half_bodies_take_bounded_memory(running: Running) -> None:
    """
    Incomplete bodies count against the buffer limit: requests beyond it get 503, and the memory
    is released when they time out.
    """
    process = psutil.Process(running.daemon.pid)
    before_bytes = process.memory_info().rss
    part = HEAD + b"Content-Length: 90000\r\n\r\n" + b"x" * 80_000
    with contextlib.ExitStack() as stack:
        conns = [stack.enter_context(open_socket(running)) for _ in range(20)]
        for conn in conns:
            with contextlib.suppress(OSError):
                conn.sendall(part)
        answers = [read_to_end(conn)[:13] for conn in conns]
    assert b"HTTP/1.1 503 " in answers
    assert b"HTTP/1.1 408 " in answers
    assert process.memory_info().rss - before_bytes < MEMORY_SLACK_BYTES
    headers = {"X-Request-Id": "r-large"}
    wait_until(lambda: submit(running, headers, b"x" * 90_000) == 200)


def test_malformed_log_response_changes_nothing(running: Running) -> None:
    """
    While the log returns malformed responses, callers are served from the applied records, and
    later records take effect once the log recovers.
    """
    log = running.platform.log.address
    call(log, "POST", FAULTS_PATH, {"rubbish": True})
    assert submit(running, {}) == 200
    call(log, "POST", FAULTS_PATH, {})
    fleet.grant_key(running.writer, "show", "judges", "k2", "0ther")
    wait_until(lambda: submit(running, {"X-Key": "egd_k2_0ther"}) == 200)


def test_invalid_records_are_skipped(running: Running) -> None:
    """
    Log entries written by foreign programs that are not valid records are skipped.
    """
    junk = [{"id": "x"}, {"kind": 7}, {}]
    answer = call(running.platform.log.address, "POST", fleet.RECORDS_PATH, junk)
    assert answer.status == 200
    fleet.grant_key(running.writer, "show", "judges", "k2", "0ther")
    wait_until(lambda: submit(running, {"X-Key": "egd_k2_0ther"}) == 200)
