"""
Records the exits of runs and the completion of jobs, as the owner of the log.
"""

from collections.abc import Iterator

from . import _journal, _policies, _replicated_state, _run_times, _worker_health, effects
from ._node import NEVER_S, Moment, Node, Stop, Worker, emit, log_line
from ._records import Closed, Ended
from ._replicated_state import Job, Task
from .model import TaskKey

# Exit of a run that no longer runs, without an exit that a worker listed.
LOST = "lost"
# Exit of a run whose order was not sent.
UNSENT = "unsent"
# A long-running task is established once it has been up for this time.
ESTABLISHED_S = 2.0
# A stop that had no effect is sent again after this time.
STOP_RETRY_S = 0.8
# Stops that are sent at once of runs which must end, and the interval until further ones are.
MAX_STOPS_AT_ONCE = 256
STOPS_INTERVAL_S = 0.05
# Fencing tokens that one owner has for a worker.
TOKENS_PER_EPOCH = 1000
MAX_RAISES = TOKENS_PER_EPOCH - 1
# Size of a checkpoint above which it is dropped, as no record could hold it, and of an end state.
MAX_CHECKPOINT_BYTES = 128 * 1024
MAX_END_STATE_CHARS = 64
# Failed tasks that one log line names.
MAX_LOGGED_FAILURES = 6


def runs_on(node: Node, worker_id: str) -> dict[TaskKey, Task]:
    """
    Return the runs that may be on a worker.

    :param node: the instance.
    :param worker_id: the worker.
    :returns: the tasks by key.
    """
    return node.replicated.running.get(worker_id, {})


def end_run(node: Node, at: Moment, worker: Worker, task: Task, how: str, saved: str = "") -> None:
    """
    Record the exit of a run, and close its job if that completes it or the task has used up its
    attempts.

    :param node: the instance.
    :param at: the time.
    :param worker: the worker on which it ran.
    :param task: its task.
    :param how: the end state.
    :param saved: its newest checkpoint, or an empty string.
    """
    key = task.key
    how, saved = how[:MAX_END_STATE_CHARS], _storable_checkpoint(node, worker, task, saved)
    established = is_established(node, worker, task)
    ran_ms = _run_times.ran_ms(node, at, worker, task) if how == _replicated_state.DONE else 0
    order = worker.orders.pop(key, None)
    if order is not None and not order.sent_s:
        count_unsent(node, worker, key, -1)
    worker.stops.pop(key, None)
    worker.throttles.pop(key, None)
    started_s = worker.started_s.pop(key, None)
    node.plan_due = True
    record = Ended(node.ownership.epoch, *key, task.run, how, saved, established, ran_ms)
    _journal.write(node, at, record)
    if ran_ms:
        _run_times.log_learned(node, at, task)
    log_line(
        node,
        "run.ended",
        job=key.job,
        task=".".join(map(str, key[1:])),
        run=task.run,
        worker=worker.id,
        how=how,
        ran_s=None if started_s is None else round(at.now_s - started_s, 3),
    )
    job = node.replicated.jobs[key.job]
    if how == _replicated_state.FAILED:
        _record_failure(node, worker, key)
    elif how == _replicated_state.DONE:
        worker.failed_jobs.clear()
    if how in (_replicated_state.FAILED, _replicated_state.DONE):
        _worker_health.note_outcome(node, at, worker, key, how == _replicated_state.FAILED)
    _close_if_finished(node, at, job, task)


def count_unsent(node: Node, worker: Worker, key: TaskKey, change: int) -> None:
    """
    Count an order that is decided and not sent, by its worker and its step.

    :param node: the instance.
    :param worker: the worker.
    :param key: the task.
    :param change: 1 for a decided order, -1 for one that is sent or will not be.
    """
    worker.unsent_orders += change
    node.unsent_by_step[key[:3]] += change
    if not node.unsent_by_step[key[:3]]:
        del node.unsent_by_step[key[:3]]


def _storable_checkpoint(node: Node, worker: Worker, task: Task, saved: str) -> str:
    """
    Return a checkpoint, or an empty string if it is too large for a record: the task then resumes
    from its former one.
    """
    size_bytes = len(saved.encode(errors="replace"))
    if size_bytes <= MAX_CHECKPOINT_BYTES:
        return saved
    log_line(
        node,
        "run.checkpoint_dropped",
        job=task.key.job,
        task=".".join(map(str, task.key[1:])),
        run=task.run,
        worker=worker.id,
        size_bytes=size_bytes,
    )
    return ""


