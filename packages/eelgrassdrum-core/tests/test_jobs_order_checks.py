"""
Orders whose conditions change between the decision and the sending.
"""

from eelgrassdrum_core.jobs import effects, events, model
from eelgrassdrum_core.jobs._node import StepAdvice
from eelgrassdrum_testing.jobs.owner import (
    START_S,
    commit,
    feed,
    hand_in,
    logged,
    make_owner_config,
    one_step,
    owner_of,
    read_to_end,
    started,
    worker_entry,
)

NOW_S = START_S + 3.0
LIMIT = model.Resources(8000, 0, 0)
LOWER = model.Resources(2500, 0, 0)
# Orders to a worker that are sent before the first answer.
AT_ONCE = 2


def make_owner():
    """
    Build an owner with one worker and a workspace that may use all of it.
    """
    return owner_of([worker_entry("w", 8000)], make_owner_config(limit=LIMIT))


FIXTURES = {"owner": make_owner}


def publish(node, now_s, version, **fields):
    """
    Let the owner read a later configuration.
    """
    config = make_owner_config(**fields)._replace(version=version)
    return feed(node, now_s, events.OperatorRead(version, config, (), now_s))


def answer_all(node, now_s, orders):
    """
    Let the worker confirm orders, and return all effects.
    """
    produced = []
    for order in orders:
        outcome = (order.worker, order.key, order.run, events.OK, "", 6000)
        produced += feed(node, now_s, events.StartAnswered(*outcome))
    return produced


def orders_in(produced):
    """
    Return the orders that are sent.
    """
    return [item for item in produced if isinstance(item, effects.StartTask)]


def reasons(produced):
    """
    Return why orders were withdrawn.
    """
    return [line["reason"] for line in logged(produced, "run.withdrawn")]


# Guards against orders that are sent under a limit which was lowered while they waited.
def test_queued_orders_are_withdrawn_when_the_limit_is_lowered(owner):
    """
    Orders that wait at a worker and exceed a lowered limit are not sent, without spending attempts.
    """
    hand_in(owner, [("job", "usual", (one_step(8),), 0.0)])
    sent = commit(owner, NOW_S)
    assert len(sent) == AT_ONCE
    publish(owner, NOW_S + 0.1, 2, limit=LOWER)
    produced = answer_all(owner, NOW_S + 0.2, sent)
    assert orders_in(produced) == []
    assert reasons(produced) == ["workspace_over_limit"] * 6
    assert owner.replicated.used["a"].millicores == 2000
    tasks = owner.replicated.jobs["job"].occurrences[0][0].tasks
    assert not any(task.failures or task.crashes for task in tasks)


# Guards against the same for orders whose records were being appended.
def test_orders_are_withdrawn_when_the_limit_is_lowered_before_their_commit(owner):
    """
    Of orders whose records are committed after a limit was lowered, those within it are sent.
    """
    hand_in(owner, [("job", "usual", (one_step(8),), 0.0)])
    publish(owner, NOW_S + 0.1, 2, limit=LOWER)
    assert len(commit(owner, NOW_S + 0.2)) == 2
    assert owner.replicated.used["a"].millicores == 2000


# Guards against withdrawn starts that wait for more than the limit.
def test_withdrawn_starts_begin_again_once_the_limit_allows_them(owner):
    """
    What was withdrawn starts in the event in which a higher limit is read.
    """
    hand_in(owner, [("job", "usual", (one_step(8),), 0.0)])
    publish(owner, NOW_S + 0.1, 2, limit=LOWER)
    sent = commit(owner, NOW_S + 0.2)
    answer_all(owner, NOW_S + 0.3, sent)
    read_to_end(owner, NOW_S + 0.3)
    assert len(started(publish(owner, NOW_S + 0.4, 3, limit=LIMIT))) == 6


# Guards against a gang of which some members run and the others may not start.
def test_a_gang_that_is_ordered_in_part_is_stopped_when_the_limit_is_lowered(owner):
    """
    Of a gang that exceeds a lowered limit no further member is ordered, and the others are stopped.
    """
    hand_in(owner, [("gang", "usual", (one_step(4, gang=True),), 0.0)])
    sent = commit(owner, NOW_S)
    assert len(sent) == AT_ONCE
    publish(owner, NOW_S + 0.1, 2, limit=LOWER)
    produced = answer_all(owner, NOW_S + 0.2, sent)
    assert orders_in(produced) == []
    stops = [item.key for item in produced if isinstance(item, effects.StopTask)]
    assert stops == [order.key for order in sent]
    ends = [line["how"] for line in logged(produced, "run.ended")]
    assert ends == ["unsent"] * 2


