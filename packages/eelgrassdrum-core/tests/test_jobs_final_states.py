"""
The final state of a job whose cancellation and end meet.

Every instance derives it from the order of the log, whatever the owner knew when it wrote the end.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdrum_core.jobs import Identity, ReplicatedState, effects, events, model, new_node
from eelgrassdrum_core.jobs import _fold as fold
from eelgrassdrum_core.jobs import _replicated_state as states
from eelgrassdrum_core.jobs import _snapshot as snapshot
from eelgrassdrum_core.jobs._intake import visible_state
from eelgrassdrum_core.jobs._records import (
    Cancelled,
    Claimed,
    Closed,
    Submitted,
    decode_record,
    encode_records,
)
from eelgrassdrum_testing.jobs.owner import (
    BOUNDS,
    OWNER_TOKEN,
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

JOB = "job"
TASK = model.TaskKey(JOB, 0, 0, 0)
STARTED_S = START_S + 3.1
ENDED_S = START_S + 4
CANCEL = Cancelled(JOB, WALL_MS)
SUBMISSION = Submitted(JOB, "usual", "service", "a", model.JobSpec("x", (one_step(),)), WALL_MS)
CLOSES = st.builds(
    Closed, st.just(1), st.just(JOB), st.sampled_from(sorted(states.FINAL_STATES)), st.just(WALL_MS)
)


def make_running():
    """
    Return an owner whose worker runs the only task of a job.
    """
    node = owner_of([worker_entry("w")])
    hand_in(node, [(JOB, "usual", (one_step(),), 0.0)])
    (order,) = commit(node, STARTED_S)
    feed(node, STARTED_S, events.StartAnswered("w", order.key, order.run, events.OK, "", 6000))
    return node


def make_reader():
    """
    Return an instance that has read an empty log.
    """
    node = new_node(Identity("reader", WALL_MS, "zone"), BOUNDS)
    feed(node, START_S, events.OperatorRead(1, make_owner_config(), (), START_S))
    feed(node, START_S, events.SnapshotRead(None))
    feed(node, START_S, events.LogRead(0, (), 0, START_S))
    return node


FIXTURES = {"owner": make_running, "reader": make_reader}


def end_task(node, now_s=ENDED_S):
    """
    Let the worker list the task as done, and return the effects.
    """
    end = model.EndRow(1, TASK, 1, "done", "")
    return feed(
        node, now_s, events.HoldAnswered("w", OWNER_TOKEN, now_s - 0.1, 7000, 7, (), (end,))
    )


def read(node, now_s, records):
    """
    Let an instance read records up to the end of the log.
    """
    offset = node.replicated.offset
    event = events.LogRead(offset, tuple(records), offset + len(records), now_s)
    return feed(node, now_s, event)


def shown(node, now_s):
    """
    Return the state of the job that an instance tells its caller.
    """
    call = events.CallReceived(9, events.LOOK_UP, "host", f"/usual/{JOB}", "key", 3.0, None)
    (state,) = replied(feed(node, now_s, call))
    return state


def cancel(node, now_s):
    """
    Let a caller cancel the job, and return the effects.
    """
    call = events.CallReceived(8, events.CANCEL, "host", f"/usual/{JOB}", "key", 3.0, None)
    return feed(node, now_s, call)


def replied(produced):
    """
    Return the details of the replies among effects.
    """
    return [item.detail for item in produced if isinstance(item, effects.Reply)]


def apply(records):
    """
    Apply records of the log, and return the state of the job that callers are told after each.
    """
    replicated = ReplicatedState()
    told = []
    for record in (Claimed(1, "entry", WALL_MS), SUBMISSION, *records):
        fold.apply(replicated, record, 10.0, WALL_MS)
        fold.confirm(replicated, record)
        if JOB in replicated.jobs:
            told.append(visible_state(replicated.jobs[JOB]))
    return replicated, told


# Guards against a job that was shown as cancelled and is shown as completed later.
@given(st.lists(st.one_of(st.just(CANCEL), CLOSES), max_size=6))
@settings(max_examples=150, deadline=None, derandomize=True)
def test_a_final_state_stays(records):
    """
    For any order of cancellations and ends in the log, a final state that was told stays.
    """
    _replicated, told = apply(records)
    final = [state for state in told if state in states.FINAL_STATES]
    assert len(set(final)) <= 1
    assert told[len(told) - len(final) :] == final


# Guards against an owner that misses a cancellation and tells the state that it wrote itself.
def test_an_end_after_a_cancellation_that_the_owner_has_not_read_is_a_cancellation(owner):
    """
    An owner that closes a job as completed tells so only once it has read what precedes that.
    """
    end_task(owner)
    data = owner.journal.data
    assert Closed in [type(decode_record(item)) for item in data]
    commit(owner, ENDED_S + 0.1)
    assert shown(owner, ENDED_S + 0.1) == states.RUNNING
    read(owner, ENDED_S + 0.2, [*encode_records([CANCEL]), *data])
    assert shown(owner, ENDED_S + 0.2) == states.CANCELLED


def test_a_cancellation_after_the_end_changes_nothing(owner):
    """
    A cancellation that the owner appends behind the end of the job leaves it completed.
    """
    end_task(owner)
    data = owner.journal.data
    forwarded = events.PeerRecords(5, 1, tuple(encode_records([CANCEL])))
    feed(owner, ENDED_S, forwarded)
    commit(owner, ENDED_S + 0.1)
    assert shown(owner, ENDED_S + 0.1) == states.RUNNING
    read(owner, ENDED_S + 0.2, data)
    assert shown(owner, ENDED_S + 0.2) == states.COMPLETED
    read(owner, ENDED_S + 0.3, encode_records([CANCEL]))
    assert shown(owner, ENDED_S + 0.3) == states.COMPLETED


# Guards against former releases that take a cancelled job as completed.
def test_an_owner_closes_a_cancelled_job_as_cancelled(owner):
    """
    A job whose last task ends before the owner acts on its cancellation is closed as cancelled.
    """
    owner.next_plan_s = ENDED_S + 1
    read(owner, ENDED_S - 0.1, encode_records([CANCEL]))
    produced = end_task(owner)
    assert [item["state"] for item in logged(produced, "job.closed")] == [states.CANCELLED]


def test_a_snapshot_of_a_former_release_keeps_a_cancellation():
    """
    A job that a former release took as completed after its cancellation is restored as cancelled.
    """
    replicated, _told = apply([CANCEL, Closed(1, JOB, states.COMPLETED, WALL_MS)])
    job = replicated.jobs[JOB]
    job.state = job.committed_state = states.COMPLETED
    data = snapshot.encode(replicated, 10.0, WALL_MS)
    restored = snapshot.decode(data, 10.0, WALL_MS).jobs[JOB]
    assert (restored.state, restored.committed_state) == (states.CANCELLED, states.CANCELLED)


# Guards against a caller who is told `running` about a job that is shown as cancelled.
def test_a_second_cancellation_is_answered_with_the_state_that_is_shown(owner):
    """
    A caller who cancels a job once more is told that it is cancelled, before its end is committed.
    """
    read(owner, ENDED_S, encode_records([CANCEL]))
    assert replied(cancel(owner, ENDED_S + 0.1)) == [states.CANCELLED]


# Guards against a caller who is told `cancelled` about a job that is shown as completed.
def test_a_cancellation_of_a_job_that_had_ended_is_answered_with_its_state(reader):
    """
    A caller whose cancellation follows the end of the job in the log is told that end.
    """
    produced = cancel(reader, START_S + 0.1)
    (append,) = [item for item in produced if isinstance(item, effects.Append)]
    answer = events.Appended(append.channel, append.seq, events.OK)
    assert replied(feed(reader, START_S + 0.2, answer)) == []
    end = Closed(1, JOB, states.COMPLETED, WALL_MS)
    data = [*encode_records([Claimed(1, "entry", WALL_MS), SUBMISSION, end]), *append.records]
    assert replied(read(reader, START_S + 0.3, data)) == [states.COMPLETED]
