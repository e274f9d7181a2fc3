"""
Orders the steps whose tasks may start. This is the only place that does.

Long-running tasks go first, since they must never wait while there is capacity for them. Other
steps follow by priority and then by their latest start. In a pool with less room than work, those
go first that can be in time together, within the shares of their workspaces (`_on_time`), and those
that are late go last. Late work gets a bounded part of the room before all other work, by age, so
that it isn't passed over for as long as the pool is full.
"""

import math
from collections import defaultdict
from operator import itemgetter
from typing import NamedTuple

from . import _admission, _durations, _evacuation, _on_time, _policies, _pool_needs, _shares
from ._admission import Growth
from ._node import Moment, Node, log_line
from ._on_time import Selection, WaitingWork
from ._ready import ReadyStep
from ._replicated_state import QUEUED, RUNNING, Job, occurrence_of
from ._runs import tasks_of
from .model import NO_RESOURCES, Resources

# Part of a pool's room that late work may use while other work waits.
LATE_PART = 1 / 10
# Part of its slack with which work has to be expected to start, since durations are estimates.
MARGIN_PART = 1 / 8
# A job that has begun counts as late once less than this part of what it still needs is left.
LEAST_PART = 1 / 2
# Time until work that waits begins to start: tasks of a full pool end all the while.
LEAD_S = 0.0
# Time from the end of a task until another one uses its room: a list, a record and an order.
TURNOVER_S = 0.1
# Workspaces that use less than this part of what the heaviest one uses, for their weight, go first.
LIGHT_PART = 1 / 2
# Interval between selections in a pool, a tenth of the slack of short jobs; in between, what starts
# next follows the latest one.
SELECT_INTERVAL_S = 0.1
# Minimum interval between lines about the order of a pool.
LINE_INTERVAL_S = 1.0
# Places of groups in `_PoolOrder`.
FIRST = 1
PUT_OFF = 2

StepId = tuple[str, int, int]


class _PoolOrder(NamedTuple):
    """
    The steps of a pool in the order in which they are placed.

    :param reserved: late steps for which room is reserved.
    :param first: the steps that can be in time.
    :param put_off: steps that could be in time if others waited.
    :param late: the other late steps.
    """

    reserved: list[ReadyStep]
    first: list[ReadyStep]
    put_off: list[ReadyStep]
    late: list[ReadyStep]


class PoolRanks(NamedTuple):
    """
    Places in the order of a pool.

    :param made_s: when the order was made.
    :param ranks: for each step, its group in `_PoolOrder` and its place there.
    """

    made_s: float
    ranks: dict[StepId, tuple[int, float]]


def in_start_order(node: Node, at: Moment, ready: list[ReadyStep]) -> list[ReadyStep]:
    """
    Return the steps in the order in which their tasks are placed.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param ready: the steps that may start.
    :returns: the same steps, the first one to place first.
    """
    _shares.update(node, at)
    node.late_jobs = {job for job in node.late_jobs if job in node.replicated.open_jobs}
    lasting: list[ReadyStep] = []
    calm: list[ReadyStep] = []
    scarce: dict[str, list[ReadyStep]] = defaultdict(list)
    for item in sorted(ready, key=lambda item: item.sort_key):
        if item.state.step.is_long_running:
            lasting.append(item)
        elif item.queue.service in node.scarce_pools:
            scarce[item.queue.service].append(item)
        else:
            calm.append(item)
    node.pool_ranks = {pool: ranks for pool, ranks in node.pool_ranks.items() if pool in scarce}
    node.selections = {pool: node.selections[pool] for pool in node.pool_ranks}
    node.pool_loads = {pool: node.pool_loads[pool] for pool in node.pool_ranks}
    orders = [_current_order(node, at, pool, items) for pool, items in scarce.items()]
    # What a pool with room starts only takes up what the limits of workspaces leave.
    groups = zip(*orders, strict=True) if orders else ()
    ordered = [item for group in groups for items in group for item in items]
    return [*lasting, *calm, *ordered]


def note_scarce(node: Node, pools: frozenset[str]) -> None:
    """
    Note the pools in which a plan found too little room.

    :param node: the instance, which owns the log.
    :param pools: names of the pools.
    """
    node.scarce_pools = pools


def _current_order(node: Node, at: Moment, pool: str, items: list[ReadyStep]) -> _PoolOrder:
    """
    Order the steps of a scarce pool by its latest selection, or by a new one if that is due.
    """
    former = node.pool_ranks.get(pool)
    if former is not None and at.now_s - former.made_s < SELECT_INTERVAL_S:
        return _by_ranks(former, items)
    order = _order_scarce(node, at, pool, items)
    ranks = {
        item.id: (group, float(place))
        for group, steps in enumerate(order)
        for place, item in enumerate(steps)
    }
    node.pool_ranks[pool] = PoolRanks(at.now_s, ranks)
    return order


