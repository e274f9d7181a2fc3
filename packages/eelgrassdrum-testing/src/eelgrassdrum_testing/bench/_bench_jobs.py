"""
Jobs: the delay that each step adds to a start, what starts cost the owner, and load patterns.
"""

import time
from collections.abc import Iterator

from eelgrassdrum_core.jobs import effects, model

from ..jobs import burst_beyond_room, make_world, owner_lost_in_a_burst, turning_demand
from ..jobs._schedule import make_config
from ..jobs._world import World, add_worker, later, run_until, submit
from ._fleet_load import quantile
from ._measure import Bench, Measure, measure

SETTLE_S = 3.0
CALM_JOBS = 200
CALM_INTERVAL_S = 0.05
# The objective of the shortest jobs leaves a second beyond their work; a sixteenth of it.
MOST_DELAY_MS = 60.0
STARTS_PER_S = 400
LOAD_S = 5.0
# An entry instance has about one core; half of it is left to callers.
MOST_OWNER_SHARE = 0.5
CAPACITY = model.Resources(32_000, 128_000, 0)
WORKERS = 30
ONE_TASK = model.JobSpec("x" * 1200, (model.Step(1, (500, 100, 0), 300),))
STEPS = ("job.accepted", "run.decided")


def _calm_world(instances: int) -> World:
    world = make_world(1, instances, make_config(is_limited=False))
    world.durations = lambda _key: (0.3, "done")
    for number in range(WORKERS):
        add_worker(world, number, "service", CAPACITY)
    run_until(world, SETTLE_S)
    return world


def start_delays() -> Iterator[Measure]:
    """
    Give the delay of a start on a calm day, in virtual time, by its steps.
    """
    world = _calm_world(3)
    sent: dict[str, float] = {}
    seen: dict[str, dict[str, float]] = {name: {} for name in (*STEPS, "ordered")}
    real = world.effects[effects.StartTask]
    write = world.effects[effects.WriteLine]

    def note_order(world: World, instance: object, effect: effects.StartTask) -> None:
        seen["ordered"][effect.key.job] = world.now_s
        real(world, instance, effect)

    def note_line(world: World, instance: object, effect: effects.WriteLine) -> None:
        if effect.action in STEPS:
            seen[effect.action].setdefault(effect.fields["job"], world.now_s)
        write(world, instance, effect)

    world.effects = {
        **world.effects,
        effects.StartTask: note_order,
        effects.WriteLine: note_line,
    }
    for number in range(CALM_JOBS):
        run_until(world, SETTLE_S + number * CALM_INTERVAL_S)
        job = f"{number:016x}"
        sent[job] = world.now_s
        submit(world, world.rng.choice(sorted(world.instances)), job, "key-a", ONE_TASK)
    run_until(world, world.now_s + 2.0)
    for name, times in seen.items():
        delays = [1000 * (at_s - sent[job]) for job, at_s in times.items()]
        yield measure(
            f"start_until_{name.replace('.', '_')}_p99", quantile(sorted(delays), 0.99), "ms"
        )
    total = [1000 * (at_s - sent[job]) for job, at_s in seen["ordered"].items()]
    yield measure("start_delay_p99", quantile(sorted(total), 0.99), "ms", at_most=MOST_DELAY_MS)


def owner_share() -> Iterator[Measure]:
    """
    Give the share of a core that the reducer of an owner takes at four hundred starts a second.
    """
    world = _calm_world(1)
    number = 0

    def hand_in() -> None:
        nonlocal number
        if number >= STARTS_PER_S * LOAD_S:
            return
        submit(world, "entry-0", f"{number:016x}", "key-a", ONE_TASK)
        number += 1
        later(world, 1 / STARTS_PER_S, hand_in)

    hand_in()
    began_s = time.process_time()
    run_until(world, SETTLE_S + LOAD_S)
    share = (time.process_time() - began_s) / LOAD_S
    # The stand-ins of store and workers are in it, so the owner alone takes less.
    yield measure("owner_share_at_400_starts", share, "core", at_most=MOST_OWNER_SHARE)


def patterns() -> Iterator[Measure]:
    """
    Give how well load patterns are served.
    """
    fixed, moving = turning_demand(False), turning_demand(True)
    yield measure(
        "turning_demand_in_time", moving.in_time, "part", baseline=fixed.in_time, at_least=1.0
    )
    yield measure(
        "turning_demand_instances", moving.instance_s, "s", baseline=fixed.instance_s, at_most=1.0
    )
    yield measure("burst_served_at_all", burst_beyond_room().at_all, "part", at_least=1.0)
    yield measure("gap_after_a_lost_owner", owner_lost_in_a_burst(), "s", at_most=2.2)


BENCHES: dict[str, Bench] = {
    "jobs_start_delays": start_delays,
    "jobs_owner_share": owner_share,
    "jobs_patterns": patterns,
}
