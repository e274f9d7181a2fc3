"""
When the tasks of a worker that is gone for good start again, while the log changes its owner.
"""

from eelgrassdrum_core.jobs import model
from eelgrassdrum_core.jobs._ownership import CLOCK_DRIFT, LEASE_MARGIN_S
from eelgrassdrum_testing.jobs import make_world
from eelgrassdrum_testing.jobs._schedule import make_config
from eelgrassdrum_testing.jobs._world import (
    BOUNDS,
    add_worker,
    disturb,
    kill,
    run_until,
    submit,
)

INSTANCES = 5
WORKERS = 4
CAPACITY = model.Resources(4_000, 16_000, 0)
JOB = "a" * 16
TASK_S = 60.0
SUBMITTED_S = 4.0
GONE_S = 10.0
# Each owner is killed after this time; the first has found the worker unreachable by then.
OWNER_LOST_S = (13.0, 18.0)
DOWN_S = 60.0
# Longest time that a lease lasts on the slowest clock.
LONGEST_S = BOUNDS.max_lease_s * (1 + CLOCK_DRIFT) + LEASE_MARGIN_S
# For a tick, an append and the order.
START_DELAY_S = 0.5


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


def restart_delay_s(seed):
    """
    Let the worker of a job be lost for good and then two owners in a row, and return the time from
    the worker's loss until the job runs again.
    """
    world = make_world(seed, INSTANCES, make_config())
    world.durations = lambda _key: (TASK_S, "done")
    for number in range(WORKERS):
        add_worker(world, number, "service", CAPACITY)
    run_until(world, SUBMITTED_S)
    step = model.Step(1, (1000, 1000, 0), 60_000)
    submit(world, owner_of(world), JOB, "key-a", model.JobSpec("payload", (step,)))
    run_until(world, GONE_S)
    (worker,) = workers_of_the_job(world)
    worker.crash()
    worker.is_up = False
    disturb(world)
    for lost_s in OWNER_LOST_S:
        run_until(world, lost_s)
        kill(world, owner_of(world), DOWN_S)
    while not workers_of_the_job(world) and world.now_s < GONE_S + 2 * LONGEST_S:
        run_until(world, world.now_s + 0.1)
    assert world.judge.violations == []
    return world.now_s - GONE_S


# Guards against a job that has nothing running for the longest lease after each change of owner.
def test_a_job_starts_again_within_the_lease_that_its_lost_worker_had():
    """
    Two changes of owner don't prolong the wait for the lease of a worker that is gone.
    """
    delays_s = [restart_delay_s(seed) for seed in range(4)]
    assert max(delays_s) <= LONGEST_S + START_DELAY_S, delays_s
