"""
The log of a fleet at the size that the project is designed for.
"""

from collections.abc import Iterator
from typing import NamedTuple

from eelgrassdrum_core import DOCUMENT_PUBLISHED, KEY_GRANTED, Record, RecordId, StoredRecord

WORKSPACES = 46
CHANGES_PER_DAY = 23_000
ENDPOINTS_PER_SERVICE = 8


class FleetSize(NamedTuple):
    """
    What the log holds.

    :param teams: teams over all workspaces.
    :param pools: pools over all workspaces.
    :param instances: instances with a record of their own.
    :param changes: further changes of configuration after the fleet was set up.
    """

    teams: int = 460
    pools: int = 188
    instances: int = 8_200
    changes: int = CHANGES_PER_DAY


def make_log(size: FleetSize) -> Iterator[StoredRecord]:
    """
    Give every record of the log.

    Each instance is stood for by a key of its own, which takes about as much of the state.

    :param size: what the log holds.
    :returns: the records in offset order.
    """
    revisions: dict[str, int] = {}
    for offset, (kind, subject, body) in enumerate(_changes(size), 1):
        base = revisions.get(subject, 0)
        revisions[subject] = offset
        record_id = RecordId("operator", 1, offset)
        yield StoredRecord(offset, Record(record_id, kind, subject, base, body))


def _changes(size: FleetSize) -> Iterator[tuple[str, str, dict[str, object]]]:
    workspaces = min(WORKSPACES, size.teams)
    for number in range(workspaces):
        yield _document(size, number, 0)
    for number in range(size.teams):
        yield _key(number % workspaces, f"team-{number}", f"key-{number}")
    for number in range(size.instances):
        yield _key(number % workspaces, f"team-{number % size.teams}", f"instance-{number}")
    for number in range(size.changes):
        if number % 2:
            yield _document(size, number % workspaces, number)
        else:
            yield _key(number % workspaces, f"team-{number % size.teams}", f"change-{number}")


def _document(size: FleetSize, workspace: int, revision: int) -> tuple[str, str, dict[str, object]]:
    workspaces = min(WORKSPACES, size.teams)
    name = f"ws{workspace}"
    teams = range(workspace, size.teams, workspaces)
    pools = range(workspace, size.pools, workspaces)
    services = [{"name": "main", "executors": ENDPOINTS_PER_SERVICE, "max_unavailable": 1}]
    document = {
        "name": name,
        "services": services,
        "pools": [_pool(number) for number in pools],
        "queues": [{"name": "jobs", "service": "main", "access": "keyed", **QUEUE_BOUNDS}],
        "teams": [
            {"name": f"team-{number}", "share": 1.0 + revision % 7, "limit": 50 + number % 10}
            for number in teams
        ],
    }
    body = {"name": name, "document": document, "author": "op", "comment": f"change {revision}"}
    return DOCUMENT_PUBLISHED, f"document/{name}", body


QUEUE_BOUNDS = {"max_queued": 200, "max_bytes": 1_000_000, "max_wait_s": 5.0, "max_run_s": 60.0}


def _pool(number: int) -> dict[str, object]:
    size = {"min": 20, "target": 44, "max": 60}
    return {"name": f"pool-{number}", "role": "worker", "size": size}


def _key(workspace: int, team: str, key_id: str) -> tuple[str, str, dict[str, object]]:
    name = f"ws{workspace}"
    body = {
        "workspace": name,
        "key_id": key_id,
        "team": team,
        "digest": f"{hash_of(key_id):064x}",
        "queues": [],
    }
    return KEY_GRANTED, f"key/{name}/{key_id}", body


def hash_of(text: str) -> int:
    """
    Give a number for a text, the same in every run.

    :param text: the text.
    :returns: the number.
    """
    return int.from_bytes(text.encode()[:31])
