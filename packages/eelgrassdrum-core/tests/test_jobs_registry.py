"""
Log lines about workers that the owner takes for ended.
"""

from eelgrassdrum_core.jobs import effects, events, model
from eelgrassdrum_core.jobs._runs import fencing_token
from eelgrassdrum_testing.jobs.owner import (
    OWNER_TOKEN,
    START_S,
    commit,
    feed,
    hand_in,
    logged,
    one_step,
    owner_of,
    worker_entry,
)

ORDERED_S = START_S + 4
MOVED = events.InstanceOrderAnswered("m-w", -1, "service", events.OK, "")


def order_down(node, at_s, incarnation=7):
    """
    Let the owner's order for the worker's instance be answered, and return the effects.
    """
    node.fleet.former_workers["m-w"] = {"w": incarnation}
    return feed(node, at_s, MOVED)


def read_registry(node, at_s, entry):
    """
    Let the owner read one entry of the registry, and return the effects.
    """
    return feed(node, at_s, events.WorkersRead(2, False, {entry.id: entry}))


def test_ended_worker_without_runs_is_logged():
    """
    A worker that is taken for ended is logged once with the reason, also if nothing runs on it.
    """
    node = owner_of([worker_entry("w")])
    (line,) = logged(order_down(node, ORDERED_S), "worker.ended")
    assert line == {
        "worker": "w",
        "service": "service",
        "instance": "m-w",
        "reason": "instance_ordered_down",
        "runs": 0,
    }
    assert logged(order_down(node, ORDERED_S + 1), "worker.ended") == []


def test_ended_worker_is_logged_with_its_runs():
    """
    The line of a worker that is taken for ended counts its runs.
    """
    node = owner_of([worker_entry("w")])
    assert hand_in(node, [("job", "usual", (one_step(2),), 0.0)]) == [("job", "w")] * 2
    (line,) = logged(order_down(node, ORDERED_S), "worker.ended")
    assert line["runs"] == 2


def test_ignored_entry_is_logged_once():
    """
    Entries of a worker that is taken for ended are logged once, with the reason and the time since.
    """
    node = owner_of([worker_entry("w")])
    order_down(node, ORDERED_S)
    entry = worker_entry("w")._replace(service="other")
    (line,) = logged(read_registry(node, ORDERED_S + 2, entry), "worker.ignored")
    assert (line["reason"], line["ended_s_ago"]) == ("instance_ordered_down", 2.0)
    assert (line["service"], line["known_service"]) == ("other", "service")
    assert logged(read_registry(node, ORDERED_S + 3, entry), "worker.ignored") == []


def test_ignored_entry_is_logged_again_for_another_incarnation():
    """
    A worker that restarts and is taken for ended again gets another line.
    """
    node = owner_of([worker_entry("w")])
    for incarnation in (7, 8):
        at_s = ORDERED_S + incarnation
        entry = worker_entry("w")._replace(incarnation=incarnation)
        read_registry(node, at_s, entry)
        answer = events.HoldAnswered("w", OWNER_TOKEN, at_s, 5000, incarnation, (), ())
        feed(node, at_s, answer)
        assert len(logged(order_down(node, at_s, incarnation), "worker.ended")) == 1
        assert len(logged(read_registry(node, at_s + 0.5, entry), "worker.ignored")) == 1


def test_entry_of_an_older_incarnation_is_logged():
    """
    An entry that is older than the known incarnation is logged once as ignored.
    """
    node = owner_of([worker_entry("w")])
    old = worker_entry("w")._replace(incarnation=6)
    (line,) = logged(read_registry(node, ORDERED_S, old), "worker.ignored")
    assert (line["reason"], line["incarnation"], line["known_incarnation"]) == (
        "older_incarnation",
        6,
        7,
    )
    assert line["ended_s_ago"] is None
    assert logged(read_registry(node, ORDERED_S + 1, old), "worker.ignored") == []


def answer_hold(node, at_s, incarnation, sent_s=None, ends=()):
    """
    Let an incarnation of the worker answer a hold with the present token, and return the effects.
    """
    token = fencing_token(node, node.workers["w"])
    sent_s = at_s if sent_s is None else sent_s
    return feed(node, at_s, events.HoldAnswered("w", token, sent_s, 100, incarnation, (), ends))


