"""
How long the leases of a worker that doesn't answer count after changes of owner.
"""

from typing import NamedTuple

from eelgrassdrum_core.jobs import Identity, Node, effects, events, model, new_node
from eelgrassdrum_core.jobs import _fold as fold
from eelgrassdrum_core.jobs import _snapshot as snapshot
from eelgrassdrum_core.jobs._leases import lease_over_s
from eelgrassdrum_core.jobs._ownership import CLOCK_DRIFT, LEASE_MARGIN_S, grant_s
from eelgrassdrum_core.jobs._records import (
    Claimed,
    Ended,
    LeaseBounded,
    LeaseLifted,
    Submitted,
    decode_record,
    encode_records,
)
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
# The same for leases that owners grant.
GRANTED_S = grant_s(BOUNDS) * (1 + CLOCK_DRIFT) + LEASE_MARGIN_S
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
    time_out(successor, claimed_s + 0.5)
    given_up_s = lost_s(pass_time(fleet, successor, claimed_s + 0.5, claimed_s + 12))
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
    over_s = claimed_s + GRANTED_S
    time_out(second, claimed_s + 0.5)
    assert lost_s(pass_time(fleet, second, claimed_s + 0.5, claimed_s + 4)) is None
    end(fleet, second)
    claimed_s = claim(fleet, third, claimed_s + 4, listed=())
    time_out(third, claimed_s + 0.5)
    given_up_s = lost_s(pass_time(fleet, third, claimed_s + 0.5, claimed_s + 12))
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
    pass_time(fleet, owner, FAILED_S + 1, FAILED_S + 4)
    end(fleet, owner)
    successor = join(fleet, "second", FAILED_S + 4, data)
    claimed_s = claim(fleet, successor, FAILED_S + 4)
    time_out(successor, claimed_s + 0.5)
    given_up_s = lost_s(pass_time(fleet, successor, claimed_s + 0.5, claimed_s + 12))
    assert over_s <= given_up_s <= over_s + LATE_S, (over_s, given_up_s)


def lease_holds(produced):
    """
    Return the holds among effects that renew a lease.
    """
    return [item for item in produced if isinstance(item, effects.Hold) and item.lease_ms]


def records_of(fleet, kind):
    """
    Return the records of a type in the log.
    """
    return [item for item in map(decode_record, fleet.log) if isinstance(item, kind)]


# Guards against a second run beside one whose lease the log says is over.
def test_a_regained_worker_gets_no_lease_until_its_bound_is_lifted(fleet):
    """
    A worker that answers again gets a lease once the end of its bound is committed, and then at
    once.
    """
    owner = fleet.nodes[0]
    fail(fleet)
    pass_time(fleet, owner, FAILED_S, FAILED_S + 1)
    row = model.RunRow(TASK, 1, "", 10, 0.0)
    produced = answer(owner, FAILED_S + 1.05, (row,))
    produced += answer(owner, FAILED_S + 1.1, (row,))
    produced += feed(owner, FAILED_S + 2.2, events.Ticked())
    produced += answer(owner, FAILED_S + 2.25, (row,))
    assert lease_holds(produced) == []
    fleet.log.extend(owner.journal.data)
    lifted = events.Appended("owner", owner.journal.seq, events.OK)
    assert len(lease_holds(feed(owner, FAILED_S + 2.3, lifted))) == 1
    assert len(records_of(fleet, LeaseBounded)) == len(records_of(fleet, LeaseLifted)) == 1


# Guards against the same by an order that was queued while the worker was reachable.
def test_a_queued_order_is_not_sent_before_the_bound_is_lifted(fleet):
    """
    The runs of orders that were queued before their worker failed end as unsent.
    """
    owner = fleet.nodes[0]
    steps = model.JobSpec("x", (one_step(3),))
    now_s = START_S + 3
    fleet.log.extend(encode_records([Submitted("more", "usual", "service", "a", steps, WALL_MS)]))
    read(fleet, owner, now_s)
    produced = commit(fleet, owner, now_s)
    sent = [item for item in produced if isinstance(item, effects.StartTask)]
    assert len(sent) == 2 and len(owner.workers["w"].outbox) == 1
    time_out(owner, now_s + 1)
    pass_time(fleet, owner, now_s + 1, now_s + 1.6)
    answer(owner, now_s + 1.7, (model.RunRow(TASK, 1, "", 10, 0.0),))
    failed = events.StartAnswered("w", sent[0].key, 1, events.UNKNOWN, "", 0)
    produced = feed(owner, now_s + 1.8, failed)
    assert not [item for item in produced if isinstance(item, effects.StartTask)]
    assert [line["how"] for line in logged(produced, "run.ended")] == ["unsent"]


