"""
Applies records of shard controllers, of instances and of operators' requests to the folded state.
"""

from collections.abc import Callable

from . import _fleet_records as records
from ._fleet_messages import (
    CONTROLLER_CLAIMED,
    DRAIN_REQUESTED,
    IN_SERVICE,
    INSTANCE_ADDED,
    INSTANCE_REMOVED,
    MOVE_REQUESTED,
    controller_subject,
    move_subject,
)
from ._fleet_records import (
    REASON_INVALID_MOVE,
    REASON_NO_SPARE,
    REASON_NOT_CONTROLLER,
    REASON_UNKNOWN_POOL,
    REASON_WRONG_STEP,
    AddedBody,
    ClaimBody,
    DrainBody,
    RequestedBody,
    StepBody,
)
from ._pools import (
    Claim,
    FleetInstance,
    FoldView,
    find_pool,
    pools_of,
    put_in_pool,
    remove_from_pool,
    shard_of,
)
from ._records import Record


def apply_claim(fold: FoldView, offset: int, record: Record) -> str:
    """
    Make the writer of the record the controller of a shard.

    :param fold: the folded state, modified in place.
    :param offset: offset of the record in the log.
    :param record: a ``controller.claimed`` record.
    :returns: the reason for rejecting the record, or an empty string.
    """
    body = records.read_body(record, ClaimBody)
    if body is None or record.subject != controller_subject(body.shard):
        return REASON_INVALID_MOVE
    holder = fold.allowances.holders.get(record.id.writer)
    if holder is None or holder.incarnation != record.id.incarnation:
        return REASON_NOT_CONTROLLER
    fold.pools.claims[body.shard] = Claim(record.id.writer, record.id.incarnation, offset)
    return ""


def apply_added(fold: FoldView, offset: int, record: Record) -> str:
    """
    Add a new instance to a pool.

    :param fold: the folded state, modified in place.
    :param offset: offset of the record in the log.
    :param record: an ``instance.added`` record.
    :returns: the reason for rejecting the record, or an empty string.
    """
    body = records.read_body(record, AddedBody)
    if body is None or record.subject != move_subject(body.instance):
        return REASON_INVALID_MOVE
    if body.instance in fold.pools.instances:
        return REASON_WRONG_STEP
    if find_pool(fold, body.pool) is None:
        return REASON_UNKNOWN_POOL
    if not records.holds_claim(fold, record, body.pool, body.claim):
        return REASON_NOT_CONTROLLER
    entry = FleetInstance(body.pool, body.zone, body.rack, epoch=offset)
    entry.booted_at_s = body.booted_at_s
    fold.pools.instances[body.instance] = entry
    put_in_pool(fold.pools, body.instance, body.pool)
    return ""


def apply_removed(fold: FoldView, offset: int, record: Record) -> str:
    """
    Remove an instance that the platform no longer has.

    :param fold: the folded state, modified in place.
    :param offset: offset of the record in the log.
    :param record: an ``instance.removed`` record.
    :returns: the reason for rejecting the record, or an empty string.
    """
    body = records.read_body(record, StepBody)
    entry = None if body is None else records.find_instance(fold, record, body.instance)
    if body is None or entry is None:
        return REASON_INVALID_MOVE
    if not records.holds_claim(fold, record, entry.pool, body.claim):
        return REASON_NOT_CONTROLLER
    remove_from_pool(fold.pools, body.instance)
    fold.pools.moving.pop(body.instance, None)
    del fold.pools.instances[body.instance]
    return ""


def apply_requested(fold: FoldView, offset: int, record: Record) -> str:
    """
    Record the destination pool that an operator requests; the controller then starts the move.

    :param fold: the folded state, modified in place.
    :param offset: offset of the record in the log.
    :param record: a ``move.requested`` record.
    :returns: the reason for rejecting the record, or an empty string.
    """
    body = records.read_body(record, RequestedBody)
    entry = None if body is None else records.find_instance(fold, record, body.instance)
    if body is None or entry is None:
        return REASON_INVALID_MOVE
    if entry.step != IN_SERVICE:
        return REASON_WRONG_STEP
    if body.pool and not records.can_move(fold, entry.pool, body.pool):
        return REASON_UNKNOWN_POOL
    entry.wanted = body.pool if body.pool != entry.pool else ""
    return ""


def apply_drain_request(fold: FoldView, offset: int, record: Record) -> str:
    """
    Record the request of an operator to move an instance to the spare pool.

    :param fold: the folded state, modified in place.
    :param offset: offset of the record in the log.
    :param record: an ``instance.drain_requested`` record.
    :returns: the reason for rejecting the record, or an empty string.
    """
    body = records.read_body(record, DrainBody)
    entry = None if body is None else fold.pools.instances.get(body.instance)
    if body is None or entry is None or record.subject != f"instance/{body.instance}":
        return REASON_INVALID_MOVE
    if entry.step != IN_SERVICE:
        return REASON_WRONG_STEP
    pools = pools_of(fold, shard_of(entry.pool)).values()
    spares = [
        pool.name for pool in pools if pool.spare and records.can_move(fold, entry.pool, pool.name)
    ]
    if not spares:
        return REASON_NO_SPARE
    entry.wanted = spares[0] if entry.pool not in spares else ""
    return ""


APPLIERS: dict[str, Callable[[FoldView, int, Record], str]] = {
    CONTROLLER_CLAIMED: apply_claim,
    INSTANCE_ADDED: apply_added,
    INSTANCE_REMOVED: apply_removed,
    DRAIN_REQUESTED: apply_drain_request,
    MOVE_REQUESTED: apply_requested,
}