# Guards against a worker whose ends are never recorded, as its clock was set back before its start.
def test_a_worker_that_restarts_at_an_earlier_time_of_day_is_used():
    """
    An incarnation with a lower number than the former one is reset, gets tasks and is believed.
    """
    node = owner_of([worker_entry("w")])
    restarted = answer_hold(node, START_S + 2.5, 6)
    (line,) = logged(restarted, "worker.restarted")
    assert (line["former"], line["incarnation"]) == (7, 6)
    assert not node.workers["w"].is_held
    answer_hold(node, START_S + 2.6, 6)
    commit(node, START_S + 2.9)
    assert hand_in(node, [("job", "usual", (one_step(),), 0.0)]) == [("job", "w")]
    (order,) = commit(node, START_S + 3.1)
    end = model.EndRow(1, order.key, order.run, "done", "")
    answer_hold(node, START_S + 3.5, 6, ends=(end,))
    assert node.replicated.jobs["job"].state == "completed"


def test_entries_follow_a_worker_that_restarted_at_an_earlier_time_of_day():
    """
    The entry of the former incarnation is ignored, and that of the present one is not.
    """
    node = owner_of([worker_entry("w")])
    for at_s in (START_S + 2.5, START_S + 2.6):
        answer_hold(node, at_s, 6)
    former = read_registry(node, START_S + 2.7, worker_entry("w"))
    assert logged(former, "worker.ignored") and node.workers["w"].is_held
    entry = worker_entry("w")._replace(incarnation=6, is_draining=True)
    assert logged(read_registry(node, START_S + 2.8, entry), "worker.draining")
    assert node.workers["w"].is_held and node.workers["w"].entry.is_draining
    # The next start may be earlier than that of the first incarnation as well, or later.
    for incarnation in (7, 9):
        answer_hold(node, START_S + incarnation, incarnation)
        answer_hold(node, START_S + incarnation + 0.1, incarnation)
        assert node.workers["w"].is_held
        assert node.workers["w"].entry.incarnation == incarnation


def test_a_lower_entry_is_believed_while_the_worker_is_silent():
    """
    An entry with a lower number replaces an incarnation that doesn't answer, which its own answer
    brings back.
    """
    node = owner_of([worker_entry("w")])
    node.workers["w"].is_failing = True
    lower = worker_entry("w")._replace(incarnation=6)
    assert logged(read_registry(node, START_S + 4, lower), "worker.restarted")
    for at_s in (START_S + 4.1, START_S + 4.2):
        answer_hold(node, at_s, 7)
    assert node.workers["w"].is_held and node.workers["w"].entry.incarnation == 7


def test_an_answer_of_a_former_incarnation_does_not_replace_the_present_one():
    """
    A lower number in the answer to a call that was sent before the known start changes nothing.
    """
    node = owner_of([worker_entry("w")])
    read_registry(node, START_S + 4, worker_entry("w")._replace(incarnation=8))
    late = answer_hold(node, START_S + 4.2, 7, sent_s=START_S + 3.9)
    assert logged(late, "worker.restarted") == []
    assert node.workers["w"].entry.incarnation == 8


# Guards against a worker that left and is listed again until the registry is read once more.
def test_an_older_read_of_the_registry_does_not_replace_a_newer_one():
    """
    After an outage two reads of the registry are pending; the older one, answered last, is ignored.
    """
    a, b = worker_entry("a"), worker_entry("b")
    node = owner_of([a, b])
    begin_s = START_S + 3
    feed(node, begin_s, events.WorkersRead(5, True, {"a": a, "b": b}, begin_s))
    commit(node, begin_s)
    first_s, second_s, back_s = begin_s + 0.3, begin_s + 1.05, begin_s + 1.0
    assert [item.cursor for item in reads(feed(node, first_s, events.Ticked()))] == [5]
    feed(node, begin_s + 0.5, events.LogReadFailed("timeout", begin_s + 0.4))
    feed(node, begin_s + 0.8, events.Ticked())
    offset = node.replicated.offset
    feed(node, back_s, events.LogRead(offset, (), offset, begin_s + 0.8))
    assert [item.cursor for item in reads(feed(node, second_s, events.Ticked()))] == [5]
    feed(node, begin_s + 1.1, events.WorkersRead(9, False, {"b": None}, second_s))
    feed(node, begin_s + 1.15, events.WorkersRead(6, False, {"b": b}, first_s))
    assert node.registry.cursor == 9
    assert not node.workers["b"].has_entry
    assert [item.cursor for item in reads(feed(node, begin_s + 1.5, events.Ticked()))] == [9]


def reads(produced):
    """
    Return the reads of the registry among effects.
    """
    return [item for item in produced if isinstance(item, effects.ReadWorkers)]
