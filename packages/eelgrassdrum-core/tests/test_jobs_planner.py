"""
Which tasks start, and where.
"""

from eelgrassdrum_core.jobs import Identity, Moment, effects, events, model, new_node, reduce
from eelgrassdrum_core.jobs._records import Claimed, Submitted, encode_records

BOUNDS = model.Bounds(10.0, 2.0, 5.0, 6.0, 0.4, 3.0, 0.25, 120.0, 1.5, 2.0)
WALL_MS = 1_700_000_000_000
START_S = 10.0


def make_config(has_advice=False, limit=model.NO_ROOM):
    """
    Give a configuration with an urgent queue and another one of the same service.
    """
    queues = {
        name: model.Queue(
            name, "host", f"/{name}/", "service", priority, 3, 1.6, 600, False, has_advice
        )
        for name, priority in (("urgent", 0), ("usual", 1))
    }
    workspace = model.Workspace("a", frozenset({"key"}), 1.0, limit)
    services = {"service": model.Service("service", False, False)}
    return model.Config(1, queues, services, {"a": workspace}, {"key": "a"}, 1000)


def feed(node, now_s, event):
    """
    Give an event to an instance.
    """
    return reduce(node, Moment(now_s, WALL_MS + round(now_s * 1000)), event)


def owner_of(workers, config=None):
    """
    Give an instance that owns the log and whose workers have answered.
    """
    node = new_node(Identity("entry", WALL_MS, "zone"), BOUNDS)
    feed(node, START_S, events.OperatorRead(1, config or make_config(), (), START_S))
    feed(node, START_S, events.SnapshotRead(None))
    feed(node, START_S, events.LogRead(0, (), 0, START_S))
    feed(node, START_S + 2, events.LogRead(0, (), 0, START_S + 2))
    feed(node, START_S + 2, events.Ticked())
    claim = encode_records([Claimed(1, "entry", WALL_MS)])
    feed(node, START_S + 2, events.LogRead(0, tuple(claim), 1, START_S + 2))
    assert node.ownership.is_owner
    feed(node, START_S + 2, events.WorkersRead(1, True, {item.id: item for item in workers}))
    for item in workers:
        answer = events.HoldAnswered(item.id, START_S + 2, 5000, item.incarnation, (), ())
        feed(node, START_S + 2, answer)
    return node


def worker(name, millicores=4000, rack="r1", labels=()):
    """
    Give the entry of a worker.
    """
    capacity = model.Room(millicores, 64_000, 0)
    names = frozenset({*labels, rack})
    return model.WorkerEntry(
        name, 7, f"{name}:1", "service", "z", f"m-{name}", rack, names, capacity, False, 5000
    )


def hand_in(node, jobs, now_s=START_S + 3):
    """
    Let an instance read submissions, and give the tasks that it starts, as job and worker.
    """
    records = [
        Submitted(
            job,
            queue,
            "service",
            "a",
            model.JobSpec("x", steps),
            WALL_MS + round((now_s - age_s) * 1000),
        )
        for job, queue, steps, age_s in jobs
    ]
    offset = node.book.offset
    data = tuple(encode_records(records))
    produced = feed(node, now_s, events.LogRead(offset, data, offset + len(data), now_s))
    return started(produced)


def started(produced):
    """
    Give the tasks that were decided, as job and worker.
    """
    return [
        (item.fields["job"], item.fields["worker"])
        for item in produced
        if isinstance(item, effects.WriteLine) and item.action == "run.decided"
    ]


def commit(node, now_s):
    """
    Let the store take all appends, and give the orders that are sent after them.
    """
    produced = []
    while node.journal.in_flight is not None:
        event = events.Appended("owner", node.journal.seq, events.OK)
        produced += feed(node, now_s, event)
    return [item for item in produced if isinstance(item, effects.StartTask)]


def step(count=1, millicores=1000, **fields):
    """
    Give a step.
    """
    return model.Step(count, (millicores, 100, 0), 500, **fields)


def test_priority_goes_before_the_end_of_the_objective():
    """
    An urgent queue's job takes the only room although another job waits longer.
    """
    node = owner_of([worker("w", 1000)])
    jobs = [("old", "usual", (step(),), 1.0), ("new", "urgent", (step(),), 0.0)]
    assert hand_in(node, jobs) == [("new", "w")]


def test_a_late_job_is_not_passed_over():
    """
    Burst beyond room: a job past its objective goes before one that could still meet its own.
    """
    node = owner_of([worker("w", 1000)])
    jobs = [("new", "usual", (step(),), 0.0), ("late", "usual", (step(),), 9.0)]
    assert hand_in(node, jobs) == [("late", "w")]


