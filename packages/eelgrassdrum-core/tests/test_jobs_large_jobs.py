"""
Jobs with thousands of tasks, beside others.
"""

import math
from unittest import mock

from eelgrassdrum_core.jobs import _scoring, effects, events, model
from eelgrassdrum_core.jobs._records import Cancelled, encode_records
from eelgrassdrum_testing.jobs.owner import (
    OWNER_TOKEN,
    START_S,
    WALL_MS,
    commit,
    feed,
    hand_in,
    make_owner_config,
    one_step,
    owner_of,
    read_to_end,
    started,
    worker_entry,
)

NOW_S = START_S + 3.0
# Longer than the interval between two plans of one step.
PLAN_S = 0.03
# Starts that an owner decides, records and sends in a part of the interval of its heartbeats.
MAX_STARTS_PER_EVENT = 300
# Workers that it compares in such a part.
MAX_COMPARED_PER_EVENT = 40_000
LARGE = model.Resources(1_000_000, 1_000_000, 0)


def make_owner():
    """
    Build the owner of a pool with room for 20,000 small tasks.
    """
    return owner_of([worker_entry(f"w{number}", 1_000_000) for number in range(30)])


FIXTURES = {"owner": make_owner}


def small_step(count, **fields):
    """
    Build a step of tasks of which a worker has room for 600.
    """
    return one_step(count, 10, **fields)


def play(node, now_s, until):
    """
    Let plans go on, with all orders carried out, and return the tasks started by each event.

    :param until: called with the tasks started so far; ends the play.
    """
    by_event = []
    orders = []

    def take(produced):
        by_event.append(started(produced))
        orders.extend(item for item in produced if isinstance(item, effects.StartTask))

    while not until(joined(by_event)):
        now_s += PLAN_S
        assert now_s < NOW_S + 100
        while node.journal.in_flight is not None:
            take(feed(node, now_s, events.Appended("owner", node.journal.seq, events.OK)))
        take(read_to_end(node, now_s))
        while orders:
            order = orders.pop()
            outcome = (order.worker, order.key, order.run, events.OK, "", 6000)
            take(feed(node, now_s, events.StartAnswered(*outcome)))
        take(feed(node, now_s, events.Ticked()))
    return by_event


def joined(by_event):
    """
    Return the tasks started by all events.
    """
    return [task for tasks in by_event for task in tasks]


def count_jobs(tasks):
    """
    Count the tasks of each job.
    """
    names = [job for job, _worker in tasks]
    return {name: names.count(name) for name in set(names)}


# Guards against a plan that takes longer than the owner's timeout, so that nothing ever starts.
def test_a_large_job_starts_in_parts(owner):
    """
    A plan decides a bounded number of starts, and the tasks that it leaves start all the same.
    """
    step = small_step(8000, max_per_worker=400)
    first = hand_in(owner, [("large", "usual", (step,), 0.0)])
    later = play(owner, NOW_S, lambda tasks: len(tasks) + len(first) >= 8000)
    assert max(len(tasks) for tasks in [first, *later]) <= MAX_STARTS_PER_EVENT
    assert {len(runs) for runs in owner.replicated.running.values()} <= set(range(1, 401))


# Guards against a plan that compares all workers anew for each task of a step.
def test_a_plan_compares_a_bounded_number_of_workers():
    """
    A plan compares few workers for a step whose tasks choose theirs by what runs there.
    """
    node = owner_of([worker_entry(f"w{number}", 100_000) for number in range(1000)])
    step = small_step(8000, image="image", target_ms=100)
    with mock.patch.object(_scoring, "score", wraps=_scoring.score) as score:
        assert hand_in(node, [("large", "usual", (step,), 0.0)])
    assert score.call_count <= MAX_COMPARED_PER_EVENT


