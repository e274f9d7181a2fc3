"""
Selects the work that can still be in time when a pool has less room than work.

In an order by latest start alone, a backlog that is longer than the slack of the jobs makes all of
them late: each one waits as long as every other. Here the steps are taken in that order, and as
soon as one could no longer start in time, work is put off until the rest fits: that of the
workspace which uses most for its weight, and of its work what came last. This is the algorithm of
Moore and Hodgson, with the workspaces' shares in place of the sizes of jobs, so that wide jobs are
put off no sooner than narrow ones.
"""

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import msgspec


class WaitingWork(NamedTuple):
    """
    A step that waits, with what is left of its job.

    :param latest_start_s: when the step has to start for its job to meet its objective.
    :param work_s: time that the whole room of the pool needs for what waits of the job.
    :param is_begun: whether a task of the job has started.
    :param was_put_off: whether it was put off before.
    """

    workspace: str
    priority: float
    latest_start_s: float
    work_s: float
    is_begun: bool = False
    was_put_off: bool = False


class PoolShares(NamedTuple):
    """
    What workspaces use of a pool, and what they may.

    :param use_s: what each workspace has used lately, in seconds of the whole room.
    :param weights: weight of each workspace; 1 for others.
    :param limits: part of the room that the limit of a workspace leaves it; the whole for others.
    """

    use_s: Mapping[str, float] = {}
    weights: Mapping[str, float] = {}
    limits: Mapping[str, float] = {}


class WorkspaceLoad(msgspec.Struct, eq=False):
    """
    Work of a workspace that goes first.

    :param use_s: what it has used lately, in seconds of the whole room.
    :param weight: its weight.
    :param work_s: its work, in seconds of the whole room.
    :param removable: places of its steps that may still be put off, the latest last.
    :param returning: the same for steps that were put off before, which are put off again first.
    """

    use_s: float = 0.0
    weight: float = 1.0
    work_s: float = 0.0
    removable: list[int] = []
    returning: list[int] = []

    @property
    def has_removable(self) -> bool:
        """
        Whether any of its steps may be put off.
        """
        return bool(self.removable or self.returning)

    @property
    def weighted_use_s(self) -> float:
        """
        Its recent use and its work that goes first, divided by its weight.
        """
        return (self.use_s + self.work_s) / self.weight


class Selection(msgspec.Struct, eq=False):
    """
    The work of a pool that goes first.

    :param made_s: when it was made.
    :param lead_s: time until the room that was in use became free.
    :param places: places of its steps.
    :param work_s: all of the work, in seconds of the whole room.
    :param loads: work by workspace.
    """

    shares: PoolShares
    made_s: float
    lead_s: float
    places: set[int] = set()
    work_s: float = 0.0
    loads: dict[str, WorkspaceLoad] = {}

    def load_of(self, workspace: str) -> WorkspaceLoad:
        """
        Return the work of a workspace, which is created on first use.

        :param workspace: the workspace.
        :returns: its work.
        """
        load = self.loads.get(workspace)
        if load is None:
            use_s = self.shares.use_s.get(workspace, 0.0)
            weight = self.shares.weights.get(workspace, 1.0)
            load = self.loads[workspace] = WorkspaceLoad(use_s, weight)
        return load

    def own_wait_s(self, workspace: str, work_s: float | None = None) -> float:
        """
        Return how long further work of a workspace waits for what its limit leaves it.

        :param workspace: the workspace.
        :param work_s: its work before that, or ``None`` for all that goes first.
        :returns: seconds; infinite if the limit leaves nothing, 0 without a limit.
        """
        part = self.shares.limits.get(workspace)
        if part is None:
            return 0.0
        if work_s is None:
            work_s = self.load_of(workspace).work_s
        return self.lead_s + work_s / part if part > 0 else math.inf

    def heaviest(self) -> WorkspaceLoad | None:
        """
        Return the work of the workspace that uses most for its weight, of those whose work may be
        put off.

        :returns: the work, or ``None`` if there is none.
        """
        loads = [load for load in self.loads.values() if load.removable or load.returning]
        return max(loads, key=_weighted_use_s, default=None)


def _weighted_use_s(load: WorkspaceLoad) -> float:
    return (load.use_s + load.work_s) / load.weight


def select_on_time(
    steps: Sequence[WaitingWork], now_s: float, lead_s: float, shares: PoolShares
) -> Selection:
    """
    Select the steps that go first, so that as much as possible is in time.

    :param steps: the steps that wait for room in a pool.
    :param now_s: the current time.
    :param lead_s: time until the room that is in use now becomes free.
    :param shares: the shares of the workspaces.
    :returns: the selection; the other steps come after it.
    """
    selection = Selection(shares, now_s, lead_s)
    order = sorted(range(len(steps)), key=lambda i: (steps[i].priority, steps[i].latest_start_s))
    priority = -math.inf
    for place in order:
        step = steps[place]
        if step.priority > priority:
            # Nothing is put off for work of a lower priority.
            priority = step.priority
            for load in selection.loads.values():
                load.removable.clear()
                load.returning.clear()
        slack_s = step.latest_start_s - now_s
        # Work that needs what no worker has never starts.
        if not math.isfinite(step.work_s) or slack_s < 0:
            continue
        own = selection.load_of(step.workspace)
        _add(selection, place, step, own)
        is_kept = True
        own_before_s = own.work_s - step.work_s
        while (
            is_kept
            and selection.own_wait_s(step.workspace, own_before_s) > slack_s
            and own.has_removable
        ):
            is_kept = _put_off_last(selection, steps, own) != place
            own_before_s = own.work_s - step.work_s
        while is_kept and lead_s + selection.work_s - step.work_s > slack_s:
            heaviest = selection.heaviest()
            if heaviest is None:
                break
            is_kept = _put_off_last(selection, steps, heaviest) != place
    return selection


def _put_off_last(selection: Selection, steps: Sequence[WaitingWork], load: WorkspaceLoad) -> int:
    """
    Put off the last step of a workspace that may be put off, and return its place.
    """
    place = (load.returning or load.removable).pop()
    selection.places.discard(place)
    load.work_s -= steps[place].work_s
    selection.work_s -= steps[place].work_s
    return place


def _add(selection: Selection, place: int, step: WaitingWork, load: WorkspaceLoad) -> None:
    selection.places.add(place)
    selection.work_s += step.work_s
    load.work_s += step.work_s
    if not step.is_begun:
        (load.returning if step.was_put_off else load.removable).append(place)


def delay_s(selection: Selection, workspace: str, slack_s: float) -> float:
    """
    Return how much too late a further job of a workspace would start, if it came now.

    A job of a workspace that uses less than another one for its weight isn't late: work of the
    other one is put off for it.

    :param selection: the work that goes first.
    :param workspace: the workspace of the job.
    :param slack_s: time within which the job has to start.
    :returns: seconds beyond that; 0 if it would start in time.
    """
    late_s = selection.own_wait_s(workspace) - slack_s
    if late_s > 0:
        return late_s
    heaviest = selection.heaviest()
    own_s = selection.load_of(workspace).weighted_use_s
    if heaviest is not None and own_s < heaviest.weighted_use_s:
        return 0.0
    return max(0.0, selection.lead_s + selection.work_s - slack_s)


def note_admitted(selection: Selection, workspace: str, work_s: float) -> None:
    """
    Add a job that was accepted since the selection was made.

    :param selection: the selection, updated in place.
    :param workspace: the workspace of the job.
    :param work_s: its work, in seconds of the whole room.
    """
    selection.work_s += work_s
    selection.load_of(workspace).work_s += work_s
