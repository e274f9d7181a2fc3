"""
Runs that no answer of their worker confirms: whether a crash of the worker counts under their task.
"""

from eelgrassdrum_core.jobs import ReplicatedState, effects, events, model
from eelgrassdrum_core.jobs import _fold as fold
from eelgrassdrum_core.jobs import _records as records
from eelgrassdrum_core.jobs import _snapshot as snapshot
from eelgrassdrum_core.jobs._runs import fencing_token
from eelgrassdrum_testing.jobs.owner import (
    START_S,
    WALL_MS,
    commit,
    feed,
    hand_in,
    logged,
    one_step,
    owner_of,
    read_to_end,
    worker_entry,
)

FIRST_S = START_S + 3.0
# From an order to the failure of the calls to its worker.
SHORT_S = 0.1
TASK = model.TaskKey("job", 0, 0, 0)
SIZE = model.Resources(4000, 64_000, 0)
# Starts after the third crash under a task that break its budget.
MAX_FURTHER_STARTS = 3


def make_owner():
    """
    Return a function that gives an owner of some workers and a job of one task.
    """

    def make(count):
        node = owner_of([worker_entry(f"w{number}") for number in range(count)])
        hand_in(node, [("job", "usual", (one_step(),), 0.0)], FIRST_S)
        return node

    return make


def host(node):
    """
    Return the worker on which the task runs, or an empty string.
    """
    return next((name for name, tasks in node.replicated.running.items() if TASK in tasks), "")


def answer_holds(node, now_s, names):
    """
    Let workers answer with the runs that the log has on them.
    """
    produced = []
    for name in names:
        worker = node.workers[name]
        if not worker.is_listed or worker.is_failing:
            continue
        rows = tuple(
            model.RunRow(key, task.run, "", 10, 0.0)
            for key, task in node.replicated.running.get(name, {}).items()
            if worker.orders.get(key) is None or worker.orders[key].sent_s
        )
        answer = events.HoldAnswered(
            name, fencing_token(node, worker), now_s, 6000, worker.entry.incarnation, rows, ()
        )
        produced += feed(node, now_s, answer)
    return produced


def confirm(node, now_s):
    """
    Commit the start of the task and let its worker confirm it.
    """
    for order in commit(node, now_s):
        answer = events.StartAnswered(order.worker, order.key, order.run, events.OK, "", 6000)
        feed(node, now_s, answer)


def lose_answers(node, now_s):
    """
    Commit the start of the task and let its order time out.
    """
    for order in commit(node, now_s):
        outcome = events.StartAnswered(
            order.worker, order.key, order.run, events.UNKNOWN, "timeout", 0
        )
        feed(node, now_s, outcome)


def crash(node, name, now_s):
    """
    Let the calls to a worker fail and the machine service show its instance as down.
    """
    worker = node.workers[name]
    failure = events.HoldFailed(name, "closed", fencing_token(node, worker), now_s)
    produced = feed(node, now_s, failure)
    row = model.InstanceRow(worker.entry.instance, "service", "down", "z", "r1", SIZE, "")
    listed_s = now_s + 0.01
    return produced + feed(node, listed_s, events.InstancesListed((row,), listed_s))


def crash_on_receipt(node, rounds):
    """
    Let each worker that gets the task end before it answers, and return the number of orders.
    """
    count = 0
    for number in range(rounds):
        now_s = FIRST_S + 1.0 + number
        read_to_end(node, now_s)
        sent = commit(node, now_s)
        answer_holds(node, now_s, list(node.workers))
        sent += commit(node, now_s + 0.02)
        name = host(node)
        if not name:
            break
        count += len(sent)
        crash(node, name, now_s + SHORT_S)
    return count


# Guards against LOST: a job given up for workers that were dead before its task was sent to them.
def test_idle_workers_that_were_dead_before_the_order_are_no_crashes(make_owner):
    """
    A job whose task is ordered on one dead worker after the other is not given up.
    """
    node = make_owner(6)
    confirm(node, FIRST_S)
    crash(node, host(node), FIRST_S + SHORT_S)
    for number in range(1, 4):
        now_s = FIRST_S + 30.0 * number
        read_to_end(node, now_s)
        name = host(node)
        if not name:
            continue
        lose_answers(node, now_s + 0.01)
        crash(node, name, now_s + SHORT_S)
    job = node.replicated.jobs["job"]
    assert job.state != "failed"
    assert len(job.occurrences[0][0].tasks[0].crashes) == 1


