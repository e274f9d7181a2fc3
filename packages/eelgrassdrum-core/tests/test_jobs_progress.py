"""
Slow tasks are moved to other workers, and no others.
"""

from eelgrassdrum_core.jobs import effects, events, model
from eelgrassdrum_testing.jobs.owner import (
    OWNER_TOKEN,
    START_S,
    commit,
    feed,
    hand_in,
    one_step,
    owner_of,
    worker_entry,
)

SENT_S = START_S + 3.1


def make_running():
    """
    Return an owner of two workers, of which the first runs two tasks, and their orders.
    """
    node = owner_of([worker_entry("a", 2000), worker_entry("b", 8000)])
    hand_in(node, [("job", "usual", (one_step(2),), 0.0)])
    orders = commit(node, SENT_S)
    assert {order.worker for order in orders} == {"a"}
    for order in orders:
        outcome = events.StartAnswered("a", order.key, order.run, events.OK, "", 6000)
        feed(node, SENT_S + 0.01, outcome)
    return node, orders


FIXTURES = {"running": make_running}


def list_progress(node, orders, after_s, *percents, late_s=0.0):
    """
    Feed the progress of the worker's tasks to the owner, and return the stops that follow.
    """
    rows = tuple(
        model.RunRow(order.key, order.run, "", percent, 0.0)
        for order, percent in zip(orders, percents, strict=True)
    )
    clock_ms = 6000 + round(after_s * 1000)
    at_s = SENT_S + after_s
    answer = events.HoldAnswered("a", OWNER_TOKEN, at_s, clock_ms, 7, rows, ())
    produced = feed(node, at_s + late_s, answer)
    return [item.key for item in produced if isinstance(item, effects.StopTask)]


def test_stalled_tasks_are_moved(running):
    """
    Tasks that stall after good progress are stopped if another worker has the capacity.
    """
    node, orders = running
    assert list_progress(node, orders, 0.1, 10, 10) == []
    assert list_progress(node, orders, 0.4, 40, 40) == []
    moved = list_progress(node, orders, 0.7, 42, 40)
    assert set(moved) == {order.key for order in orders}
    assert node.workers["a"].slow_until_s > SENT_S + 0.7


def test_one_slow_task_does_not_make_a_worker_slow(running):
    """
    A worker is slow only if most of its tasks are, since the sizes of tasks differ.
    """
    node, orders = running
    list_progress(node, orders, 0.1, 10, 10)
    list_progress(node, orders, 0.4, 40, 40)
    assert list_progress(node, orders, 0.7, 70, 69) == []


def test_nearly_finished_task_stays(running):
    """
    A slow task stays if it finishes sooner than after a fresh start.
    """
    node, orders = running
    list_progress(node, orders, 0.1, 20, 20)
    list_progress(node, orders, 0.4, 96, 96)
    assert list_progress(node, orders, 0.7, 98, 98) == []


def test_lists_read_late_do_not_count_as_slow(running):
    """
    Progress is measured by the worker's clock, so an owner that was paused detects no slow worker.
    """
    node, orders = running
    list_progress(node, orders, 0.1, 10, 10)
    list_progress(node, orders, 0.4, 40, 40)
    assert list_progress(node, orders, 0.7, 70, 70, late_s=5.0) == []


def test_tasks_stay_when_no_other_worker_has_capacity(running):
    """
    A slow task stays on its worker if no other worker has the capacity.
    """
    node, orders = running
    list_progress(node, orders, 0.1, 10, 10)
    list_progress(node, orders, 0.4, 40, 40)
    node.workers["b"].entry = node.workers["b"].entry._replace(is_draining=True)
    assert list_progress(node, orders, 0.7, 42, 40) == []
