"""
Health of workers: quarantine of workers that fail jobs.

Each outcome is weighed against the failure rate of its template on other workers, so that a faulty
template or team does not quarantine workers. A worker without a recorded success gets few jobs at
a time, so that a worker that fails jobs immediately does not drain a queue.
"""

from collections import deque
from collections.abc import Mapping
from math import log
from typing import NamedTuple

import msgspec

MAX_OUTCOMES = 16
# Probability that a broken worker fails a job.
BROKEN_FAILURE_RATE = 0.95
# Prior of the failure rate of a template, as counts of jobs and failures.
PRIOR_JOBS = 20.0
PRIOR_FAILURES = 1.0
# Log odds from which a worker is considered broken.
QUARANTINE_LOG_ODDS = log(1000.0)
# Maximum failures counted for a template with fewer than PROVEN_SUCCESSES on other workers.
MAX_UNPROVEN_FAILURES = 2
PROVEN_SUCCESSES = 10
# Maximum fraction of a pool in quarantine; more failures at once have a common cause.
MAX_QUARANTINED_FRACTION = 0.1
BASE_QUARANTINE_S = 300.0
MAX_QUARANTINE_S = 86_400.0
TRIAL_SUCCESSES = 3
# Concurrent jobs on a worker without outcomes.
UNPROVEN_STARTS = 2
# Concurrent jobs on a worker that is on trial, or whose last job failed.
TRIAL_STARTS = 1
UNRESTRICTED_STARTS = 1_000


class Outcome(NamedTuple):
    """
    The outcome of a job on a worker.

    :param template: ``WORKSPACE/TEMPLATE`` of the job.
    :param failed: whether the job failed.
    """

    template: str
    failed: bool


class TemplateStats(msgspec.Struct):
    """
    Counts of the finished and the failed jobs of a template.
    """

    jobs: int = 0
    failures: int = 0


class WorkerHealth(msgspec.Struct):
    """
    Health of one worker.

    :param outcomes: its most recent outcomes.
    :param quarantined_until_s: time until which it gets no jobs, or ``None`` outside of quarantine.
    :param quarantines: number of quarantines since it last recovered.
    :param trial_jobs_left: jobs that must succeed, one at a time, before it gets its full load.
    """

    outcomes: deque[Outcome] = msgspec.field(default_factory=lambda: deque(maxlen=MAX_OUTCOMES))
    quarantined_until_s: float | None = None
    quarantines: int = 0
    trial_jobs_left: int = 0


def note_outcome(
    health: WorkerHealth, templates: dict[str, TemplateStats], outcome: Outcome
) -> None:
    """
    Record the outcome of a job.

    :param health: health of the worker, updated in place.
    :param templates: statistics of all templates, updated in place.
    :param outcome: outcome of the job.
    """
    stats = templates.setdefault(outcome.template, TemplateStats())
    stats.jobs += 1
    stats.failures += outcome.failed
    health.outcomes.append(outcome)
    if health.trial_jobs_left and not outcome.failed:
        health.trial_jobs_left -= 1
        if health.trial_jobs_left == 0:
            health.quarantines = 0


def log_odds_broken(health: WorkerHealth, templates: Mapping[str, TemplateStats]) -> float:
    """
    Return the log odds that a worker is broken, from its recent outcomes.

    :param health: health of the worker.
    :param templates: statistics of all templates.
    :returns: natural logarithm of the odds of a broken worker to a healthy one.
    """
    worker_stats: dict[str, TemplateStats] = {}
    for outcome in health.outcomes:
        stats = worker_stats.setdefault(outcome.template, TemplateStats())
        stats.jobs += 1
        stats.failures += outcome.failed
    return sum(
        _log_likelihood_ratio(stats, templates[name]) for name, stats in worker_stats.items()
    )


def quarantine_if_broken(
    health: WorkerHealth,
    templates: Mapping[str, TemplateStats],
    in_quarantine: int,
    pool_size: int,
    now_s: float,
) -> bool:
    """
    Quarantine a worker that is likely broken or failed its trial.

    The worker stays in use when too many workers of its pool are in quarantine already.

    :param health: health of the worker, updated in place.
    :param templates: statistics of all templates.
    :param in_quarantine: number of workers of its pool that are in quarantine.
    :param pool_size: number of workers of its pool.
    :param now_s: current time, in seconds.
    :returns: whether the worker was quarantined by this call.
    """
    if health.quarantined_until_s is not None:
        return False
    failed_trial = (
        health.trial_jobs_left > 0 and bool(health.outcomes) and health.outcomes[-1].failed
    )
    if log_odds_broken(health, templates) < QUARANTINE_LOG_ODDS and not failed_trial:
        return False
    if in_quarantine + 1 > max(1.0, MAX_QUARANTINED_FRACTION * pool_size):
        return False
    quarantine_s = min(BASE_QUARANTINE_S * 2**health.quarantines, MAX_QUARANTINE_S)
    health.quarantined_until_s = now_s + quarantine_s
    health.quarantines += 1
    return True


def end_quarantine(health: WorkerHealth, now_s: float) -> bool:
    """
    Put a worker on trial when its quarantine has expired.

    :param health: health of the worker, updated in place.
    :param now_s: current time, in seconds.
    :returns: whether the quarantine was ended by this call.
    """
    if health.quarantined_until_s is None or now_s < health.quarantined_until_s:
        return False
    health.quarantined_until_s = None
    health.outcomes.clear()
    health.trial_jobs_left = TRIAL_SUCCESSES
    return True


def starts_allowed(health: WorkerHealth, unproven_running: int) -> int:
    """
    Return the number of jobs that may be started on a worker now.

    :param health: health of the worker.
    :param unproven_running: number of jobs that run there already.
    :returns: the number of starts, small while no recent success shows that the worker is healthy.
    """
    if health.quarantined_until_s is not None:
        return 0
    if health.trial_jobs_left:
        return max(0, TRIAL_STARTS - unproven_running)
    if not health.outcomes:
        return max(0, UNPROVEN_STARTS - unproven_running)
    if health.outcomes[-1].failed:
        return max(0, TRIAL_STARTS - unproven_running)
    return UNRESTRICTED_STARTS


def _log_likelihood_ratio(worker_stats: TemplateStats, overall: TemplateStats) -> float:
    jobs, failures = overall.jobs - worker_stats.jobs, overall.failures - worker_stats.failures
    rate = (failures + PRIOR_FAILURES) / (jobs + PRIOR_JOBS)
    failed = worker_stats.failures
    if jobs - failures < PROVEN_SUCCESSES:
        failed = min(failed, MAX_UNPROVEN_FAILURES)
    succeeded = worker_stats.jobs - worker_stats.failures
    success_evidence = succeeded * log((1.0 - BROKEN_FAILURE_RATE) / (1.0 - rate))
    return failed * log(BROKEN_FAILURE_RATE / rate) + success_evidence
