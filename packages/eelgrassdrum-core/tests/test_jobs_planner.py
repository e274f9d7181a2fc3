"""
Which tasks start, and where.
"""

from eelgrassdrum_core.jobs import events, model
from eelgrassdrum_testing.jobs.owner import (
    START_S,
    commit,
    feed,
    hand_in,
    make_owner_config,
    one_step,
    owner_of,
    started,
    worker_entry,
)


def test_priority_precedes_deadline():
    """
    An urgent queue's job takes the only room although another job waits longer.
    """
    node = owner_of([worker_entry("w", 1000)])
    jobs = [("old", "usual", (one_step(),), 1.0), ("new", "urgent", (one_step(),), 0.0)]
    assert hand_in(node, jobs) == [("new", "w")]


def test_late_job_is_not_starved():
    """
    Burst beyond room: a job past its objective goes before one that could still meet its own.
    """
    node = owner_of([worker_entry("w", 1000)])
    jobs = [("new", "usual", (one_step(),), 0.0), ("late", "usual", (one_step(),), 9.0)]
    assert hand_in(node, jobs) == [("late", "w")]


def test_long_running_tasks_go_first():
    """
    Tasks that last take room before any other.
    """
    node = owner_of([worker_entry("w", 1000)])
    long_running = one_step(lasts=True)
    jobs = [("batch", "urgent", (one_step(),), 5.0), ("lasting", "usual", (long_running,), 0.0)]
    assert hand_in(node, jobs) == [("lasting", "w")]


def test_gang_starts_all_members_or_none():
    """
    A gang that doesn't fit as a whole starts none of its members.
    """
    node = owner_of([worker_entry("w1", 2000), worker_entry("w2", 1000)])
    jobs = [("wide", "usual", (one_step(4, gang=True),), 0.0)]
    assert hand_in(node, jobs) == []
    jobs = [("narrow", "usual", (one_step(3, gang=True),), 0.0)]
    assert len(hand_in(node, jobs, START_S + 3.1)) == 3


def test_gang_prefers_one_rack():
    """
    A gang of one rack starts on one rack where one has room for all of it.
    """
    workers = [
        worker_entry("a1", 2000, "r1"),
        worker_entry("b1", 2000, "r2"),
        worker_entry("b2", 2000, "r2"),
    ]
    node = owner_of(workers)
    jobs = [("gang", "usual", (one_step(4, gang=True, same_rack=True),), 0.0)]
    assert {name for _job, name in hand_in(node, jobs)} == {"b1", "b2"}


def test_labels_and_spread_are_respected():
    """
    A task starts only on workers with its label, and no more of a step on one than allowed.
    """
    node = owner_of([worker_entry("plain"), worker_entry("fast", labels=("x",))])
    jobs = [("job", "usual", (one_step(3, label="x", max_per_worker=2),), 0.0)]
    assert hand_in(node, jobs) == [("job", "fast"), ("job", "fast")]


def test_workspace_limit_holds_in_a_burst():
    """
    Burst of one workspace: it has no more running than its limit, whatever is free.
    """
    config = make_owner_config(limit=model.Room(2500, 0, 0))
    node = owner_of([worker_entry("w", 8000)], config)
    assert len(hand_in(node, [("job", "usual", (one_step(5),), 0.0)])) == 2


def test_suspect_worker_is_used_last():
    """
    Failing worker: after jobs in a row have failed there, others are preferred.
    """
    node = owner_of([worker_entry("bad", 4000), worker_entry("good", 8000)])
    node.workers["bad"].failed_jobs.extend(["j1", "j2", "j3"])
    names = [name for _job, name in hand_in(node, [("job", "usual", (one_step(4),), 0.0)])]
    assert names == ["good"] * 4


def test_draining_worker_takes_no_task():
    """
    A draining worker takes no task.
    """
    node = owner_of([worker_entry("w")._replace(is_draining=True)])
    assert hand_in(node, [("job", "usual", (one_step(),), 0.0)]) == []


def test_queue_with_advice_requires_a_ticket():
    """
    The advice service is asked first, its refusals hold, and the order carries the ticket.
    """
    node = owner_of([worker_entry("w1"), worker_entry("w2")], make_owner_config(has_advice=True))
    assert hand_in(node, [("job", "usual", (one_step(),), 0.0)]) == []
    assert node.advice[("job", 0, 0)].is_asking
    answer = events.AdviceAnswered("job", 0, 0, ("w1", "w2"), {"w2": "ticket"}, 3.0)
    produced = feed(node, START_S + 3.1, answer)
    assert started(produced) == [("job", "w2")]
    orders = commit(node, START_S + 3.2)
    assert [order.ticket for order in orders] == ["ticket"]


def test_tickets_of_the_next_step_are_prefetched():
    """
    A step that waits for another is asked about before it can start.
    """
    node = owner_of([worker_entry("w1")], make_owner_config(has_advice=True))
    hand_in(node, [("job", "usual", (one_step(), one_step(after=(0,))), 0.0)])
    assert node.advice[("job", 0, 1)].is_asking


def test_expired_ticket_is_requested_again():
    """
    A ticket that has run out starts nothing, and another one is asked for.
    """
    node = owner_of([worker_entry("w1", 1000)], make_owner_config(has_advice=True))
    hand_in(node, [("job", "usual", (one_step(2),), 0.0)])
    answer = events.AdviceAnswered("job", 0, 0, ("w1",), {"w1": "ticket"}, 1.0)
    assert len(started(feed(node, START_S + 3.1, answer))) == 1
    commit(node, START_S + 3.2)
    node.book.load["w1"] = model.NO_ROOM
    assert started(feed(node, START_S + 6.0, events.Ticked())) == []
    assert node.advice[("job", 0, 0)].is_asking
