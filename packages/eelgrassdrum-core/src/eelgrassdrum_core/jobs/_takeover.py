"""
Takeover of the log from an owner that is alive but can't carry the load.

An owner doesn't know which instances are up, so it can't hand the log over itself. Each change of
owner lengthens the wait for leases, so the log is taken over only for a clear gain, and seldom.
"""

from ._node import Moment, Node, Tail

# Minimum difference between the owner's weakness and the claimant's.
MIN_GAIN = 0.25
# Minimum age of the claimant's process.
MIN_AGE_S = 5.0
# Minimum time since the latest claim was read, and since this instance's own latest one.
MIN_TENURE_S = 5.0
# Time for which all reads of the log must have been complete and quick.
MIN_STEADY_S = 3.0
# Time since this instance last owned the log. If it lost the log for a reason that others don't
# see, such as a network partition from the workers, it doesn't take it back at once.
OWN_PAUSE_S = 30.0
# Bound on the response time of a quick read, beyond the time that it may wait for a record.
MAX_READ_DELAY_S = 0.15
# Bound on the age of the replicated state after a complete read.
MAX_STATE_AGE_S = 1.0
# Jitter between several instances, so that one reads the claim of another before its own is due.
JITTER_S = 2.0


def is_due(node: Node, at: Moment, jitter: float) -> bool:
    """
    Return whether this instance should claim the log although its owner is alive.

    :param node: the instance, which doesn't own the log.
    :param at: the current time.
    :param jitter: fraction of the jitter that applies to this instance.
    :returns: whether to claim the next epoch.
    """
    replicated, ownership, tail = node.replicated, node.ownership, node.tail
    if replicated.owner is None or replicated.owner_weakness is None or tail.is_incomplete:
        return False
    if replicated.owner_weakness - node.identity.weakness < MIN_GAIN:
        return False
    earliest_s = max(
        node.process_start_s + MIN_AGE_S,
        tail.claim_read_s + MIN_TENURE_S,
        ownership.claim_sent_s + MIN_TENURE_S,
        tail.steady_since_s + MIN_STEADY_S,
        ownership.ended_s + OWN_PAUSE_S,
    )
    return at.now_s >= earliest_s + jitter * JITTER_S


def note_read(tail: Tail, now_s: float, sent_s: float) -> None:
    """
    Note whether a successful read of the log was complete and quick.

    :param tail: state of reading the log.
    :param now_s: the current time.
    :param sent_s: when the read was sent.
    """
    is_quick = now_s - sent_s <= tail.wait_s + MAX_READ_DELAY_S
    if is_quick and now_s - tail.complete_s <= tail.wait_s + MAX_STATE_AGE_S:
        tail.steady_since_s = min(tail.steady_since_s, now_s)
    else:
        note_failure(tail)


def note_failure(tail: Tail) -> None:
    """
    Note that a read of the log has failed, was slow or incomplete.

    :param tail: state of reading the log.
    """
    # Later than any time, until a read is complete and quick.
    tail.steady_since_s = 1e18
