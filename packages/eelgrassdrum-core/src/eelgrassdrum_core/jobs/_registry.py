"""
Tracks the registry of workers and the incarnations of each worker.
"""

from . import _advice, _crashes, _leases, _worker_health, effects, events
from ._node import NEVER_S, Moment, Node, Worker, emit, log_line
from ._runs import (
    UNSENT,
    count_unsent,
    end_run,
    forget_holds,
    is_established,
    mark_all_lost,
    raise_token,
    runs_on,
)
from .model import NO_RESOURCES, WorkerEntry

# Poll interval of the registry; short enough that a draining worker gets no new work well before it
# leaves.
REGISTRY_INTERVAL_S = 0.25
REGISTRY_WAIT_S = 0.5
REGISTRY_RETRY_S = 0.2


def read_registry(node: Node, at: Moment) -> None:
    """
    Request the entries of workers, unless a read is in progress or not due yet.

    :param node: the instance, which owns the log.
    :param at: the current time.
    """
    registry = node.registry
    # Nothing starts while the entries are too old, so an unanswered read isn't waited for then. A
    # read of all entries may take long on a slow link.
    is_late = registry.cursor is not None and not is_current(node, at)
    is_pending = registry.is_reading
    if is_pending and is_late:
        is_pending = at.now_s - registry.sent_s < REGISTRY_RETRY_S
    if is_pending or at.now_s < registry.next_read_s:
        return
    registry.is_reading = True
    registry.sent_s = at.now_s
    emit(node, effects.ReadWorkers(registry.cursor, 0.0 if is_late else REGISTRY_WAIT_S))


def is_current(node: Node, at: Moment) -> bool:
    """
    Return whether the entries of workers are recent enough to start tasks.

    A worker may have lost capacity, or may have begun to drain, since they were read.

    :param node: the instance, which owns the log.
    :param at: the current time.
    :returns: whether a change that they lack need not be known yet.
    """
    # An answer may have been on its way for as long as a read waits.
    max_age_s = node.bounds.contact_s - REGISTRY_WAIT_S
    return at.now_s - node.registry.last_success_s <= max_age_s


def may_order(node: Node, at: Moment) -> bool:
    """
    Return whether the entries of workers are recent enough to order a start that was decided.

    :param node: the instance, which owns the log.
    :param at: the current time.
    :returns: whether orders to start tasks may be sent.
    """
    return at.now_s - node.registry.last_success_s <= node.bounds.contact_s


def on_registry(node: Node, at: Moment, event: events.WorkersRead) -> None:
    """
    Update the known workers from entries of the registry.

    :param node: the instance.
    :param at: the current time.
    :param event: the entries.
    """
    registry = node.registry
    sent_s = min(event.sent_s, registry.sent_s)
    if sent_s < registry.answered_sent_s:
        log_line(node, "registry.replaced_read", cursor=event.cursor)
        return
    if registry.cursor is None and not event.is_full:
        # Requested during a former ownership; the entries before it have not been read since.
        log_line(node, "registry.outdated_read", cursor=event.cursor)
        return
    registry.is_reading = sent_s < registry.sent_s
    registry.answered_sent_s = sent_s
    registry.cursor = event.cursor
    registry.next_read_s = at.now_s + REGISTRY_INTERVAL_S
    registry.last_success_s = at.now_s
    if not node.ownership.is_owner:
        return
    for worker_id, entry in event.entries.items():
        if entry is None:
            _unlist_worker(node, worker_id)
        else:
            _list_worker(node, at, entry)
    if event.is_full:
        for worker_id in node.workers.keys() - event.entries.keys():
            _unlist_worker(node, worker_id)
        _add_unlisted_workers(node, at)
    node.plan_due = True


def on_registry_failed(node: Node, at: Moment, event: events.WorkersReadFailed) -> None:
    """
    Schedule the retry of a failed read of the registry.

    :param node: the instance.
    :param at: the current time.
    :param event: reason of the failure.
    """
    registry = node.registry
    if event.sent_s >= registry.sent_s:
        registry.is_reading = False
        registry.next_read_s = at.now_s + REGISTRY_RETRY_S
        if event.restart:
            registry.cursor = None
            registry.next_read_s = at.now_s
    log_line(node, "registry.unreadable", reason=event.reason, restart=event.restart)


