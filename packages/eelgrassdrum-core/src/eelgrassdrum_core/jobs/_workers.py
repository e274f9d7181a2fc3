"""
Keeps the owner's view of the runs on workers, and of the runs that have exited there.

A worker takes part once it has accepted the owner's fencing token, which invalidates the orders of
every previous owner, and has listed its runs. From then on the worker's lists are reconciled with
the owner's state at each answer.

A hold is a long-poll call to a worker: it can renew the worker's lease, and returns the lists of
runs and exits as soon as a run exits or the wait time is over.
"""

from collections import Counter
from collections.abc import Iterable

from . import (
    _crashes,
    _journal,
    _leases,
    _ownership,
    _registry,
    _replicated_state,
    _stops,
    effects,
    events,
)
from ._node import NEVER_S, Moment, Node, Worker, emit, log_line
from ._replicated_state import Task, find_task
from ._runs import (
    LOST,
    UNSENT,
    end_run,
    epoch_of,
    fencing_token,
    forget_holds,
    is_stopping,
    note_begun,
    raise_token,
    request_stop,
    runs_on,
    send_stop,
)
from .model import NO_RESOURCES, EndRow, Resources, RunRow, TaskKey

# Long-poll time of a hold; a third of the shortest usual lease.
HOLD_WAIT_S = 1.5
# Long-poll time if progress is tracked or backfill is throttled by the lists.
WATCHED_HOLD_WAIT_S = 0.25
# Least interval between holds of a worker for each run that it lists beyond a number: processing a
# list of thousands takes a part of it.
LONG_LIST_RUNS = 500
LIST_INTERVAL_PER_RUN_S = 0.00005
# Interval between holds of a worker that runs nothing.
IDLE_HOLD_INTERVAL_S = 20.0
# Minimum interval between holds of a worker that runs only unknown runs.
MIN_UNKNOWN_RUNS_HOLD_INTERVAL_S = 0.25
# Interval at which the lease is renewed while exits can't be committed to the log.
STALLED_HOLD_INTERVAL_S = 0.8
# Time for an answer, in addition to the long-poll time; some hundred round trips. A worker whose
# answer is overdue gets no new task.
ANSWER_TIMEOUT_S = 0.2
# Age of its latest answer up to which a worker counts as up when a run is decided.
MAX_ANSWER_AGE_S = 0.05
# A zone is silent if more than this fraction of its workers that were called are overdue, and at
# least the minimum number of them.
SILENT_FRACTION = 0.5
MIN_OVERDUE_WORKERS = 2
# A worker's reason for refusing an older fencing token.
FENCE = "fence"
# Retry interval of holds to an unreachable worker, and maximum of its unanswered holds. The sooner
# the worker's next incarnation accepts the newest token, the fewer delayed orders can reach it.
RETRY_S = 0.25
MAX_FAILING_HOLDS = 4


def free_resources(node: Node, worker: Worker) -> Resources:
    """
    Return the free resources of a worker.

    :param node: the instance.
    :param worker: the worker.
    :returns: its capacity without the resources of all runs that may be there.
    """
    free = worker.entry.capacity.minus(node.replicated.load.get(worker.id, NO_RESOURCES))
    for resources in worker.unknown_runs.values():
        free = free.minus(resources)
    return free


