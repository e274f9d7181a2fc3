"""
Pools under generated schedules of faults, and proof that each check can go red.
"""

from collections.abc import Callable
from unittest import mock

from eelgrassdrum_core import _fleet_messages as messages
from eelgrassdrum_core import _moves, _moves_fold, _pools_control
from eelgrassdrum_core._allowance_fold import rank
from eelgrassdrum_testing import _fleet_schedules as schedules
from eelgrassdrum_testing._fleet_invariants import FINAL, check_fleet
from eelgrassdrum_testing._harness import (
    World,
    advance,
    make_pool_fleet,
    pause_entry,
    reference_fold,
    request_move,
)
from eelgrassdrum_testing._scenario import CONSORTIUM, GARTENSCHAU

SEEDS = (1, 2, 3)
STEPS = 16
MOVED = "fleet-judging-0"


def make_world() -> World:
    """
    Give a fleet of pools at rest.
    """
    return make_pool_fleet(5, GARTENSCHAU)


FIXTURES = {"world": make_world}


def ask_move(world: World, machine: str, pool: str) -> None:
    """
    Ask as an operator for a move on top of all that the log holds.
    """
    base = reference_fold(world).position.revisions[f"move/{machine}"]
    request_move(world, machine, pool, base)


def broken_rules(world: World) -> set[str]:
    """
    Move an instance with a broken rule in force, and name the checks that see it.
    """
    ask_move(world, MOVED, "fleet/results")
    broken: set[str] = set()
    for _ in range(60):
        advance(world, 0.5)
        broken |= {text.partition(":")[0] for text in check_fleet(world)}
    return broken | {text.partition(":")[0] for text in check_fleet(world, FINAL)}


def test_rules_hold_under_generated_faults() -> None:
    """Whatever fails, races or is replaced, each rule of pools and planned stops holds."""
    for scenario in (GARTENSCHAU, CONSORTIUM):
        stops = 0
        for seed in SEEDS:
            run = schedules.run_schedule(seed, scenario, steps=STEPS)
            assert run.violations == [], (scenario.name, seed)
            stops += run.stops
        assert stops > 0


def test_a_move_ends_in_the_wanted_pool(world: World) -> None:
    """An operator's wish is carried out, with one reboot and nothing cut."""
    ask_move(world, MOVED, "fleet/results")
    advance(world, 60.0)
    machine = world.platform.machines[MOVED]
    assert (machine.pool, machine.is_serving, machine.boots) == ("fleet/results", True, 1)
    assert check_fleet(world, FINAL) == []


def test_another_controller_finishes_a_move(world: World) -> None:
    """A controller that is paused in the middle of a move is replaced, and can do no harm after."""
    claim = reference_fold(world).pools.claims["fleet"]
    ask_move(world, MOVED, "fleet/results")
    advance(world, 10.0)
    pause_entry(world, world.entries[claim.instance], 120.0)
    advance(world, 90.0)
    fold = reference_fold(world)
    assert fold.pools.claims["fleet"].instance != claim.instance
    assert fold.pools.instances[MOVED].pool == "fleet/results"
    advance(world, 120.0)
    assert check_fleet(world, FINAL) == []


def test_without_the_log_no_stop_begins_and_those_begun_are_parked(world: World) -> None:
    """In an outage of the log nothing new drains, and what had left is brought into service."""
    ask_move(world, MOVED, "fleet/results")
    while reference_fold(world).pools.instances[MOVED].step != messages.LEFT:
        advance(world, 0.5)
    stops = len(world.platform.stops)
    world.log.outage = True
    ask_move(world, "fleet-members-1", "fleet/spare")
    advance(world, 60.0)
    assert len(world.platform.stops) == stops
    machine = world.platform.machines[MOVED]
    assert (machine.pool, machine.is_serving) == ("fleet/results", True)
    assert check_fleet(world) == []


def test_the_spare_goes_where_the_demand_is(world: World) -> None:
    """Load that entry instances report brings spare instances to the pool that lacks them."""
    loads = {"fleet/judging": (60,) * 5, "fleet/results": (8,) * 5}
    rows = tuple(messages.ServiceLoad(name, levels) for name, levels in loads.items())
    for _ in range(300):
        schedules.report_load(world, rows)
        advance(world, 2.0)
    members = reference_fold(world).pools.members
    assert len(members["fleet/judging"]) == 8
    assert len(members["fleet/results"]) <= 6
    assert check_fleet(world, FINAL) == []


# Guards against an instance that was missing twice for a moment and taken for gone.
def test_an_instance_that_came_back_during_an_outage_is_kept(world: World) -> None:
    """An instance that is listed again while the log is out isn't missing since before."""
    name = "fleet-members-1"
    offset = reference_fold(world).position.revisions[f"move/{name}"]
    machine = world.platform.machines.pop(name)
    advance(world, 10.0)
    world.log.outage = True
    world.platform.machines[name] = machine
    advance(world, _pools_control.REMOVE_MISSING_AFTER_S)
    del world.platform.machines[name]
    advance(world, 3.0)
    world.log.outage = False
    advance(world, 10.0)
    world.platform.machines[name] = machine
    advance(world, 30.0)
    assert reference_fold(world).position.revisions[f"move/{name}"] == offset


