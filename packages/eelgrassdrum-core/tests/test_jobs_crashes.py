"""
Tasks under which workers crash: what counts, what is kept apart, and which jobs are given up.
"""

from eelgrassdrum_core.jobs import events, model
from eelgrassdrum_core.jobs._runs import fencing_token
from eelgrassdrum_testing.jobs.owner import (
    START_S,
    commit,
    feed,
    hand_in,
    one_step,
    owner_of,
    read_to_end,
    worker_entry,
)

FIRST_S = START_S + 3.0
# From a start to the crash, and from the crash to the next plan.
SHORT_S = 0.1
SIZE = model.Resources(4000, 64_000, 0)
CULPRIT = model.TaskKey("culprit", 0, 0, 0)
# Starts after the third crash under a task that break its budget.
MAX_FURTHER_STARTS = 3


def run_everything(node, now_s):
    """
    Commit the decided starts, let each worker list its runs, and plan again.
    """
    produced = []
    read_to_end(node, now_s)
    for order in commit(node, now_s):
        answer = events.StartAnswered(order.worker, order.key, order.run, events.OK, "", 6000)
        produced += feed(node, now_s, answer)
    for worker in list(node.workers.values()):
        if worker.is_listed and not worker.is_failing:
            produced += list_runs(node, worker.id, now_s)
    return produced


def list_runs(node, worker_id, now_s, percent=10):
    """
    Let a worker list the runs that the log has on it.
    """
    worker = node.workers[worker_id]
    rows = tuple(
        model.RunRow(key, task.run, "", percent, 0.0)
        for key, task in node.replicated.running.get(worker_id, {}).items()
    )
    token, incarnation = fencing_token(node, worker), worker.entry.incarnation
    answer = events.HoldAnswered(worker_id, token, now_s, 6000, incarnation, rows, ())
    return feed(node, now_s, answer)


def crash(node, worker_id, now_s):
    """
    Let a worker crash, and let the machine service show its instance as down.
    """
    worker = node.workers[worker_id]
    produced = feed(
        node, now_s, events.HoldFailed(worker_id, "closed", fencing_token(node, worker), now_s)
    )
    listed_s = now_s + 0.01
    row = model.InstanceRow(worker.entry.instance, "service", "down", "z", "r1", SIZE, "")
    produced += feed(node, listed_s, events.InstancesListed((row,), listed_s))
    return produced


def replace(node, worker_id, number, now_s):
    """
    Let the instance of a crashed worker come back with another worker.
    """
    entry = node.workers[worker_id].entry._replace(id=f"{worker_id}.{number}", incarnation=8)
    entries = {worker_id: None, entry.id: entry}
    feed(node, now_s, events.WorkersRead(2, False, entries))
    read_to_end(node, now_s)
    return list_runs(node, entry.id, now_s)


def hosts(node, key):
    """
    Return the worker on which a task runs, or an empty string.
    """
    for worker_id, tasks in node.replicated.running.items():
        if key in tasks:
            return worker_id
    return ""


def crash_until_closed(node, key, rounds=8):
    """
    Let each worker that starts a task crash, and return the number of its starts.
    """
    starts = 0
    for number in range(rounds):
        now_s = FIRST_S + 1 + number
        run_everything(node, now_s)
        worker_id = hosts(node, key)
        if not worker_id:
            break
        starts += 1
        crash(node, worker_id, now_s + SHORT_S)
        replace(node, worker_id, number, now_s + 3 * SHORT_S)
    return starts


# Guards against a task that crashes one worker after another without end.
def test_a_task_that_crashes_its_workers_fails_its_job():
    """
    A task that crashes each worker is started few times, and its job is shown as failed.
    """
    node = owner_of([worker_entry(f"w{number}") for number in range(10)])
    hand_in(node, [("culprit", "usual", (one_step(),), 0.0)])
    assert crash_until_closed(node, CULPRIT) < 3 + MAX_FURTHER_STARTS
    assert node.replicated.jobs["culprit"].state == "failed"


# Guards against neighbours that are given up for the crashes that another task causes.
def test_neighbours_of_a_crashing_task_are_kept():
    """
    Jobs that share workers with a task that crashes them are not given up and keep running.
    """
    node = owner_of([worker_entry(f"w{number}", 8000) for number in range(4)])
    neighbours = [(f"n{number}", "usual", (one_step(),), 0.0) for number in range(6)]
    hand_in(node, [("culprit", "usual", (one_step(),), 0.0), *neighbours])
    crash_until_closed(node, CULPRIT)
    run_everything(node, FIRST_S + 20)
    jobs = node.replicated.jobs
    assert jobs["culprit"].state == "failed"
    assert {jobs[name].state for name, *_rest in neighbours} == {"running"}
    assert all(hosts(node, model.TaskKey(name, 0, 0, 0)) for name, *_rest in neighbours)
