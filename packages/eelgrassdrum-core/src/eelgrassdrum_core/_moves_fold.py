"""
Applies records of the steps of moves to the folded state.

Only the record ``move.left`` changes the pool of an instance, after it has drained. Each record
states the claim of its controller as a fencing token, so a replaced controller can't continue.
"""

from collections.abc import Callable

from . import _fleet_records as records
from ._fleet_messages import (
    DRAINING,
    IN_SERVICE,
    LEFT,
    MOVE_ABORTED,
    MOVE_JOINED,
    MOVE_LEFT,
    MOVE_STARTED,
    RETURNING,
)
from ._fleet_records import (
    REASON_INVALID_MOVE,
    REASON_NOT_CONTROLLER,
    REASON_OPERATOR_WANTS_OTHER,
    REASON_OVER_BUDGET,
    REASON_POOL_FULL,
    REASON_UNKNOWN_POOL,
    REASON_WRONG_STEP,
    StartedBody,
    StepBody,
)
from ._pools import FleetInstance, FoldView, count_arriving, find_pool, put_in_pool
from ._pools_budget import may_stop
from ._records import Record


def apply_started(fold: FoldView, offset: int, record: Record) -> str:
    """
    Start to drain an instance if its budget has headroom.

    :param fold: the folded state, modified in place.
    :param offset: offset of the record in the log.
    :param record: a ``move.started`` record.
    :returns: the reason for rejecting the record, or an empty string.
    """
    body = records.read_body(record, StartedBody)
    entry = None if body is None else records.find_instance(fold, record, body.instance)
    if body is None or entry is None:
        return REASON_INVALID_MOVE
    if not records.holds_claim(fold, record, entry.pool, body.claim):
        return REASON_NOT_CONTROLLER
    reason = _rejection_reason(fold, entry, body)
    if reason:
        return reason
    entry.target, entry.purpose = body.target, body.purpose
    _set_step(fold, body.instance, DRAINING, offset)
    return ""


def apply_left(fold: FoldView, offset: int, record: Record) -> str:
    """
    Move a drained instance from its pool to the destination pool.

    :param fold: the folded state, modified in place.
    :param offset: offset of the record in the log.
    :param record: a ``move.left`` record.
    :returns: the reason for rejecting the record, or an empty string.
    """
    body = records.read_body(record, StepBody)
    entry = None if body is None else records.find_instance(fold, record, body.instance)
    if body is None or entry is None:
        return REASON_INVALID_MOVE
    if not records.holds_claim(fold, record, entry.pool, body.claim):
        return REASON_NOT_CONTROLLER
    if entry.step != DRAINING:
        return REASON_WRONG_STEP
    put_in_pool(fold.pools, body.instance, entry.target)
    _set_step(fold, body.instance, LEFT, offset)
    return ""


def apply_joined(fold: FoldView, offset: int, record: Record) -> str:
    """
    Put an instance back in service.

    :param fold: the folded state, modified in place.
    :param offset: offset of the record in the log.
    :param record: a ``move.joined`` record.
    :returns: the reason for rejecting the record, or an empty string.
    """
    body = records.read_body(record, StepBody)
    entry = None if body is None else records.find_instance(fold, record, body.instance)
    if body is None or entry is None:
        return REASON_INVALID_MOVE
    if not records.holds_claim(fold, record, entry.pool, body.claim):
        return REASON_NOT_CONTROLLER
    if entry.step not in (LEFT, RETURNING):
        return REASON_WRONG_STEP
    if entry.step == LEFT:
        entry.wanted = "" if entry.wanted == entry.pool else entry.wanted
        entry.booted_at_s = max(entry.booted_at_s, body.booted_at_s)
        # The reboot may have begun at any time since the instance left its pool.
        entry.booted_offset = entry.epoch
    entry.target, entry.purpose = "", ""
    _set_step(fold, body.instance, IN_SERVICE, offset)
    return ""


def apply_aborted(fold: FoldView, offset: int, record: Record) -> str:
    """
    Cancel the drain of an instance; one that has already left its pool continues the move.

    :param fold: the folded state, modified in place.
    :param offset: offset of the record in the log.
    :param record: a ``move.aborted`` record.
    :returns: the reason for rejecting the record, or an empty string.
    """
    body = records.read_body(record, StepBody)
    entry = None if body is None else records.find_instance(fold, record, body.instance)
    if body is None or entry is None:
        return REASON_INVALID_MOVE
    if not records.holds_claim(fold, record, entry.pool, body.claim):
        return REASON_NOT_CONTROLLER
    if entry.step != DRAINING:
        return REASON_WRONG_STEP
    entry.target = entry.pool
    _set_step(fold, body.instance, RETURNING, offset)
    return ""


def _rejection_reason(fold: FoldView, entry: FleetInstance, body: StartedBody) -> str:
    if entry.step != IN_SERVICE:
        return REASON_WRONG_STEP
    if entry.wanted and body.target != entry.wanted:
        return REASON_OPERATOR_WANTS_OTHER
    if not records.can_move(fold, entry.pool, body.target):
        return REASON_UNKNOWN_POOL
    if body.target != entry.pool and _is_full(fold, body.target):
        return REASON_POOL_FULL
    if not may_stop(fold, body.instance, body.target, frozenset(body.down)):
        return REASON_OVER_BUDGET
    return ""


def _is_full(fold: FoldView, name: str) -> bool:
    pool = find_pool(fold, name)
    members = len(fold.pools.members.get(name, ()))
    return pool is None or members + count_arriving(fold.pools, name) >= pool.max


def _set_step(fold: FoldView, instance: str, step: str, offset: int) -> None:
    entry = fold.pools.instances[instance]
    entry.step, entry.epoch = step, offset
    if step == IN_SERVICE:
        fold.pools.moving.pop(instance, None)
    else:
        fold.pools.moving[instance] = True


APPLIERS: dict[str, Callable[[FoldView, int, Record], str]] = {
    MOVE_STARTED: apply_started,
    MOVE_LEFT: apply_left,
    MOVE_JOINED: apply_joined,
    MOVE_ABORTED: apply_aborted,
}
