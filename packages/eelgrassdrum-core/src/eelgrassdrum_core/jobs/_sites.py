"""
The workers of a pool that take tasks, and what they have free.
"""

from collections import Counter
from typing import NamedTuple

from . import _replicated_state, _workers
from ._node import Moment, Node, Worker
from ._replicated_state import StepState
from ._runs import runs_on
from .model import Resources, Step

# Jobs in a row that failed on a worker, after which it is tried with one task at a time.
SUSPECT_FAILURES = 2
# Workers that are slow or overdue are left out while at least this part of the pool is neither.
SOUND_POOL_PART = 0.5


class Site(NamedTuple):
    """
    A worker that takes tasks in this plan, and what it has free.
    """

    worker: Worker
    free: list[Resources]


def open_sites(node: Node, at: Moment, service: str) -> list[Site]:
    """
    Give the workers of a pool that take tasks. Slow ones, and those that should have answered by
    now, are left out unless they are most of the pool.

    :param node: the instance.
    :param at: the time.
    :param service: the pool.
    :returns: the workers with what they have free.
    """
    sites = [
        Site(worker, [_workers.free_room(node, worker)])
        for worker in node.workers.values()
        if worker.entry.service == service and takes_work(node, at, worker)
    ]
    sound = [site for site in sites if _is_sound(node, at, site.worker)]
    return sound if len(sound) >= SOUND_POOL_PART * len(sites) else sites


def _is_sound(node: Node, at: Moment, worker: Worker) -> bool:
    return (
        at.now_s >= worker.slow_until_s
        and worker.entry.zone not in node.unreachable_zones
        and not _workers.is_overdue(worker, at.now_s)
    )


def takes_work(node: Node, at: Moment, worker: Worker) -> bool:
    """
    Tell whether tasks may be started on a worker now.

    :param node: the instance.
    :param at: the time.
    :param worker: the worker.
    :returns: whether it takes tasks.
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
    Tell whether a worker seems to fail whatever it starts.

    :param worker: the worker.
    :returns: whether several jobs in a row failed there.
    """
    return len(worker.failed_jobs) >= SUSPECT_FAILURES


def is_busy(node: Node, worker: Worker) -> bool:
    """
    Tell whether anything runs on a worker.

    :param node: the instance.
    :param worker: the worker.
    :returns: whether it has runs.
    """
    return bool(runs_on(node, worker.id)) or bool(worker.unknown_runs)


def has_label(step: Step, worker: Worker) -> bool:
    """
    Tell whether a worker has the label that a step needs.

    :param step: the step.
    :param worker: the worker.
    :returns: whether it has, or none is needed.
    """
    return not step.label or step.label in worker.entry.labels


def seat_counts(state: StepState) -> Counter[str]:
    """
    Count the running tasks of a step by worker.

    :param state: the step.
    :returns: the counts.
    """
    return Counter(task.worker for task in state.tasks if task.status == _replicated_state.RUNNING)


def with_room(state: StepState, sites: list[Site]) -> list[str]:
    """
    Give the workers on which a task of a step would fit.

    :param state: the step.
    :param sites: the workers to choose from.
    :returns: their ids, those with the most free first.
    """
    fitting = [
        site
        for site in sites
        if state.resources.fits(site.free[0]) and has_label(state.step, site.worker)
    ]
    fitting.sort(key=lambda site: -site.free[0].millicores)
    return [site.worker.id for site in fitting]
