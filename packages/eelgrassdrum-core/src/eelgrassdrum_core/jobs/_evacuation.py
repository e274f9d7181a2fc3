"""
Keeps new work out of the availability zones that the operator has evacuated.

Requests are ordered by the offsets of their records and not by the arrival of reads, so that the
answer to an earlier read neither evacuates a zone again nor reopens it. What was read last holds
while the store doesn't answer. An evacuation that this instance can't know of yet was acknowledged
after its latest complete read of the operator's records was sent. Therefore tasks are started only
for a part of the bound on evacuations after that read, and their orders expire with the bound.
"""

from . import _freshness
from ._node import Evacuation, Moment, Node, log_line
from .events import OperatorRead
from .model import ZoneRequest

# Why an order that is recorded isn't sent, or work waits.
EVACUATED = "evacuated_zone"
OLD_RECORDS = "operator_read_late"


def is_evacuated(node: Node, zone: str) -> bool:
    """
    Return whether nothing may start in an availability zone.

    :param node: the instance.
    :param zone: the zone.
    :returns: whether the newest known request evacuates it.
    """
    evacuation = node.evacuations.get(zone)
    return evacuation is not None and evacuation.is_evacuated


def evacuated_since_s(node: Node) -> dict[str, float]:
    """
    Return the evacuated availability zones.

    :param node: the instance.
    :returns: when this instance learned of the evacuation, by zone.
    """
    return {
        zone: evacuation.since_s
        for zone, evacuation in node.evacuations.items()
        if evacuation.is_evacuated
    }


def on_read(node: Node, at: Moment, event: OperatorRead) -> None:
    """
    Process the requests among the operator's records.

    :param node: the instance.
    :param at: the time.
    :param event: the records.
    """
    operator = node.operator
    requests = [item for item in event.zone_requests if item.offset >= operator.read_to]
    if event.is_full:
        requests += _withdrawn(node, event)
    for request in requests:
        _apply(node, at, request, event.sent_s)
    operator.read_to = max(operator.read_to, event.cursor)
    # Requests before this offset are ignored from now on, so only evacuated zones are kept.
    node.evacuations = {
        zone: evacuation
        for zone, evacuation in node.evacuations.items()
        if evacuation.is_evacuated or evacuation.offset >= operator.read_to
    }


def _withdrawn(node: Node, event: OperatorRead) -> list[ZoneRequest]:
    """
    Return the withdrawals that a read of all records shows by the requests that it lacks. A request
    with an offset from the cursor on may have been written after its page was read.
    """
    present = {request.zone for request in event.zone_requests}
    return [
        ZoneRequest(zone, event.cursor - 1, False)
        for zone, known in node.evacuations.items()
        if zone not in present and known.offset < event.cursor
    ]


def _apply(node: Node, at: Moment, request: ZoneRequest, sent_s: float) -> None:
    known = node.evacuations.get(request.zone)
    if known is not None and request.offset <= known.offset:
        return
    was_evacuated = known is not None and known.is_evacuated
    is_change = request.is_evacuated != was_evacuated
    since_s = at.now_s if known is None or is_change else known.since_s
    node.evacuations[request.zone] = Evacuation(request.offset, request.is_evacuated, since_s)
    if not is_change:
        return
    node.plan_due = True
    log_line(
        node,
        "zone.evacuated" if request.is_evacuated else "zone.reopened",
        zone=request.zone,
        offset=request.offset,
        age_s=round(at.now_s - sent_s, 3),
        lasted_s=round(at.now_s - known.since_s, 3) if known is not None else None,
        # Only the owner of the log knows the workers.
        workers=sum(worker.entry.zone == request.zone for worker in node.workers.values()),
    )


def records_age_s(node: Node, at: Moment) -> float:
    """
    Return for how long requests may be missing that were acknowledged.

    :param node: the instance.
    :param at: the time.
    :returns: seconds.
    """
    return at.now_s - node.operator.last_success_s


def may_decide(node: Node, at: Moment) -> bool:
    """
    Return whether the operator's records were read recently enough to decide about starts.

    :param node: the instance, which owns the log.
    :param at: the time.
    :returns: whether starts may be decided.
    """
    return records_age_s(node, at) <= _freshness.DECISION_FRACTION * node.bounds.evacuate_s


def may_order(node: Node, at: Moment) -> bool:
    """
    Return whether the operator's records were read recently enough to order a start that was
    decided.

    :param node: the instance, which owns the log.
    :param at: the time.
    :returns: whether orders to start tasks may be sent.
    """
    return records_age_s(node, at) <= _freshness.ORDER_FRACTION * node.bounds.evacuate_s


def orders_expire_s(node: Node) -> float:
    """
    Return the time at which orders to start tasks must expire.

    :param node: the instance, which owns the log.
    :returns: time by this instance's clock, in seconds; infinite if there are no evacuations.
    """
    bound_s = node.bounds.evacuate_s
    return node.operator.last_success_s + bound_s - _freshness.EXPIRY_MARGIN_S