def is_established(node: Node, worker: Worker, task: Task) -> bool:
    """
    Return whether a run is of a long-running task and has been up for long enough on a worker that
    it isn't suspected of crashing workers.

    :param node: the instance.
    :param worker: the worker.
    :param task: the running task.
    :returns: whether it is established.
    """
    if not node.replicated.jobs[task.key.job].spec.steps[task.key.step].is_long_running:
        return False
    row, started_s = worker.rows.get(task.key), worker.started_s.get(task.key)
    if row is None or started_s is None:
        return task.key in worker.former_established
    return row.run == task.run and row.percent >= 100 and has_run_for(worker, task, ESTABLISHED_S)


def note_begun(node: Node, task: Task) -> None:
    """
    Note that a worker has begun a task, so that its job is no longer queued.

    :param node: the instance, which owns the log.
    :param task: the task.
    """
    job = node.replicated.jobs[task.key.job]
    if job.state == _replicated_state.QUEUED:
        node.begun_jobs[job.id] = None


def is_confirmed(worker: Worker, task: Task) -> bool:
    """
    Return whether a worker has confirmed a run: it answered the order, or listed the run.

    :param worker: the worker.
    :param task: the running task.
    :returns: whether the run has certainly begun there.
    """
    return task.key in worker.started_s


def has_run_for(worker: Worker, task: Task, seconds: float) -> bool:
    """
    Return whether the worker's latest list shows a run that started some time before it.

    :param worker: the worker.
    :param task: the running task.
    :param seconds: the minimum time.
    :returns: whether it had run for that time.
    """
    started_s = worker.started_s.get(task.key)
    if task.key not in worker.rows or started_s is None:
        return False
    return worker.rows_s - started_s >= seconds


def _record_failure(node: Node, worker: Worker, key: TaskKey) -> None:
    if key.job not in worker.failed_jobs:
        worker.failed_jobs.append(key.job)
    node.avoided_workers.setdefault(key, set()).add(worker.id)


def _close_if_finished(node: Node, at: Moment, job: Job, task: Task) -> None:
    if job.state in _replicated_state.FINAL_STATES:
        return
    step = job.spec.steps[task.key.step]
    if _replicated_state.max_attempts_reached(task, step, _policies.max_attempts(node, job)):
        close_job(node, at, job, _replicated_state.FAILED)
    elif job.open_occurrences == 0:
        close_job(node, at, job, _replicated_state.COMPLETED)


def close_job(node: Node, at: Moment, job: Job, state: str) -> None:
    """
    Record that a job has ended, and stop its remaining runs.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param job: the job.
    :param state: its final state, unless it was cancelled.
    """
    if job.cancelled:
        state = _replicated_state.CANCELLED
    _journal.write(node, at, Closed(node.ownership.epoch, job.id, state, at.wall_ms))
    failures = [[*task.key[1:], task.failures] for task in tasks_of(job) if task.failures]
    log_line(
        node,
        "job.closed",
        job=job.id,
        queue=job.queue,
        workspace=job.workspace,
        state=state,
        age_s=round(at.now_s - job.seen_s, 3),
        failures=failures[:MAX_LOGGED_FAILURES],
        max_attempts=_policies.max_attempts(node, job),
    )
    for task in tasks_of(job):
        node.avoided_workers.pop(task.key, None)
        worker = node.workers.get(task.worker)
        if task.status == _replicated_state.RUNNING and worker is not None:
            order = worker.orders.get(task.key)
            if order is None or order.sent_s:
                request_stop(node, at, worker, task.key, task.run)


def tasks_of(job: Job) -> Iterator[Task]:
    """
    Yield the tasks of the occurrences of a job that have been created so far.

    :param job: the job.
    :returns: its tasks.
    """
    for steps in job.occurrences.values():
        for state in steps:
            yield from state.tasks


def fencing_token(node: Node, worker: Worker) -> int:
    """
    Return the fencing token for a worker.

    It increases with each owner, each time the worker becomes unreachable, and each time a worker
    restarts under the same id: a new incarnation knows no token, and would carry out delayed orders
    that were sent to the previous one.

    :param node: the instance, which owns the log.
    :param worker: the worker.
    :returns: the fencing token.
    """
    return node.ownership.epoch * TOKENS_PER_EPOCH + worker.token_raises


def raise_token(worker: Worker) -> None:
    """
    Invalidate all orders that were sent to a worker so far, as of its next answer.

    :param worker: the worker.
    """
    worker.token_raises = min(worker.token_raises + 1, MAX_RAISES)


def forget_holds(worker: Worker, at: Moment) -> None:
    """
    Count no holds that were sent to a worker so far, and ignore their failures.

    :param worker: the worker, which has answered, has restarted or is called anew.
    :param at: the time.
    """
    worker.holds, worker.holds_since_s = 0, at.now_s
    worker.lists_due_s = NEVER_S


