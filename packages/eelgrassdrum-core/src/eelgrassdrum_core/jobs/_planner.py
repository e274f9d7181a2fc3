"""
Chooses where tasks start.

A plan is made many times a second while the queues are long, so it tries no step that needs as much
as one for which no worker had room.
"""

from collections import Counter

from . import _advice, _journal, _orders, _ready, _replicated_state, _sites
from ._node import Moment, Node, log_line
from ._ready import Ready
from ._replicated_state import Job, Task, occurrence_of
from ._runs import close_job
from ._sites import Site
from .model import NO_RESOURCES, Resources, Step

# A task of a suspect worker is tried this often.
SUSPECT_PAUSE_S = 2.0
# While tasks wait for room, plans are made this often; a fiftieth of the slack of short jobs.
BUSY_INTERVAL_S = 0.02


class Pool:
    """
    The workers of a pool in one plan.

    :param sites: the workers that take tasks.
    :param refused: rooms that no worker had free; what is free only becomes less in a plan.
    """

    def __init__(self, sites: list[Site]) -> None:
        """
        :param sites: the workers that take tasks.
        """
        self.sites = sites
        self.refused: list[Resources] = []

    def may_fit(self, resources: Resources) -> bool:
        """
        Tell whether a room is worth trying.

        :param resources: what a task needs.
        :returns: whether it needs less than what was refused, in one part at least.
        """
        return bool(self.sites) and not any(former.fits(resources) for former in self.refused)


