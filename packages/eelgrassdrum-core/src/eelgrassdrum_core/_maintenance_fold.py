"""
Maintenance rounds, folded from the log.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec

from . import _fleet_records as records
from ._fleet_messages import MAINTENANCE_ORDERED, maintenance_subject
from ._pools import Claim, FoldView, shard_of
from ._records import Record

START = "start"
PAUSE = "pause"
RESUME = "resume"
ABORT = "abort"
ACTIONS = (START, PAUSE, RESUME, ABORT)

REASON_INVALID_ORDER = "invalid_maintenance_order"
REASON_NO_ROUND = "no_round"


class Round(msgspec.Struct):
    """
    The state of maintenance of one shard.

    :param offset: offset of the order that started the round; 0 without a round, when instances are
        due only by the age of their last boot.
    :param aborted_offset: offset of the order that aborted the last round, or 0.
    :param is_paused: whether no further instance may be stopped.
    :param author: author of the last order.
    :param reason: reason given in the last order.
    """

    offset: int = 0
    aborted_offset: int = 0
    is_paused: bool = False
    author: str = ""
    reason: str = ""


class MaintenanceFold(msgspec.Struct):
    """
    Folded maintenance rounds by shard.
    """

    rounds: dict[str, Round] = msgspec.field(default_factory=dict)


class MaintenanceView(FoldView, Protocol):
    """
    The part of the folded state that maintenance orders depend on.
    """

    maintenance: MaintenanceFold


class OrderBody(msgspec.Struct):
    """
    The body of a ``maintenance.ordered`` record.

    :param action: ``start``, ``pause``, ``resume`` or ``abort``.
    :param claim: offset of the controller's claim, 0 for an operator's order.
    """

    shard: str
    action: str
    author: str
    reason: str = ""
    claim: int = 0


def apply_order(fold: MaintenanceView, offset: int, record: Record) -> str:
    """
    Start, pause, resume or abort a round.

    :param fold: the folded state, modified in place.
    :param offset: offset of the record in the log.
    :param record: a ``maintenance.ordered`` record.
    :returns: the reason for rejecting the record, or an empty string.
    """
    body = records.read_body(record, OrderBody)
    if body is None or body.action not in ACTIONS:
        return REASON_INVALID_ORDER
    if record.subject != maintenance_subject(body.shard) or not fold.config.pools.get(body.shard):
        return REASON_INVALID_ORDER
    if body.claim and not _is_current_claim(fold, record, body):
        return records.REASON_NOT_CONTROLLER
    current = fold.maintenance.rounds.get(body.shard, Round())
    if body.action == ABORT and not current.offset:
        return REASON_NO_ROUND
    if body.action in (START, ABORT):
        current.offset = offset if body.action == START else 0
    if body.action == ABORT:
        current.aborted_offset = offset
    current.is_paused = body.action == PAUSE
    current.author, current.reason = body.author, body.reason
    fold.maintenance.rounds[body.shard] = current
    return ""


def is_round_aborted(fold: MaintenanceView, pool: str, epoch: int) -> bool:
    """
    Return whether a maintenance stop belongs to a round that has been aborted since.

    :param fold: the folded state.
    :param pool: pool of the instance.
    :param epoch: epoch of its drain.
    :returns: whether the drain must be cancelled.
    """
    current = fold.maintenance.rounds.get(shard_of(pool))
    return current is not None and epoch < current.aborted_offset


def _is_current_claim(fold: MaintenanceView, record: Record, body: OrderBody) -> bool:
    claim = Claim(record.id.writer, record.id.incarnation, body.claim)
    return fold.pools.claims.get(body.shard) == claim


APPLIERS: dict[str, Callable[[MaintenanceView, int, Record], str]] = {
    MAINTENANCE_ORDERED: apply_order
}
