"""
Endpoints: leaving with a late list, failing fast, and ways to choose one.
"""

from collections.abc import Iterator
from unittest.mock import patch

from eelgrassdrum_core import _endpoints as endpoints
from eelgrassdrum_core import _endpoints_health as health

from .._harness import World, advance, start_load
from .._invariants import LEAVING_BOUND_S
from ._fleet_load import CAPACITY_PER_S, make_world, mean, quantile, run_load
from ._measure import Bench, Measure, measure

SEEDS = (1, 2, 3)
RATE = 0.5 * CAPACITY_PER_S
LIST_LAG_S = 30.0
LOAD_S = 10.0
SLOW_FACTOR = 5
VICTIM = "ep-a0"


def leaving() -> Iterator[Measure]:
    """
    Give the age of the last new work at a leaving endpoint that refuses nothing.
    """
    last_s = max(_last_work_s(seed) for seed in SEEDS)
    with patch.object(health, "_probe_interval", lambda *_: None):
        unprobed_s = max(_last_work_s(seed) for seed in SEEDS)
    yield measure("leaving_last_work", last_s, "s", at_most=LEAVING_BOUND_S)
    yield measure("leaving_last_work_without_probes", unprobed_s, "s")
    world = make_world(SEEDS[0])
    before = world.probes
    advance(world, LOAD_S)
    pairs = len(world.entries) * len(world.endpoints)
    yield measure("probes_of_an_idle_fleet", (world.probes - before) / LOAD_S, "probes/s")
    yield measure("probes_for_each_pair", (world.probes - before) / LOAD_S / pairs, "probes/s")


def failing() -> Iterator[Measure]:
    """
    Compare what an endpoint gets that fails everything at once, with and without ejection.
    """
    with_ejection = _failed_part(SEEDS[0])
    with patch.object(health, "_eject", lambda *_: None):
        without = _failed_part(SEEDS[0])
    yield measure(
        "failing_endpoint_part_of_work", with_ejection, "1", baseline=without, at_most=0.5
    )


def choice() -> Iterator[Measure]:
    """
    Compare the least loaded endpoint with the better of two random ones, one endpoint being slow.
    """
    least = run_load(SEEDS[0], RATE, LOAD_S, _slow_down)
    with patch.object(endpoints, "pick_least_loaded", _pick_of_two):
        two = run_load(SEEDS[0], RATE, LOAD_S, _slow_down)
    yield measure("choice_mean_least_loaded", mean(least.waits_s), "s", baseline=mean(two.waits_s))
    yield measure(
        "choice_p99_least_loaded",
        quantile(least.waits_s, 0.99),
        "s",
        baseline=quantile(two.waits_s, 0.99),
    )


def _last_work_s(seed: int) -> float:
    world = make_world(seed)
    world.list_lag_s = LIST_LAG_S
    start_load(world, RATE, LOAD_S)
    advance(world, 1.0)
    victim = world.endpoints[VICTIM]
    victim.refuses_leaving = False
    victim.leaving_since_s = world.now_s
    advance(world, LOAD_S)
    runs = [run.sent_s for run in world.runs if run.endpoint == VICTIM]
    return max(runs) - victim.leaving_since_s


def _failed_part(seed: int) -> float:
    result = run_load(seed, RATE, LOAD_S, lambda world: _fail_fast(world))
    runs = result.world.runs
    return sum(run.endpoint == VICTIM for run in runs) / len(runs)


def _fail_fast(world: World) -> None:
    world.endpoints[VICTIM].fail_fast = True


def _slow_down(world: World) -> None:
    world.endpoints[VICTIM].run_s *= SLOW_FACTOR


def _pick_of_two(state, free):
    if len(free) <= 1:
        return free[0] if free else None
    own_zone = state.identity.sender.zone
    pair = state.rng.sample(free, 2)
    return min(pair, key=lambda e: (e.zone != own_zone, e.in_flight / e.slots))


BENCHES: dict[str, Bench] = {
    "endpoints_leaving": leaving,
    "endpoints_failing": failing,
    "endpoints_choice": choice,
}
