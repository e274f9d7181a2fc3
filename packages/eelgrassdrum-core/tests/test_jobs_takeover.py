"""
Takeover of the log from a weak owner that is alive.
"""

from eelgrassdrum_core.jobs import Identity, Moment, effects, events, model, new_node, reduce
from eelgrassdrum_core.jobs._records import Claimed, OwnerHeartbeat, decode_record, encode_records
from eelgrassdrum_core.jobs._takeover import (
    JITTER_S,
    MAX_READ_DELAY_S,
    MIN_AGE_S,
    MIN_STEADY_S,
    MIN_TENURE_S,
    OWN_PAUSE_S,
)

BOUNDS = model.Bounds(10.0, 2.0, 5.0, 6.0, 0.4, 3.0, 0.25, 120.0, 1.5, 2.0)
CONFIG = model.Config(1, {}, {}, {}, {}, 1000)
WALL_MS = 1_700_000_000_000
CLAIMED_S = 20.0
INTERVAL_S = 0.1


def feed(node, now_s, event):
    """
    Apply an event to an instance and return the effects.
    """
    return reduce(node, Moment(now_s, WALL_MS + round(now_s * 1000)), event)


def read(node, now_s, records, read_s=0.0):
    """
    Let an instance read records at the end of the log, in a given time, and return the effects.
    """
    offset = node.replicated.offset
    data = tuple(encode_records(records))
    return feed(node, now_s, events.LogRead(offset, data, offset + len(data), now_s - read_s))


def make_node(owner_weakness, weakness=0.0):
    """
    Build an instance that has just read the claim of another one.
    """
    node = new_node(Identity("entry", WALL_MS, "zone", weakness), BOUNDS)
    feed(node, 0.0, events.OperatorRead(1, CONFIG, (), 0.0))
    feed(node, 0.0, events.SnapshotRead(None))
    read(node, CLAIMED_S, [Claimed(1, "other", 5, "", owner_weakness)])
    return node


def claim(produced):
    """
    Return the claim among effects, or ``None``.
    """
    for item in produced:
        if isinstance(item, effects.Append):
            record = decode_record(item.records[0])
            if isinstance(record, Claimed):
                return record
    return None


def claimed_s(node, from_s, end_s, read_s=0.0):
    """
    Let an instance read the heartbeats of a live owner, and return when it claims the log.
    """
    now_s = from_s
    while now_s < end_s:
        now_s += INTERVAL_S
        read(node, now_s, [OwnerHeartbeat(node.replicated.epoch)], read_s)
        if claim(feed(node, now_s, events.Ticked())):
            return now_s
    return None


# Guards against a weak owner that keeps the log, and against an owner that loses it at once.
def test_a_strong_instance_claims_the_log_of_a_weak_owner_after_some_seconds():
    """
    A strong instance claims the log of a weak owner that is alive, but not soon after its claim.
    """
    at_s = claimed_s(make_node(0.5), CLAIMED_S, CLAIMED_S + 20.0)
    assert at_s is not None
    earliest_s = CLAIMED_S + MIN_TENURE_S
    assert earliest_s <= at_s <= earliest_s + JITTER_S + 2 * INTERVAL_S


# Guards against changes of the owner that gain little or nothing.
def test_the_log_is_not_taken_over_without_a_clear_gain():
    """
    An owner that is little weaker, as weak, stronger or of unknown strength keeps the log.
    """
    for owner_weakness, weakness in ((0.2, 0.0), (0.5, 0.5), (0.0, 0.5), (None, 0.0)):
        node = make_node(owner_weakness, weakness)
        assert claimed_s(node, CLAIMED_S, CLAIMED_S + 20.0) is None, (owner_weakness, weakness)


# Guards against claims of instances that have just started, as in a rolling restart.
def test_an_instance_that_has_just_started_takes_nothing_over():
    """
    A process takes the log over only from some age on.
    """
    node = make_node(0.5)
    node.process_start_s = CLAIMED_S + MIN_TENURE_S
    at_s = claimed_s(node, CLAIMED_S, CLAIMED_S + 20.0)
    assert at_s is not None
    assert at_s >= node.process_start_s + MIN_AGE_S


# Guards against a new owner that reads or appends late where the former one did not.
def test_an_instance_whose_reads_fail_or_are_slow_takes_nothing_over():
    """
    The log is taken over only some seconds after the latest read that failed or was slow.
    """
    node = make_node(0.5)
    slow_s = node.tail.wait_s + MAX_READ_DELAY_S + 0.6
    assert claimed_s(node, CLAIMED_S, CLAIMED_S + 20.0, slow_s) is None
    feed(node, CLAIMED_S + 20.0, events.LogReadFailed("503", CLAIMED_S + 20.0))
    at_s = claimed_s(node, CLAIMED_S + 20.0, CLAIMED_S + 40.0)
    assert at_s is not None
    assert at_s >= CLAIMED_S + 20.0 + MIN_STEADY_S


# Guards against a log that goes back and forth, as a former owner doesn't reach the workers.
def test_a_former_owner_does_not_take_the_log_back_at_once():
    """
    An instance that has lost the log takes it over only after a pause.
    """
    node = make_node(0.5)
    at_s = claimed_s(node, CLAIMED_S, CLAIMED_S + 20.0)
    assert at_s is not None
    read(node, at_s, [Claimed(2, "entry", WALL_MS, "", 0.0)])
    assert node.ownership.is_owner
    lost_s = at_s + 1.0
    read(node, lost_s, [Claimed(3, "other", 5, "", 0.5)])
    assert not node.ownership.is_owner
    feed(node, lost_s, events.Ticked())
    feed(node, lost_s, events.SnapshotRead(None))
    read(node, lost_s, [Claimed(3, "other", 5, "", 0.5)])
    again_s = claimed_s(node, lost_s, lost_s + 60.0)
    assert again_s is not None
    assert again_s >= lost_s + OWN_PAUSE_S


# Guards against a stream of claims at a store that turns an instance's appends away.
def test_a_takeover_that_failed_is_not_repeated_at_once():
    """
    After a claim that the store has refused, an instance waits before it claims a live owner's log.
    """
    node = make_node(0.5)
    at_s = claimed_s(node, CLAIMED_S, CLAIMED_S + 20.0)
    assert at_s is not None
    feed(node, at_s + 0.01, events.Appended("claim", 1, events.REFUSED, "503"))
    again_s = claimed_s(node, at_s, at_s + 20.0)
    assert again_s is not None
    assert again_s >= at_s + MIN_TENURE_S
