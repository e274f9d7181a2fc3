"""
Orders for instances: recent orders of a previous owner delay them, other orders do not.
"""

from eelgrassdrum_core.jobs import Identity, _candidates, effects, events, model, new_node
from eelgrassdrum_core.jobs import _instances as instances
from eelgrassdrum_core.jobs._node import WaveState
from eelgrassdrum_core.jobs._records import (
    Claimed,
    InstanceDone,
    InstanceOrdered,
    OwnerHeartbeat,
    encode_records,
)
from eelgrassdrum_testing.jobs.owner import (
    BOUNDS,
    START_S,
    WALL_MS,
    commit,
    feed,
    logged,
    make_owner_config,
    owner_of,
    worker_entry,
)

LISTED_S = START_S + 3.1
DAY_MS = 86_400_000


def make_restarted_owner(records, bounds=BOUNDS):
    """
    Return an instance that has just started, has read a whole log at one moment, and owns it.
    """
    node = new_node(Identity("entry", WALL_MS, "zone"), bounds)
    feed(node, START_S, events.OperatorRead(1, make_owner_config(), (), START_S))
    feed(node, START_S, events.SnapshotRead(None))
    data = tuple(encode_records(records))
    feed(node, START_S, events.LogRead(0, data, len(data), START_S))
    feed(node, START_S + 2, events.LogRead(len(data), (), len(data), START_S + 2))
    feed(node, START_S + 2, events.Ticked())
    claim = tuple(encode_records([Claimed(2, "entry", WALL_MS)]))
    end = len(data) + 1
    feed(node, START_S + 2, events.LogRead(len(data), claim, end, START_S + 2))
    assert node.ownership.is_owner
    return node


def make_former_log(at_ms):
    """
    Return the log of a previous owner that ordered one instance early and another one late.
    """
    return [
        Claimed(1, "former", 1),
        OwnerHeartbeat(1, 50_000),
        InstanceOrdered(1, "early", -1, "service", at_ms),
        InstanceDone(1, "early", -1),
        OwnerHeartbeat(1, 60_000),
        InstanceOrdered(1, "late", -1, "service", at_ms),
        InstanceDone(1, "late", -1),
        OwnerHeartbeat(1, 60_300),
    ]


def may_order(node, instance, after_s=0.1):
    """
    Return whether the new owner may order an instance, some time after its claim.
    """
    at = instances.Moment(START_S + 2 + after_s, WALL_MS)
    return instances.former_order_expired(node, at, instance)


def test_restarted_owner_waits_only_for_recent_orders():
    """
    An owner that has just started orders instances without a recent order at once.
    """
    node = make_restarted_owner(make_former_log(WALL_MS))
    assert may_order(node, "early")
    assert not may_order(node, "late")
    assert may_order(node, "late", after_s=BOUNDS.order_lease_s + instances.ORDER_MARGIN_S)


# Guards against orders of two owners for one instance where the platform asks for a short wait.
def test_a_new_owner_waits_until_former_orders_are_given_up():
    """
    A new owner orders no instance while a former owner may still have an open order for it, however
    short the time between orders of two owners may be.
    """
    bounds = BOUNDS._replace(order_lease_s=0.5)
    records = [Claimed(1, "former", 1), InstanceOrdered(1, "open", -1, "service", WALL_MS)]
    node = make_restarted_owner(records, bounds)
    given_up_s = instances.MAX_CONFIRMATION_AGE_S + effects.ORDER_TIMEOUT_S
    assert not may_order(node, "open", after_s=given_up_s)
    assert may_order(node, "open", after_s=given_up_s + instances.ORDER_MARGIN_S + 0.1)


def test_wall_clock_jump_does_not_age_orders():
    """
    A wall clock that jumped by a day does not release an instance that was ordered recently.
    """
    node = make_restarted_owner(make_former_log(WALL_MS - DAY_MS))
    assert not may_order(node, "late")


