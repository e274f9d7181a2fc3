"""
Repeats the stops of runs that must end until the worker shows that they are gone.

A run must end if its job was cancelled or has ended otherwise, or if the log doesn't contain it. A
stop or its answer may be lost, and so may the list that would show the run.
"""

from bisect import bisect_right
from operator import itemgetter

from . import _leases, _replicated_state, _runs
from ._node import NEVER_S, Moment, Node, Worker, log_line
from .model import TaskKey

# Stops that are repeated at one tick; each takes a connection.
MAX_REPEATED_STOPS = 16
# Stops that are sent for the first time at one tick.
MAX_FIRST_STOPS = 128


def forget_lapsed_runs(node: Node, at: Moment) -> None:
    """
    Forget the unknown runs of unreachable and ended workers whose leases have certainly expired.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    for worker in node.workers.values():
        if not worker.unknown_runs or _is_answering(worker):
            continue
        if at.now_s > _leases.lease_over_s(node, worker):
            log_line(node, "worker.strays_lapsed", worker=worker.id, runs=len(worker.unknown_runs))
            for key in list(worker.unknown_runs):
                forget_unknown_run(worker, key)
            node.plan_due = True


def forget_unknown_run(worker: Worker, key: TaskKey, run: int | None = None) -> None:
    """
    Forget an unknown run that is gone, and its stop.

    :param worker: the worker.
    :param key: the task.
    :param run: number of the run, or ``None`` for whichever run the worker has listed.
    """
    worker.unknown_runs.pop(key, None)
    stop = worker.stops.get(key)
    if stop is not None and run in (None, stop.run):
        del worker.stops[key]


def forget_earlier_run(node: Node, worker: Worker, key: TaskKey, run: int) -> None:
    """
    Forget an unknown run, and its stop, once the worker lists a later run of the task.

    :param node: the instance.
    :param worker: the worker.
    :param key: the task.
    :param run: number of the listed run.
    """
    stop = worker.stops.get(key)
    if stop is not None and stop.run >= run:
        return
    node.plan_due = node.plan_due or key in worker.unknown_runs
    forget_unknown_run(worker, key)


def is_gone(worker: Worker, key: TaskKey, sent_s: float) -> bool:
    """
    Return whether a list that doesn't contain an unknown run shows that the run is gone.

    The list that contained the run may have overtaken an earlier one.

    :param worker: the worker.
    :param key: the task.
    :param sent_s: when the list was requested.
    :returns: whether it was requested after the run was seen.
    """
    stop = worker.stops.get(key)
    return stop is None or sent_s >= stop.since_s


def send_due_stops(node: Node, at: Moment) -> None:
    """
    Send the stops that had to wait for others, and those again that the workers have not
    acknowledged in time, the ones sent first before the others.

    Unreachable and ended workers are left out: their runs are stopped once they have listed them.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    due = [
        (stop.sent_s, worker, key, stop.run)
        for worker in node.workers.values()
        if worker.stops and not (worker.is_failing or worker.has_ended)
        for key, stop in worker.stops.items()
        if not stop.is_acked and _runs.is_stop_due(stop, at) and _must_end(node, worker, key)
    ]
    due.sort(key=itemgetter(0))
    first = bisect_right(due, -NEVER_S, key=itemgetter(0))
    chosen = due[: min(first, MAX_FIRST_STOPS)] + due[first : first + MAX_REPEATED_STOPS]
    for _sent_s, worker, key, run in chosen:
        _runs.send_stop(node, at, worker, key, run)


def _is_answering(worker: Worker) -> bool:
    """
    Return whether a worker's lists are expected to show when its unknown runs are gone.
    """
    return worker.is_held and not (worker.is_failing or worker.has_ended)


def _must_end(node: Node, worker: Worker, key: TaskKey) -> bool:
    if key in worker.unknown_runs:
        return True
    if key not in _runs.runs_on(node, worker.id):
        return False
    job = node.replicated.jobs.get(key.job)
    return job is None or job.cancelled or job.state in _replicated_state.FINAL_STATES
