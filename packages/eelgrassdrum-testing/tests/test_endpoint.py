"""
Tests of the endpoint's executor over HTTP.
"""

import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec
import xxhash

from eelgrassdrum_testing._endpoint_http import CRASH_EXIT_CODE
from eelgrassdrum_testing._http_client import call, connect, send
from eelgrassdrum_testing._process import kill, processes, standin_command
from eelgrassdrum_testing._wait import wait_until

LONG_MS = "20000"
LARGE_BYTES = 4_000_000


def endpoint_process():
    with processes() as start:
        yield start("endpoint", standin_command("endpoint", slots=2, instance_id="ep-7"))


FIXTURES = {"endpoint": endpoint_process}


def headers(number, work_ms="0"):
    return {
        "X-Request-Id": f"r{number}",
        "X-Attempt-Id": f"a{number}",
        "X-Holder": "entry-1",
        "X-Team": "roses",
        "X-Work-Ms": work_ms,
    }


def run(endpoint, number, work_ms="0", body=b"", timeout_s=20.0):
    return call(
        endpoint.address, "POST", "/run", body, headers(number, work_ms), timeout_s=timeout_s
    )


def begin(endpoint, number, work_ms):
    """Start a run whose answer nobody waits for."""
    conn = connect(endpoint.address)
    conn.request("POST", "/run", body=b"", headers=headers(number, work_ms))
    wait_until(lambda: number in running(endpoint))
    return conn


def running(endpoint):
    health = call(endpoint.address, "GET", "/health").json()
    return [int(entry["attempt"][1:]) for entry in health["running"]]


def runs(endpoint):
    return call(endpoint.address, "GET", "/runs").json()["runs"]


def control(endpoint, **change):
    return call(endpoint.address, "POST", "/control", change).json()


def test_the_answer_tells_what_was_received_and_echoes_the_ids(endpoint):
    """A large body arrives whole, and a large answer comes back whole."""
    body = bytes(range(256)) * (LARGE_BYTES // 256)
    answer = run(endpoint, 1, body=body)
    assert answer.json()["checksum"] == xxhash.xxh64_hexdigest(body)
    assert (answer.json()["bytes"], answer.json()["request_id"]) == (len(body), "r1")
    assert answer.headers["x-attempt-id"] == "a1"
    hint = b'{"answer_bytes": %d, "work_ms": 0}' % LARGE_BYTES
    assert len(run(endpoint, 2, body=hint).json()["padding"]) == LARGE_BYTES


def test_a_full_endpoint_refuses_before_anything_ran(endpoint):
    """With all slots taken the answer is 503 and not run, and no run is recorded."""
    conns = [begin(endpoint, number, LONG_MS) for number in (1, 2)]
    answer = run(endpoint, 3)
    assert (answer.status, answer.headers["x-run-state"]) == (503, "not_run")
    assert "x-leaving" not in answer.headers
    assert [entry[0] for entry in runs(endpoint)] == ["r1", "r2"]
    for conn in conns:
        conn.close()


def test_slots_run_at_the_same_time(endpoint):
    """A short run ends while a long one goes on."""
    conn = begin(endpoint, 1, LONG_MS)
    assert run(endpoint, 2).status == 200
    assert runs(endpoint) == [
        ["r1", "a1", "entry-1", "roses", "running"],
        ["r2", "a2", "entry-1", "roses", "done"],
    ]
    conn.close()


def test_repeated_runs_of_a_request_are_both_recorded(endpoint):
    """The record of runs shows a doubled request."""
    run(endpoint, 1)
    run(endpoint, 1)
    assert [entry[0] for entry in runs(endpoint)] == ["r1", "r1"]


def test_a_leaving_endpoint_finishes_its_runs_and_takes_no_new_ones(endpoint):
    """Work in flight is answered, and new work is refused as leaving."""
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(run, endpoint, 1, "500")
        wait_until(lambda: 1 in running(endpoint))
        control(endpoint, leave=True)
        answer = run(endpoint, 2)
        assert first.result().status == 200
    assert (answer.status, answer.headers["x-leaving"]) == (503, "1")
    assert call(endpoint.address, "GET", "/health").json()["state"] == "leaving"


def test_silenced_connections_never_answer_while_new_ones_do(endpoint):
    """A run in flight ends unanswered, and a later one on its connection never starts."""
    conn = begin(endpoint, 1, "100")
    assert control(endpoint, silence=True)["silenced"] >= 1
    wait_until(lambda: not running(endpoint))
    conn.sock.settimeout(0.2)
    try:
        conn.getresponse()
    except TimeoutError:
        silent = True
    else:
        silent = False
    assert silent
    conn.sock.sendall(
        b"POST /run HTTP/1.1\r\nHost: x\r\nX-Request-Id: r2\r\nX-Attempt-Id: a2\r\n\r\n"
    )
    assert run(endpoint, 3).status == 200
    assert [entry[0] for entry in runs(endpoint)] == ["r1", "r3"]
    conn.close()


def test_fail_fast_answers_500_at_once_until_it_is_taken_back(endpoint):
    """A failing endpoint records failed runs, whatever their service time."""
    control(endpoint, fail_fast=True)
    assert run(endpoint, 1, LONG_MS).status == 500
    control(endpoint, fail_fast=False)
    assert run(endpoint, 2).status == 200
    assert [entry[4] for entry in runs(endpoint)] == ["failed", "done"]


def test_a_slow_endpoint_multiplies_service_times(endpoint):
    """A run that was short outlasts its caller's patience after a slow-down."""
    control(endpoint, slow_factor=10_000.0)
    try:
        run(endpoint, 1, "10", timeout_s=1.0)
    except TimeoutError:
        answered = False
    else:
        answered = True
    assert not answered
    assert running(endpoint) == [1]


def test_the_journal_keeps_runs_that_a_crash_cut_off():
    """A run in progress at a crash can be read from the journal."""
    with tempfile.TemporaryDirectory() as folder, processes() as start:
        path = Path(folder, "runs")
        endpoint = start("endpoint", standin_command("endpoint", journal=path))
        begin(endpoint, 1, LONG_MS)
        kill(endpoint)
        lines = path.read_bytes().splitlines()
    assert [msgspec.json.decode(line)[:2] for line in lines] == [["r1", "a1"]]


def test_a_crash_ends_the_process_without_an_answer(endpoint):
    """Connections break, and the exit code tells that it was a crash."""
    conn = connect(endpoint.address)
    send(conn, "GET", "/health")
    try:
        send(conn, "POST", "/control", {"crash": True})
    except (ConnectionError, OSError):
        answered = False
    else:
        answered = True
    assert not answered
    assert endpoint.popen.wait(20) == CRASH_EXIT_CODE
