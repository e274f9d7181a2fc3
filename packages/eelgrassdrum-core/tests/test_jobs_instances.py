"""
Orders for instances: what holds them up, and what must not.
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
    feed,
    make_owner_config,
    owner_of,
    worker_entry,
)

LISTED_S = START_S + 3.1
DAY_MS = 86_400_000


def restarted_owner(records):
    """
    Give an instance that has just started, has read a log at one moment, and owns it.
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


def log_of_orders(at_ms):
    """
    Give the log of a former owner that ordered one instance early and another one late.
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


def is_free(node, instance, after_s=0.1):
    """
    Tell whether the new owner may order an instance, some time after its claim.
    """
    at = instances.Moment(START_S + 2 + after_s, WALL_MS)
    return instances._is_free_of_former(node, at, instance)


def test_old_orders_hold_up_no_owner_that_has_just_started():
    """
    After all instances have restarted, instances without a recent order are ordered at once.
    """
    node = restarted_owner(log_of_orders(WALL_MS))
    assert is_free(node, "early")
    assert not is_free(node, "late")
    assert is_free(node, "late", after_s=BOUNDS.order_lease_s + instances.ORDER_MARGIN_S)


def test_the_clock_of_day_makes_no_order_old():
    """
    A clock of day that jumped by a day frees no instance that was ordered a moment ago.
    """
    node = restarted_owner(log_of_orders(WALL_MS - DAY_MS))
    assert not is_free(node, "late")


def test_beats_of_two_owners_are_not_compared():
    """
    The clocks of two owners have nothing to do with one another, so time passes only within one.
    """
    records = [*log_of_orders(WALL_MS), Claimed(2, "other", 1), OwnerHeartbeat(2, 900_000)]
    node = new_node(Identity("entry", WALL_MS, "zone"), BOUNDS)
    feed(node, START_S, events.SnapshotRead(None))
    data = tuple(encode_records(records))
    feed(node, START_S, events.LogRead(0, data, len(data), START_S))
    assert node.replicated.log_s == 10.3


def test_a_wave_goes_on_when_an_instance_leaves_while_it_is_emptied():
    """
    An instance that is no longer listed holds up no other instance of its wave.
    """
    wave = model.Wave(1, ("m-a", "m-b"), 30.0, 1)
    node = owner_of([worker_entry("a"), worker_entry("b")])
    feed(node, LISTED_S, events.OperatorRead(2, make_owner_config(), (wave,), LISTED_S))

    def listed(at_s, names):
        rows = tuple(
            model.InstanceRow(
                f"m-{name}", "service", "up", "z", "r1", model.Resources(4000, 64_000, 0), name
            )
            for name in names
        )
        feed(node, at_s, events.InstancesListed(rows, at_s))
        feed(node, at_s, events.Ticked())

    listed(LISTED_S, ("a", "b"))
    assert set(node.fleet.draining) == {"m-a"}
    listed(LISTED_S + 1, ("b",))
    assert set(node.fleet.draining) == {"m-b"}
