"""
Entry instances as processes that start from a snapshot, or from each other with the log gone.
"""

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from eelgrassdrum_core import KEY_GRANTED
from eelgrassdrum_testing import _daemon as fleet
from eelgrassdrum_testing._http_client import call
from eelgrassdrum_testing._process import Process, Start, kill, processes, standin_command
from eelgrassdrum_testing._wait import wait_until

RECORDS = 2100
BATCH = 300
RETENTION_RECORDS = 1500
READY_TIMEOUT_S = 60.0


class Running(NamedTuple):
    """
    The processes, and what starts more of them.
    """

    start: Start
    platform: fleet.Platform
    daemon: Process


def make_running() -> Iterator[Running]:
    with processes() as start:
        options = {"retention_records": RETENTION_RECORDS, "appends_per_s": 100_000}
        log = start("log", standin_command("log", **options))
        platform = fleet.Platform(log, start("list", standin_command("list", lag_s=0.0)))
        daemon = start_listed(start, platform, "entry-a1")
        yield Running(start, platform, daemon)


def start_listed(start: Start, platform: fleet.Platform, name: str) -> Process:
    """
    Start an entry instance, and list it.
    """
    daemon = fleet.start_daemon(start, platform, name, "a", list_interval_s=0.2)
    entry = {
        "id": name,
        "role": "entry",
        "address": daemon.address,
        "peer_address": daemon.peer_address,
        "zone": "a",
        "state": "live",
        "incarnation": 1,
    }
    fleet.put_instance(platform, entry)
    return daemon


def append_many(running: Running, first: int, count: int) -> None:
    """
    Append grants in batches.
    """
    path = "/v1/streams/control/records"
    for begin in range(first, first + count, BATCH):
        numbers = range(begin, min(begin + BATCH, first + count))
        records = [
            {
                "id": {"writer": "op", "incarnation": 1, "sequence": number},
                "kind": KEY_GRANTED,
                "subject": f"key/show/k{number}",
                "base": 0,
                "body": {
                    "workspace": "show",
                    "key_id": f"k{number}",
                    "team": "judges",
                    "digest": f"{number:064x}",
                    "queues": [],
                },
            }
            for number in numbers
        ]
        answer = call(running.platform.log.address, "POST", path, msgspec.json.encode(records))
        assert answer.status == 200


def is_ready(daemon: Process) -> bool:
    """
    Tell whether an instance says that it may be sent callers.
    """
    return call(daemon.address, "GET", "/readyz").status == 200


def snapshot_head(running: Running) -> int:
    """
    Give the offset of the newest chunk in the log.
    """
    path = "/v1/streams/snapshots/records?from=1&limit=1&wait=0"
    return call(running.platform.log.address, "GET", path).json()["head"]


FIXTURES = {"running": make_running}


def test_new_process_starts_from_a_snapshot_and_then_without_log(running: Running) -> None:
    """
    A second instance is ready though the log dropped its beginning, a third though the log is gone.
    """
    wait_until(lambda: is_ready(running.daemon), READY_TIMEOUT_S)
    append_many(running, 1, RECORDS)
    wait_until(lambda: snapshot_head(running) > 0, READY_TIMEOUT_S)
    append_many(running, RECORDS + 1, BATCH)
    second = start_listed(running.start, running.platform, "entry-a2")
    wait_until(lambda: is_ready(second), READY_TIMEOUT_S)
    kill(running.platform.log)
    third = start_listed(running.start, running.platform, "entry-a3")
    wait_until(lambda: is_ready(third), READY_TIMEOUT_S)
