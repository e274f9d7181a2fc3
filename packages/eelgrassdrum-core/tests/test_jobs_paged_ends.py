"""
Lists of a worker that don't name all of its runs and ends.
"""

from eelgrassdrum_core.jobs import effects, events, model
from eelgrassdrum_core.jobs._runs import fencing_token
from eelgrassdrum_testing.jobs.owner import (
    START_S,
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
COUNT = 5
PAGE = 2


def make_running():
    """
    Return an owner and its worker, which has confirmed the runs of all tasks of a job.
    """
    node = owner_of([worker_entry("w0", 8000), worker_entry("w1", 8000)])
    hand_in(node, [("job", "usual", (one_step(COUNT),), 0.0)], FIRST_S)
    orders = commit(node, FIRST_S)
    while orders:
        order = orders.pop()
        answer = events.StartAnswered(order.worker, order.key, order.run, events.OK, "", 6000)
        produced = feed(node, FIRST_S, answer)
        orders += [item for item in produced if isinstance(item, effects.StartTask)]
    (worker_id,) = node.replicated.running
    yield node, node.workers[worker_id]


def list_ends(node, worker, now_s, first, last, is_complete, incarnation=0):
    """
    Let a worker list no runs and some of its ends, and return the effects.
    """
    rows = tuple(
        model.EndRow(number, model.TaskKey("job", 0, 0, number - 1), 1, "done", "")
        for number in range(first, last + 1)
    )
    answer = events.HoldAnswered(
        worker.id,
        fencing_token(node, worker),
        now_s,
        7000,
        incarnation or worker.entry.incarnation,
        (),
        rows,
        is_complete,
    )
    read_to_end(node, now_s)
    produced = feed(node, now_s, answer)
    commit(node, now_s)
    return produced


# Guards against TWICE: tasks whose ends are on later pages run again, as if they were lost.
def test_runs_whose_ends_are_on_later_pages_are_not_lost(running):
    """
    Runs that a worker no longer lists wait for the rest of its ends, and none starts again.
    """
    node, worker = running
    produced = []
    for first in range(1, COUNT + 1, PAGE):
        last = min(first + PAGE - 1, COUNT)
        is_complete = last == COUNT
        now_s = FIRST_S + 1 + first
        produced += list_ends(node, worker, now_s, first, last, is_complete)
    assert [line["how"] for line in logged(produced, "run.ended")] == ["done"] * COUNT
    assert not logged(produced, "run.decided")
    assert node.replicated.jobs["job"].state == "completed"


# Guards against runs that wait for an end that never comes.
def test_runs_that_complete_lists_lack_are_lost(running):
    """
    Runs that are in no list once all ends are listed are lost, and start again.
    """
    node, worker = running
    list_ends(node, worker, FIRST_S + 1, 1, PAGE, False)
    produced = list_ends(node, worker, FIRST_S + 2, PAGE + 1, COUNT - 1, True)
    ends = [line["how"] for line in logged(produced, "run.ended")]
    assert ends == ["done"] * (COUNT - 1 - PAGE) + ["lost"]
    assert [line["task"] for line in logged(produced, "run.decided")] == [f"0.0.{COUNT - 1}"]


# Guards against the same for a worker that has restarted and has carried out delayed orders.
def test_runs_of_a_former_incarnation_wait_for_all_ends(running):
    """
    Runs of a worker that has restarted are not given up before all of its ends are listed.
    """
    node, worker = running
    entry = worker.entry._replace(incarnation=8)
    feed(node, FIRST_S + 1, events.WorkersRead(2, False, {worker.id: entry}))
    produced = list_ends(node, worker, FIRST_S + 1, 1, PAGE, False, 8)
    assert [line["how"] for line in logged(produced, "run.ended")] == ["done"] * PAGE
    assert len(node.replicated.running[worker.id]) == COUNT - PAGE


FIXTURES = {"running": make_running}
