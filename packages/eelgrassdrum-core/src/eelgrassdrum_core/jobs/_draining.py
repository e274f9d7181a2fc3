"""
Takes tasks that last away from a worker that is to be emptied, within the budgets of their steps.
"""

from . import _book, _candidates, _runs
from ._book import StepState, Task, occurrence_of
from ._node import Moment, Node, Worker, log_line

# Added to the longest stop, for its order and the list that shows its end.
STOP_MARGIN_S = 2.0


def drain_long_running(node: Node, at: Moment, worker: Worker) -> None:
    """
    Stop tasks that last on a worker, as far as their steps can do without them for a while and
    there is room for them elsewhere.

    :param node: the instance.
    :param at: the time.
    :param worker: the worker.
    """
    for task in list(_runs.runs_on(node, worker.id).values()):
        job = node.book.jobs[task.key.job]
        step = job.spec.steps[task.key.step]
        if not step.lasts or task.key in worker.stops or job.state in _book.FINAL_STATES:
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
    Tell whether planned work may take one more task of a step that lasts away.

    :param node: the instance.
    :param at: the time.
    :param state: the step.
    :returns: whether its budget allows it.
    """
    # A stop that a former owner sent a moment ago does not show in the lists yet.
    former_stops_listed_s = node.ownership.claimed_s + node.bounds.stop_s + STOP_MARGIN_S
    if at.now_s < former_stops_listed_s:
        return False
    unavailable = sum(not is_available(node, task) for task in state.tasks)
    return unavailable < state.step.max_unavailable


def is_available(node: Node, task: Task) -> bool:
    """
    Tell whether a task that lasts was at work when its worker last answered, and is not being
    stopped.

    :param node: the instance.
    :param task: the task.
    :returns: whether it works.
    """
    worker = node.workers.get(task.worker)
    if task.status != _book.RUNNING or worker is None or worker.is_failing:
        return False
    row = worker.rows.get(task.key)
    is_up = row is not None and row.run == task.run and row.percent >= 100
    return is_up and task.key not in worker.stops


def other_candidates(node: Node, at: Moment, worker: Worker) -> list[_candidates.Candidate]:
    """
    Give the workers to which tasks of a worker could go.

    :param node: the instance.
    :param at: the time.
    :param worker: the worker.
    :returns: the others of its pool that take tasks.
    """
    candidates = _candidates.pool_candidates(node, at, worker.entry.service)
    return [candidate for candidate in candidates if candidate.worker is not worker]


def find_candidate(
    state: StepState, candidates: list[_candidates.Candidate]
) -> _candidates.Candidate | None:
    """
    Give a worker that has room for one more task of a step.

    :param state: the step.
    :param candidates: the workers to choose from.
    :returns: the first that has, or ``None``.
    """
    step = state.step
    running_counts = _candidates.tasks_per_worker(state)
    for candidate in candidates:
        matches_label = _candidates.has_label(step, candidate.worker)
        within_spread = (
            not step.max_per_worker or running_counts[candidate.worker.id] < step.max_per_worker
        )
        if matches_label and within_spread and state.room.fits(candidate.free[0]):
            return candidate
    return None
