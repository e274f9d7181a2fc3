"""
Recognizes workers that fail part of their tasks, or that end and come back by turns.

Each outcome of a job on a worker is weighed against the failure rate of its queue on other workers.
The weights add up to the log odds that the worker is unreliable; they don't fall below zero, so a
long time without failures doesn't hide new ones (a CUSUM test), and decay. A queue whose tasks fail
everywhere, and a task that fails on another worker too, speak against no worker.

The owner alone keeps this, by instance, so that a worker which restarts under another id is known.
A new owner begins with nothing.
"""

from collections.abc import Collection
from math import log

import msgspec

from ._node import Moment, Node, Worker, log_line
from .model import TaskKey

# Part of the jobs that an unreliable worker fails.
UNRELIABLE_RATE = 0.4
# Log odds from which a worker counts as unreliable. A single failure is never enough.
UNRELIABLE_LOG_ODDS = log(1000)
# Log odds below which it no longer does. From there a single failure may be enough.
RELIABLE_LOG_ODDS = UNRELIABLE_LOG_ODDS / 2
# Highest log odds, so that a worker is tried again within some 25 s of its last failure.
MAX_LOG_ODDS = 1.5 * UNRELIABLE_LOG_ODDS
# Time in which these odds, and the counts of a queue, halve.
HALF_LIFE_S = 15.0
# Counts of jobs and failures from which the failure rate of a queue begins, and its least value.
PRIOR_JOBS = 20.0
PRIOR_FAILURES = 1.0
MIN_RATE = 0.01
# Part of a pool's workers that is avoided at most; more failures at once have a common cause.
MAX_AVOIDED_PART = 1 / 4
# A worker flaps that has ended without a plan this often within this time.
FLAPPING_ENDS = 2
FLAPPING_WINDOW_S = 15.0
# Jobs of each worker that are remembered, so that each of them counts once.
MAX_JOBS = 64
# Recorded instead of the weight of a failure.
NOT_FAILED = 0.0
EXCUSED = -1.0
# Age from which nothing is left to remember.
FORGOTTEN_S = 60.0

SOUND, DOUBTFUL, FLAPPING, UNRELIABLE = range(4)


class Outcomes(msgspec.Struct, eq=False):
    """
    Decaying counts of jobs, each once for each worker.

    :param at_s: time up to which they have decayed.
    """

    jobs: float = 0.0
    failures: float = 0.0
    at_s: float = 0.0


class WorkerHealth(msgspec.Struct, eq=False):
    """
    Health of the workers of one instance.

    :param log_odds: log odds that they are unreliable, at `at_s`.
    :param at_s: time up to which the odds have decayed.
    :param touched_s: when anything was last noted.
    :param queues: outcomes by queue.
    :param jobs: the weight of each of the latest jobs that has failed there, `EXCUSED` or
        `NOT_FAILED`.
    :param ends_s: times of unplanned ends, by incarnation.
    :param is_unreliable: whether the odds have reached `UNRELIABLE_LOG_ODDS`, and had not fallen
        below `RELIABLE_LOG_ODDS` at the latest outcome.
    """

    log_odds: float = 0.0
    at_s: float = 0.0
    touched_s: float = 0.0
    queues: dict[str, Outcomes] = {}
    jobs: dict[str, float] = {}
    ends_s: dict[int, float] = {}
    is_unreliable: bool = False


def note_outcome(node: Node, at: Moment, worker: Worker, key: TaskKey, has_failed: bool) -> None:
    """
    Note that a task was done or has failed on a worker.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param worker: the worker.
    :param key: the task.
    :param has_failed: whether it has failed; it is then in `Node.avoided_workers`.
    """
    health = _health_of(node, at, worker)
    queue = node.replicated.jobs[key.job].queue
    others = node.avoided_workers.get(key, set()) - {worker.id}
    if has_failed and others:
        if key.job not in health.jobs:
            _count(node, at, health, queue, key.job, has_failed)
        _excuse(node, at, key.job, [*others, worker.id])
        return
    is_new = key.job not in health.jobs
    if not is_new and not (has_failed and health.jobs[key.job] == NOT_FAILED):
        return
    rate = _rate_elsewhere(node, at, health, queue)
    _count(node, at, health, queue, key.job, has_failed)
    weight = _weight(rate, has_failed)
    if has_failed and not is_new:
        weight -= _weight(rate, False)
    if log_odds(health, at) < RELIABLE_LOG_ODDS:
        health.is_unreliable = False
    health.log_odds = min(MAX_LOG_ODDS, max(0.0, log_odds(health, at) + weight))
    health.at_s = at.now_s
    _remember(health, key.job, weight if has_failed else NOT_FAILED)
    if has_failed:
        _update_unreliable(node, at, worker, health, queue, rate)


