"""
The processes of the demonstration, and the documents that configure them.
"""

from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec

from eelgrassdrum_core import FLEET, digest_secret

from .. import _daemon as fleet
from .._instance_list import Instance
from .._layout import Addresses, endpoint_instances, entry_instances
from .._process import Process, Start, standin_command
from .._scenario import Scenario, Team, Workspace

STARTS_AT_A_TIME = 8
ROOT_SECRET = "demonstration"
ROOT_KEY = f"egd_root_{ROOT_SECRET}"
LIST_LAG_S = 1.0
LIMIT_FACTOR = 1.2
MIN_LIMIT = 12
MAX_QUEUED = 300
MAX_QUEUED_BYTES = 10_000_000
MAX_WAIT_S = 3.0
MAX_RUN_S = 10.0


class Entry(msgspec.Struct):
    """
    One entry instance.

    :param peer_address: ``IP:PORT`` for other entry instances.
    :param is_leaving: whether it was asked to stop.
    """

    id: str
    zone: str
    process: Process
    peer_address: str
    is_leaving: bool = False


class Fleet(msgspec.Struct):
    """
    Everything that runs, with the operator who configures it.

    :param entries: entry instances by id.
    :param endpoints: endpoints by id.
    :param keys: text of each team's key by ``WORKSPACE/TEAM``.
    :param replaced: entry instances that were stopped on the way.
    """

    scenario: Scenario
    start: Start
    platform: fleet.Platform
    writer: fleet.Writer
    entries: dict[str, Entry] = msgspec.field(default_factory=dict)
    endpoints: dict[str, Process] = msgspec.field(default_factory=dict)
    keys: dict[str, str] = msgspec.field(default_factory=dict)
    replaced: list[Entry] = msgspec.field(default_factory=list)


def start_fleet(scenario: Scenario, start: Start) -> Fleet:
    """
    Start the platform, the endpoints and the entry instances, and publish their configuration.

    :param scenario: sizes and customers.
    :param start: starts a process.
    :returns: the fleet, ready for callers and with every entry instance voting on claims.
    """
    platform = fleet.start_platform(start, LIST_LAG_S)
    made = Fleet(scenario, start, platform, fleet.Writer(platform.log.address))
    publish_all(made)
    with ThreadPoolExecutor(STARTS_AT_A_TIME) as executor:
        unplaced = endpoint_instances(scenario, lambda _name: Addresses(""))
        list(executor.map(lambda item: start_endpoint(made, item), unplaced))
        entries = entry_instances(scenario, lambda _name: Addresses(""))
        list(executor.map(lambda item: start_entry(made, item.id, item.zone), entries))
    for entry in made.entries.values():
        fleet.wait_ready(entry.process)
        fleet.wait_voting(entry.process)
    return made


def start_endpoint(made: Fleet, instance: Instance) -> None:
    """
    Start an endpoint and list it.

    :param made: the fleet, changed in place.
    :param instance: the endpoint without its address.
    """
    command = standin_command(
        "endpoint",
        instance_id=instance.id,
        slots=made.scenario.slots,
        work_ms_median=made.scenario.load.work_ms,
    )
    process = made.start(instance.id, command)
    made.endpoints[instance.id] = process
    listed = fleet.Endpoint(
        instance.id, instance.zone, f"{FLEET}/{instance.service}", made.scenario.slots
    )
    fleet.list_endpoint(made.platform, listed, process.address, "live")


def start_entry(made: Fleet, name: str, zone: str) -> Entry:
    """
    Start an entry instance and list it.

    :param made: the fleet, changed in place.
    :param name: its id.
    :param zone: its availability zone.
    :returns: the entry instance, which may not be ready yet.
    """
    process = fleet.start_daemon(
        made.start,
        made.platform,
        name,
        zone,
        root_digest=digest_secret(ROOT_SECRET),
        list_interval_s=0.5,
    )
    ready = next(line for line in process.output if '"peer_address"' in line and '"ready"' in line)
    entry = Entry(name, zone, process, msgspec.json.decode(ready)["peer_address"])
    made.entries[name] = entry
    list_entry(made, entry, "live")
    return entry


