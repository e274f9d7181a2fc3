"""
How soon changes are in force, how soon a new instance is ready, and what that costs the log.

Times between instances are virtual: the harness gives the delays of the network and of the log.
"""

from collections.abc import Callable, Iterator

import numpy as np

from eelgrassdrum_core import (
    Tuning,
    proof_age_s,
)

from .._harness import (
    LOG,
    WORKSPACE,
    World,
    advance,
    fleet_document,
    make_fleet,
    publish,
    withdraw_key,
)
from ._measure import Bench, Measure, measure

SEED = 20
ENTRIES_PER_ZONE = 3
STEP_S = 0.05
CHANGES = 40
WAIT_S = 20.0
REST_S = 60.0
IN_FORCE_BOUND_S = 9.0
WITHDRAWAL_BOUND_S = 5.0


def config_in_force() -> Iterator[Measure]:
    """
    Time from a document's place in the log until an instance has it in force.

    :returns: the 99th percentile over changes and instances, healthy and with faults.
    """
    healthy = float(np.percentile(_roll_out(_leave_healthy), 99))
    hindered = float(np.percentile(_roll_out(_slow_and_relayed), 99))
    yield measure("config_in_force_p99", healthy, "s", at_most=2.0)
    yield measure("config_in_force_slow_relayed_p99", hindered, "s", at_most=IN_FORCE_BOUND_S)


def key_withdrawn() -> Iterator[Measure]:
    """
    Time from a withdrawal until the last instance refuses the key.

    :returns: the longest time over seeds, healthy, relayed and with the log out.
    """
    cases = {
        "": _leave_healthy,
        "_slow_relayed": _slow_and_relayed,
        "_log_out": _take_log_out,
    }
    for suffix, hinder in cases.items():
        slowest = max(_withdraw(SEED + number, hinder) for number in range(5))
        yield measure(f"key_withdrawn{suffix}_max", slowest, "s", at_most=WITHDRAWAL_BOUND_S)


def freshness() -> Iterator[Measure]:
    """
    Age of the newest proof of freshness against the bound on it.

    :returns: the oldest age seen in each condition, and the time until a cut-off zone stops.
    """
    bound_s = Tuning().key_freshness_s
    cases = {
        "": _leave_healthy,
        "_slow_relayed": _slow_and_relayed,
        "_log_out": _take_log_out,
        "_log_out_tenth_lost": _lose_messages,
    }
    for suffix, hinder in cases.items():
        world = _make_world(SEED)
        hinder(world)
        yield measure(f"proof_age{suffix}_max", _oldest_proof(world), "s", at_most=bound_s)
    world = _make_world(SEED)
    _cut_off(world, "c")
    yield measure("cut_off_zone_stops", _seconds_until_stopped(world), "s", at_most=5.0)


def log_appends() -> Iterator[Measure]:
    """
    Records that the system itself appends, beside those of the operators.

    :returns: records for each change of configuration, and records a second at rest.
    """
    world = _make_world(SEED)
    before = world.log.appended
    advance(world, REST_S)
    rate = (world.log.appended - before) / REST_S
    before, began_s = world.log.appended, world.now_s
    _publish_many(world, CHANGES)
    expected = rate * (world.now_s - began_s)
    own = world.log.appended - before - CHANGES - expected
    yield measure("appends_at_rest", rate, "records/s", at_most=5.0)
    yield measure("appends_per_change", own / CHANGES, "records", at_most=1.0)


def _make_world(seed: int) -> World:
    return make_fleet(seed, entries_per_zone=ENTRIES_PER_ZONE, settle_s=8.0)


def _leave_healthy(world: World) -> None:
    """
    Bring about no fault.
    """


def _slow_and_relayed(world: World) -> None:
    world.log.delay_s = 0.5
    world.network.cuts |= {frozenset(("c", LOG)), frozenset(("c", "a"))}
    advance(world, 10.0)


def _take_log_out(world: World) -> None:
    world.log.outage = True
    advance(world, 10.0)


def _lose_messages(world: World) -> None:
    world.log.outage = True
    world.network.drop = 0.1
    advance(world, 10.0)


def _cut_off(world: World, zone: str) -> None:
    others = {entry.zone for entry in world.entries.values()} - {zone}
    world.network.cuts |= {frozenset((zone, other)) for other in (*others, LOG)}


def _roll_out(hinder: Callable[[World], None]) -> list[float]:
    world = _make_world(SEED)
    hinder(world)
    return _publish_many(world, CHANGES)


def _publish_many(world: World, count: int) -> list[float]:
    times = []
    for _ in range(count):
        subject = f"document/{WORKSPACE}"
        entries = list(world.entries.values())
        base = max(entry.state.fold.position.revisions.get(subject, 0) for entry in entries)
        began_s = world.now_s
        offset = publish(world, fleet_document(), base)
        waiting = set(world.entries)
        while waiting and world.now_s - began_s < WAIT_S:
            advance(world, STEP_S)
            done = {n for n in waiting if _has_in_force(world, n, subject, offset)}
            times += [world.now_s - began_s] * len(done)
            waiting -= done
        times += [WAIT_S] * len(waiting)
        advance(world, world.rng.random())
    return times


def _has_in_force(world: World, entry: str, subject: str, offset: int) -> bool:
    return world.entries[entry].state.fold.position.revisions.get(subject, 0) >= offset


def _withdraw(seed: int, hinder: Callable[[World], None]) -> float:
    world = _make_world(seed)
    hinder(world)
    began_s = world.now_s
    withdraw_key(world, "members")
    name = f"{WORKSPACE}/members-key"
    while world.now_s - began_s < WAIT_S:
        advance(world, STEP_S)
        states = [entry.state for entry in world.entries.values()]
        if all(name in s.freshness.withdrawn or name in s.fold.keys.withdrawn for s in states):
            break
    return world.now_s - began_s


def _oldest_proof(world: World) -> float:
    ages = []
    for _ in range(600):
        advance(world, STEP_S)
        ages += [proof_age_s(entry.state) for entry in world.entries.values()]
    return max(ages)


def _seconds_until_stopped(world: World) -> float:
    began_s = world.now_s
    bound_s = Tuning().key_freshness_s
    cut = [entry.state for entry in world.entries.values() if entry.zone == "c"]
    while any(proof_age_s(state) <= bound_s for state in cut) and world.now_s - began_s < WAIT_S:
        advance(world, STEP_S)
    return world.now_s - began_s


BENCHES: dict[str, Bench] = {
    "state_config_in_force": config_in_force,
    "state_key_withdrawn": key_withdrawn,
    "state_freshness": freshness,
    "state_log_appends": log_appends,
}
