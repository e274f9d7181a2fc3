"""
Order and placement of tasks that start.
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
    read_to_end,
    started,
    worker_entry,
)


def test_priority_precedes_deadline():
    """
    A job of an urgent queue takes the last free resources although another job has waited longer.
    """
    node = owner_of([worker_entry("w", 1000)])
    jobs = [("old", "usual", (one_step(),), 1.0), ("new", "urgent", (one_step(),), 0.0)]
    assert hand_in(node, jobs) == [("new", "w")]


def test_late_job_is_not_starved():
    """
    In an overload, a job past its deadline goes before one that could still meet its own.
    """
    node = owner_of([worker_entry("w", 1000)])
    jobs = [("new", "usual", (one_step(),), 0.0), ("late", "usual", (one_step(),), 9.0)]
    assert hand_in(node, jobs) == [("late", "w")]


def test_long_running_tasks_go_first():
    """
    Long-running tasks are placed before all others.
    """
    node = owner_of([worker_entry("w", 1000)])
    long_running = one_step(is_long_running=True)
    jobs = [("batch", "urgent", (one_step(),), 5.0), ("lasting", "usual", (long_running,), 0.0)]
    assert hand_in(node, jobs) == [("lasting", "w")]


def test_gang_starts_all_members_or_none():
    """
    A gang that does not fit completely starts none of its members.
    """
    node = owner_of([worker_entry("w1", 2000), worker_entry("w2", 1000)])
    jobs = [("wide", "usual", (one_step(4, gang=True),), 0.0)]
    assert hand_in(node, jobs) == []
    jobs = [("narrow", "usual", (one_step(3, gang=True),), 0.0)]
    assert len(hand_in(node, jobs, START_S + 3.1)) == 3


def test_gang_prefers_one_rack():
    """
    A gang with the same-rack option starts on one rack if that has enough capacity.
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
    A task starts only on workers with its label, and at most the allowed number of tasks of a step
    on one worker.
    """
    node = owner_of([worker_entry("plain"), worker_entry("fast", labels=("x",))])
    jobs = [("job", "usual", (one_step(3, label="x", max_per_worker=2),), 0.0)]
    assert hand_in(node, jobs) == [("job", "fast"), ("job", "fast")]


def test_workspace_limit_holds_in_a_burst():
    """
    A workspace runs no more than its limit in a burst, also if the workers have free resources.
    """
    config = make_owner_config(limit=model.Resources(2500, 0, 0))
    node = owner_of([worker_entry("w", 8000)], config)
    assert len(hand_in(node, [("job", "usual", (one_step(5),), 0.0)])) == 2


def test_suspect_worker_is_used_last():
    """
    Other workers are preferred to one on which several jobs in a row have failed.
    """
    node = owner_of([worker_entry("bad", 4000), worker_entry("good", 8000)])
    node.workers["bad"].failed_jobs.extend(["j1", "j2", "j3"])
    names = [name for _job, name in hand_in(node, [("job", "usual", (one_step(4),), 0.0)])]
    assert names == ["good"] * 4


# Guards against tasks that wait for as long as the only worker with their label looks slow.
def test_a_slow_worker_is_used_if_no_other_has_the_label():
    """
    A slow worker takes tasks that need a label which no other worker has, and no others.
    """
    labelled = worker_entry("slow", labels=("b",))
    node = owner_of([labelled, worker_entry("w1"), worker_entry("w2")])
    node.workers["slow"].slow_until_s = START_S + 100
    steps = {
        "any": (one_step(),),
        "one": (one_step(label="b"),),
        "all": (one_step(2, label="b", gang=True),),
    }
    jobs = [(name, "usual", step, 0.0) for name, step in steps.items()]
    names = dict(hand_in(node, jobs))
    assert names["one"] == names["all"] == "slow" and names["any"] != "slow"


def test_a_slow_worker_is_not_used_while_another_has_the_label():
    """
    Tasks that need a label go to workers with the label that aren't slow.
    """
    entries = [worker_entry(name, 1000, labels=("b",)) for name in ("slow", "w1", "w2")]
    node = owner_of(entries)
    node.workers["slow"].slow_until_s = START_S + 100
    started_on = [
        name for _job, name in hand_in(node, [("job", "usual", (one_step(3, label="b"),), 0.0)])
    ]
    assert sorted(started_on) == ["w1", "w2"]


def test_draining_worker_takes_no_task():
    """
    No task starts on a draining worker.
    """
    node = owner_of([worker_entry("w")._replace(is_draining=True)])
    assert hand_in(node, [("job", "usual", (one_step(),), 0.0)]) == []


def test_queue_with_advice_requires_a_ticket():
    """
    Tickets are requested first, refused workers are not used, and the order carries the ticket.
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
    Tickets are requested for a step that still waits for another one.
    """
    node = owner_of([worker_entry("w1")], make_owner_config(has_advice=True))
    hand_in(node, [("job", "usual", (one_step(), one_step(after=(0,))), 0.0)])
    assert node.advice[("job", 0, 1)].is_asking


def test_expired_ticket_is_requested_again():
    """
    An expired ticket starts no task, and a new one is requested.
    """
    node = owner_of([worker_entry("w1", 1000)], make_owner_config(has_advice=True))
    hand_in(node, [("job", "usual", (one_step(2),), 0.0)])
    answer = events.AdviceAnswered("job", 0, 0, ("w1",), {"w1": "ticket"}, 1.0)
    assert len(started(feed(node, START_S + 3.1, answer))) == 1
    commit(node, START_S + 3.2)
    node.replicated.load["w1"] = model.NO_RESOURCES
    read_to_end(node, START_S + 5.9)
    assert started(feed(node, START_S + 6.0, events.Ticked())) == []
    assert node.advice[("job", 0, 0)].is_asking
