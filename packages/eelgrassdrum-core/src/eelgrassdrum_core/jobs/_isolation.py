"""
Selects the workers for tasks under which workers have crashed, which are called suspects.

A suspect that one crash has ended starts beside other tasks, but not beside suspects of other jobs
if there is another worker. One that several crashes have ended is isolated: it starts on a worker
with no task of another job, except established ones, and nothing else starts there meanwhile. The
suspects of a job start on one worker at a time until one has run well, so that a job whose tasks
all crash workers takes one worker at a time.
"""

import math
from typing import NamedTuple

from . import _replicated_state
from ._candidates import Candidate, has_label
from ._node import Moment, Node, Worker
from ._replicated_state import StepState, Task
from ._runs import has_run_for, is_established, runs_on

# Crashes under a task from which it is isolated.
ISOLATING_CRASHES = 2
# A suspect has run well once it has run for this time.
RUNS_WELL_S = 1.0
# The other suspects of a job don't wait for one on a worker that has been unreachable for longer.
MAX_AWAY_S = 1.0
# Fraction of a pool's workers on which tasks may be isolated at the same time, one at least.
MAX_ISOLATING_FRACTION = 0.25


class Isolation(NamedTuple):
    """
    Where suspects run in the current planning pass, which updates it.

    :param suspects: jobs of the suspects, by worker.
    :param isolated: job whose task is isolated, by worker.
    :param trials: by job, the workers of its suspects that have not run well yet.
    """

    suspects: dict[str, set[str]]
    isolated: dict[str, str]
    trials: dict[str, set[str]]


def must_isolate(task: Task) -> bool:
    """
    Return whether a task may start only in isolation.

    :param task: the task.
    :returns: whether enough workers have crashed under it.
    """
    return len(task.crashes) >= ISOLATING_CRASHES


def current(node: Node, at: Moment) -> Isolation:
    """
    Return where suspects run.

    :param node: the instance, which owns the log.
    :param at: the time.
    :returns: the suspects that run, except established ones.
    """
    isolation = Isolation({}, {}, {})
    for job, tasks in node.replicated.suspects.items():
        for task in tasks.values():
            worker = node.workers.get(task.worker)
            if task.status != _replicated_state.RUNNING or worker is None:
                continue
            if is_established(node, worker, task):
                continue
            add(isolation, task, worker)
            is_away = worker.is_failing and at.now_s - worker.failing_since_s > MAX_AWAY_S
            if is_away or has_run_for(worker, task, RUNS_WELL_S):
                isolation.trials[job].discard(worker.id)
    return isolation


def add(isolation: Isolation, task: Task, worker: Worker) -> None:
    """
    Add a suspect that starts on a worker.

    :param isolation: the suspects that run, updated in place.
    :param task: the task.
    :param worker: the worker.
    """
    isolation.suspects.setdefault(worker.id, set()).add(task.key.job)
    isolation.trials.setdefault(task.key.job, set()).add(worker.id)
    if must_isolate(task):
        isolation.isolated[worker.id] = task.key.job


def isolating_candidates(
    node: Node, isolation: Isolation, job: str, candidates: list[Candidate]
) -> list[Candidate]:
    """
    Return the workers on which tasks of a job can be isolated now.

    :param node: the instance.
    :param isolation: the suspects that run.
    :param job: the job.
    :param candidates: the workers of the pool that accept tasks.
    :returns: those that run no task of another job except established ones.
    """
    trials = isolation.trials.get(job)
    count = sum(candidate.worker.id in isolation.isolated for candidate in candidates)
    is_limited = count >= max_isolating(candidates)
    usable: list[Candidate] = []
    for candidate in candidates:
        worker = candidate.worker
        owner = isolation.isolated.get(worker.id)
        is_excluded = is_limited if owner is None else owner != job
        if is_excluded or (trials and worker.id not in trials):
            continue
        if _runs_only(node, worker, job):
            usable.append(candidate)
    return usable


def max_isolating(candidates: list[Candidate]) -> int:
    """
    Return the number of a pool's workers on which tasks may be isolated at the same time.

    :param candidates: the workers of the pool that accept tasks.
    :returns: the number.
    """
    return max(1, math.floor(MAX_ISOLATING_FRACTION * len(candidates)))


def _runs_only(node: Node, worker: Worker, job: str) -> bool:
    return not worker.unknown_runs and all(
        key.job == job or is_established(node, worker, task)
        for key, task in runs_on(node, worker.id).items()
    )


def worker_to_empty(state: StepState, candidates: list[Candidate]) -> Candidate | None:
    """
    Return the worker on which nothing else should start until a task can be isolated there.

    :param state: state of the task's step.
    :param candidates: the workers of the pool on which no task is isolated.
    :returns: the least loaded worker that the task fits on, or ``None``.
    """
    usable = [
        candidate
        for candidate in candidates
        if has_label(state.step, candidate.worker)
        and state.resources.fits(candidate.worker.entry.capacity)
    ]
    return min(
        usable,
        key=lambda c: (c.worker.entry.capacity.millicores - c.free[0].millicores, c.worker.id),
        default=None,
    )


def trial_candidates(
    isolation: Isolation, state: StepState, job: str, candidates: list[Candidate]
) -> list[Candidate]:
    """
    Return the workers on which the suspects of a job may start that need no isolation.

    :param isolation: the suspects that run.
    :param state: state of their step.
    :param job: the job.
    :param candidates: the workers of the pool that accept tasks.
    :returns: the workers; those without suspects of other jobs if the tasks fit on one of them.
    """
    trials = isolation.trials.get(job)
    if trials and state.unfinished == len(state.tasks):
        candidates = [c for c in candidates if c.worker.id in trials]
    apart = [c for c in candidates if not isolation.suspects.get(c.worker.id, set()) - {job}]
    has_room = any(state.resources.fits(c.free[0]) for c in apart)
    return apart if has_room else candidates


def is_crash_site(node: Node, task: Task, worker: Worker) -> bool:
    """
    Return whether a worker runs on an instance that has crashed under a task.

    :param node: the instance.
    :param task: the task.
    :param worker: the worker.
    :returns: whether it does.
    """
    for crashed_id in task.crashes:
        crashed = node.workers.get(crashed_id)
        if crashed_id == worker.id:
            return True
        if crashed is not None and crashed.entry.instance == worker.entry.instance:
            return True
    return False


def workers_wanted(node: Node, job: str) -> int:
    """
    Return the number of workers that a job needs for isolated tasks.

    :param node: the instance.
    :param job: the job.
    :returns: the number of workers.
    """
    tasks = node.replicated.suspects.get(job, {}).values()
    return int(any(must_isolate(task) and not _is_cleared(node, task) for task in tasks))


def _is_cleared(node: Node, task: Task) -> bool:
    worker = node.workers.get(task.worker)
    is_running = task.status == _replicated_state.RUNNING
    return is_running and worker is not None and is_established(node, worker, task)
