"""
When the runs on a worker that doesn't answer are recorded as lost.
"""

import math

from eelgrassdrum_core.jobs import Identity, Moment, effects, events, model, new_node
from eelgrassdrum_core.jobs import _fold as fold
from eelgrassdrum_core.jobs import _snapshot as snapshot
from eelgrassdrum_core.jobs._leases import lease_over_s
from eelgrassdrum_core.jobs._ownership import (
    CLOCK_DRIFT,
    LEASE_MARGIN_S,
    former_lease_s,
    grant_s,
)
from eelgrassdrum_core.jobs._records import Claimed, Started, Submitted, encode_records
from eelgrassdrum_core.jobs._registry import end_incarnation, resume_incarnation
from eelgrassdrum_core.jobs._replicated_state import ReplicatedState
from eelgrassdrum_core.jobs._runs import fencing_token
from eelgrassdrum_testing.jobs.owner import (
    BOUNDS,
    START_S,
    WALL_MS,
    commit,
    feed,
    hand_in,
    logged,
    make_owner_config,
    one_step,
    owner_of,
    worker_entry,
)

CLAIM_SENT_S = START_S + 2
# The claim of a slow store is read late.
CLAIMED_S = CLAIM_SENT_S + 6
# Longest time that a lease lasts on the slowest clock, from when the worker takes it.
LONGEST_S = BOUNDS.max_lease_s * (1 + CLOCK_DRIFT)
FORMER_LEASES_END_S = CLAIMED_S + LONGEST_S + LEASE_MARGIN_S
GRANT_MS = round(grant_s(BOUNDS) * 1000)
TASK = model.TaskKey("job", 0, 0, 0)
POLICY = model.JobPolicy(1, 3, 1.6, 600)
ROW = model.RunRow(TASK, 1, "", 10, 0.0)


def make_successor():
    """
    Return an instance that has just taken over the log of an owner whose run is on the worker "w".
    """
    node = new_node(Identity("entry", WALL_MS, "zone"), BOUNDS)
    feed(node, START_S, events.OperatorRead(1, make_owner_config(), (), START_S))
    feed(node, START_S, events.SnapshotRead(None))
    spec = model.JobSpec("x", (one_step(),))
    former = [
        Claimed(1, "former", WALL_MS),
        Submitted("job", "usual", "service", "a", spec, WALL_MS, POLICY),
        Started(1, *TASK, 1, "w", 7),
    ]
    read_log(node, START_S, former)
    read_log(node, CLAIM_SENT_S, [])
    feed(node, CLAIM_SENT_S, events.Ticked())
    read_log(node, CLAIMED_S, [Claimed(2, "entry", WALL_MS)])
    assert node.ownership.is_owner
    feed(node, CLAIMED_S, events.WorkersRead(1, True, {"w": worker_entry("w")}))
    assert TASK in node.replicated.running["w"]
    return node


FIXTURES = {"successor": make_successor}


def read_log(node, now_s, records):
    """
    Let an instance read the rest of the log.
    """
    data = tuple(encode_records(records))
    offset = node.replicated.offset
    feed(node, now_s, events.LogRead(offset, data, offset + len(data), now_s))


def answer(node, now_s, incarnation=7, rows=(ROW,), clock_ms=5000):
    """
    Let the worker answer a hold with the newest token, and return the effects.
    """
    token = fencing_token(node, node.workers["w"])
    event = events.HoldAnswered("w", token, now_s, clock_ms, incarnation, rows, ())
    return feed(node, now_s, event)


def time_out(node, now_s, sent_s=math.inf):
    """
    Let a hold with the newest token have no answer.
    """
    token = fencing_token(node, node.workers["w"])
    feed(node, now_s, events.HoldFailed("w", "timeout", token, sent_s))


def lost_runs(node, from_s, to_s):
    """
    Let time pass while the worker doesn't answer, and return when its runs are recorded as lost.
    """
    lines = []
    now_s = from_s
    while now_s < to_s:
        lines += [now_s for _line in logged(feed(node, now_s, events.Ticked()), "worker.runs_lost")]
        now_s += 0.1
    return lines


def regain(node):
    """
    Let a worker that didn't answer the first hold answer one of the later ones and list the run,
    and return the effects.
    """
    time_out(node, CLAIMED_S + 0.8)
    for number in range(4):
        feed(node, CLAIMED_S + 0.81 + number * 0.26, events.Ticked())
    return answer(node, CLAIMED_S + 1.7)


def lease_holds(produced):
    """
    Return the holds among effects that renew the lease.
    """
    return [item for item in produced if isinstance(item, effects.Hold) and item.lease_ms]


# Guards against a second run beside the first one, whose lease a former owner had granted.
def test_a_worker_that_got_no_lease_from_this_owner_may_hold_a_former_one(successor):
    """
    The runs on a worker that was regained for a moment only aren't lost before former leases end.
    """
    regain(successor)
    time_out(successor, CLAIMED_S + 1.8)
    assert lost_runs(successor, CLAIMED_S + 1.81, FORMER_LEASES_END_S - 0.1) == []
    assert TASK in successor.replicated.running["w"]


