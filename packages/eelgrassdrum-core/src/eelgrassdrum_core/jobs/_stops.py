"""
Repeats the stops of runs that must end until the worker shows that they are gone.

A run must end if its job was cancelled or has ended otherwise, or if the log doesn't contain it. A
stop or its answer may be lost, and so may the list that would show the run.
"""

from . import _leases, _replicated_state, _runs
from ._node import Moment, Node, Worker, log_line
from .model import TaskKey


def forget_lapsed_runs(node: Node, at: Moment) -> None:
    """
    Forget the unknown runs of unreachable workers whose leases have certainly expired.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    for worker in node.workers.values():
        if not worker.unknown_runs or (worker.is_held and not worker.is_failing):
            continue
        if at.now_s > _leases.lease_over_s(node, worker):
            log_line(node, "worker.strays_lapsed", worker=worker.id, runs=len(worker.unknown_runs))
            _forget_unknown_runs(worker)
            node.plan_due = True


def _forget_unknown_runs(worker: Worker) -> None:
    for key in worker.unknown_runs:
        worker.stops.pop(key, None)
    worker.unknown_runs.clear()


def send_due_stops(node: Node, at: Moment) -> None:
    """
    Send the stops again that the worker has not acknowledged in time.

    Unreachable workers are left out: their runs are stopped once they have listed them.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    for worker in node.workers.values():
        if worker.is_failing:
            continue
        for key, stop in list(worker.stops.items()):
            if not stop.is_acked and _must_end(node, worker, key):
                _runs.send_stop(node, at, worker, key, stop.run)


def _must_end(node: Node, worker: Worker, key: TaskKey) -> bool:
    if key in worker.unknown_runs:
        return True
    if key not in _runs.runs_on(node, worker.id):
        return False
    job = node.replicated.jobs.get(key.job)
    return job is None or job.cancelled or job.state in _replicated_state.FINAL_STATES
