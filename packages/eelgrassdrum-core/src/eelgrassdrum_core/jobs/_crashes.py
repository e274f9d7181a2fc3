"""
Attributes crashes of workers to the tasks that ran there, and gives up jobs whose tasks crash
workers.

A run ends as crashed if its worker's incarnation has certainly ended without a drain or an order,
and was up when the run was decided: it confirmed the run, or had just answered. That alone is no
proof: the worker may have crashed under another task or for reasons of its own. So a task with
several crashes starts only where no task of another job can be the cause (`_isolation`), and its
job is given up when a worker crashes under it there.

Other runs end as unconfirmed: the worker may have ended before the order reached it. The task
starts next on a worker that has just answered, so that a task which ends its workers before they
can confirm it is counted all the same, also if its owner is lost with them.
"""

from collections.abc import Iterable

from . import _journal, _replicated_state
from ._node import Moment, Node, Worker, log_line
from ._records import Ended
from ._replicated_state import Task
from ._runs import (
    LOST,
    UNSENT,
    close_job,
    end_run,
    is_confirmed,
    is_established,
    listed_checkpoint,
    runs_on,
    since,
)

# Crashes under a task from which its job is given up, if the last one was in isolation.
MIN_CRASHES = 3
# Crashes under a task from which its job is given up in any case.
MAX_CRASHES = 5


def is_end_planned(node: Node, worker: Worker) -> bool:
    """
    Return whether the end of a worker's incarnation may be due to a drain or to an order for its
    instance, even if the order is not answered yet.

    :param node: the instance, which owns the log.
    :param worker: the worker.
    :returns: whether its end is no crash.
    """
    fleet, instance = node.fleet, worker.entry.instance
    is_ordered = any(
        instance in known
        for known in (fleet.draining, fleet.down, fleet.in_flight, fleet.unanswered, fleet.refused)
    )
    return is_ordered or worker.entry.is_draining


def former_runs(node: Node, worker: Worker) -> list[Task]:
    """
    Return the runs that a crash of a worker's former incarnation has ended, as its current one
    doesn't list them.

    :param node: the instance, which owns the log.
    :param worker: the worker, which has listed its runs.
    :returns: the tasks.
    """
    if worker.has_left or is_end_planned(node, worker):
        return []
    present = worker.entry.incarnation
    return [
        task
        for task in runs_on(node, worker.id).values()
        if present
        and task.key not in worker.rows
        and task.key not in worker.orders
        and task.worker_incarnation not in (0, present)
    ]


def end_former_runs(node: Node, at: Moment, worker: Worker, tasks: list[Task]) -> None:
    """
    Record the runs of a worker's former incarnation as crashed.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param worker: the worker.
    :param tasks: the runs, as given by `former_runs`.
    """
    _end_crashed(node, at, worker, tasks, "restarted")
    worker.former_established = frozenset()


def end_all_crashed(node: Node, at: Moment, worker: Worker, reason: str) -> None:
    """
    Record all runs on a worker as crashed, except those whose orders were not sent.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param worker: the worker, whose incarnation has ended.
    :param reason: the reason for the log line.
    """
    sent: list[Task] = []
    for task in list(runs_on(node, worker.id).values()):
        order = worker.orders.get(task.key)
        if order is not None and not order.sent_s:
            end_run(node, at, worker, task, UNSENT)
        else:
            sent.append(task)
    _end_crashed(node, at, worker, sent, reason)


def end_unlisted(node: Node, at: Moment, tasks: list[Task]) -> None:
    """
    Record the runs on a worker that this owner has never seen in the registry.

    It has ended or is cut off, which can't be told apart. So those of workers that were up when the
    run was decided count as crashed, but not as isolated. Long-running tasks, which are rarely
    recent, don't.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param tasks: the tasks.
    """
    for task in tasks:
        step = node.replicated.jobs[task.key.job].spec.steps[task.key.step]
        how = _replicated_state.CRASHED if task.is_verified else _replicated_state.UNCONFIRMED
        if step.is_long_running:
            how = LOST
        _journal.write(node, at, Ended(node.ownership.epoch, *task.key, task.run, how, ""))
        if len(task.crashes) >= MAX_CRASHES:
            _give_up(node, at, task, is_isolated=False)


def _end_crashed(
    node: Node, at: Moment, worker: Worker, tasks: Iterable[Task], reason: str
) -> None:
    suspects: list[Task] = []
    unconfirmed: list[Task] = []
    for task in tasks:
        if is_established(node, worker, task):
            end_run(node, at, worker, task, LOST, listed_checkpoint(worker, task))
        elif task.is_verified or is_confirmed(worker, task):
            suspects.append(task)
        else:
            unconfirmed.append(task)
    if not suspects and not unconfirmed:
        return
    jobs = {task.key.job for task in (*suspects, *unconfirmed)}
    log_line(
        node,
        "worker.crashed",
        worker=worker.id,
        service=worker.entry.service,
        instance=worker.entry.instance,
        reason=reason,
        runs=len(suspects),
        unconfirmed=len(unconfirmed),
        jobs=len(jobs),
        answered_s_ago=since(at, worker.clock_at_s),
    )
    for task in unconfirmed:
        end_run(node, at, worker, task, _replicated_state.UNCONFIRMED)
    for task in suspects:
        checkpoint = listed_checkpoint(worker, task)
        end_run(node, at, worker, task, _replicated_state.CRASHED, checkpoint)
    is_isolated = len(jobs) == 1 and not worker.unknown_runs
    for task in suspects:
        crashes = len(task.crashes)
        if crashes >= MAX_CRASHES or (is_isolated and crashes >= MIN_CRASHES):
            _give_up(node, at, task, is_isolated)


def _give_up(node: Node, at: Moment, task: Task, is_isolated: bool) -> None:
    job = node.replicated.jobs[task.key.job]
    if job.cancelled or job.state in _replicated_state.FINAL_STATES:
        return
    log_line(
        node,
        "job.given_up",
        job=job.id,
        reason="workers_crashed",
        task=".".join(map(str, task.key[1:])),
        workers=list(task.crashes),
        is_isolated=is_isolated,
    )
    close_job(node, at, job, _replicated_state.FAILED)
