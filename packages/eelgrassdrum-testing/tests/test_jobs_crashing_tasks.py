"""
Tasks that crash the workers that start them, in a world of virtual time.
"""

from types import SimpleNamespace
from unittest import mock

from eelgrassdrum_core.jobs import _runs, _snapshot, model
from eelgrassdrum_testing.jobs import _rules, make_world, run_schedule
from eelgrassdrum_testing.jobs._crashing import submit_crashing
from eelgrassdrum_testing.jobs._schedule import make_config
from eelgrassdrum_testing.jobs._worker import JobWorker
from eelgrassdrum_testing.jobs._world import add_worker, kill, run_until, submit

CRASHING_JOB = "c" * 16
CRASHING_JOBS = (CRASHING_JOB, "d" * 16, "e" * 16)
CRASHING_TASK = model.TaskKey(CRASHING_JOB, 0, 0, 1)
SPEC = model.JobSpec("payload", (model.Step(3, (500, 1000, 0), 300),))
CAPACITY = model.Resources(8_000, 64_000, 0)
# Seconds from the start of a task to the crash; at 0 its worker never answers the order.
CRASH_AFTER_S = (0.0, 0.005, 0.4)
HANDED_IN_S = 3.0
# Time in which a task that crashes workers is given up, and the tasks beside it are done.
SETTLED_S = 45.0
OTHER_JOBS = 12
# Records of the log after which a snapshot is due.
FEW_RECORDS = 20
# Time in which a crash is noted in the log and a snapshot written.
NOTED_S = 0.7
OWNERS_LOST = ("crashing_jobs", "kill_owner", "crashing_jobs", "stop_owner")
WORKERS_LOST = ("crashing_jobs", "cut_workers", "crash_workers", "crashing_jobs")
OTHER_FAULTS = (
    "cut_owner_from_workers",
    "entries_lapse",
    "late_orders",
    "store_down",
    "worker_gone",
    "workers_stall",
)
MOVES_LOST = ("crashing_jobs", "instance_orders_lost", "crashing_jobs", "kill_owner")


def world_with_crashing_jobs(seed, crash_after_s, workers=6, jobs=(CRASHING_JOB,)):
    """
    Return a world at the time at which others and jobs of which one task crashes workers have been
    handed in.
    """
    world = make_world(seed, 3, make_config(is_limited=False))
    world.durations = lambda _key: (world.rng.uniform(0.2, 0.6), "done")
    for number in range(workers):
        add_worker(world, number, "service", CAPACITY)
    run_until(world, HANDED_IN_S)
    for number in range(OTHER_JOBS):
        submit(world, "entry-1", f"{number:016x}", "key-a", SPEC)
    for job in jobs:
        submit_crashing(world, "entry-1", job, "key-a", SPEC, {(0, 1): crash_after_s})
    return world


def states_now(world):
    """
    Return the committed states of all jobs as the first instance knows them.
    """
    jobs = world.instances["entry-0"].node.replicated.jobs
    return {job.id: job.committed_state for job in jobs.values()}


def states_at_end(world):
    """
    Judge the end of a world and return the committed states by job.
    """
    run_until(world, HANDED_IN_S + SETTLED_S)
    jobs = world.instances["entry-0"].node.replicated.jobs
    _rules.on_end_of_world(world.judge, world.now_s, jobs)
    return states_now(world)


def run_until_crashes(world, count):
    """
    Run a world until tasks have crashed a number of workers or their job is given up, and return
    whether it isn't.
    """
    until_s = world.now_s + SETTLED_S
    while world.crashes_by_tasks < count and states_now(world).get(CRASHING_JOB) != "failed":
        assert world.now_s < until_s, world.crashes_by_tasks
        run_until(world, world.now_s + 0.01)
    return states_now(world).get(CRASHING_JOB) != "failed"


def owner_of(world):
    """
    Return the name of the instance that owns the log.
    """
    return next(
        name
        for name, instance in world.instances.items()
        if instance.is_up and instance.node.ownership.is_owner
    )


