"""
Outcomes of orders to start tasks.
"""

from eelgrassdrum_core.jobs import effects, events, model
from eelgrassdrum_core.jobs._node import StepAdvice
from eelgrassdrum_testing.jobs.owner import (
    OWNER_TOKEN,
    START_S,
    commit,
    feed,
    hand_in,
    logged,
    one_step,
    owner_of,
    read_to_end,
    started,
    worker_entry,
)

SENT_S = START_S + 3.1
GIVEN_UP_S = SENT_S + 0.8


def make_unanswered():
    """
    Return an owner whose only order timed out, the order, and the effects of the timeout.
    """
    node = owner_of([worker_entry("w")])
    hand_in(node, [("job", "usual", (one_step(),), 0.0)])
    (order,) = commit(node, SENT_S)
    outcome = events.StartAnswered("w", order.key, order.run, events.UNKNOWN, "timeout", 0)
    return node, order, feed(node, GIVEN_UP_S, outcome)


FIXTURES = {"unanswered": make_unanswered}


def worker_lists(sent_s, runs=(), ends=()):
    """
    Build the worker's lists of runs and exits, requested at the given time.
    """
    return events.HoldAnswered("w", OWNER_TOKEN, sent_s, 8000, 7, runs, ends)


def of_type(produced, kind):
    """
    Return the effects of a type.
    """
    return [item for item in produced if isinstance(item, kind)]


def test_unanswered_order_is_not_sent_again(unanswered):
    """
    After an unanswered order the owner requests the worker's lists instead of sending it again,
    since a second copy could be carried out after the first run has exited.
    """
    _node, _order, produced = unanswered
    assert of_type(produced, effects.StartTask) == []
    (hold,) = of_type(produced, effects.Hold)
    assert hold.wait_s == 0.0


def test_executed_order_is_found_in_the_lists(unanswered):
    """
    A run that the worker lists continues although the answer to its order was lost.
    """
    node, order, _produced = unanswered
    row = model.RunRow(order.key, order.run, "", 10, 0.0)
    produced = feed(node, GIVEN_UP_S + 0.01, worker_lists(GIVEN_UP_S, (row,)))
    assert of_type(produced, effects.StopTask) == []
    assert order.key in node.replicated.running["w"]


def test_run_is_stopped_before_its_task_is_retried(unanswered):
    """
    A task whose run isn't listed is retried only after the worker has acknowledged a stop of the
    run, and lists requested after that don't contain it either.
    """
    node, order, _produced = unanswered
    produced = feed(node, GIVEN_UP_S + 0.01, worker_lists(GIVEN_UP_S))
    assert started(produced) == []
    (stop,) = of_type(produced, effects.StopTask)
    assert (stop.key, stop.run) == (order.key, order.run)
    stop_acknowledged = events.StopAnswered("w", order.key, order.run, events.OK)
    produced = feed(node, GIVEN_UP_S + 0.02, stop_acknowledged)
    assert started(produced) == []
    assert len(of_type(produced, effects.Hold)) == 1
    produced = feed(node, GIVEN_UP_S + 0.03, worker_lists(GIVEN_UP_S + 0.02))
    assert started(produced) == [("job", "w")]
    (again,) = commit(node, GIVEN_UP_S + 0.04)
    assert again.run == order.run + 1


def test_run_started_before_the_stop_exits_before_a_retry(unanswered):
    """
    If a delayed order was carried out before the stop, its run has to exit before a retry.
    """
    node, order, _produced = unanswered
    feed(node, GIVEN_UP_S + 0.01, worker_lists(GIVEN_UP_S))
    feed(node, GIVEN_UP_S + 0.02, events.StopAnswered("w", order.key, order.run, events.OK))
    row = model.RunRow(order.key, order.run, "", 10, 0.0)
    produced = feed(node, GIVEN_UP_S + 0.03, worker_lists(GIVEN_UP_S + 0.02, (row,)))
    assert started(produced) == []
    commit(node, GIVEN_UP_S + 0.1)
    read_to_end(node, GIVEN_UP_S + 0.1)
    end = model.EndRow(1, order.key, order.run, "stopped", "")
    produced = feed(node, GIVEN_UP_S + 0.4, worker_lists(GIVEN_UP_S + 0.03, (), (end,)))
    assert started(produced) == [("job", "w")]


