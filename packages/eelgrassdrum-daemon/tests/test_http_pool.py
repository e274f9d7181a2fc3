"""
Tests of the HTTP pool against a server with scripted faults.
"""

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator
from functools import partial

import msgspec
from circuits import Component
from circuits.core.pollers import EPoll

from eelgrassdrum_daemon._http_messages import ClientRequest, HttpAnswer, HttpFailure, HttpOutcome
from eelgrassdrum_daemon._http_pool import HttpPool
from eelgrassdrum_daemon._timers import Scheduler

DEADLINE_S = 20.0
SHORT_TIMEOUT_S = 0.2
BODY = b"entry 12, class 3"
LARGE_BODY = bytes(range(256)) * 12_000
ANSWER = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nContent-Length: 4\r\n\r\ndone"


class Loop(msgspec.Struct):
    """
    An event loop and its connection pool.
    """

    root: Component
    scheduler: Scheduler
    pool: HttpPool


class Script(msgspec.Struct):
    """
    Scripted responses of the server, and what it received.

    :param answers: bytes sent for each request in turn; ``None`` sends no response.
    """

    answers: list[bytes | None]
    conns: int = 0
    received: bytes = b""
    close_after: bool = False


def make_loop() -> Loop:
    root = Component()
    poller = EPoll().register(root)
    scheduler = Scheduler().register(root)
    return Loop(root, scheduler, HttpPool(poller, scheduler, 2).register(root))


def make_server() -> Iterator[Callable[[Script], str]]:
    listeners: list[socket.socket] = []

    def start(script: Script) -> str:
        listener = socket.create_server(("127.0.0.1", 0))
        listeners.append(listener)
        threading.Thread(target=accept_all, args=(listener, script), daemon=True).start()
        host, port = listener.getsockname()
        return f"{host}:{port}"

    yield start
    for listener in listeners:
        listener.close()


def accept_all(listener: socket.socket, script: Script) -> None:
    with contextlib.suppress(OSError):
        while True:
            conn, _ = listener.accept()
            script.conns += 1
            threading.Thread(target=serve_scripted, args=(conn, script), daemon=True).start()


def serve_scripted(conn: socket.socket, script: Script) -> None:
    with conn, contextlib.suppress(OSError):
        while read_request(conn, script):
            answer = script.answers.pop(0) if script.answers else b""
            if answer is not None:
                conn.sendall(answer)
            if script.close_after:
                return


def read_request(conn: socket.socket, script: Script) -> bool:
    data = b""
    while b"\r\n\r\n" not in data:
        part = conn.recv(65536)
        if not part:
            return False
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
    while len(body) < length:
        body += conn.recv(65536)
    script.received = body
    return True


def exchange(loop: Loop, *reqs: Callable[..., ClientRequest]) -> list[HttpOutcome]:
    """
    Send requests sequentially, and return their outcomes.
    """
    outcomes: list[HttpOutcome] = []
    pending = list(reqs)

    def send_next(outcome: HttpOutcome | None = None) -> None:
        if outcome is not None:
            outcomes.append(outcome)
        if pending:
            loop.pool.submit(pending.pop(0)(on_done=send_next))
        else:
            loop.root.stop()

    loop.scheduler.call_later(0, send_next)
    loop.scheduler.call_later(DEADLINE_S, loop.root.stop)
    loop.root.run()
    assert len(outcomes) == len(reqs)
    return outcomes


def post(address: str, timeout_s: float = DEADLINE_S, **more: object) -> partial:
    return partial(
        ClientRequest, address, "POST", "/run", timeout_s, **{"headers": {}, "body": BODY, **more}
    )


FIXTURES = {"loop": make_loop, "server": make_server}


def test_connection_is_used_again(loop: Loop, server: Callable) -> None:
    """
    Two sequential requests share one connection, and each gets its own response.
    """
    script = Script([ANSWER, ANSWER.replace(b"done", b"next")])
    address = server(script)
    outcomes = exchange(loop, post(address), post(address))
    assert [outcome.body for outcome in outcomes] == [b"done", b"next"]
    assert (script.conns, script.received) == (1, BODY)


def test_request_is_not_sent_after_a_pause_of_the_process(loop: Loop, server: Callable) -> None:
    """
    A process that is paused while a connection opens doesn't send the request past its time.
    """
    script = Script([ANSWER, ANSWER])
    address = server(script)
    outcomes: list[HttpOutcome] = []

    def submit() -> None:
        for limits in ({"timeout_s": SHORT_TIMEOUT_S}, {"send_within_s": SHORT_TIMEOUT_S}):
            loop.pool.submit(post(address, **limits)(on_done=outcomes.append))
        time.sleep(2 * SHORT_TIMEOUT_S)
        loop.scheduler.call_later(2 * SHORT_TIMEOUT_S, loop.root.stop)

    loop.scheduler.call_later(0, submit)
    loop.root.run()
    assert [outcome.sent for outcome in outcomes] == [False, False], outcomes
    assert script.received == b""


def test_large_body_arrives_whole(loop: Loop, server: Callable) -> None:
    """
    A body larger than the socket buffers arrives unchanged.
    """
    script = Script([ANSWER])
    exchange(loop, post(server(script), body=LARGE_BODY))
    assert script.received == LARGE_BODY


