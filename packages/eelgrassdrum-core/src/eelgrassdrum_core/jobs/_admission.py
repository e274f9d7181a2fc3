"""
Decides whether a further job of a pool that has less room than work can be of use.

A job that can start in time, within the share of its workspace, is always accepted. One that can't
is accepted as late work while the work before it leaves it of use. Only beyond that it is refused,
with the time after which it could start.
"""

import math
from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import msgspec

from . import _on_time
from ._on_time import PoolShares, Selection, WaitingWork
from .model import NO_RESOURCES, Resources

# Maximum age of a load by which a job is refused; several intervals between two plans.
MAX_LOAD_AGE_S = 0.2
# Age in objectives up to which the end of a job is of use to its caller.
USE_FACTOR = 3.0
# Steps of the iteration that takes the limits of workspaces into account.
LIMIT_STEPS = 4


class Growth(NamedTuple):
    """
    Room that a pool may gain.

    :param after_s: time until instances of other pools have arrived.
    :param factor: the pool's room with all of them, relative to its room without.
    """

    after_s: float = 0.0
    factor: float = 1.0


NO_GROWTH = Growth()


class NewJob(NamedTuple):
    """
    A job that a caller hands in.

    :param age_s: time since its caller first handed it in, as far as is known.
    :param slack_s: time within which it has to start to meet its objective.
    :param safe_slack_s: the same, with the margin by which work goes first.
    :param critical_path_s: time that it takes.
    :param work_s: its work, in seconds of the pool's whole room.
    """

    workspace: str
    priority: float
    age_s: float
    slack_s: float
    safe_slack_s: float
    objective_s: float
    critical_path_s: float
    work_s: float


class Verdict(NamedTuple):
    """
    Whether a job is accepted, and why.

    :param delay_s: how much too late it would start among the work that goes first; 0 if it would
        start in time.
    :param ahead_s: time until the work that goes before it has started, late work included; 0 if
        that doesn't matter.
    :param retry_after_s: time after which further work could start in time, if no other comes; 0 if
        the job is accepted.
    """

    is_refused: bool
    delay_s: float
    ahead_s: float
    retry_after_s: float


WorkByPriority = defaultdict[float, defaultdict[str, float]]


def _no_work() -> WorkByPriority:
    return defaultdict(lambda: defaultdict(float))


class PoolLoad(msgspec.Struct, eq=False):
    """
    The waiting work of a pool that has less room than work, as of a plan.

    :param made_s: when the plan was made.
    :param steps: the steps that wait for room.
    :param lead_s: time until the room that was in use became free.
    :param room: resources of the pool in which work is measured.
    :param selections: the work that goes first, of all steps up to a priority.
    :param work_s: work by priority and workspace, in seconds of the whole room.
    :param timely_s: the part of it that can be in time if other work waits.
    :param last_priority: priority of its least urgent work.
    :param is_complete: whether accepted jobs whose records weren't read yet have been added.
    """

    made_s: float
    steps: Sequence[WaitingWork]
    lead_s: float
    shares: PoolShares
    room: Resources = NO_RESOURCES
    growth: Growth = NO_GROWTH
    selections: dict[float, Selection] = {}
    work_s: WorkByPriority = msgspec.field(default_factory=_no_work)
    timely_s: WorkByPriority = msgspec.field(default_factory=_no_work)
    last_priority: float = 0.0
    is_complete: bool = False


def pool_load(
    steps: Sequence[WaitingWork],
    made_s: float,
    lead_s: float,
    shares: PoolShares,
    room: Resources = NO_RESOURCES,
    growth: Growth = NO_GROWTH,
) -> PoolLoad:
    """
    Return the load of a pool.

    :param steps: the steps that wait for room and that a worker could run.
    :param made_s: the current time.
    :param lead_s: time until the room that is in use now becomes free.
    :param shares: the shares of the workspaces.
    :param room: resources of the pool.
    :param growth: room that the pool may gain.
    :returns: the load.
    """
    # Work that needs what no worker has doesn't delay any other.
    possible = [step for step in steps if math.isfinite(step.work_s)]
    load = PoolLoad(made_s, possible, lead_s, shares, room, growth)
    load.last_priority = max((step.priority for step in possible), default=0.0)
    for step in possible:
        load.work_s[step.priority][step.workspace] += step.work_s
        if step.latest_start_s >= made_s:
            load.timely_s[step.priority][step.workspace] += step.work_s
    return load