def test_an_instance_that_is_gone_is_forgotten(world: World) -> None:
    """An instance that the platform no longer has leaves its pool after a while, not at once."""
    del world.platform.machines[MOVED]
    advance(world, 300.0)
    assert MOVED in reference_fold(world).pools.instances
    advance(world, 400.0)
    fold = reference_fold(world)
    assert MOVED not in fold.pools.instances
    assert MOVED not in fold.pools.members["fleet/judging"]


def test_an_idle_shard_returns_to_its_first_choice(world: World) -> None:
    """When the first choice is back for long enough, it takes its shard over from a stopgap."""
    first = reference_fold(world).pools.claims["fleet"].instance
    choice = _first_choice(world)
    stopgap = world.entries[choice]
    pause_entry(world, stopgap, 60.0)
    advance(world, 60.0)
    assert reference_fold(world).pools.claims["fleet"].instance != choice
    advance(world, 200.0)
    assert reference_fold(world).pools.claims["fleet"].instance == choice
    assert first in world.entries


def test_a_drain_that_does_not_end_is_called_back(world: World) -> None:
    """An instance whose work doesn't end goes back into service, and nothing is cut."""
    world.platform.machines[MOVED].is_stuck = True
    ask_move(world, MOVED, "fleet/results")
    with mock.patch.object(_moves, "DRAIN_LIMIT_DEFAULT_S", 20.0):
        advance(world, 60.0)
    machine = world.platform.machines[MOVED]
    assert (machine.pool, machine.is_serving) == ("fleet/judging", True)
    entry = world.entries[reference_fold(world).pools.claims["fleet"].instance]
    assert entry.state.fleet.drain_backoffs[MOVED].failed_drains == 1
    assert check_fleet(world) == []


def test_failures_call_drains_back(world: World) -> None:
    """When instances fail while one drains, the drain is called back to keep the budget."""
    world.platform.machines[MOVED].is_stuck = True
    ask_move(world, MOVED, "fleet/results")
    advance(world, 8.0)
    assert not world.platform.machines[MOVED].is_serving
    for machine in world.platform.machines.values():
        if machine.pool == "fleet/judging" and machine.id != MOVED and machine.zone == "b":
            schedules.fail_machine(world, machine, repair_s=60.0)
    advance(world, 10.0)
    assert world.platform.machines[MOVED].is_serving


def test_the_check_of_pools_sees_an_instance_in_two(world: World) -> None:
    """If a move left the instance in its old pool too, the check would say so."""
    keep = mock.patch.object(_moves_fold, "put_in_pool", _add_only)
    with keep:
        assert "one_pool_in_the_fold" in broken_rules(world)


def test_the_check_of_decisions_sees_a_difference(world: World) -> None:
    """If one entry instance decided otherwise, the check would say so."""
    entry = next(iter(world.entries.values()))
    entry.state.fold.pools.instances[MOVED].wanted = "fleet/results"
    assert any(text.startswith("one_decision") for text in check_fleet(world))


def test_the_check_of_service_sees_a_wrong_pool(world: World) -> None:
    """If an instance joined before it had left, the check would say so."""
    with mock.patch.object(_moves, "_call", _join_at_once):
        assert "serves_its_pool_only" in broken_rules(world)


def test_the_check_of_cuts_sees_a_reboot_too_early(world: World) -> None:
    """If an instance rebooted without a drain, the check would say so."""
    with mock.patch.object(_moves, "_call", _reboot_at_once):
        assert "stops_cut_nothing" in broken_rules(world)


def test_the_check_of_budgets_sees_a_stop_too_many(world: World) -> None:
    """If the fold and the planner ignored budgets, the check would say so."""
    always: Callable[..., bool] = lambda *_: True  # noqa: E731
    for number in range(3):
        ask_move(world, f"fleet-judging-{number}", "fleet/spare")
    never = mock.patch.object(_moves, "_exceeds_budget", lambda *_: False)
    fold, planner = (
        mock.patch.object(m, "may_stop", always) for m in (_moves_fold, _pools_control)
    )
    with fold, planner, never:
        assert "stops_keep_budgets" in broken_rules(world)


def test_the_check_of_rest_sees_a_forgotten_instance(world: World) -> None:
    """If an instance never came back into service, the check would say so."""
    world.platform.machines[MOVED].is_serving = False
    assert any(text.startswith("nothing_is_forgotten") for text in check_fleet(world, FINAL))


def _first_choice(world: World) -> str:
    return rank("controller/fleet", sorted(world.entries))[0]


def _add_only(pools: object, instance: str, pool: str) -> None:
    pools.members[pool].append(instance)
    pools.instances[instance].pool = pool


def _join_at_once(name: str, entry: object, progress: object) -> object:
    return messages.JoinPool(name, entry.target or entry.pool, entry.epoch)


def _reboot_at_once(name: str, entry: object, progress: object) -> object:
    return messages.RebootInstance(name, entry.epoch)