def send_due_holds(node: Node, at: Moment) -> None:
    """
    Send the holds that are due.

    This runs after every event, and most workers have a hold outstanding or are gone.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    now_s, running = at.now_s, node.replicated.running
    for worker_id, worker in node.workers.items():
        if worker.holds >= (MAX_FAILING_HOLDS if worker.is_failing else 1):
            continue
        if worker.has_ended or not worker.has_entry:
            has_unknown_runs = bool(worker.unknown_runs) and not worker.has_ended
            if worker_id not in running and not has_unknown_runs:
                continue
        if now_s >= worker.next_hold_s:
            _send_lease_hold(node, at, worker, bool(runs_on(node, worker_id)))


def _send_lease_hold(node: Node, at: Moment, worker: Worker, has_runs: bool) -> None:
    """
    Send a hold that renews the lease if the worker has accepted the token, has runs and is
    reachable.
    """
    lease_ms = None
    wait_s = 0.0
    # A hold to an unreachable worker extends no lease, since nobody could tell when that lease
    # ends.
    is_reachable = worker.is_held and not worker.is_failing
    if is_reachable and has_runs and _leases.may_grant(node, worker):
        end_s = _ownership.lease_end_s(node, node.bounds)
        lease_ms = _leases.clock_ms(worker, min(end_s, at.now_s + _ownership.grant_s(node.bounds)))
        worker.granted_ms = max(worker.granted_ms, lease_ms)
        if worker.handled == worker.acked:
            wait_s = WATCHED_HOLD_WAIT_S if _is_watched(node, worker) else HOLD_WAIT_S
    if worker.is_failing:
        worker.next_hold_s = at.now_s + RETRY_S
    _send_hold(node, at, worker, lease_ms, wait_s)


def _is_watched(node: Node, worker: Worker) -> bool:
    """
    Return whether backfill on a worker is throttled or the progress of its tasks is tracked.
    """
    if worker.pace is not None:
        return True
    jobs = node.replicated.jobs
    return any(
        not jobs[key.job].spec.steps[key.step].is_long_running for key in runs_on(node, worker.id)
    )


def request_lists(node: Node, at: Moment, worker: Worker) -> None:
    """
    Request the lists of a worker at once, in parallel with a hold that waits for an exit.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param worker: the worker.
    """
    _send_hold(node, at, worker, None, 0.0)


def request_answers(node: Node, at: Moment, workers: Iterable[Worker]) -> None:
    """
    Request the lists of workers from which no answer is due soon.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param workers: the workers.
    """
    for worker in workers:
        # A hold of a busy worker may wait for an exit.
        max_holds = 2 if runs_on(node, worker.id) else 1
        if worker.holds < max_holds:
            request_lists(node, at, worker)


def _send_hold(node: Node, at: Moment, worker: Worker, lease_ms: int | None, wait_s: float) -> None:
    if not worker.holds:
        worker.lists_due_s = at.now_s + wait_s + ANSWER_TIMEOUT_S
    worker.holds += 1
    address, token = worker.entry.address, fencing_token(node, worker)
    acked = _exits_to_acknowledge(worker)
    emit(node, effects.Hold(worker.id, address, token, acked, lease_ms, wait_s))


def _exits_to_acknowledge(worker: Worker) -> int:
    """
    Return the number of the latest exit that a hold acknowledges, or 0 for none.

    A worker that has restarted undetected numbers its exits anew. So exits are acknowledged only
    until the worker is known to have received that, and not while it doesn't answer: its next
    incarnation may receive holds that were sent in between.
    """
    if worker.is_failing or worker.acked <= worker.ack_confirmed:
        return 0
    return worker.acked


def _count_answer(worker: Worker, at: Moment, sent_s: float) -> None:
    if sent_s < worker.holds_since_s:
        return
    worker.holds = max(0, worker.holds - 1)
    is_awaiting = worker.holds > 0
    worker.lists_due_s = at.now_s + HOLD_WAIT_S + ANSWER_TIMEOUT_S if is_awaiting else NEVER_S


def is_overdue(worker: Worker, now_s: float) -> bool:
    """
    Return whether an answer of a worker is overdue, which is the first sign of its loss.

    :param worker: the worker.
    :param now_s: the current time.
    :returns: whether an answer is overdue.
    """
    return worker.is_failing or now_s > min(worker.lists_due_s, worker.answer_due_s)


def has_just_answered(worker: Worker, now_s: float) -> bool:
    """
    Return whether a worker was certainly up just now.

    :param worker: the worker.
    :param now_s: the current time.
    :returns: whether its latest answer is recent.
    """
    return now_s - worker.clock_at_s <= MAX_ANSWER_AGE_S


def detect_silent_zones(node: Node, at: Moment) -> None:
    """
    Detect availability zones that seem to be cut off, because most of the workers there that should
    have answered did not. Workers of such a zone that were not called are not used either.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    asked: Counter[str] = Counter()
    overdue: Counter[str] = Counter()
    for worker in node.workers.values():
        if worker.is_listed and (worker.holds or worker.outstanding):
            asked[worker.entry.zone] += 1
            overdue[worker.entry.zone] += is_overdue(worker, at.now_s)
    silent = frozenset(
        zone
        for zone, count in overdue.items()
        if count >= MIN_OVERDUE_WORKERS and count > SILENT_FRACTION * asked[zone]
    )
    if silent != node.unreachable_zones:
        log_line(
            node,
            "zones.silent",
            zones=sorted(silent),
            former=sorted(node.unreachable_zones),
            overdue=dict(overdue),
            asked=dict(asked),
        )
        node.unreachable_zones = silent


