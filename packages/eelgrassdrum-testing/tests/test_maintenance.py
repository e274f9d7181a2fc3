"""
Maintenance rounds in the harness, and the planner of waves.
"""

import random
from collections import Counter
from collections.abc import Iterator
from unittest import mock

from eelgrassdrum_core import _maintenance, _moves, _moves_fold, _waves_planner
from eelgrassdrum_core._waves_planner import plan_wave
from eelgrassdrum_core._waves_preview import apply_wave, preview
from eelgrassdrum_testing import _fleet_schedules as schedules
from eelgrassdrum_testing._fleet_invariants import FINAL, check_fleet
from eelgrassdrum_testing._harness import (
    World,
    advance,
    make_pool_fleet,
    order_maintenance,
    reference_fold,
)
from eelgrassdrum_testing._scenario import CONSORTIUM, GARTENSCHAU
from eelgrassdrum_testing.bench._bench_maintenance import make_view
from eelgrassdrum_testing.bench._wave_bound import Case, least_steps


def make_world() -> World:
    """
    Give a fleet of pools at rest.
    """
    return make_pool_fleet(6, GARTENSCHAU)


def make_cases() -> Iterator[list[Case]]:
    """
    Give small fleets of random sizes.
    """
    rng = random.Random(3)
    yield [
        Case(
            tuple(rng.randint(2, 7) for _ in range(3)),
            tuple(rng.randint(1, 3) for _ in range(3)),
            rng.randint(0, 4),
            2,
        )
        for _ in range(40)
    ]


FIXTURES = {"world": make_world, "cases": make_cases}


def run_until_done(world: World, limit_s: float = 400.0) -> float:
    """
    Let a round go on until every instance was rebooted, checking each rule, and give its time.
    """
    began_s = world.now_s
    while world.now_s - began_s < limit_s:
        advance(world, 2.0)
        assert check_fleet(world) == []
        if all(machine.boots for machine in world.platform.machines.values()):
            break
    return world.now_s - began_s


def test_a_round_reboots_each_instance_once() -> None:
    """In both firms' sizes a round reaches each instance, once, and leaves pools at their sizes."""
    for scenario in (GARTENSCHAU, CONSORTIUM):
        world = make_pool_fleet(6, scenario)
        order_maintenance(world, "start")
        assert run_until_done(world) < 400.0
        advance(world, 60.0)
        assert check_fleet(world, FINAL) == []
        assert {machine.boots for machine in world.platform.machines.values()} == {1}
        members = reference_fold(world).pools.members
        assert {len(members[f"fleet/{name}"]) for name in scenario.services} == {scenario.executors}


def test_old_instances_are_maintained_without_an_order() -> None:
    """An instance whose last boot is long ago is due by itself, and no other is touched."""
    world = make_pool_fleet(6, GARTENSCHAU, settle_s=0.0)
    old = world.platform.machines["fleet-results-2"]
    old.booted_at_s = -_maintenance.PERIOD_S
    world.platform.inventory.clear()
    advance(world, 60.0)
    boots = {machine.id: machine.boots for machine in world.platform.machines.values()}
    assert boots.pop(old.id) == 1
    assert not any(boots.values())


def test_a_round_pauses_when_its_instances_fail(world: World) -> None:
    """When reboots fail one after the other, the round stops itself, says why, and can go on."""
    for machine in world.platform.machines.values():
        machine.is_bad = True
    order_maintenance(world, "start")
    advance(world, 60.0)
    current = reference_fold(world).maintenance.rounds["fleet"]
    assert current.is_paused
    assert "maintained instances failed" in current.reason
    stops = len(world.platform.stops)
    for machine in world.platform.machines.values():
        machine.is_bad = False
    advance(world, 60.0)
    assert len(world.platform.stops) == stops
    order_maintenance(world, "resume")
    assert run_until_done(world) < 400.0


# Guards against stops that were decided while nothing could be appended and began after it.
def test_no_stop_begins_for_what_was_decided_before_the_appends_failed(world: World) -> None:
    """A round that a failed rack must pause stops nothing when the log takes appends again."""
    world.log.refuses_appends = True
    order_maintenance(world, "start")
    advance(world, 8.0)
    for machine in world.platform.machines.values():
        if machine.rack == "b-r1":
            schedules.fail_machine(world, machine, repair_s=120.0)
    advance(world, 12.0)
    assert world.platform.stops == []
    world.log.refuses_appends = False
    advance(world, 20.0)
    assert reference_fold(world).maintenance.rounds["fleet"].is_paused
    assert world.platform.stops == []


