"""
Determines when the leases of workers have certainly expired, and records their runs as lost.
"""

import math

from . import _crashes, _ownership
from ._node import Moment, Node, Worker, log_line
from ._runs import mark_all_lost, runs_on


def clock_ms(worker: Worker, at_s: float) -> int:
    """
    Return what a worker's clock shows at least, so that no lease lasts longer than intended.

    :param worker: the worker.
    :param at_s: time by this instance's clock, not before the worker's clock was last read.
    :returns: the slowest clock at that time, in milliseconds.
    """
    elapsed_s = (at_s - worker.clock_at_s) / (1 + _ownership.CLOCK_DRIFT)
    return worker.clock_ms + math.floor(elapsed_s * 1000)


def expire_leases(node: Node, at: Moment) -> None:
    """
    Record the runs on unreachable workers as lost once their leases have certainly expired.

    :param node: the instance, which owns the log.
    :param at: the current time.
    """
    for worker_id in list(node.replicated.running):
        worker = node.workers.get(worker_id)
        if worker is None:
            if node.registry.last_success_s < node.ownership.claimed_s:
                continue
            if at.now_s > _ownership.former_leases_end_s(node):
                _lose_unlisted(node, at, worker_id)
            continue
        if worker.is_held and not worker.is_failing:
            continue
        if at.now_s > lease_over_s(node, worker):
            mark_all_lost(node, at, worker, "lease_expired")


def lease_over_s(node: Node, worker: Worker) -> float:
    """
    Return the time at which a worker's lease has expired, even on the slowest clock.

    :param node: the instance.
    :param worker: the worker.
    :returns: time by this instance's clock, in seconds.
    """
    left_s = max(0, worker.granted_ms - worker.clock_ms) / 1000
    slowest_s = left_s * (1 + _ownership.CLOCK_DRIFT) + _ownership.LEASE_MARGIN_S
    own_s = worker.clock_at_s + slowest_s
    return max(own_s, worker.other_leases_until_s, _ownership.former_leases_end_s(node))


def extend_other_leases(node: Node, at: Moment, worker: Worker) -> None:
    """
    Account for leases that a worker may have taken until now from orders of former owners, or from
    delayed orders to its former incarnation.

    Until a worker accepts this owner's newest fencing token, it may carry out such orders, and it
    shortens their leases only to the maximum.

    :param node: the instance.
    :param at: the current time.
    :param worker: the worker.
    """
    lease_s = node.bounds.max_lease_s * (1 + _ownership.CLOCK_DRIFT)
    worker.other_leases_until_s = at.now_s + lease_s + _ownership.LEASE_MARGIN_S


def _lose_unlisted(node: Node, at: Moment, worker_id: str) -> None:
    runs = list(runs_on(node, worker_id).values())
    log_line(node, "worker.runs_lost", worker=worker_id, reason="not_listed", runs=len(runs))
    _crashes.end_unlisted(node, at, runs)
    node.plan_due = True