def _health_of(node: Node, at: Moment, worker: Worker) -> WorkerHealth:
    health: WorkerHealth = node.worker_health.setdefault(_place(worker), WorkerHealth())
    health.touched_s = at.now_s
    return health


def _place(worker: Worker) -> str:
    return worker.entry.instance or worker.id


def _weight(rate: float, has_failed: bool) -> float:
    """
    Return the log likelihood ratio of an outcome, which never excuses a failure nor blames for a
    success where tasks fail everywhere.
    """
    if has_failed:
        return max(0.0, log(UNRELIABLE_RATE / rate))
    return min(0.0, log((1 - UNRELIABLE_RATE) / (1 - rate)))


def _rate_elsewhere(node: Node, at: Moment, health: WorkerHealth, queue: str) -> float:
    total = node.queue_outcomes.get(queue)
    own = health.queues.get(queue)
    jobs, failures = PRIOR_JOBS, PRIOR_FAILURES
    for sign, counts in ((1, total), (-1, own)):
        if counts is not None:
            factor = sign * _decay(at.now_s - counts.at_s)
            jobs += factor * counts.jobs
            failures += factor * counts.failures
    return min(1 - MIN_RATE, max(MIN_RATE, failures / max(1.0, jobs)))


def _count(
    node: Node, at: Moment, health: WorkerHealth, queue: str, job: str, has_failed: bool
) -> None:
    """
    Count a job in its queue, once for the worker; one that fails after a success counts as failed.
    """
    is_new = job not in health.jobs
    for counts in (
        node.queue_outcomes.setdefault(queue, Outcomes()),
        health.queues.setdefault(queue, Outcomes()),
    ):
        factor = _decay(at.now_s - counts.at_s)
        counts.jobs = counts.jobs * factor + is_new
        counts.failures = counts.failures * factor + has_failed
        counts.at_s = at.now_s


def _remember(health: WorkerHealth, job: str, weight: float) -> None:
    health.jobs[job] = weight
    if len(health.jobs) > MAX_JOBS:
        del health.jobs[next(iter(health.jobs))]


def _excuse(node: Node, at: Moment, job: str, worker_ids: Collection[str]) -> None:
    """
    Take back what a job has counted against workers, since its task fails on several.
    """
    for worker_id in worker_ids:
        worker = node.workers.get(worker_id)
        health = node.worker_health.get(_place(worker)) if worker is not None else None
        if health is not None:
            weight = max(0.0, health.jobs.get(job, 0.0))
            health.log_odds = max(0.0, log_odds(health, at) - weight)
            health.at_s = at.now_s
            _remember(health, job, EXCUSED)


def _decay(age_s: float) -> float:
    return float(0.5 ** (max(0.0, age_s) / HALF_LIFE_S))


def log_odds(health: WorkerHealth, at: Moment) -> float:
    """
    Return the log odds that a worker is unreliable.

    :param health: its health.
    :param at: the time.
    :returns: the natural logarithm; 0 for a worker of which nothing is known.
    """
    return health.log_odds * _decay(at.now_s - health.at_s)