def test_heartbeats_of_two_owners_are_not_compared():
    """
    The clocks of two owners are unrelated, so the log's time advances only between heartbeats of
    one owner.
    """
    records = [*make_former_log(WALL_MS), Claimed(2, "other", 1), OwnerHeartbeat(2, 900_000)]
    node = new_node(Identity("entry", WALL_MS, "zone"), BOUNDS)
    feed(node, START_S, events.SnapshotRead(None))
    data = tuple(encode_records(records))
    feed(node, START_S, events.LogRead(0, data, len(data), START_S))
    assert node.replicated.log_s == 10.3


def test_wave_continues_when_a_draining_instance_leaves():
    """
    A draining instance that is no longer listed does not block other instances of its wave.
    """
    wave = model.Wave(1, ("m-a", "m-b"), 30.0, 1)
    node = make_owner_with_wave(wave)
    list_instances(node, LISTED_S, ("a", "b"))
    assert set(node.fleet.draining) == {"m-a"}
    list_instances(node, LISTED_S + 1, ("b",))
    assert set(node.fleet.draining) == {"m-b"}


# Issue 19: instances were taken out of use while no order could be recorded.
def test_a_wave_drains_nothing_while_the_store_is_away():
    """
    A wave drains its instances only while the store answers.
    """
    node = make_owner_with_wave(model.Wave(1, ("m-a", "m-b"), 30.0, 1))
    feed(node, LISTED_S, events.Ticked())
    list_instances(node, LISTED_S + 1, ("a", "b"), answers=False)
    assert not node.fleet.draining
    list_instances(node, LISTED_S + 2, ("a", "b"))
    assert set(node.fleet.draining) == {"m-a"}


def test_a_wave_is_over_although_its_instances_move():
    """
    A wave is completed once all its instances are maintained, whether or not some move meanwhile.
    """
    node = make_owner_with_wave(model.Wave(1, ("m-a", "m-b"), 30.0, 1))
    node.replicated.maintained[1] = {"m-a", "m-b"}
    move_away(node, "m-a")
    list_instances(node, LISTED_S, ("a", "b"))
    assert node.replicated.closed_waves == {1}


def test_moves_do_not_count_against_the_limit_of_a_wave():
    """
    An instance that moves isn't down for the wave, so another one may be maintained.
    """
    node = make_owner_with_wave(model.Wave(1, ("m-a", "m-b"), 30.0, 1))
    move_away(node, "m-a")
    list_instances(node, LISTED_S, ("a", "b"))
    assert node.fleet.draining == {"m-a": instances.MOVE, "m-b": instances.MAINTENANCE}


def test_a_wave_is_not_over_while_an_instance_is_maintained():
    """
    A wave isn't completed before the last of its instances is back.
    """
    node = make_owner_with_wave(model.Wave(1, ("m-a", "m-b"), 30.0, 1))
    node.replicated.maintained[1] = {"m-a", "m-b"}
    node.fleet.draining["m-a"] = instances.MAINTENANCE
    node.fleet.down["m-a"] = LISTED_S + 10.0
    list_instances(node, LISTED_S, ("a", "b"))
    assert not node.replicated.closed_waves


# Guards against waves that are completed without maintenance since their instances are new.
def test_a_wave_is_not_over_by_a_list_that_is_older_than_the_wave():
    """
    An instance that a list lacks isn't gone if the list was requested before the wave was read.
    """
    node = make_owner_with_wave(model.Wave(1, ("m-c",), 30.0, 1), listed=("a", "b"))
    list_instances(node, LISTED_S + 0.2, ("a", "b"), sent_s=LISTED_S - 0.1)
    assert not node.replicated.closed_waves
    feed(node, LISTED_S + 0.6, events.InstancesListed(None, LISTED_S + 0.3))
    list_instances(node, LISTED_S + 1.2, ("a", "b", "c"), sent_s=LISTED_S + 1)
    assert set(node.fleet.draining) == {"m-c"} and not node.replicated.closed_waves


def test_a_wave_is_over_without_instances_that_a_later_list_lacks():
    """
    An instance that left before the wave was read doesn't keep the wave open.
    """
    node = make_owner_with_wave(model.Wave(1, ("m-a", "m-c"), 30.0, 1), listed=("a", "b"))
    node.replicated.maintained[1] = {"m-a"}
    list_instances(node, LISTED_S + 1, ("a", "b"), sent_s=LISTED_S + 0.5)
    assert node.replicated.closed_waves == {1}