# Guards against the same, if this owner may grant short leases only, since its claim was read late.
def test_a_former_lease_may_be_longer_than_the_one_of_this_owner(successor):
    """
    The runs on a worker aren't lost when the lease of this owner is over but a former one may last.
    """
    (hold,) = lease_holds(answer(successor, CLAIMED_S))
    assert hold.lease_ms <= 5000 + 1000 * (CLAIM_SENT_S + BOUNDS.max_lease_s - CLAIMED_S)
    time_out(successor, CLAIMED_S + 2)
    assert lost_runs(successor, CLAIMED_S + 2.1, FORMER_LEASES_END_S - 0.1) == []


# Guards against the same, if an order was all that renewed the lease.
def test_a_former_lease_may_be_longer_than_that_of_an_order(successor):
    """
    The short lease of an order doesn't replace a former one of another run.
    """
    successor.workers["w"].holds = 2
    answer(successor, CLAIMED_S + 0.1)
    hand_in(successor, [("other", "usual", (one_step(),), 0.0)], CLAIMED_S + 0.2)
    (order,) = commit(successor, CLAIMED_S + 0.3)
    assert order.lease_ms
    time_out(successor, CLAIMED_S + 0.9)
    assert lost_runs(successor, CLAIMED_S + 1, FORMER_LEASES_END_S - 0.1) == []


# Guards against a second run beside one that a delayed order began after the worker's restart.
def test_a_restarted_worker_may_hold_the_lease_of_a_delayed_order(successor):
    """
    A restarted worker may have taken a full lease until it accepted this owner's newest token.
    """
    accepted_s = FORMER_LEASES_END_S + 5
    answer(successor, CLAIMED_S)
    answer(successor, accepted_s - 4, incarnation=8, clock_ms=10)
    successor.workers["w"].holds = 2
    answer(successor, accepted_s, incarnation=8, clock_ms=4000)
    time_out(successor, accepted_s + 0.5)
    assert lost_runs(successor, accepted_s + 0.6, accepted_s + LONGEST_S) == []


# Guards against the same, if the worker has not accepted the newest token.
def test_a_restarted_worker_that_does_not_answer_may_hold_the_lease_of_a_delayed_order(successor):
    """
    The runs on a worker that restarted and doesn't answer are lost after the longest lease.
    """
    restarted_s = FORMER_LEASES_END_S + 5
    answer(successor, CLAIMED_S)
    answer(successor, restarted_s, incarnation=8, clock_ms=10)
    longest_s = restarted_s + LONGEST_S + LEASE_MARGIN_S
    (lost_s,) = lost_runs(successor, restarted_s, longest_s + 1)
    assert longest_s <= lost_s <= longest_s + 0.2


# Guards against the same after the end of the worker was concluded by mistake.
def test_a_resumed_worker_may_hold_a_lease_of_before(successor):
    """
    The lease that was granted before a worker was considered ended still counts once it is resumed.
    """
    answer(successor, CLAIMED_S, clock_ms=5000)
    granted_s = CLAIMED_S + 6
    feed(successor, granted_s, events.Ticked())
    commit(successor, granted_s)
    answer(successor, granted_s, clock_ms=11_000)
    worker = successor.workers["w"]
    end_incarnation(successor, Moment(granted_s + 1, WALL_MS), worker, "instance_ordered_down")
    before_s = lease_over_s(successor, worker)
    resume_incarnation(successor, worker)
    assert lease_over_s(successor, worker) >= before_s


# Guards against a lease that runs out, or runs given up, while older calls have no answer.
def test_the_lease_of_a_regained_worker_is_renewed_at_once(successor):
    """
    Earlier holds that are still without an answer don't delay the next renewal of the lease.
    """
    assert len(lease_holds(regain(successor))) == 1


# Guards against a worker that counts as unreachable again and again while it answers.
def test_a_call_that_was_sent_before_a_worker_answered_does_not_make_it_unreachable(successor):
    """
    The failure of a hold is no sign of a loss if the worker has answered since it was sent.
    """
    regain(successor)
    worker = successor.workers["w"]
    time_out(successor, CLAIMED_S + 1.8, CLAIMED_S + 1.1)
    assert not worker.is_failing
    time_out(successor, CLAIMED_S + 2.9, CLAIMED_S + 1.75)
    assert worker.is_failing


# Guards against tasks on a worker that is lost again, which nobody notices until its next call.
def test_an_idle_worker_that_was_regained_is_called_at_once():
    """
    A worker without runs is called when it answers again, and the failure of that call counts.
    """
    node = owner_of([worker_entry("w")])
    worker = node.workers["w"]
    time_out(node, CLAIMED_S)
    feed(node, CLAIMED_S + 0.05, events.Ticked())
    regained_s = CLAIMED_S + 0.5
    token = fencing_token(node, worker)
    late = events.HoldAnswered("w", token, CLAIMED_S + 0.05, 9000, 7, (), ())
    calls = [item for item in feed(node, regained_s, late) if isinstance(item, effects.Hold)]
    assert [(item.lease_ms, item.wait_s) for item in calls] == [(None, 0.0)]
    assert not worker.is_failing
    time_out(node, regained_s + 0.8, regained_s)
    assert worker.is_failing


