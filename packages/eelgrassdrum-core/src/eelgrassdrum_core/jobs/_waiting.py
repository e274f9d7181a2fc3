"""
Logs why work waits: tasks that may start and do not, and runs that their workers do not confirm.

A new owner knows neither how long a step has waited nor since when a worker is away, so these times
start with its ownership.
"""

from collections import Counter, defaultdict
from typing import NamedTuple

from . import (
    _advice,
    _candidates,
    _evacuation,
    _freshness,
    _journal,
    _leases,
    _limits,
    _members,
    _plan_part,
    _planner,
    _ready,
    _registry,
    _replicated_state,
    _workers,
)
from ._candidates import Candidate
from ._node import Moment, Node, WaitingWork, log_line
from ._ready import ReadyStep
from ._replicated_state import Task

# Work is logged once it has waited for this time; several times what a start usually takes.
MIN_WAIT_S = 1.0
# Interval at which waiting work is determined, and minimum interval between lines of an action and
# pool.
CHECK_INTERVAL_S = 0.25
LINE_INTERVAL_S = 1.0

STALLED = "append_stalled"
OLD_STATE = "log_read_late"
OLD_REGISTRY = "registry_read_late"
LIMIT = "workspace_limit"
FORMER_RUNS = "former_gang_runs"
NO_MEMBERS = "no_members"
NO_USABLE_WORKER = "no_usable_worker"
NO_LABEL = "no_worker_with_label"
NO_ROOM = "no_room"
SPREAD = "max_per_worker"
NO_TICKET = "no_ticket"
GANG_ROOM = "no_room_for_whole_gang"
ISOLATION = "isolation"
# Causes that may be due to an evacuation.
TOO_FEW_WORKERS = (NO_MEMBERS, NO_USABLE_WORKER, NO_LABEL, NO_ROOM, SPREAD, GANG_ROOM)
# The next plans start further tasks of a large step.
NEXT_PART = "next_part"
# No cause was found, so the plan that was just made should have started the task.
NOT_PLANNED = "not_planned"


class WaitingStep(NamedTuple):
    """
    A step whose tasks may start and have not.

    :param since_s: since when none of its tasks has started.
    """

    since_s: float
    item: ReadyStep


class PoolView(NamedTuple):
    """
    A pool as its owner sees it, for metrics.

    :param waiting_tasks: number of tasks that may start and have no run.
    :param members: number of workers by state.
    :param moving_in: number of instances that move to it.
    :param wanted: number of instances that it should have.
    :param needed: number of instances that its work needs, whether they exist or not.
    """

    waiting_tasks: int
    members: dict[str, int]
    moving_in: int
    wanted: int = 0
    needed: int = 0


def pool_views(node: Node, at: Moment) -> dict[str, PoolView]:
    """
    Return the state of each configured pool.

    :param node: the instance.
    :param at: the time.
    :returns: the state by name of the pool; empty if the instance doesn't own the log.
    """
    if node.config is None or not node.ownership.is_owner:
        return {}
    waiting: dict[str, list[ReadyStep]] = defaultdict(list)
    for item, may_start in _ready.waiting_steps(node, at):
        if may_start:
            waiting[item.queue.service].append(item)
    moving = _members.instances_moving_to(node)
    views: dict[str, PoolView] = {}
    for name in node.config.services:
        items = waiting[name]
        first = min(items, key=lambda item: item.sort_key, default=None)
        need = first.state.resources if first is not None else None
        candidates = _candidates.pool_candidates(node, at, name)
        members = _members.count_states(node, at, name, candidates, need)
        tasks = sum(item.state.waiting for item in items)
        pool = node.pools.get(name)
        sizes = (pool.wanted, pool.needed) if pool is not None else (0, 0)
        views[name] = PoolView(tasks, dict(members), moving[name], *sizes)
    return views