def on_hold(node: Node, at: Moment, event: events.HoldAnswered) -> Worker | None:
    """
    Reconcile the lists of a worker with the state of the log.

    :param node: the instance.
    :param at: the time.
    :param event: the worker's answer.
    :returns: the worker, or ``None`` if its lists are ignored.
    """
    worker = node.workers.get(event.worker)
    if worker is None or not node.ownership.is_owner:
        return None
    if epoch_of(event.token) != node.ownership.epoch:
        # Sent during an earlier ownership of this instance, whose calls are no longer counted.
        return None
    _count_answer(worker, at, event.sent_s)
    if event.incarnation and event.incarnation != worker.entry.incarnation:
        if _registry.is_next_incarnation(worker, event.incarnation, event.sent_s):
            _registry.reset_incarnation(node, at, worker, event.incarnation)
        return None
    if event.token != fencing_token(node, worker):
        # Orders to the worker's previous incarnation could still be carried out.
        return None
    is_regained = worker.is_failing
    if is_regained:
        _note_regained(node, at, worker)
    worker.clock_ms = event.clock_ms
    worker.clock_at_s = at.now_s
    if node.is_awaiting_answers:
        node.plan_due = True
    if not worker.is_held:
        worker.is_held = True
        if _leases.is_known_incarnation(node, worker.id, worker.entry.incarnation):
            _leases.extend_former_leases(node, at, worker)
        else:
            _leases.extend_other_leases(node, at, worker)
        node.plan_due = True
    _apply_exits(node, at, worker, event.ends)
    worker.rows = {row.key: row for row in event.runs}
    worker.rows_s = event.sent_s
    long_by = max(0, len(event.runs) - LONG_LIST_RUNS)
    worker.next_list_s = at.now_s + long_by * LIST_INTERVAL_PER_RUN_S
    _reconcile(node, at, worker, event)
    _leases.lift_bound(node, at, worker)
    _schedule_hold(node, at, worker)
    if is_regained:
        # The failures of earlier holds are ignored, so another one has to show a loss.
        worker.next_hold_s = at.now_s
    return worker


def _note_regained(node: Node, at: Moment, worker: Worker) -> None:
    worker.is_failing = False
    forget_holds(worker, at)
    log_line(
        node,
        "worker.regained",
        worker=worker.id,
        away_s=round(at.now_s - worker.failing_since_s, 3),
    )


def _schedule_hold(node: Node, at: Moment, worker: Worker) -> None:
    if worker.handled != worker.acked or not _leases.may_grant(node, worker):
        # The exits, or the end of the bound on leases, have to be committed first; the commit
        # brings the next hold forward.
        worker.next_hold_s = at.now_s + STALLED_HOLD_INTERVAL_S
    elif runs_on(node, worker.id):
        worker.next_hold_s = worker.next_list_s
    elif worker.unknown_runs:
        # Their stops take `stop_s` at most.
        interval_s = max(node.bounds.stop_s, MIN_UNKNOWN_RUNS_HOLD_INTERVAL_S)
        worker.next_hold_s = at.now_s + interval_s
    else:
        worker.next_hold_s = at.now_s + IDLE_HOLD_INTERVAL_S