def test_exits_are_acknowledged_once():
    """
    Exits are not acknowledged again once the worker knows, since a worker that restarts undetected
    numbers its exits anew.
    """
    node = owner_of([worker_entry("w")])
    hand_in(node, [("job", "usual", (one_step(2),), 0.0)])
    first, second = commit(node, SENT_S)
    for order in (first, second):
        outcome = events.StartAnswered("w", order.key, order.run, events.OK, "", 6000)
        feed(node, SENT_S + 0.01, outcome)
    row = model.RunRow(second.key, second.run, "", 10, 0.0)
    end = model.EndRow(1, first.key, first.run, "done", "")
    feed(node, SENT_S + 0.2, worker_lists(SENT_S + 0.1, (row,), (end,)))
    appended = events.Appended("owner", node.journal.seq, events.OK)
    (next_hold,) = of_type(feed(node, SENT_S + 0.21, appended), effects.Hold)
    assert next_hold.acked == 1
    produced = feed(node, SENT_S + 0.23, worker_lists(SENT_S + 0.22, (row,)))
    assert [hold.acked for hold in of_type(produced, effects.Hold)] == [0]


def make_owner_with_ticket():
    """
    Return an owner that has a ticket for the step of an order, which it has sent, and the order.
    """
    node = owner_of([worker_entry("w")])
    hand_in(node, [("job", "usual", (one_step(),), 0.0)])
    (order,) = commit(node, SENT_S)
    advice = StepAdvice(tickets={"w": ("ticket", SENT_S + 100)}, refused={"v"})
    node.advice[(order.key.job, order.key.occurrence, order.key.step)] = advice
    return node, order, advice


# Guards against starts that a worker refuses until the ticket of its former incarnation expires.
def test_a_restarted_worker_needs_a_new_ticket():
    """
    The tickets of a worker are dropped when it has restarted, and it may be asked for anew.
    """
    node, _order, advice = make_owner_with_ticket()
    advice.refused.add("w")
    feed(node, SENT_S + 0.1, events.HoldAnswered("w", OWNER_TOKEN, SENT_S + 0.1, 10, 8, (), ()))
    assert node.workers["w"].entry.incarnation == 8
    assert "w" not in advice.tickets
    assert advice.refused == {"v"}


# Guards against the same, if the ticket arrived after the restart.
def test_a_refused_ticket_is_dropped():
    """
    A ticket that its worker refuses is requested again, and others are kept.
    """
    node, order, advice = make_owner_with_ticket()
    advice.tickets["v"] = ("other", SENT_S + 100)
    refusal = events.StartAnswered("w", order.key, order.run, events.REFUSED, "ticket", 0)
    feed(node, SENT_S + 0.1, refusal)
    assert set(advice.tickets) == {"v"}


def test_a_refusal_for_another_reason_keeps_the_ticket():
    """
    A worker without room keeps its ticket.
    """
    node, order, advice = make_owner_with_ticket()
    refusal = events.StartAnswered("w", order.key, order.run, events.REFUSED, "room", 0)
    feed(node, SENT_S + 0.1, refusal)
    assert set(advice.tickets) == {"w"}


def test_unanswered_stop_is_logged():
    """
    The log says which stop had no answer, so that a run that goes on can be explained.
    """
    node = owner_of([worker_entry("w")])
    hand_in(node, [("job", "usual", (one_step(),), 0.0)])
    (order,) = commit(node, SENT_S)
    outcome = events.StopAnswered("w", order.key, order.run, events.UNKNOWN)
    lines = of_type(feed(node, GIVEN_UP_S, outcome), effects.WriteLine)
    fields = [line.fields for line in lines if line.action == "run.stop_unanswered"]
    assert [(item["job"], item["worker"], item["outcome"]) for item in fields] == [
        ("job", "w", events.UNKNOWN)
    ]


def make_given_up():
    """
    Return an owner that has given up a run on an unreachable worker and decided to start the task
    on another one, the former order, the new worker, and the time.
    """
    node = owner_of([worker_entry("v"), worker_entry("w")])
    hand_in(node, [("job", "usual", (one_step(),), 0.0)])
    (order,) = commit(node, SENT_S)
    feed(node, SENT_S + 0.01, events.StartAnswered(order.worker, order.key, 1, events.OK, "", 6000))
    feed(node, GIVEN_UP_S, events.HoldFailed(order.worker, "timeout", OWNER_TOKEN))
    now_s, decided = GIVEN_UP_S, []
    while not decided:
        now_s += 0.5
        commit(node, now_s)
        offset = node.replicated.offset
        read = events.LogRead(offset, (), offset, now_s)
        decided = started(feed(node, now_s, read) + feed(node, now_s, events.Ticked()))
    ((_job, other),) = decided
    assert other != order.worker
    return node, order, other, now_s


