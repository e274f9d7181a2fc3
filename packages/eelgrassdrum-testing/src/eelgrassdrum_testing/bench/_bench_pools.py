"""
Pools: what moves cost and bring under bursting queues, and what deciding costs at full size.
"""

import random
import time
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import NamedTuple

from eelgrassdrum_core import (
    DOCUMENT_PUBLISHED,
    Identity,
    Sender,
    Tuning,
    events,
    new_state,
    reduce,
)
from eelgrassdrum_core._config import apply_document
from eelgrassdrum_core._fleet_messages import DRAINING, InventoryInstance, InventoryReceived
from eelgrassdrum_core._fleet_state import DemandHistory
from eelgrassdrum_core._ids import RecordId
from eelgrassdrum_core._pools import Claim, FleetInstance, put_in_pool
from eelgrassdrum_core._pools_control import PLAN_EVERY_S, SAMPLE_EVERY_S, plan_shard
from eelgrassdrum_core._pools_forecast import add_samples, forecast_utilization, quantiles_of
from eelgrassdrum_core._pools_planner import PlannedMove, PoolNeed, Weights, plan_moves
from eelgrassdrum_core._records import Record
from eelgrassdrum_core._state import State

from .._fleet_invariants import FINAL
from .._fleet_schedules import run_schedule
from .._harness._pool_fleet import ROOM_ABOVE_TARGET, SPARE_INSTANCES
from .._scenario import CONSORTIUM, GARTENSCHAU, Scenario
from ._measure import Measure, measure

HOURS = 2
MOVE_S = 45
SHIFT_FACTOR = 2.0
SPARE = "spare"
FIRM_WEIGHTS = {"gartenschau": Weights(3.0, 3.0, 1.0), "consortium": Weights(1.0, 1.0, 3.0)}
SCHEDULE_SEEDS = range(100, 106)
# Sizes whose last is the size aimed at, and the part of a core that control may use.
PLAN_SIZES = ((2050, 47), (4100, 94), (8200, 188))
CORE_SHARE = 0.04
REPEATS = 5
TICK_S = 0.1
TICKS = 50
# Part of the fleet that is on the move.
MOVING_SHARE = 0.005

Sizes = dict[str, int]
Planner = Callable[[Sizes, dict[str, float], float], list[PlannedMove]]


class Replay(NamedTuple):
    """
    What a planner made of one replay of demand.

    :param unserved: instance-seconds of demand beyond what a pool held.
    :param idle: instance-seconds that no demand used, moves included.
    :param moves: instances moved.
    """

    unserved: float
    idle: float
    moves: int


def replay(scenario: Scenario, plan: Planner) -> Replay:
    """
    Let a planner follow bursting queues second by second.

    Each service bursts in turn; after half of the time the mean of one of them doubles.

    :param scenario: the firm's sizes and load.
    :param plan: chooses moves from sizes, demand and time.
    :returns: what came of it.
    """
    sizes = dict.fromkeys(scenario.services, scenario.executors) | {SPARE: SPARE_INSTANCES}
    arrivals: list[tuple[int, str]] = []
    unserved = idle = 0.0
    moves = 0
    for second in range(HOURS * 3600):
        while arrivals and arrivals[0][0] <= second:
            sizes[arrivals.pop(0)[1]] += 1
        demand = _demand(scenario, second)
        for name, size in sizes.items():
            wanted = demand.get(name, 0.0)
            unserved += max(0.0, wanted - size)
            idle += max(0.0, size - wanted)
        idle += len(arrivals)
        for move in plan(_expected(sizes, arrivals), demand, float(second)):
            if sizes[move.origin] > 0:
                sizes[move.origin] -= 1
                arrivals.append((second + MOVE_S, move.target))
                moves += 1
    return Replay(unserved, idle, moves)


def make_planner(scenario: Scenario) -> Planner:
    """
    Give the planner of the core with its own forecast.

    :param scenario: the firm's sizes.
    :returns: the planner.
    """
    histories = {name: DemandHistory() for name in scenario.services}
    samples: dict[str, list[float]] = {name: [] for name in scenario.services}
    weights = FIRM_WEIGHTS[scenario.name]

    def plan(sizes: Sizes, demand: dict[str, float], now_s: float) -> list[PlannedMove]:
        for name, counts in samples.items():
            counts.append(demand[name])
        if now_s % SAMPLE_EVERY_S == 0:
            for name, history in histories.items():
                add_samples(history, quantiles_of(samples[name], len(samples[name])), now_s)
                samples[name] = []
        if now_s % PLAN_EVERY_S:
            return []
        needs = [_need(scenario, name, sizes[name], histories.get(name)) for name in sizes]
        return plan_moves(needs, weights)

    return plan