# Guards against a pause that was dropped with the evidence for it.
def test_a_pause_that_could_not_be_appended_is_proposed_again(world: World) -> None:
    """Maintained instances that fail while appends are refused pause the round afterwards."""
    order_maintenance(world, "start")
    while sum(machine.boots for machine in world.platform.machines.values()) < 7:
        advance(world, 1.0)
    advance(world, 20.0)
    instances = reference_fold(world).pools.instances
    back = [
        machine
        for machine in world.platform.machines.values()
        if machine.boots and instances[machine.id].step == "in_service"
    ]
    first = back[0]
    second = next(machine for machine in back if machine.rack != first.rack)
    world.log.refuses_appends = True
    for machine in (first, second):
        schedules.fail_machine(world, machine, repair_s=120.0)
    advance(world, 14.0)
    world.log.refuses_appends = False
    advance(world, 10.0)
    current = reference_fold(world).maintenance.rounds["fleet"]
    assert current.is_paused
    assert "maintained instances failed" in current.reason


def test_a_round_pauses_when_a_rack_fails(world: World) -> None:
    """Failures in one rack pause the round; an operator who resumes has accepted them."""
    order_maintenance(world, "start")
    advance(world, 8.0)
    for machine in world.platform.machines.values():
        if machine.rack == "b-r1" and machine.is_serving:
            schedules.fail_machine(world, machine, repair_s=120.0)
    advance(world, 20.0)
    current = reference_fold(world).maintenance.rounds["fleet"]
    assert current.is_paused
    assert current.reason.endswith("instances of rack b-r1 are down")
    order_maintenance(world, "resume")
    advance(world, 30.0)
    assert not reference_fold(world).maintenance.rounds["fleet"].is_paused
    assert check_fleet(world) == []


def test_an_aborted_round_calls_drains_back(world: World) -> None:
    """After an abort what drains returns, what has left comes back, and nothing more stops."""
    for machine in world.platform.machines.values():
        machine.is_stuck = True
    order_maintenance(world, "start")
    advance(world, 10.0)
    assert world.platform.stops
    order_maintenance(world, "abort")
    advance(world, 30.0)
    stops = len(world.platform.stops)
    machines = world.platform.machines.values()
    assert all(machine.is_serving for machine in machines)
    advance(world, 30.0)
    assert len(world.platform.stops) == stops
    order_maintenance(world, "abort")
    assert reference_fold(world).maintenance.rounds["fleet"].offset == 0


def test_the_check_of_budgets_sees_a_wave_too_wide(world: World) -> None:
    """If fold and planner of waves ignored the budgets, the check would say so."""
    room = mock.patch.object(_maintenance, "budget_of", lambda *_: mock.Mock(headroom=5))
    fold = mock.patch.object(_moves_fold, "may_stop", lambda *_: True)
    never = mock.patch.object(_moves, "_exceeds_budget", lambda *_: False)
    order_maintenance(world, "start")
    with room, fold, never:
        advance(world, 20.0)
    assert any(text.startswith("stops_keep_budgets") for text in check_fleet(world))


def test_waves_keep_budgets_and_reach_all(cases: list[Case]) -> None:
    """Each wave fits the room of each budget, and the waves together reach each instance."""
    for case in cases:
        view = make_view(case)
        reached: set[str] = set()
        for wave in preview(view):
            budgets = {pool.name: pool.budget for pool in view.pools}
            used = Counter(budgets[stop.origin] for stop in wave.stops)
            for name, count in used.items():
                assert name == "spare" or count <= view.budgets[name].headroom, case
            reached |= {stop.instance for stop in wave.stops}
            view = apply_wave(view, list(wave.stops))
        assert len(reached) == sum(case.due) + case.spares, case


def test_waves_are_near_the_exact_bound(cases: list[Case]) -> None:
    """Over small fleets the rounds take at most 1.15 times as many steps as the best."""
    few = cases[:12]
    planned = sum(len(preview(make_view(case))) for case in few)
    assert planned <= 1.15 * sum(least_steps(case) for case in few)


def test_the_bound_is_exact_where_it_is_plain() -> None:
    """Without spares a round takes the slowest budget's steps, and the spare shortens it."""
    assert least_steps(Case((6, 6), (1, 2), 0, 2)) == 6
    assert least_steps(Case((6,), (1,), 1, 2)) == 4


def test_a_wave_stays_in_one_zone_when_it_can() -> None:
    """The instances of one service that stop at the same time stand in one zone."""
    view = make_view(Case((6,), (2,), 0, 2))
    zones = {item.id: item.zone for pool in view.pools for item in pool.instances}
    stops = plan_wave(view)
    assert len(stops) == 2
    assert len({zones[stop.instance] for stop in stops}) == 1


def test_nothing_stops_without_room() -> None:
    """A budget that is used up by failures lets nothing stop."""
    assert plan_wave(make_view(Case((6,), (0,), 0, 2))) == []
    assert _waves_planner.waves_left(6, 0) > _waves_planner.waves_left(6, 1)
