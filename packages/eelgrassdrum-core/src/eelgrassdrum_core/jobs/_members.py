"""
Classifies the workers of a pool by whether tasks can start on them, for log lines and metrics.
"""

from collections import Counter

from . import _evacuation, _workers
from ._candidates import Candidate
from ._instances import MOVE
from ._node import Moment, Node, Worker
from ._replicated_state import Task
from ._runs import runs_on
from .model import Resources

USABLE = "usable"
FULL = "full"
# The registry still has an entry of it, although its incarnation is taken for ended.
ENDED = "ended"
# It is no longer listed, but runs may be left on it.
UNLISTED = "unlisted"
UNREACHABLE = "unreachable"
# It has not accepted the fencing token of this owner yet.
UNANSWERED = "unanswered"
DRAINING = "draining"
INSTANCE_DOWN = "instance_down"
INSTANCE_MOVING = "instance_moving"
INSTANCE_MAINTAINED = "instance_maintained"
# Runs that an answering worker does not list, by the state of their order. An order that was not
# sent waits for the commit of its record or for answers to earlier ones.
ORDER_MISSING = "order_missing"
ORDER_NOT_SENT = "order_not_sent"
ORDER_SENT = "order_sent"
ORDER_UNANSWERED = "order_unanswered"
ORDER_BARRED = "order_barred"
# The latest list of an answering worker is too old to show what runs.
LISTS_LATE = "lists_late"
PAUSED = "paused"
EVACUATED = "evacuated"
SLOW = "slow"
SILENT_ZONE = "silent_zone"
OVERDUE = "overdue"
# Age of a worker's latest list, by the time of its request, beyond two holds in a row.
MAX_LIST_AGE_S = 2 * _workers.HOLD_WAIT_S + 1.0
STATES = (
    USABLE,
    FULL,
    ENDED,
    UNLISTED,
    UNREACHABLE,
    UNANSWERED,
    DRAINING,
    INSTANCE_DOWN,
    INSTANCE_MOVING,
    INSTANCE_MAINTAINED,
    PAUSED,
    SLOW,
    SILENT_ZONE,
    OVERDUE,
    EVACUATED,
)


def members(node: Node, service: str) -> list[Worker]:
    """
    Return the workers of a pool that are listed, that have an entry in the registry although they
    are taken for ended, or that may still have runs.

    :param node: the instance.
    :param service: name of the pool.
    :returns: the workers.
    """
    return [
        worker
        for worker in node.workers.values()
        if worker.entry.service == service
        and (worker.is_listed or worker.has_entry or runs_on(node, worker.id))
    ]


def ended_members(node: Node, service: str) -> list[Worker]:
    """
    Return the members of a pool that are taken for ended. The entry of a worker that has really
    ended expires; one that is kept for longer than that may belong to a worker that is up.

    :param node: the instance.
    :param service: name of the pool.
    :returns: the workers.
    """
    return [worker for worker in members(node, service) if worker.has_ended]


def count_states(
    node: Node, at: Moment, service: str, candidates: list[Candidate], need: Resources | None
) -> Counter[str]:
    """
    Count the members of a pool by state.

    :param node: the instance.
    :param at: the time.
    :param service: name of the pool.
    :param candidates: the workers of the pool that accept tasks.
    :param need: resources of a task that waits, or ``None`` if none does.
    :returns: the number of members by state; each member has one state.
    """
    free = {candidate.worker.id: candidate.free[0] for candidate in candidates}
    states: Counter[str] = Counter()
    for worker in members(node, service):
        available = free.get(worker.id)
        if available is None:
            states[_exclusion(node, at, worker)] += 1
        else:
            states[USABLE if need is None or need.fits(available) else FULL] += 1
    return states


def unconfirmed_state(worker: Worker) -> str:
    """
    Return why the runs that the log has on a worker can't be confirmed by the worker.

    :param worker: the worker.
    :returns: the state, or an empty string if the worker answers.
    """
    if worker.has_ended:
        return ENDED
    if not worker.is_listed:
        return UNLISTED
    if worker.is_failing:
        return UNREACHABLE
    return "" if worker.is_held else UNANSWERED


def unconfirmed_run_state(worker: Worker, task: Task, now_s: float) -> str:
    """
    Return why a run on an answering worker is not confirmed by the worker's lists.

    :param worker: the worker, which answers.
    :param task: the task, which runs there by the log.
    :param now_s: the current time.
    :returns: the state, or an empty string if the run is confirmed.
    """
    row = worker.rows.get(task.key)
    order = worker.orders.get(task.key)
    is_listed = row is not None and row.run == task.run
    if is_listed or (order is not None and order.answered_s):
        return LISTS_LATE if now_s - worker.rows_s > MAX_LIST_AGE_S else ""
    if order is None:
        return ORDER_MISSING
    if order.barred_s:
        return ORDER_BARRED
    if order.unanswered_s:
        return ORDER_UNANSWERED
    return ORDER_SENT if order.sent_s else ORDER_NOT_SENT


def _exclusion(node: Node, at: Moment, worker: Worker) -> str:
    """
    Return why no task starts on a worker.
    """
    unconfirmed = unconfirmed_state(worker)
    if unconfirmed:
        return unconfirmed
    instance = worker.entry.instance
    if worker.entry.is_draining:
        return DRAINING
    if instance in node.fleet.down:
        return INSTANCE_DOWN
    if instance in node.fleet.draining:
        is_moving = node.fleet.draining[instance] == MOVE
        return INSTANCE_MOVING if is_moving else INSTANCE_MAINTAINED
    if _evacuation.is_evacuated(node, worker.entry.zone):
        return EVACUATED
    if at.now_s < worker.no_starts_until_s:
        return PAUSED
    if worker.entry.zone in node.unreachable_zones:
        return SILENT_ZONE
    return OVERDUE if _workers.is_overdue(worker, at.now_s) else SLOW


def instances_moving_to(node: Node) -> Counter[str]:
    """
    Count the instances that move to each pool.

    :param node: the instance.
    :returns: the number of instances by pool.
    """
    return Counter(node.fleet.pool_of.values())
