"""
Instances whose log begins after the snapshot that they have read.
"""

from eelgrassdrum_core.jobs import Identity, ReplicatedState, effects, events, model, new_node
from eelgrassdrum_core.jobs import _fold as fold
from eelgrassdrum_core.jobs import _records as records
from eelgrassdrum_core.jobs import _snapshot as snapshot
from eelgrassdrum_testing.jobs.owner import (
    BOUNDS,
    START_S,
    WALL_MS,
    feed,
    make_owner_config,
    one_step,
)

FIRST = 30_000


def snapshot_at(offset, epoch, jobs):
    """
    Return a snapshot of a log whose owner has some jobs.
    """
    replicated = ReplicatedState(offset=offset)
    fold.apply(replicated, records.Claimed(epoch, "owner", 1), START_S, WALL_MS)
    for job in jobs:
        spec = model.JobSpec("x", (one_step(),))
        record = records.Submitted(job, "usual", "service", "a", spec, WALL_MS)
        fold.apply(replicated, record, START_S, WALL_MS)
    return snapshot.encode(replicated, START_S, WALL_MS)


def start_behind_gap(snapshots):
    """
    Return an instance that has read these snapshots, each followed by a gap in the log.
    """
    node = new_node(Identity("entry", WALL_MS, "zone"), BOUNDS)
    feed(node, START_S, events.OperatorRead(1, make_owner_config(), (), START_S))
    for data in snapshots:
        feed(node, START_S, events.SnapshotRead(data))
        feed(node, START_S, events.LogGap(FIRST, node.replicated.offset, START_S))
    return node


def read_log(node, now_s, items, end=None):
    """
    Let an instance read records from where it stands.
    """
    data = tuple(records.encode_records(items))
    offset = node.replicated.offset
    end = offset + len(data) if end is None else end
    return feed(node, now_s, events.LogRead(offset, data, end, now_s))


def make_incomplete():
    """
    Return an instance that knows that it lacks records.
    """
    data = snapshot_at(10, 1, ["old"])
    return start_behind_gap([data, data])


# Guards against an older state taken for the newest while a later snapshot exists.
def test_the_snapshot_is_read_again_at_a_gap():
    """
    An instance that finds a gap after its snapshot reads the later one, and lacks nothing.
    """
    node = start_behind_gap([snapshot_at(10, 1, ["old"])])
    assert not node.tail.is_incomplete
    assert node.tail.needs_snapshot
    feed(node, START_S, events.SnapshotRead(snapshot_at(FIRST, 1, ["old", "new"])))
    read_log(node, START_S + 1, [records.OwnerHeartbeat(1, 5)])
    assert set(node.replicated.jobs) == {"old", "new"}
    assert not node.tail.is_incomplete


# Guards against LOST: an instance that takes its state for complete at a claim of another one.
def test_a_claim_of_another_instance_completes_nothing(incomplete):
    """
    An incomplete instance stays so when it reads claims, and reads the snapshot of their owner.
    """
    read_log(incomplete, START_S + 1, [records.Claimed(2, "other", 1)])
    assert incomplete.tail.is_incomplete
    read_log(incomplete, START_S + 1.2, [records.OwnerHeartbeat(2, 5)])
    assert incomplete.tail.needs_snapshot
    assert not incomplete.tail.has_caught_up
    produced = feed(incomplete, START_S + 3, events.Ticked())
    assert any(isinstance(item, effects.ReadSnapshot) for item in produced)


def test_an_instance_that_becomes_the_owner_is_complete(incomplete):
    """
    An incomplete instance that hears no owner claims the log and goes on from what is left.
    """
    for second in range(1, 8):
        read_log(incomplete, START_S + second, [])
        feed(incomplete, START_S + second, events.Ticked())
    assert incomplete.ownership.is_claim_awaited
    epoch = incomplete.ownership.claimed_epoch
    read_log(incomplete, START_S + 8, [records.Claimed(epoch, "entry", WALL_MS)])
    assert incomplete.ownership.is_owner
    assert not incomplete.tail.is_incomplete
    assert set(incomplete.replicated.jobs) == {"old"}


FIXTURES = {"incomplete": make_incomplete}