def renew_leases(node: Node, at: Moment) -> None:
    """
    Renew all leases at once, without waiting for the holds in progress.

    After an outage of the store, leases may be over before the next regular renewal.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    for worker in node.workers.values():
        if worker.is_held and not worker.is_failing and runs_on(node, worker.id):
            forget_holds(worker, at)
            worker.next_hold_s = at.now_s


def hold_acknowledged(node: Node, at: Moment, workers: list[str]) -> None:
    """
    Schedule an immediate hold of the workers whose exits, or the end of the bound on whose leases,
    have been committed to the log.

    :param node: the instance.
    :param at: the time.
    :param workers: their ids.
    """
    for worker_id in workers:
        worker = node.workers.get(worker_id)
        if worker is not None:
            worker.next_hold_s = min(worker.next_hold_s, max(at.now_s, worker.next_list_s))


def _apply_exits(node: Node, at: Moment, worker: Worker, ends: tuple[EndRow, ...]) -> None:
    """
    Record the exits that are new in a worker's list.
    """
    if all(end.number > worker.acked for end in ends):
        worker.ack_confirmed = worker.acked
    newest = worker.handled
    for end in ends:
        if end.number <= worker.handled:
            continue
        newest = max(newest, end.number)
        _apply_exit(node, at, worker, end)
    if newest > worker.handled:
        worker.handled = newest
        _journal.acknowledge(node, worker, newest)
        node.plan_due = True


def _apply_exit(node: Node, at: Moment, worker: Worker, end: EndRow) -> None:
    _stops.forget_unknown_run(worker, end.key, end.run)
    task = find_task(node.replicated, end.key)
    if task is None:
        log_line(node, "run.unknown_end", worker=worker.id, job=end.key.job, how=end.end_state)
        return
    if (
        task.status == _replicated_state.RUNNING
        and task.run == end.run
        and task.worker == worker.id
    ):
        note_begun(node, task)
        end_run(node, at, worker, task, end.end_state, end.checkpoint)
        return
    if task.status == _replicated_state.DONE:
        return
    is_done = end.end_state == _replicated_state.DONE
    if task.run > end.run and not (is_done and _may_count_former_run(node, task)):
        return
    log_line(
        node,
        "run.late_end",
        worker=worker.id,
        job=end.key.job,
        task=".".join(map(str, end.key[1:])),
        run=end.run,
        how=end.end_state,
        latest_run=task.run,
    )
    if not is_done or task.run < end.run:
        return
    if task.status == _replicated_state.RUNNING and task.run > end.run:
        end_run(node, at, node.workers[task.worker], task, UNSENT)
    if task.status == _replicated_state.WAITING:
        # The run that was considered lost has completed after all.
        end_run(node, at, worker, task, end.end_state, end.checkpoint)


def _may_count_former_run(node: Node, task: Task) -> bool:
    """
    Return whether the completion of a former run may end a task: if no later run of it may be in
    progress.

    The members of a gang only start and end together, and a long-running task is always restarted.
    """
    step = node.replicated.jobs[task.key.job].spec.steps[task.key.step]
    if step.gang or step.is_long_running:
        return False
    if task.status != _replicated_state.RUNNING:
        return True
    worker = node.workers.get(task.worker)
    order = worker.orders.get(task.key) if worker is not None else None
    return order is not None and order.run == task.run and not order.sent_s


def _reconcile(node: Node, at: Moment, worker: Worker, event: events.HoldAnswered) -> None:
    """
    Compare the runs that a worker lists with those that the log has for it.
    """
    for key, row in worker.rows.items():
        _reconcile_listed_run(node, at, worker, key, row)
    if not event.is_complete:
        # The end of a run that is missing may be listed once these ends are acknowledged.
        log_line(
            node,
            "worker.lists_incomplete",
            worker=worker.id,
            runs=len(event.runs),
            ends=len(event.ends),
            expected=len(runs_on(node, worker.id)),
        )
        return
    for key in list(worker.unknown_runs):
        if key not in worker.rows and _stops.is_gone(worker, key, event.sent_s):
            _stops.forget_unknown_run(worker, key)
            node.plan_due = True
    former = _crashes.former_runs(node, worker)
    former_keys = {task.key for task in former}
    for task in list(runs_on(node, worker.id).values()):
        if task.key in worker.rows or task.key in former_keys:
            continue
        _reconcile_missing_run(node, at, worker, task, event)
    _crashes.end_former_runs(node, at, worker, former)


def _reconcile_listed_run(
    node: Node, at: Moment, worker: Worker, key: TaskKey, row: RunRow
) -> None:
    """
    Confirm a listed run, or stop it if it is unknown or its job has ended.
    """
    task = find_task(node.replicated, key)
    is_expected = (
        task is not None
        and task.status == _replicated_state.RUNNING
        and task.worker == worker.id
        and task.run == row.run
    )
    if task is not None and is_expected:
        _stops.forget_earlier_run(node, worker, key, row.run)
        job = node.replicated.jobs[key.job]
        order = worker.orders.get(key)
        if order is not None and not order.answered_s:
            order.answered_s = at.now_s
        if worker.started_s.setdefault(key, at.now_s) == at.now_s:
            note_begun(node, task)
            node.plan_due = True
        is_over = job.cancelled or job.state in _replicated_state.FINAL_STATES
        if is_over:
            request_stop(node, at, worker, key, row.run)
        elif is_stopping(worker, key, row.run):
            send_stop(node, at, worker, key, row.run)
        return
    resources = NO_RESOURCES
    if task is not None:
        resources = node.replicated.jobs[key.job].spec.steps[key.step].resources
    if key not in worker.unknown_runs or not is_stopping(worker, key, row.run):
        log_line(
            node,
            "run.stray",
            worker=worker.id,
            task=".".join(map(str, key)),
            run=row.run,
            known_run=task.run if task else None,
            known_worker=task.worker if task else None,
        )
    worker.unknown_runs[key] = resources
    request_stop(node, at, worker, key, row.run)


def _reconcile_missing_run(
    node: Node, at: Moment, worker: Worker, task: Task, event: events.HoldAnswered
) -> None:
    """
    Record a run that the worker does not list as lost, or bar it while its order is unanswered.
    """
    order = worker.orders.get(task.key)
    if order is None:
        # Not ordered by this owner; the fencing token rejects orders of a previous owner.
        end_run(node, at, worker, task, LOST)
        return
    if order.answered_s:
        if order.answered_s < event.sent_s:
            end_run(node, at, worker, task, LOST)
        return
    if order.barred_s and event.sent_s >= order.barred_s:
        end_run(node, at, worker, task, LOST)
    elif order.unanswered_s and event.sent_s >= order.unanswered_s:
        # The order may still be in transit, so a stop bars the run before the task is started
        # elsewhere.
        send_stop(node, at, worker, task.key, task.run)


def on_stopped(node: Node, at: Moment, event: events.StopAnswered) -> None:
    """
    Process the outcome of a stop.

    :param node: the instance.
    :param at: the time.
    :param event: the outcome.
    """
    if event.outcome != events.OK:
        log_line(
            node,
            "run.stop_unanswered",
            job=event.key.job,
            task=".".join(map(str, event.key[1:])),
            run=event.run,
            worker=event.worker,
            outcome=event.outcome,
        )
    worker = node.workers.get(event.worker)
    if worker is None or event.outcome != events.OK:
        return
    stop = worker.stops.get(event.key)
    if stop is not None and stop.run == event.run:
        worker.stops[event.key] = stop._replace(is_acked=True)
    order = worker.orders.get(event.key)
    task = runs_on(node, worker.id).get(event.key)
    if task is None or order is None or task.run != event.run:
        return
    if order.unanswered_s and not order.answered_s and not order.barred_s:
        # The run can't start any more, but it may have started before the stop; the next list shows
        # that.
        order.barred_s = at.now_s
        request_lists(node, at, worker)


def on_hold_failed(node: Node, at: Moment, event: events.HoldFailed) -> None:
    """
    Handle a hold that the worker refused or did not answer.

    :param node: the instance.
    :param at: the time.
    :param event: the failure.
    """
    worker = node.workers.get(event.worker)
    if worker is None or not node.ownership.is_owner:
        return
    if epoch_of(event.token) != node.ownership.epoch:
        return
    _count_answer(worker, at, event.sent_s)
    if event.token != fencing_token(node, worker):
        # The failure of a call with an earlier token is out of date.
        return
    if event.reason == FENCE:
        # The worker has accepted the token of a newer owner.
        _ownership.step_down(node, at, "worker_has_newer_token", worker=worker.id)
        return
    if event.sent_s < worker.holds_since_s:
        # The worker has answered since, or has restarted.
        return
    if not worker.is_failing:
        worker.is_failing = True
        worker.failing_since_s = at.now_s
        worker.next_hold_s = at.now_s
        # Orders in transit must not be accepted by the worker's next incarnation.
        raise_token(worker)
        log_line(
            node,
            "worker.unreachable",
            worker=worker.id,
            reason=event.reason,
            runs=len(runs_on(node, worker.id)),
        )
    if event.reason == "other_worker":
        # Its address belongs to another worker now, so this worker is gone.
        has_crashed = not _crashes.is_end_planned(node, worker)
        _registry.end_incarnation(node, at, worker, "address_reused", has_crashed)