# Guards against waves that stay open for an instance that is gone: nobody calls its worker again.
def test_a_worker_that_answers_after_a_list_shows_that_its_instance_is_there():
    """
    An instance that a list lacks isn't gone if its worker has answered since, and is by the next
    list if it hasn't, although nothing else shows that the worker has ended.
    """
    node = make_owner_with_wave(model.Wave(1, ("m-b",), 30.0, 1), listed=("a", "b"))
    answer_holds(node, LISTED_S + 0.6, worker_entry("b"))
    list_instances(node, LISTED_S + 0.7, ("a",), sent_s=LISTED_S + 0.5)
    assert not node.replicated.closed_waves
    register(node, LISTED_S + 0.8, worker_entry("a"))
    list_instances(node, LISTED_S + 1.2, ("a",), sent_s=LISTED_S + 1.1)
    assert node.workers["b"].is_held and not node.workers["b"].is_failing
    assert node.replicated.closed_waves == {1}


def test_a_new_owner_lists_the_instances_before_it_completes_a_wave():
    """
    A new owner that knew a wave before its claim completes it only by a list of its own.
    """
    node = make_restarted_owner([Claimed(1, "former", 1), OwnerHeartbeat(1, 50_000)])
    node.waves[1] = WaveState(model.Wave(1, ("m-c",), 30.0, 1), START_S)
    feed(node, START_S + 2.1, events.Ticked())
    commit(node, START_S + 2.1)
    assert not node.replicated.closed_waves
    list_instances(node, START_S + 2.2, ("a", "c"))
    assert set(node.fleet.draining) == {"m-c"}


def test_instances_are_listed_soon_after_a_wave_of_unlisted_ones():
    """
    A wave that names an unlisted instance doesn't wait for the usual interval between lists.
    """
    node = make_owner_with_wave(model.Wave(1, ("m-a", "m-c"), 30.0, 1), listed=("a", "b"))
    node.fleet.listed_s = LISTED_S - 1
    produced = feed(node, LISTED_S + 0.1, events.Ticked())
    assert any(isinstance(item, effects.ListInstances) for item in produced)


# Guards against a drain that is dropped by a list which lacks its instance since it is older.
def test_a_list_that_was_requested_before_the_claim_is_ignored():
    """
    A new owner keeps an instance drained that a list of a former ownership doesn't have yet.
    """
    records = [
        Claimed(1, "former", 1),
        OwnerHeartbeat(1, 50_000),
        InstanceOrdered(1, "m-1", -1, "service", WALL_MS),
    ]
    node = make_restarted_owner(records)
    former = feed(node, START_S + 2.1, events.InstancesListed((make_row("m-2", ""),), START_S + 1))
    assert set(node.fleet.draining) == {"m-1"} and not node.fleet.rows
    assert logged(former, "instances.outdated_list")
    list_rows(node, START_S + 2.2, make_row("m-2", ""))
    assert not node.fleet.draining


def test_an_instance_that_was_ordered_down_is_gone_only_by_a_later_list():
    """
    A list that was requested before an order was answered doesn't end the time that it is down.
    """
    node = make_owner_with_former_move()
    assert sent_orders(node, START_S + 9) == ["m-1"]
    answer_order(node, START_S + 9.2, "m-1", events.OK)
    list_rows_sent(node, START_S + 9.3, START_S + 9.1, make_row("m-2", ""))
    assert "m-1" in node.fleet.down
    list_rows(node, START_S + 9.8, make_row("m-2", ""))
    assert "m-1" not in node.fleet.down


def move_away(node, instance):
    """
    Let an instance be away for a move.
    """
    node.fleet.draining[instance] = instances.MOVE
    node.fleet.pool_of[instance] = "service"
    node.fleet.down[instance] = LISTED_S + 10.0


