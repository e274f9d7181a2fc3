"""
Chooses the workers on which tasks start.

While the queues are long a plan is made many times a second. Therefore a plan skips each step that
needs at least as much as another one for which no worker had the resources. What it may decide is
bounded by `_plan_part`.
"""

from collections import Counter
from collections.abc import Collection

from . import (
    _advice,
    _apart,
    _candidates,
    _data_racks,
    _evacuation,
    _freshness,
    _isolation,
    _journal,
    _limits,
    _orders,
    _plan_part,
    _policies,
    _ready,
    _registry,
    _replicated_state,
    _scoring,
    _snapshot,
    _start_order,
    _worker_health,
    _workers,
    effects,
)
from ._candidates import Candidate
from ._data_racks import RackQueues
from ._isolation import Isolation, must_isolate
from ._node import Moment, Node, log_line
from ._plan_part import PlanPart
from ._ready import ReadyStep
from ._replicated_state import Task, occurrence_of
from ._runs import close_job
from ._scoring import Placement
from .model import NO_RESOURCES, Resources, Step

# Minimum time between two starts on a suspect worker.
SUSPECT_INTERVAL_S = 2.0
# Interval between plans while tasks wait for resources; a fiftieth of the slack of short jobs.
REPLAN_INTERVAL_S = 0.02
# Workers that are called at a time for a task that starts only on one that has just answered.
MAX_CALLED_WORKERS = 4


class PoolCandidates:
    """
    The candidate workers of a pool in one plan.

    :param candidates: the workers that accept tasks.
    :param slow: the workers that are left out as slow.
    :param isolating: the workers that accept only isolated tasks.
    :param unplaceable: resources that no worker had free; they stay unplaceable, since free
        resources only decrease during a plan.
    :param rack_queues: tasks that wait for the racks of their data.
    :param spare: what the rest of large steps leaves free; ``None`` if there are none.
    """

    def __init__(self, candidates: list[Candidate], slow: Collection[Candidate] = ()) -> None:
        """
        :param candidates: the workers that accept tasks.
        :param slow: the workers that are left out as slow.
        """
        self.candidates = candidates
        self.slow = slow
        self.isolating: list[Candidate] = []
        self.unplaceable: list[Resources] = []
        self.rack_queues = RackQueues()
        self.spare: Resources | None = None

    def may_fit(self, resources: Resources) -> bool:
        """
        Return whether resources are worth trying to place.

        :param resources: the resources that a task needs.
        :returns: whether there are candidates, and the task needs less of some resource than each
            request that could not be placed.
        """
        return bool(self.candidates) and not any(
            unplaced.fits(resources) for unplaced in self.unplaceable
        )

    def leaves_spare(self, resources: Resources) -> bool:
        """
        Return whether resources are free beside those that are kept for large steps.

        :param resources: the resources that tasks need.
        :returns: whether the tasks may take them.
        """
        return self.spare is None or resources.fits(self.spare)

    def keep(self, resources: Resources) -> None:
        """
        Keep free resources for the rest of a large step.

        :param resources: what the rest needs.
        """
        if self.spare is None:
            self.spare = NO_RESOURCES
            for candidate in self.candidates:
                self.spare = self.spare.plus(candidate.free[0])
        self.spare = self.spare.minus(resources)

    def take(self, resources: Resources) -> None:
        """
        Take resources for a task that starts.

        :param resources: what it needs.
        """
        if self.spare is not None:
            self.spare = self.spare.minus(resources)

    def with_short_queues(self) -> "PoolCandidates":
        """
        Return the workers that may take tasks of large steps.

        :returns: those with few orders that were not sent.
        """
        pool = PoolCandidates(_with_short_queues(self.candidates), _with_short_queues(self.slow))
        pool.rack_queues = self.rack_queues
        return pool

    def usable_for(self, step: Step) -> list[Candidate]:
        """
        Return the workers that accept tasks of a step. Slow ones do if no other has the label that
        the step needs: the step would otherwise wait for as long as they are slow.

        :param step: the step.
        :returns: the workers; some of them may lack the label.
        """
        if not step.label or any(_candidates.has_label(step, c.worker) for c in self.candidates):
            return self.candidates
        labelled = [c for c in self.slow if _candidates.has_label(step, c.worker)]
        return [*self.candidates, *labelled]

    def set_isolating(self, worker_ids: Collection[str]) -> None:
        """
        Let workers accept only isolated tasks.

        :param worker_ids: their ids.
        """
        self.isolating += [c for c in self.candidates if c.worker.id in worker_ids]
        self.candidates = [c for c in self.candidates if c.worker.id not in worker_ids]