def test_refused_connect_has_sent_nothing(loop: Loop) -> None:
    """
    A refused connect fails with ``sent=False``.
    """
    # Bound without listening, so that no one else can listen there.
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
        assert exchange(loop, post(address)) == [HttpFailure("connect", sent=False)]


def test_silent_server_fails_at_the_deadline(loop: Loop, server: Callable) -> None:
    """
    A request that times out fails as sent, and the next one uses a new connection.
    """
    script = Script([None, ANSWER])
    address = server(script)
    first, second = exchange(loop, post(address, SHORT_TIMEOUT_S), post(address))
    assert first == HttpFailure("timeout", sent=True)
    assert second.body == b"done"
    assert script.conns == 2


def test_incomplete_response_is_a_failure(loop: Loop, server: Callable) -> None:
    """
    A connection closed before the response is complete is a failure, not a short response.
    """
    address = server(Script([ANSWER[:-2]], close_after=True))
    assert exchange(loop, post(address)) == [HttpFailure("closed", sent=True)]


def test_answer_without_a_length_is_refused(loop: Loop, server: Callable) -> None:
    """
    A response delimited by connection close may be truncated, so it is malformed.
    """
    address = server(Script([b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n\r\ndone"], close_after=True))
    assert exchange(loop, post(address)) == [HttpFailure("malformed", sent=True)]


def test_mismatched_response_is_dropped(loop: Loop, server: Callable) -> None:
    """
    A response to another request is counted, and dropped together with its connection.
    """

    def is_expected(answer: HttpAnswer) -> bool:
        return answer.headers.get("X-Attempt-Id") == "a2"

    script = Script([ANSWER, ANSWER.replace(b"a1", b"a2")])
    address = server(script)
    outcomes = exchange(
        loop, post(address, is_expected=is_expected), post(address, is_expected=is_expected)
    )
    assert outcomes[0] == HttpFailure("mismatched", sent=True)
    assert outcomes[1].body == b"done"
    assert (loop.pool.counters.mismatched, script.conns) == (1, 2)


def test_duplicate_response_is_not_reused(loop: Loop, server: Callable) -> None:
    """
    A duplicate response is never returned for the next request.
    """
    script = Script([ANSWER + ANSWER, ANSWER.replace(b"done", b"next")])
    address = server(script)
    first, second = exchange(loop, post(address), post(address))
    assert first == HttpFailure("malformed", sent=True)
    assert second.body == b"next"


def test_chunked_answer_in_small_parts_is_whole(loop: Loop, server: Callable) -> None:
    """
    A chunked response is reassembled from its chunks.
    """
    answer = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n5\r\ndefgh\r\n0\r\n\r\n"
    )
    [outcome] = exchange(loop, post(server(Script([answer]))))
    assert outcome.body == b"abcdefgh"


def test_closed_idle_connection_is_not_used(loop: Loop, server: Callable) -> None:
    """
    A connection closed by the server while idle is replaced, and the request succeeds.
    """
    script = Script([ANSWER, ANSWER], close_after=True)
    address = server(script)
    outcomes: list[HttpOutcome] = []

    def finish(outcome: HttpOutcome) -> None:
        outcomes.append(outcome)
        loop.root.stop()

    def resubmit(outcome: HttpOutcome) -> None:
        outcomes.append(outcome)
        loop.scheduler.call_later(
            SHORT_TIMEOUT_S, lambda: loop.pool.submit(post(address)(on_done=finish))
        )

    loop.scheduler.call_later(0, lambda: loop.pool.submit(post(address)(on_done=resubmit)))
    loop.scheduler.call_later(DEADLINE_S, loop.root.stop)
    loop.root.run()
    assert [outcome.status for outcome in outcomes] == [200, 200]
    assert script.conns == 2


def test_connections_to_an_address_are_bounded(loop: Loop, server: Callable) -> None:
    """
    A request beyond the connection limit fails immediately with ``sent=False``.
    """
    address = server(Script([None, None, None]))
    outcomes: list[HttpOutcome] = []

    def send_three() -> None:
        for _ in range(3):
            loop.pool.submit(post(address, SHORT_TIMEOUT_S)(on_done=outcomes.append))

    loop.scheduler.call_later(0, send_three)
    loop.scheduler.call_later(3 * SHORT_TIMEOUT_S, loop.root.stop)
    loop.root.run()
    assert outcomes[0] == HttpFailure("pool_full", sent=False)
    assert [outcome.reason for outcome in outcomes[1:]] == ["timeout", "timeout"]


def test_header_with_an_escaped_line_break_is_not_passed_on(loop: Loop, server: Callable) -> None:
    """
    A response header with an escaped line break, which would split the caller's response, is
    malformed.
    """
    answer = ANSWER.replace(b"a1", b"a1\\r\\nX-Key: x")
    assert exchange(loop, post(server(Script([answer])))) == [HttpFailure("malformed", sent=True)]


def test_too_large_answer_is_given_up(loop: Loop, server: Callable) -> None:
    """
    A response beyond the size limit fails, and its bytes no longer count as buffered.
    """
    loop.pool.max_answer_bytes = 100_000
    answer = ANSWER.replace(b"Content-Length: 4", b"Content-Length: 300000") + b"x" * 299_996
    [outcome] = exchange(loop, post(server(Script([answer]))))
    assert outcome == HttpFailure("answer_too_large", sent=True)
    assert loop.pool.buffered_bytes == 0