def log_if_due(node: Node, at: Moment) -> None:
    """
    Log the work that has waited too long, at most one line per interval, action and pool.

    Nothing is logged before a plan that is due: what it starts doesn't wait.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    work = node.waiting_work
    if work.epoch != node.ownership.epoch:
        work = node.waiting_work = WaitingWork(node.ownership.epoch)
    if node.config is None or at.now_s < work.next_check_s:
        return
    if node.plan_due and not _planner.is_paused(node, at):
        return
    work.next_check_s = at.now_s + CHECK_INTERVAL_S
    for service, steps in _long_waiting(node, at, work).items():
        if _is_line_due(work, at, "work.waiting", service):
            _log_waiting(node, at, service, steps)
    _log_unconfirmed(node, at, work)


def _long_waiting(node: Node, at: Moment, work: WaitingWork) -> dict[str, list[WaitingStep]]:
    """
    Update the waiting steps, and return by pool those that have waited long enough to be logged.
    """
    known, work.steps = work.steps, {}
    waiting: dict[str, list[WaitingStep]] = defaultdict(list)
    for item, may_start in _ready.waiting_steps(node, at):
        if not may_start or item.job.cancelled:
            continue
        key = item.id
        since_s, count = known.get(key, (at.now_s, item.state.waiting))
        if item.state.waiting < count:
            since_s = at.now_s
        work.steps[key] = (since_s, item.state.waiting)
        if at.now_s - since_s >= MIN_WAIT_S:
            waiting[item.queue.service].append(WaitingStep(since_s, item))
    return waiting


def _is_line_due(work: WaitingWork, at: Moment, action: str, service: str) -> bool:
    if at.now_s < work.next_line_s.get((action, service), 0.0):
        return False
    work.next_line_s[action, service] = at.now_s + LINE_INTERVAL_S
    return True


def _log_waiting(node: Node, at: Moment, service: str, steps: list[WaitingStep]) -> None:
    oldest = min(steps, key=lambda step: (step.since_s, step.item.job.seen_s))
    item = oldest.item
    candidates = _candidates.pool_candidates(node, at, service)
    members = _members.count_states(node, at, service, candidates, item.state.resources)
    pool = node.pools.get(service)
    ended = min(_members.ended_members(node, service), key=lambda w: w.ended_s, default=None)
    log_line(
        node,
        "work.waiting",
        pool=service,
        cause=_cause_with_zones(node, at, item, candidates, bool(members)),
        steps=len(steps),
        tasks=sum(step.item.state.waiting for step in steps),
        job=item.job.id,
        step=f"{item.occurrence}.{item.step_index}",
        waiting=item.state.waiting,
        waited_s=round(at.now_s - oldest.since_s, 3),
        age_s=round(at.now_s - item.job.seen_s, 3),
        need=list(item.state.resources),
        members=dict(members),
        ended_worker=ended.id if ended is not None else None,
        ended_s_ago=round(at.now_s - ended.ended_s, 3) if ended is not None else None,
        wanted=pool.wanted if pool is not None else None,
        moving_in=_members.instances_moving_to(node)[service],
    )


def _cause_with_zones(
    node: Node, at: Moment, item: ReadyStep, candidates: list[Candidate], has_members: bool
) -> str:
    """
    Return the cause for which a step does not start: an evacuation, if there is room for a task in
    an evacuated availability zone and too little elsewhere.
    """
    cause = _cause(node, at, item, candidates, has_members)
    if cause in TOO_FEW_WORKERS and _has_evacuated_room(node, at, item):
        return _evacuation.EVACUATED
    return cause


def _has_evacuated_room(node: Node, at: Moment, item: ReadyStep) -> bool:
    """
    Return whether a task of a step could start on a worker, or after the move of an instance from
    standby, if no availability zone were evacuated.
    """
    if not _evacuation.evacuated_since_s(node):
        return False
    service, resources = item.queue.service, item.state.resources
    for worker in node.workers.values():
        is_member = worker.entry.service == service
        if not is_member or not _evacuation.is_evacuated(node, worker.entry.zone):
            continue
        if not _candidates.has_label(item.state.step, worker):
            continue
        is_able = _candidates.accepts_but_for_zone(node, at, worker)
        if is_able and resources.fits(_workers.free_resources(node, worker)):
            return True
    services = node.config.services.values() if node.config is not None else ()
    standby = {other.name for other in services if other.is_standby}
    return any(
        row.pool in standby
        and _evacuation.is_evacuated(node, row.zone)
        and resources.fits(row.capacity)
        for row in node.fleet.rows.values()
    )


def _cause(
    node: Node, at: Moment, item: ReadyStep, candidates: list[Candidate], has_members: bool
) -> str:
    """
    Return the first cause, in the order of the planner's decisions, for which a step does not
    start.
    """
    step, waiting = item.state.step, item.state.waiting
    if _journal.is_stalled(node, at.now_s):
        return STALLED
    if not _freshness.may_decide(node, at):
        return OLD_STATE
    if not _registry.is_current(node, at):
        return OLD_REGISTRY
    if not _evacuation.may_decide(node, at):
        return _evacuation.OLD_RECORDS
    if step.gang and waiting < step.count:
        return FORMER_RUNS
    needed = waiting if step.gang else 1
    if _limits.within_limit(node, item.job, step, waiting) < needed:
        return LIMIT
    if not candidates:
        return NO_USABLE_WORKER if has_members else NO_MEMBERS
    return _cause_at_workers(node, at, item, candidates)


def _cause_at_workers(node: Node, at: Moment, item: ReadyStep, candidates: list[Candidate]) -> str:
    step, resources = item.state.step, item.state.resources
    usable = [c for c in candidates if _candidates.has_label(step, c.worker)]
    if not usable:
        return NO_LABEL
    usable = [c for c in usable if resources.fits(c.free[0])]
    if not usable:
        return NO_ROOM
    if step.max_per_worker:
        counts = _candidates.tasks_per_worker(item.state)
        usable = [c for c in usable if counts[c.worker.id] < step.max_per_worker]
    if not usable:
        return SPREAD
    if item.queue.has_advice:
        usable = [c for c in usable if _advice.valid_ticket(node, at, item.id, c.worker.id)]
    if not usable:
        return NO_TICKET
    if all(_is_suspect_or_started(task) for task in item.state.tasks):
        return ISOLATION
    if _plan_part.is_large(item):
        return NEXT_PART
    return GANG_ROOM if step.gang else NOT_PLANNED


def _is_suspect_or_started(task: Task) -> bool:
    return bool(task.crashes) or task.status != _replicated_state.WAITING


def _log_unconfirmed(node: Node, at: Moment, work: WaitingWork) -> None:
    """
    Log the runs that their workers have not confirmed for too long; their tasks can't start again
    until the runs are known to have ended.
    """
    known, work.unconfirmed = work.unconfirmed, {}
    by_pool: dict[str, list[tuple[float, str, str]]] = defaultdict(list)
    for worker_id, runs in node.replicated.running.items():
        worker = node.workers.get(worker_id)
        worker_state = _members.UNLISTED if worker is None else _members.unconfirmed_state(worker)
        for key, task in runs.items():
            state = worker_state
            if worker is not None and not state:
                state = _members.unconfirmed_run_state(worker, task, at.now_s)
            if not state:
                continue
            place = (worker_id, key, bool(worker_state))
            since_s = work.unconfirmed[place] = known.get(place, at.now_s)
            if at.now_s - since_s >= MIN_WAIT_S:
                by_pool[node.replicated.jobs[key.job].service].append((since_s, key.job, state))
    for service, rows in by_pool.items():
        if not _is_line_due(work, at, "work.unconfirmed", service):
            continue
        since_s, job, _state = min(rows)
        log_line(
            node,
            "work.unconfirmed",
            pool=service,
            job=job,
            waited_s=round(at.now_s - since_s, 3),
            runs=dict(Counter(state for _since_s, _job, state in rows)),
        )
    _log_awaited(node, at, work)


def _log_awaited(node: Node, at: Moment, work: WaitingWork) -> None:
    """
    Log for each worker that doesn't confirm its runs what the owner knows of its end: the registry
    entry, its instance, and until when its leases count.
    """
    awaited = {
        worker_id: since_s
        for (worker_id, _key, is_of_worker), since_s in work.unconfirmed.items()
        if is_of_worker
    }
    for worker_id, since_s in awaited.items():
        is_long = at.now_s - since_s >= MIN_WAIT_S
        if not is_long or not _is_line_due(work, at, "worker.awaited", worker_id):
            continue
        worker = node.workers.get(worker_id)
        place = node.replicated.places.get(worker_id)
        if worker is not None:
            instance, end = worker.entry.instance, _leases.lease_end(node, worker)
        else:
            instance = place.instance if place is not None else ""
            end = _leases.unlisted_lease_end(node, worker_id)
        row = node.fleet.rows.get(instance)
        log_line(
            node,
            "worker.awaited",
            worker=worker_id,
            runs=len(node.replicated.running[worker_id]),
            waited_s=round(at.now_s - since_s, 3),
            state=_members.UNLISTED if worker is None else _members.unconfirmed_state(worker),
            is_listed=worker is not None and worker.is_listed,
            instance=instance,
            instance_state=row.state if row is not None else None,
            instance_worker=row.worker if row is not None else None,
            list_age_s=round(at.now_s - node.fleet.rows_s, 3) if node.fleet.rows else None,
            lease_left_s=round(end.over_s - at.now_s, 3),
            lease_source=end.source,
        )
