"""
Follows the registry of workers, and notes when a worker's life has ended.
"""

from . import _ownership, effects, events
from ._node import NEVER_S, Moment, Node, Worker, emit, log_line
from ._runs import mark_all_lost, raise_token, runs_on
from .model import WorkerEntry

# How often entries of workers are read; a draining worker gets no work well before it leaves.
REGISTRY_INTERVAL_S = 0.25
REGISTRY_WAIT_S = 0.5
REGISTRY_RETRY_S = 0.2


def read_registry(node: Node, at: Moment) -> None:
    """
    Ask for the entries of workers, unless that is under way.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    registry = node.registry
    if registry.is_reading or at.now_s < registry.next_read_s:
        return
    registry.is_reading = True
    emit(node, effects.ReadWorkers(registry.cursor, REGISTRY_WAIT_S))


def on_registry(node: Node, at: Moment, event: events.WorkersRead) -> None:
    """
    Take entries of workers.

    :param node: the instance.
    :param at: the time.
    :param event: the entries.
    """
    registry = node.registry
    registry.is_reading = False
    registry.cursor = event.cursor
    registry.next_read_s = at.now_s + REGISTRY_INTERVAL_S
    registry.ok_s = at.now_s
    if not node.ownership.is_owner:
        return
    for worker_id, entry in event.entries.items():
        if entry is None:
            _unlist(node, worker_id)
        else:
            _list(node, at, entry)
    if event.is_full:
        for worker_id in node.workers.keys() - event.entries.keys():
            _unlist(node, worker_id)
    node.plan_due = True


def on_registry_failed(node: Node, at: Moment, event: events.WorkersReadFailed) -> None:
    """
    Take note that the registry can't be read.

    :param node: the instance.
    :param at: the time.
    :param event: why.
    """
    registry = node.registry
    registry.is_reading = False
    registry.next_read_s = at.now_s + REGISTRY_RETRY_S
    if event.restart:
        registry.cursor = None
        registry.next_read_s = at.now_s
    log_line(node, "registry.unreadable", reason=event.reason, restart=event.restart)


def _list(node: Node, at: Moment, entry: WorkerEntry) -> None:
    worker = node.workers.get(entry.id)
    if worker is None:
        worker = node.workers[entry.id] = Worker(entry, clock_at_s=at.now_s)
        log_line(node, "worker.listed", **_described(entry))
        return
    if entry.incarnation and worker.entry.incarnation not in (0, entry.incarnation):
        if entry.incarnation < worker.entry.incarnation:
            return
        restarted(node, at, worker, entry.incarnation)
    if worker.is_over:
        return
    if entry.is_draining and not worker.entry.is_draining:
        log_line(node, "worker.draining", worker=entry.id, remaining_ms=entry.remaining_ms)
    if not worker.is_listed:
        log_line(node, "worker.listed", **_described(entry))
    worker.is_listed = True
    worker.entry = entry


def _described(entry: WorkerEntry) -> dict[str, str]:
    return {
        "worker": entry.id,
        "service": entry.service,
        "zone": entry.zone,
        "instance": entry.instance,
    }


def _unlist(node: Node, worker_id: str) -> None:
    worker = node.workers.get(worker_id)
    if worker is not None and worker.is_listed:
        worker.is_listed = False
        log_line(node, "worker.unlisted", worker=worker_id, runs=len(runs_on(node, worker_id)))


def end_life(node: Node, at: Moment, worker: Worker, reason: str) -> None:
    """
    Take note that a worker is gone, before its entry in the registry lapses.

    :param node: the instance.
    :param at: the time.
    :param worker: the worker.
    :param reason: why, for the log.
    """
    worker.is_over = True
    worker.is_listed = False
    mark_all_lost(node, at, worker, reason)


def restarted(node: Node, at: Moment, worker: Worker, incarnation: int) -> None:
    log_line(
        node,
        "worker.restarted",
        worker=worker.id,
        former=worker.entry.incarnation,
        incarnation=incarnation,
    )
    # What the former life ran is given up when the new one has answered: an order that was held up
    # may have reached it before its token rose.
    raise_token(worker)
    worker.orders.clear()
    worker.stops.clear()
    worker.doubt_until_s = at.now_s + node.bounds.max_lease_s * (1 + _ownership.CLOCK_DRIFT)
    worker.entry = worker.entry._replace(incarnation=incarnation)
    worker.is_held = worker.is_over = False
    worker.clock_ms = worker.granted_ms = worker.handled = worker.acked = worker.told = 0
    worker.next_hold_s = 0.0
    worker.lists_due_s = worker.answer_due_s = NEVER_S
    worker.strays.clear()
    worker.rows.clear()
    worker.paces.clear()
