"""
Workers that come back with more ends of runs than one list holds.
"""

from eelgrassdrum_core.jobs import model
from eelgrassdrum_testing.jobs import make_world
from eelgrassdrum_testing.jobs._schedule import make_config
from eelgrassdrum_testing.jobs._world import add_worker, disturb, kill, run_until, submit

INSTANCES = 3
WORKERS = 2
CAPACITY = model.Resources(10_000, 16_000, 0)
JOB = "a" * 16
COUNT = 20
PAGE = 3
SUBMITTED_S = 4.0
TASK_S = 3.0
# The tasks end while their worker is cut off; its lease doesn't.
CUT_S, BACK_S = 6.0, 9.5
SETTLED_S = 12.0
SPEC = model.JobSpec("payload", (model.Step(COUNT, (100, 100, 0), 3000),))


def start_world(seed):
    """
    Return a world in which all tasks of a job run on one worker, which is cut off.
    """
    world = make_world(seed, INSTANCES, make_config())
    world.ends_page = PAGE
    world.durations = lambda _key: (TASK_S, "done")
    for number in range(WORKERS):
        add_worker(world, number, "service", CAPACITY)
    run_until(world, SUBMITTED_S)
    submit(world, "entry-0", JOB, "key-a", SPEC)
    run_until(world, CUT_S)
    (worker,) = (worker for worker in world.workers.values() if worker.runs)
    assert len(worker.runs) == COUNT
    worker.is_cut = True
    disturb(world)
    return world, worker


def assert_nothing_ran_again(world, worker):
    """
    Reach the worker again, and check that each task has run once and the job completes.
    """
    run_until(world, BACK_S)
    assert len(worker.ends) == COUNT
    worker.is_cut = False
    disturb(world)
    run_until(world, BACK_S + SETTLED_S)
    decided = [fields for _at, _name, action, fields in world.lines if action == "run.decided"]
    assert len(decided) == COUNT
    for instance in world.instances.values():
        assert instance.node.replicated.jobs[JOB].committed_state == "completed"
    assert world.judge.violations == []


# Guards against TWICE: runs whose ends are on later pages count as lost.
def test_a_worker_that_comes_back_with_many_ends_runs_nothing_again():
    """
    Tasks that ended while their worker was cut off don't run again, whichever page lists their end.
    """
    for seed in range(3):
        assert_nothing_ran_again(*start_world(seed))


# Guards against the same at a new owner, for which all runs are old.
def test_a_new_owner_reads_all_ends_of_a_worker():
    """
    The same holds if the owner is killed while the worker is cut off.
    """
    for seed in range(3):
        world, worker = start_world(seed)
        (owner,) = (n for n, i in world.instances.items() if i.node.ownership.is_owner)
        kill(world, owner, 1.0)
        assert_nothing_ran_again(world, worker)
