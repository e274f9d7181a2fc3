"""
Recovery of entry instance processes from a snapshot, or from peers while the log is down.
"""

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from eelgrassdrum_core import KEY_GRANTED, digest_secret
from eelgrassdrum_testing import _daemon as fleet
from eelgrassdrum_testing._http_client import call
from eelgrassdrum_testing._process import Process, Start, kill, processes, standin_command
from eelgrassdrum_testing._wait import wait_until

RECORDS = 2100
BATCH = 300
RETENTION_RECORDS = 1500
READY_TIMEOUT_S = 60.0
ROOT_SECRET = "first"
OPERATOR_HEADERS = {"Authorization": f"Bearer egd_root_{ROOT_SECRET}"}


class Running(NamedTuple):
    """
    The running processes, and the function that starts more.
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
    Start an entry instance and add it to the platform's instance list.
    """
    options = {"list_interval_s": 0.2, "root_digest": digest_secret(ROOT_SECRET)}
    daemon = fleet.start_daemon(start, platform, name, "a", **options)
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
    Append records of granted keys in batches, each once the first instance has folded the former.

    Otherwise the log may drop records that no instance has read and no snapshot covers.
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
        last = answer.json()["offsets"][-1]
        wait_until(lambda last=last: folded_offset(running.daemon) >= last, READY_TIMEOUT_S)


def folded_offset(daemon: Process) -> int:
    """
    Return the offset of the last record that an instance has folded.
    """
    return call(daemon.address, "GET", "/v1/operator/status", headers=OPERATOR_HEADERS).json()[
        "revision"
    ]


def is_ready(daemon: Process) -> bool:
    """
    Return whether an instance reports that it is ready.
    """
    return call(daemon.address, "GET", "/readyz").status == 200


def snapshot_head(running: Running) -> int:
    """
    Return the offset of the newest snapshot chunk in the log.
    """
    path = "/v1/streams/snapshots/records?from=1&limit=1&wait=0"
    return call(running.platform.log.address, "GET", path).json()["head"]


FIXTURES = {"running": make_running}


def test_new_process_starts_from_a_snapshot_and_then_without_log(running: Running) -> None:
    """
    A second instance gets ready after the log truncated its start, a third while the log is down.
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
