"""
How long the leases of a worker that doesn't answer count after changes of owner.
"""

from typing import NamedTuple

from eelgrassdrum_core.jobs import Identity, Node, effects, events, model, new_node
from eelgrassdrum_core.jobs import _snapshot as snapshot
from eelgrassdrum_core.jobs._leases import lease_over_s
from eelgrassdrum_core.jobs._ownership import CLOCK_DRIFT, LEASE_MARGIN_S
from eelgrassdrum_core.jobs._records import Submitted, encode_records
from eelgrassdrum_core.jobs._runs import fencing_token
from eelgrassdrum_testing.jobs.owner import (
    BOUNDS,
    START_S,
    WALL_MS,
    feed,
    logged,
    make_owner_config,
    one_step,
    worker_entry,
)

LONGEST_S = BOUNDS.max_lease_s * (1 + CLOCK_DRIFT) + LEASE_MARGIN_S
TASK = model.TaskKey("job", 0, 0, 0)
SPEC = model.JobSpec("x", (one_step(),))
TICK_S = 0.1
# Time in which a claim is sent, and in which it is appended and read.
CLAIM_S = 2.0
# Delay of giving up a run after its lease: the ticks, and the time that the log doesn't show.
LATE_S = 0.5
FAILED_S = START_S + 30.0


class Fleet(NamedTuple):
    """
    The log as a store holds it, and the instances that read it.
    """

    log: list[bytes]
    nodes: list[Node]


def join(fleet, name, now_s, data=None):
    """
    Let an instance start that reads a snapshot, if there is one, and then the log.
    """
    node = new_node(Identity(name, WALL_MS, "zone"), BOUNDS)
    fleet.nodes.append(node)
    feed(node, now_s, events.OperatorRead(1, make_owner_config(), (), now_s))
    feed(node, now_s, events.SnapshotRead(data))
    read(fleet, node, now_s)
    return node


def read(fleet, node, now_s):
    """
    Let an instance read the rest of the log.
    """
    offset = node.replicated.offset
    event = events.LogRead(offset, tuple(fleet.log[offset:]), len(fleet.log), now_s)
    return feed(node, now_s, event)


def claim(fleet, node, now_s, listed=("w",), incarnation=7):
    """
    Let an instance claim the log within `CLAIM_S` and read the registry, and return the time.
    """
    read(fleet, node, now_s)
    feed(node, now_s + CLAIM_S, events.LogRead(len(fleet.log), (), len(fleet.log), now_s + CLAIM_S))
    produced = feed(node, now_s + CLAIM_S, events.Ticked())
    (append,) = [
        item for item in produced if isinstance(item, effects.Append) and item.channel == "claim"
    ]
    fleet.log.extend(append.records)
    read(fleet, node, now_s + CLAIM_S)
    assert node.ownership.is_owner
    entries = {name: worker_entry(name)._replace(incarnation=incarnation) for name in listed}
    feed(node, now_s + CLAIM_S, events.WorkersRead(1, True, entries))
    return now_s + CLAIM_S


def commit(fleet, node, now_s):
    """
    Let the store take the owner's appends, and return the effects.
    """
    produced = []
    while node.journal.in_flight is not None:
        fleet.log.extend(node.journal.data)
        event = events.Appended("owner", node.journal.seq, events.OK)
        produced += feed(node, now_s, event)
    return produced


def pass_time(fleet, owner, from_s, to_s, can_append=True):
    """
    Let time pass for an owner while all instances read the log, and return the effects with their
    times.
    """
    produced = []
    for tick in range(1, round((to_s - from_s) / TICK_S) + 1):
        now_s = from_s + tick * TICK_S
        produced += [(now_s, item) for item in feed(owner, now_s, events.Ticked())]
        if can_append:
            produced += [(now_s, item) for item in commit(fleet, owner, now_s)]
        for node in fleet.nodes:
            read(fleet, node, now_s)
    return produced


def answer(node, now_s, rows=(), incarnation=7, clock_ms=None):
    """
    Let the worker answer a hold with the newest token, and return the effects.
    """
    token = fencing_token(node, node.workers["w"])
    clock_ms = round(now_s * 1000) if clock_ms is None else clock_ms
    return feed(
        node, now_s, events.HoldAnswered("w", token, now_s, clock_ms, incarnation, rows, ())
    )


def time_out(node, now_s):
    """
    Let a hold with the newest token have no answer.
    """
    token = fencing_token(node, node.workers["w"])
    feed(node, now_s, events.HoldFailed("w", "timeout", token, now_s))


def lost_s(produced):
    """
    Return when runs were given up.
    """
    times = [now_s for now_s, item in produced if logged([item], "worker.runs_lost")]
    return times[0] if times else None


def make_fleet():
    """
    Return a fleet whose first instance owns the log and has a run on the worker "w", which answers.
    """
    fleet = Fleet([], [])
    owner = join(fleet, "first", START_S)
    now_s = claim(fleet, owner, START_S)
    answer(owner, now_s)
    fleet.log.extend(encode_records([Submitted("job", "usual", "service", "a", SPEC, WALL_MS)]))
    read(fleet, owner, now_s + 0.1)
    commit(fleet, owner, now_s + 0.1)
    feed(owner, now_s + 0.2, events.StartAnswered("w", TASK, 1, events.OK, "", 12_200))
    return fleet