# Guards against a gang whose first members are ordered although a later one can't start.
def test_a_gang_is_not_ordered_if_a_member_can_not_start():
    """
    If one worker of a gang fails before the records are committed, no member is ordered.
    """
    node = owner_of([worker_entry("v", 1000), worker_entry("w", 1000)])
    hand_in(node, [("gang", "usual", (one_step(2, gang=True),), 0.0)])
    feed(node, NOW_S + 0.1, events.HoldFailed("w", "timeout", 1000))
    assert commit(node, NOW_S + 0.2) == []
    assert not node.replicated.running


def change_entry(node, now_s, **fields):
    """
    Let the owner read a changed entry of its worker.
    """
    entry = node.workers["w"].entry._replace(**fields)
    return feed(node, now_s, events.WorkersRead(2, False, {"w": entry}, now_s))


# Guards against orders to workers that have changed under the same id since the decision.
def test_orders_follow_the_entry_of_their_worker():
    """
    Orders that wait are withdrawn if their worker drains, loses the label or is in another pool.
    """
    changes = {
        "worker_drains": {"is_draining": True},
        "no_label": {"labels": frozenset()},
        "other_pool": {"service": "other"},
        "no_room": {"capacity": model.Resources(2000, 64_000, 0)},
    }
    for reason, fields in changes.items():
        node = owner_of([worker_entry("w", 8000, labels=("x",))])
        hand_in(node, [("job", "usual", (one_step(4, label="x"),), 0.0)])
        sent = commit(node, NOW_S)
        change_entry(node, NOW_S + 0.1, **fields)
        produced = answer_all(node, NOW_S + 0.2, sent)
        assert orders_in(produced) == [] and set(reasons(produced)) == {reason}, reason


# Guards against orders to an instance that is about to be maintained.
def test_orders_to_a_draining_instance_are_withdrawn(owner):
    """
    Orders that wait are withdrawn once their worker's instance gets no new work.
    """
    hand_in(owner, [("job", "usual", (one_step(4),), 0.0)])
    sent = commit(owner, NOW_S)
    owner.fleet.draining["m-w"] = "wave"
    produced = answer_all(owner, NOW_S + 0.2, sent)
    assert orders_in(produced) == [] and reasons(produced) == ["worker_drains"] * 2


# Guards against starts that a worker refuses since their ticket has expired while they waited.
def test_orders_carry_the_valid_ticket():
    """
    An order whose ticket has expired is sent with a newer one, and withdrawn if there is none.
    """
    node = owner_of([worker_entry("w", 8000)], make_owner_config(has_advice=True))
    hand_in(node, [("job", "usual", (one_step(4),), 0.0)])
    advice = node.advice[("job", 0, 0)] = StepAdvice(tickets={"w": ("old", NOW_S + 0.15)})
    feed(node, NOW_S + 0.05, events.Ticked())
    sent = commit(node, NOW_S + 0.06)
    assert [order.ticket for order in sent] == ["old"] * AT_ONCE
    advice.tickets["w"] = ("new", NOW_S + 0.25)
    (first,) = orders_in(answer_all(node, NOW_S + 0.2, sent[:1]))
    assert first.ticket == "new"
    produced = answer_all(node, NOW_S + 0.3, sent[1:])
    assert orders_in(produced) == [] and reasons(produced) == ["no_ticket"]


# Guards against orders to workers whose loss of capacity may not be known.
def test_orders_are_withdrawn_while_the_registry_is_not_read():
    """
    Orders that wait are withdrawn once the registry was not read for longer than it may be unknown.
    """
    node = owner_of([worker_entry("w", 8000)])
    node.bounds = node.bounds._replace(contact_s=3.0)
    node.registry.last_success_s = NOW_S
    hand_in(node, [("job", "usual", (one_step(4),), 0.0)])
    sent = commit(node, NOW_S)
    read_to_end(node, NOW_S + 2.9)
    assert len(orders_in(answer_all(node, NOW_S + 2.9, sent[:1]))) == 1
    read_to_end(node, NOW_S + 3.1)
    produced = answer_all(node, NOW_S + 3.1, sent[1:])
    assert orders_in(produced) == [] and reasons(produced) == ["registry_read_late"]
