"""
Fault injection into the platform, endpoints and entry instances as running processes.
"""

import itertools
import signal
from collections.abc import Iterator
from typing import NamedTuple

from eelgrassdrum_core import digest_secret
from eelgrassdrum_testing import _daemon as fleet
from eelgrassdrum_testing._http_client import Answer, call
from eelgrassdrum_testing._process import Process, pause, processes, resume, standin_command
from eelgrassdrum_testing._wait import wait_until

PATH = "/v1/queues/show/scores/requests"
ROOT_KEY = "egd_root_first"
MAX_RUN_S = 1.0
# Three, because claiming an id takes a majority, and a majority of two instances is both.
ENTRIES = ("entry-a1", "entry-a2", "entry-a3")
NUMBERS = itertools.count(1)
DOCUMENT = {
    "services": [{"name": "judging", "executors": 2, "max_unavailable": 1}],
    "queues": [
        {
            "name": "scores",
            "service": "judging",
            "access": "keyed",
            "max_queued": 50,
            "max_bytes": 1_000_000,
            "max_wait_s": 5.0,
            "max_run_s": MAX_RUN_S,
        }
    ],
    "teams": [{"name": "judges", "share": 1.0, "limit": 90}],
}


class Running(NamedTuple):
    """
    Three entry instances in one zone, two endpoints, and a granted key.
    """

    platform: fleet.Platform
    endpoints: dict[str, Process]
    daemons: list[Process]
    writer: fleet.Writer
    key: str


def make_running() -> Iterator[Running]:
    with processes() as start:
        platform = fleet.start_platform(start)
        endpoints = {}
        for name in ("ep-1", "ep-2"):
            endpoints[name] = start(name, standin_command("endpoint", instance_id=name))
            list_endpoint(platform, endpoints, name, "live")
        writer = fleet.Writer(platform.log.address)
        fleet.publish(writer, "show", DOCUMENT)
        key = fleet.grant_key(writer, "show", "judges", "k1", "s3cret")
        options = {"list_interval_s": 0.1, "root_digest": digest_secret("first")}
        daemons = [fleet.start_daemon(start, platform, name, "a", **options) for name in ENTRIES]
        running = Running(platform, endpoints, daemons, writer, key)
        for daemon in daemons:
            list_entry(running, daemon)
            fleet.wait_ready(daemon)
            wait_until(lambda daemon=daemon: submit(daemon, key, unique("warm-up")).status == 200)
        yield running


def list_endpoint(
    platform: fleet.Platform, endpoints: dict[str, Process], name: str, state: str
) -> None:
    listed = fleet.Endpoint(name, "a", "show/judging", 4)
    fleet.list_endpoint(platform, listed, endpoints[name].address, state)


def list_entry(running: Running, daemon: Process) -> None:
    entry = {
        "id": daemon.name,
        "role": "entry",
        "zone": "a",
        "address": daemon.address,
        "peer_address": status(daemon)["peer_address"],
        "state": "live",
    }
    fleet.put_instance(running.platform, entry)


def status(daemon: Process) -> dict:
    headers = {"Authorization": f"Bearer {ROOT_KEY}"}
    return call(daemon.address, "GET", "/v1/operator/status", headers=headers).json()


def submit(
    daemon: Process, key: str, request_id: str, body: bytes = b"entry 12", idempotent: bool = False
) -> Answer:
    headers = {
        "X-Request-Id": request_id,
        "X-Key": key,
        "X-Idempotent": str(int(idempotent)),
    }
    return call(daemon.address, "POST", PATH, body, headers)


def unique(name: str) -> str:
    """
    Return a unique request id, since a repeated id gets the response to the first request.
    """
    return f"{name}-{next(NUMBERS)}"


def starts(running: Running, request_id: str) -> int:
    """
    Return how many times a request was started at all endpoints.
    """
    return sum(
        run[0] == request_id
        for endpoint in running.endpoints.values()
        for run in call(endpoint.address, "GET", "/runs").json()["runs"]
    )