def test_work_that_lasts_goes_first():
    """
    Tasks that last take room before any other.
    """
    node = owner_of([worker("w", 1000)])
    lasting = step(lasts=True)
    jobs = [("batch", "urgent", (step(),), 5.0), ("lasting", "usual", (lasting,), 0.0)]
    assert hand_in(node, jobs) == [("lasting", "w")]


def test_a_gang_starts_whole_or_not_at_all():
    """
    A gang that doesn't fit as a whole starts none of its members.
    """
    node = owner_of([worker("w1", 2000), worker("w2", 1000)])
    jobs = [("wide", "usual", (step(4, gang=True),), 0.0)]
    assert hand_in(node, jobs) == []
    jobs = [("narrow", "usual", (step(3, gang=True),), 0.0)]
    assert len(hand_in(node, jobs, START_S + 3.1)) == 3


def test_a_gang_prefers_one_rack():
    """
    A gang of one rack starts on one rack where one has room for all of it.
    """
    workers = [worker("a1", 2000, "r1"), worker("b1", 2000, "r2"), worker("b2", 2000, "r2")]
    node = owner_of(workers)
    jobs = [("gang", "usual", (step(4, gang=True, same_rack=True),), 0.0)]
    assert {name for _job, name in hand_in(node, jobs)} == {"b1", "b2"}


def test_labels_and_spread_are_kept():
    """
    A task starts only on workers with its label, and no more of a step on one than allowed.
    """
    node = owner_of([worker("plain"), worker("fast", labels=("x",))])
    jobs = [("job", "usual", (step(3, label="x", max_per_worker=2),), 0.0)]
    assert hand_in(node, jobs) == [("job", "fast"), ("job", "fast")]


def test_a_limit_holds_for_a_burst_of_one_workspace():
    """
    Burst of one workspace: it has no more running than its limit, whatever is free.
    """
    config = make_config(limit=model.Room(2500, 0, 0))
    node = owner_of([worker("w", 8000)], config)
    assert len(hand_in(node, [("job", "usual", (step(5),), 0.0)])) == 2


def test_a_worker_that_fails_everything_gets_little_work():
    """
    Failing worker: after jobs in a row have failed there, others are preferred.
    """
    node = owner_of([worker("bad", 4000), worker("good", 8000)])
    node.workers["bad"].failed_jobs.extend(["j1", "j2", "j3"])
    names = [name for _job, name in hand_in(node, [("job", "usual", (step(4),), 0.0)])]
    assert names == ["good"] * 4


def test_nothing_starts_on_a_worker_that_drains():
    """
    A draining worker takes no task.
    """
    node = owner_of([worker("w")._replace(is_draining=True)])
    assert hand_in(node, [("job", "usual", (step(),), 0.0)]) == []


def test_a_queue_with_advice_starts_only_with_a_ticket():
    """
    The advice service is asked first, its refusals hold, and the order carries the ticket.
    """
    node = owner_of([worker("w1"), worker("w2")], make_config(has_advice=True))
    assert hand_in(node, [("job", "usual", (step(),), 0.0)]) == []
    assert node.advice[("job", 0, 0)].is_asking
    answer = events.AdviceAnswered("job", 0, 0, ("w1", "w2"), {"w2": "ticket"}, 3.0)
    produced = feed(node, START_S + 3.1, answer)
    assert started(produced) == [("job", "w2")]
    orders = commit(node, START_S + 3.2)
    assert [order.ticket for order in orders] == ["ticket"]


def test_tickets_of_the_next_step_are_fetched_ahead():
    """
    A step that waits for another is asked about before it can start.
    """
    node = owner_of([worker("w1")], make_config(has_advice=True))
    hand_in(node, [("job", "usual", (step(), step(after=(0,))), 0.0)])
    assert node.advice[("job", 0, 1)].is_asking


def test_an_expired_ticket_is_asked_for_again():
    """
    A ticket that has run out starts nothing, and another one is asked for.
    """
    node = owner_of([worker("w1", 1000)], make_config(has_advice=True))
    hand_in(node, [("job", "usual", (step(2),), 0.0)])
    answer = events.AdviceAnswered("job", 0, 0, ("w1",), {"w1": "ticket"}, 1.0)
    assert len(started(feed(node, START_S + 3.1, answer))) == 1
    commit(node, START_S + 3.2)
    node.book.load["w1"] = model.NO_ROOM
    assert started(feed(node, START_S + 6.0, events.Ticked())) == []
    assert node.advice[("job", 0, 0)].is_asking
