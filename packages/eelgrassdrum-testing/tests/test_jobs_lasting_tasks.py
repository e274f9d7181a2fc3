"""
When long-running tasks run again whose worker has ended and only its lease shows that.
"""

from eelgrassdrum_core.jobs import events, model
from eelgrassdrum_testing.jobs import make_world
from eelgrassdrum_testing.jobs._schedule import make_config
from eelgrassdrum_testing.jobs._world import (
    add_worker,
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


def restart_delay_s(seed, gone_s, stops_owner=False):
    """
    Let the worker of a long-running task end, and its owner stop right afterwards if asked to, and
    return the time until the task runs again.
    """
    world = make_world(seed, INSTANCES, make_config())
    for number in range(WORKERS):
        add_worker(world, number, "service", CAPACITY)
    run_until(world, SUBMITTED_S)
    step = model.Step(1, (1000, 1000, 0), 60_000, is_long_running=True)
    submit(world, owner_of(world), JOB, "key-a", model.JobSpec("payload", (step,)))
    run_until(world, gone_s)
    (worker,) = workers_of_the_job(world)
    worker.crash()
    worker.is_up = False
    disturb(world)
    if stops_owner:
        owner = owner_of(world)
        post(world, owner, world.instances[owner].life, events.StopAsked())
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
    delays_s = [restart_delay_s(seed, gone_s, True) for seed in range(2) for gone_s in GONE_S]
    assert max(delays_s) < MAX_WAIT_S, delays_s