def fail(fleet, from_s=START_S + 3, until_s=FAILED_S):
    """
    Let the first owner hold its worker until the worker doesn't answer any more, and return when
    its lease is certainly over.
    """
    owner = fleet.nodes[0]
    row = model.RunRow(TASK, 1, "", 10, 0.0)
    now_s = from_s
    while now_s < until_s:
        pass_time(fleet, owner, now_s, now_s + 1)
        now_s += 1
        answer(owner, now_s, (row,))
    time_out(owner, until_s)
    return lease_over_s(owner, owner.workers["w"])


def end(fleet, node):
    """
    Let an owner's process end.
    """
    fleet.nodes.remove(node)


FIXTURES = {"fleet": make_fleet}


# Guards against tasks that wait for the longest lease from the claim of each owner.
def test_a_successor_gives_up_an_unreachable_worker_when_the_former_owner_would(fleet):
    """
    The runs on a worker that stays unreachable are given up when its last lease is over.
    """
    successor = join(fleet, "second", START_S + 10)
    over_s = fail(fleet)
    pass_time(fleet, fleet.nodes[0], FAILED_S, FAILED_S + 1)
    end(fleet, fleet.nodes[0])
    claimed_s = claim(fleet, successor, FAILED_S + 1)
    time_out(successor, claimed_s + 0.5)
    given_up_s = lost_s(pass_time(fleet, successor, claimed_s + 0.5, claimed_s + 12))
    assert over_s <= given_up_s <= over_s + LATE_S, (over_s, given_up_s)


# Guards against the same, if each of two owners in a row knows the worker from its claim only.
def test_the_waits_of_two_owners_in_a_row_do_not_add_up(fleet):
    """
    The runs on a worker that no owner since has reached are given up when the first of them would.
    """
    fail(fleet)
    second, third = join(fleet, "second", FAILED_S), join(fleet, "third", FAILED_S)
    end(fleet, fleet.nodes[0])
    claimed_s = claim(fleet, second, FAILED_S)
    time_out(second, claimed_s + 0.5)
    over_s = lease_over_s(second, second.workers["w"])
    assert lost_s(pass_time(fleet, second, claimed_s + 0.5, claimed_s + 4)) is None
    end(fleet, second)
    claimed_s = claim(fleet, third, claimed_s + 4)
    time_out(third, claimed_s + 0.5)
    given_up_s = lost_s(pass_time(fleet, third, claimed_s + 0.5, claimed_s + 12))
    assert over_s <= given_up_s <= over_s + LATE_S, (over_s, given_up_s)


# Guards against the same, if the worker's entry in the registry has expired.
def test_a_successor_gives_up_an_unlisted_worker_when_the_former_owner_would(fleet):
    """
    The runs on a worker that is no longer listed are given up when its last lease is over.
    """
    successor = join(fleet, "second", START_S + 10)
    over_s = fail(fleet)
    pass_time(fleet, fleet.nodes[0], FAILED_S, FAILED_S + 1)
    end(fleet, fleet.nodes[0])
    claimed_s = claim(fleet, successor, FAILED_S + 1, listed=())
    given_up_s = lost_s(pass_time(fleet, successor, claimed_s, claimed_s + 12))
    assert over_s <= given_up_s <= over_s + LATE_S, (over_s, given_up_s)


# Guards against the same, if none of two owners in a row finds the worker in the registry.
def test_the_waits_for_an_unlisted_worker_do_not_add_up(fleet):
    """
    The runs on a worker that no owner since has found listed are given up when the first would.
    """
    fail(fleet)
    second, third = join(fleet, "second", FAILED_S), join(fleet, "third", FAILED_S)
    end(fleet, fleet.nodes[0])
    claimed_s = claim(fleet, second, FAILED_S, listed=())
    over_s = claimed_s + LONGEST_S
    assert lost_s(pass_time(fleet, second, claimed_s, claimed_s + 4)) is None
    end(fleet, second)
    claimed_s = claim(fleet, third, claimed_s + 4, listed=())
    given_up_s = lost_s(pass_time(fleet, third, claimed_s, claimed_s + 12))
    assert over_s <= given_up_s <= over_s + LATE_S, (over_s, given_up_s)


# Guards against the same, if the successor has read a snapshot and starts late.
def test_a_snapshot_keeps_since_when_a_worker_has_no_lease(fleet):
    """
    An instance that starts from a snapshot knows when the last lease of the worker is over.
    """
    owner = fleet.nodes[0]
    over_s = fail(fleet)
    pass_time(fleet, owner, FAILED_S, FAILED_S + 1)
    data = snapshot.encode(owner.replicated, FAILED_S + 1, WALL_MS)
    pass_time(fleet, owner, FAILED_S + 1, FAILED_S + 6)
    end(fleet, owner)
    successor = join(fleet, "second", FAILED_S + 6, data)
    claimed_s = claim(fleet, successor, FAILED_S + 6)
    time_out(successor, claimed_s + 0.5)
    given_up_s = lost_s(pass_time(fleet, successor, claimed_s + 0.5, claimed_s + 12))
    assert over_s <= given_up_s <= over_s + LATE_S, (over_s, given_up_s)
