"""
How long the leases of workers with long-running tasks last.
"""

from eelgrassdrum_core.jobs import events, model
from eelgrassdrum_testing.jobs import make_world
from eelgrassdrum_testing.jobs._schedule import make_config
from eelgrassdrum_testing.jobs._store import REFUSING, SILENT, UP
from eelgrassdrum_testing.jobs._world import (
    add_worker,
    crash,
    disturb,
    post,
    run_until,
    submit,
)

INSTANCES = 5
WORKERS = 4
CAPACITY = model.Resources(4_000, 16_000, 0)
JOB = "a" * 16
SUBMITTED_S = 4.0
# The end of the worker falls into different parts of the interval at which its lease is renewed.
GONE_S = (12.0, 12.35, 12.7, 13.05)
# The platform's bound: 6 s without a run, and 3 s in which it could start.
MAX_WAIT_S = 9.0
MAX_TEST_S = 15.0
# An outage of the store that leases have to outlive.
OUTAGE_S = 7.0
OUTAGE_TASKS = 16
# The longest lease that a worker takes.
LONGEST_LEASE_MS = 10_000
ESTIMATE_MS = 60_000
STEP_S = 0.05


def owner_of(world):
    """
    Return the name of the instance that owns the log.
    """
    (name,) = (
        name
        for name, instance in world.instances.items()
        if instance.is_up and instance.node.ownership.is_owner
    )
    return name


def workers_of_the_job(world):
    """
    Return the workers that are up and run the job.
    """
    return [worker for worker in world.workers.values() if worker.is_up and worker.runs]


def start_tasks(seed, until_s, workers=WORKERS, count=1):
    """
    Return a world in which long-running tasks have been submitted and run.
    """
    world = make_world(seed, INSTANCES, make_config())
    for number in range(workers):
        add_worker(world, number, "service", CAPACITY)
    run_until(world, SUBMITTED_S)
    step = model.Step(count, (1000, 1000, 0), ESTIMATE_MS, is_long_running=True)
    submit(world, owner_of(world), JOB, "key-a", model.JobSpec("payload", (step,)))
    run_until(world, until_s)
    return world


def stop_owner(world):
    """
    Stop the instance that owns the log as planned.
    """
    owner = owner_of(world)
    post(world, owner, world.instances[owner].life, events.StopAsked())


def restart_delay_s(seed, gone_s, owner_stops_s=None):
    """
    Let the worker of a long-running task end, and its owner stop some time afterwards if asked to,
    and return the time until the task runs again.
    """
    world = start_tasks(seed, gone_s)
    (worker,) = workers_of_the_job(world)
    worker.crash()
    worker.is_up = False
    disturb(world)
    if owner_stops_s is not None:
        run_until(world, gone_s + owner_stops_s)
        stop_owner(world)
    while not workers_of_the_job(world) and world.now_s < gone_s + MAX_TEST_S:
        run_until(world, world.now_s + STEP_S)
    assert world.judge.violations == []
    return world.now_s - gone_s


# Guards against a long-running task without a run for longer than the platform's bound.
def test_a_task_runs_again_in_time_though_only_a_lease_shows_the_end_of_its_worker():
    """
    The lease of a worker that has ended is over early enough for its task to run again in time.
    """
    delays_s = [restart_delay_s(seed, gone_s) for seed in range(2) for gone_s in GONE_S]
    assert max(delays_s) < MAX_WAIT_S, delays_s


# Guards against the same if a new owner counts the leases of the former one from its claim.
def test_a_task_runs_again_in_time_though_the_log_changes_its_owner():
    """
    An owner that takes over right after the end of a worker starts its task again in time.
    """
    delays_s = [restart_delay_s(seed, gone_s, 0.0) for seed in range(2) for gone_s in GONE_S]
    assert max(delays_s) < MAX_WAIT_S, delays_s


# Guards against the same if the owner stops before it has found the worker unreachable.
def test_a_task_runs_again_in_time_though_its_owner_stops_somewhat_later():
    """
    An owner that takes over up to two seconds after the end of a worker starts its task in time.
    """
    delays_s = [restart_delay_s(0, gone_s, after_s) for after_s in (0.6, 1.2) for gone_s in GONE_S]
    assert max(delays_s) < MAX_WAIT_S, delays_s


# Guards against a wait for the longest lease of an incarnation that is over.
def test_a_task_runs_again_in_time_after_a_restart_of_its_worker():
    """
    A task that its worker's former incarnation ran starts again though the present one is silent.
    """
    world = start_tasks(0, GONE_S[0])
    (worker,) = workers_of_the_job(world)
    crash(world, worker)
    worker.incarnation += round(world.now_s * 1000)
    worker.born_s = world.now_s
    node = world.instances[owner_of(world)].node
    while node.workers[worker.id].entry.incarnation != worker.incarnation:
        run_until(world, world.now_s + STEP_S / 10)
    worker.is_cut, worker.is_up = True, False
    disturb(world)
    run_until(world, GONE_S[0] + MAX_WAIT_S)
    assert [other for other in workers_of_the_job(world) if other is not worker]
    assert world.judge.violations == []


def run_beside_a_delayed_lease(seed, speed):
    """
    Let a worker restart, and take its longest lease from a delayed renewal for its former
    incarnation; then let the task start there again, the owner stop, and the worker be cut off.
    Return the violations by the time at which the lease is over.
    """
    world = start_tasks(seed, GONE_S[0], workers=1)
    (worker,) = workers_of_the_job(world)
    worker.speed = speed
    crash(world, worker)
    worker.incarnation += round(world.now_s * 1000)
    worker.born_s = world.now_s
    worker.lease_ms = LONGEST_LEASE_MS
    disturb(world)
    while not workers_of_the_job(world):
        run_until(world, world.now_s + STEP_S / 10)
        worker.lease_ms = min(worker.lease_ms, LONGEST_LEASE_MS)
    for number in range(1, WORKERS):
        add_worker(world, number, "service", CAPACITY)
    run_until(world, world.now_s + STEP_S)
    worker.is_cut = world.are_machines_cut = True
    stop_owner(world)
    run_until(world, GONE_S[0] + MAX_TEST_S)
    return world.judge.violations


# Guards against a second run beside one that a lease from a delayed renewal keeps.
def test_a_lease_from_a_delayed_renewal_counts_for_a_new_owner():
    """
    The longest lease counts for an incarnation of a worker that was first used just before.
    """
    for seed in range(2):
        for speed in (1.0, 0.98):
            assert run_beside_a_delayed_lease(seed, speed) == [], (seed, speed)


def lapsed_runs(seed, state):
    """
    Let the store be out of reach, and return how many of the runs end meanwhile or just afterwards.
    """
    world = start_tasks(seed, GONE_S[0], workers=8, count=OUTAGE_TASKS)
    before = {
        (key, run.run) for worker in world.workers.values() for key, run in worker.runs.items()
    }
    assert len(before) == OUTAGE_TASKS
    world.store.state = state
    run_until(world, GONE_S[0] + OUTAGE_S)
    world.store.state = UP
    run_until(world, GONE_S[0] + OUTAGE_S + 4)
    after = {
        (key, run.run) for worker in world.workers.values() for key, run in worker.runs.items()
    }
    return len(before - after)


# Guards against runs that end after an outage, since their leases are not renewed at its end.
def test_leases_are_renewed_as_soon_as_the_store_is_back():
    """
    No run ends on account of an outage of the store that is shorter than the lease.
    """
    for state in (REFUSING, SILENT):
        assert [lapsed_runs(seed, state) for seed in range(2)] == [0, 0], state