def _list_worker(node: Node, at: Moment, entry: WorkerEntry) -> None:
    worker = node.workers.get(entry.id)
    if worker is None:
        worker = Worker(entry, clock_at_s=at.now_s, incarnation_s=at.now_s)
        node.workers[entry.id] = worker
        log_line(node, "worker.listed", **_entry_fields(entry), cold_s=_cold_s(entry))
        return
    if entry.incarnation and worker.entry.incarnation not in (0, entry.incarnation):
        # While the known incarnation doesn't answer, it may be over. If not, its next answer is
        # that of yet another incarnation.
        is_silent = worker.is_failing or not worker.has_entry
        if not (is_silent or _is_after(worker, entry.incarnation)):
            _log_ignored(node, at, worker, entry, "older_incarnation")
            return
        reset_incarnation(node, at, worker, entry.incarnation)
    if worker.has_ended:
        _log_ignored(node, at, worker, entry, worker.ended_reason)
    if entry.is_draining and not worker.entry.is_draining:
        log_line(node, "worker.draining", worker=entry.id, remaining_ms=entry.remaining_ms)
    if not worker.has_entry:
        log_line(node, "worker.listed", **_entry_fields(entry), cold_s=_cold_s(entry))
    worker.has_entry = True
    worker.entry = entry


def _log_ignored(node: Node, at: Moment, worker: Worker, entry: WorkerEntry, reason: str) -> None:
    """
    Log that an entry of a worker is ignored, once for each reason.
    """
    if worker.ignored_reason == reason:
        return
    worker.ignored_reason = reason
    log_line(
        node,
        "worker.ignored",
        **_entry_fields(entry),
        reason=reason,
        incarnation=entry.incarnation,
        known_incarnation=worker.entry.incarnation,
        known_service=worker.entry.service,
        is_draining=entry.is_draining,
        ended_s_ago=round(at.now_s - worker.ended_s, 3) if worker.has_ended else None,
    )


def _add_unlisted_workers(node: Node, at: Moment) -> None:
    """
    Add the workers that the log has runs on and the registry doesn't list.

    They may be cut off from the registry only. Their lists then show which of the runs have ended.
    """
    for worker_id, runs in node.replicated.running.items():
        place = node.replicated.places.get(worker_id)
        if worker_id in node.workers or place is None:
            continue
        incarnation = max(task.worker_incarnation for task in runs.values())
        service = node.replicated.jobs[next(iter(runs)).job].service
        entry = WorkerEntry(
            worker_id,
            incarnation,
            place.address,
            service,
            "",
            place.instance,
            "",
            frozenset(),
            NO_RESOURCES,
            False,
            0,
        )
        node.workers[worker_id] = Worker(
            entry, has_entry=False, clock_at_s=at.now_s, incarnation_s=at.now_s
        )
        log_line(node, "worker.not_listed", runs=len(runs), **_entry_fields(entry))


def _entry_fields(entry: WorkerEntry) -> dict[str, str]:
    return {
        "worker": entry.id,
        "service": entry.service,
        "zone": entry.zone,
        "instance": entry.instance,
    }


def _cold_s(entry: WorkerEntry) -> float:
    """
    Return how much longer a worker remained slow when it wrote its entry.
    """
    return max(0, entry.cold_until_ms - entry.clock_ms) / 1000


def _unlist_worker(node: Node, worker_id: str) -> None:
    worker = node.workers.get(worker_id)
    if worker is not None and worker.has_entry:
        worker.has_entry = False
        log_line(node, "worker.unlisted", worker=worker_id, runs=len(runs_on(node, worker_id)))


