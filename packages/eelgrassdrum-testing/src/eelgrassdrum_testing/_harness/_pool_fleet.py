"""
A fleet of pools of one firm's size for tests: documents, instances and entry instances.
"""

import random

from eelgrassdrum_core import DOCUMENT_PUBLISHED, StoredRecord, Tuning
from eelgrassdrum_core._fleet_messages import (
    MAINTENANCE_ORDERED,
    MOVE_REQUESTED,
    maintenance_subject,
    move_subject,
)
from eelgrassdrum_core._fold import fold_record
from eelgrassdrum_core._log_follower import APPLIERS
from eelgrassdrum_core._state import Fold

from .._scenario import Scenario
from ._endpoints import add_endpoint
from ._entries import start_entry
from ._log import operator_append
from ._machines import add_machines, take_inventory
from ._world import World, advance

SHARD = "fleet"
SPARE_INSTANCES = 4
ROOM_ABOVE_TARGET = 2


def pool_document(scenario: Scenario, max_unavailable: int = 1) -> dict[str, object]:
    """
    Give a fleet's document with one pool per service, and a spare pool.

    :param scenario: the firm's sizes.
    :param max_unavailable: executors of each service that may be down.
    :returns: the rendered document.
    """
    count = scenario.executors
    size = {"min": count - 1, "target": count, "max": count + ROOM_ABOVE_TARGET}
    spare = {"min": 0, "target": SPARE_INSTANCES, "max": 4 * SPARE_INSTANCES}
    return {
        "name": SHARD,
        "zones": list(scenario.zones),
        "measures": {"roll_out_time": 3.0, "buffer_cost": 3.0, "closeness_to_share": 1.0},
        "services": [
            {"name": name, "executors": count, "max_unavailable": max_unavailable, "shared": True}
            for name in scenario.services
        ],
        "pools": [
            {"name": name, "role": "endpoint", "service": name, "size": size}
            for name in scenario.services
        ]
        + [{"name": "spare", "role": "endpoint", "size": spare, "spare": True}],
    }


def make_pool_fleet(
    seed: int,
    scenario: Scenario,
    *,
    entries_per_zone: int = 1,
    max_unavailable: int = 1,
    settle_s: float = 30.0,
) -> World:
    """
    Start entry instances and the instances of the pools, and let a controller take them in.

    :param seed: seed of every random choice.
    :param scenario: the firm's sizes.
    :param entries_per_zone: entry instances in each zone.
    :param max_unavailable: executors of each service that may be down.
    :param settle_s: virtual seconds to let pass.
    :returns: the world.
    """
    world = World(random.Random(seed))
    body = {
        "name": SHARD,
        "document": pool_document(scenario, max_unavailable),
        "author": "op",
        "comment": "",
    }
    operator_append(world, DOCUMENT_PUBLISHED, f"document/{SHARD}", 0, body)
    for name in scenario.services:
        add_machines(world, f"{SHARD}/{name}", scenario.executors, scenario.zones)
        # One listed endpoint tells how many requests an instance of the service runs.
        zone = scenario.zones[0]
        add_endpoint(world, f"ep-{name}", f"{SHARD}/{name}", zone, slots=scenario.slots)
    add_machines(world, f"{SHARD}/spare", SPARE_INSTANCES, scenario.zones)
    take_inventory(world)
    tuning = Tuning(entry_instances=len(scenario.zones) * entries_per_zone)
    for zone in scenario.zones:
        for number in range(entries_per_zone):
            start_entry(world, f"entry-{zone}{number}", zone, tuning)
    advance(world, settle_s)
    return world


def reference_fold(world: World) -> Fold:
    """
    Fold the whole log, as an instance would that sees every record at once.

    :param world: the world.
    :returns: the fold at the log's head.
    """
    fold = Fold()
    for offset, record in enumerate(world.log.records, start=1):
        fold_record(fold.position, APPLIERS, fold, StoredRecord(offset, record))
    return fold


def request_move(world: World, machine: str, pool: str, base: int) -> int:
    """
    Ask as an operator for an instance to move.

    :param world: the world.
    :param machine: the instance.
    :param pool: pool that it is to come to.
    :param base: revision of its moves that the operator has seen.
    :returns: the record's offset.
    """
    body = {"instance": machine, "pool": pool, "author": "op", "comment": ""}
    return operator_append(world, MOVE_REQUESTED, move_subject(machine), base, body)


def order_maintenance(world: World, action: str) -> int:
    """
    Give an order of maintenance as an operator, on top of all that the log holds.

    :param world: the world.
    :param action: ``start``, ``pause``, ``resume`` or ``abort``.
    :returns: the record's offset.
    """
    subject = maintenance_subject(SHARD)
    base = reference_fold(world).position.revisions.get(subject, 0)
    body = {"shard": SHARD, "action": action, "author": "op", "reason": "kernel"}
    return operator_append(world, MAINTENANCE_ORDERED, subject, base, body)