def make_chaser(scenario: Scenario) -> Planner:
    """
    Give a planner that moves an instance whenever one pool is short and another is not.

    :param scenario: the firm's sizes.
    :returns: the planner.
    """
    least, largest = scenario.executors - 1, scenario.executors + ROOM_ABOVE_TARGET

    def plan(sizes: Sizes, demand: dict[str, float], now_s: float) -> list[PlannedMove]:
        short = [n for n in scenario.services if demand[n] > sizes[n] and sizes[n] < largest]
        free = [n for n in scenario.services if demand[n] < sizes[n] - 1 and sizes[n] > least]
        origins = [SPARE] * min(sizes[SPARE], 1) + free
        return [PlannedMove(o, t) for o, t in zip(origins, short, strict=False)]

    return plan


def hold(sizes: Sizes, demand: dict[str, float], now_s: float) -> list[PlannedMove]:
    """
    Move nothing: static pools, with the spare held back.
    """
    return []


def bench_bursts() -> Iterator[Measure]:
    """
    Compare the planner with static pools and with one that chases each burst.

    :returns: the measures.
    """
    for scenario in (GARTENSCHAU, CONSORTIUM):
        name = scenario.name
        planned = replay(scenario, make_planner(scenario))
        static = replay(scenario, hold)
        chased = replay(scenario, make_chaser(scenario))
        yield measure(
            f"pools.{name}.unserved",
            planned.unserved,
            "instance-seconds",
            baseline=static.unserved,
            at_most=1.0,
        )
        yield measure(
            f"pools.{name}.buffer",
            planned.idle,
            "instance-seconds",
            baseline=static.idle,
            at_most=1.0,
        )
        yield measure(f"pools.{name}.chaser_unserved", chased.unserved, "instance-seconds")
        yield measure(
            f"pools.{name}.moves", planned.moves, "moves", baseline=chased.moves, at_most=0.1
        )


def bench_schedules() -> Iterator[Measure]:
    """
    Count broken rules over generated schedules of faults.

    :returns: the measures.
    """
    for scenario in (GARTENSCHAU, CONSORTIUM):
        runs = [run_schedule(seed, scenario) for seed in SCHEDULE_SEEDS]
        prefix = f"pools.{scenario.name}"
        for rule in FINAL:
            name = rule.__name__
            broken = sum(text.startswith(f"{name}:") for run in runs for text in run.violations)
            yield measure(f"{prefix}.{name}.broken", broken, "times", at_most=0)
        stops = sum(run.stops for run in runs)
        yield measure(f"{prefix}.planned_stops", stops, "stops", at_least=1)
        takeovers = sum(run.takeovers for run in runs)
        yield measure(f"{prefix}.takeovers", takeovers, "claims", at_least=1)


def bench_plan_cost() -> Iterator[Measure]:
    """
    Take the processor time of one plan of everything, over three sizes.

    :returns: the measures; the last size is held to the part of a core that control may use.
    """
    for instances, pools in PLAN_SIZES:
        state = make_state(instances, pools)
        plan_s = min(_time(partial(_plan, state)) for _ in range(REPEATS))
        tick_s = _time(partial(_ticks, state)) / TICKS
        label = f"pools.plan.{instances}"
        yield measure(f"{label}.plan_ms", plan_s * 1e3, "ms")
        yield measure(f"{label}.tick_ms", tick_s * 1e3, "ms")
        share = plan_s / PLAN_EVERY_S + tick_s / TICK_S
        limit = CORE_SHARE if (instances, pools) == PLAN_SIZES[-1] else None
        yield measure(f"{label}.core_share", share, "of a core", at_most=limit)


