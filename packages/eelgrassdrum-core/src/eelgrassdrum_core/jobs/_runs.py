"""
Ends of runs and of jobs, as the owner records them.
"""

from collections.abc import Iterator

from . import _book, _journal, effects
from ._book import Job, Task
from ._node import Moment, Node, Worker, emit, log_line
from ._records import Closed, Ended
from .model import TaskKey

# A run that is known to run no more, without an end that a worker listed.
LOST = "lost"
# A stop without an effect is sent again after this.
STOP_RETRY_S = 0.8
# Attempts of a task whose queue the configuration no longer names.
DEFAULT_MAX_ATTEMPTS = 3
# Tokens of one owner for a worker.
TOKENS_PER_EPOCH = 1000
MAX_RAISES = TOKENS_PER_EPOCH - 1
# Most tasks that one line of the log names.
MAX_LOGGED_FAILURES = 6


def runs_on(node: Node, worker_id: str) -> dict[TaskKey, Task]:
    """
    Give the runs that may be on a worker.

    :param node: the instance.
    :param worker_id: the worker.
    :returns: the tasks.
    """
    return node.book.running.get(worker_id, {})


def end_run(node: Node, at: Moment, worker: Worker, task: Task, how: str, saved: str = "") -> None:
    """
    Record that a run has ended.

    :param node: the instance.
    :param at: the time.
    :param worker: where it ran.
    :param task: its task.
    :param how: how it ended.
    :param saved: its newest checkpoint, or empty.
    """
    key = task.key
    worker.orders.pop(key, None)
    worker.stops.pop(key, None)
    worker.paces.pop(key, None)
    started_s = worker.started_s.pop(key, None)
    node.plan_due = True
    record = Ended(node.ownership.epoch, *key, task.run, how, saved)
    _journal.write(node, at, record)
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
    job = node.book.jobs[key.job]
    if how == _book.FAILED:
        _record_failure(node, worker, key)
    elif how == _book.DONE:
        worker.failed_jobs.clear()
    _close_if_finished(node, at, job, task)


def _record_failure(node: Node, worker: Worker, key: TaskKey) -> None:
    if key.job not in worker.failed_jobs:
        worker.failed_jobs.append(key.job)
    node.avoid.setdefault(key, set()).add(worker.id)


def _close_if_finished(node: Node, at: Moment, job: Job, task: Task) -> None:
    if job.state in _book.FINAL_STATES:
        return
    step = job.spec.steps[task.key.step]
    if _book.max_attempts_reached(task, step, max_attempts(node, job)):
        close_job(node, at, job, _book.FAILED)
    elif job.open_occurrences == 0:
        close_job(node, at, job, _book.COMPLETED)


def max_attempts(node: Node, job: Job) -> int:
    """
    Give the failed runs after which a task fails its job.

    :param node: the instance.
    :param job: the job.
    :returns: the bound of its queue; a queue that was dropped keeps the usual one.
    """
    queue = node.config.queues.get(job.queue) if node.config else None
    return queue.max_attempts if queue else DEFAULT_MAX_ATTEMPTS


def close_job(node: Node, at: Moment, job: Job, state: str) -> None:
    """
    Record that a job has ended, and stop what still runs of it.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param job: the job.
    :param state: its final state.
    """
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
    )
    for task in tasks_of(job):
        node.avoid.pop(task.key, None)
        worker = node.workers.get(task.worker)
        if task.status == _book.RUNNING and worker is not None:
            order = worker.orders.get(task.key)
            if order is None or order.sent_s:
                send_stop(node, at, worker, task.key, task.run)


def tasks_of(job: Job) -> Iterator[Task]:
    """
    Give the tasks of a job that were looked at.

    :param job: the job.
    :returns: its tasks.
    """
    for steps in job.occurrences.values():
        for state in steps:
            yield from state.tasks


def fencing_token(node: Node, worker: Worker) -> int:
    """
    Give the fencing token for a worker.

    It rises with each owner, each time that the worker falls silent, and with each restart under
    its id: a new life knows no token, and would carry out orders that were held up on their way to
    the former one.

    :param node: the instance, which owns the log.
    :param worker: the worker.
    :returns: the token.
    """
    return node.ownership.epoch * TOKENS_PER_EPOCH + worker.raises


def raise_token(worker: Worker) -> None:
    """
    Shut out all orders that were sent to a worker so far, from its next answer on.

    :param worker: the worker.
    """
    worker.raises = min(worker.raises + 1, MAX_RAISES)


def epoch_of(token: int) -> int:
    """
    Give the epoch of the owner that a token belongs to.

    :param token: a token of `fencing_token`.
    :returns: the epoch.
    """
    return token // TOKENS_PER_EPOCH


def send_stop(node: Node, at: Moment, worker: Worker, key: TaskKey, run: int) -> None:
    """
    Order a stop, unless one was sent just now.

    :param node: the instance.
    :param at: the time.
    :param worker: where the task runs.
    :param key: the task.
    :param run: its run.
    """
    sent_run, sent_s = worker.stops.get(key, (0, -1e9))
    if sent_run == run and at.now_s - sent_s < STOP_RETRY_S:
        return
    worker.stops[key] = (run, at.now_s)
    address = worker.entry.address
    emit(node, effects.StopTask(worker.id, address, key, run, fencing_token(node, worker)))


def mark_all_lost(node: Node, at: Moment, worker: Worker, reason: str) -> None:
    """
    Record that nothing runs on a worker any more.

    :param node: the instance.
    :param at: the time.
    :param worker: the worker.
    :param reason: why, for the log.
    """
    runs = list(runs_on(node, worker.id).values())
    if runs:
        log_line(node, "worker.runs_lost", worker=worker.id, reason=reason, runs=len(runs))
    for task in runs:
        end_run(node, at, worker, task, LOST, listed_checkpoint(worker, task))


def listed_checkpoint(worker: Worker, task: Task) -> str:
    """
    Give the newest checkpoint that a worker has listed for a task.

    :param worker: the worker.
    :param task: the task.
    :returns: the checkpoint, or empty.
    """
    row = worker.rows.get(task.key)
    return row.saved if row is not None and row.run == task.run else ""
