"""
Drains long-running tasks from workers, within the availability budgets of their steps.
"""

from . import _candidates, _replicated_state, _runs
from ._node import Moment, Node, Worker, log_line
from ._replicated_state import StepState, Task, occurrence_of

# Added to the longest stop, for sending the stop order and reading the list that shows the task's
# exit.
STOP_MARGIN_S = 2.0


def drain_long_running(node: Node, at: Moment, worker: Worker) -> None:
    """
    Stop long-running tasks on a worker, as far as the availability budgets of their steps allow it
    and another worker has capacity for them.

    :param node: the instance.
    :param at: the time.
    :param worker: the worker to drain.
    """
    for task in list(_runs.runs_on(node, worker.id).values()):
        job = node.replicated.jobs[task.key.job]
        step = job.spec.steps[task.key.step]
        if (
            not step.is_long_running
            or _runs.is_stopping(worker, task.key, task.run)
            or job.state in _replicated_state.FINAL_STATES
        ):
            continue
        state = occurrence_of(job, task.key.occurrence)[task.key.step]
        if not may_evict(node, at, state):
            continue
        if find_candidate(state, other_candidates(node, at, worker)) is None:
            continue
        log_line(
            node,
            "run.moved_away",
            job=job.id,
            task=".".join(map(str, task.key[1:])),
            run=task.run,
            worker=worker.id,
        )
        _runs.send_stop(node, at, worker, task.key, task.run)


def may_evict(node: Node, at: Moment, state: StepState) -> bool:
    """
    Return whether planned work may evict one more task of a long-running step.

    :param node: the instance.
    :param at: the time.
    :param state: state of the step.
    :returns: whether its availability budget allows it.
    """
    # A stop sent by the previous owner shortly before the takeover may not show in the workers'
    # lists yet.
    former_stops_listed_s = node.ownership.claimed_s + node.bounds.stop_s + STOP_MARGIN_S
    if at.now_s < former_stops_listed_s:
        return False
    unavailable = sum(not is_available(node, task) for task in state.tasks)
    return unavailable < state.step.max_unavailable


def is_available(node: Node, task: Task) -> bool:
    """
    Return whether a long-running task was up when its worker last answered, and is not being
    stopped.

    :param node: the instance.
    :param task: the task.
    :returns: whether it counts as available.
    """
    worker = node.workers.get(task.worker)
    if task.status != _replicated_state.RUNNING or worker is None or worker.is_failing:
        return False
    row = worker.rows.get(task.key)
    is_up = row is not None and row.run == task.run and row.percent >= 100
    return is_up and not _runs.is_stopping(worker, task.key, task.run)


def other_candidates(node: Node, at: Moment, worker: Worker) -> list[_candidates.Candidate]:
    """
    Return the workers to which tasks of a worker could move.

    :param node: the instance.
    :param at: the time.
    :param worker: the worker that the tasks leave.
    :returns: the other candidate workers of its pool.
    """
    candidates = _candidates.pool_candidates(node, at, worker.entry.service)
    return [candidate for candidate in candidates if candidate.worker is not worker]


def find_candidate(
    state: StepState, candidates: list[_candidates.Candidate]
) -> _candidates.Candidate | None:
    """
    Return the first candidate worker that can take one more task of a step.

    :param state: state of the step.
    :param candidates: the workers to choose from.
    :returns: the candidate, or ``None`` if none can take it.
    """
    step = state.step
    running_counts = _candidates.tasks_per_worker(state)
    for candidate in candidates:
        matches_label = _candidates.has_label(step, candidate.worker)
        within_spread = (
            not step.max_per_worker or running_counts[candidate.worker.id] < step.max_per_worker
        )
        if matches_label and within_spread and state.resources.fits(candidate.free[0]):
            return candidate
    return None
