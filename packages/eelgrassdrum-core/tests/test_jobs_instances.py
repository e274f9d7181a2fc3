"""
Orders for instances: recent orders of a previous owner delay them, other orders do not.
"""

from eelgrassdrum_core.jobs import Identity, events, model, new_node
from eelgrassdrum_core.jobs import _instances as instances
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
    make_owner_config,
    owner_of,
    worker_entry,
)

LISTED_S = START_S + 3.1
DAY_MS = 86_400_000


def make_restarted_owner(records):
    """
    Return an instance that has just started, has read a whole log at one moment, and owns it.
    """
    node = new_node(Identity("entry", WALL_MS, "zone"), BOUNDS)
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


def make_owner_with_wave(wave):
    """
    Return the owner of two instances that are to be maintained.
    """
    node = owner_of([worker_entry("a"), worker_entry("b")])
    feed(node, LISTED_S, events.OperatorRead(2, make_owner_config(), (wave,), LISTED_S))
    return node


def list_instances(node, at_s, names, answers=True):
    """
    Let the store answer or not, list instances that are up, and let the owner act on it.
    """
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
    feed(node, at_s, events.InstancesListed(rows, at_s))
    feed(node, at_s, events.Ticked())
