"""
Places waiting jobs on workers: a pure function on plain data.

The team with the smallest weighted dominant share is served next (dominant-resource fairness), and
its job is placed on the worker with the least free resources that fits it (best-fit bin packing).
Urgent jobs are placed first. They may preempt jobs of their own team, and jobs of teams that keep
nearly their fair share without them. A worker is reserved for a job that has waited long, so that
smaller jobs can't starve it.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from heapq import heapify, heappop, heappush
from typing import NamedTuple

import msgspec

from ._jobs import ZERO_SIZE, RunningJob, Size, TeamUsage, WaitingJob, Worker
from ._placement_fit import (
    FitIndex,
    build_fit_index,
    exclude_worker,
    find_worker,
    replace_preempted,
    reserve_resources,
)
from ._placement_preempt import PreemptIndex, build_preempt_index, find_victims

# Waiting time after which a worker is reserved for a job.
RESERVE_AFTER_S = 60.0
MAX_RESERVED = 8
# Unplaceable jobs of one team after which its remaining jobs are skipped in this plan.
MAX_MISSES_PER_TEAM = 8
# Fraction of a team's fair share that urgent jobs of other teams can't preempt.
PROTECTED_SHARE_RATIO = 0.95

PARKED_TOO_LARGE = "larger_than_any_worker"
PARKED_NO_LIMIT = "team_may_run_nothing"
PARKED_NO_TEAM = "unknown_team"


class Start(NamedTuple):
    """
    The decision to start a job on a worker, once the preempted jobs have stopped.

    :param preempts: jobs to checkpoint and stop first.
    """

    job: str
    worker: str
    preempts: tuple[str, ...] = ()


class Parked(NamedTuple):
    """
    A job that can't run with the current workers and limits.

    :param reason: reason reported to its submitter.
    """

    job: str
    reason: str


class Placement(NamedTuple):
    """
    The decisions of one plan.

    :param starts: jobs to start, in order.
    :param parked: jobs that can't run, with the reason.
    """

    starts: tuple[Start, ...]
    parked: tuple[Parked, ...]


class _Team(msgspec.Struct):
    """
    State of a team while a plan is computed.

    :param usage: entitlement of the team, and its usage before the plan.
    :param running: number of its jobs that run, or start in this plan.
    :param used: resources reserved by these jobs.
    :param urgent: its urgent jobs that wait.
    :param normal: its other jobs that wait.
    :param misses: number of its jobs for which no worker was found.
    """

    usage: TeamUsage
    running: int
    used: Size
    urgent: deque[WaitingJob]
    normal: deque[WaitingJob]
    misses: int = 0


def place_jobs(
    waiting: Sequence[WaitingJob],
    running: Sequence[RunningJob],
    workers: Sequence[Worker],
    teams: Iterable[TeamUsage],
) -> Placement:
    """
    Decide which jobs start on which workers.

    :param waiting: waiting jobs, in the order preferred by each team.
    :param running: running jobs.
    :param workers: workers that may be used.
    :param teams: all teams.
    :returns: the starts in order, and the jobs that can't run.
    """
    total = _sum_sizes(worker.capacity for worker in workers)
    parked, placeable = _park_unplaceable(waiting, workers, {team.name: team for team in teams})
    index = build_fit_index(workers)
    queues = _group_by_team(placeable, teams)
    starts: list[Start] = []
    _place_urgent(queues, index, running, total, starts)
    _place_normal(queues, index, total, starts)
    return Placement(tuple(starts), tuple(parked))


def dominant_share(used: Size, total: Size, share: float) -> float:
    """
    Return the weighted dominant share of a team.

    :param used: resources reserved by the team's jobs.
    :param total: total resources of the fleet.
    :param share: weight of the team.
    :returns: the dominant share divided by the weight.
    """
    return used.dominant_fraction(total) / share


def _park_unplaceable(
    waiting: Sequence[WaitingJob], workers: Sequence[Worker], teams: dict[str, TeamUsage]
) -> tuple[list[Parked], list[WaitingJob]]:
    capacities = {worker.capacity for worker in workers}
    parked, placeable = [], []
    for job in waiting:
        if job.team not in teams:
            parked.append(Parked(job.id, PARKED_NO_TEAM))
        elif teams[job.team].limit <= 0:
            parked.append(Parked(job.id, PARKED_NO_LIMIT))
        elif not any(job.size.fits(capacity) for capacity in capacities):
            parked.append(Parked(job.id, PARKED_TOO_LARGE))
        else:
            placeable.append(job)
    return parked, placeable


def _group_by_team(waiting: Sequence[WaitingJob], teams: Iterable[TeamUsage]) -> dict[str, _Team]:
    queues = {team.name: _Team(team, team.running, team.used, deque(), deque()) for team in teams}
    for job in waiting:
        team = queues[job.team]
        (team.urgent if job.urgent else team.normal).append(job)
    return queues


def _place_urgent(
    queues: dict[str, _Team],
    index: FitIndex,
    running: Sequence[RunningJob],
    total: Size,
    starts: list[Start],
) -> None:
    preempt_index: PreemptIndex | None = None
    heap = [(_weighted_share(team, total), name) for name, team in queues.items() if team.urgent]
    heapify(heap)
    while heap:
        _, name = heappop(heap)
        team = queues[name]
        if team.running >= team.usage.limit:
            continue
        job = team.urgent.popleft()
        worker = find_worker(index, job.size)
        if worker is not None:
            reserve_resources(index, worker, job.size)
            starts.append(Start(job.id, worker))
            _add_running(team, job.size)
        else:
            preempt_index = preempt_index or build_preempt_index(running, index)
            _preempt(queues, index, preempt_index, total, job, starts)
        if team.urgent:
            heappush(heap, (_weighted_share(team, total), name))


def _preempt(
    queues: dict[str, _Team],
    index: FitIndex,
    preempt_index: PreemptIndex,
    total: Size,
    job: WaitingJob,
    starts: list[Start],
) -> None:
    total_weight = sum(team.usage.share for team in queues.values())
    utilization = _sum_sizes(team.used for team in queues.values()).dominant_fraction(total)

    def may_preempt(running: RunningJob) -> bool:
        team = queues.get(running.team)
        if team is None or running.team == job.team:
            return True
        protected_share = PROTECTED_SHARE_RATIO * utilization * team.usage.share / total_weight
        return team.used.minus(running.size).dominant_fraction(total) >= protected_share

    victims = find_victims(preempt_index, index.free, job.size, may_preempt)
    if victims is None or len({victim.team for victim in victims}) < len(victims) > 1:
        # Each victim is checked alone, so several of one team could leave it less than its share.
        return
    for victim in victims:
        if victim.team in queues:
            team = queues[victim.team]
            team.running -= 1
            team.used = team.used.minus(victim.size)
    replace_preempted(
        index, victims[0].worker, _sum_sizes(victim.size for victim in victims), job.size
    )
    starts.append(Start(job.id, victims[0].worker, tuple(victim.id for victim in victims)))
    _add_running(queues[job.team], job.size)


def _place_normal(
    queues: dict[str, _Team], index: FitIndex, total: Size, starts: list[Start]
) -> None:
    reserved = 0
    heap = [(_weighted_share(team, total), name) for name, team in queues.items() if team.normal]
    heapify(heap)
    while heap and index.by_free_cores:
        _, name = heappop(heap)
        team = queues[name]
        if team.running >= team.usage.limit:
            continue
        job = team.normal.popleft()
        worker = find_worker(index, job.size)
        if worker is not None:
            reserve_resources(index, worker, job.size)
            starts.append(Start(job.id, worker))
            _add_running(team, job.size)
        elif job.waited_s >= RESERVE_AFTER_S and reserved < MAX_RESERVED:
            reserved += 1
            exclude_worker(index, index.by_free_cores[-1])
        team.misses += worker is None
        if team.normal and team.misses < MAX_MISSES_PER_TEAM:
            heappush(heap, (_weighted_share(team, total), name))


def _weighted_share(team: _Team, total: Size) -> float:
    return dominant_share(team.used, total, team.usage.share)


def _add_running(team: _Team, size: Size) -> None:
    team.running += 1
    team.used = team.used.plus(size)


def _sum_sizes(sizes: Iterable[Size]) -> Size:
    total = ZERO_SIZE
    for size in sizes:
        total = total.plus(size)
    return total
