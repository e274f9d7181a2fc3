"""
Selects the workers of a pool that accept tasks, and computes their free resources.
"""

from collections import Counter
from typing import NamedTuple

from . import _evacuation, _replicated_state, _worker_health, _workers
from ._node import Moment, Node, Worker
from ._replicated_state import StepState
from ._runs import runs_on
from .model import Resources, Step

# Number of jobs in a row that failed on a worker after which it gets only one task at a time.
SUSPECT_FAILURES = 2
# Slow or overdue workers are left out while at least this fraction of the pool is healthy.
MIN_HEALTHY_FRACTION = 0.5


class Candidate(NamedTuple):
    """
    A worker that accepts tasks in the current planning pass.

    :param free: its free resources, as a list of one item that the pass updates.
    """

    worker: Worker
    free: list[Resources]


def pool_candidates(node: Node, at: Moment, service: str) -> list[Candidate]:
    """
    Return the workers of a pool that accept tasks, as `split_candidates` does, without those that
    are left out.

    :param node: the instance.
    :param at: the time.
    :param service: name of the pool.
    :returns: the workers with their free resources.
    """
    return split_candidates(node, at, service)[0]


def split_candidates(
    node: Node, at: Moment, service: str
) -> tuple[list[Candidate], list[Candidate]]:
    """
    Return the workers of a pool that accept tasks, and those that are left out as slow or
    unreliable.

    Slow and unreliable workers, those with an overdue answer and those in silent zones are left out
    unless they are most of the pool.

    :param node: the instance.
    :param at: the time.
    :param service: name of the pool.
    :returns: the workers with their free resources, and those that are only slow or unreliable.
    """
    candidates = [
        Candidate(worker, [_workers.free_resources(node, worker)])
        for worker in node.workers.values()
        if worker.entry.service == service and accepts_tasks(node, at, worker)
    ]
    avoided = _worker_health.avoided(node, at, [candidate.worker for candidate in candidates])
    healthy = [
        candidate
        for candidate in candidates
        if candidate.worker.id not in avoided and _is_healthy(node, at, candidate.worker)
    ]
    if len(healthy) < MIN_HEALTHY_FRACTION * len(candidates):
        return candidates, []
    chosen = {candidate.worker.id for candidate in healthy}
    left_out = (candidate for candidate in candidates if candidate.worker.id not in chosen)
    return healthy, [item for item in left_out if _is_reachable(node, at, item.worker)]


def _is_healthy(node: Node, at: Moment, worker: Worker) -> bool:
    return at.now_s >= worker.slow_until_s and _is_reachable(node, at, worker)


def _is_reachable(node: Node, at: Moment, worker: Worker) -> bool:
    is_silent = worker.entry.zone in node.unreachable_zones
    return not is_silent and not _workers.is_overdue(worker, at.now_s)


def accepts_tasks(node: Node, at: Moment, worker: Worker) -> bool:
    """
    Return whether tasks may be started on a worker now.

    :param node: the instance.
    :param at: the time.
    :param worker: the worker.
    :returns: whether it accepts tasks.
    """
    is_evacuated = _evacuation.is_evacuated(node, worker.entry.zone)
    return not is_evacuated and accepts_but_for_zone(node, at, worker)


def accepts_but_for_zone(node: Node, at: Moment, worker: Worker) -> bool:
    """
    Return whether tasks could be started on a worker now if its availability zone isn't evacuated.

    :param node: the instance.
    :param at: the time.
    :param worker: the worker.
    :returns: whether nothing else keeps it from accepting tasks.
    """
    return (
        worker.is_listed
        and worker.is_held
        and not worker.is_failing
        and not worker.entry.is_draining
        and at.now_s >= worker.no_starts_until_s
        and worker.entry.instance not in node.fleet.draining
    )


def is_suspect(worker: Worker) -> bool:
    """
    Return whether a worker seems to fail every task, because several jobs in a row failed there.

    :param worker: the worker.
    :returns: whether it is suspect.
    """
    return len(worker.failed_jobs) >= SUSPECT_FAILURES


def is_busy(node: Node, worker: Worker) -> bool:
    """
    Return whether anything runs on a worker, including runs that are absent from the log.

    :param node: the instance.
    :param worker: the worker.
    :returns: whether it has runs.
    """
    return bool(runs_on(node, worker.id)) or bool(worker.unknown_runs)


def has_label(step: Step, worker: Worker) -> bool:
    """
    Return whether a worker has the label that a step needs.

    :param step: the step.
    :param worker: the worker.
    :returns: whether it has the label or none is needed.
    """
    return not step.label or step.label in worker.entry.labels


def tasks_per_worker(state: StepState) -> Counter[str]:
    """
    Count the running tasks of a step by worker.

    :param state: state of the step.
    :returns: the number of tasks by worker id.
    """
    return Counter(task.worker for task in state.tasks if task.status == _replicated_state.RUNNING)


def workers_with_capacity(state: StepState, candidates: list[Candidate]) -> list[str]:
    """
    Return the workers on which a task of a step would fit.

    :param state: state of the step.
    :param candidates: the workers to choose from.
    :returns: their ids, those with the most free processor capacity first.
    """
    fitting = [
        candidate
        for candidate in candidates
        if state.resources.fits(candidate.free[0]) and has_label(state.step, candidate.worker)
    ]
    fitting.sort(key=lambda candidate: -candidate.free[0].millicores)
    return [candidate.worker.id for candidate in fitting]
