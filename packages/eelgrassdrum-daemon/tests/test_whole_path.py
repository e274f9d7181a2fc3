"""
End-to-end tests of one entry instance process, from callers to an endpoint and back.
"""

import signal
from collections.abc import Iterator
from typing import NamedTuple

import xxhash

from eelgrassdrum_testing import _daemon as fleet
from eelgrassdrum_testing._http_client import Answer, call, connect
from eelgrassdrum_testing._process import Process, processes, standin_command
from eelgrassdrum_testing._wait import wait_until

QUEUE_PATH = "/v1/queues/show/scores/requests"
OPEN_PATH = "/v1/queues/show/results/requests"
EXIT_TIMEOUT_S = 20.0
SLOW_WORK_MS = 800
ENDLESS_WORK_MS = 60_000
LARGE_BODY = bytes(range(256)) * 12_000


def queue(name: str, access: str) -> dict:
    return {
        "name": name,
        "service": "judging",
        "access": access,
        "max_queued": 50,
        "max_bytes": 8_000_000,
        "max_wait_s": 5.0,
        "max_run_s": 10.0,
    }


DOCUMENT = {
    "services": [{"name": "judging", "executors": 1, "max_unavailable": 0}],
    "queues": [queue("scores", "keyed"), queue("results", "open")],
    "teams": [{"name": "judges", "share": 1.0, "limit": 90}],
}


class Running(NamedTuple):
    """
    The running processes, a writer of operator records and a granted key.
    """

    platform: fleet.Platform
    endpoint: Process
    daemon: Process
    writer: fleet.Writer
    key: str


def make_running() -> Iterator[Running]:
    with processes() as start:
        platform = fleet.start_platform(start)
        endpoint = start("ep-1", standin_command("endpoint", instance_id="ep-1", slots=8))
        listed = fleet.Endpoint("ep-1", "a", "show/judging", 8)
        fleet.list_endpoint(platform, listed, endpoint.address, "live")
        writer = fleet.Writer(platform.log.address)
        fleet.publish(writer, "show", DOCUMENT)
        key = fleet.grant_key(writer, "show", "judges", "k1", "s3cret")
        daemon = fleet.start_daemon(start, platform, "entry-a1", "a", list_interval_s=0.1)
        fleet.wait_ready(daemon)
        running = Running(platform, endpoint, daemon, writer, key)
        wait_until(lambda: submit(running, "warm-up", path=OPEN_PATH).status == 200)
        yield running


def submit(
    running: Running, request_id: str, body: bytes = b"entry 12", path: str = QUEUE_PATH, **headers
) -> Answer:
    named = {f"X-{name.replace('_', '-')}": value for name, value in headers.items()}
    return call(running.daemon.address, "POST", path, body, {"X-Request-Id": request_id, **named})


def start_request(running: Running, request_id: str, work_ms: int = SLOW_WORK_MS):
    """
    Send a request that runs for `work_ms`, and return once it runs, without its answer.
    """
    conn = connect(running.daemon.address)
    headers = {"X-Request-Id": request_id, "X-Key": running.key}
    conn.request("POST", QUEUE_PATH, f'{{"work_ms": {work_ms}}}'.encode(), headers)
    wait_until(lambda: request_id in runs(running))
    return conn


def runs(running: Running) -> dict[str, str]:
    listed = call(running.endpoint.address, "GET", "/runs").json()["runs"]
    return {run[0]: run[4] for run in listed}


FIXTURES = {"running": make_running}


def test_answer_is_complete_and_names_its_request(running: Running) -> None:
    """
    A large body reaches the endpoint unchanged, and its answer has the caller's request id.
    """
    answer = submit(running, "r-large", LARGE_BODY, Key=running.key)
    assert answer.status == 200
    body = answer.json()
    assert body["checksum"] == xxhash.xxh64_hexdigest(LARGE_BODY)
    assert (body["request_id"], answer.headers["x-request-id"]) == ("r-large", "r-large")
    assert answer.headers["x-attempt-id"] == body["attempt_id"]


def test_keyed_queue_takes_granted_keys_only(running: Running) -> None:
    """
    Requests with no key, a wrong key or a withdrawn key are refused as not run and do not run.
    """
    assert submit(running, "r-none").json()["error"] == "key_required"
    assert submit(running, "r-wrong", Key="egd_k1_other").json()["error"] == "key_refused"
    assert submit(running, "r-good", Key=running.key).status == 200
    fleet.withdraw_key(running.writer, "show", "k1")
    wait_until(lambda: submit(running, "r-late", Key=running.key).status == 401)
    refused = submit(running, "r-withdrawn", Key=running.key)
    assert (refused.status, refused.json()["run_state"]) == (401, "not_run")
    assert not {"r-none", "r-wrong", "r-withdrawn"} & set(runs(running))


def test_stop_finishes_what_runs(running: Running) -> None:
    """
    On SIGTERM a running request is answered, a new one is refused as not run, and the exit is 0.
    """
    conn = start_request(running, "r-slow")
    running.daemon.popen.send_signal(signal.SIGTERM)
    wait_until(lambda: call(running.daemon.address, "GET", "/readyz").status == 503)
    refused = submit(running, "r-new", Key=running.key)
    assert (refused.status, refused.json()["run_state"]) == (503, "not_run")
    answer = conn.getresponse()
    assert (answer.status, answer.getheader("X-Request-Id")) == (200, "r-slow")
    answer.read()
    assert running.daemon.popen.wait(EXIT_TIMEOUT_S) == 0
    assert "r-new" not in runs(running)


def test_second_signal_stops_at_once(running: Running) -> None:
    """
    A second SIGTERM ends the process while a request still runs.
    """
    conn = start_request(running, "r-slow", ENDLESS_WORK_MS)
    running.daemon.popen.send_signal(signal.SIGTERM)
    wait_until(lambda: call(running.daemon.address, "GET", "/readyz").status == 503)
    running.daemon.popen.send_signal(signal.SIGTERM)
    assert running.daemon.popen.wait(EXIT_TIMEOUT_S) != 0
    assert runs(running)["r-slow"] == "running"
    conn.close()


def test_disconnected_caller_frees_its_slot(running: Running) -> None:
    """
    After a caller closes its connection, its request ends and other requests are served.
    """
    start_request(running, "r-slow").close()
    wait_until(lambda: runs(running)["r-slow"] == "done")
    assert submit(running, "r-next", Key=running.key).status == 200
