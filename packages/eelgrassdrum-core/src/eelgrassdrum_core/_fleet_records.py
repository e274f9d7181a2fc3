"""
Bodies of the records of pools and moves, and why such a record may be rejected.
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

    :param down: instances of the shard that the controller finds down or unseen.
    """

    instance: str
    target: str
    purpose: str
    claim: int
    down: list[str]


class StepBody(msgspec.Struct):
    """
    The body of a later step's record.
    """

    instance: str
    claim: int
    booted_at_s: float = 0.0


class RequestedBody(msgspec.Struct):
    """
    The body of an operator's ``move.requested`` record; an empty pool takes the wish back.
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
    Read a record's body.

    :param record: the record.
    :param body_type: what its body should be.
    :returns: the body, or ``None`` when it is malformed.
    """
    try:
        return msgspec.convert(record.body, body_type)
    except msgspec.ValidationError:
        return None


def find_instance(fold: FoldView, record: Record, instance: str) -> FleetInstance | None:
    """
    Find the instance that a record of moves is about.

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
    Tell whether a record comes from the controller of now.

    :param fold: the folded state.
    :param record: the record.
    :param pool: pool whose shard must be controlled.
    :param claim: the claim that the record names.
    :returns: whether the claim stands and is its writer's.
    """
    current = fold.pools.claims.get(shard_of(pool))
    return current == Claim(record.id.writer, record.id.incarnation, claim)


def can_move(fold: FoldView, origin: str, target: str) -> bool:
    """
    Tell whether an instance may ever move from one pool to another.

    :param fold: the folded state.
    :param origin: the pool that it is in.
    :param target: the pool that it would go to.
    :returns: whether both stand in one document and have one role.
    """
    pools = pools_of(fold, shard_of(origin))
    if target == origin:
        return True
    return target in pools and (origin not in pools or pools[origin].role == pools[target].role)