def list_entry(made: Fleet, entry: Entry, state: str) -> None:
    """
    Put an entry instance into the platform's list.

    :param made: the fleet.
    :param entry: the entry instance.
    :param state: ``live`` or ``leaving``.
    """
    listed = {
        "id": entry.id,
        "role": "entry",
        "zone": entry.zone,
        "address": entry.process.address,
        "peer_address": entry.peer_address,
        "state": state,
    }
    fleet.put_instance(made.platform, listed)


def find_exceptions(made: Fleet) -> list[str]:
    """
    Find the faults that entry instances have logged lately.

    :param made: the fleet.
    :returns: one text each.
    """
    found = []
    for entry in [*made.entries.values(), *made.replaced]:
        for line in entry.process.output:
            if '"instance.exception"' in line:
                fields = msgspec.json.decode(line)["fields"]
                found.append(f"{fields['error']}: {fields['message']}")
    return found


def publish_all(made: Fleet) -> None:
    """
    Publish the fleet's and every workspace's document, and grant each team a key.

    :param made: the fleet, changed in place.
    """
    scenario = made.scenario
    fleet.publish(made.writer, FLEET, fleet_document(scenario))
    for workspace in scenario.workspaces:
        fleet.publish(made.writer, workspace.id, workspace_document(scenario, workspace))
        for team in workspace.teams:
            key = fleet.grant_key(made.writer, workspace.id, team.id, f"key-{team.id}", "s3cret")
            made.keys[f"{workspace.id}/{team.id}"] = key


def fleet_document(scenario: Scenario) -> dict[str, Any]:
    """
    Write the document of the whole fleet.

    :param scenario: sizes and customers.
    :returns: the document.
    """
    return {
        "zones": list(scenario.zones),
        "measures": {"roll_out_time": 1.0, "buffer_cost": 1.0, "closeness_to_share": 1.0},
        "services": [
            {
                "name": service,
                "executors": scenario.executors,
                "max_unavailable": 1,
                "shared": True,
            }
            for service in scenario.services
        ],
    }


def workspace_document(scenario: Scenario, workspace: Workspace) -> dict[str, Any]:
    """
    Write a workspace's document: a queue for each service, and its teams.

    :param scenario: sizes and customers.
    :param workspace: the workspace.
    :returns: the document.
    """
    return {
        "queues": [_queue(service) for service in scenario.services],
        "teams": [
            {
                "name": team.id,
                "share": share_of(workspace, team),
                "limit": limit_of(scenario, workspace, team),
            }
            for team in workspace.teams
        ],
    }


def share_of(workspace: Workspace, team: Team) -> float:
    """
    Give a team's weight when the fleet is full.

    :param workspace: its workspace.
    :param team: the team.
    :returns: the weight, of 100 in all.
    """
    return round(100 * workspace.weight * team.weight, 3)


def limit_of(scenario: Scenario, workspace: Workspace, team: Team) -> int:
    """
    Give a team's upper limit.

    :param scenario: sizes and customers.
    :param workspace: its workspace.
    :param team: the team.
    :returns: requests that it may run at once over the whole fleet.
    """
    slots = len(scenario.services) * scenario.executors * scenario.slots
    return max(MIN_LIMIT, round(LIMIT_FACTOR * slots * workspace.weight * team.weight))


def limits(scenario: Scenario) -> dict[str, int]:
    """
    Give every team's upper limit.

    :param scenario: sizes and customers.
    :returns: limits by ``WORKSPACE/TEAM``.
    """
    return {
        name: limit_of(scenario, workspace, team) for name, workspace, team in all_teams(scenario)
    }


def all_teams(scenario: Scenario) -> Iterable[tuple[str, Workspace, Team]]:
    """
    List every team.

    :param scenario: sizes and customers.
    :returns: ``WORKSPACE/TEAM``, its workspace and itself.
    """
    for workspace in scenario.workspaces:
        for team in workspace.teams:
            yield f"{workspace.id}/{team.id}", workspace, team


def _queue(service: str) -> dict[str, Any]:
    return {
        "name": service,
        "service": f"{FLEET}/{service}",
        "access": "keyed",
        "max_queued": MAX_QUEUED,
        "max_bytes": MAX_QUEUED_BYTES,
        "max_wait_s": MAX_WAIT_S,
        "max_run_s": MAX_RUN_S,
    }