# Guards against a second run beside one whose lease a former owner has renewed after all.
def test_a_lifted_bound_does_not_count(fleet):
    """
    A successor counts the leases that owners grant if the former owner had reached the worker
    again.
    """
    owner = fleet.nodes[0]
    successor = join(fleet, "second", START_S + 10)
    fail(fleet)
    pass_time(fleet, owner, FAILED_S, FAILED_S + 1)
    answer(owner, FAILED_S + 1.05, (model.RunRow(TASK, 1, "", 10, 0.0),))
    pass_time(fleet, owner, FAILED_S + 1.05, FAILED_S + 1.25)
    end(fleet, owner)
    claimed_s = claim(fleet, successor, FAILED_S + 1.3)
    time_out(successor, claimed_s + 0.5)
    given_up_s = lost_s(pass_time(fleet, successor, claimed_s + 0.5, claimed_s + 12))
    assert claimed_s + GRANTED_S <= given_up_s <= claimed_s + GRANTED_S + LATE_S


# Guards against the same if delayed orders may have reached the worker's next incarnation.
def test_a_bound_does_not_count_for_a_later_incarnation(fleet):
    """
    A successor waits for the longest lease if the worker has restarted since.
    """
    owner = fleet.nodes[0]
    successor = join(fleet, "second", START_S + 10)
    fail(fleet)
    pass_time(fleet, owner, FAILED_S, FAILED_S + 1)
    end(fleet, owner)
    claimed_s = claim(fleet, successor, FAILED_S + 1, incarnation=8)
    time_out(successor, claimed_s + 0.5)
    given_up_s = lost_s(pass_time(fleet, successor, claimed_s + 0.5, claimed_s + 12))
    assert claimed_s + LONGEST_S <= given_up_s <= claimed_s + LONGEST_S + LATE_S


# Guards against the same if an owner of a former version renews leases in spite of a bound.
def test_an_owner_that_does_not_keep_bounds_ends_them(fleet):
    """
    No bound counts after the claim of an owner that doesn't lift bounds before it grants leases.
    """
    owner = fleet.nodes[0]
    successor = join(fleet, "second", START_S + 10)
    fail(fleet)
    pass_time(fleet, owner, FAILED_S, FAILED_S + 1)
    assert successor.replicated.lease_bounds
    end(fleet, owner)
    fleet.log.extend(encode_records([Claimed(2, "old", WALL_MS)]))
    claimed_s = claim(fleet, successor, FAILED_S + 1)
    time_out(successor, claimed_s + 0.5)
    given_up_s = lost_s(pass_time(fleet, successor, claimed_s + 0.5, claimed_s + 12))
    assert claimed_s + LONGEST_S <= given_up_s <= claimed_s + LONGEST_S + LATE_S


# Guards against the same if the owner could append only a part of what it knew.
def test_a_late_commit_does_not_lift_a_newer_bound(fleet):
    """
    Reading back the record that lifted a former bound doesn't allow leases under a newer one.
    """
    replicated = fleet.nodes[0].replicated
    lifted = LeaseLifted(1, "w", 2000)
    for record in (
        LeaseBounded(1, "w", 7, 9000, 1000),
        lifted,
        LeaseBounded(1, "w", 7, 9000, 3000),
    ):
        fold.apply(replicated, record, START_S, WALL_MS)
    fold.confirm(replicated, lifted)
    fold.apply(replicated, LeaseLifted(1, "w", 4000), START_S, WALL_MS)
    fold.confirm(replicated, lifted)
    assert "w" in replicated.lease_bounds
    fold.confirm(replicated, LeaseLifted(1, "w", 4000))
    assert "w" not in replicated.lease_bounds