def make_owner_with_wave(wave, listed=()):
    """
    Return the owner of two instances, which have been listed or not, that has just read a wave.
    """
    node = owner_of([worker_entry("a"), worker_entry("b")])
    if listed:
        list_instances(node, LISTED_S - 0.5, listed)
    feed(node, LISTED_S, events.OperatorRead(2, make_owner_config(), (wave,), LISTED_S))
    return node


def list_instances(node, at_s, names, answers=True, sent_s=None):
    """
    Let the store answer or not, list instances that are up, and let the owner act on it.
    """
    sent_s = at_s if sent_s is None else sent_s
    if answers:
        commit(node, at_s)
        feed(node, at_s, events.Ticked())
        commit(node, at_s)
    rows = tuple(
        model.InstanceRow(
            f"m-{name}", "service", "up", "z", "r1", model.Resources(4000, 64_000, 0), name
        )
        for name in names
    )
    feed(node, at_s, events.InstancesListed(rows, sent_s))
    feed(node, at_s, events.Ticked())


def make_row(instance, worker, state="up", pool="service"):
    """
    Return the listing of an instance.
    """
    capacity = model.Resources(4000, 64_000, 0)
    return model.InstanceRow(instance, pool, state, "z", "r1", capacity, worker)


def list_rows(node, at_s, *rows):
    """
    Let the owner read a list of instances that was requested at that time.
    """
    list_rows_sent(node, at_s, at_s, *rows)


def list_rows_sent(node, at_s, sent_s, *rows):
    """
    Let the owner read a list of instances that was requested before.
    """
    feed(node, at_s, events.InstancesListed(rows, sent_s))
    feed(node, at_s, events.Ticked())


def register(node, at_s, *entries):
    """
    Let the owner read the registry, and let the listed workers accept its token.
    """
    listed = {entry.id: entry for entry in entries}
    feed(node, at_s, events.WorkersRead(2, True, listed))
    answer_holds(node, at_s, *entries)


def answer_holds(node, at_s, *entries):
    """
    Let workers that run nothing answer the owner.
    """
    for entry in entries:
        worker = node.workers[entry.id]
        token = instances._runs.fencing_token(node, worker)
        feed(
            node,
            at_s,
            events.HoldAnswered(entry.id, token, at_s, 9000, entry.incarnation, (), ()),
        )


def on_instance(name, instance):
    """
    Return the entry of a worker on an instance.
    """
    return worker_entry(name)._replace(instance=instance)


def accepts_tasks(node, at_s, name):
    """
    Return whether tasks may be started on a worker.
    """
    at = instances.Moment(at_s, WALL_MS)
    return _candidates.accepts_tasks(node, at, node.workers[name])


def sent_orders(node, at_s):
    """
    Let time pass and the store commit the owner's records, and return the instances ordered.
    """
    produced = []
    # Nothing is decided until the store has confirmed the owner.
    for _ in range(2):
        produced += feed(node, at_s, events.Ticked())
        while node.journal.in_flight is not None:
            produced += feed(node, at_s, events.Appended("owner", node.journal.seq, events.OK))
    return [item.instance for item in produced if isinstance(item, effects.OrderInstance)]


def answer_order(node, at_s, instance, outcome, pool="service"):
    """
    Let the machine service answer a move.
    """
    feed(node, at_s, events.InstanceOrderAnswered(instance, -1, pool, outcome, ""))


def make_owner_with_former_move():
    """
    Return a new owner that has to repeat the move of a previous one, which was carried out: the
    instance already has its new worker, but was listed before it was up.
    """
    records = [
        Claimed(1, "former", 1),
        OwnerHeartbeat(1, 50_000),
        InstanceOrdered(1, "m-1", -1, "service", WALL_MS),
    ]
    node = make_restarted_owner(records)
    register(node, START_S + 2.1, on_instance("new", "m-1"))
    list_rows(node, START_S + 2.2, make_row("m-1", "", "moving"))
    return node


