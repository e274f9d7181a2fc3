"""
Keeps the owner's view of the workers: leases, what runs, what has ended.

A worker takes part once it has accepted the owner's token, which shuts out every former owner and
tells what runs there. From then on the owner's book and the worker's lists are compared at each
answer.
"""

from . import _book, _journal, _ownership, _pacing, effects, events
from ._book import Task, find_task
from .model import NO_ROOM, EndRow, Room, RunRow, TaskKey, WorkerEntry
from ._node import Moment, Node, Worker, emit, log_line
from ._records import Ended
from ._runs import LOST, end_run, lose_all, runs_on, send_stop, token_of

# How long a worker waits for an end before it answers; a third of the shortest usual lease.
HOLD_WAIT_S = 1.5
# The same where filling work is paced by the figures that the answers carry.
PACED_HOLD_WAIT_S = 0.5
# A worker that runs nothing is looked at this often while its lists are not needed.
IDLE_HOLD_S = 20.0
# While the log takes no ends, the lease is renewed this often.
STALLED_HOLD_S = 0.8
# A worker's reason for refusing an older token.
FENCE = "fence"
# A worker that did not answer is asked again after this.
RETRY_S = 0.25
# How often entries of workers are read; a draining worker gets no work well before it leaves.
REGISTRY_INTERVAL_S = 0.25
REGISTRY_WAIT_S = 0.5
REGISTRY_RETRY_S = 0.2
# Entries that lapsed while the store was away come back within two seconds of its return.
REGISTRY_SETTLE_S = 2.5


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
        log_line(node, "worker.listed", worker=entry.id, service=entry.service, zone=entry.zone)
        return
    if entry.incarnation and worker.entry.incarnation not in (0, entry.incarnation):
        if entry.incarnation < worker.entry.incarnation:
            return
        _restarted(node, at, worker, entry.incarnation)
    if worker.is_over:
        return
    if entry.is_draining and not worker.entry.is_draining:
        log_line(node, "worker.draining", worker=entry.id, remaining_ms=entry.remaining_ms)
    if not worker.is_listed:
        log_line(node, "worker.listed", worker=entry.id, service=entry.service, zone=entry.zone)
    worker.is_listed = True
    worker.entry = entry


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
    lose_all(node, at, worker, reason)


def _restarted(node: Node, at: Moment, worker: Worker, incarnation: int) -> None:
    log_line(
        node,
        "worker.restarted",
        worker=worker.id,
        former=worker.entry.incarnation,
        incarnation=incarnation,
    )
    # What the former life ran is given up when the new one has answered: an order that was held up
    # may have reached it before its token rose.
    worker.restarts += 1
    worker.orders.clear()
    worker.stops.clear()
    worker.doubt_until_s = at.now_s + node.bounds.max_lease_s * (1 + _ownership.CLOCK_DRIFT)
    worker.entry = worker.entry._replace(incarnation=incarnation)
    worker.is_held = worker.is_over = False
    worker.clock_ms = worker.granted_ms = worker.handled = worker.acked = 0
    worker.next_hold_s = 0.0
    worker.strays.clear()
    worker.rows.clear()
    worker.paces.clear()


def free_room(node: Node, worker: Worker) -> Room:
    """
    Give what a worker has left.

    :param node: the instance.
    :param worker: the worker.
    :returns: its capacity less all that may run there.
    """
    free = worker.entry.capacity.minus(node.book.load.get(worker.id, NO_ROOM))
    for room in worker.strays.values():
        free = free.minus(room)
    return free


def clock_ms(worker: Worker, at_s: float) -> int:
    """
    Estimate a worker's clock.

    :param worker: the worker.
    :param at_s: time by this instance's clock.
    :returns: its clock in milliseconds.
    """
    return worker.clock_ms + round((at_s - worker.clock_at_s) * 1000)