# Guards against leases that run out while the store doesn't answer, and against needless records.
def test_a_bound_that_was_not_sent_is_withdrawn(fleet):
    """
    While no append is answered, a worker that fails, restarts and answers again adds no record.
    """
    owner = fleet.nodes[0]
    fail(fleet)
    pass_time(fleet, owner, FAILED_S, FAILED_S + 0.8)
    row = model.RunRow(TASK, 1, "", 10, 0.0)
    answer(owner, FAILED_S + 0.9, (row,))
    pass_time(fleet, owner, FAILED_S + 0.9, FAILED_S + 1.6)
    counts = [len(records_of(fleet, kind)) for kind in (LeaseBounded, LeaseLifted)]
    feed(owner, FAILED_S + 1.9, events.Ticked())
    time_out(owner, FAILED_S + 2)
    feed(owner, FAILED_S + 2.6, events.Ticked())
    assert owner.journal.next.bounds
    answer(owner, FAILED_S + 2.7, (row,), incarnation=8)
    feed(owner, FAILED_S + 2.8, events.Ticked())
    assert len(owner.journal.next.bounds) == 1
    produced = answer(owner, FAILED_S + 2.9, (row,), incarnation=8, clock_ms=400)
    assert len(lease_holds(produced)) == 1
    pass_time(fleet, owner, FAILED_S + 2.9, FAILED_S + 3.4)
    assert [len(records_of(fleet, kind)) for kind in (LeaseBounded, LeaseLifted)] == counts
    assert not owner.replicated.lease_bounds


def test_a_worker_that_misses_one_answer_adds_no_record(fleet):
    """
    The log doesn't mention a worker that is reached again at once.
    """
    owner = fleet.nodes[0]
    fail(fleet)
    pass_time(fleet, owner, FAILED_S, FAILED_S + 0.4)
    answer(owner, FAILED_S + 0.45, (model.RunRow(TASK, 1, "", 10, 0.0),))
    pass_time(fleet, owner, FAILED_S + 0.5, FAILED_S + 1)
    assert records_of(fleet, LeaseBounded) == []


def test_bounds_of_workers_without_runs_are_forgotten(fleet):
    """
    Once the runs of a worker have ended, its leases have no bound.
    """
    owner = fleet.nodes[0]
    fail(fleet)
    pass_time(fleet, owner, FAILED_S, FAILED_S + 1)
    assert "w" in owner.replicated.lease_bounds
    assert lost_s(pass_time(fleet, owner, FAILED_S + 1, FAILED_S + 12))
    assert owner.replicated.lease_bounds == {}


# Guards against giving up finished runs because a new owner didn't ask their worker first.
def test_a_new_owner_asks_a_worker_before_its_runs_are_given_up(fleet):
    """
    Runs whose bound has expired count until the worker has answered the new owner or failed to.
    """
    successor = join(fleet, "second", START_S + 10)
    over_s = fail(fleet)
    pass_time(fleet, fleet.nodes[0], FAILED_S, FAILED_S + 1)
    end(fleet, fleet.nodes[0])
    claimed_s = claim(fleet, successor, over_s)
    assert lost_s(pass_time(fleet, successor, claimed_s, claimed_s + 0.6)) is None
    time_out(successor, claimed_s + 0.6)
    assert lost_s(pass_time(fleet, successor, claimed_s + 0.6, claimed_s + 1.1)) is not None


# Guards against a job whose next step never begins, since its tasks have ended on a worker that no
# later owner asks: the log doesn't hold the worker's address.
def test_a_new_owner_asks_a_worker_with_runs_that_the_registry_does_not_list(fleet):
    """
    A new owner calls a worker that only the registry can't reach, and counts the tasks that have
    ended there.
    """
    successor = join(fleet, "second", FAILED_S)
    end(fleet, fleet.nodes[0])
    claimed_s = claim(fleet, successor, FAILED_S, listed=())
    worker = successor.workers["w"]
    assert worker.holds == 1 and worker.entry.address == worker_entry("w").address
    token = fencing_token(successor, worker)
    ends = (model.EndRow(1, TASK, 1, "done", ""),)
    now_s = claimed_s + 0.1
    feed(successor, now_s, events.HoldAnswered("w", token, now_s, 30_000, 7, (), ends))
    commit(fleet, successor, now_s)
    read(fleet, successor, now_s)
    assert successor.replicated.jobs["job"].committed_state == "completed"


# Guards against a snapshot after which the address of such a worker is unknown.
def test_a_snapshot_keeps_where_workers_with_runs_can_be_reached(fleet):
    """
    The place of a worker with runs is part of a snapshot, and is forgotten with its last run.
    """
    owner = fleet.nodes[0]
    entry = worker_entry("w")
    used_log_s = owner.replicated.places["w"].used_log_s
    place = (entry.address, entry.instance, entry.incarnation, used_log_s)
    data = snapshot.encode(owner.replicated, FAILED_S, WALL_MS)
    restored = snapshot.decode(data, FAILED_S, WALL_MS)
    for replicated in (owner.replicated, restored):
        assert replicated.places == {"w": place}
        fold.apply(replicated, Ended(1, *TASK, 1, "lost", ""), FAILED_S, WALL_MS)
        assert replicated.places == {}