# Guards against a repeated order, answered as already done, that ended the instance's new worker
# for good.
def test_worker_of_a_repeated_former_order_is_used():
    """
    A new owner repeats a move that was carried out, and then uses the worker that it led to.
    """
    node = make_owner_with_former_move()
    repeat_s = START_S + 2 + BOUNDS.order_lease_s + instances.ORDER_MARGIN_S + 0.1
    assert sent_orders(node, repeat_s) == ["m-1"]
    answer_order(node, repeat_s + 0.1, "m-1", events.OK)
    list_rows(node, repeat_s + 0.2, make_row("m-1", "new"))
    register(node, repeat_s + 0.3, on_instance("new", "m-1"))
    assert accepts_tasks(node, repeat_s + 0.4, "new")


def make_owner_that_moves():
    """
    Return an owner that has sent the move of an instance with an empty worker.
    """
    old = on_instance("old", "m-1")
    node = owner_of([old])
    register(node, LISTED_S, old)
    list_rows(node, LISTED_S, make_row("m-1", "old", pool="other"))
    node.fleet.draining["m-1"] = instances.MOVE
    node.fleet.pool_of["m-1"] = "service"
    assert sent_orders(node, LISTED_S + 0.1) == ["m-1"]
    return node


def make_owner_with_unanswered_move():
    """
    Return an owner whose move of an instance was carried out without an answer, so that the
    instance has its new worker before the move is sent again.
    """
    node = make_owner_that_moves()
    answer_order(node, LISTED_S + 1, "m-1", events.UNKNOWN)
    register(node, LISTED_S + 2, on_instance("new", "m-1"))
    return node


# Guards against the same loss after an order without an answer.
def test_worker_of_a_repeated_own_order_is_used():
    """
    An owner repeats a move that was carried out but not answered, and then uses the new worker.
    """
    node = make_owner_with_unanswered_move()
    assert sent_orders(node, LISTED_S + 2.1) == ["m-1"]
    answer_order(node, LISTED_S + 2.2, "m-1", events.OK)
    assert node.workers["old"].has_ended
    list_rows(node, LISTED_S + 2.3, make_row("m-1", "new"))
    register(node, LISTED_S + 2.4, on_instance("new", "m-1"))
    assert accepts_tasks(node, LISTED_S + 2.5, "new")


def test_worker_before_an_order_has_ended():
    """
    The worker that was on an instance before its order gets no work when the instance is back,
    even while the registry still has its entry.
    """
    node = make_owner_that_moves()
    answer_order(node, LISTED_S + 0.2, "m-1", events.OK)
    register(node, LISTED_S + 0.3, on_instance("old", "m-1"))
    list_rows(node, LISTED_S + 2, make_row("m-1", ""))
    assert "m-1" not in node.fleet.draining
    assert not accepts_tasks(node, LISTED_S + 2.1, "old")


def test_worker_known_after_an_order_ends_when_another_follows():
    """
    A worker that a repeated order did stop gets no work once the list shows its successor.
    """
    node = make_owner_with_former_move()
    repeat_s = START_S + 2 + BOUNDS.order_lease_s + instances.ORDER_MARGIN_S + 0.1
    assert sent_orders(node, repeat_s) == ["m-1"]
    answer_order(node, repeat_s + 0.1, "m-1", events.OK)
    assert not accepts_tasks(node, repeat_s + 0.1, "new")
    list_rows(node, repeat_s + 2, make_row("m-1", "newer"))
    assert not accepts_tasks(node, repeat_s + 2.1, "new")


# Guards against a worker that was wrongly considered ended and never used again.
def test_ended_worker_is_used_again_if_a_later_list_has_it():
    """
    A worker that was considered ended is used again once a later list shows it up.
    """
    entry = on_instance("a", "m-1")
    node = owner_of([entry])
    worker = node.workers["a"]
    feed(
        node,
        LISTED_S,
        events.HoldFailed("a", "timeout", instances._runs.fencing_token(node, worker)),
    )
    list_rows(node, LISTED_S + 0.1, make_row("m-1", "b"))
    assert worker.has_ended
    list_rows(node, LISTED_S + 0.7, make_row("m-1", "a"))
    register(node, LISTED_S + 0.8, entry)
    assert accepts_tasks(node, LISTED_S + 0.9, "a")


