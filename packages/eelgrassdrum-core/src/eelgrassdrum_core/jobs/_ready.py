"""
Selects the steps that have tasks to start, and when each has to start for its job to be in time.
"""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from . import _durations
from ._node import Moment, Node
from ._policies import queue_of
from ._replicated_state import Job, StepState, is_released, occurrence_of
from .model import Queue, Step

# Age from which the critical path of a waiting job is computed anew, since durations are learned.
RENEW_S = 1.0


class ReadyStep(NamedTuple):
    """
    A step that has tasks to start.

    :param sort_key: position in the start order while there is room for all, lowest first.
    :param critical_path_s: expected time that the job needs from this step on.
    :param slack_s: what the objective allows beyond the whole job's critical path.
    """

    sort_key: tuple[float, ...]
    job: Job
    queue: Queue
    occurrence: int
    step_index: int
    state: StepState
    critical_path_s: float = 0.0
    slack_s: float = 0.0

    @property
    def id(self) -> tuple[str, int, int]:
        """
        Job, occurrence and index of the step.
        """
        return (self.job.id, self.occurrence, self.step_index)


def waiting_steps(node: Node, at: Moment) -> Iterator[tuple[ReadyStep, bool]]:
    """
    Yield the steps that have tasks without a run, and whether these may start.

    :param node: the instance.
    :param at: the time.
    :returns: the steps in no particular order; those that may not start yet have an empty sort key.
    """
    for job in node.replicated.open_jobs.values():
        queue = queue_of(node, job)
        if queue is None:
            continue
        for number in _due_occurrences(job, at):
            for index, state in enumerate(occurrence_of(job, number)):
                if not state.waiting:
                    continue
                if is_released(job, number, index):
                    yield _released_step(node, at, job, queue, number, index, state), True
                elif queue.has_advice:
                    yield ReadyStep((), job, queue, number, index, state), False


def _due_occurrences(job: Job, at: Moment) -> Iterator[int]:
    if not job.spec.repeats:
        yield 0
        return
    for number in range(job.spec.repeats):
        if at.wall_ms < job.spec.start_at_ms + number * job.spec.interval_ms:
            return
        yield number


def _released_step(
    node: Node, at: Moment, job: Job, queue: Queue, number: int, index: int, state: StepState
) -> ReadyStep:
    """
    Return a step that may start. Except for long-running tasks, the last element of its sort key is
    the latest time at which it has to start to meet the objective.
    """
    if state.step.is_long_running:
        sort_key = (0.0, float(state.step.is_backfill), job.seen_s)
        return ReadyStep(sort_key, job, queue, number, index, state)
    if not job.critical_path_s or at.now_s - job.critical_path_at_s >= RENEW_S:
        durations_s = [
            _durations.expected_s(node.replicated, job, step) for step in range(len(job.spec.steps))
        ]
        job.critical_path_s = critical_paths_s(job.spec.steps, durations_s)
        job.critical_path_at_s = at.now_s
    since_s = job.seen_s
    if job.spec.repeats:
        start_ms = job.spec.start_at_ms + number * job.spec.interval_ms
        since_s = at.now_s - (at.wall_ms - start_ms) / 1000
    whole_s, left_s = job.critical_path_s[0], job.critical_path_s[index]
    objective_s = queue.slack_factor * whole_s + queue.target_ms / 1000
    due_s = since_s + objective_s
    if not job.spec.repeats:
        job.due_s = due_s
    sort_key = (1.0, float(queue.priority), due_s - left_s)
    return ReadyStep(
        sort_key, job, queue, number, index, state, left_s, max(0.0, objective_s - whole_s)
    )


def critical_paths_s(steps: Sequence[Step], durations_s: Sequence[float]) -> tuple[float, ...]:
    """
    Return the remaining critical path by expected durations, for each step.

    The value of a step counts the steps with lower numbers as done.

    :param steps: the steps of a job.
    :param durations_s: expected duration of a task of each step.
    :returns: seconds for each step; the first value is the critical path of the whole job.
    """
    return tuple(critical_path_s(steps, durations_s, first) for first in range(len(steps)))


def critical_path_s(steps: Sequence[Step], durations_s: Sequence[float], first: int) -> float:
    """
    Return the remaining critical path from one step on.

    :param steps: the steps of a job.
    :param durations_s: expected duration of a task of each step.
    :param first: number of the step; those with lower numbers count as done.
    :returns: seconds.
    """
    longest = [0.0] * len(steps)
    for index, step in enumerate(steps):
        preceding_s = max((longest[earlier] for earlier in step.after), default=0.0)
        longest[index] = preceding_s + (durations_s[index] if index >= first else 0.0)
    return max(longest)