def hold_due(node: Node, at: Moment) -> None:
    """
    Send the holds that are due.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    for worker in node.workers.values():
        if worker.is_holding or at.now_s < worker.next_hold_s:
            continue
        runs = runs_on(node, worker.id)
        if worker.is_listed or runs:
            _hold(node, at, worker, bool(runs))


def _hold(node: Node, at: Moment, worker: Worker, has_runs: bool) -> None:
    lease_ms = None
    wait_s = 0.0
    if worker.is_held and has_runs:
        end_s = _ownership.lease_end_s(node, node.bounds)
        lease_ms = clock_ms(worker, min(end_s, at.now_s + node.bounds.max_lease_s))
        worker.granted_ms = max(worker.granted_ms, lease_ms)
        if worker.handled == worker.acked:
            wait_s = HOLD_WAIT_S if worker.pace is None else PACED_HOLD_WAIT_S
    worker.is_holding = True
    emit(
        node,
        effects.Hold(
            worker.id,
            worker.entry.address,
            token_of(node, worker),
            worker.acked,
            lease_ms,
            wait_s,
        ),
    )


def on_hold(node: Node, at: Moment, event: events.HoldAnswered) -> None:
    """
    Compare what a worker lists with the book.

    :param node: the instance.
    :param at: the time.
    :param event: its answer.
    """
    worker = node.workers.get(event.worker)
    if worker is None or not node.ownership.is_owner:
        return
    worker.is_holding = False
    if event.incarnation and event.incarnation != worker.entry.incarnation:
        if event.incarnation < worker.entry.incarnation:
            return
        _restarted(node, at, worker, event.incarnation)
        return
    if worker.is_failing:
        worker.is_failing = False
        log_line(
            node,
            "worker.regained",
            worker=worker.id,
            away_s=round(at.now_s - worker.failing_since_s, 3),
        )
    worker.clock_ms = event.clock_ms
    worker.clock_at_s = at.now_s
    if not worker.is_held:
        worker.is_held = True
        node.plan_due = True
    _take_ends(node, at, worker, event.ends)
    worker.rows = {row.key: row for row in event.runs}
    worker.rows_s = event.sent_s
    _compare(node, at, worker, event)
    _pacing.on_rows(node, at, worker)
    _schedule_hold(node, at, worker, event)


def _schedule_hold(
    node: Node, at: Moment, worker: Worker, event: events.HoldAnswered
) -> None:
    if worker.handled != worker.acked:
        # The log has to note the ends first; the commit brings the next hold forward.
        worker.next_hold_s = at.now_s + STALLED_HOLD_S
    elif runs_on(node, worker.id):
        worker.next_hold_s = at.now_s
    else:
        worker.next_hold_s = at.now_s + IDLE_HOLD_S


def wake_acknowledged(node: Node, at: Moment, workers: list[str]) -> None:
    """
    Hold the workers at once whose ends have been noted in the log.

    :param node: the instance.
    :param at: the time.
    :param workers: their ids.
    """
    for worker_id in workers:
        worker = node.workers.get(worker_id)
        if worker is not None:
            worker.next_hold_s = min(worker.next_hold_s, at.now_s)


def _take_ends(node: Node, at: Moment, worker: Worker, ends: tuple[EndRow, ...]) -> None:
    newest = worker.handled
    for end in ends:
        if end.number <= worker.handled:
            continue
        newest = max(newest, end.number)
        _take_end(node, at, worker, end)
    if newest > worker.handled:
        worker.handled = newest
        _journal.acknowledge(node, worker.id, newest)
        node.plan_due = True


def _take_end(node: Node, at: Moment, worker: Worker, end: EndRow) -> None:
    worker.strays.pop(end.key, None)
    task = find_task(node.book, end.key)
    is_current = (
        task is not None
        and task.status == _book.RUNNING
        and task.run == end.run
        and task.worker == worker.id
    )
    if not is_current:
        if task is not None and (task.status == _book.DONE or task.run > end.run):
            return
        log_line(
            node,
            "run.late_end",
            worker=worker.id,
            task=".".join(map(str, end.key)),
            run=end.run,
            how=end.how,
        )
        is_given_up = (
            task is not None and task.status == _book.WAITING and task.run == end.run
        )
        if is_given_up and end.how == _book.DONE:
            # The run that was given up has ended well after all.
            end_run(node, at, worker, task, end.how, end.saved)
        return
    end_run(node, at, worker, task, end.how, end.saved)


def _compare(node: Node, at: Moment, worker: Worker, event: events.HoldAnswered) -> None:
    for key, row in worker.rows.items():
        _compare_row(node, at, worker, key, row)
    for key in list(worker.strays):
        if key not in worker.rows:
            del worker.strays[key]
            node.plan_due = True
    for task in list(runs_on(node, worker.id).values()):
        if task.key not in worker.rows:
            _compare_missing(node, at, worker, task, event)


def _compare_row(node: Node, at: Moment, worker: Worker, key: TaskKey, row: RunRow) -> None:
    task = find_task(node.book, key)
    is_ours = (
        task is not None
        and task.status == _book.RUNNING
        and task.worker == worker.id
        and task.run == row.run
    )
    if is_ours:
        job = node.book.jobs[key.job]
        order = worker.orders.get(key)
        if order is not None and not order.answered_s:
            order.answered_s = at.now_s
        if worker.started_s.setdefault(key, at.now_s) == at.now_s:
            node.plan_due = True
        if job.cancelled or job.state in _book.FINAL_STATES or key in worker.stops:
            send_stop(node, at, worker, key, row.run)
        return
    step_room = NO_ROOM
    if task is not None:
        step_room = node.book.jobs[key.job].spec.steps[key.step].room
    worker.strays[key] = step_room
    log_line(
        node,
        "run.stray",
        worker=worker.id,
        task=".".join(map(str, key)),
        run=row.run,
        known_run=task.run if task else None,
        known_worker=task.worker if task else None,
    )
    send_stop(node, at, worker, key, row.run)


def _compare_missing(
    node: Node, at: Moment, worker: Worker, task: Task, event: events.HoldAnswered
) -> None:
    order = worker.orders.get(task.key)
    if order is None:
        # Not ordered by this owner; the worker's token shuts out orders of a former one.
        end_run(node, at, worker, task, LOST)
        return
    if order.answered_s:
        if order.answered_s < event.sent_s:
            end_run(node, at, worker, task, LOST)
        return
    if order.sent_s and event.clock_ms > order.lease_ms and event.sent_s > order.sent_s:
        # Void by now. The stop makes sure of it before the task is started elsewhere.
        order.is_void = True
        send_stop(node, at, worker, task.key, task.run)


def on_stopped(node: Node, at: Moment, event: events.StopAnswered) -> None:
    """
    Take the outcome of a stop.

    :param node: the instance.
    :param at: the time.
    :param event: the outcome.
    """
    worker = node.workers.get(event.worker)
    if worker is None or event.outcome != events.OK:
        return
    order = worker.orders.get(event.key)
    task = runs_on(node, worker.id).get(event.key)
    if task is None or order is None or task.run != event.run:
        return
    if order.is_void and not order.answered_s:
        # The run was not there when its order became void, and from now on it can't begin.
        end_run(node, at, worker, task, LOST)


def on_hold_failed(node: Node, at: Moment, event: events.HoldFailed) -> None:
    """
    Take note that a worker did not answer.

    :param node: the instance.
    :param at: the time.
    :param event: why.
    """
    worker = node.workers.get(event.worker)
    if worker is None or not node.ownership.is_owner:
        return
    worker.is_holding = False
    worker.next_hold_s = at.now_s + RETRY_S
    if not worker.is_failing:
        worker.is_failing = True
        worker.failing_since_s = at.now_s
        log_line(
            node,
            "worker.unreachable",
            worker=worker.id,
            reason=event.reason,
            runs=len(runs_on(node, worker.id)),
        )
    if event.reason == FENCE and event.token == token_of(node, worker):
        # The worker has taken the token of a newer owner.
        _ownership.step_down(node, at, "worker_has_newer_token", worker=worker.id)
        return
    if event.reason == "other_worker":
        # Its address belongs to another worker now, so it is gone.
        end_life(node, at, worker, "address_reused")


def expire_leases(node: Node, at: Moment) -> None:
    """
    Give up the runs on workers that can't be reached, once their leases have surely run out.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    for worker_id in list(node.book.running):
        worker = node.workers.get(worker_id)
        if worker is None:
            if node.registry.ok_s < node.ownership.claimed_s:
                continue
            if at.now_s > _ownership.former_leases_end_s(node):
                _lose_unknown(node, at, worker_id)
            continue
        if worker.is_held and not worker.is_failing:
            continue
        if at.now_s > lease_over_s(node, worker):
            lose_all(node, at, worker, "lease_expired")


def lease_over_s(node: Node, worker: Worker) -> float:
    """
    Give the time at which a worker's lease has run out, even on the slowest clock.

    :param node: the instance.
    :param worker: the worker.
    :returns: time by this instance's clock.
    """
    if not worker.is_held:
        return max(worker.doubt_until_s, _ownership.former_leases_end_s(node))
    left_s = max(0, worker.granted_ms - worker.clock_ms) / 1000
    slowest_s = left_s * (1 + _ownership.CLOCK_DRIFT) + _ownership.LEASE_MARGIN_S
    return worker.clock_at_s + slowest_s


def _lose_unknown(node: Node, at: Moment, worker_id: str) -> None:
    runs = list(runs_on(node, worker_id).values())
    log_line(node, "worker.runs_lost", worker=worker_id, reason="not_listed", runs=len(runs))
    for task in runs:
        record = Ended(node.ownership.epoch, *task.key, task.run, LOST, "")
        _journal.write(node, at, record)
    node.plan_due = True