# Guards against workers that are drained for a move that was carried out long before.
def test_a_former_move_that_a_list_shows_done_is_not_repeated():
    """
    A new owner uses the worker of a previous owner's move once a list shows the move done.
    """
    node = make_owner_with_former_move()
    assert not accepts_tasks(node, START_S + 2.3, "new")
    list_rows(node, START_S + 2.7, make_row("m-1", "new"))
    assert accepts_tasks(node, START_S + 2.8, "new")
    repeat_s = START_S + 2 + BOUNDS.order_lease_s + instances.ORDER_MARGIN_S + 0.1
    assert sent_orders(node, repeat_s) == []
    assert node.replicated.orders["m-1"].is_done


def test_an_unanswered_move_that_a_list_shows_done_is_not_repeated():
    """
    An owner takes a move without an answer as done if a later list shows it, not an earlier one.
    """
    node = make_owner_that_moves()
    list_rows(node, LISTED_S + 0.05, make_row("m-1", "old"))
    assert "m-1" in node.fleet.draining
    answer_order(node, LISTED_S + 1, "m-1", events.UNKNOWN)
    list_rows(node, LISTED_S + 1.5, make_row("m-1", "old", pool="other"))
    assert "m-1" in node.fleet.draining
    register(node, LISTED_S + 1.6, on_instance("new", "m-1"))
    list_rows(node, LISTED_S + 1.7, make_row("m-1", "new"))
    assert accepts_tasks(node, LISTED_S + 1.8, "new")
    assert node.workers["old"].has_ended
    assert sent_orders(node, LISTED_S + 2.1) == []


# Guards against workers that get no work while the machine service lists nothing.
def test_worker_of_a_recent_former_order_is_used_without_a_list():
    """
    A new owner uses the worker of a recently ordered instance once it answers, also if the machine
    service lists nothing.
    """
    records = [
        Claimed(1, "former", 1),
        OwnerHeartbeat(1, 50_000),
        InstanceOrdered(1, "m-1", -1, "service", WALL_MS),
        InstanceDone(1, "m-1", -1),
    ]
    node = make_restarted_owner(records)
    entry = on_instance("new", "m-1")
    feed(node, START_S + 2.1, events.WorkersRead(2, True, {"new": entry}))
    feed(node, START_S + 2.1, events.InstancesListed(None, START_S + 2.1))
    assert not accepts_tasks(node, START_S + 2.1, "new")
    answer_holds(node, START_S + 2.2, entry)
    feed(node, START_S + 2.3, events.Ticked())
    assert accepts_tasks(node, START_S + 2.4, "new")
    assert "m-1" not in node.fleet.down


def refuse_order(node, at_s, outcome, reason, pool="service"):
    """
    Let the machine service refuse a move, or a connection for it.
    """
    feed(node, at_s, events.InstanceOrderAnswered("m-1", -1, pool, outcome, reason))
    feed(node, at_s, events.Ticked())
    commit(node, at_s)


# Guards against tasks that an earlier attempt of a refused move cuts.
def test_no_task_starts_while_an_unanswered_move_may_be_carried_out():
    """
    A refused or unsent repetition of a move without an answer leaves its instance drained.
    """
    for outcome, reason in (
        (events.REFUSED, "429"),
        (events.REFUSED, "busy"),
        (events.UNSENT, "connect"),
    ):
        node = make_owner_that_moves()
        refuse_order(node, LISTED_S + 1.0, events.UNKNOWN, "timeout")
        assert sent_orders(node, LISTED_S + 2.1) == ["m-1"]
        refuse_order(node, LISTED_S + 2.2, outcome, reason)
        assert not accepts_tasks(node, LISTED_S + 2.3, "old"), (outcome, reason)
        # A list that was requested while the first attempt may be late is no evidence either.
        list_rows(node, LISTED_S + 2.4, make_row("m-1", "old", pool="other"))
        assert not accepts_tasks(node, LISTED_S + 2.5, "old"), (outcome, reason)
        assert not node.replicated.orders["m-1"].is_done