# Guards against the same count where the worker comes back under its id.
def test_a_restart_of_a_worker_that_never_confirmed_a_run_is_no_crash(make_owner):
    """
    A run that was ordered and not confirmed ends as unconfirmed when its worker has restarted.
    """
    node = make_owner(1)
    now_s = FIRST_S + 30.0
    worker = node.workers["w0"]
    read_to_end(node, now_s)
    lose_answers(node, now_s)
    entry = worker.entry._replace(incarnation=8)
    produced = feed(node, now_s + 1, events.WorkersRead(2, False, {"w0": entry}))
    answer = events.HoldAnswered("w0", fencing_token(node, worker), now_s + 1, 5, 8, (), ())
    produced += feed(node, now_s + 1, answer)
    assert [line["how"] for line in logged(produced, "run.ended")] == ["unconfirmed"]
    assert not node.replicated.suspects


def test_a_confirmed_run_counts_when_its_worker_restarts(make_owner):
    """
    A run that was confirmed ends as crashed when its worker has restarted.
    """
    node = make_owner(1)
    worker = node.workers["w0"]
    confirm(node, FIRST_S)
    entry = worker.entry._replace(incarnation=8)
    produced = feed(node, FIRST_S + 1, events.WorkersRead(2, False, {"w0": entry}))
    answer = events.HoldAnswered("w0", fencing_token(node, worker), FIRST_S + 1, 5, 8, (), ())
    produced += feed(node, FIRST_S + 1, answer)
    assert [line["how"] for line in logged(produced, "run.ended")] == ["crashed"]


# Guards against a retry without a limit of a task that ends its worker before this can answer.
def test_a_task_that_ends_each_worker_before_it_answers_fails_its_job(make_owner):
    """
    A task that ends worker after worker at once is ordered few times, and its job is failed.
    """
    node = make_owner(12)
    assert crash_on_receipt(node, 10) < 3 + MAX_FURTHER_STARTS
    assert node.replicated.jobs["job"].state == "failed"


def test_a_task_whose_run_was_never_confirmed_waits_for_a_worker_that_answers(make_owner):
    """
    After an unconfirmed end, a task starts only on a worker that has just answered, and idle ones
    are called at once.
    """
    node = make_owner(3)
    now_s = FIRST_S + 10.0
    first = host(node)
    read_to_end(node, now_s)
    lose_answers(node, now_s)
    produced = crash(node, first, now_s + SHORT_S)
    assert host(node) == ""
    called = {item.worker for item in produced if isinstance(item, effects.Hold)}
    others = {"w0", "w1", "w2"} - {first}
    assert called >= others
    answering = sorted(others)[0]
    answer_holds(node, now_s + 0.2, [answering])
    read_to_end(node, now_s + 0.2)
    assert host(node) == answering


# Guards against a new owner that counts, or forgets, what the former one could not confirm.
def test_unconfirmed_ends_outlive_the_owner_and_a_snapshot():
    """
    What the log says of a worker that had just answered, and of an unconfirmed run, is kept.
    """
    replicated = ReplicatedState()
    spec = model.JobSpec("x", (one_step(),))
    for record in (
        records.Submitted("job", "usual", "service", "a", spec, WALL_MS),
        records.Claimed(1, "entry", 1),
        records.Started(1, *TASK, 1, "w1", 1),
        records.Ended(1, *TASK, 1, "unconfirmed", ""),
        records.Started(1, *TASK, 2, "w2", 1, is_verified=True),
    ):
        fold.apply(replicated, record, 10.0, WALL_MS)
    restored = snapshot.decode(snapshot.encode(replicated, 10.0, WALL_MS), 10.0, WALL_MS)
    for state in (replicated, restored):
        task = state.running["w2"][TASK]
        assert (task.needs_answer, task.is_verified, task.crashes) == (True, True, ())


FIXTURES = {"make_owner": make_owner}
