"""
Load patterns of the heaviest days, and how well they are served, without a network.
"""

import math
from typing import NamedTuple

from eelgrassdrum_core.jobs import model

from ._answers import make_world
from ._faults import FAULTS
from ._schedule import make_config
from ._store import REFUSING, SILENT, UP
from ._world import World, add_worker, run_until, submit

SETTLE_S = 4.0
CAPACITY = model.Resources(8_000, 64_000, 0)
SLACK_FACTOR = 1.6
TARGET_S = 0.6
CALM_S = 12.0
# Tenths of a second for which a queue has its burst.
TURN_TENTHS = 45
# A caller of the shortest jobs has this much to spare beyond their work.
ACCEPTED_S = 1.1
# Duration of an outage of the store; longer than the age up to which a configuration may be used.
SILENCE_S = 6.7
# A flood of one of several workspaces: its length, and how many times its usual that one sends.
FLOOD_S = 5.0
FLOOD_FACTOR = 7
FLOOD_WORKSPACES = 7
FLOOD_WORKERS = 10
# Two pools that flood at once: their workers, and from when to when each floods.
FLOODED_WORKERS = 20
FIRST_FLOOD_S = 8.0
SECOND_FLOOD_S = (2.0, 8.0)
SECOND_PRIORITY = 1


class Served(NamedTuple):
    """
    How a pattern was served.

    :param in_time: part of the jobs that met their objective.
    :param at_all: part of the jobs that ended within three times their objective.
    :param instance_s: seconds of instances in pools that were not the standby pool.
    :param late_s: mean of the seconds by which jobs missed their objective.
    """

    in_time: float
    at_all: float
    instance_s: float
    late_s: float


class Flood(NamedTuple):
    """
    How a flood of one workspace was served.

    :param flooding: the jobs of the workspace that floods the pool.
    :param others: the jobs of the others.
    :param both: all jobs.
    :param possible: part of the tasks for which there was room in time, in the best of all orders.
    :param refused: jobs of the flooding workspace and of the others that were refused at all.
    :param first_refused_s: when the first of each was refused; infinite if none was.
    :param accepted_in_time: part of the jobs that were accepted in the end which met their
        objective.
    :param open_jobs: accepted jobs that have not ended after the flood.
    :param violations: names of the rules that did not hold.
    """

    flooding: Served
    others: Served
    both: Served
    possible: float
    refused: tuple[int, int]
    first_refused_s: tuple[float, float]
    accepted_in_time: float
    open_jobs: int
    violations: frozenset[str]


def turning_demand(is_moving: bool, seed: int = 1) -> Served:
    """
    Two queues that ask by turns for more than their pool holds, and for nothing in between.

    :param is_moving: whether there is a standby pool, so that instances are moved.
    :param seed: of all that is random.
    :returns: how it was served.
    """
    config = _two_queues(is_moving)
    world = make_world(seed, 3, config)
    world.durations = lambda _key: (0.8, "done")
    for number in range(8):
        add_worker(world, number, ("left", "right")[number % 2], CAPACITY)
    run_until(world, SETTLE_S)
    submitted: dict[str, tuple[float, float]] = {}
    instance_s = 0.0
    for tenth in range(160):
        at_s = SETTLE_S + tenth / 10
        run_until(world, at_s)
        queue = "left" if tenth < 80 else "right"
        if tenth % 80 < 60:
            _submit(world, submitted, queue, f"{tenth:016x}", 5, 0.8)
        instance_s += sum(row.pool != "standby" for row in world.rows.values()) / 10
    run_until(world, world.now_s + CALM_S)
    return served(world, submitted, instance_s)