def _by_ranks(former: PoolRanks, items: list[ReadyStep]) -> _PoolOrder:
    """
    Order steps by an earlier order. Of those that it doesn't contain, the next steps of jobs that
    have begun go first, behind the others there; new jobs wait for the next selection.
    """
    groups: list[list[tuple[float, ReadyStep]]] = [[], [], [], []]
    for item in items:
        unknown = (FIRST if _is_begun(item) else PUT_OFF, math.inf)
        group, place = former.ranks.get(item.id, unknown)
        groups[group].append((place, item))
    for group_items in groups:
        group_items.sort(key=itemgetter(0))
    return _PoolOrder(*([item for _place, item in steps] for steps in groups))


def _order_scarce(node: Node, at: Moment, pool: str, items: list[ReadyStep]) -> _PoolOrder:
    """
    Order the steps of a pool that has less room than work.
    """
    room = _room_soon(node, at, pool)
    steps = [_waiting_work(node, item, room) for item in items]
    shares = _shares.of_pool(node, pool, room)
    selection = _on_time.select_on_time(steps, at.now_s, LEAD_S, shares)
    node.selections[pool] = selection
    _note_load(node, pool, items, steps, selection, room)
    order = _divide(node, at, pool, items, steps, room)
    _note_put_off(node, items, order.put_off)
    _log_order(node, at, pool, order, room)
    return order


def _note_load(
    node: Node,
    pool: str,
    items: list[ReadyStep],
    steps: list[WaitingWork],
    selection: Selection,
    room: Resources,
) -> None:
    """
    Note the load of a scarce pool, by which further jobs are admitted.
    """
    possible = _possible_steps(node, pool, items, steps)
    growth = _growth(node, pool, room)
    shares, made_s = selection.shares, selection.made_s
    load = _admission.pool_load(possible, made_s, LEAD_S, shares, room, growth)
    if len(load.steps) == len(steps):
        load.selections[load.last_priority] = selection
    node.pool_loads[pool] = load


def _divide(
    node: Node,
    at: Moment,
    pool: str,
    items: list[ReadyStep],
    steps: list[WaitingWork],
    room: Resources,
) -> _PoolOrder:
    """
    Divide the steps of a scarce pool by its selection and by whether they are late.
    """
    selection = node.selections[pool]
    first = _lightest_first(selection, [items[place] for place in sorted(selection.places)])
    put_off: list[ReadyStep] = []
    late: list[ReadyStep] = []
    for place, (item, step) in enumerate(zip(items, steps, strict=True)):
        if place not in selection.places:
            (put_off if step.latest_start_s >= at.now_s else late).append(item)
    node.late_jobs |= {item.job.id for item in late}
    late.sort(key=lambda item: (not _is_begun(item), item.job.seen_s))
    reserved = _within_reserve(node, pool, late, room)
    return _PoolOrder(reserved, first, put_off, late[len(reserved) :])


def _note_put_off(node: Node, items: list[ReadyStep], put_off: list[ReadyStep]) -> None:
    """
    Note which of the steps of a scarce pool are put off; these are put off again first.
    """
    node.put_off = {key for key in node.put_off if key[0] in node.replicated.open_jobs}
    node.put_off -= {(item.job.id, item.occurrence) for item in items}
    node.put_off |= {(item.job.id, item.occurrence) for item in put_off}


def _lightest_first(selection: Selection, items: list[ReadyStep]) -> list[ReadyStep]:
    """
    Move the steps of workspaces that use much for their weight behind those of the others.
    """
    uses_s = {name: load.weighted_use_s for name, load in selection.loads.items()}
    limit_s = LIGHT_PART * max(uses_s.values(), default=0.0)
    return sorted(items, key=lambda item: uses_s[item.job.workspace] >= limit_s)


def _room_soon(node: Node, at: Moment, pool: str) -> Resources:
    """
    Return the resources of a pool once the instances that move to it have arrived.
    """
    room = _pool_needs.room(node, at, pool)
    for instance, target in node.fleet.pool_of.items():
        row = node.fleet.rows.get(instance)
        if row is None or _evacuation.is_evacuated(node, row.zone):
            continue
        if target == pool and row.pool != pool:
            room = room.plus(row.capacity)
    return room


def _growth(node: Node, pool: str, room: Resources) -> Growth:
    """
    Return how much the instances that could move to a pool would enlarge it.
    """
    gainable = _pool_needs.gainable_room(node, pool)
    factors = [
        (amount + more) / amount for amount, more in zip(room, gainable, strict=True) if amount > 0
    ]
    return Growth(node.bounds.move_s, min(factors, default=1.0))


def _possible_steps(
    node: Node, pool: str, items: list[ReadyStep], steps: list[WaitingWork]
) -> list[WaitingWork]:
    """
    Return the work of the steps that some worker of the pool could run if it were empty.
    """
    entries = [
        worker.entry
        for worker in node.workers.values()
        if worker.is_listed and worker.entry.service == pool
    ]
    is_possible: dict[tuple[Resources, str], bool] = {}
    possible: list[WaitingWork] = []
    for item, step in zip(items, steps, strict=True):
        resources, label = item.state.resources, item.state.step.label
        key = (resources, label)
        if key not in is_possible:
            is_possible[key] = any(
                resources.fits(entry.capacity) and (not label or label in entry.labels)
                for entry in entries
            )
        if is_possible[key]:
            possible.append(step)
    return possible


