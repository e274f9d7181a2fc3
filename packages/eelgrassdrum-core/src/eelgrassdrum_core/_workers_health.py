"""
Workers that fail what they start: judged by evidence over jobs, templates and teams.

Each outcome is weighed against how often its template fails on other workers, so that a bad
template or a bad team brings no worker into quarantine. A worker that has not yet done anything
right gets few jobs at a time, so that one that fails at once does not swallow a queue.
"""

from collections import deque
from collections.abc import Mapping
from math import log
from typing import NamedTuple

import msgspec

MAX_OUTCOMES = 16
# Chance that a broken worker fails a job.
BROKEN_FAILURE_RATE = 0.95
# What is believed of a template before it was seen, as jobs and failures.
PRIOR_JOBS = 20.0
PRIOR_FAILURES = 1.0
# Odds at which a worker counts as broken.
QUARANTINE_LOG_ODDS = log(1000.0)
# Failures of one template that count while it has not succeeded elsewhere.
MAX_UNPROVEN_FAILURES = 2
PROVEN_SUCCESSES = 10
# Largest part of a pool in quarantine; more at once have another cause.
MAX_QUARANTINED_FRACTION = 0.1
BASE_QUARANTINE_S = 300.0
MAX_QUARANTINE_S = 86_400.0
TRIAL_SUCCESSES = 3
UNPROVEN_STARTS = 2
TRIAL_STARTS = 1
UNRESTRICTED_STARTS = 1_000


class Outcome(NamedTuple):
    """
    How a job ended at a worker.

    :param template: ``WORKSPACE/TEMPLATE``.
    """

    template: str
    failed: bool


class TemplateStats(msgspec.Struct):
    """
    How often jobs of a template ended, and failed, over all workers.
    """

    jobs: int = 0
    failures: int = 0


class WorkerHealth(msgspec.Struct):
    """
    Evidence about one worker.

    :param outcomes: its last outcomes.
    :param quarantined_until_s: time until which it gets no job, or ``None``.
    :param quarantines: times in a row that it was taken out.
    :param trial_jobs_left: jobs that must succeed, one by one, before it gets its full work.
    """

    outcomes: deque[Outcome] = msgspec.field(default_factory=lambda: deque(maxlen=MAX_OUTCOMES))
    quarantined_until_s: float | None = None
    quarantines: int = 0
    trial_jobs_left: int = 0


def note_outcome(
    health: WorkerHealth, templates: dict[str, TemplateStats], outcome: Outcome
) -> None:
    """
    Take in how a job ended.

    :param health: the worker's evidence, changed in place.
    :param templates: all templates, changed in place.
    :param outcome: how the job ended.
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
    Weigh the evidence that a worker is broken.

    :param health: the worker's evidence.
    :param templates: all templates.
    :returns: logarithm of the odds against a sound worker.
    """
    own: dict[str, TemplateStats] = {}
    for outcome in health.outcomes:
        stats = own.setdefault(outcome.template, TemplateStats())
        stats.jobs += 1
        stats.failures += outcome.failed
    return sum(_log_likelihood_ratio(stats, templates[name]) for name, stats in own.items())


def quarantine_if_broken(
    health: WorkerHealth,
    templates: Mapping[str, TemplateStats],
    in_quarantine: int,
    pool_size: int,
    now_s: float,
) -> bool:
    """
    Take a worker out when the evidence is strong and it is not one of many.

    :param health: the worker's evidence, changed in place.
    :param templates: all templates.
    :param in_quarantine: workers of its pool that are out already.
    :param pool_size: workers of its pool.
    :param now_s: time.
    :returns: whether it was taken out now.
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
    Put a worker on trial when its time in quarantine has passed.

    :param health: the worker's evidence, changed in place.
    :param now_s: time.
    :returns: whether it was released now.
    """
    if health.quarantined_until_s is None or now_s < health.quarantined_until_s:
        return False
    health.quarantined_until_s = None
    health.outcomes.clear()
    health.trial_jobs_left = TRIAL_SUCCESSES
    return True


def starts_allowed(health: WorkerHealth, unproven_running: int) -> int:
    """
    Give the jobs that may be started at a worker now.

    :param health: the worker's evidence.
    :param unproven_running: jobs that run there already.
    :returns: a number, small while the worker has not shown that it works.
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


def _log_likelihood_ratio(own: TemplateStats, overall: TemplateStats) -> float:
    jobs, failures = overall.jobs - own.jobs, overall.failures - own.failures
    rate = (failures + PRIOR_FAILURES) / (jobs + PRIOR_JOBS)
    failed = own.failures
    if jobs - failures < PROVEN_SUCCESSES:
        failed = min(failed, MAX_UNPROVEN_FAILURES)
    succeeded = own.jobs - own.failures
    success_evidence = succeeded * log((1.0 - BROKEN_FAILURE_RATE) / (1.0 - rate))
    return failed * log(BROKEN_FAILURE_RATE / rate) + success_evidence
