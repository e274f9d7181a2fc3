"""
Maintenance rounds as decided by the log.
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
    The maintenance of one shard.

    :param offset: order that began the round, 0 for none: only what has become too old is due.
    :param aborted_offset: order that ended the last round early, or 0.
    :param is_paused: whether nothing new may be stopped.
    :param author: who gave the last order.
    :param reason: why.
    """

    offset: int = 0
    aborted_offset: int = 0
    is_paused: bool = False
    author: str = ""
    reason: str = ""


class MaintenanceFold(msgspec.Struct):
    """
    Maintenance by shard.
    """

    rounds: dict[str, Round] = msgspec.field(default_factory=dict)


class MaintenanceView(FoldView, Protocol):
    """
    The part of the folded state that orders depend on.
    """

    maintenance: MaintenanceFold


class OrderBody(msgspec.Struct):
    """
    The body of a ``maintenance.ordered`` record.

    :param action: ``start``, ``pause``, ``resume`` or ``abort``.
    :param claim: a controller's claim; 0 for an operator's order.
    """

    shard: str
    action: str
    author: str
    reason: str = ""
    claim: int = 0


def apply_order(fold: MaintenanceView, offset: int, record: Record) -> str:
    """
    Begin, pause, resume or end a round.

    :param fold: changed in place.
    :param offset: the record's place in the log.
    :param record: a ``maintenance.ordered`` record.
    :returns: a reason to reject it, or an empty text.
    """
    body = records.read_body(record, OrderBody)
    if body is None or body.action not in ACTIONS:
        return REASON_INVALID_ORDER
    if record.subject != maintenance_subject(body.shard) or not fold.config.pools.get(body.shard):
        return REASON_INVALID_ORDER
    if body.claim and not _is_claim(fold, record, body):
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
    Tell whether a maintenance stop belongs to a round that was ended since.

    :param fold: the folded state.
    :param pool: pool of the instance.
    :param epoch: epoch of its drain.
    :returns: whether it is to be called back.
    """
    current = fold.maintenance.rounds.get(shard_of(pool))
    return current is not None and epoch < current.aborted_offset


def _is_claim(fold: MaintenanceView, record: Record, body: OrderBody) -> bool:
    claim = Claim(record.id.writer, record.id.incarnation, body.claim)
    return fold.pools.claims.get(body.shard) == claim


APPLIERS: dict[str, Callable[[MaintenanceView, int, Record], str]] = {
    MAINTENANCE_ORDERED: apply_order
}