def decide(load: PoolLoad, job: NewJob, now_s: float) -> Verdict:
    """
    Decide whether a job is accepted.

    :param load: the load of its pool.
    :param job: the job.
    :param now_s: the current time.
    :returns: the verdict; a job is accepted if the load is too old or its work isn't known.
    """
    if now_s - load.made_s > MAX_LOAD_AGE_S or not math.isfinite(job.work_s):
        return Verdict(False, 0.0, 0.0, 0.0)
    selection = _selection(load, job.priority)
    delay_s = _on_time.delay_s(selection, job.workspace, job.safe_slack_s)
    if delay_s <= 0 or _wait_s(load, job, load.timely_s) <= job.slack_s:
        return Verdict(False, delay_s, 0.0, 0.0)
    ahead_s = _wait_s(load, job, load.work_s)
    if job.age_s + ahead_s + job.critical_path_s <= USE_FACTOR * job.objective_s:
        return Verdict(False, delay_s, ahead_s, 0.0)
    return Verdict(True, delay_s, ahead_s, ahead_s - max(0.0, job.slack_s))


def note_accepted(load: PoolLoad, job: NewJob) -> None:
    """
    Add a job that was accepted since the load was determined.

    :param load: the load, updated in place.
    :param job: the job.
    """
    if not math.isfinite(job.work_s):
        return
    load.work_s[job.priority][job.workspace] += job.work_s
    if job.slack_s >= 0:
        load.timely_s[job.priority][job.workspace] += job.work_s
    for priority, selection in load.selections.items():
        is_first = _on_time.delay_s(selection, job.workspace, job.safe_slack_s) <= 0
        if priority >= job.priority and is_first:
            _on_time.note_admitted(selection, job.workspace, job.work_s)


def _selection(load: PoolLoad, priority: float) -> Selection:
    """
    Return the work that goes first of the steps that don't have a lower priority than a job.
    """
    key = min(priority, load.last_priority)
    selection = load.selections.get(key)
    if selection is None:
        steps = [step for step in load.steps if step.priority <= key]
        selection = _on_time.select_on_time(steps, load.made_s, load.lead_s, load.shares)
        load.selections[key] = selection
    return selection


def _wait_s(load: PoolLoad, job: NewJob, work: WorkByPriority) -> float:
    """
    Return the time until the work has started that goes before a job by the workspaces' shares.
    """
    waiting_s: defaultdict[str, float] = defaultdict(float)
    for priority, by_workspace in work.items():
        if priority <= job.priority:
            for workspace, seconds in by_workspace.items():
                waiting_s[workspace] += seconds
    limits, own_s = load.shares.limits, waiting_s[job.workspace]
    before_s = _before_s(load.shares, waiting_s, job)
    wait_s = _grown(load.growth, load.lead_s + _limited_s(before_s, limits))
    part = limits.get(job.workspace)
    if part is None:
        return wait_s
    return max(wait_s, load.lead_s + own_s / part if part > 0 else math.inf)


def _before_s(shares: PoolShares, waiting_s: Mapping[str, float], job: NewJob) -> dict[str, float]:
    """
    Return the part of each workspace's work that is done before a further job of one of them, if
    the room always goes to the workspace that has used least for its weight.
    """

    def weight(workspace: str) -> float:
        return shares.weights.get(workspace, 1.0)

    def used_s(workspace: str) -> float:
        return shares.use_s.get(workspace, 0.0)

    own = job.workspace
    level_s = (used_s(own) + waiting_s[own] + job.work_s) / weight(own)
    return {
        workspace: min(seconds, max(0.0, level_s * weight(workspace) - used_s(workspace)))
        for workspace, seconds in waiting_s.items()
    }


def _limited_s(work_s: Mapping[str, float], limits: Mapping[str, float]) -> float:
    """
    Return how long the room is busy with some work, of which workspaces with a limit use no more
    than that at a time.
    """
    busy_s = sum(work_s.values())
    for _ in range(LIMIT_STEPS):
        busy_s = sum(
            min(seconds, limits.get(workspace, 1.0) * busy_s)
            for workspace, seconds in work_s.items()
        )
    return busy_s


def _grown(growth: Growth, seconds: float) -> float:
    """
    Return how long something takes that takes some time without the room that may be gained.
    """
    if seconds <= growth.after_s:
        return seconds
    return growth.after_s + (seconds - growth.after_s) / growth.factor