def note_end(node: Node, at: Moment, worker: Worker) -> None:
    """
    Note that a worker's incarnation has ended without a plan; each one counts once.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param worker: the worker, of which this incarnation is known.
    """
    health = _health_of(node, at, worker)
    if worker.entry.incarnation in health.ends_s:
        return
    health.ends_s[worker.entry.incarnation] = at.now_s
    recent = _recent_ends(health, at)
    health.ends_s = {
        incarnation: end_s
        for incarnation, end_s in health.ends_s.items()
        if at.now_s - end_s < FLAPPING_WINDOW_S
    }
    if recent >= FLAPPING_ENDS:
        log_line(
            node,
            "worker.flapping",
            worker=worker.id,
            pool=worker.entry.service,
            instance=worker.entry.instance,
            ends=recent,
            within_s=FLAPPING_WINDOW_S,
        )


def _recent_ends(health: WorkerHealth, at: Moment) -> int:
    return sum(at.now_s - end_s < FLAPPING_WINDOW_S for end_s in health.ends_s.values())


def rank(node: Node, at: Moment, worker: Worker) -> int:
    """
    Return how doubtful a worker is; among workers with room the least doubtful ones go first.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param worker: the worker.
    :returns: `SOUND`, `DOUBTFUL` if failures are many but might be chance, `FLAPPING` or
        `UNRELIABLE`.
    """
    health = node.worker_health.get(_place(worker))
    if health is None:
        return SOUND
    if health.is_unreliable and log_odds(health, at) >= RELIABLE_LOG_ODDS:
        return UNRELIABLE
    if _recent_ends(health, at) >= FLAPPING_ENDS:
        return FLAPPING
    return DOUBTFUL if log_odds(health, at) >= RELIABLE_LOG_ODDS else SOUND


def avoided(node: Node, at: Moment, workers: Collection[Worker]) -> set[str]:
    """
    Return the unreliable workers that get no tasks: the worst ones, up to a part of the pool.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param workers: the workers of a pool that accept tasks.
    :returns: their ids.
    """
    unreliable = [worker for worker in workers if rank(node, at, worker) == UNRELIABLE]
    unreliable.sort(key=lambda worker: -log_odds(node.worker_health[_place(worker)], at))
    limit = max(1, int(MAX_AVOIDED_PART * len(workers)))
    return {worker.id for worker in unreliable[:limit]}


def distrusted_by_pool(node: Node, at: Moment) -> dict[str, tuple[int, int]]:
    """
    Count the workers that flap and the unreliable ones.

    :param node: the instance.
    :param at: the time.
    :returns: both numbers for each pool that has such workers.
    """
    counts: dict[str, tuple[int, int]] = {}
    for worker in node.workers.values():
        doubt = rank(node, at, worker) if worker.is_listed else SOUND
        if doubt in (FLAPPING, UNRELIABLE):
            flapping, unreliable = counts.get(worker.entry.service, (0, 0))
            is_flapping = doubt == FLAPPING
            counts[worker.entry.service] = (flapping + is_flapping, unreliable + (not is_flapping))
    return counts


def _update_unreliable(
    node: Node, at: Moment, worker: Worker, health: WorkerHealth, queue: str, rate: float
) -> None:
    """
    Count a worker as unreliable, and tell it, once its odds are high enough.
    """
    odds = log_odds(health, at)
    if health.is_unreliable or odds < UNRELIABLE_LOG_ODDS:
        return
    health.is_unreliable = True
    log_line(
        node,
        "worker.unreliable",
        worker=worker.id,
        pool=worker.entry.service,
        instance=worker.entry.instance,
        queue=queue,
        log_odds=round(odds, 2),
        jobs=round(sum(counts.jobs for counts in health.queues.values()), 1),
        failures=round(sum(counts.failures for counts in health.queues.values()), 1),
        rate_elsewhere=round(rate, 3),
        half_life_s=HALF_LIFE_S,
    )


def prune(node: Node, at: Moment) -> None:
    """
    Forget workers and queues of which nothing was noted for long.

    :param node: the instance.
    :param at: the time.
    """
    since_s = at.now_s - FORGOTTEN_S
    for place in [key for key, item in node.worker_health.items() if item.touched_s < since_s]:
        del node.worker_health[place]
    for queue in [key for key, item in node.queue_outcomes.items() if item.at_s < since_s]:
        del node.queue_outcomes[queue]