# Guards against calls without end to a worker that runs nothing.
def test_an_idle_worker_that_was_regained_is_called_once():
    """
    After the call at once, a regained worker without runs is called as rarely as others.
    """
    node = owner_of([worker_entry("w")])
    time_out(node, CLAIMED_S)
    feed(node, CLAIMED_S + 0.05, events.Ticked())
    answer(node, CLAIMED_S + 0.5, rows=())
    produced = answer(node, CLAIMED_S + 0.6, rows=())
    for number in range(40):
        produced += feed(node, CLAIMED_S + 0.7 + number * 0.1, events.Ticked())
    assert [item for item in produced if isinstance(item, effects.Hold)] == []


# Guards against a restarted worker that takes delayed orders until a call to its former incarnation
# has timed out.
def test_a_restarted_worker_is_called_at_once(successor):
    """
    Holds of the former incarnation that are without an answer don't delay the first of the next.
    """
    answer(successor, CLAIMED_S)
    assert successor.workers["w"].holds == 1
    entry = worker_entry("w")._replace(incarnation=8)
    produced = feed(successor, CLAIMED_S + 1, events.WorkersRead(2, False, {"w": entry}))
    tokens = [item.token for item in produced if isinstance(item, effects.Hold)]
    assert tokens == [fencing_token(successor, successor.workers["w"])]


# Guards against leases that outlast the wait of the next owner, on a slow clock that was read long
# ago.
def test_a_lease_on_a_slow_clock_ends_before_the_next_owner_gives_it_up():
    """
    The lease for the first run after a while without any is over when the next owner assumes it.
    """
    node = owner_of([worker_entry("w")])
    worker = node.workers["w"]
    granted_s = worker.clock_at_s + 19
    hand_in(node, [("job", "usual", (one_step(),), 0.0)], granted_s)
    commit(node, granted_s)
    assert node.ownership.confirmed_s == granted_s
    lease_s = (worker.granted_ms - worker.clock_ms) / 1000
    assert lease_s > 19 + grant_s(BOUNDS) - 1
    granted_until_s = granted_s + grant_s(BOUNDS) * (1 + CLOCK_DRIFT)
    assert worker.clock_at_s + lease_s * (1 + CLOCK_DRIFT) <= granted_until_s


def counted_lease_s(*former):
    """
    Return for how long a new owner counts the leases of the former claimants, the latest one last.
    """
    node = new_node(Identity("entry", WALL_MS, "zone"), BOUNDS)
    own = Claimed(former[-1].epoch + 1, "entry", WALL_MS, lease_ms=GRANT_MS)
    for record in (*former, own):
        fold.apply(node.replicated, record, 0.0, WALL_MS)
    return former_lease_s(node) - LEASE_MARGIN_S


# Guards against two runs of a task while instances of a former release own the log in turn.
def test_the_leases_of_a_former_release_count_until_they_are_over():
    """
    Leases count as long as the longest that one of the latest owners grants, or as the longest that
    a worker takes if a claim doesn't tell.
    """
    new = [Claimed(epoch, "other", 1, lease_ms=GRANT_MS) for epoch in range(1, 4)]
    unknown = Claimed(1, "former", 1)
    assert math.isclose(counted_lease_s(*new), GRANT_MS / 1000 * (1 + CLOCK_DRIFT))
    assert math.isclose(counted_lease_s(unknown, *new[1:]), LONGEST_S)
    trimmed = new[2:]
    assert math.isclose(counted_lease_s(*trimmed), LONGEST_S)


def test_the_leases_that_claimants_grant_are_part_of_snapshots():
    """
    An instance that starts from a snapshot counts the leases of the former owners as others do.
    """
    replicated = ReplicatedState()
    for epoch in (1, 2):
        record = Claimed(epoch, "other", 1, lease_ms=GRANT_MS)
        fold.apply(replicated, record, 0.0, WALL_MS)
    restored = snapshot.decode(snapshot.encode(replicated, 0.0, WALL_MS), 0.0, WALL_MS)
    assert restored.lease_ms_by_claim == (GRANT_MS, GRANT_MS)


# Guards against leases beyond the claim of the next owner, whose start the former one has not seen.
def test_an_append_that_may_have_been_done_before_confirms_its_first_attempt(successor):
    """
    The store may answer a repeated append as before although another owner has begun since.
    """
    sent_s = CLAIMED_S + 0.3
    feed(successor, sent_s, events.Ticked())
    feed(successor, sent_s + 0.9, events.Appended("owner", successor.journal.seq, events.UNKNOWN))
    feed(successor, sent_s + 1.2, events.Ticked())
    feed(successor, sent_s + 1.3, events.Appended("owner", successor.journal.seq, events.OK))
    assert successor.ownership.confirmed_s == sent_s
