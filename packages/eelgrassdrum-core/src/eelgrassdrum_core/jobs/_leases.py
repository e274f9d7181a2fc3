"""
Determines when the leases of workers have certainly expired, and records their runs as lost.
"""

import math
from typing import NamedTuple

from . import _crashes, _journal, _ownership
from ._node import Moment, Node, Worker, log_line
from ._records import LeaseBounded, LeaseLifted
from ._replicated_state import latest_write_s
from ._runs import bounded_s, mark_all_lost, runs_on, since

# Time for which a worker is unreachable, or unlisted after a claim, before the log says when its
# leases are over; most workers that miss one answer are reached again before.
BOUND_DELAY_S = 0.5

# What the leases that last longest come from.
OWN_LEASE = "own_lease"
DELAYED_ORDERS = "delayed_orders"
FORMER_OWNERS = "former_owners"
BOUND = "bound"


class LeaseEnd(NamedTuple):
    """
    When all leases of a worker have expired.

    :param over_s: time by this instance's clock, in seconds.
    :param source: what the leases that last longest come from.
    """

    over_s: float
    source: str


def clock_ms(worker: Worker, at_s: float) -> int:
    """
    Return what a worker's clock shows at least, so that no lease lasts longer than intended.

    :param worker: the worker.
    :param at_s: time by this instance's clock, not before the worker's clock was last read.
    :returns: the slowest clock at that time, in milliseconds.
    """
    elapsed_s = (at_s - worker.clock_at_s) / (1 + _ownership.CLOCK_DRIFT)
    return worker.clock_ms + math.floor(elapsed_s * 1000)


def is_cold(worker: Worker, now_s: float) -> bool:
    """
    Return whether a worker has started so recently that it is still slow.

    :param worker: the worker, which has answered.
    :param now_s: the current time.
    :returns: whether its entry in the registry says so.
    """
    return clock_ms(worker, now_s) < worker.entry.cold_until_ms


def expire_leases(node: Node, at: Moment) -> None:
    """
    Record the runs on unreachable workers as lost once their leases have certainly expired, and
    until then when that will be.

    :param node: the instance, which owns the log.
    :param at: the current time.
    """
    for worker_id, runs in list(node.replicated.running.items()):
        worker = node.workers.get(worker_id)
        if worker is None:
            if node.registry.last_success_s < node.ownership.claimed_s:
                continue
            incarnation = max(task.worker_incarnation for task in runs.values())
            over_s, _source = _former_leases_end(node, worker_id, incarnation)
            if at.now_s > over_s:
                _lose_unlisted(node, at, worker_id)
            else:
                since_s = node.ownership.claimed_s
                _bound_lease(node, at, worker_id, incarnation, over_s, since_s)
            continue
        if worker.is_held and not worker.is_failing:
            continue
        over_s = lease_over_s(node, worker)
        if at.now_s > over_s:
            mark_all_lost(node, at, worker, "lease_expired")
        elif worker.is_failing:
            since_s = worker.failing_since_s
            _bound_lease(node, at, worker_id, worker.entry.incarnation, over_s, since_s)


def lease_over_s(node: Node, worker: Worker) -> float:
    """
    Return the time at which a worker's lease has expired, even on the slowest clock.

    :param node: the instance.
    :param worker: the worker.
    :returns: time by this instance's clock, in seconds.
    """
    return lease_end(node, worker).over_s


def lease_end(node: Node, worker: Worker) -> LeaseEnd:
    """
    Return when a worker's lease has expired, even on the slowest clock, and what it comes from.

    :param node: the instance.
    :param worker: the worker.
    :returns: the end of the leases that last longest.
    """
    left_s = max(0, worker.granted_ms - worker.clock_ms) / 1000
    slowest_s = left_s * (1 + _ownership.CLOCK_DRIFT) + _ownership.LEASE_MARGIN_S
    own = LeaseEnd(worker.clock_at_s + slowest_s, OWN_LEASE)
    delayed = LeaseEnd(worker.other_leases_until_s, DELAYED_ORDERS)
    if worker.is_failing:
        former = _former_leases_end(node, worker.id, worker.entry.incarnation)
    else:
        # Only the former owner may have failed to reach it; its list may show that runs are done.
        is_known = is_known_incarnation(node, worker.id, worker.entry.incarnation)
        former_s = _ownership.former_leases_end_s(node, is_known)
        former = LeaseEnd(former_s, FORMER_OWNERS)
    return max(own, delayed, former)


def unlisted_lease_end(node: Node, worker_id: str) -> LeaseEnd:
    """
    Return when the leases of a worker have expired that this owner never saw in the registry.

    :param node: the instance, which owns the log.
    :param worker_id: the worker, which has runs by the log.
    :returns: the end of the leases that last longest.
    """
    runs = node.replicated.running[worker_id]
    incarnation = max(task.worker_incarnation for task in runs.values())
    return _former_leases_end(node, worker_id, incarnation)


