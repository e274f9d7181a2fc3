"""
Sums up the room of the pools and the work that waits for it.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from . import (
    _candidates,
    _durations,
    _evacuation,
    _instances,
    _isolation,
    _policies,
    _replicated_state,
)
from ._node import Moment, Node, Worker
from ._replicated_state import Job, StepState, occurrence_of
from .model import NO_RESOURCES, Queue, Resources

# Weight with which work of steps that wait for earlier ones counts.
BLOCKED_STEP_WEIGHT = 0.5
# Least time for which work of unknown duration is planned.
LEAST_S = 0.1


def room(node: Node, at: Moment, pool: str) -> Resources:
    """
    Return the resources of the workers of a pool that take tasks now, free or in use.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param pool: name of the pool.
    :returns: the sum over the workers.
    """
    total = NO_RESOURCES
    for candidate in _candidates.pool_candidates(node, at, pool):
        total = total.plus(candidate.worker.entry.capacity)
    return total


def gainable_room(node: Node, pool: str) -> Resources:
    """
    Return the resources of the instances that could move to a pool: those on standby or on the way
    there, and what other pools have beyond the size that they should have.

    :param node: the instance, which owns the log.
    :param pool: name of the pool.
    :returns: the sum; an upper bound, since other pools may need them too.
    """
    fleet = node.fleet
    services = node.config.services if node.config is not None else {}
    members: dict[str, list[Resources]] = defaultdict(list)
    for instance, row in fleet.rows.items():
        is_evacuated = _evacuation.is_evacuated(node, row.zone)
        if row.state != _instances.DOWN and instance not in fleet.wave_of and not is_evacuated:
            members[fleet.pool_of.get(instance, row.pool)].append(row.capacity)
    total = NO_RESOURCES
    for name, capacities in members.items():
        service = services.get(name)
        if service is None or name == pool:
            continue
        count = len(capacities)
        if not service.is_standby:
            sizing = node.pools.get(name)
            count = max(0, count - sizing.wanted) if sizing is not None else 0
        for capacity in capacities[:count]:
            total = total.plus(capacity)
    return total


def scaled(resources: Resources, factor: float) -> Resources:
    """
    Return a multiple of some resources.

    :param resources: the resources.
    :param factor: the factor.
    :returns: the amounts, rounded.
    """
    return Resources(*(round(amount * factor) for amount in resources))


def longest_s(work: Resources, capacity: Resources) -> float:
    """
    Return how long some work takes if all of a pool's room does it.

    :param work: resources times seconds.
    :param capacity: resources of the pool.
    :returns: seconds by the scarcest resource; infinite if it is needed and there is none.
    """
    seconds = 0.0
    for amount, total in zip(work, capacity, strict=True):
        if amount > 0:
            seconds = max(seconds, amount / total if total > 0 else float("inf"))
    return seconds


class WorkspaceNeed(NamedTuple):
    """
    What the waiting work of a workspace needs in a pool; work of finite duration only.

    :param waiting: resources of the tasks that wait; those of blocked steps count in part.
    :param paced: resources with which they are done within their objectives.
    :param priority: lowest number, which is the highest priority, of the queues with work there.
    """

    waiting: Resources = NO_RESOURCES
    paced: Resources = NO_RESOURCES
    priority: int = 0


class PoolNeed(NamedTuple):
    """
    What the work of a pool needs.

    :param fixed: resources of long-running tasks that run or wait, and what the pool's workers have
        lost of their instances' capacity.
    :param running: resources of the running tasks of finite duration.
    :param workspaces: what waits otherwise, by workspace, with all that have such work there.
    :param isolating: number of workers that tasks in isolation need for themselves.
    :param spread: number of workers over which long-running tasks are spread.
    """

    fixed: Resources
    running: Resources
    workspaces: Mapping[str, WorkspaceNeed]
    isolating: int = 0
    spread: int = 0

    @property
    def waiting(self) -> Resources:
        """
        Resources of the waiting tasks of finite duration.
        """
        return _sum(need.waiting for need in self.workspaces.values())

    @property
    def total(self) -> Resources:
        """
        Resources of everything that runs or waits.
        """
        return _sum((self.fixed, self.running, self.waiting))


NO_NEED = PoolNeed(NO_RESOURCES, NO_RESOURCES, {})


def pool_needs(node: Node, at: Moment) -> dict[str, PoolNeed]:
    """
    Return what the work of each pool needs.

    :param node: the instance, which owns the log.
    :param at: the time.
    :returns: the needs of the pools that have workers or work.
    """
    fixed: dict[str, Resources] = defaultdict(lambda: NO_RESOURCES)
    running: dict[str, Resources] = defaultdict(lambda: NO_RESOURCES)
    waiting: dict[str, dict[str, WorkspaceNeed]] = defaultdict(dict)
    spread: dict[str, int] = defaultdict(int)
    _add_running(node, fixed, running)
    for job in node.replicated.open_jobs.values():
        queue = _policies.queue_of(node, job)
        if queue is None:
            continue
        if job.is_long_running:
            fixed[queue.service] = fixed[queue.service].plus(_waiting_of(job))
            spread[queue.service] = max(spread[queue.service], _spread_of(job))
        else:
            needs = waiting[queue.service]
            needs[job.workspace] = _with_job(node, at, needs.get(job.workspace), job, queue)
    for worker in node.workers.values():
        if worker.is_listed:
            service = worker.entry.service
            fixed[service] = fixed[service].plus(_lost(node, worker))
    isolating = _count_isolating(node)
    return {
        pool: PoolNeed(fixed[pool], running[pool], waiting[pool], isolating[pool], spread[pool])
        for pool in {*fixed, *running, *waiting, *isolating}
    }


def _add_running(node: Node, fixed: dict[str, Resources], running: dict[str, Resources]) -> None:
    """
    Add what runs outside evacuated availability zones; what runs there needs no further room.
    """
    for worker_id, runs in node.replicated.running.items():
        worker = node.workers.get(worker_id)
        if worker is None or _evacuation.is_evacuated(node, worker.entry.zone):
            continue
        lasting = NO_RESOURCES
        for key in runs:
            job = node.replicated.jobs[key.job]
            if job.spec.steps[key.step].is_long_running:
                lasting = lasting.plus(occurrence_of(job, key.occurrence)[key.step].resources)
        service = worker.entry.service
        load = node.replicated.load.get(worker_id, NO_RESOURCES)
        fixed[service] = fixed[service].plus(lasting)
        running[service] = running[service].plus(load.minus(lasting))


def _waiting_of(job: Job) -> Resources:
    """
    Return the resources of the waiting tasks of a job.
    """
    total = NO_RESOURCES
    for number, index, state in _waiting_steps(job):
        total = total.plus(_weighted(job, number, index, state))
    return total


def _spread_of(job: Job) -> int:
    """
    Return over how many workers the long-running tasks of a job have to be spread.
    """
    return max(
        (
            math.ceil(state.unfinished / state.step.max_per_worker)
            for number in job.occurrences or (0,)
            for state in occurrence_of(job, number)
            if state.step.is_long_running and state.step.max_per_worker
        ),
        default=0,
    )


def _waiting_steps(job: Job) -> Iterator[tuple[int, int, StepState]]:
    for number in job.occurrences or (0,):
        for index, state in enumerate(occurrence_of(job, number)):
            if state.waiting:
                yield number, index, state


def _weighted(job: Job, number: int, index: int, state: StepState) -> Resources:
    is_released = _replicated_state.is_released(job, number, index)
    weight = 1.0 if is_released else BLOCKED_STEP_WEIGHT
    return scaled(state.resources, weight * state.waiting)


def _with_job(
    node: Node, at: Moment, need: WorkspaceNeed | None, job: Job, queue: Queue
) -> WorkspaceNeed:
    """
    Add what waits of a job to the need of its workspace.
    """
    total, paced = NO_RESOURCES, NO_RESOURCES
    for number, index, state in _waiting_steps(job):
        waiting = _weighted(job, number, index, state)
        duration_s = _durations.expected_s(node.replicated, job, index)
        total = total.plus(waiting)
        # No work needs more room than all of it at once.
        part = min(
            1.0, duration_s / max(duration_s, _window_s(at, job, queue, duration_s), LEAST_S)
        )
        paced = paced.plus(scaled(waiting, part))
    if need is None:
        return WorkspaceNeed(total, paced, queue.priority)
    priority = min(need.priority, queue.priority)
    return WorkspaceNeed(need.waiting.plus(total), need.paced.plus(paced), priority)


def _window_s(at: Moment, job: Job, queue: Queue, duration_s: float) -> float:
    """
    Return the time within which the waiting work of a job should be done: until the end of its
    objective, or the whole objective for a job that has missed it or has no single one.
    """
    if math.isinf(job.due_s):
        return queue.slack_factor * duration_s + queue.target_ms / 1000
    left_s = job.due_s - at.now_s
    return left_s if left_s > 0 else job.due_s - job.seen_s


def _lost(node: Node, worker: Worker) -> Resources:
    """
    Return how much smaller the capacity of a worker is than that of its instance.
    """
    row = node.fleet.rows.get(worker.entry.instance)
    if row is None or row.worker != worker.id or _evacuation.is_evacuated(node, row.zone):
        return NO_RESOURCES
    lost = row.capacity.minus(worker.entry.capacity)
    return Resources(*(max(0, amount) for amount in lost))


def _count_isolating(node: Node) -> Counter[str]:
    """
    Count the workers that the isolated tasks of each pool need for themselves.
    """
    isolating: Counter[str] = Counter()
    for name in node.replicated.suspects:
        queue = _policies.queue_of(node, node.replicated.jobs[name])
        if queue is not None:
            isolating[queue.service] += _isolation.workers_wanted(node, name)
    return isolating


def allowed_parts(node: Node, needs: Iterable[PoolNeed]) -> dict[str, float]:
    """
    Return which part of their waiting work the limits of the workspaces allow to run now.

    :param node: the instance, which owns the log.
    :param needs: needs of all pools, since the limits hold for all of them together.
    :returns: 0 to 1 by workspace.
    """
    waiting: dict[str, Resources] = defaultdict(lambda: NO_RESOURCES)
    for need in needs:
        for name, of_workspace in need.workspaces.items():
            waiting[name] = waiting[name].plus(of_workspace.waiting)
    workspaces = node.config.workspaces if node.config is not None else {}
    parts: dict[str, float] = {}
    for name, amounts in waiting.items():
        workspace = workspaces.get(name)
        limit = workspace.limit if workspace is not None else NO_RESOURCES
        used = node.replicated.used.get(name, NO_RESOURCES)
        parts[name] = min(
            (
                max(0.0, whole - have) / amount
                for whole, have, amount in zip(limit, used, amounts, strict=True)
                if whole and amount
            ),
            default=1.0,
        )
        parts[name] = min(1.0, parts[name])
    return parts


def _sum(amounts: Iterable[Resources]) -> Resources:
    total = NO_RESOURCES
    for amount in amounts:
        total = total.plus(amount)
    return total
