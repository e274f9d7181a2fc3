"""
Generated schedules of faults for a fleet of pools: racks and waves of instances fail, operators
race, and controllers are replaced, paused or cut off in the middle of a step.
"""

from collections.abc import Callable
from typing import NamedTuple

from eelgrassdrum_core import Sender, events
from eelgrassdrum_core._fleet_messages import ServiceLoad, ServiceLoadReported
from eelgrassdrum_core._pools_forecast import QUANTILE_COUNT

from ._fleet_invariants import FINAL, check_fleet
from ._harness import (
    FAULTS,
    World,
    advance,
    deliver,
    fail_machine,
    kill_entry,
    later,
    make_pool_fleet,
    order_maintenance,
    pause_entry,
    reference_fold,
    request_move,
    start_entry,
)
from ._scenario import Scenario

STEP_S = 4.0
REPAIR_S = 20.0
# Long enough that another controller takes over meanwhile.
LONG_PAUSE_S = 40.0
# Long enough that decisions which wait for the log are made anew.
REFUSED_S = 12.0
REST_S = 150.0
BUSY_UNITS = 60
DEMAND_EVERY_S = 2.0
DEMAND_TURNS = 30
ENTRY_FAULTS = (
    "instance crashes, is replaced",
    "instance pauses past a lease",
    "two zones cut off",
    "zone cut off from everything",
    "zone cut off from the log",
    "log out",
    "log slow",
    "append answers lost",
    "peer messages lost and repeated",
)


class FleetRun(NamedTuple):
    """
    What came of one schedule.

    :param violations: broken rules.
    :param stops: planned stops that took effect.
    :param moves: moves that ended in another pool, and maintenances.
    :param takeovers: claims after the first of each shard.
    """

    violations: list[str]
    stops: int
    moves: int
    takeovers: int


def fail_rack(world: World) -> None:
    """
    Let every instance of one rack fail at the same moment.

    :param world: the world.
    """
    racks = sorted({machine.rack for machine in world.platform.machines.values()})
    rack = world.rng.choice(racks)
    for machine in world.platform.machines.values():
        if machine.rack == rack:
            fail_machine(world, machine, repair_s=REPAIR_S)


def fail_some(world: World) -> None:
    """
    Let two instances of different pools fail.

    :param world: the world.
    """
    for machine in world.rng.sample(list(world.platform.machines.values()), 2):
        fail_machine(world, machine, repair_s=REPAIR_S)


def fail_boots(world: World) -> None:
    """
    Let every reboot of the next while fail.

    :param world: the world.
    """
    for machine in world.platform.machines.values():
        machine.is_bad = True
    later(world, REPAIR_S, lambda: _mend_boots(world))


def stick_drains(world: World) -> None:
    """
    Let the next drains of two instances never end.

    :param world: the world.
    """
    for machine in world.rng.sample(list(world.platform.machines.values()), 2):
        machine.is_stuck = True
        later(world, REPAIR_S, lambda machine=machine: _unstick(machine))


def race_operators(world: World) -> None:
    """
    Let two operators ask for different moves of one instance, while the planner goes on.

    :param world: the world.
    """
    fold = reference_fold(world)
    name = world.rng.choice(sorted(fold.pools.instances))
    base = fold.position.revisions[f"move/{name}"]
    pools = sorted(fold.pools.members)
    for pool in world.rng.sample(pools, 2):
        request_move(world, name, pool, base)


def order_something(world: World) -> None:
    """
    Give an order of maintenance, mostly to begin or to go on.

    :param world: the world.
    """
    order_maintenance(world, world.rng.choice(("start", "resume", "resume", "pause", "abort")))


def replace_controller(world: World) -> None:
    """
    Kill the controller; its replacement of the same id comes a second later.

    :param world: the world.
    """
    entry = _controller(world)
    if entry is not None:
        kill_entry(world, entry)
        tuning = entry.state.tuning
        later(world, 1.0, lambda: start_entry(world, entry.id, entry.zone, tuning))


def pause_controller(world: World) -> None:
    """
    Freeze the controller until another one has taken over.

    :param world: the world.
    """
    entry = _controller(world)
    if entry is not None:
        pause_entry(world, entry, LONG_PAUSE_S)


def refuse_appends(world: World) -> None:
    """
    Let every append to the log fail for a while, though reads are answered.

    :param world: the world.
    """
    world.log.refuses_appends = True
    later(world, REFUSED_S, lambda: setattr(world.log, "refuses_appends", False))


def shift_demand(world: World) -> None:
    """
    Let one service have far more requests than its pool holds, and the others few, for a while.

    :param world: the world.
    """
    services = sorted({machine.pool for machine in world.platform.machines.values()})
    busy = world.rng.choice(services)
    rows = tuple(
        ServiceLoad(name, (BUSY_UNITS if name == busy else 1,) * QUANTILE_COUNT)
        for name in services
    )
    for turn in range(DEMAND_TURNS):
        later(world, turn * DEMAND_EVERY_S, lambda: report_load(world, rows))


def report_load(world: World, rows: tuple[ServiceLoad, ...]) -> None:
    """
    Tell every entry instance the load of one that is not in the harness.

    :param world: the world.
    :param rows: requests by service.
    """
    event = events.PeerReceived(Sender("entry-x", 1, "a"), ServiceLoadReported(rows))
    for entry in list(world.entries.values()):
        deliver(world, entry, event)


FLEET_FAULTS: dict[str, Callable[[World], None]] = {
    "rack fails": fail_rack,
    "instances fail": fail_some,
    "reboots fail": fail_boots,
    "drains do not end": stick_drains,
    "operators race": race_operators,
    "maintenance ordered": order_something,
    "demand shifts": shift_demand,
    "controller replaced": replace_controller,
    "controller paused": pause_controller,
    "appends refused": refuse_appends,
    **{name: FAULTS[name] for name in ENTRY_FAULTS},
}


def run_schedule(
    seed: int,
    scenario: Scenario,
    *,
    steps: int = 30,
    prepare: Callable[[World], None] | None = None,
) -> FleetRun:
    """
    Run one generated schedule and check every rule after each step.

    :param seed: seed of the schedule and the fleet.
    :param scenario: the firm's sizes.
    :param steps: faults and operators' wishes, in turn.
    :param prepare: done once before the first step.
    :returns: what came of it.
    """
    world = make_pool_fleet(seed, scenario)
    if prepare is not None:
        prepare(world)
    names = sorted(FLEET_FAULTS)
    violations: list[str] = []
    order_maintenance(world, "start")
    for step in range(steps):
        FLEET_FAULTS[world.rng.choice(names)](world)
        if step % 4 == 1:
            race_operators(world)
        if step % 4 == 3:
            order_maintenance(world, "resume")
        advance(world, STEP_S * world.rng.random())
        violations += check_fleet(world)
    advance(world, REST_S)
    violations += check_fleet(world, FINAL)
    return FleetRun(violations, len(world.platform.stops), _joined(world), _takeovers(world))


def _joined(world: World) -> int:
    return sum(machine.boots for machine in world.platform.machines.values())


def _takeovers(world: World) -> int:
    kinds = [record.kind for record in world.log.records]
    return kinds.count("controller.claimed") - 1


def _controller(world: World) -> object:
    claims = reference_fold(world).pools.claims.values()
    alive = [world.entries[claim.instance] for claim in claims]
    return next((entry for entry in alive if entry.alive), None)


def _mend_boots(world: World) -> None:
    for machine in world.platform.machines.values():
        machine.is_bad = False


def _unstick(machine: object) -> None:
    machine.is_stuck = False
    machine.busy_until_s = min(machine.busy_until_s, 0.0)
