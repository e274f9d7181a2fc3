"""
When a job counts as begun: its state, and the number of queued jobs.
"""

from eelgrassdrum_core.jobs import (
    ReplicatedState,
    _fold,
    _snapshot,
    effects,
    events,
    model,
    records,
)
from eelgrassdrum_testing.jobs.owner import (
    OWNER_TOKEN,
    START_S,
    WALL_MS,
    commit,
    feed,
    hand_in,
    one_step,
    owner_of,
    worker_entry,
)

NOW_S = START_S + 3.0
# Time after which the owner has written another heartbeat.
HEARTBEAT_S = 0.25
CLAIM = records.Claimed(1, "entry", WALL_MS, tells_begins=True)
FORMER_CLAIM = records.Claimed(1, "entry", WALL_MS)


def make_owner():
    """
    Build an owner that records begins, with one worker.
    """
    node = owner_of([worker_entry("w", 8000)])
    node.replicated.tells_begins = True
    return node


FIXTURES = {"owner": make_owner}


def order_of(node, name="job", count=1):
    """
    Hand a job in, and return its orders once their records are committed.
    """
    hand_in(node, [(name, "usual", (one_step(count),), 0.0)])
    return [order for order in commit(node, NOW_S) if order.key.job == name]


def answer(node, order, outcome, now_s=NOW_S + 0.01):
    """
    Let the worker answer an order.
    """
    clock_ms = 6000 if outcome == events.OK else 0
    fields = (order.worker, order.key, order.run, outcome, "", clock_ms)
    return feed(node, now_s, events.StartAnswered(*fields))


def worker_lists(runs=(), ends=()):
    """
    Build an answer of the worker with its lists.
    """
    return events.HoldAnswered("w", OWNER_TOKEN, NOW_S + 0.1, 8000, 7, runs, ends)


def write_heartbeat(node):
    """
    Let the owner append its next heartbeat, and return all records of the append.
    """
    feed(node, NOW_S + HEARTBEAT_S, events.Ticked())
    written = [records.decode_record(data) for data in node.journal.data]
    commit(node, NOW_S + HEARTBEAT_S)
    return written


def shown(replicated, name="job"):
    """
    Return the state that callers are told of a job, and the number of queued jobs.
    """
    return replicated.jobs[name].committed_state, replicated.pending["usual"]


def begins_in(written):
    """
    Return the jobs that records tell to have begun.
    """
    return [item.jobs for item in written if isinstance(item, records.Begun)]


# Guards against a job that is shown as running although its worker has refused all starts.
def test_a_job_whose_starts_are_refused_stays_queued(owner):
    """
    A recorded start that the worker refuses or that isn't sent changes neither state nor count.
    """
    (order,) = order_of(owner)
    assert shown(owner.replicated) == ("queued", 1)
    answer(owner, order, events.REFUSED)
    assert begins_in(write_heartbeat(owner)) == []
    assert shown(owner.replicated) == ("queued", 1)


# Guards against a job that stays queued while it runs.
def test_a_job_has_begun_once_a_worker_confirms_a_start(owner):
    """
    A confirmed start is recorded with the next heartbeat, without an append of its own.
    """
    first, second = order_of(owner, count=2)
    answer(owner, first, events.REFUSED)
    commit(owner, NOW_S + 0.02)
    produced = answer(owner, second, events.OK, NOW_S + 0.03)
    assert not any(isinstance(item, effects.Append) for item in produced)
    assert begins_in(write_heartbeat(owner)) == [("job",)]
    assert shown(owner.replicated) == ("running", 0)