def _with_short_queues(candidates: Collection[Candidate]) -> list[Candidate]:
    return [c for c in candidates if _has_short_queue(c)]


def _has_short_queue(candidate: Candidate) -> bool:
    return candidate.worker.unsent_orders < _plan_part.MAX_UNSENT_ORDERS


def plan(node: Node, at: Moment) -> None:
    """
    Start the tasks that can start now, as far as one plan may.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    if node.config is None or at.now_s < node.next_plan_s:
        return
    node.plan_due = node.is_awaiting_answers = False
    node.unknown_used, node.kept_used = _limits.unknown_usage(node), {}
    _close_cancelled(node, at)
    if is_paused(node, at):
        node.plan_due = True
        return
    _policies.record_missing(node, at)
    isolation = _isolation.current(node, at)
    pools: dict[str, PoolCandidates] = {}
    ready: list[ReadyStep] = []
    for item, may_start in _ready.waiting_steps(node, at):
        if may_start:
            ready.append(item)
        else:
            _prefetch(node, at, item, _candidates_of_pool(node, at, pools, item, isolation))
    ready = _start_order.in_start_order(node, at, ready)
    part = PlanPart(ready)
    for item in ready:
        if item.job.id in node.replicated.suspects and part.starts:
            pool = _candidates_of_pool(node, at, pools, item, isolation)
            _place_isolated(node, at, item, pool, isolation, part)
    for item in ready:
        if not part.starts:
            part.is_cut = True
            break
        pool = _candidates_of_pool(node, at, pools, item, isolation)
        if pool.may_fit(item.state.resources):
            _place_step(node, at, item, pool, isolation, part)
    scarce = frozenset(name for name, pool in pools.items() if pool.unplaceable)
    _start_order.note_scarce(node, scarce)
    node.plan_due = node.plan_due or part.is_cut
    if scarce or part.is_cut:
        node.next_plan_s = at.now_s + REPLAN_INTERVAL_S


def is_paused(node: Node, at: Moment) -> bool:
    """
    Return whether nothing may be started on account of the store.

    :param node: the instance, which owns the log.
    :param at: the time.
    :returns: whether a snapshot is overdue, or an append takes too long, or the log was not read to
        its end lately, or the registry or the operator's records were not read.
    """
    return (
        _snapshot.is_awaited(node, at)
        or _journal.is_stalled(node, at.now_s)
        or not _freshness.may_decide(node, at)
        or not _registry.is_current(node, at)
        or not _evacuation.may_decide(node, at)
    )


def _candidates_of_pool(
    node: Node,
    at: Moment,
    pools: dict[str, PoolCandidates],
    item: ReadyStep,
    isolation: Isolation,
) -> PoolCandidates:
    service = item.queue.service
    pool = pools.get(service)
    if pool is None:
        candidates, slow = _candidates.split_candidates(node, at, service)
        pool = pools[service] = PoolCandidates(candidates, slow)
        pool.set_isolating(isolation.isolated)
    return pool


def _close_cancelled(node: Node, at: Moment) -> None:
    for job in [job for job in node.replicated.open_jobs.values() if job.cancelled]:
        close_job(node, at, job, _replicated_state.CANCELLED)


def _prefetch(node: Node, at: Moment, item: ReadyStep, pool: PoolCandidates) -> None:
    workers = _candidates.workers_with_capacity(item.state, pool.candidates)
    _advice.prefetch_tickets(node, at, item.job, item.occurrence, item.step_index, workers)


def _place_isolated(
    node: Node,
    at: Moment,
    item: ReadyStep,
    pool: PoolCandidates,
    isolation: Isolation,
    part: PlanPart,
) -> None:
    """
    Start the tasks of a step that must be isolated, or keep a worker free for them.
    """
    waiting = [task for task in item.state.tasks if task.status == _replicated_state.WAITING]
    isolated = [task for task in waiting if must_isolate(task)]
    if not isolated or not _limits.within_limit(node, item.job, item.state.step, 1):
        return
    members = [*pool.candidates, *pool.isolating]
    usable = _isolation.isolating_candidates(node, isolation, item.job.id, members)
    chosen = PoolCandidates(usable)
    if item.state.step.gang:
        _place_gang(node, at, item, waiting, chosen, isolation, part)
    else:
        _place_suspects(node, at, item, isolated, chosen, isolation, part)
    pool.set_isolating(isolation.isolated)
    is_waiting = any(task.status == _replicated_state.WAITING for task in isolated)
    is_full = len(pool.isolating) >= _isolation.max_isolating(members)
    if is_waiting and not is_full and not isolation.trials.get(item.job.id):
        kept = _isolation.worker_to_empty(item.state, pool.candidates)
        pool.set_isolating({kept.worker.id} if kept is not None else ())


def _place_suspects(
    node: Node,
    at: Moment,
    item: ReadyStep,
    waiting: list[Task],
    pool: PoolCandidates,
    isolation: Isolation,
    part: PlanPart,
) -> None:
    """
    Start suspects of a step on one worker, or on any if a task of the step is done.
    """
    is_one_worker = item.state.unfinished == len(item.state.tasks) or must_isolate(waiting[0])
    allowed = _limits.within_limit(node, item.job, item.state.step, len(waiting))
    if allowed > part.starts:
        part.is_cut = True
    is_large = _plan_part.is_large(item)
    counts = _candidates.tasks_per_worker(item.state)
    for task in waiting[: min(allowed, part.starts)]:
        candidate = _choose_worker(node, at, item, task, pool, part, counts)
        if candidate is None:
            return
        if is_large and not _has_short_queue(candidate):
            part.is_cut = True
            return
        _start(node, at, item, task, candidate)
        counts[candidate.worker.id] += 1
        part.starts -= 1
        _isolation.add(isolation, task, candidate.worker)
        if is_one_worker:
            pool = PoolCandidates([candidate])


def _place_step(
    node: Node,
    at: Moment,
    item: ReadyStep,
    pool: PoolCandidates,
    isolation: Isolation,
    part: PlanPart,
) -> None:
    waiting = [task for task in item.state.tasks if task.status == _replicated_state.WAITING]
    if item.state.step.gang:
        if not any(map(must_isolate, waiting)):
            _place_gang(node, at, item, waiting, pool, isolation, part)
        return
    suspects = [task for task in waiting if task.crashes and not must_isolate(task)]
    if suspects:
        job = item.job.id
        usable = _isolation.trial_candidates(isolation, item.state, job, pool.candidates)
        _place_suspects(node, at, item, suspects, PoolCandidates(usable), isolation, part)
    others = [task for task in waiting if not task.crashes]
    if others:
        _place_tasks(node, at, item, others, pool, part)


def _place_tasks(
    node: Node,
    at: Moment,
    item: ReadyStep,
    waiting: list[Task],
    pool: PoolCandidates,
    part: PlanPart,
) -> None:
    allowed = _limits.within_limit(node, item.job, item.state.step, len(waiting))
    is_large = _plan_part.is_large(item)
    may_start = part.starts_of(node, item, len(pool.candidates))
    tried = waiting[: min(allowed, may_start)]
    started, is_cut = _place_part(node, at, item, tried, pool, part)
    part.starts -= started
    if not (is_cut or (started == len(tried) < allowed)):
        return
    part.is_cut = True
    if is_large:
        rest = allowed - started
        pool.keep(_plan_part.times(item.state.resources, rest))
        need = _plan_part.times(Resources(*item.state.step.need), rest)
        kept = node.kept_used.get(item.job.workspace, NO_RESOURCES)
        node.kept_used[item.job.workspace] = kept.plus(need)


def _place_part(
    node: Node,
    at: Moment,
    item: ReadyStep,
    tasks: list[Task],
    pool: PoolCandidates,
    part: PlanPart,
) -> tuple[int, bool]:
    """
    Start tasks of a step as long as there is room and the plan may compare workers for them.

    :returns: how many were started, and whether others have room but have to wait.
    """
    step, resources = item.state.step, item.state.resources
    counts = _candidates.tasks_per_worker(item.state) if step.max_per_worker else Counter[str]()
    preferred_zone = _preferred_zone(node, item, pool.candidates)
    # A step that finds no worker again and again leaves others the same chance.
    least_compared = part.compared // 2
    candidate: Candidate | None = None
    started = 0
    for number, task in enumerate(tasks):
        if not pool.leaves_spare(resources):
            pool.unplaceable.append(resources)
            break
        if candidate is None or not _can_reuse_candidate(node, at, item, task, candidate, counts):
            if number and part.compared <= least_compared:
                return started, True
            candidate, is_queue_full = _choose_for_part(
                node, at, item, task, pool, part, counts, preferred_zone
            )
            if is_queue_full:
                return started, True
        if candidate is not None:
            _start(node, at, item, task, candidate)
            pool.take(resources)
            counts[candidate.worker.id] += 1
            started += 1
        elif not step.data_rack or not pool.may_fit(resources):
            break
    return started, False


def _choose_for_part(
    node: Node,
    at: Moment,
    item: ReadyStep,
    task: Task,
    pool: PoolCandidates,
    part: PlanPart,
    counts: Counter[str],
    preferred_zone: str,
) -> tuple[Candidate | None, bool]:
    """
    Return the worker that a task of a step starts on, and whether only the orders that wait at the
    workers with room keep it from starting, since its step is large.
    """
    if not _plan_part.is_large(item):
        return _choose_worker(node, at, item, task, pool, part, counts, preferred_zone), False
    short = pool.with_short_queues()
    candidate = _choose_worker(node, at, item, task, short, part, counts, preferred_zone)
    if candidate is not None or not short.unplaceable:
        return candidate, False
    resources = item.state.resources
    if any(resources.fits(c.free[0]) for c in pool.usable_for(item.state.step)):
        return None, True
    pool.unplaceable.append(resources)
    return None, False


def _can_reuse_candidate(
    node: Node,
    at: Moment,
    item: ReadyStep,
    task: Task,
    candidate: Candidate,
    counts: Counter[str],
) -> bool:
    """
    Return whether the worker that took the last task is also the best one for the next task.

    The last worker has the least capacity left, so it is the best one as long as only capacity
    decides, and the number of the step's tasks on it.
    """
    step = item.state.step
    only_capacity_decides = not item.queue.has_advice and not _apart.depends_on_neighbours(
        node, step
    )
    is_near = step.data_rack in ("", candidate.worker.entry.rack)
    is_preferred = (
        task.key not in node.avoided_workers
        and not task.needs_answer
        and not _candidates.is_suspect(candidate.worker)
        and _worker_health.rank(node, at, candidate.worker) == _worker_health.SOUND
    )
    is_best = only_capacity_decides and is_preferred and is_near
    if step.max_per_worker and counts[candidate.worker.id] >= step.max_per_worker:
        return False
    if _plan_part.is_large(item) and not _has_short_queue(candidate):
        return False
    return is_best and item.state.resources.fits(candidate.free[0])


def _preferred_zone(node: Node, item: ReadyStep, candidates: list[Candidate]) -> str:
    """
    Return the availability zone for the tasks of a step: the zone of the job's other tasks, or else
    the one with the most free capacity. The loss of a zone then affects few jobs.

    :returns: the zone, or an empty string for long-running tasks.
    """
    if item.state.step.is_long_running:
        return ""
    for state in occurrence_of(item.job, item.occurrence):
        for task in state.tasks:
            worker = node.workers.get(task.worker)
            if task.status == _replicated_state.RUNNING and worker is not None:
                return worker.entry.zone
    free: Counter[str] = Counter()
    for candidate in candidates:
        free[candidate.worker.entry.zone] += candidate.free[0].millicores
    return max(free, key=lambda zone: (free[zone], zone), default="")


def _place_gang(
    node: Node,
    at: Moment,
    item: ReadyStep,
    waiting: list[Task],
    pool: PoolCandidates,
    isolation: Isolation,
    part: PlanPart,
) -> None:
    # Members that still run belong to the previous attempt; the gang starts again once all of them
    # have exited.
    if len(waiting) < item.state.step.count:
        return
    if _limits.within_limit(node, item.job, item.state.step, len(waiting)) < len(waiting):
        return
    resources = _plan_part.times(item.state.resources, len(waiting))
    usable = pool.usable_for(item.state.step)
    if not pool.leaves_spare(resources) or not _may_fit_gang(item, len(waiting), usable):
        return
    assigned = _assign_gang(node, at, item, waiting, usable, part)
    if len(assigned) < len(waiting):
        return
    run = _orders.next_run_number(waiting)
    saved = next((task.checkpoint for task in waiting if task.checkpoint), "")
    orders = []
    for task, candidate in zip(waiting, assigned, strict=True):
        task.checkpoint = saved
        orders.append(_decide(node, at, item, task, candidate, run))
        if task.crashes:
            _isolation.add(isolation, task, candidate.worker)
    zones = frozenset(candidate.worker.entry.zone for candidate in assigned)
    for task, candidate, order in zip(waiting, assigned, orders, strict=True):
        candidate.worker.orders[task.key].gang_zones = zones
        _journal.emit_after_commit(node, order)
    pool.take(resources)
    part.starts = max(0, part.starts - len(waiting))


def _may_fit_gang(item: ReadyStep, count: int, candidates: list[Candidate]) -> bool:
    """
    Return whether the free resources of workers are enough for a gang, whatever else decides.
    """
    step, places = item.state.step, 0
    for candidate in candidates:
        if not _candidates.has_label(step, candidate.worker):
            continue
        amounts = zip(item.state.resources, candidate.free[0], strict=True)
        room = min((free // need for need, free in amounts if need), default=count)
        places += min(room, step.max_per_worker) if step.max_per_worker else room
    return places >= count


def _assign_gang(
    node: Node,
    at: Moment,
    item: ReadyStep,
    waiting: list[Task],
    candidates: list[Candidate],
    part: PlanPart,
) -> list[Candidate]:
    """
    Return a worker for each member of a gang, on one rack if the step asks for that and a rack has
    the capacity. Return fewer workers than members if there is not enough capacity for all.
    """
    assigned: list[Candidate] = []
    for rack in _racks_to_try(item.state.step, candidates):
        # Uses copies, since the members take up free resources only if all of them can be placed.
        trial = [
            Candidate(candidate.worker, list(candidate.free))
            for candidate in candidates
            if rack in ("", candidate.worker.entry.rack)
        ]
        if not _may_fit_gang(item, len(waiting), trial):
            continue
        assigned = _assign_members(node, at, item, waiting, trial, part)
        if len(assigned) == len(waiting):
            break
    by_id = {candidate.worker.id: candidate for candidate in candidates}
    return [by_id[candidate.worker.id] for candidate in assigned]


def _racks_to_try(step: Step, candidates: list[Candidate]) -> list[str]:
    """
    Return the racks to try for a gang; an empty name stands for all racks together.
    """
    racks = (
        sorted({candidate.worker.entry.rack for candidate in candidates}) if step.same_rack else []
    )
    return [*racks, ""]


def _assign_members(
    node: Node,
    at: Moment,
    item: ReadyStep,
    waiting: list[Task],
    candidates: list[Candidate],
    part: PlanPart,
) -> list[Candidate]:
    assigned: list[Candidate] = []
    counts = Counter[str]()
    pool = PoolCandidates(candidates)
    candidate: Candidate | None = None
    for task in waiting:
        if candidate is None or not _can_reuse_candidate(node, at, item, task, candidate, counts):
            candidate = _choose_worker(node, at, item, task, pool, part, counts)
        if candidate is None:
            break
        counts[candidate.worker.id] += 1
        candidate.free[0] = candidate.free[0].minus(item.state.resources)
        assigned.append(candidate)
    return assigned


def _choose_worker(
    node: Node,
    at: Moment,
    item: ReadyStep,
    task: Task,
    pool: PoolCandidates,
    part: PlanPart,
    counts: Counter[str],
    preferred_zone: str = "",
) -> Candidate | None:
    """
    Return the worker that a task starts on, or ``None`` if none may take it.

    :param counts: running tasks of the step by worker, if the step limits them.
    """
    step, resources = item.state.step, item.state.resources
    part.compared -= len(pool.candidates)
    placement = Placement(item, task, counts, preferred_zone)
    if step.data_rack and _waits_for_rack(node, at, placement, pool):
        placement = placement._replace(is_kept_on_rack=True)
    best: Candidate | None = None
    best_score: _scoring.Score | None = None
    has_capacity = False
    for candidate in pool.usable_for(step):
        if not resources.fits(candidate.free[0]):
            continue
        has_capacity = True
        if not _scoring.may_take(node, at, placement, candidate):
            continue
        score = _scoring.score(node, at, placement, candidate)
        if best_score is None or score > best_score:
            best, best_score = candidate, score
    if not has_capacity:
        pool.unplaceable.append(resources)
    elif best is None:
        _request_answers(node, at, item, task, pool)
    elif _apart.depends_on_neighbours(node, step):
        _note_kept_apart(node, at, placement, pool, best)
    return best


def _waits_for_rack(node: Node, at: Moment, placement: Placement, pool: PoolCandidates) -> bool:
    """
    Return whether a task waits for the rack of its data while it has room elsewhere.
    """
    item = placement.item
    fitting, local = False, []
    for candidate in pool.usable_for(item.state.step):
        if candidate.worker.entry.rack == item.state.step.data_rack:
            if _scoring.may_take(node, at, placement, candidate):
                local.append(candidate)
        elif not fitting:
            fitting = item.state.resources.fits(candidate.free[0])
    return fitting and _data_racks.waits(node, at, item, local, pool.rack_queues)


def _note_kept_apart(
    node: Node, at: Moment, placement: Placement, pool: PoolCandidates, best: Candidate
) -> None:
    """
    Note if the task had taken another worker but for what runs there.
    """
    step = placement.item.state.step
    scores = {
        candidate.worker.id: (_scoring.score(node, at, placement, candidate), candidate.worker)
        for candidate in pool.usable_for(step)
        if placement.item.state.resources.fits(candidate.free[0])
        and _scoring.may_take(node, at, placement, candidate)
    }
    first = max(scores.values(), key=lambda item: _scoring.without_neighbours(item[0]))
    chosen = scores[best.worker.id]
    if _scoring.without_neighbours(first[0]) > _scoring.without_neighbours(chosen[0]):
        _apart.note_kept_apart(node, at, placement.task, step, best.worker, first[1])


def _request_answers(
    node: Node, at: Moment, item: ReadyStep, task: Task, pool: PoolCandidates
) -> None:
    """
    Request what a task needs to start besides resources: tickets, or recent answers of workers.
    """
    if not item.queue.has_advice and not task.needs_answer:
        return
    usable = pool.usable_for(item.state.step)
    workers = _candidates.workers_with_capacity(item.state, usable)
    if item.queue.has_advice:
        _advice.request_tickets(node, at, item.job, item.occurrence, item.step_index, workers)
    if task.needs_answer:
        node.is_awaiting_answers = True
        called = [node.workers[worker_id] for worker_id in workers[:MAX_CALLED_WORKERS]]
        _workers.request_answers(node, at, called)


def _start(node: Node, at: Moment, item: ReadyStep, task: Task, candidate: Candidate) -> None:
    order = _decide(node, at, item, task, candidate, _orders.next_run_number([task]))
    _journal.emit_after_commit(node, order)


def _decide(
    node: Node, at: Moment, item: ReadyStep, task: Task, candidate: Candidate, run: int
) -> effects.StartTask:
    worker = candidate.worker
    ticket = _advice.valid_ticket(node, at, item.id, worker.id) if item.queue.has_advice else ""
    order = _orders.decide(node, at, worker, task, run, ticket)
    candidate.free[0] = candidate.free[0].minus(item.state.resources)
    if _candidates.is_suspect(worker):
        worker.no_starts_until_s = at.now_s + SUSPECT_INTERVAL_S
        log_line(node, "worker.suspect", worker=worker.id, failed_jobs=list(worker.failed_jobs))
    return order
