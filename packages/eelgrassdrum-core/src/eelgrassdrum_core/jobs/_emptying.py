"""
Takes tasks that last away from a worker that is to be emptied, within the budgets of their steps.
"""

from . import _replicated_state, _runs, _sites
from ._node import Moment, Node, Worker, log_line
from ._replicated_state import StepState, Task, occurrence_of

# Added to the longest stop, for its order and the list that shows its end.
STOP_MARGIN_S = 2.0


def move_lasting(node: Node, at: Moment, worker: Worker) -> None:
    """
    Stop tasks that last on a worker, as far as their steps can do without them for a while and
    there is room for them elsewhere.

    :param node: the instance.
    :param at: the time.
    :param worker: the worker.
    """
    for task in list(_runs.runs_on(node, worker.id).values()):
        job = node.replicated.jobs[task.key.job]
        step = job.spec.steps[task.key.step]
        if (
            not step.is_long_running
            or task.key in worker.stops
            or job.state in _replicated_state.FINAL_STATES
        ):
            continue
        state = occurrence_of(job, task.key.occurrence)[task.key.step]
        if not may_take_away(node, at, state):
            continue
        if find_site(state, other_sites(node, at, worker)) is None:
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


def may_take_away(node: Node, at: Moment, state: StepState) -> bool:
    """
    Tell whether planned work may take one more task of a step that lasts away.

    :param node: the instance.
    :param at: the time.
    :param state: the step.
    :returns: whether its budget allows it.
    """
    # A stop that a former owner sent a moment ago does not show in the lists yet.
    settled_s = node.ownership.claimed_s + node.bounds.stop_s + STOP_MARGIN_S
    if at.now_s < settled_s:
        return False
    away = sum(not is_at_work(node, task) for task in state.tasks)
    return away < state.step.max_unavailable


def is_at_work(node: Node, task: Task) -> bool:
    """
    Tell whether a task that lasts was at work when its worker last answered, and is not being
    stopped.

    :param node: the instance.
    :param task: the task.
    :returns: whether it works.
    """
    worker = node.workers.get(task.worker)
    if task.status != _replicated_state.RUNNING or worker is None or worker.is_failing:
        return False
    row = worker.rows.get(task.key)
    is_up = row is not None and row.run == task.run and row.percent >= 100
    return is_up and task.key not in worker.stops


def other_sites(node: Node, at: Moment, worker: Worker) -> list[_sites.Site]:
    """
    Give the workers to which tasks of a worker could go.

    :param node: the instance.
    :param at: the time.
    :param worker: the worker.
    :returns: the others of its pool that take tasks.
    """
    sites = _sites.open_sites(node, at, worker.entry.service)
    return [site for site in sites if site.worker is not worker]


def find_site(state: StepState, sites: list[_sites.Site]) -> _sites.Site | None:
    """
    Give a worker that has room for one more task of a step.

    :param state: the step.
    :param sites: the workers to choose from.
    :returns: the first that has, or ``None``.
    """
    step = state.step
    seats = _sites.seat_counts(state)
    for site in sites:
        is_labelled = _sites.has_label(step, site.worker)
        is_seated = not step.max_per_worker or seats[site.worker.id] < step.max_per_worker
        if is_labelled and is_seated and state.resources.fits(site.free[0]):
            return site
    return None