def end_incarnation(
    node: Node, at: Moment, worker: Worker, reason: str, has_crashed: bool = False
) -> None:
    """
    Mark a worker's incarnation as ended before its entry in the registry expires.

    The runs of the worker are recorded as lost, or as crashed with it.

    :param node: the instance.
    :param at: the current time.
    :param worker: the worker.
    :param reason: reason for the structured log.
    :param has_crashed: whether it ended without a drain or an order.
    """
    runs = len(runs_on(node, worker.id))
    if not worker.has_ended or runs:
        log_line(
            node,
            "worker.ended",
            worker=worker.id,
            service=worker.entry.service,
            instance=worker.entry.instance,
            reason=reason,
            runs=runs,
        )
    worker.has_ended = True
    worker.ended_s, worker.ended_reason = at.now_s, reason
    if has_crashed:
        _worker_health.note_end(node, at, worker)
        _crashes.end_all_crashed(node, at, worker, reason)
    else:
        mark_all_lost(node, at, worker, reason)


def resume_incarnation(node: Node, worker: Worker) -> None:
    """
    Use a worker again whose incarnation was considered ended, once it has accepted a higher fencing
    token and listed its runs.

    :param node: the instance.
    :param worker: the worker.
    """
    log_line(node, "worker.resumed", worker=worker.id)
    raise_token(worker)
    worker.has_ended = worker.is_held = False
    worker.ended_reason = worker.ignored_reason = ""
    worker.next_hold_s = 0.0


def is_next_incarnation(worker: Worker, incarnation: int, sent_s: float) -> bool:
    """
    Return whether an answer with another incarnation comes from one that began after the known one.

    An incarnation is the time of its start, by a clock that may have been set back in between. The
    incarnations of a worker follow each other, so one that answers a call which was sent after the
    known one had begun is the next one, also if its number is lower.

    :param worker: the worker.
    :param incarnation: the incarnation of the answer.
    :param sent_s: when the answered call was sent.
    :returns: whether the known incarnation is over.
    """
    return _is_after(worker, incarnation) or sent_s > worker.incarnation_s


def _is_after(worker: Worker, incarnation: int) -> bool:
    """
    Return whether an incarnation has a higher number than the known one and isn't a former one.
    """
    is_former = incarnation in worker.former_incarnations
    return incarnation > worker.entry.incarnation and not is_former


def reset_incarnation(node: Node, at: Moment, worker: Worker, incarnation: int) -> None:
    """
    Reset what is known of a worker that has restarted, and raise its fencing token.

    :param node: the instance.
    :param at: the current time.
    :param worker: the worker.
    :param incarnation: the new incarnation.
    """
    log_line(
        node,
        "worker.restarted",
        worker=worker.id,
        former=worker.entry.incarnation,
        incarnation=incarnation,
    )
    # The former incarnation's runs are only recorded as lost once the new one has responded: a
    # delayed order may have reached the new one before its fencing token was raised.
    raise_token(worker)
    _advice.forget_worker(node, worker.id)
    _end_unsent(node, at, worker)
    worker.has_left = _crashes.is_end_planned(node, worker)
    if not worker.has_left:
        _worker_health.note_end(node, at, worker)
    worker.former_established = frozenset(
        task.key for task in runs_on(node, worker.id).values() if is_established(node, worker, task)
    )
    for key, order in worker.orders.items():
        if not order.sent_s:
            count_unsent(node, worker, key, -1)
    worker.orders.clear()
    worker.stops.clear()
    _leases.extend_other_leases(node, at, worker)
    worker.former_incarnations.add(worker.entry.incarnation)
    worker.former_incarnations.discard(incarnation)
    worker.entry = worker.entry._replace(incarnation=incarnation, cold_until_ms=0)
    worker.incarnation_s = at.now_s
    worker.is_held = worker.has_ended = False
    worker.ended_reason = worker.ignored_reason = ""
    worker.clock_ms = worker.granted_ms = worker.handled = worker.acked = worker.ack_confirmed = 0
    worker.next_hold_s = 0.0
    worker.answer_due_s = NEVER_S
    forget_holds(worker, at)
    worker.unknown_runs.clear()
    worker.rows.clear()
    worker.throttles.clear()


def _end_unsent(node: Node, at: Moment, worker: Worker) -> None:
    """
    Record the runs whose orders were not sent to the worker's former incarnation.
    """
    for task in list(runs_on(node, worker.id).values()):
        order = worker.orders.get(task.key)
        if order is not None and order.run == task.run and not order.sent_s:
            end_run(node, at, worker, task, UNSENT)
