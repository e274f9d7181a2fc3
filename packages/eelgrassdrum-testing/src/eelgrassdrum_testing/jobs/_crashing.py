"""
Tasks that crash the worker that starts them.
"""

from collections.abc import Mapping

from eelgrassdrum_core.jobs import model

from ._worker import JobWorker, Run
from ._world import World, bring_back, crash, disturb, later, look_up, submit

# Time that a crashing task would take if its worker didn't crash first.
CRASHING_TASK_S = 60.0
# Bounds of the time until a worker is back.
LEAST_DOWN_S = 2.0
MOST_DOWN_S = 4.0
# Fraction of the crashes after which the worker keeps its id.
SAME_ID_PART = 0.3
# Jobs that the fault hands in, and the time in which it does.
CRASHING_JOBS = 3
HAND_IN_S = 4.0
# Fraction of these jobs of which every task crashes its worker.
WHOLE_JOB_PART = 0.2
# Bounds of the time until a caller asks for the state of such a job.
LEAST_LOOK_UP_S = 2.0
MOST_LOOK_UP_S = 25.0


def submit_crashing(
    world: World,
    name: str,
    job: str,
    key: str,
    spec: model.JobSpec,
    crash_after_s: Mapping[tuple[int, int], float],
) -> None:
    """
    Hand a job in at an instance, some of whose tasks crash each worker that starts them.

    :param world: the world.
    :param name: the instance.
    :param job: id of the job.
    :param key: the caller's key.
    :param spec: the job.
    :param crash_after_s: seconds from the start of a task to the crash, by step and number; at 0
        the worker crashes before it answers.
    """
    for (step, number), after_s in crash_after_s.items():
        task = model.TaskKey(job, 0, step, number)
        world.crash_after_s[task] = after_s
        world.judge.crashing_tasks.add(task)
    submit(world, name, job, key, spec)


def plan_crash(world: World, worker: JobWorker, run: Run) -> None:
    """
    Let a run crash its worker, if its task does so.

    :param world: the world.
    :param worker: where it has just started.
    :param run: the run.
    """
    after_s = world.crash_after_s.get(run.key)
    if after_s is None:
        return

    def strike() -> None:
        if worker.is_up and worker.runs.get(run.key) is run:
            _crash_for_a_while(world, worker)

    if after_s:
        later(world, after_s, strike)
    else:
        strike()


def _crash_for_a_while(world: World, worker: JobWorker) -> None:
    world.crashes_by_tasks += 1
    crash(world, worker)
    worker.is_up = False
    worker.is_closed = True
    disturb(world)
    keeps_id = world.rng.random() < SAME_ID_PART
    row = world.rows.get(worker.instance)
    if not keeps_id and row is not None and row.worker == worker.id:
        world.rows[worker.instance] = row._replace(state="down", worker="")
    down_s = world.rng.uniform(LEAST_DOWN_S, MOST_DOWN_S)
    later(world, down_s, lambda: _restart(world, worker, keeps_id))


def _restart(world: World, worker: JobWorker, keeps_id: bool) -> None:
    row = world.rows.get(worker.instance)
    if row is None or worker.is_up:
        return
    disturb(world)
    if not keeps_id:
        if row.state == "down":
            bring_back(world, worker.instance, row.pool, worker.address)
    elif row.worker == worker.id:
        worker.is_up = True
        worker.is_closed = False
        worker.incarnation += round(world.now_s * 1000)
        worker.born_s = world.now_s


def hand_in_crashing_jobs(world: World) -> None:
    """
    Hand in jobs that crash workers, over some seconds, and ask for their states later.

    :param world: the world.
    """
    for _ in range(CRASHING_JOBS):
        later(world, world.rng.uniform(0.0, HAND_IN_S), lambda: _hand_in_one(world))


def _hand_in_one(world: World) -> None:
    up = [name for name, instance in sorted(world.instances.items()) if instance.is_up]
    if not up:
        return
    rng = world.rng
    spec = _crashing_spec(world)
    tasks = [(index, n) for index, step in enumerate(spec.steps) for n in range(step.count)]
    crashing = tasks if rng.random() < WHOLE_JOB_PART else [rng.choice(tasks)]
    job = f"c{next(world.numbers):015x}"
    crash_after_s = {
        task: rng.choice((0.0, 0.005, 0.02, rng.uniform(0.1, 0.8))) for task in crashing
    }
    submit_crashing(world, rng.choice(up), job, "key-a", spec, crash_after_s)
    delay_s = rng.uniform(LEAST_LOOK_UP_S, MOST_LOOK_UP_S)
    later(world, delay_s, lambda: look_up(world, rng.choice(up), job, "key-a"))


def _crashing_spec(world: World) -> model.JobSpec:
    rng = world.rng
    steps = [
        model.Step(
            count=rng.randint(1, 4),
            need=(rng.choice((500, 1000, 2000)), 1000, 0),
            estimate_ms=rng.randint(100, 1500),
            after=(index - 1,) if index else (),
        )
        for index in range(rng.choice((1, 1, 2)))
    ]
    return model.JobSpec("payload", tuple(steps))
