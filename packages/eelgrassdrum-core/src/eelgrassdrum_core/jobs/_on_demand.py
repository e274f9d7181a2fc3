"""
Determines how often an instance reads the log.

An instance that claims the log after others needs no recent state for itself. While none of its
callers waits and the log has an owner, it reads seldom; a question about a job causes a read.
"""

from . import _ownership
from ._node import Moment, Node

# Poll interval of instances that don't own the log; limits the load on the store.
READER_INTERVAL_S = 0.15
# The same for instances that claim the log last, while none of their callers waits.
IDLE_READER_INTERVAL_S = 1.0


def next_read_s(node: Node, is_idle: bool) -> float:
    """
    Return the earliest time of the next read of the log.

    :param node: the instance.
    :param is_idle: whether none of its callers waits.
    :returns: time by this instance's clock, in seconds.
    """
    tail = node.tail
    if not (is_idle and _reads_on_demand(node)):
        return tail.next_read_s
    return max(tail.next_read_s, tail.answered_s + IDLE_READER_INTERVAL_S)


def is_current(node: Node, at: Moment) -> bool:
    """
    Return whether callers should be answered from the replicated state as it is: it is as recent as
    that of an instance that reads often, or no read would succeed soon.

    :param node: the instance.
    :param at: the current time.
    :returns: whether they should.
    """
    tail = node.tail
    is_silent = node.store.silent_since_s is not None
    if is_silent or not _reads_on_demand(node):
        return True
    # A pending read returns as soon as there is a record.
    return tail.is_reading or at.now_s - tail.answered_s <= READER_INTERVAL_S


def _reads_on_demand(node: Node) -> bool:
    """
    Return whether an instance claims the log after others, and its latest read showed the owner.
    """
    tail, is_owner = node.tail, node.ownership.is_owner
    shows_owner = tail.is_caught_up and tail.owner_record_s >= tail.answered_s
    return shows_owner and not is_owner and _ownership.may_be_weaker(node)
