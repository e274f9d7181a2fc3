"""
State that a new owner of the log can't take over from the previous one.
"""

from eelgrassdrum_core.jobs import Identity, Moment, effects, events, model, new_node
from eelgrassdrum_core.jobs._instances import ORDER_MARGIN_S, former_order_expired
from eelgrassdrum_core.jobs._records import (
    Claimed,
    InstanceOrdered,
    Started,
    Submitted,
    encode_records,
)
from eelgrassdrum_testing.jobs.owner import (
    BOUNDS,
    START_S,
    WALL_MS,
    feed,
    make_owner_config,
    one_step,
    worker_entry,
)

KEY = model.TaskKey("job", 0, 0, 0)
CLAIM_S = START_S + 5
TOKEN = 2000


def lists_backfill(now_s):
    """
    Build the worker's answer that lists the backfill run, without any serving task beside it.
    """
    row = model.RunRow(KEY, 1, "", 0, 0.0)
    return events.HoldAnswered("w", TOKEN, now_s, 5000 + round(now_s * 1000), 7, (row,), ())


def make_successor():
    """
    Return a new owner that has read from the log that its predecessor started a backfill run.
    """
    spec = model.JobSpec("x", (one_step(is_backfill=True),))
    records = [
        Claimed(1, "former", 1),
        Submitted("job", "usual", "service", "a", spec, WALL_MS),
        Started(1, *KEY, 1, "w", 7),
    ]
    node = new_node(Identity("entry", WALL_MS, "zone"), BOUNDS)
    feed(node, START_S, events.OperatorRead(1, make_owner_config(), (), START_S))
    feed(node, START_S, events.SnapshotRead(None))
    feed(node, START_S, events.LogRead(0, tuple(encode_records(records)), 3, START_S))
    feed(node, CLAIM_S, events.LogRead(3, (), 3, CLAIM_S))
    feed(node, CLAIM_S, events.Ticked())
    claim = tuple(encode_records([Claimed(2, "entry", WALL_MS)]))
    feed(node, CLAIM_S, events.LogRead(3, claim, 4, CLAIM_S))
    assert node.ownership.is_owner
    feed(node, CLAIM_S, events.WorkersRead(1, True, {"w": worker_entry("w")}))
    return node


FIXTURES = {"successor": make_successor}


# Guards against backfill that stands still for ever, since a former owner had throttled it to zero.
def test_new_owner_sets_the_speed_of_backfill_that_it_did_not_start(successor):
    """
    A worker's lists don't give the speed of a run, so a new owner sets it even to full speed.
    """
    produced = feed(successor, CLAIM_S + 0.1, lists_backfill(CLAIM_S + 0.1))
    speeds = [item.percent for item in produced if isinstance(item, effects.PaceTask)]
    assert speeds == [100]


# Guards against instances that stay reserved while owners change, since each waits from its claim.
def test_wait_for_an_order_of_a_former_owner_ends_though_owners_change():
    """
    An owner sends an order only after recording it in its own epoch. So the order of epoch 1 may be
    sent until the claim of epoch 2, and epoch 3 need not count from its own claim.
    """
    node = new_node(Identity("entry", WALL_MS, "zone"), BOUNDS)
    feed(node, START_S, events.OperatorRead(1, make_owner_config(), (), START_S))
    feed(node, START_S, events.SnapshotRead(None))
    ordered = [Claimed(1, "first", 1), InstanceOrdered(1, "m-w", -1, "pool", WALL_MS)]
    feed(node, START_S, events.LogRead(0, tuple(encode_records(ordered)), 2, START_S))
    second = tuple(encode_records([Claimed(2, "second", 1)]))
    feed(node, START_S + 1, events.LogRead(2, second, 3, START_S + 1))
    claim_s = START_S + 1 + BOUNDS.order_lease_s + ORDER_MARGIN_S + 0.1
    feed(node, claim_s, events.LogRead(3, (), 3, claim_s))
    feed(node, claim_s, events.Ticked())
    claim = tuple(encode_records([Claimed(3, "entry", WALL_MS)]))
    feed(node, claim_s, events.LogRead(3, claim, 4, claim_s))
    assert node.ownership.is_owner
    assert former_order_expired(node, Moment(claim_s, WALL_MS), "m-w")
