"""
Jobs that are older than the records that the store keeps.
"""

from eelgrassdrum_core.jobs import model
from eelgrassdrum_testing.jobs import make_world
from eelgrassdrum_testing.jobs._schedule import make_config
from eelgrassdrum_testing.jobs._world import (
    add_worker,
    keep_history,
    kill,
    later,
    run_until,
    submit,
)

INSTANCES = 3
WORKERS = 6
CAPACITY = model.Resources(8_000, 16_000, 0)
KEEP_S = 20.0
SUBMITTED_S = 4.0
LASTING = "a" * 16
LASTING_SPEC = model.JobSpec("lasts", (model.Step(3, (500, 100, 0), 1000, is_long_running=True),))
SHORT_SPEC = model.JobSpec("short", (model.Step(2, (500, 100, 0), 500),))
# Older than the store's history by then.
RESTART_S = SUBMITTED_S + KEEP_S + 12.0
SETTLED_S = 15.0
# An append of the slowest store, during which further records come up.
SLOW_APPEND_S = 0.3


def start_world(seed, short_jobs_per_s=1.0, until_s=RESTART_S + SETTLED_S, keep_s=KEEP_S):
    """
    Return a world whose store drops old records, with a lasting job and a trickle of short ones.
    """
    world = make_world(seed, INSTANCES, make_config())
    for number in range(WORKERS):
        add_worker(world, number, "service", CAPACITY)
    keep_history(world, keep_s)
    run_until(world, SUBMITTED_S)
    submit(world, "entry-0", LASTING, "key-a", LASTING_SPEC)
    count = round(short_jobs_per_s * (until_s - SUBMITTED_S))
    for number in range(count):
        submit_later(world, number / short_jobs_per_s, f"{number:016x}")
    return world


def submit_later(world, delay_s, job):
    """
    Hand in a short job after a while, at an instance that is up.
    """

    def hand_in():
        names = [name for name, instance in sorted(world.instances.items()) if instance.is_up]
        if names:
            submit(world, names[0], job, "key-a", SHORT_SPEC)

    later(world, delay_s, hand_in)


def owner_of(world):
    """
    Return the name of the instance that owns the log.
    """
    return next(
        name
        for name, instance in world.instances.items()
        if instance.is_up and instance.node.ownership.is_owner
    )


def running_tasks(world):
    """
    Return the numbers of the lasting job's tasks that run, each as often as it runs.
    """
    return sorted(
        key.number
        for worker in world.workers.values()
        for key in worker.runs
        if worker.is_up and key.job == LASTING
    )


def assert_job_is_known(world):
    """
    Check that all instances know the lasting job, that its tasks run and no rule is broken.
    """
    states = {
        name: getattr(instance.node.replicated.jobs.get(LASTING), "committed_state", None)
        for name, instance in world.instances.items()
    }
    assert set(states.values()) == {"running"}, states
    assert running_tasks(world) == [0, 1, 2]
    assert world.judge.violations == []


# Guards against LOST: jobs forgotten by an instance that starts after their records have expired.
def test_a_restart_after_the_records_of_a_job_have_expired_loses_nothing():
    """
    An instance that restarts after the records of a job have expired knows the job, and the owner
    keeps the log.
    """
    world = start_world(1)
    run_until(world, RESTART_S)
    owner = owner_of(world)
    victim = next(name for name in world.instances if name != owner)
    kill(world, victim, 1.0)
    run_until(world, RESTART_S + SETTLED_S)
    assert owner_of(world) == owner
    assert_job_is_known(world)


# Guards against the same where no process is left that knows the job.
def test_a_restart_of_all_instances_loses_nothing():
    """
    All instances know a job whose records have expired after they have restarted together.
    """
    world = start_world(2)
    run_until(world, RESTART_S)
    for name in world.instances:
        kill(world, name, 1.0)
    run_until(world, RESTART_S + SETTLED_S)
    assert_job_is_known(world)


# Guards against owners that are replaced before any of them stores a snapshot.
def test_owners_that_are_often_replaced_store_snapshots():
    """
    Jobs are kept although an owner is killed every few seconds.
    """
    world = start_world(3)
    kill_s = SUBMITTED_S + 2.0
    while kill_s < RESTART_S:
        run_until(world, kill_s)
        names = [n for n, i in world.instances.items() if i.is_up and i.node.ownership.is_owner]
        for name in names:
            kill(world, name, 1.0)
        kill_s += 4.0
    for name in world.instances:
        kill(world, name, 1.0)
    run_until(world, RESTART_S + SETTLED_S)
    assert_job_is_known(world)


# Guards against a busy owner that always has records pending and never takes a snapshot.
def test_a_busy_owner_on_a_slow_store_stores_snapshots():
    """
    Jobs are kept although new records come up during each append.
    """
    world = start_world(4, short_jobs_per_s=20.0)
    world.store.append_s = SLOW_APPEND_S
    run_until(world, RESTART_S)
    for name in world.instances:
        kill(world, name, 1.0)
    world.store.append_s = 0.0
    run_until(world, RESTART_S + SETTLED_S)
    assert_job_is_known(world)


# Guards against an instance that takes the rest of the log for all there is.
def test_an_instance_waits_for_the_snapshot_of_a_living_owner():
    """
    While the owner can't store snapshots, an instance that starts neither claims the log nor denies
    jobs, and it knows them once a snapshot is stored.
    """
    world = start_world(5)
    world.store.takes_snapshots = False
    run_until(world, RESTART_S)
    owner = owner_of(world)
    victim = next(name for name in world.instances if name != owner)
    kill(world, victim, 1.0)
    run_until(world, RESTART_S + 8.0)
    node = world.instances[victim].node
    assert owner_of(world) == owner
    assert LASTING not in node.replicated.jobs
    assert node.tail.is_incomplete or not node.tail.has_caught_up
    world.store.takes_snapshots = True
    run_until(world, RESTART_S + 8.0 + SETTLED_S)
    assert owner_of(world) == owner
    assert_job_is_known(world)


# Guards against instances that read the same snapshot again and again without an owner.
def test_records_that_nobody_knows_are_given_up():
    """
    If the log has lost records after the snapshot and no owner lives, an owner is found again.
    """
    world = start_world(6, until_s=SUBMITTED_S + 1.0)
    run_until(world, RESTART_S)
    world.store.takes_snapshots = False
    run_until(world, RESTART_S + 2 * KEEP_S)
    for name in world.instances:
        kill(world, name, 1.0)
    world.store.takes_snapshots = True
    run_until(world, RESTART_S + 2 * KEEP_S + SETTLED_S)
    assert_job_is_known(world)
    assert not any(i.node.tail.is_incomplete for i in world.instances.values())
