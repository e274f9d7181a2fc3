"""
Which instance owns the log after the loss of its owner.
"""

from eelgrassdrum_testing.jobs import make_world
from eelgrassdrum_testing.jobs._schedule import make_config
from eelgrassdrum_testing.jobs._world import World, kill, run_until

INSTANCES = 12
# The last of them carry all of the owner's load, the others half of it.
STRONG = 3
WEAKNESS = 0.5
LOST_S = 30.0
SUCCESSION_S = 3.0
# Part of the interval at which instances read the log while nothing is appended.
PHASE_S = 0.11


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
