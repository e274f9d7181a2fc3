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
# Time that a worker takes to restore a checkpoint.
RESTORE_S = 0.6


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


def make_large():
    """
    Return an owner of two workers, of which one runs a single task of a step whose other tasks made
    100% a second, and the order for it.
    """
    node = owner_of([worker_entry("a", 2000), worker_entry("b", 8000)])
    hand_in(node, [("job", "usual", (one_step(1),), 0.0)])
    (order,) = commit(node, SENT_S)
    node.best_rates[order.key[:3]] = 100.0
    feed(node, SENT_S, events.StartAnswered(order.worker, order.key, 1, events.OK, "", 6000))
    return node, [order]


def make_resumed():
    """
    Return an owner of two workers, of which one runs a task that resumes from a checkpoint, and the
    order for it.
    """
    node = owner_of([worker_entry("a", 2000), worker_entry("b", 8000)])
    node.bounds = node.bounds._replace(restore_s=RESTORE_S)
    hand_in(node, [("job", "usual", (one_step(1, is_checkpointing=True),), 0.0)])
    (order,) = commit(node, SENT_S - 0.4)
    end = model.EndRow(1, order.key, order.run, "lapsed", "half")
    answer = events.HoldAnswered(order.worker, OWNER_TOKEN, SENT_S - 0.3, 5700, 7, (), (end,))
    feed(node, SENT_S - 0.3, answer)
    (order,) = commit(node, SENT_S - 0.2)
    assert (order.run, order.checkpoint) == (2, "half")
    feed(node, SENT_S, events.StartAnswered(order.worker, order.key, 2, events.OK, "", 6000))
    return node, [order]


FIXTURES = {"running": make_running, "large": make_large, "resumed": make_resumed}


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
    worker = orders[0].worker
    answer = events.HoldAnswered(worker, OWNER_TOKEN, at_s, clock_ms, 7, rows, ())
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


def test_resumed_task_is_not_stalled_while_it_restores(resumed):
    """
    A task makes no progress while its checkpoint is restored, and isn't stopped for that.
    """
    node, orders = resumed
    for after_s in (0.01, 0.21, 0.42, 0.64):
        assert list_progress(node, orders, after_s, 40) == []
    assert list_progress(node, orders, 0.95, 60) == []
    assert list_progress(node, orders, 1.2, 80) == []


def test_restored_progress_is_not_taken_for_a_rate(resumed):
    """
    The progress that a checkpoint restores at once isn't measured, so the task isn't slow later.
    """
    node, orders = resumed
    assert list_progress(node, orders, 0.05, 0) == []
    assert list_progress(node, orders, 0.4, 0) == []
    for after_s, percent in ((0.65, 40), (0.9, 50), (1.15, 60), (1.4, 70)):
        assert list_progress(node, orders, after_s, percent) == []


def test_resumed_task_that_stalls_is_moved(resumed):
    """
    A task that stands still after it has been restored is moved like any other.
    """
    node, orders = resumed
    for after_s, percent in ((0.3, 40), (0.8, 45), (1.1, 55)):
        assert list_progress(node, orders, after_s, percent) == []
    assert list_progress(node, orders, 1.4, 55) == [orders[0].key]


def test_task_that_is_larger_than_others_of_its_step_stays(large):
    """
    A single task that makes progress at a quarter of its step's best rate isn't moved, since it may
    be larger than the others.
    """
    node, orders = large
    for quarter in range(8):
        assert list_progress(node, orders, quarter / 4, 6 * quarter) == []


def test_task_alone_on_a_slow_worker_is_moved(large):
    """
    A single task is moved if its rate is a tenth of its step's best rate.
    """
    node, orders = large
    assert list_progress(node, orders, 0.1, 0) == []
    assert list_progress(node, orders, 0.4, 3) == [orders[0].key]


def test_task_on_a_worker_that_was_slow_lately_is_moved(large):
    """
    On a worker that was slow lately, a quarter of the best rate of its step is too little for a
    task.
    """
    node, orders = large
    node.workers[orders[0].worker].slow_until_s = SENT_S - 5.0
    assert list_progress(node, orders, 0.1, 0) == []
    assert list_progress(node, orders, 0.4, 6) == [orders[0].key]


def test_tasks_that_are_all_slower_than_their_steps_are_moved(running):
    """
    Two tasks at a quarter of the best rate of their step show that their worker is slow.
    """
    node, orders = running
    node.best_rates[orders[0].key[:3]] = 100.0
    assert list_progress(node, orders, 0.1, 0, 0) == []
    assert set(list_progress(node, orders, 0.4, 6, 7)) == {order.key for order in orders}


def test_task_that_is_as_slow_elsewhere_is_not_moved_again(large):
    """
    A task that was moved for its rate and is as slow on the next worker stays there.
    """
    node, (order,) = large
    list_progress(node, [order], 0.1, 0)
    assert list_progress(node, [order], 0.4, 3) == [order.key]
    end = model.EndRow(1, order.key, 1, "stopped", "")
    ended_s = SENT_S + 0.6
    answer = events.HoldAnswered(order.worker, OWNER_TOKEN, ended_s, 6600, 7, (), (end,))
    feed(node, ended_s, answer)
    (again,) = commit(node, SENT_S + 0.7)
    assert again.worker != order.worker
    started_s = SENT_S + 0.8
    feed(node, started_s, events.StartAnswered(again.worker, again.key, 2, events.OK, "", 6800))
    for quarter in range(8):
        assert list_progress(node, [again], 1 + quarter / 4, 3 * quarter) == []