def epoch_of(token: int) -> int:
    """
    Return the epoch of the owner that a token belongs to.

    :param token: a token of `fencing_token`.
    :returns: the epoch.
    """
    return token // TOKENS_PER_EPOCH


def send_stop(node: Node, at: Moment, worker: Worker, key: TaskKey, run: int) -> None:
    """
    Order a stop of a run, unless one was sent within the retry interval.

    :param node: the instance.
    :param at: the time.
    :param worker: the worker on which the task runs.
    :param key: the task.
    :param run: number of the run.
    """
    former = worker.stops.get(key)
    if former is not None and former.run != run:
        former = None
    if former is not None and not is_stop_due(former, at):
        return
    worker.stops[key] = Stop(run, at.now_s, former.since_s if former is not None else at.now_s)
    log_line(
        node,
        "run.stop_sent",
        job=key.job,
        task=".".join(map(str, key[1:])),
        run=run,
        worker=worker.id,
        is_repeated=former is not None and former.sent_s > -NEVER_S,
    )
    address = worker.entry.address
    emit(node, effects.StopTask(worker.id, address, key, run, fencing_token(node, worker)))


def request_stop(node: Node, at: Moment, worker: Worker, key: TaskKey, run: int) -> None:
    """
    Order a stop of a run that must end, or leave it to the next due stops if many were just sent.

    :param node: the instance.
    :param at: the time.
    :param worker: the worker on which the task runs.
    :param key: the task, whose job has ended or which the log doesn't contain.
    :param run: number of the run.
    """
    if at.now_s - node.stops_since_s >= STOPS_INTERVAL_S:
        node.stops_since_s, node.stops_sent = at.now_s, 0
    if node.stops_sent < MAX_STOPS_AT_ONCE:
        node.stops_sent += 1
        send_stop(node, at, worker, key, run)
    elif not is_stopping(worker, key, run):
        worker.stops[key] = Stop(run, -NEVER_S, at.now_s)


def is_stop_due(stop: Stop, at: Moment) -> bool:
    """
    Return whether a stop that had no effect may be sent again.

    :param stop: the latest stop of the run.
    :param at: the time.
    :returns: whether the retry interval is over.
    """
    return at.now_s - stop.sent_s >= STOP_RETRY_S


def is_stopping(worker: Worker, key: TaskKey, run: int) -> bool:
    """
    Return whether a run was ordered to stop.

    :param worker: the worker on which the task runs.
    :param key: the task.
    :param run: number of the run.
    :returns: whether the latest stop of the task is one of this run.
    """
    stop = worker.stops.get(key)
    return stop is not None and stop.run == run


def mark_all_lost(node: Node, at: Moment, worker: Worker, reason: str) -> None:
    """
    Record all runs on a worker as lost.

    :param node: the instance.
    :param at: the time.
    :param worker: the worker.
    :param reason: the reason for the log line.
    """
    runs = list(runs_on(node, worker.id).values())
    if runs:
        log_line(
            node,
            "worker.runs_lost",
            worker=worker.id,
            reason=reason,
            runs=len(runs),
            unreachable_s=since(at, worker.failing_since_s) if worker.is_failing else None,
            answered_s_ago=since(at, worker.clock_at_s) if worker.clock_ms else None,
            bounded_s=bounded_s(node, at, worker.id),
            owned_s=since(at, node.ownership.claimed_s),
        )
    for task in runs:
        end_run(node, at, worker, task, LOST, listed_checkpoint(worker, task))


def since(at: Moment, earlier_s: float) -> float:
    """
    Return the time that has passed since an earlier one, for log lines.

    :param at: the time.
    :param earlier_s: the earlier time.
    :returns: seconds, to the millisecond.
    """
    return round(at.now_s - earlier_s, 3)


def bounded_s(node: Node, at: Moment, worker_id: str) -> float | None:
    """
    Return for how long the log has bounded the leases of a worker, for log lines.

    :param node: the instance.
    :param at: the time.
    :param worker_id: the worker.
    :returns: seconds, to the millisecond, or ``None`` if they are not bounded.
    """
    bound = node.replicated.lease_bounds.get(worker_id)
    if bound is None:
        return None
    return since(at, _replicated_state.latest_write_s(node.replicated, bound))


def listed_checkpoint(worker: Worker, task: Task) -> str:
    """
    Return the newest checkpoint that a worker has listed for the current run of a task.

    :param worker: the worker.
    :param task: the task.
    :returns: the checkpoint, or an empty string.
    """
    row = worker.rows.get(task.key)
    return row.checkpoint if row is not None and row.run == task.run else ""