def late_completion(order, sent_s):
    """
    Build the lists of a worker that is reachable again, with the completion of the given-up run.
    """
    end = model.EndRow(1, order.key, order.run, "done", "")
    token = OWNER_TOKEN + 1
    return events.HoldAnswered(order.worker, token, sent_s, 25_000, 7, (), (end,))


# Guards against a restart of a task whose completion was listed before the next order was sent.
def test_a_late_completion_voids_an_order_that_is_not_sent():
    """
    A given-up run that turns out to have completed ends its task, if no later run was ordered yet.
    """
    node, order, _other, now_s = make_given_up()
    feed(node, now_s + 0.01, late_completion(order, now_s))
    assert commit(node, now_s + 0.05) == []
    assert node.replicated.jobs["job"].state == "completed"


# Guards against a restart of a task whose completion was listed after a later order was refused.
def test_a_late_completion_counts_after_a_later_run_was_refused():
    """
    A given-up run that turns out to have completed ends its task, although a later run was refused.
    """
    node, order, other, now_s = make_given_up()
    (repeated,) = commit(node, now_s + 0.05)
    refused = events.StartAnswered(other, repeated.key, repeated.run, events.REFUSED, "room", 0)
    feed(node, now_s + 0.06, refused)
    feed(node, now_s + 0.07, late_completion(order, now_s))
    assert node.replicated.jobs["job"].state == "completed"


# Guards against a second completion of a task whose later run was ordered and may be running.
def test_a_late_completion_leaves_an_order_alone_that_was_sent():
    """
    A given-up run that turns out to have completed changes nothing once a later run was ordered.
    """
    node, order, other, now_s = make_given_up()
    (repeated,) = commit(node, now_s + 0.05)
    assert repeated.worker == other
    feed(node, now_s + 0.06, late_completion(order, now_s))
    assert node.replicated.jobs["job"].state == "running"


# Guards against acknowledged exits of an incarnation whose exits the owner has not listed.
def test_an_unreachable_worker_gets_no_acknowledgement():
    """
    Holds to a worker that doesn't answer acknowledge nothing, since its next incarnation may get
    them and numbers its exits anew.
    """
    node = owner_of([worker_entry("w")])
    hand_in(node, [("job", "usual", (one_step(2),), 0.0)])
    first, second = commit(node, SENT_S)
    for order in (first, second):
        feed(node, SENT_S, events.StartAnswered("w", order.key, order.run, events.OK, "", 6000))
    row = model.RunRow(second.key, second.run, "", 10, 0.0)
    end = model.EndRow(1, first.key, first.run, "done", "")
    feed(node, SENT_S + 0.2, worker_lists(SENT_S + 0.1, (row,), (end,)))
    appended = events.Appended("owner", node.journal.seq, events.OK)
    (hold,) = of_type(feed(node, SENT_S + 0.21, appended), effects.Hold)
    assert hold.acked == 1
    produced = feed(node, SENT_S + 1.0, events.HoldFailed("w", "timeout", OWNER_TOKEN))
    for wait_s in (1.3, 1.6, 1.9):
        produced += feed(node, SENT_S + wait_s, events.Ticked())
    holds = of_type(produced, effects.Hold)
    assert len(holds) >= 3
    assert {hold.acked for hold in holds} == {0}


# Guards against tasks that wait for an order that is never sent.
def test_a_queued_order_ends_with_the_unanswered_ones_before_it():
    """
    An order that waits for two others of a worker that becomes unreachable ends as unsent once the
    first of them has timed out.
    """
    node = owner_of([worker_entry("w")])
    hand_in(node, [("job", "usual", (one_step(3),), 0.0)])
    first, second = commit(node, START_S + 3)
    (queued,) = node.workers["w"].outbox
    feed(node, START_S + 3.8, events.HoldFailed("w", "timeout", OWNER_TOKEN))
    produced = feed(
        node, START_S + 3.9, events.StartAnswered("w", first.key, 1, events.UNKNOWN, "timeout", 0)
    )
    ends = [(line["task"], line["how"]) for line in logged(produced, "run.ended")]
    assert ends == [(".".join(map(str, queued.key[1:])), "unsent")]
    assert not node.workers["w"].outbox
    assert second.key in node.replicated.running["w"]