def rotating_demand(tasks: int = 5, seed: int = 1) -> Served:
    """
    Four queues have a burst in turn, twice each, with ten jobs a second. A caller in each second
    comes to one of the others. Then no more work comes for some time.

    :param tasks: tasks of each job; five of them take five of the sixty workers.
    :param seed: of all that is random.
    :returns: how it was served.
    """
    names = ("north", "east", "south", "west")
    world = make_world(seed, 3, _queues_of(names, True))
    world.durations = lambda _key: (0.8, "done")
    for number in range(60):
        add_worker(world, number, names[number % 4], CAPACITY)
    run_until(world, SETTLE_S)
    submitted: dict[str, tuple[float, float]] = {}
    instance_s = 0.0
    for tenth in range(8 * TURN_TENTHS + round(CALM_S * 10)):
        run_until(world, SETTLE_S + tenth / 10)
        turn = tenth // TURN_TENTHS
        if turn < 8:
            _submit(world, submitted, names[turn % 4], f"{tenth:016x}", tasks, 0.8)
            if tenth % 10 == 0:
                _submit(world, submitted, names[(turn + 2) % 4], f"{tenth:015x}f", 1, 0.8)
        instance_s += sum(row.pool != "standby" for row in world.rows.values()) / 10
    return served(world, submitted, instance_s)


def burst_beyond_room(seed: int = 1) -> Served:
    """
    A burst of one queue that asks for half as much again as all workers hold, for four seconds.

    :param seed: of all that is random.
    :returns: how it was served.
    """
    world = make_world(seed, 3, make_config(is_limited=False))
    world.durations = lambda _key: (0.8, "done")
    for number in range(6):
        add_worker(world, number, "service", CAPACITY)
    run_until(world, SETTLE_S)
    submitted: dict[str, tuple[float, float]] = {}
    for tenth in range(40):
        run_until(world, SETTLE_S + tenth / 10)
        _submit(world, submitted, "q", f"{tenth:016x}", 9, 0.8)
    run_until(world, world.now_s + CALM_S)
    return served(world, submitted, 0.0)