FIXTURES = {"running": make_running}


def test_log_outage_keeps_callers_served(running: Running) -> None:
    """
    Granted keys work during a log outage, and later records take effect after it.
    """
    log = running.platform.log.address
    call(log, "POST", "/faults", {"outage": True})
    for daemon in running.daemons:
        wait_until(lambda daemon=daemon: not status(daemon)["log_available"])
        assert submit(daemon, running.key, f"r-{daemon.name}").status == 200
    call(log, "POST", "/faults", {})
    fleet.withdraw_key(running.writer, "show", "k1")
    for daemon in running.daemons:
        wait_until(
            lambda daemon=daemon: submit(daemon, running.key, unique("r-late")).status == 401
        )


def test_list_outage_keeps_callers_served(running: Running) -> None:
    """
    Known endpoints stay in use while the list is down or returns malformed data.
    """
    for faults in ({"outage": True}, {"rubbish": True}):
        call(running.platform.list.address, "POST", "/faults", faults)
        for number in range(10):
            name = f"r-{number}-{next(iter(faults))}"
            assert submit(running.daemons[0], running.key, name).status == 200


def test_silent_connections_lose_and_double_nothing(running: Running) -> None:
    """
    When open connections to an endpoint stop responding, each request is answered or reported
    as having an unknown outcome, none runs twice, and new connections replace them.
    """
    daemon = running.daemons[0]
    for number in range(8):
        assert submit(daemon, running.key, f"r-before-{number}").status == 200
    for endpoint in running.endpoints.values():
        call(endpoint.address, "POST", "/control", {"silence": True})
    answers = {f"r-{n}": submit(daemon, running.key, f"r-{n}") for n in range(4)}
    assert any(answer.status != 200 for answer in answers.values())
    for request_id, answer in answers.items():
        if answer.status != 200:
            assert answer.json()["run_state"] == "unknown"
        assert starts(running, request_id) <= 1
    wait_until(lambda: submit(daemon, running.key, unique("r-after")).status == 200)


def test_dead_endpoint_is_passed_over(running: Running) -> None:
    """
    Requests go to the other endpoint after one was killed, before the list reflects it.
    """
    running.endpoints["ep-1"].popen.kill()
    running.endpoints["ep-1"].popen.wait()
    answers = [
        submit(running.daemons[0], running.key, f"r-{number}", idempotent=True)
        for number in range(10)
    ]
    assert [answer.status for answer in answers] == [200] * 10
    assert {answer.json()["endpoint"] for answer in answers} == {"ep-2"}


def test_leaving_endpoint_gets_no_new_work(running: Running) -> None:
    """
    An endpoint that refuses because it is leaving gets no new requests, and none is lost.
    """
    call(running.endpoints["ep-1"].address, "POST", "/control", {"leave": True})
    for daemon in running.daemons:
        for number in range(10):
            answer = submit(daemon, running.key, f"r-{daemon.name}-{number}")
            assert (answer.status, answer.json()["endpoint"]) == (200, "ep-2")


def test_entry_instances_know_each_other(running: Running) -> None:
    """
    Members see each other as alive, and a stopped one as no longer alive.
    """
    first, _, second = running.daemons

    def state_of_second() -> list[str]:
        members = status(first)["members"]
        return [m["state"] for m in members if m["instance"] == second.name]

    wait_until(lambda: state_of_second() == ["alive"])
    second.popen.send_signal(signal.SIGTERM)
    assert second.popen.wait(20) == 0
    wait_until(lambda: state_of_second() != ["alive"])


def test_paused_instance_holds_nobody_up(running: Running) -> None:
    """
    The others serve while an entry instance is paused, and it serves again once resumed.
    """
    first, _, second = running.daemons
    pause(second)
    assert submit(first, running.key, "r-1").status == 200
    resume(second)
    wait_until(lambda: submit(second, running.key, unique("r-2")).status == 200)
