"""
Maintenance: steps of a whole round against the exact bound and against racks one after the other.
"""

import random
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator

from eelgrassdrum_core._fleet_view import down_instances
from eelgrassdrum_core._maintenance import PLAN_EVERY_S, maintain_shard, view_of
from eelgrassdrum_core._maintenance_fold import Round
from eelgrassdrum_core._waves_planner import WaveBudget, WaveInstance, WavePool, WaveView
from eelgrassdrum_core._waves_preview import preview

from .._fleet_invariants import check_fleet
from .._harness import advance, make_pool_fleet, order_maintenance
from .._harness._pool_fleet import ROOM_ABOVE_TARGET, SPARE_INSTANCES
from .._scenario import CONSORTIUM, GARTENSCHAU, Scenario
from ._bench_pools import CORE_SHARE, PLAN_SIZES, make_state
from ._measure import Measure, measure
from ._wave_bound import Case, least_steps

ROLL_OUT_RATIO = 1.15
CASES = 60
CASE_SEED = 11
ROUND_LIMIT_S = 1000.0


def make_view(case: Case, zones: int = 3, racks: int = 2) -> WaveView:
    """
    Describe a case for the planner of waves.

    :param case: the fleet.
    :param zones: availability zones that the instances are spread over.
    :param racks: racks in each zone.
    :returns: plain data.
    """
    pools = []
    budgets = {"spare": WaveBudget(case.spares, 0)}
    for number, due in enumerate(case.due):
        name = f"p{number}"
        instances = tuple(_instance(f"{name}-{n}", n, zones, racks) for n in range(due))
        largest = due + case.room
        pools.append(WavePool(name, "endpoint", name, False, 0, due, largest, due, instances))
        budgets[name] = WaveBudget(case.width[number], 0)
    spares = tuple(_instance(f"spare-{n}", n, zones, racks) for n in range(case.spares))
    count = case.spares
    largest = count + sum(case.due)
    pools.append(WavePool("spare", "endpoint", "spare", True, 0, count, largest, count, spares))
    return WaveView(tuple(pools), budgets)


def rack_steps(view: WaveView) -> int:
    """
    Count the steps of a round that takes one rack after the other, within the budgets.

    :param view: the fleet.
    :returns: steps.
    """
    racks: dict[str, Counter[str]] = {}
    for pool in view.pools:
        for item in pool.instances:
            if not pool.spare:
                racks.setdefault(item.rack, Counter())[pool.budget] += 1
    return sum(
        max(-(-count // view.budgets[name].headroom) for name, count in counts.items())
        for counts in racks.values()
    )


def bench_roll_out() -> Iterator[Measure]:
    """
    Compare rounds of generated small fleets and of both firms with the bound and the baseline.

    :returns: the measures.
    """
    cases = _generated()
    planned = [len(preview(make_view(case))) for case in cases]
    least = [least_steps(case) for case in cases]
    yield measure(
        "maintenance.small.steps",
        sum(planned),
        "steps",
        baseline=sum(least),
        at_most=ROLL_OUT_RATIO,
    )
    worst = max(p / b for p, b in zip(planned, least, strict=True))
    yield measure("maintenance.small.worst_ratio", worst, "ratio")
    racks = sum(rack_steps(make_view(case)) for case in cases)
    yield measure(
        "maintenance.small.against_racks", sum(planned), "steps", baseline=racks, at_most=1.0
    )
    for scenario in (GARTENSCHAU, CONSORTIUM):
        yield from _firm(scenario)


def bench_rounds() -> Iterator[Measure]:
    """
    Run a whole round of each firm through the reducers, in virtual time.

    :returns: the measures.
    """
    for scenario in (GARTENSCHAU, CONSORTIUM):
        world = make_pool_fleet(CASE_SEED, scenario)
        order_maintenance(world, "start")
        began_s = world.now_s
        violations: list[str] = []
        machines = world.platform.machines.values()
        while not all(machine.boots for machine in machines) and world.now_s < ROUND_LIMIT_S:
            advance(world, 1.0)
            violations += check_fleet(world)
        prefix = f"maintenance.{scenario.name}"
        yield measure(f"{prefix}.round", world.now_s - began_s, "virtual seconds")
        yield measure(f"{prefix}.round_violations", len(violations), "times", at_most=0)
        missed = sum(not machine.boots for machine in machines)
        yield measure(f"{prefix}.round_missed", missed, "instances", at_most=0)


def bench_plan_cost() -> Iterator[Measure]:
    """
    Take the processor time of one plan of waves with everything due, over three sizes.

    :returns: the measures.
    """
    for instances, pools in PLAN_SIZES:
        state = make_state(instances, pools)
        state.fold.maintenance.rounds["fleet"] = Round(offset=5)
        began_s = time.process_time()
        stops = sum(1 for _ in maintain_shard(state, "fleet"))
        plan_s = time.process_time() - began_s
        view = view_of(state, "fleet", down_instances(state))
        began_s = time.process_time()
        waves = len(preview(view))
        preview_s = time.process_time() - began_s
        label = f"maintenance.plan.{instances}"
        yield measure(f"{label}.plan_ms", plan_s * 1e3, "ms")
        yield measure(f"{label}.stops", stops, "stops")
        yield measure(f"{label}.preview_ms", preview_s * 1e3, "ms")
        yield measure(f"{label}.waves", waves, "waves")
        limit = CORE_SHARE if (instances, pools) == PLAN_SIZES[-1] else None
        yield measure(f"{label}.core_share", plan_s / PLAN_EVERY_S, "of a core", at_most=limit)


def _firm(scenario: Scenario) -> Iterator[Measure]:
    services = len(scenario.services)
    count = scenario.executors
    case = Case((count,) * services, (1,) * services, SPARE_INSTANCES, ROOM_ABOVE_TARGET)
    view = make_view(case, len(scenario.zones))
    waves = preview(view)
    prefix = f"maintenance.{scenario.name}"
    yield measure(
        f"{prefix}.steps",
        len(waves),
        "steps",
        baseline=least_steps(case),
        at_most=ROLL_OUT_RATIO,
    )
    without = len(preview(view._replace(uses_spare=False)))
    yield measure(f"{prefix}.steps_without_spare", without, "steps")
    yield measure(
        f"{prefix}.against_racks", len(waves), "steps", baseline=rack_steps(view), at_most=1.0
    )
    moves = sum(stop.origin != stop.target for wave in waves for stop in wave.stops)
    yield measure(f"{prefix}.moves", moves, "moves")
    reboots = sum(len(wave.stops) for wave in waves)
    instances = services * count + SPARE_INSTANCES
    yield measure(f"{prefix}.reboots", reboots, "reboots", baseline=instances)


def _generated() -> list[Case]:
    rng = random.Random(CASE_SEED)
    cases = []
    for _ in range(CASES):
        budgets = rng.randint(2, 4)
        due = tuple(rng.randint(3, 8) for _ in range(budgets))
        width = tuple(rng.randint(1, 2) for _ in range(budgets))
        cases.append(Case(due, width, rng.randint(0, 3), ROOM_ABOVE_TARGET))
    return cases


def _instance(name: str, number: int, zones: int, racks: int) -> WaveInstance:
    zone = f"z{number % zones}"
    return WaveInstance(name, zone, f"{zone}-r{number // zones % racks}", True)


BENCHES: dict[str, Callable[[], Iterable[Measure]]] = {
    "maintenance.roll_out": bench_roll_out,
    "maintenance.rounds": bench_rounds,
    "maintenance.plan_cost": bench_plan_cost,
}
