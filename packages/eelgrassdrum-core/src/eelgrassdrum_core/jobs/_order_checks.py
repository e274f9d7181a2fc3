"""
Checks right before an order is sent what held when its start was decided.

The record of the start was appended in between, and the order may have waited for the answers to
earlier ones. Whatever may have changed meanwhile is checked here and nowhere else.
"""

from . import (
    _advice,
    _candidates,
    _evacuation,
    _freshness,
    _leases,
    _limits,
    _policies,
    _registry,
    _replicated_state,
    _workers,
)
from ._node import Moment, Node, Order, Worker
from ._replicated_state import Task
from .model import NO_RESOURCES

# Why an order isn't sent.
JOB_CLOSED = "job_closed"
OLD_STATE = "log_read_late"
OLD_REGISTRY = "registry_read_late"
LEASE_BOUNDED = "lease_bounded"
WORKER_AWAY = "worker_away"
DRAINING = "worker_drains"
NO_ROOM = "no_room"
OTHER_POOL = "other_pool"
NO_LABEL = "no_label"
NO_TICKET = "no_ticket"
OVER_LIMIT = "workspace_over_limit"


def reason_to_withdraw(node: Node, at: Moment, worker: Worker, task: Task, order: Order) -> str:
    """
    Return why an order may not be sent.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param worker: the worker.
    :param task: the task, whose run is recorded.
    :param order: the order.
    :returns: the reason, or an empty string if the order may be sent.
    """
    return _reason_of_state(node, at, task) or _reason_of_worker(node, at, worker, task, order)


def _reason_of_state(node: Node, at: Moment, task: Task) -> str:
    """
    Return the reason that holds for a task on any worker.
    """
    job = node.replicated.jobs[task.key.job]
    if job.cancelled or job.state in _replicated_state.FINAL_STATES:
        return JOB_CLOSED
    if not _freshness.may_order(node, at):
        return OLD_STATE
    if not _registry.may_order(node, at):
        return OLD_REGISTRY
    if not _evacuation.may_order(node, at):
        return _evacuation.OLD_RECORDS
    if _limits.is_exceeded(node, job, job.spec.steps[task.key.step]):
        return OVER_LIMIT
    return ""


def _reason_of_worker(node: Node, at: Moment, worker: Worker, task: Task, order: Order) -> str:
    job, entry = node.replicated.jobs[task.key.job], worker.entry
    queue = _policies.queue_of(node, job)
    if not _leases.may_grant(node, worker):
        return LEASE_BOUNDED
    if not worker.is_listed or not worker.is_held or worker.is_failing:
        return WORKER_AWAY
    if entry.is_draining or entry.instance in node.fleet.draining:
        return DRAINING
    if not NO_RESOURCES.fits(_workers.free_resources(node, worker)):
        return NO_ROOM
    if queue is not None and entry.service != queue.service:
        return OTHER_POOL
    if not _candidates.has_label(job.spec.steps[task.key.step], worker):
        return NO_LABEL
    if queue is not None and queue.has_advice:
        job_id, occurrence, step, _number = task.key
        order.ticket = _advice.valid_ticket(node, at, (job_id, occurrence, step), worker.id)
        if not order.ticket:
            return NO_TICKET
    return _evacuation.EVACUATED if _is_evacuated(node, worker, task, order) else ""


def _is_evacuated(node: Node, worker: Worker, task: Task, order: Order) -> bool:
    """
    Return whether nothing may start in the zone of a worker, or of a fellow member of a gang that
    was not ordered yet.
    """
    if not node.evacuations:
        return False
    if _evacuation.is_evacuated(node, worker.entry.zone):
        return True
    if not any(_evacuation.is_evacuated(node, zone) for zone in order.gang_zones):
        return False
    return any(
        is_unsent(other, member) and _evacuation.is_evacuated(node, other.entry.zone)
        for other, member in gang_of(node, task)
    )


def is_unsent(worker: Worker, task: Task) -> bool:
    """
    Return whether the order of a run is recorded and was not sent.

    :param worker: the worker.
    :param task: the task.
    :returns: whether it waits.
    """
    order = worker.orders.get(task.key)
    return order is not None and order.run == task.run and not order.sent_s


def gang_of(node: Node, task: Task) -> list[tuple[Worker, Task]]:
    """
    Return the running members of a task's gang that were started with it, with their workers; only
    the task itself, if it isn't a member of one.

    :param node: the instance.
    :param task: the task.
    :returns: workers and tasks.
    """
    job = node.replicated.jobs[task.key.job]
    state = _replicated_state.occurrence_of(job, task.key.occurrence)[task.key.step]
    return [
        (node.workers[member.worker], member)
        for member in (state.tasks if state.step.gang else [task])
        if member.status == _replicated_state.RUNNING
        and member.run == task.run
        and member.worker in node.workers
    ]
