"""
Bodies of records about pools and moves, the reasons for rejecting them and shared checks.
"""

from typing import TypeVar

import msgspec

from ._fleet_messages import move_subject
from ._pools import Claim, FleetInstance, FoldView, pools_of, shard_of
from ._records import Record

T = TypeVar("T")

REASON_INVALID_MOVE = "invalid_move"
REASON_NOT_CONTROLLER = "not_the_controller"
REASON_WRONG_STEP = "wrong_step"
REASON_UNKNOWN_POOL = "unknown_pool"
REASON_POOL_FULL = "pool_full"
REASON_OVER_BUDGET = "over_budget"
REASON_OPERATOR_WANTS_OTHER = "operator_wants_other_pool"
REASON_NO_SPARE = "no_spare_pool"


class AddedBody(msgspec.Struct):
    """
    The body of an ``instance.added`` record.
    """

    instance: str
    pool: str
    zone: str
    rack: str
    booted_at_s: float
    claim: int


class StartedBody(msgspec.Struct):
    """
    The body of a ``move.started`` record.

    :param down: ids of instances sharing the budget that are down or missing from the inventory.
    """

    instance: str
    target: str
    purpose: str
    claim: int
    down: list[str]


class StepBody(msgspec.Struct):
    """
    The body of a record of a later step of a move, and of an ``instance.removed`` record.

    :param claim: offset of the controller's claim.
    :param booted_at_s: time of the reboot on the platform's clock, 0 without a reboot.
    """

    instance: str
    claim: int
    booted_at_s: float = 0.0


class RequestedBody(msgspec.Struct):
    """
    The body of an operator's ``move.requested`` record; an empty pool withdraws the request.
    """

    instance: str
    pool: str
    author: str
    comment: str = ""


class DrainBody(msgspec.Struct):
    """
    The body of an operator's ``instance.drain_requested`` record.
    """

    instance: str


class ClaimBody(msgspec.Struct):
    """
    The body of a ``controller.claimed`` record.
    """

    shard: str


def read_body(record: Record, body_type: type[T]) -> T | None:
    """
    Decode the body of a record.

    :param record: the record.
    :param body_type: expected type of the body.
    :returns: the body, or ``None`` when it is malformed.
    """
    try:
        return msgspec.convert(record.body, body_type)
    except msgspec.ValidationError:
        return None


def find_instance(fold: FoldView, record: Record, instance: str) -> FleetInstance | None:
    """
    Return the instance that a record about moves refers to.

    :param fold: the folded state.
    :param record: the record.
    :param instance: id of the instance in its body.
    :returns: the instance, or ``None`` when it is unknown or the subject names another.
    """
    if record.subject != move_subject(instance):
        return None
    return fold.pools.instances.get(instance)


def holds_claim(fold: FoldView, record: Record, pool: str, claim: int) -> bool:
    """
    Return whether the current controller of a shard has written a record.

    :param fold: the folded state.
    :param record: the record.
    :param pool: a pool of the shard.
    :param claim: offset of the claim that the record states.
    :returns: whether this claim is the current one and belongs to the writer.
    """
    current = fold.pools.claims.get(shard_of(pool))
    return current == Claim(record.id.writer, record.id.incarnation, claim)


def can_move(fold: FoldView, origin: str, target: str) -> bool:
    """
    Return whether moves from one pool to another are allowed at all.

    :param fold: the folded state.
    :param origin: current pool.
    :param target: destination pool.
    :returns: whether the target is the origin, or is defined by the same document and has the same
        role; an origin that is no longer defined matches any role.
    """
    pools = pools_of(fold, shard_of(origin))
    if target == origin:
        return True
    return target in pools and (origin not in pools or pools[origin].role == pools[target].role)
