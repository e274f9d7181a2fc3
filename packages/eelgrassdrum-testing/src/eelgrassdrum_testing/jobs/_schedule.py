"""
Seeded schedules of faults over a small fleet.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from eelgrassdrum_core.jobs import model

from . import _rules
from ._answers import make_world
from ._faults import FAULTS, NAMED_FAULTS
from ._rules import Violation
from ._worker import JobWorker
from ._world import STANDBY, World, add_worker, look_up, run_until, submit

LOAD_S = 12.0
# Leases of former owners have to run out before the last work can start again.
CALM_S = 45.0
# Time in which the job that is submitted after the calm has to be completed.
PROBE_S = 12.0
PROBE_TASK_S = 4.0
PROBE_JOB = "f" * 16
JOBS = 40
# Part of the jobs whose tasks last until the job is cancelled.
LASTING_PART = 0.08
INSTANCES = 5
WORKERS = 6
CAPACITY = model.Resources(8_000, 64_000, 0)
LIMIT = model.Resources(26_000, 0, 0)


class ScheduleResult(NamedTuple):
    """
    What a schedule showed.

    :param moves: number of orders that moved an instance to another pool.
    :param crashes_by_tasks: number of crashes of workers that a task brought about.
    """

    seed: int
    faults: tuple[str, ...]
    starts: int
    accepted: int
    violations: tuple[Violation, ...]
    answered: Counter[str]
    moves: int
    crashes_by_tasks: int


def make_config(is_limited: bool = True) -> model.Config:
    """
    Give the configuration of a small fleet.

    :param is_limited: whether the workspace has a limit.
    :returns: the configuration.
    """
    queue = model.Queue("q", "host", "/q/", "service", 0, _rules.MAX_ATTEMPTS, 1.6, 600, False)
    limit = LIMIT if is_limited else model.NO_RESOURCES
    workspace = model.Workspace("a", frozenset({"key-a"}), 1.0, limit)
    return model.Config(
        1,
        {"q": queue},
        {"service": model.Service("service", False, False)},
        {"a": workspace},
        {"key-a": "a"},
        262_144,
    )


def random_spec(world: World, lasting_part: float = LASTING_PART) -> model.JobSpec:
    """
    Draw a job.

    :param world: gives the random numbers.
    :param lasting_part: part of the jobs whose tasks last until the job is cancelled.
    :returns: the job.
    """
    rng = world.rng
    steps = []
    for index in range(rng.choice((1, 1, 2, 3))):
        steps.append(
            model.Step(
                count=rng.randint(1, 5),
                need=(rng.choice((500, 1000, 2000)), 1000, 0),
                estimate_ms=rng.randint(100, 1500),
                after=(index - 1,) if index else (),
                max_per_worker=rng.choice((0, 0, 0, 2)),
            )
        )
    if rng.random() < lasting_part:
        steps = [model.Step(count=2, need=(500, 1000, 0), is_long_running=True, max_unavailable=1)]
    return model.JobSpec("payload", tuple(steps))


def run_schedule(
    seed: int,
    faults: tuple[str, ...] | None = None,
    is_moving: bool = False,
    lasting_part: float = LASTING_PART,
    drawn_from: Iterable[str] = FAULTS,
    weakness: Mapping[str, float] | None = None,
) -> ScheduleResult:
    """
    Run one schedule.

    :param seed: of all that is random.
    :param faults: the faults, or ``None`` to draw some.
    :param is_moving: whether there is a standby pool, so that instances are moved.
    :param lasting_part: part of the jobs whose tasks last until the job is cancelled.
    :param drawn_from: names of the faults to draw from, such as `FORMER_FAULTS`.
    :param weakness: fraction of the owner's load that an instance can't carry, by instance.
    :returns: what it showed.
    """
    config = make_config()
    if is_moving:
        standby = model.Service(STANDBY, False, True)
        config = config._replace(services={**config.services, STANDBY: standby})
    world = make_world(seed, INSTANCES, config, weakness)
    rng = world.rng
    world.judge.limits["a"] = LIMIT
    world.durations = lambda key: _draw_duration(world, key)
    for number in range(WORKERS):
        add_worker(world, number, "service", CAPACITY)
    if faults is None:
        faults = tuple(rng.sample(sorted(drawn_from), k=rng.randint(1, 4)))
    moments = sorted(
        [(rng.uniform(3.0, LOAD_S + 3.0), "fault", name) for name in faults]
        + [(rng.uniform(2.0, LOAD_S + 2.0), "job", f"{n:016x}") for n in range(JOBS)]
        + [
            (rng.uniform(2.0, LOAD_S + 20.0), "look", f"{rng.randrange(JOBS):016x}")
            for _ in range(60)
        ]
    )
    for at_s, kind, name in moments:
        run_until(world, at_s)
        _act(world, kind, name, lasting_part)
    run_until(world, LOAD_S + CALM_S)
    _probe(world)
    _judge_end(world)
    return ScheduleResult(
        seed,
        faults,
        world.judge.starts,
        len(world.judge.accepted),
        tuple(world.judge.violations),
        Counter(world.answered),
        sum(wave < 0 for _at_s, _instance, _token, wave in world.upkeep),
        world.crashes_by_tasks,
    )


def _act(world: World, kind: str, name: str, lasting_part: float) -> None:
    up = [other for other, instance in sorted(world.instances.items()) if instance.is_up]
    if kind == "fault":
        NAMED_FAULTS[name](world)
    elif up and kind == "job":
        at = world.rng.choice(up)
        submit(world, at, name, "key-a", random_spec(world, lasting_part))
    elif up:
        look_up(world, world.rng.choice(up), name, "key-a")


def _draw_duration(world: World, key: model.TaskKey) -> tuple[float, str]:
    if key.job == PROBE_JOB:
        return PROBE_TASK_S, "done"
    duration_s = world.rng.uniform(0.05, 2.0)
    return duration_s, "failed" if world.rng.random() < 0.03 else "done"


def _probe(world: World) -> None:
    """
    Submit a job that has one task for each worker, and judge whether all tasks start.
    """
    count = len(_usable_workers(world))
    up = [name for name, instance in sorted(world.instances.items()) if instance.is_up]
    if not up or not count:
        return
    step = model.Step(count=count, need=(500, 1000, 0), estimate_ms=4000, max_per_worker=1)
    submit(world, up[0], PROBE_JOB, "key-a", model.JobSpec("payload", (step,)))
    until_s = world.now_s + PROBE_S
    while world.now_s < until_s:
        run_until(world, world.now_s + _rules.CALM_STEP_S)
        owners = [
            instance.node
            for instance in world.instances.values()
            if instance.is_up and instance.node.ownership.is_owner
        ]
        if owners:
            jobs = owners[0].replicated.jobs
            _rules.on_calm(world.judge, world.now_s, _usable_workers(world), jobs)


def _usable_workers(world: World) -> list[JobWorker]:
    """
    Give the workers that are up on their instances and reachable.
    """
    return [
        worker
        for worker in world.workers.values()
        if worker.is_up
        and not (worker.is_cut or worker.is_draining)
        and worker.instance in world.rows
        and world.rows[worker.instance].worker == worker.id
    ]


def _judge_end(world: World) -> None:
    up = [instance for instance in world.instances.values() if instance.is_up]
    workers = [worker for worker in world.workers.values() if worker.is_up]
    for instance in up:
        jobs = instance.node.replicated.jobs
        _rules.on_end_of_world(world.judge, world.now_s, jobs, workers)
