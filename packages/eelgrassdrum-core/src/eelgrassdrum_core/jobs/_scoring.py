"""
Decides whether a worker may take a task, and which of the workers with room takes it.

All conditions and preferences stand here, in the order in which they decide. A condition holds
always; a preference never keeps a task from starting.
"""

from collections import Counter
from typing import NamedTuple

from . import (
    _advice,
    _apart,
    _candidates,
    _isolation,
    _leases,
    _worker_health,
    _workers,
)
from ._candidates import Candidate
from ._node import Moment, Node
from ._ready import ReadyStep
from ._replicated_state import Task


class Score(NamedTuple):
    """
    How well a worker suits a task. Of two scores the greater one is better, and of its fields the
    first one that differs decides.

    :param neighbours: less the more its tasks slow the task down, or are slowed down by it.
    :param fullness: greater the less room it has left: bin packing leaves other instances empty, so
        that they can be maintained or moved.
    """

    is_not_avoided: bool
    is_no_crash_site: bool
    is_unsuspected: bool
    health: float
    is_warm: bool
    is_near_data: bool
    is_in_zone: bool
    neighbours: float
    fullness: int


class Placement(NamedTuple):
    """
    What is placed.

    :param tasks_per_worker: running tasks of the step by worker; needed if the step limits them.
    :param preferred_zone: availability zone of the job's other tasks, or empty.
    :param is_kept_on_rack: whether the task waits for the rack of its data.
    """

    item: ReadyStep
    task: Task
    tasks_per_worker: Counter[str]
    preferred_zone: str = ""
    is_kept_on_rack: bool = False


def may_take(node: Node, at: Moment, placement: Placement, candidate: Candidate) -> bool:
    """
    Return whether a worker that has room for a task may take it.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param placement: what is placed.
    :param candidate: the worker.
    :returns: whether all conditions hold.
    """
    item, task, tasks_per_worker, _zone, is_kept_on_rack = placement
    step, worker = item.state.step, candidate.worker
    if is_kept_on_rack and worker.entry.rack != step.data_rack:
        return False
    if not _candidates.has_label(step, worker):
        return False
    if step.max_per_worker and tasks_per_worker[worker.id] >= step.max_per_worker:
        return False
    if item.queue.has_advice and not _advice.valid_ticket(node, at, item.id, worker.id):
        return False
    return not task.needs_answer or _workers.has_just_answered(worker, at.now_s)


def score(node: Node, at: Moment, placement: Placement, candidate: Candidate) -> Score:
    """
    Return how well a worker suits a task; the highest score is the best.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param placement: what is placed.
    :param candidate: a worker that may take it.
    :returns: the preferences.
    """
    item, task, _counts, preferred_zone, _is_kept = placement
    step, worker = item.state.step, candidate.worker
    return Score(
        is_not_avoided=worker.id not in node.avoided_workers.get(task.key, ()),
        is_no_crash_site=not (task.crashes and _isolation.is_crash_site(node, task, worker)),
        is_unsuspected=not _candidates.is_suspect(worker),
        health=-_worker_health.rank(node, at, worker),
        # How slow a cold worker is isn't known, unlike the cost of remote data.
        is_warm=not _leases.is_cold(worker, at.now_s),
        is_near_data=step.data_rack in ("", worker.entry.rack),
        is_in_zone=preferred_zone in ("", worker.entry.zone),
        neighbours=-_apart.slowdown_class(node, at, step, worker),
        fullness=-candidate.free[0].millicores,
    )


def without_neighbours(score: Score) -> Score:
    """
    Return a score without the preference that rests on what runs on the worker.

    :param score: the score.
    :returns: the other preferences.
    """
    return score._replace(neighbours=0.0)