def _waiting_work(node: Node, item: ReadyStep, room: Resources) -> WaitingWork:
    left_s = item.critical_path_s
    is_begun = _is_begun(item)
    tolerance_s = LEAST_PART * left_s if is_begun else safe_slack_s(item.slack_s) - item.slack_s
    return WaitingWork(
        item.job.workspace,
        float(item.queue.priority),
        item.sort_key[-1] + tolerance_s,
        work_s(node, item, room),
        is_begun,
        (item.job.id, item.occurrence) in node.put_off,
    )


def safe_slack_s(slack_s: float) -> float:
    """
    Return the part of a slack within which work has to be expected to start.

    :param slack_s: time within which a job that hasn't begun has to start.
    :returns: the time less a margin.
    """
    return (1 - MARGIN_PART) * slack_s


def _is_begun(item: ReadyStep) -> bool:
    """
    Return whether a task of a job has begun or is ordered to.
    """
    states = occurrence_of(item.job, item.occurrence)
    return item.job.state != QUEUED or any(state.waiting < state.unfinished for state in states)


def work_s(node: Node, item: ReadyStep, room: Resources) -> float:
    """
    Return what waits of a job, from a step on, in seconds of a pool's whole room.

    :param node: the instance, which owns the log.
    :param item: the step.
    :param room: resources of the pool.
    :returns: seconds by the scarcest resource; infinite if it is needed and there is none.
    """
    states = occurrence_of(item.job, item.occurrence)
    waiting = [state.waiting if i >= item.step_index else 0 for i, state in enumerate(states)]
    return _work_of_tasks_s(node, item.job, waiting, room)


def job_work_s(node: Node, job: Job, room: Resources) -> float:
    """
    Return the work of a job that hasn't begun, in seconds of a pool's whole room.

    :param node: the instance, which owns the log.
    :param job: the job, which doesn't have to be in the replicated state.
    :param room: resources of the pool.
    :returns: as `work_s`.
    """
    return _work_of_tasks_s(node, job, [step.count for step in job.spec.steps], room)


def _work_of_tasks_s(node: Node, job: Job, counts: list[int], room: Resources) -> float:
    """
    Return the work of some tasks of each step of a job.
    """
    work = [0.0, 0.0, 0.0]
    for index, count in enumerate(counts):
        if not count:
            continue
        duration_s = _durations.expected_s(node.replicated, job, index) + TURNOVER_S
        seconds = count * duration_s / (1 - LATE_PART)
        for place, amount in enumerate(job.spec.steps[index].resources):
            work[place] += amount * seconds
    return _pool_needs.longest_s(Resources(*map(round, work)), room)


def _within_reserve(
    node: Node, pool: str, late: list[ReadyStep], room: Resources
) -> list[ReadyStep]:
    """
    Return the first late steps for which room is reserved, beside what runs of late jobs.
    """
    used = _late_use(node, pool)
    for count, item in enumerate(late):
        if _shares.dominant_part(used, room) >= LATE_PART:
            return late[:count]
        waiting = item.state.waiting
        used = used.plus(Resources(*(amount * waiting for amount in item.state.resources)))
    return late


def _late_use(node: Node, pool: str) -> Resources:
    """
    Return the resources of running tasks whose jobs were late when they started.
    """
    used = NO_RESOURCES
    for name in node.late_jobs:
        job = node.replicated.open_jobs.get(name)
        queue = _policies.queue_of(node, job) if job is not None else None
        if job is None or queue is None or queue.service != pool:
            continue
        for task in tasks_of(job):
            if task.status == RUNNING:
                used = used.plus(job.spec.steps[task.key.step].resources)
    return used


def _log_order(node: Node, at: Moment, pool: str, order: _PoolOrder, room: Resources) -> None:
    if at.now_s < node.next_order_line_s.get(pool, 0.0):
        return
    node.next_order_line_s[pool] = at.now_s + LINE_INTERVAL_S
    selection = node.selections[pool]
    uses_s = {name: load.weighted_use_s for name, load in selection.loads.items()}
    heaviest = max(uses_s, key=uses_s.__getitem__, default=None)
    log_line(
        node,
        "pool.scarce",
        pool=pool,
        first=len(order.first),
        put_off=len(order.put_off),
        late=len(order.reserved) + len(order.late),
        reserved=len(order.reserved),
        work_s=round(selection.work_s, 3),
        lead_s=round(selection.lead_s, 3),
        room=list(room),
        heaviest=heaviest,
        heaviest_use_s=round(uses_s[heaviest], 3) if heaviest is not None else None,
        use_age_s=round(at.now_s - node.recent_use.updated_s, 3),
    )
