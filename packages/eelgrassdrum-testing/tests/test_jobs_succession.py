"""
Which instance owns the log after the loss of its owner.
"""

from eelgrassdrum_core.jobs import model
from eelgrassdrum_testing.jobs import make_world
from eelgrassdrum_testing.jobs._schedule import CAPACITY, make_config
from eelgrassdrum_testing.jobs._world import World, add_worker, kill, run_until, submit

INSTANCES = 12
# The last of them carry all of the owner's load, the others half of it.
STRONG = 3
WEAKNESS = 0.5
LOST_S = 30.0
SUCCESSION_S = 3.0
# Part of the interval at which instances read the log while nothing is appended.
PHASE_S = 0.11
STRONG_NAMES = frozenset(f"entry-{number}" for number in range(INSTANCES - STRONG, INSTANCES))
# Time for which no strong instance is up, so that a weak one owns the log, and time from their
# return until one of them owns it.
WEAK_ONLY_S = 6.0
RETURN_S = 15.0
# Interval at which jobs are submitted, and the longest time without a start of a task.
SUBMIT_INTERVAL_S = 0.1
MAX_PAUSE_S = 1.0


def owner_of(world: World) -> str:
    """
    Return the name of the instance that owns the log.
    """
    (name,) = (
        name
        for name, instance in world.instances.items()
        if instance.is_up and instance.node.ownership.is_owner
    )
    return name


def successor_of_a_lost_owner(seed: int) -> str:
    """
    Let the owner of an idle log be lost, at a phase of the others' reads that depends on the seed,
    and return the name of its successor.
    """
    lost_s = LOST_S + seed * PHASE_S
    world = make_world(seed, INSTANCES, make_config())
    for instance in list(world.instances.values())[:-STRONG]:
        node = instance.node
        node.identity = node.identity._replace(weakness=WEAKNESS)
    run_until(world, lost_s)
    kill(world, owner_of(world), SUCCESSION_S + 1.0)
    run_until(world, lost_s + SUCCESSION_S)
    return owner_of(world)


# Guards against an owner whose link carries half of its load while stronger instances are up.
def test_a_strong_instance_succeeds_a_lost_owner():
    """
    An instance that can carry the owner's load claims the log before those that can't.
    """
    strong = {f"entry-{number}" for number in range(INSTANCES - STRONG, INSTANCES)}
    successors = [successor_of_a_lost_owner(seed) for seed in range(6)]
    assert set(successors) <= strong, successors


def world_with_a_weak_owner(seed: int) -> World:
    """
    Let a weak instance come to own the log while no strong one is up, until these start again.
    """
    weak = {f"entry-{number}": WEAKNESS for number in range(INSTANCES - STRONG)}
    world = make_world(seed, INSTANCES, make_config(is_limited=False), weak)
    for number in range(3):
        add_worker(world, number, "service", CAPACITY)
    run_until(world, LOST_S + seed * PHASE_S)
    for name in STRONG_NAMES:
        kill(world, name, WEAK_ONLY_S)
    run_until(world, world.now_s + WEAK_ONLY_S)
    assert owner_of(world) not in STRONG_NAMES
    return world


def epoch_of(world: World) -> int:
    """
    Return the epoch of the owner of the log.
    """
    return world.instances[owner_of(world)].node.ownership.epoch


# Guards against a weak owner that leaves most of its orders unanswered for as long as it is up.
def test_a_strong_instance_takes_the_log_over_from_a_weak_one():
    """
    A strong instance that has started again owns the log some seconds later and keeps it; the log
    changes its owner once, and tasks start all the time.
    """
    for seed in range(1, 7):
        world = world_with_a_weak_owner(seed)
        former = epoch_of(world)
        end_s, started_s, starts = world.now_s + RETURN_S, world.now_s, 0
        step = model.Step(count=1, need=(500, 1000, 0), estimate_ms=1000)
        number = 0
        while world.now_s < end_s:
            number += 1
            up = f"entry-{number % INSTANCES}"
            submit(world, up, f"{number:016x}", "key-a", model.JobSpec("payload", (step,)))
            run_until(world, world.now_s + SUBMIT_INTERVAL_S)
            if world.judge.starts > starts:
                started_s, starts = world.now_s, world.judge.starts
            assert world.now_s - started_s < MAX_PAUSE_S, seed
        successor = owner_of(world)
        assert successor in STRONG_NAMES, seed
        assert epoch_of(world) == former + 1, seed
        run_until(world, world.now_s + 2 * RETURN_S)
        assert (owner_of(world), epoch_of(world)) == (successor, former + 1), seed
        assert not world.judge.violations, (seed, world.judge.violations)