# Guards against an instance that stays drained for a move that is refused for good.
def test_a_repeated_move_that_is_refused_for_good_is_given_up():
    """
    An instance is used again once no attempt without an answer can be carried out any more.
    """
    node = make_owner_that_moves()
    refuse_order(node, LISTED_S + 1.0, events.UNKNOWN, "timeout")
    assert sent_orders(node, LISTED_S + 2.1) == ["m-1"]
    refuse_order(node, LISTED_S + 2.2, events.REFUSED, "400")
    late_s = LISTED_S + 1.0 + BOUNDS.order_lease_s + instances.ORDER_MARGIN_S
    list_rows(node, late_s + 0.1, make_row("m-1", "old", pool="other"))
    commit(node, late_s + 0.2)
    answer_holds(node, late_s + 0.2, node.workers["old"].entry)
    assert accepts_tasks(node, late_s + 0.3, "old")
    feed(node, late_s + 0.3, events.Ticked())
    commit(node, late_s + 0.3)
    assert node.replicated.orders["m-1"].is_done


# Guards against a former owner's move that is dropped while it may still be carried out.
def test_a_refused_move_of_a_former_owner_waits_for_a_list():
    """
    A new owner gives up a refused move of a previous owner only after a list shows it not done.
    """
    records = [
        Claimed(1, "former", 1),
        OwnerHeartbeat(1, 50_000),
        InstanceOrdered(1, "m-1", -1, "service", WALL_MS),
    ]
    node = make_restarted_owner(records)
    register(node, START_S + 2.1, on_instance("old", "m-1"))
    list_rows(node, START_S + 2.2, make_row("m-1", "old", pool="other"))
    repeat_s = START_S + 2 + BOUNDS.order_lease_s + instances.ORDER_MARGIN_S + 0.1
    assert sent_orders(node, repeat_s) == ["m-1"]
    refuse_order(node, repeat_s + 0.1, events.REFUSED, "400")
    assert "m-1" in node.fleet.draining
    list_rows(node, repeat_s + 0.2, make_row("m-1", "old", pool="other"))
    assert "m-1" not in node.fleet.draining


# Guards against tasks on an instance that is down or moving.
def test_an_instance_that_is_busy_stays_drained_until_it_is_up():
    """
    A move refused as busy is not repeated, and given up once a list shows the instance up.
    """
    node = make_owner_that_moves()
    refuse_order(node, LISTED_S + 0.2, events.REFUSED, "busy")
    list_rows(node, LISTED_S + 0.3, make_row("m-1", "", "moving", pool="other"))
    assert "m-1" in node.fleet.draining
    assert sent_orders(node, LISTED_S + 1.5) == []
    list_rows(node, LISTED_S + 1.6, make_row("m-1", "old", pool="other"))
    assert "m-1" not in node.fleet.draining
    commit(node, LISTED_S + 1.7)
    assert node.replicated.orders["m-1"].is_done


# Guards against a new owner that repeats a decision which its predecessor gave up.
def test_a_refused_move_is_closed():
    """
    A move that was refused or not sent, and given up, is recorded as done.
    """
    for outcome, reason in ((events.REFUSED, "429"), (events.UNSENT, "connect")):
        node = make_owner_that_moves()
        refuse_order(node, LISTED_S + 0.2, outcome, reason)
        assert "m-1" not in node.fleet.draining
        assert node.replicated.orders["m-1"].is_done, (outcome, reason)


# Guards against the next move of an instance that is taken for a repetition of a refused one.
def test_a_move_after_a_refused_one_is_not_a_repeated_one():
    """
    A decision whose record is committed late is withdrawn, also if an older move was refused.
    """
    node = make_owner_that_moves()
    refuse_order(node, LISTED_S + 0.2, events.REFUSED, "429")
    sent_orders(node, LISTED_S + 5.0)
    node.fleet.draining["m-1"] = instances.MOVE
    node.fleet.pool_of["m-1"] = "third"
    feed(node, LISTED_S + 5.1, events.Ticked())
    assert "m-1" in node.fleet.in_flight
    seq = node.journal.seq
    produced = feed(node, LISTED_S + 9.0, events.Appended("owner", seq, events.OK))
    assert not [item for item in produced if isinstance(item, effects.OrderInstance)]
    assert "m-1" not in node.fleet.draining