# Guards against jobs that wait until all tasks of a large one have started.
def test_small_jobs_start_beside_a_large_one(owner):
    """
    A small job starts in the first plan, before and after the first part of a large one.
    """
    large = ("large", "urgent", (small_step(15_000),), 1.0)
    tasks = hand_in(owner, [large, ("beside", "usual", (small_step(2),), 0.0)])
    assert count_jobs(tasks)["beside"] == 2 and count_jobs(tasks)["large"] > 2
    commit(owner, NOW_S + PLAN_S)
    job = ("later", "usual", (small_step(2),), 0.0)
    assert count_jobs(hand_in(owner, [job], NOW_S + 2 * PLAN_S))["later"] == 2


# Guards against a large job that waits until all tasks of another one have started.
def test_large_jobs_start_beside_each_other():
    """
    Several large jobs start their tasks at about the same rate, also on few workers.
    """
    node = owner_of([worker_entry("w", 1_000_000)._replace(capacity=LARGE)])
    jobs = [(f"large{n}", "usual", (small_step(2000),), 9.0 - n) for n in range(3)]
    tasks = hand_in(node, jobs)
    tasks += joined(play(node, NOW_S, lambda later: len(later) >= 900))
    assert min(count_jobs(tasks).values()) >= 250


# Guards against jobs that wait for a large one whose tasks wait for a place in a worker's queue.
def test_orders_of_a_large_job_do_not_fill_the_queues(owner):
    """
    Few orders of a large job wait at a worker, so that those of other jobs are sent soon.
    """
    hand_in(owner, [("large", "urgent", (small_step(15_000),), 0.0)])
    for number in range(50):
        commit(owner, NOW_S + number * PLAN_S)
        feed(owner, NOW_S + number * PLAN_S, events.Ticked())
        read_to_end(owner, NOW_S + number * PLAN_S)
    assert max(len(worker.outbox) for worker in owner.workers.values()) < 20


# Guards against tasks that take the room of those before them while these start in parts.
def test_a_job_behind_a_large_one_leaves_it_its_room():
    """
    A job that goes after a large one only gets the room that this will leave.
    """
    node = owner_of([worker_entry("w", 1000)])
    large = ("large", "urgent", (one_step(99, 10),), 0.0)
    tasks = hand_in(node, [large, ("behind", "usual", (one_step(20, 10),), 0.0)])
    left = 100 - len(tasks)
    tasks += joined(play(node, NOW_S, lambda later: len(later) >= left))
    assert count_jobs(tasks[:100]) == {"large": 99, "behind": 1}


# Guards against the same for the limit of a workspace.
def test_a_job_behind_a_large_one_leaves_it_the_limit():
    """
    A job that goes after a large one of its workspace only gets the rest of the limit.
    """
    config = make_owner_config(limit=model.Resources(1000, 0, 0))
    node = owner_of([worker_entry("w", 100_000)], config)
    large = ("large", "urgent", (one_step(99, 10),), 0.0)
    tasks = hand_in(node, [large, ("behind", "usual", (one_step(20, 10),), 0.0)])
    left = 100 - len(tasks)
    tasks += joined(play(node, NOW_S, lambda later: len(later) >= left))
    assert count_jobs(tasks[:100]) == {"large": 99, "behind": 1}


# Guards against a flood of small jobs that is placed within one event.
def test_many_small_jobs_start_in_their_order(owner):
    """
    A plan decides a bounded number of starts of small jobs too, and goes on in their order.
    """
    jobs = [(f"j{n}", "usual", (small_step(4),), 9.0 - n / 100) for n in range(200)]
    first = hand_in(owner, jobs)
    later = play(owner, NOW_S, lambda tasks: len(tasks) + len(first) >= 800)
    assert max(len(tasks) for tasks in [first, *later]) <= MAX_STARTS_PER_EVENT
    names = [job for job, _worker in joined([first, *later])]
    assert names == [f"j{n}" for n in range(200) for _task in range(4)]


def test_a_large_gang_starts_as_a_whole(owner):
    """
    All members of a large gang start in one plan, on one rack.
    """
    step = small_step(2000, gang=True, same_rack=True, max_per_worker=100)
    assert len(hand_in(owner, [("gang", "usual", (step,), 0.0)])) == 2000