# Guards against a task that crashes worker after worker, since runs lost with their worker had no
# limit.
def test_a_task_that_crashes_workers_is_given_up_within_its_budget():
    """
    A task that crashes each worker that starts it fails its job within the budget.
    """
    for seed, after_s in enumerate(CRASH_AFTER_S, start=1):
        world = world_with_crashing_jobs(seed, after_s)
        states = states_at_end(world)
        assert world.judge.violations == [], (after_s, world.judge.violations[:3])
        assert states[CRASHING_JOB] == "failed", after_s


# Guards against crashes that a new owner doesn't count, since only the former owner knew of them.
def test_a_task_that_crashes_workers_is_given_up_across_losses_of_the_owner():
    """
    The budget holds if the owner is killed after each of the first crashes.
    """
    for seed, after_s in enumerate(CRASH_AFTER_S, start=1):
        world = world_with_crashing_jobs(seed, after_s)
        for crashes in (1, 2, 3):
            if run_until_crashes(world, crashes):
                kill(world, owner_of(world), 1.0)
        states = states_at_end(world)
        assert world.judge.violations == [], (after_s, world.judge.violations[:3])
        assert states[CRASHING_JOB] == "failed", after_s


# Guards against crashes that a snapshot doesn't hold.
def test_a_task_that_crashes_workers_is_given_up_across_restarts_from_snapshots():
    """
    The budget holds if all instances restart from a snapshot after each of the first crashes.
    """
    for seed, after_s in enumerate(CRASH_AFTER_S, start=1):
        world = world_with_crashing_jobs(seed, after_s)
        with mock.patch.object(_snapshot, "SNAPSHOT_INTERVAL_RECORDS", FEW_RECORDS):
            for crashes in (1, 2, 3):
                if run_until_crashes(world, crashes):
                    run_until(world, world.now_s + NOTED_S)
                    for name in world.instances:
                        kill(world, name, 1.0)
            states = states_at_end(world)
        assert world.store.snapshot is not None
        assert world.judge.violations == [], (after_s, world.judge.violations[:3])
        assert states[CRASHING_JOB] == "failed", after_s


# Guards against jobs that are never done, since their tasks share worker after worker with those
# that crash them.
def test_tasks_beside_those_that_crash_workers_complete():
    """
    On a pool with few workers all jobs complete but those with tasks that crash workers.
    """
    for seed, after_s in enumerate(CRASH_AFTER_S, start=1):
        world = world_with_crashing_jobs(seed, after_s, workers=4, jobs=CRASHING_JOBS)
        states = states_at_end(world)
        others = [states.get(f"{number:016x}") for number in range(OTHER_JOBS)]
        assert others == ["completed"] * OTHER_JOBS, after_s
        assert world.judge.violations == [], (after_s, world.judge.violations[:3])


def hold_in_schedules(faults, seeds, is_moving=False):
    """
    Check that schedules in which tasks crash workers break no rule.
    """
    for seed in seeds:
        result = run_schedule(seed, faults, is_moving=is_moving)
        assert result.crashes_by_tasks, seed
        assert result.violations == (), (seed, faults, result.violations[:3])


# Guards against a budget that is lost with the owner.
def test_budgets_hold_beside_losses_of_the_owner():
    """
    Tasks that crash workers break no rule while owners are killed and stopped.
    """
    hold_in_schedules(OWNERS_LOST, range(2500, 2503))


# Guards against tasks that are given up for workers that crash or are cut for other reasons.
def test_budgets_hold_beside_workers_that_are_lost_otherwise():
    """
    Tasks that crash workers break no rule while other workers crash or are cut.
    """
    hold_in_schedules(WORKERS_LOST, range(2510, 2513))


# Guards against budgets that moves of instances upset.
def test_budgets_hold_beside_moves():
    """
    Tasks that crash workers break no rule while instances move and orders for them get no answer.
    """
    hold_in_schedules(MOVES_LOST, range(2520, 2523), is_moving=True)