def flood_of_one_workspace(
    seed: int = 1, flood_s: float = FLOOD_S, factor: int = FLOOD_FACTOR, fault: str = ""
) -> Flood:
    """
    For five seconds, seven workspaces ask for twice the room of a pool: one sends seven times its
    usual, each of the others as much as its share. Declared durations are off by up to 90%.
    Callers that are refused for load come again as the platform's do.

    :param seed: of all that is random.
    :param flood_s: how long that lasts.
    :param factor: how many times its usual the one sends.
    :param fault: name of a fault that strikes in the middle of it, or empty.
    :returns: how the workspaces were served.
    """
    names = [f"workspace-{number}" for number in range(FLOOD_WORKSPACES)]
    world = make_world(seed, 3, _config_of_workspaces(names))
    world.durations = lambda _key: (0.8, "done")
    for number in range(FLOOD_WORKERS):
        add_worker(world, number, "service", CAPACITY)
    run_until(world, SETTLE_S)
    flooding: dict[str, tuple[float, float]] = {}
    others: dict[str, tuple[float, float]] = {}
    tasks = 0
    for hundredth in range(0, round(flood_s * 100), 5):
        run_until(world, SETTLE_S + hundredth / 100)
        if fault and hundredth == round(flood_s * 10) * 5:
            FAULTS[fault](world)
        for number in range(FLOOD_WORKSPACES):
            jobs = factor if number == 0 else 1
            # Each workspace sends a job every quarter of a second, and one of them more.
            if (hundredth // 5 + number) % 5:
                continue
            for index in range(jobs):
                count = world.rng.randint(1, 5)
                tasks += count
                job = f"{hundredth:012x}{number:02x}{index:02x}"
                step = model.Step(
                    count=count,
                    need=(1_000, 1_000, 0),
                    estimate_ms=round(800 * world.rng.uniform(0.1, 1.9)),
                )
                submitted = others if number else flooding
                submitted[job] = (world.now_s, SLACK_FACTOR * 0.8 + TARGET_S)
                up = [name for name, instance in world.instances.items() if instance.is_up]
                entry = world.rng.choice(sorted(up))
                spec = model.JobSpec("payload", (step,))
                submit(world, entry, job, f"key-{names[number]}", spec, f"/q/{job}")
    run_until(world, world.now_s + CALM_S)
    slots = FLOOD_WORKERS * CAPACITY.millicores // 1_000
    longest_wait_s = (SLACK_FACTOR - 1) * 0.8 + TARGET_S
    possible = min(1.0, slots * (flood_s + longest_wait_s) / 0.8 / tasks)
    both = served(world, {**others, **flooding}, 0.0)
    groups = (flooding, others)
    refused_s = [
        [world.refused_s[job][0] for job in group if job in world.refused_s] for group in groups
    ]
    accepted = {
        job: at for group in groups for job, at in group.items() if job in world.judge.accepted
    }
    replicated = next(iter(world.instances.values())).node.replicated
    return Flood(
        served(world, flooding, 0.0),
        served(world, others, 0.0),
        both,
        possible,
        (len(refused_s[0]), len(refused_s[1])),
        (min(refused_s[0], default=math.inf), min(refused_s[1], default=math.inf)),
        served(world, accepted, 0.0).in_time,
        len(replicated.open_jobs),
        frozenset(violation.rule for violation in world.judge.violations),
    )


def two_floods(is_moving: bool, seed: int = 1) -> tuple[Served, Served]:
    """
    One queue floods with one and a half times the room of all workers. Soon after it a queue of low
    priority and another pool asks for three eighths of it.

    :param is_moving: whether there is a standby pool, so that instances are moved.
    :param seed: of all that is random.
    :returns: how the first queue was served, and the second one.
    """
    config = _two_queues(is_moving)
    second = config.queues["right"]._replace(priority=SECOND_PRIORITY)
    world = make_world(seed, 3, config._replace(queues={**config.queues, "right": second}))
    world.durations = lambda _key: (0.8, "done")
    for number in range(FLOODED_WORKERS):
        add_worker(world, number, ("left", "right")[number % 2], CAPACITY)
    # Until then, instances that nothing needs are on standby.
    begin_s = 2 * SETTLE_S
    run_until(world, begin_s)
    left: dict[str, tuple[float, float]] = {}
    right: dict[str, tuple[float, float]] = {}
    for tenth in range(round(FIRST_FLOOD_S * 10)):
        run_until(world, begin_s + tenth / 10)
        for number in range(3):
            _submit(world, left, "left", f"{tenth:014x}{number:02x}", 10, 0.8)
        if SECOND_FLOOD_S[0] <= tenth / 10 < SECOND_FLOOD_S[1]:
            _submit(world, right, "right", f"{tenth:014x}ff", 8, 0.8)
    run_until(world, world.now_s + CALM_S)
    return served(world, left, 0.0), served(world, right, 0.0)


def burst_of_large_tasks(seed: int = 1) -> Served:
    """
    A burst of tasks that need few processors and a quarter of a worker's memory each, for two
    thirds of all workers.

    :param seed: of all that is random.
    :returns: how it was served.
    """
    world = make_world(seed, 3, _two_queues(True))
    world.durations = lambda _key: (0.8, "done")
    for number in range(12):
        add_worker(world, number, ("left", "right")[number % 2], CAPACITY)
    run_until(world, SETTLE_S)
    submitted: dict[str, tuple[float, float]] = {}
    for tenth in range(60):
        run_until(world, SETTLE_S + tenth / 10)
        need = (500, CAPACITY.memory_mb // 4, 0)
        _submit(world, submitted, "left", f"{tenth:016x}", 4, 0.8, need)
    run_until(world, world.now_s + CALM_S)
    return served(world, submitted, 0.0)


def _config_of_workspaces(names: list[str]) -> model.Config:
    base = make_config(is_limited=False)
    workspaces = {
        name: model.Workspace(name, frozenset({f"key-{name}"}), 1.0, model.NO_RESOURCES)
        for name in names
    }
    keys = {f"key-{name}": name for name in names}
    return base._replace(workspaces=workspaces, workspace_of_key=keys)


def workers_stall_in_a_burst(seed: int = 1) -> Served:
    """
    Tasks stand still on a third of the workers for six seconds, while half of all room is in use.

    :param seed: of all that is random.
    :returns: how it was served.
    """
    world = make_world(seed, 3, make_config(is_limited=False))
    world.durations = lambda _key: (0.8, "done")
    for number in range(6):
        add_worker(world, number, "service", CAPACITY)
    run_until(world, SETTLE_S)
    submitted: dict[str, tuple[float, float]] = {}
    for tenth in range(80):
        run_until(world, SETTLE_S + tenth / 10)
        if tenth == 20:
            FAULTS["workers_stall"](world)
        _submit(world, submitted, "q", f"{tenth:016x}", 3, 0.8)
    run_until(world, world.now_s + CALM_S)
    return served(world, submitted, 0.0)


def zone_cut_in_a_burst(seed: int = 1) -> Served:
    """
    All workers of one zone of three are cut off for six seconds, while jobs of two to twelve tasks
    use half of all room.

    :param seed: of all that is random.
    :returns: how it was served.
    """
    world = make_world(seed, 3, make_config(is_limited=False))
    world.durations = lambda _key: (0.8, "done")
    for number in range(9):
        add_worker(world, number, "service", CAPACITY)
    run_until(world, SETTLE_S)
    submitted: dict[str, tuple[float, float]] = {}
    for tenth in range(80):
        run_until(world, SETTLE_S + tenth / 10)
        if tenth in (20, 80):
            for worker in world.workers.values():
                worker.is_cut = tenth == 20 and worker.zone == "zone-1"
        if tenth % 3:
            _submit(world, submitted, "q", f"{tenth:016x}", world.rng.randint(2, 12), 0.8)
    run_until(world, world.now_s + CALM_S)
    return served(world, submitted, 0.0)


def demand_turns_without_store(is_away: bool, seed: int = 1) -> Served:
    """
    The demand turns from one queue to another while the store turns everybody away for seven
    seconds. Only the jobs submitted from then on are counted.

    :param is_away: whether the store is away; otherwise the demand turns when it would be back.
    :param seed: of all that is random.
    :returns: how it was served.
    """
    world = make_world(seed, 3, _two_queues(True))
    world.durations = lambda _key: (0.8, "done")
    for number in range(12):
        add_worker(world, number, ("left", "right")[number % 2], CAPACITY)
    run_until(world, SETTLE_S)
    submitted: dict[str, tuple[float, float]] = {}
    for tenth in range(170):
        run_until(world, SETTLE_S + tenth / 10)
        if is_away and tenth in (40, 110):
            world.store.state = REFUSING if tenth == 40 else UP
        job = f"{tenth:016x}"
        if tenth < 38:
            _submit(world, {}, "left", job, 5, 0.8)
        elif tenth >= (100 if is_away else 110):
            _submit(world, submitted if tenth >= 110 else {}, "right", job, 6, 0.8)
    run_until(world, world.now_s + CALM_S)
    return served(world, submitted, 0.0)


def backlog_after_outage(seed: int = 1) -> tuple[Served, Served]:
    """
    Callers come again at once after an outage, with jobs for three seconds of all room. From then
    on jobs ask for half of the room.

    :param seed: of all that is random.
    :returns: how the jobs of the outage were served, and the later ones.
    """
    world = make_world(seed, 3, make_config(is_limited=False))
    world.durations = lambda _key: (0.8, "done")
    for number in range(3):
        add_worker(world, number, "service", CAPACITY)
    run_until(world, SETTLE_S)
    backlog: dict[str, tuple[float, float]] = {}
    fresh: dict[str, tuple[float, float]] = {}
    for number in range(45):
        _submit(world, backlog, "q", f"{number:016x}", 2, 0.8)
    for tenth in range(60):
        run_until(world, SETTLE_S + tenth / 10)
        _submit(world, fresh, "q", f"{100 + tenth:016x}", 1 + tenth % 2, 0.8)
    run_until(world, world.now_s + CALM_S)
    return served(world, backlog, 0.0), served(world, fresh, 0.0)


def slow_store_with_many_instances(seed: int = 1) -> float:
    """
    Fifteen instances take jobs, while an append takes up the log for a tenth of a second.

    :param seed: of all that is random.
    :returns: part of the jobs that were accepted within `ACCEPTED_S`.
    """
    world = make_world(seed, 15, make_config(is_limited=False))
    world.durations = lambda _key: (0.3, "done")
    for number in range(6):
        add_worker(world, number, "service", CAPACITY)
    run_until(world, SETTLE_S)
    world.store.append_s, world.store.delay_s = 0.1, 0.1
    given: list[tuple[float, str]] = []
    for step in range(200):
        run_until(world, SETTLE_S + step * 0.025)
        job = f"{step:016x}"
        given.append((world.now_s, job))
        _submit(world, {}, "q", job, 1, 0.3)
    in_time = 0
    for at_s, job in given:
        run_until(world, max(world.now_s, at_s + ACCEPTED_S))
        in_time += (
            job in world.judge.accepted_s and world.judge.accepted_s[job] <= at_s + ACCEPTED_S
        )
    return in_time / len(given)


def owner_lost_in_a_burst(seed: int = 1) -> float:
    """
    The owner is killed in the middle of a burst.

    :param seed: of all that is random.
    :returns: seconds in which no task starts.
    """
    world = make_world(seed, 3, make_config(is_limited=False))
    world.durations = lambda _key: (0.5, "done")
    for number in range(6):
        add_worker(world, number, "service", CAPACITY)
    run_until(world, SETTLE_S)
    submitted: dict[str, tuple[float, float]] = {}
    starts = 0
    longest_s = quiet_s = 0.0
    for step in range(400):
        run_until(world, SETTLE_S + step / 50)
        if step % 10 == 0:
            _submit(world, submitted, "q", f"{step:016x}", 2, 0.5)
        if step == 150:
            FAULTS["kill_owner"](world)
        quiet_s = 0.0 if world.judge.starts > starts else quiet_s + 0.02
        starts = world.judge.starts
        longest_s = max(longest_s, quiet_s)
    return longest_s


def silent_store_returns(is_owner_cut: bool = False, seed: int = 1) -> float:
    """
    The store answers nobody for `SILENCE_S`, while callers keep coming to every instance.

    :param is_owner_cut: whether the owner is cut off from the store and from the other instances
        in the second half of the outage, and stays so.
    :param seed: of all that is random.
    :returns: seconds from the return of the store until every instance that is not cut off has
        accepted a job.
    """
    world = make_world(seed, 3, make_config(is_limited=False))
    world.durations = lambda _key: (0.3, "done")
    for number in range(6):
        add_worker(world, number, "service", CAPACITY)
    # The seed moves the outage against the ticks and reads of the instances.
    begin_s = SETTLE_S + world.rng.random()
    run_until(world, begin_s)
    world.store.state = SILENT
    return_s = begin_s + SILENCE_S
    cut = {
        name
        for name, instance in world.instances.items()
        if is_owner_cut and instance.node.ownership.is_owner
    }
    given: dict[str, str] = {}
    for step in range(round((SILENCE_S + CALM_S / 4) * 50)):
        run_until(world, begin_s + step / 50)
        if world.now_s >= begin_s + SILENCE_S / 2:
            for name in cut:
                _cut(world, name)
        if world.now_s >= return_s:
            world.store.state = UP
        name = f"entry-{step % 3}"
        given[f"{step:016x}"] = name
        step_of_work = model.Step(count=1, need=(100, 100, 0), estimate_ms=300)
        spec = model.JobSpec("payload", (step_of_work,))
        submit(world, name, f"{step:016x}", "key-a", spec)
    first_s: dict[str, float] = {}
    for job, at_s in world.judge.accepted_s.items():
        if at_s >= return_s and job in given:
            first_s.setdefault(given[job], at_s)
    return max(first_s.get(name, world.now_s) for name in world.instances.keys() - cut) - return_s


def owner_cut_without_store(is_healed: bool, seed: int = 1) -> list[float]:
    """
    The store answers nobody for `SILENCE_S`, and the owner is cut off from it and from the other
    instances in the second half. Records that it wrote just before are read after the return.

    :param is_healed: whether the owner can be reached again when the store returns.
    :param seed: of all that is random.
    :returns: seconds from the return of the store until each change of the owner within the time
        that follows.
    """
    world = make_world(seed, 3, make_config(is_limited=False))
    world.durations = lambda _key: (0.3, "done")
    for number in range(6):
        add_worker(world, number, "service", CAPACITY)
    # The seed moves the outage against the ticks and reads of the instances.
    begin_s = SETTLE_S + 1.0 + world.rng.random()
    for step in range(50):
        run_until(world, begin_s - 1.0 + step / 50)
        _submit(world, {}, "q", f"{step:016x}", 1, 0.3)
    run_until(world, begin_s)
    world.store.state = SILENT
    former = next(name for name, item in world.instances.items() if item.node.ownership.is_owner)
    epoch = world.instances[former].node.ownership.epoch
    run_until(world, begin_s + SILENCE_S / 2)
    _cut(world, former)
    run_until(world, begin_s + SILENCE_S)
    world.store.state = UP
    if is_healed:
        world.store.refused.clear()
        world.instances[former].is_cut_from_peers = False
    changes_s: list[float] = []
    for step in range(round(CALM_S / 4 * 100)):
        run_until(world, begin_s + SILENCE_S + step / 100)
        newest = max(item.node.ownership.epoch for item in world.instances.values())
        if newest > epoch:
            epoch = newest
            changes_s.append(world.now_s - begin_s - SILENCE_S)
    return changes_s


def _cut(world: World, name: str) -> None:
    world.store.refused.add(name)
    world.instances[name].is_cut_from_peers = True


def slow_store_returns(seed: int = 1) -> float:
    """
    The store answers none of fifteen instances for a while. Otherwise an append takes up the log
    for a tenth of a second.

    :param seed: of all that is random.
    :returns: part of the jobs submitted since the return that were accepted within `ACCEPTED_S`.
    """
    world = make_world(seed, 15, make_config(is_limited=False))
    world.durations = lambda _key: (0.3, "done")
    for number in range(6):
        add_worker(world, number, "service", CAPACITY)
    run_until(world, SETTLE_S)
    world.store.append_s, world.store.delay_s = 0.1, 0.1
    run_until(world, SETTLE_S + 1.0)
    world.store.state = SILENT
    # Callers come during the outage too, so that batches are pending when it ends.
    for step in range(100):
        run_until(world, SETTLE_S + 1.0 + step * 0.025)
        _submit(world, {}, "q", f"{step:015x}f", 1, 0.3)
    world.store.state = UP
    return_s = world.now_s
    given: list[tuple[float, str]] = []
    for step in range(160):
        run_until(world, return_s + step * 0.025)
        job = f"{step:016x}"
        given.append((world.now_s, job))
        _submit(world, {}, "q", job, 1, 0.3)
    run_until(world, world.now_s + ACCEPTED_S)
    accepted_s = world.judge.accepted_s
    in_time = sum(job in accepted_s and accepted_s[job] <= at_s + ACCEPTED_S for at_s, job in given)
    return in_time / len(given)


def _two_queues(is_moving: bool) -> model.Config:
    return _queues_of(("left", "right"), is_moving)


def _queues_of(names: tuple[str, ...], is_moving: bool) -> model.Config:
    base = make_config(is_limited=False)
    queues = {
        name: model.Queue(
            name, "host", f"/{name}/", name, 0, 3, SLACK_FACTOR, round(TARGET_S * 1000), False
        )
        for name in names
    }
    services = {name: model.Service(name, False, False) for name in queues}
    if is_moving:
        services["standby"] = model.Service("standby", False, True)
    return base._replace(queues=queues, services=services)


def _submit(
    world: World,
    submitted: dict[str, tuple[float, float]],
    queue: str,
    job: str,
    count: int,
    work_s: float,
    need: tuple[int, int, int] = (1_000, 1_000, 0),
) -> None:
    step = model.Step(count=count, need=need, estimate_ms=round(work_s * 1000))
    submitted[job] = (world.now_s, SLACK_FACTOR * work_s + TARGET_S)
    up = sorted(name for name, instance in world.instances.items() if instance.is_up)
    name = world.rng.choice(up)
    submit(world, name, job, "key-a", model.JobSpec("payload", (step,)), f"/{queue}/{job}")


def served(world: World, submitted: dict[str, tuple[float, float]], instance_s: float) -> Served:
    """
    Sum up how jobs were served.

    :param world: the world, after all of them have ended.
    :param submitted: by job, when it was submitted and the seconds that its objective allows.
    :param instance_s: seconds of instances in pools.
    :returns: how they were served.
    """
    replicated = next(iter(world.instances.values())).node.replicated
    ages = [
        (replicated.jobs[job].closed_s - at_s, objective_s)
        for job, (at_s, objective_s) in submitted.items()
        if job in replicated.jobs and replicated.jobs[job].committed_state == "completed"
    ]
    in_time = sum(age_s <= objective_s for age_s, objective_s in ages)
    at_all = sum(age_s <= 3 * objective_s for age_s, objective_s in ages)
    late_s = sum(max(0.0, age_s - objective_s) for age_s, objective_s in ages)
    count = len(submitted)
    return Served(in_time / count, at_all / count, instance_s, late_s / count)