def make_owner_with_runs():
    """
    Build an owner on whose worker 2,000 tasks of a job run.
    """
    node = owner_of([worker_entry("w", 1_000_000)._replace(capacity=LARGE)])
    first = hand_in(node, [("large", "usual", (small_step(2000),), 0.0)])

    def all_sent(tasks):
        return len(first) + len(tasks) >= 2000 and not node.workers["w"].unsent_orders

    play(node, NOW_S, all_sent)
    return node


def rows_of(node):
    """
    Build the list of all runs of the worker.
    """
    runs = node.replicated.running.get("w", {})
    return tuple(model.RunRow(key, task.run, "", 10, 0.0) for key, task in runs.items())


def worker_lists(sent_s, rows, incarnation=7):
    """
    Build the answer of the worker with its list of runs.
    """
    return events.HoldAnswered("w", OWNER_TOKEN, sent_s, 8000, incarnation, rows, ())


def stops_in(produced):
    """
    Return the tasks whose runs are ordered to stop.
    """
    return [item.key for item in produced if isinstance(item, effects.StopTask)]


# Guards against stops of thousands of runs in one event.
def test_the_runs_of_a_large_job_are_stopped_in_parts():
    """
    Of a cancelled job few runs are stopped by one event, and all of them soon.
    """
    node, now_s = make_owner_with_runs(), NOW_S + 50
    rows = rows_of(node)
    cancel = tuple(encode_records([Cancelled("large", WALL_MS)]))
    offset = node.replicated.offset
    produced = feed(node, now_s, events.LogRead(offset, cancel, offset + 1, now_s))
    stopped = stops_in(produced)
    assert 0 < len(stopped) <= MAX_STARTS_PER_EVENT
    stopped += stops_in(feed(node, now_s + 0.01, worker_lists(now_s, rows)))
    assert len(stopped) <= MAX_STARTS_PER_EVENT
    for number in range(1, 20):
        ticked = stops_in(feed(node, now_s + number * PLAN_S * 2, events.Ticked()))
        assert len(ticked) <= MAX_STARTS_PER_EVENT
        stopped += ticked
    assert set(stopped) == {row.key for row in rows}


# Guards against lists of thousands of runs that are requested as fast as they can be processed.
def test_long_lists_are_requested_at_intervals():
    """
    A worker that lists thousands of runs isn't called again at once, and one with few runs is.
    """
    node, now_s = make_owner_with_runs(), NOW_S + 50
    rows = rows_of(node)
    node.workers["w"].next_hold_s = math.inf
    for listed, is_called in ((rows, False), (rows[:100], True)):
        now_s += 1.0
        read_to_end(node, now_s)
        produced = feed(node, now_s, worker_lists(now_s, listed))
        assert any(isinstance(item, effects.Hold) for item in produced) == is_called
        now_s += 0.3
        produced = feed(node, now_s, events.Ticked())
        assert any(isinstance(item, effects.Hold) for item in produced) != is_called
        node.workers["w"].holds = 0


# Guards against thousands of suspected tasks that are ordered of one worker at once.
def test_suspected_tasks_of_a_large_job_start_in_parts():
    """
    After a crash under a large job, its tasks start in parts, as they did before.
    """
    entries = [worker_entry(name, 1_000_000)._replace(capacity=LARGE) for name in ("v", "w")]
    node = owner_of(entries)
    first = hand_in(node, [("large", "usual", (small_step(2000),), 0.0)])

    def all_sent(tasks):
        unsent = sum(worker.unsent_orders for worker in node.workers.values())
        return len(first) + len(tasks) >= 2000 and not unsent

    play(node, NOW_S, all_sent)
    used, runs = max(node.replicated.running.items(), key=lambda item: len(item[1]))
    count, now_s, running = len(runs), NOW_S + 50, node.replicated.running
    read_to_end(node, now_s)
    feed(node, now_s, events.HoldFailed(used, "timeout", OWNER_TOKEN))
    feed(node, now_s + 0.1, events.HoldFailed(used, "other_worker", OWNER_TOKEN + 1))
    assert len(node.replicated.suspects["large"]) == count > 500
    again = play(node, now_s + 0.2, lambda _: sum(map(len, running.values())) == 2000)
    assert 0 < max(map(len, again)) <= MAX_STARTS_PER_EVENT
