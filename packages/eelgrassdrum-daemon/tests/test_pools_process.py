"""
Pools managed by running entry instances: instances are added, moved and maintained.
"""

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from eelgrassdrum_core import digest_secret
from eelgrassdrum_testing import _daemon as fleet
from eelgrassdrum_testing._http_client import call
from eelgrassdrum_testing._process import Process, processes
from eelgrassdrum_testing._wait import wait_until

KEY = "egd_root_first"
SIZE = {"min": 1, "target": 2, "max": 4}
DOCUMENT = {
    "zones": ["a"],
    "measures": {"roll_out_time": 1.0, "buffer_cost": 1.0, "closeness_to_share": 1.0},
    "services": [{"name": "judging", "executors": 2, "max_unavailable": 1, "shared": True}],
    "pools": [
        {"name": "judging", "role": "endpoint", "service": "judging", "size": SIZE},
        {"name": "spare", "role": "endpoint", "size": {**SIZE, "min": 0}, "spare": True},
    ],
}
TIMEOUT_S = 60.0


class Running(NamedTuple):
    """
    The platform, two entry instances and the writer for an operator's records.
    """

    platform: fleet.Platform
    daemons: tuple[Process, ...]
    writer: fleet.Writer


def make_running() -> Iterator[Running]:
    with processes() as start:
        platform = fleet.start_platform(start)
        writer = fleet.Writer(platform.log.address)
        fleet.publish(writer, "fleet", DOCUMENT)
        for name in ("j1", "j2", "s1"):
            pool = "fleet/judging" if name[0] == "j" else "fleet/spare"
            body = {"pool": pool, "zone": "a", "rack": f"a-{name}"}
            assert call(platform.list.address, "PUT", f"/v1/machines/{name}", body).status == 200
        daemons = tuple(
            fleet.start_daemon(start, platform, name, "a", root_digest=digest_secret("first"))
            for name in ("entry-a1", "entry-a2")
        )
        for daemon in daemons:
            fleet.wait_ready(daemon)
        yield Running(platform, daemons, writer)


FIXTURES = {"running": make_running}


def get(daemon: Process, path: str) -> dict:
    headers = {"Authorization": f"Bearer {KEY}"}
    answer = call(daemon.address, "GET", f"/v1/operator/{path}", headers=headers)
    return msgspec.json.decode(answer.body)


def members(daemon: Process) -> dict[str, list[str]]:
    """
    Return the instances of each pool without operations under way.
    """
    pools = get(daemon, "status")["pools"]
    return {item["pool"]: item["instances"] for item in pools if not item["under_way"]}


def subject_revision(running: Running, subject: str) -> int:
    found = get(running.daemons[0], f"subjects?prefix={subject}")["subjects"]
    return found.get(subject, 0)


def test_an_instance_is_moved_and_maintained(running: Running) -> None:
    """Instances are added, one is moved at an operator's request, and a round reboots each."""
    first = {"fleet/judging": ["j1", "j2"], "fleet/spare": ["s1"]}
    for daemon in running.daemons:
        wait_until(lambda daemon=daemon: members(daemon) == first, TIMEOUT_S)
    running.writer.revisions["move/s1"] = subject_revision(running, "move/s1")
    move_request = {"instance": "s1", "pool": "fleet/judging", "author": "op"}
    fleet.append(running.writer, "move.requested", "move/s1", move_request)
    moved = {"fleet/judging": ["j1", "j2", "s1"], "fleet/spare": []}
    for daemon in running.daemons:
        wait_until(lambda daemon=daemon: members(daemon) == moved, TIMEOUT_S)
    order = {"shard": "fleet", "action": "start", "author": "op"}
    fleet.append(running.writer, "maintenance.ordered", "maintenance/fleet", order)
    # The order is in force once the instances are due, and complete when none is due any more.
    wait_until(lambda: get(running.daemons[0], "maintenance/fleet")["round"]["offset"], TIMEOUT_S)
    wait_until(lambda: get(running.daemons[0], "maintenance/fleet")["due"] == 0, TIMEOUT_S)
    listed = call(running.platform.list.address, "GET", "/v1/machines?shards=fleet&since=0")
    machines = msgspec.json.decode(listed.body)["instances"]
    assert {item["id"]: item["boots"] for item in machines} == {"j1": 1, "j2": 1, "s1": 2}
    assert all(item["is_serving"] for item in machines)