def make_state(instances: int, pools: int) -> State:
    """
    Give the state of a controller of one large document.

    :param instances: instances of the fleet.
    :param pools: pools, one in twenty of them spare.
    :returns: the state, with a fresh inventory.
    """
    sender = Sender("entry-a0", 1, "a")
    state = new_state(Identity(sender, "127.0.0.1:1", "127.0.0.1:2"), Tuning())
    rng = random.Random(4)
    per_pool = instances // pools
    body = {"name": "fleet", "document": _document(pools, per_pool), "author": "", "comment": ""}
    record = Record(RecordId("op", 1, 1), DOCUMENT_PUBLISHED, "document/fleet", 0, body)
    assert apply_document(state.fold.config, 1, record) == ""
    state.fold.pools.claims["fleet"] = Claim(sender.instance, sender.incarnation, 2)
    state.log.caught_up = True
    seen = []
    for number in range(instances):
        name, pool = f"i{number}", f"fleet/p{number % pools}"
        zone = f"z{number % 16}"
        state.fold.pools.instances[name] = FleetInstance(pool, zone, f"{zone}-r{number // 64}")
        put_in_pool(state.fold.pools, name, pool)
        if number < instances * MOVING_SHARE:
            state.fold.pools.moving[name] = True
            state.fold.pools.instances[name].step = DRAINING
        seen.append(InventoryInstance(name, pool, zone, "", rng.random() > 0.01, 0.0))
    for number in range(pools):
        history = state.fleet.demand.setdefault(f"fleet/s{number}", DemandHistory())
        for second in range(40):
            add_samples(history, (rng.random() * 1.5 * per_pool,), second * 30.0)
    reduce(state, 2000.0, InventoryReceived(2000.0, 1.0, 0, 1, tuple(seen)))
    return state


def _plan(state: State) -> None:
    state.fleet.proposed.clear()
    for _ in plan_shard(state, "fleet"):
        pass


def _ticks(state: State) -> None:
    for _ in range(TICKS):
        _tick(state)


def _tick(state: State) -> None:
    # As much later as a tick, so that what is worked out once for each moment is worked out anew.
    state.fleet.moves_planned_s["fleet"] = state.now_s + TICK_S
    inventory = state.fleet.inventory
    inventory.requested_s = state.now_s
    reduce(state, state.now_s + TICK_S, events.Ticked())


def _document(pools: int, per_pool: int) -> dict[str, object]:
    size = {"min": max(1, per_pool // 2), "target": per_pool, "max": 2 * per_pool}
    return {
        "name": "fleet",
        "zones": ["a"],
        "measures": {"roll_out_time": 1.0, "buffer_cost": 1.0, "closeness_to_share": 1.0},
        "services": [
            {"name": f"s{n}", "executors": per_pool, "max_unavailable": per_pool // 5}
            for n in range(pools)
        ],
        "pools": [
            {"name": f"p{n}", "role": "endpoint", "service": f"s{n}", "size": size}
            for n in range(pools)
        ],
    }


def _time(action: Callable[[], object]) -> float:
    began_s = time.process_time()
    action()
    return time.process_time() - began_s


def _need(scenario: Scenario, name: str, size: int, history: DemandHistory | None) -> PoolNeed:
    count = scenario.executors
    if name == SPARE:
        return PoolNeed(name, "endpoint", 0, SPARE_INSTANCES, 16, True, size, size, [])
    largest = count + ROOM_ABOVE_TARGET
    used = forecast_utilization(history, count, largest)
    return PoolNeed(name, "endpoint", count - 1, count, largest, False, size, 1, used)


def _expected(sizes: Sizes, arrivals: list[tuple[int, str]]) -> Sizes:
    expected = dict(sizes)
    for _, name in arrivals:
        expected[name] += 1
    return expected


def _demand(scenario: Scenario, second: int) -> dict[str, float]:
    load = scenario.load
    mean = load.utilization * scenario.executors
    turn = int(second // load.burst_s) % len(scenario.services)
    demand = {
        name: mean * (load.burst_factor if number == turn else load.trough_factor)
        for number, name in enumerate(scenario.services)
    }
    if second >= HOURS * 1800:
        demand[scenario.services[0]] *= SHIFT_FACTOR
    return demand


BENCHES: dict[str, Callable[[], Iterable[Measure]]] = {
    "pools.bursts": bench_bursts,
    "pools.schedules": bench_schedules,
    "pools.plan_cost": bench_plan_cost,
}