# Guards against a job that stays queued if the answer to its start was lost.
def test_a_listed_run_has_begun(owner):
    """
    A run that the worker lists, as running or as ended, shows that its job has begun.
    """
    (order,) = order_of(owner)
    row = model.RunRow(order.key, order.run, "", 10, 0.0)
    feed(owner, NOW_S + 0.1, worker_lists((row,)))
    (other,) = order_of(owner, "other")
    end = model.EndRow(1, other.key, other.run, "failed", "")
    feed(owner, NOW_S + 0.1, worker_lists((row,), (end,)))
    write_heartbeat(owner)
    assert shown(owner.replicated) == ("running", 0)
    assert shown(owner.replicated, "other") == ("running", 0)


# Guards against one record or append more for each start.
def test_begins_of_many_jobs_are_one_record(owner):
    """
    Jobs that have begun since the last append are told by one record, each once.
    """
    orders = [order for name in ("a", "b", "c") for order in order_of(owner, name, 2)]
    while orders:
        produced = answer(owner, orders.pop(0), events.OK)
        orders += [item for item in produced if isinstance(item, effects.StartTask)]
    assert begins_in(write_heartbeat(owner)) == [("a", "b", "c")]


def test_a_refused_job_that_is_cancelled_leaves_the_count(owner):
    """
    The count of queued jobs returns to 0 once a job that never began is closed.
    """
    (order,) = order_of(owner)
    answer(owner, order, events.REFUSED)
    cancel = tuple(records.encode_records([records.Cancelled("job", WALL_MS)]))
    offset = owner.replicated.offset
    feed(owner, NOW_S + 0.1, events.LogRead(offset, cancel, offset + 1, NOW_S + 0.1))
    commit(owner, NOW_S + 0.2)
    assert owner.replicated.jobs["job"].state == "cancelled"
    assert owner.replicated.pending["usual"] == 0


def read_log(claim, *later):
    """
    Return the state of an instance that reads a job, a start of it and what follows.
    """
    spec = model.JobSpec("x", (one_step(),))
    submitted = records.Submitted("job", "usual", "service", "a", spec, WALL_MS)
    start = records.Started(claim.epoch, "job", 0, 0, 0, 1, "w", 7)
    replicated = ReplicatedState()
    for record in (claim, submitted, start, *later):
        _fold.apply(replicated, record, NOW_S, WALL_MS)
        _fold.confirm(replicated, record)
    return replicated


# Guards against other instances that count by recorded starts.
def test_all_instances_count_by_the_begins_in_the_log():
    """
    Readers of the log take a job as begun by the owner's record, also from a snapshot.
    """
    for later, expected in (((), ("queued", 1)), ((records.Begun(1, ("job",)),), ("running", 0))):
        replicated = read_log(CLAIM, *later)
        assert shown(replicated) == expected
        restored = _snapshot.decode(_snapshot.encode(replicated, NOW_S, WALL_MS), NOW_S, WALL_MS)
        assert restored.tells_begins and restored.jobs["job"].committed_state == expected[0]
        assert restored.pending.get("usual", 0) == expected[1]


# Guards against jobs that stay queued for ever in logs of owners that don't record begins.
def test_starts_of_a_former_release_are_begins():
    """
    In the log of an owner of a former release, a job has begun at its first recorded start; the
    next owner decides how its own starts are read.
    """
    assert shown(read_log(FORMER_CLAIM)) == ("running", 0)
    replicated = read_log(FORMER_CLAIM, records.Claimed(2, "next", 1, tells_begins=True))
    assert shown(replicated) == ("running", 0) and replicated.tells_begins


# Guards against a count that stays too high when the owner ends before it has told of a begin.
def test_a_new_owner_tells_of_runs_that_it_finds():
    """
    A new owner records that a job has begun once a worker lists its run.
    """
    node = owner_of([worker_entry("w", 8000)])
    node.replicated.tells_begins = True
    (order,) = order_of(node)
    # As for an owner that has read the start in the log.
    node.workers["w"].orders.clear()
    node.unsent_by_step.clear()
    row = model.RunRow(order.key, order.run, "", 10, 0.0)
    feed(node, NOW_S + 0.1, worker_lists((row,)))
    assert begins_in(write_heartbeat(node)) == [("job",)]