def plan(node: Node, at: Moment) -> None:
    """
    Start what can be started.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    if node.config is None or at.now_s < node.next_plan_s:
        return
    node.plan_due = False
    _close_cancelled(node, at)
    if _journal.is_stalled(node, at.now_s):
        node.plan_due = True
        return
    pools: dict[str, Pool] = {}
    ready: list[Ready] = []
    for item, may_start in _ready.waiting_steps(node, at):
        if may_start:
            ready.append(item)
        else:
            _prefetch(node, at, item, _pool(node, at, pools, item))
    ready.sort(key=lambda item: item.order)
    for item in ready:
        pool = _pool(node, at, pools, item)
        if pool.may_fit(item.state.resources):
            _place_step(node, at, item, pool)
    if any(pool.refused for pool in pools.values()):
        node.next_plan_s = at.now_s + BUSY_INTERVAL_S


def _pool(node: Node, at: Moment, pools: dict[str, Pool], item: Ready) -> Pool:
    service = item.queue.service
    pool = pools.get(service)
    if pool is None:
        pool = pools[service] = Pool(_sites.open_sites(node, at, service))
    return pool


def _close_cancelled(node: Node, at: Moment) -> None:
    for job in [job for job in node.replicated.open_jobs.values() if job.cancelled]:
        close_job(node, at, job, _replicated_state.CANCELLED)


def _prefetch(node: Node, at: Moment, item: Ready, pool: Pool) -> None:
    workers = _sites.with_room(item.state, pool.sites)
    _advice.prefetch(node, at, item.job, item.occurrence, item.at, workers)


def _place_step(node: Node, at: Moment, item: Ready, pool: Pool) -> None:
    waiting = [task for task in item.state.tasks if task.status == _replicated_state.WAITING]
    if item.state.step.gang:
        _place_gang(node, at, item, waiting, pool)
        return
    allowed = within_limit(node, item.job, item.state.step, len(waiting))
    home = _home_zone(node, item, pool.sites)
    site: Site | None = None
    for task in waiting[:allowed]:
        if site is None or not _takes_another(node, item, task, site):
            site = _choose(node, at, item, task, pool, home)
        if site is None:
            return
        _start(node, at, item, task, site, _orders.next_run([task]))


def _takes_another(node: Node, item: Ready, task: Task, site: Site) -> bool:
    """
    Tell whether the worker that took the last task is the best for the next one as well: it has the
    least room left, so it is, as long as nothing else than its room decides.
    """
    step = item.state.step
    is_plain = not step.max_per_worker and not item.queue.has_advice
    is_welcome = task.key not in node.avoided_workers and not _sites.is_suspect(site.worker)
    return is_plain and is_welcome and item.state.resources.fits(site.free[0])


def _home_zone(node: Node, item: Ready, sites: list[Site]) -> str:
    """
    Give the availability zone for the tasks of a step: that of the job's other tasks, else the one
    with the most room. A zone that is lost then takes few jobs with it.

    :returns: the zone, or empty for work that lasts.
    """
    if item.state.step.is_long_running:
        return ""
    for state in occurrence_of(item.job, item.occurrence):
        for task in state.tasks:
            worker = node.workers.get(task.worker)
            if task.status == _replicated_state.RUNNING and worker is not None:
                return worker.entry.zone
    free: Counter[str] = Counter()
    for site in sites:
        free[site.worker.entry.zone] += site.free[0].millicores
    return max(free, key=lambda zone: (free[zone], zone), default="")


def _place_gang(node: Node, at: Moment, item: Ready, waiting: list[Task], pool: Pool) -> None:
    # Members that still run belong to the former try; the gang starts again when all have ended.
    if len(waiting) < item.state.step.count:
        return
    if within_limit(node, item.job, item.state.step, len(waiting)) < len(waiting):
        return
    taken = _seats_of_gang(node, at, item, waiting, pool.sites)
    if len(taken) < len(waiting):
        return
    run = _orders.next_run(waiting)
    saved = next((task.checkpoint for task in waiting if task.checkpoint), "")
    for task, site in zip(waiting, taken, strict=True):
        task.checkpoint = saved
        _start(node, at, item, task, site, run)


def _seats_of_gang(
    node: Node, at: Moment, item: Ready, waiting: list[Task], sites: list[Site]
) -> list[Site]:
    """
    Give a worker for each member, on one rack if that is asked for and one has room; fewer when
    there is no room for all.
    """
    taken: list[Site] = []
    for rack in _racks(item.state.step, sites):
        # Tried on copies, since the members count against what is free only once all have room.
        tried = [
            Site(site.worker, list(site.free))
            for site in sites
            if rack in ("", site.worker.entry.rack)
        ]
        taken = _seats(node, at, item, waiting, tried)
        if len(taken) == len(waiting):
            break
    by_id = {site.worker.id: site for site in sites}
    return [by_id[site.worker.id] for site in taken]


def _racks(step: Step, sites: list[Site]) -> list[str]:
    """
    Give the racks to try a gang on; the empty name stands for all of them together.
    """
    racks = sorted({site.worker.entry.rack for site in sites}) if step.same_rack else []
    return [*racks, ""]


def _seats(
    node: Node, at: Moment, item: Ready, waiting: list[Task], sites: list[Site]
) -> list[Site]:
    taken: list[Site] = []
    seats: Counter[str] = Counter()
    bound = item.state.step.max_per_worker
    for task in waiting:
        usable = [s for s in sites if not bound or seats[s.worker.id] < bound]
        site = _choose(node, at, item, task, Pool(usable))
        if site is None:
            break
        seats[site.worker.id] += 1
        site.free[0] = site.free[0].minus(item.state.resources)
        taken.append(site)
    return taken


def within_limit(node: Node, job: Job, step: Step, count: int) -> int:
    """
    Say how many more tasks a workspace may have running.

    :param node: the instance.
    :param job: the job whose tasks would start.
    :param step: their step.
    :param count: how many there are.
    :returns: how many of them its limit allows.
    """
    workspace = node.config.workspaces.get(job.workspace) if node.config else None
    if workspace is None:
        return count
    used = node.replicated.used.get(job.workspace, NO_RESOURCES)
    for limit, have, need in zip(workspace.limit, used, step.need, strict=True):
        if limit and need:
            count = min(count, max(0, (limit - have) // need))
    return count


def _choose(
    node: Node, at: Moment, item: Ready, task: Task, pool: Pool, home: str = ""
) -> Site | None:
    step, resources = item.state.step, item.state.resources
    avoid = node.avoided_workers.get(task.key, ())
    counts = _sites.seat_counts(item.state) if step.max_per_worker else None
    best: Site | None = None
    best_score: tuple[float, ...] = ()
    had_room = False
    for site in pool.sites:
        worker = site.worker
        if not resources.fits(site.free[0]):
            continue
        had_room = True
        if not _sites.has_label(step, worker):
            continue
        if counts is not None and counts[worker.id] >= step.max_per_worker:
            continue
        if item.queue.has_advice and not _advice.ticket(node, at, item, worker.id):
            continue
        score = (
            worker.id not in avoid,
            not _sites.is_suspect(worker),
            not step.data_rack or step.data_rack == worker.entry.rack,
            not home or worker.entry.zone == home,
            # Packed, so that instances become empty and can be maintained or moved.
            -site.free[0].millicores,
        )
        if best is None or score > best_score:
            best, best_score = site, score
    if not had_room:
        pool.refused.append(resources)
    elif best is None and item.queue.has_advice:
        workers = _sites.with_room(item.state, pool.sites)
        _advice.ask(node, at, item.job, item.occurrence, item.at, workers)
    return best


def _start(node: Node, at: Moment, item: Ready, task: Task, site: Site, run: int) -> None:
    worker = site.worker
    ticket = _advice.ticket(node, at, item, worker.id) if item.queue.has_advice else ""
    _orders.start(node, at, worker, task, run, ticket)
    site.free[0] = site.free[0].minus(item.state.resources)
    if _sites.is_suspect(worker):
        worker.no_starts_until_s = at.now_s + SUSPECT_PAUSE_S
        log_line(node, "worker.suspect", worker=worker.id, failed_jobs=list(worker.failed_jobs))