# Guards against budgets that fail where crashes and other faults meet.
def test_budgets_hold_beside_other_faults():
    """
    Tasks that crash workers break no rule beside one fault of another kind.
    """
    for number, fault in enumerate(OTHER_FAULTS):
        hold_in_schedules(("crashing_jobs", fault), (2530 + number,))


def started_and_crashed(judge, key, starts, crashes):
    """
    Tell the rules of starts of a task, and of a crash after each of the first ones.
    """
    for number in range(starts):
        worker = JobWorker(f"w-{number}", "service", "zone", "m", "w", CAPACITY, 1, 0.0)
        run = worker.begin(key, number + 1, SPEC.steps[0], float(number), 1.0, "done")
        _rules.on_start(judge, float(number), {worker.id: worker}, worker, run)
        if number < crashes:
            _rules.on_crash(judge, worker)


def crashing_judge():
    """
    Return the rules' state with a job of which one task crashes workers.
    """
    return _rules.Judge(
        specs={CRASHING_JOB: SPEC}, accepted={CRASHING_JOB}, crashing_tasks={CRASHING_TASK}
    )


def test_the_budget_of_a_task_that_crashes_workers_is_checked():
    """
    Two starts after three crashes are allowed, the third is not, and only of tasks that crash.
    """
    for key, starts, crashes, rules in (
        (CRASHING_TASK, 5, 5, []),
        (CRASHING_TASK, 6, 2, []),
        (CRASHING_TASK, 6, 3, ["crashing_task_has_a_budget"]),
        (CRASHING_TASK, 9, 9, ["crashing_task_has_a_budget"]),
        (CRASHING_TASK._replace(number=0), 9, 9, []),
    ):
        judge = crashing_judge()
        started_and_crashed(judge, key, starts, crashes)
        assert [item.rule for item in judge.violations] == rules, (key, starts, crashes)


def job_as_known(job_id, state):
    """
    Return a job as an instance knows it.
    """
    return SimpleNamespace(
        id=job_id, committed_state=state, is_long_running=False, cancelled=False, spec=SPEC
    )


def test_jobs_given_up_without_cause_are_checked():
    """
    A job may be failed once two workers have crashed under a task of it that crashes them, not for
    crashes under its other tasks.
    """
    for key, crashes, rules in (
        (CRASHING_TASK, 1, ["failed_with_cause"]),
        (CRASHING_TASK, 2, []),
        (CRASHING_TASK._replace(number=0), 5, ["failed_with_cause"]),
    ):
        judge = crashing_judge()
        started_and_crashed(judge, key, crashes, crashes)
        jobs = {CRASHING_JOB: job_as_known(CRASHING_JOB, "failed")}
        _rules.on_end_of_world(judge, 60.0, jobs)
        assert [item.rule for item in judge.violations] == rules, (key, crashes)


def test_only_jobs_that_crash_workers_may_stay_open():
    """
    A job with a task that crashes workers isn't missed at the end, another one is.
    """
    for crashing, rules in (({CRASHING_TASK}, []), (set(), ["accepted_is_finished"])):
        judge = crashing_judge()
        judge.crashing_tasks = crashing
        jobs = {CRASHING_JOB: job_as_known(CRASHING_JOB, "running")}
        _rules.on_end_of_world(judge, 60.0, jobs)
        assert [item.rule for item in judge.violations] == rules


def test_jobs_given_up_beside_crashing_tasks_are_checked():
    """
    Mutation: runs lost with their worker count as failed, and the check shows the jobs that are
    given up without cause.
    """
    real = _runs.Ended

    def as_failed(epoch, job, occurrence, step, index, run, how, *rest):
        how = "failed" if how in ("lost", "crashed") else how
        return real(epoch, job, occurrence, step, index, run, how, *rest)

    with mock.patch.object(_runs, "Ended", as_failed):
        results = [run_schedule(seed, OWNERS_LOST) for seed in (1, 2)]
    rules = {item.rule for result in results for item in result.violations}
    assert "failed_with_cause" in rules
