"""
Upper limits: passes under faults, units left unused, and time to follow a shift of demand.

The baseline is an equal static split, in which each entry instance holds the same part of a
team's limit for good.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import NamedTuple
from unittest.mock import patch

from eelgrassdrum_core import State as CoreState
from eelgrassdrum_core import Team, Tuning, _limits
from eelgrassdrum_testing._harness import (
    LOG,
    QUEUE,
    TeamPlan,
    World,
    advance,
    crash_endpoint,
    key_text,
    kill_entry,
    later,
    make_fleet,
    pause_entry,
    start_entry,
    submit,
)

from ._measure import Bench, Measure, measure

STEP_S = 0.05
LIMIT = 36
# Enough that an entry instance's part of the slots is more than the limit.
SLOTS = 40
SMALL_LIMIT = 7
TEAMS = (TeamPlan("judges", 1.0, LIMIT), TeamPlan("members", 1.0, SMALL_LIMIT, 20.0))
LIMITS = {f"show/{team.name}": team.limit for team in TEAMS}
FAULT_SEEDS = 4
FAULT_RUN_S = 180.0
FAULTS_PER_STEP = 0.02
STEADY_S = 60.0
# Waiting requests kept at an instance that has callers.
BACKLOG = 20
MAX_UNUSED_SHARE = 0.10
MAX_SHIFT_S = 5.0
# Share of the limit that counts as all of it, since units change hands between two samples.
FULL_SHARE = 0.95


class Usage(NamedTuple):
    """
    Use of the larger team's limit over a run.

    :param unused_share: units left unused while requests waited, divided by the limit.
    :param appends_per_s: records appended each second.
    """

    unused_share: float
    appends_per_s: float


@contextmanager
def static_split() -> Iterator[None]:
    """
    Hold an equal part of each limit at each entry instance, whatever the log says.
    """

    def equal_part(state: CoreState, team: Team) -> int:
        return team.limit // state.tuning.entry_instances

    with patch.object(_limits, "usable_units", equal_part):
        yield


def make_world(seed: int) -> World:
    """
    Give a fleet of nine entry instances with more slots than the team's limit.

    :param seed: seed of the world.
    :returns: the world.
    """
    return make_fleet(seed, entries_per_zone=3, slots=SLOTS, run_s=0.3, teams=TEAMS, settle_s=6.0)


def running(world: World) -> Counter[str]:
    """
    Count running units.

    :param world: the world.
    :returns: units by team.
    """
    return Counter(run.team for e in world.endpoints.values() for run in e.running.values())


def feed(world: World, names: list[str], backlog: int = BACKLOG) -> None:
    """
    Keep requests of the larger team waiting at some instances.

    :param world: the world.
    :param names: the instances.
    :param backlog: requests that wait at each.
    """
    for name in names:
        entry = world.entries[name]
        for _ in range(backlog - entry.state.fair.queued.get(QUEUE, 0)):
            request_id = f"{entry.zone}.{world.next_token}"
            submit(world, entry, QUEUE, request_id, key=key_text("judges"), team="show/judges")


def measure_usage(seed: int, names: list[str]) -> Usage:
    """
    Measure how much of the limit stays unused while callers wait at some instances.

    :param seed: seed of the world.
    :param names: instances that have callers.
    :returns: the usage.
    """
    world = make_world(seed)
    unused = samples = 0
    for step in range(round((STEADY_S + MAX_SHIFT_S) / STEP_S)):
        feed(world, names)
        advance(world, STEP_S)
        if step * STEP_S >= MAX_SHIFT_S:
            unused += LIMIT - running(world)["show/judges"]
            samples += 1
    rate = world.log.appended / world.now_s
    return Usage(unused / samples / LIMIT, rate)


def measure_shift(seed: int) -> float:
    """
    Measure the time from a shift of all demand until the limit is in use again.

    :param seed: seed of the world.
    :returns: seconds, or infinity when it does not happen.
    """
    world = make_world(seed)
    names = list(world.entries)
    for _ in range(round(10.0 / STEP_S)):
        feed(world, names[:2])
        advance(world, STEP_S)
    shifted_s = world.now_s
    while world.now_s - shifted_s < 4 * MAX_SHIFT_S:
        feed(world, names[6:8])
        advance(world, STEP_S)
        new = sum(
            run.team == "show/judges" and run.holder.startswith(tuple(names[6:8]))
            for endpoint in world.endpoints.values()
            for run in endpoint.running.values()
        )
        if new >= FULL_SHARE * LIMIT:
            return world.now_s - shifted_s
    return float("inf")


def strike(world: World, rng: random.Random) -> None:
    """
    Bring about one fault.

    :param world: the world.
    :param rng: chooses it.
    """
    entry = rng.choice(list(world.entries.values()))
    endpoint = rng.choice(list(world.endpoints.values()))
    lasts_s = rng.choice((3.0, 20.0, 45.0, 70.0))
    zone = rng.choice("abc")

    def restart() -> None:
        start_entry(world, entry.id, entry.zone, Tuning())

    def isolate() -> None:
        cuts = {frozenset((zone, other)) for other in ("a", "b", "c", LOG) if other != zone}
        world.network.cuts |= cuts
        later(world, lasts_s, lambda: world.network.cuts.difference_update(cuts))

    def fail_log() -> None:
        world.log.outage = True
        later(world, lasts_s, lambda: setattr(world.log, "outage", False))

    def silence() -> None:
        endpoint.silent = True
        later(world, lasts_s, lambda: setattr(endpoint, "silent", False))

    def kill() -> None:
        kill_entry(world, entry)
        later(world, lasts_s, restart)

    faults: tuple[Callable[[], None], ...] = (
        kill,
        restart,
        isolate,
        fail_log,
        silence,
        lambda: pause_entry(world, entry, lasts_s),
        lambda: crash_endpoint(world, endpoint),
    )
    rng.choice(faults)()


def count_passes(seed: int) -> tuple[int, int]:
    """
    Count the samples in which a team ran more than its limit, in a run full of faults.

    :param seed: seed of the world and of the faults.
    :returns: such samples, and requests that ran.
    """
    rng = random.Random(seed)
    world = make_world(seed)
    world.log.lose_answers = 0.1
    world.network.drop = world.network.repeat = 0.05
    passes = 0
    while world.now_s < FAULT_RUN_S:
        for entry in [entry for entry in world.entries.values() if entry.alive]:
            team = rng.choice(TEAMS).name
            timeout_s = rng.choice((0.3, 2.0, 5.0))
            submit(
                world,
                entry,
                QUEUE,
                f"{entry.zone}.{world.next_token}",
                key=key_text(team),
                team=f"show/{team}",
                timeout_s=timeout_s,
            )
        if rng.random() < FAULTS_PER_STEP:
            strike(world, rng)
        advance(world, STEP_S)
        counts = running(world)
        passes += any(counts[team] > limit for team, limit in LIMITS.items())
    return passes, len(world.runs)


def bench_faults() -> Iterable[Measure]:
    """
    Count passes of the limit under faults.

    :returns: measures.
    """
    results = [count_passes(seed) for seed in range(FAULT_SEEDS)]
    passes = sum(result[0] for result in results)
    ran = sum(result[1] for result in results)
    yield measure("limits_passed_under_faults", passes, "samples", at_most=0)
    yield measure("limits_requests_run_under_faults", ran, "requests", at_least=1)


def bench_unused() -> Iterable[Measure]:
    """
    Compare units left unused with an equal static split.

    :returns: measures.
    """
    cases = {"even": slice(0, 9), "three_of_nine": slice(0, 3), "one_of_nine": slice(4, 5)}
    names = list(make_world(1).entries)
    for case, part in cases.items():
        usage = measure_usage(1, names[part])
        with static_split():
            split = measure_usage(1, names[part])
        yield measure(
            f"limits_unused_while_waiting_{case}",
            usage.unused_share,
            "share of limit",
            at_most=MAX_UNUSED_SHARE,
        )
        yield measure(f"limits_unused_{case}_static_split", split.unused_share, "share of limit")
        yield measure(f"limits_appends_{case}", usage.appends_per_s, "records/s", at_most=5.0)


def bench_shift() -> Iterable[Measure]:
    """
    Measure how fast units follow demand.

    :returns: measures.
    """
    yield measure("limits_recovery_after_shift", measure_shift(2), "s", at_most=MAX_SHIFT_S)
    with static_split():
        yield measure("limits_recovery_after_shift_static_split", measure_shift(2), "s")


def measure_dead_holder(seed: int) -> float:
    """
    Measure the time until the units of a dead holder are in use again.

    :param seed: seed of the world.
    :returns: seconds.
    """
    world = make_world(seed)
    names = list(world.entries)
    for _ in range(round(6.0 / STEP_S)):
        feed(world, names[:3])
        advance(world, STEP_S)
    kill_entry(world, world.entries[names[0]])
    killed_s = world.now_s
    advance(world, 1.0)
    while world.now_s - killed_s < 120.0:
        feed(world, names[1:3])
        advance(world, STEP_S)
        if running(world)["show/judges"] >= FULL_SHARE * LIMIT:
            break
    return world.now_s - killed_s


def bench_dead_holder() -> Iterable[Measure]:
    """
    Measure what a dead holder costs.

    :returns: measures.
    """
    yield measure("limits_dead_holder_units_back", measure_dead_holder(3), "s", at_most=60.0)


BENCHES: dict[str, Bench] = {
    "limits_faults": bench_faults,
    "limits_unused": bench_unused,
    "limits_shift": bench_shift,
    "limits_dead_holder": bench_dead_holder,
}
