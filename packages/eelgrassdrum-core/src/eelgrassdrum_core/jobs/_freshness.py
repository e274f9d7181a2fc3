"""
Bounds the age of the replicated state from which the owner starts tasks.

Any instance may append a cancellation and acknowledge it; the owner knows of it once it has read
it. A start that is ordered from an old state may therefore belong to a cancelled job. Of the time
within which a cancellation must be in force, the first part is for the age of the state, the rest
for the order's way to its worker.
"""

from ._node import Moment, Node

# Fraction of the bound on cancellations up to which the owner's state may be old when a start is
# decided, or its order sent. Each read takes at most a half of it if the store responds as usual.
MAX_START_AGE = 1 / 3
# Fraction of the bound on cancellations at which an owner whose state is that old leaves the log to
# another instance, which needs the rest of the time to claim it and to stop what was cancelled.
MAX_OWNER_AGE = 1 / 2
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


def may_start(node: Node, at: Moment) -> bool:
    """
    Return whether the replicated state is recent enough to start tasks.

    :param node: the instance, which owns the log.
    :param at: the current time.
    :returns: whether starts may be decided and ordered.
    """
    return state_age_s(node, at) <= MAX_START_AGE * node.bounds.cancel_s


def orders_expire_s(node: Node) -> float:
    """
    Return the time at which orders to start tasks must expire.

    A cancellation that the state lacks was acknowledged after the time up to which it is complete,
    and has to be in force for the bound from then on.

    :param node: the instance, which owns the log.
    :returns: time by this instance's clock, in seconds.
    """
    return node.tail.complete_s + node.bounds.cancel_s - EXPIRY_MARGIN_S


def is_too_old(node: Node, at: Moment, since_s: float) -> bool:
    """
    Return whether the replicated state has been too old to decide for too long.

    :param node: the instance, which owns the log.
    :param at: the current time.
    :param since_s: time since which the state can have been brought up to date.
    :returns: whether another instance should own the log.
    """
    return at.now_s - max(node.tail.complete_s, since_s) > MAX_OWNER_AGE * node.bounds.cancel_s
