"""
Load patterns of uneven demand and workers, and how well they are served, without a network.
"""

from eelgrassdrum_core.jobs import model

from ._answers import make_world
from ._patterns import CALM_S, CAPACITY, SETTLE_S, SLACK_FACTOR, TARGET_S, Served, served
from ._schedule import make_config
from ._world import World, add_worker, run_until, submit

# Queues of one pool: seconds that their tasks take, and that are declared for them.
MISDECLARED_S = {"short": (0.4, 0.76), "long": (1.6, 0.16)}
MISDECLARED_WORKERS = 10
MISDECLARED_JOBS = {"short": 4, "long": 1}
# Racks and workers of each; the tasks, how much longer they take on another rack than that of their
# data, and the part of all tasks that want the first rack.
RACKS = 4
WORKERS_PER_RACK = 3
RACK_TASK_S = 0.8
REMOTE_SLOWDOWN = 2.0
HOT_PART = 0.6
# Racks' worth of work that comes while many jobs want one of them.
HOT_LOAD = 3.2
# Workers, of which the first ones fail a part of their tasks, and the length of a task. The
# objective leaves no time to run a task twice.
FAILING_WORKERS, WORKERS = 2, 10
FAILING_PART = 0.4
FAILING_TASK_S = 1.5


def misdeclared_queues(seed: int = 1) -> Served:
    """
    For eight seconds, two queues of a pool ask for somewhat more than its room. The short tasks of
    one are declared as twice as long, the long tasks of the other as a tenth.

    :param seed: of all that is random.
    :returns: how it was served.
    """
    world = make_world(seed, 3, _config_of_queues(MISDECLARED_S))
    world.durations = lambda key: (_misdeclared_s(world, key), "done")
    for number in range(MISDECLARED_WORKERS):
        add_worker(world, number, "service", CAPACITY)
    run_until(world, SETTLE_S)
    submitted: dict[str, tuple[float, float]] = {}
    for tenth in range(80):
        run_until(world, SETTLE_S + tenth / 10)
        for queue, (duration_s, declared_s) in MISDECLARED_S.items():
            for number in range(MISDECLARED_JOBS[queue]):
                job = f"{tenth:012x}{len(queue):02x}{number:02x}"
                submitted[job] = (world.now_s, SLACK_FACTOR * duration_s + TARGET_S)
                step = _step(world.rng.randint(1, 5), declared_s)
                _submit(world, queue, job, step)
    run_until(world, world.now_s + CALM_S)
    return served(world, submitted, 0.0)


def hot_rack(seed: int = 1) -> Served:
    """
    For six seconds, jobs ask for a part of all room, and three fifths of them name the same one of
    four racks for their data. Elsewhere they take twice as long.

    :param seed: of all that is random.
    :returns: how it was served.
    """
    world = make_world(seed, 3, _config_of_queues({"q": (RACK_TASK_S, RACK_TASK_S)}))
    world.bounds = world.bounds._replace(remote_slowdown=REMOTE_SLOWDOWN)
    for instance in world.instances.values():
        instance.node.bounds = world.bounds
    world.durations = lambda _key: (RACK_TASK_S, "done")
    for number in range(RACKS * WORKERS_PER_RACK):
        add_worker(world, number, "service", CAPACITY).rack = f"r{number % RACKS}"
    run_until(world, SETTLE_S)
    submitted: dict[str, tuple[float, float]] = {}
    slots = HOT_LOAD * WORKERS_PER_RACK * CAPACITY.millicores // 1_000
    asked = 0.0
    for hundredth in range(0, 600, 5):
        run_until(world, SETTLE_S + hundredth / 100)
        asked += slots / RACK_TASK_S / 20
        while asked >= 1:
            count = min(round(asked), world.rng.randint(1, 5))
            asked -= count
            is_hot = world.rng.random() < HOT_PART
            rack = 0 if is_hot else world.rng.randrange(1, RACKS)
            job = f"{len(submitted):016x}"
            submitted[job] = (world.now_s, SLACK_FACTOR * RACK_TASK_S + TARGET_S)
            _submit(world, "q", job, _step(count, RACK_TASK_S, f"r{rack}"))
    run_until(world, world.now_s + CALM_S)
    return served(world, submitted, 0.0)


def workers_fail_part(seed: int = 1) -> Served:
    """
    For twelve seconds, jobs of one to four tasks use half of all room, while two of ten workers
    fail two fifths of their tasks and look sound.

    :param seed: of all that is random.
    :returns: how it was served.
    """
    world = make_world(seed, 3, _config_of_queues({"q": (FAILING_TASK_S, FAILING_TASK_S)}))
    world.durations = lambda _key: (FAILING_TASK_S, "done")
    for number in range(WORKERS):
        worker = add_worker(world, number, "service", CAPACITY)
        worker.fails_part = FAILING_PART if number < FAILING_WORKERS else 0.0
    run_until(world, SETTLE_S)
    submitted: dict[str, tuple[float, float]] = {}
    for tenth in range(120):
        run_until(world, SETTLE_S + tenth / 10)
        job = f"{tenth:016x}"
        submitted[job] = (world.now_s, SLACK_FACTOR * FAILING_TASK_S + TARGET_S)
        _submit(world, "q", job, _step(world.rng.randint(1, 4), FAILING_TASK_S))
    run_until(world, world.now_s + CALM_S)
    return served(world, submitted, 0.0)


def _misdeclared_s(world: World, key: model.TaskKey) -> float:
    declared_ms = world.judge.specs[key.job].steps[key.step].estimate_ms
    return next(
        duration_s
        for duration_s, declared_s in MISDECLARED_S.values()
        if round(declared_s * 1000) == declared_ms
    )


def _step(count: int, declared_s: float, data_rack: str = "") -> model.Step:
    return model.Step(
        count=count,
        need=(1_000, 1_000, 0),
        estimate_ms=round(declared_s * 1000),
        data_rack=data_rack,
    )


def _submit(world: World, queue: str, job: str, step: model.Step) -> None:
    entry = world.rng.choice(sorted(world.instances))
    submit(world, entry, job, "key-a", model.JobSpec("payload", (step,)), f"/{queue}/{job}")


def _config_of_queues(names: dict[str, tuple[float, float]]) -> model.Config:
    queues = {
        name: model.Queue(
            name, "host", f"/{name}/", "service", 0, 3, SLACK_FACTOR, round(TARGET_S * 1000), False
        )
        for name in names
    }
    return make_config(is_limited=False)._replace(queues=queues)
