"""
Bounds the age of the replicated state from which the owner starts tasks.

Any instance may append a cancellation and acknowledge it; the owner knows of it once it has read
it. A start that is ordered from an old state may therefore belong to a cancelled job. Of the time
within which a cancellation must be in force, the first part is for the age of the state, the rest
for the order's way to its worker.
"""

from ._node import Moment, Node

# Ages of the owner's state, as fractions of the bound on cancellations: up to the first one starts
# are decided, up to the second one their orders are sent once their records are committed, which
# takes another call of the store.
DECISION_FRACTION = 1 / 2
ORDER_FRACTION = 3 / 4
# Age of the state, as a fraction of that bound, from which another instance should own the log, and
# its minimum: a read without an answer, its timeout and the next read.
OWNER_FRACTION = 3 / 4
MIN_OWNER_AGE_S = 2.0
# Time before the bound on cancellations at which an order expires.
EXPIRY_MARGIN_S = 0.1


def state_age_s(node: Node, at: Moment) -> float:
    """
    Return for how long records of other instances may be missing from the replicated state.

    :param node: the instance.
    :param at: the current time.
    :returns: seconds.
    """
    return at.now_s - node.tail.complete_s


def may_decide(node: Node, at: Moment) -> bool:
    """
    Return whether the replicated state is recent enough to decide about starts.

    :param node: the instance, which owns the log.
    :param at: the current time.
    :returns: whether starts may be decided.
    """
    return state_age_s(node, at) <= DECISION_FRACTION * node.bounds.cancel_s


def may_order(node: Node, at: Moment) -> bool:
    """
    Return whether the replicated state is recent enough to order a start that was decided.

    :param node: the instance, which owns the log.
    :param at: the current time.
    :returns: whether orders to start tasks may be sent.
    """
    return state_age_s(node, at) <= ORDER_FRACTION * node.bounds.cancel_s


def orders_expire_s(node: Node) -> float:
    """
    Return the time at which orders to start tasks must expire.

    A cancellation that the state lacks was acknowledged after the time up to which it is complete,
    and has to be in force for the bound from then on.

    :param node: the instance, which owns the log.
    :returns: time by this instance's clock, in seconds.
    """
    return node.tail.complete_s + node.bounds.cancel_s - EXPIRY_MARGIN_S


def max_owner_age_s(node: Node) -> float:
    """
    Return the age of the replicated state from which another instance should own the log.

    :param node: the instance, which owns the log.
    :returns: seconds.
    """
    return max(MIN_OWNER_AGE_S, OWNER_FRACTION * node.bounds.cancel_s)