def is_known_incarnation(node: Node, worker_id: str, incarnation: int) -> bool:
    """
    Return whether former owners have used an incarnation of a worker for so long that no lease from
    a delayed order to an earlier one outlasts theirs.

    Such an order can only have reached it before its first start by the log, since it had accepted
    a token by then that invalidates all orders to earlier incarnations.

    :param node: the instance, which owns the log.
    :param worker_id: the worker.
    :param incarnation: its incarnation, or 0 if unknown.
    :returns: whether its leases are over once those that former owners granted are.
    """
    place = node.replicated.places.get(worker_id)
    if place is None or not incarnation or place.incarnation != incarnation:
        return False
    used_s = node.ownership.claimed_log_s - place.used_log_s
    return used_s >= _ownership.longest_lease_s(node) - _ownership.former_lease_s(node)


def _former_leases_end(node: Node, worker_id: str, incarnation: int) -> LeaseEnd:
    """
    Return the time at which all leases that former owners granted to a worker have expired.

    A bound in the log doesn't apply to a later incarnation, nor does the length of the leases that
    owners grant: delayed orders may have reached it.
    """
    is_known = is_known_incarnation(node, worker_id, incarnation)
    former_s = _ownership.former_leases_end_s(node, is_known)
    former = LeaseEnd(former_s, FORMER_OWNERS)
    bound = node.replicated.lease_bounds.get(worker_id)
    if bound is None or bound.lifted_ms or bound.incarnation < incarnation:
        return former
    return min(former, LeaseEnd(latest_write_s(node.replicated, bound) + bound.left_s, BOUND))


def _bound_lease(
    node: Node, at: Moment, worker_id: str, incarnation: int, over_s: float, since_s: float
) -> None:
    """
    Record when the leases of a worker are over if it has been away for long enough, unless the log
    says so already.
    """
    left_s = over_s - at.now_s
    if at.now_s - since_s < BOUND_DELAY_S or not math.isfinite(left_s):
        return
    bound = node.replicated.lease_bounds.get(worker_id)
    if bound is not None and not bound.lifted_ms and bound.incarnation >= incarnation:
        return
    left_ms, clock_ms = math.ceil(left_s * 1000), round(at.now_s * 1000)
    record = LeaseBounded(node.ownership.epoch, worker_id, incarnation, left_ms, clock_ms)
    is_first = _journal.withdraw_bound(node, worker_id) or bound is None
    _journal.write_bound(node, at, record, is_first)
    log_line(node, "worker.lease_bounded", worker=worker_id, left_s=round(left_s, 3))


def may_grant(node: Node, worker: Worker) -> bool:
    """
    Return whether a worker may get leases: no bound on them is in force by the committed log.

    :param node: the instance, which owns the log.
    :param worker: the worker.
    :returns: whether a hold or an order may carry a lease.
    """
    return worker.id not in node.replicated.lease_bounds


def lift_bound(node: Node, at: Moment, worker: Worker) -> None:
    """
    Record that a worker answers again, if its leases are bounded, or withdraw the bound if it was
    not sent to the log.

    :param node: the instance, which owns the log.
    :param at: the current time.
    :param worker: the worker, which has accepted this owner's newest fencing token.
    """
    bound = node.replicated.lease_bounds.get(worker.id)
    if bound is None or bound.lifted_ms:
        return
    log_line(node, "worker.lease_lifted", worker=worker.id)
    if _journal.withdraw_bound(node, worker.id):
        del node.replicated.lease_bounds[worker.id]
        return
    record = LeaseLifted(node.ownership.epoch, worker.id, round(at.now_s * 1000))
    _journal.write(node, at, record)


def extend_other_leases(node: Node, at: Moment, worker: Worker) -> None:
    """
    Account for leases that a worker may have taken until now from orders of former owners, or from
    delayed orders to its former incarnation.

    Until a worker accepts this owner's newest fencing token, it may carry out such orders, and it
    shortens their leases only to the maximum: they end by the clock of a former incarnation.

    :param node: the instance.
    :param at: the current time.
    :param worker: the worker.
    """
    worker.other_leases_until_s = at.now_s + _ownership.longest_lease_s(node)


def extend_former_leases(node: Node, at: Moment, worker: Worker) -> None:
    """
    Account for leases that a worker may have taken until now from orders of former owners to its
    present incarnation.

    :param node: the instance.
    :param at: the current time.
    :param worker: the worker, which has accepted this owner's newest fencing token.
    """
    until_s = at.now_s + _ownership.former_lease_s(node)
    worker.other_leases_until_s = max(worker.other_leases_until_s, until_s)


def _lose_unlisted(node: Node, at: Moment, worker_id: str) -> None:
    runs = list(runs_on(node, worker_id).values())
    log_line(
        node,
        "worker.runs_lost",
        worker=worker_id,
        reason="not_listed",
        runs=len(runs),
        bounded_s=bounded_s(node, at, worker_id),
        owned_s=since(at, node.ownership.claimed_s),
    )
    _crashes.end_unlisted(node, at, runs)
    node.plan_due = True
