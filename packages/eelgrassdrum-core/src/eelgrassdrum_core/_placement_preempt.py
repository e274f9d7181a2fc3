"""
Selects jobs to preempt for urgent jobs.
"""

from collections.abc import Callable, Mapping, Sequence

import msgspec

from ._jobs import RunningJob, Size
from ._placement_fit import FitIndex

# A job that was preempted this often is not preempted again.
MAX_PREEMPTIONS = 3
# Workers examined per urgent job.
MAX_PROBED_WORKERS = 256


class PreemptIndex(msgspec.Struct):
    """
    Preemptible jobs by worker.

    :param jobs: preemptible jobs of each worker.
    :param workers: ids of workers with preemptible jobs.
    :param next_position: position in ``workers`` at which the next search starts.
    """

    jobs: dict[str, list[RunningJob]]
    workers: list[str]
    next_position: int = 0


def build_preempt_index(running: Sequence[RunningJob], fit: FitIndex) -> PreemptIndex:
    """
    Build an index of the preemptible jobs.

    :param running: running jobs.
    :param fit: index of workers that may be used.
    :returns: the index.
    """
    jobs: dict[str, list[RunningJob]] = {}
    for job in running:
        is_preemptible = job.can_checkpoint and not job.urgent and job.preemptions < MAX_PREEMPTIONS
        if is_preemptible and job.worker in fit.free:
            jobs.setdefault(job.worker, []).append(job)
    return PreemptIndex(jobs, sorted(jobs))


def find_victims(
    index: PreemptIndex,
    free: Mapping[str, Size],
    size: Size,
    may_preempt: Callable[[RunningJob], bool],
) -> list[RunningJob] | None:
    """
    Find a small set of jobs on one worker whose preemption fits an urgent job.

    The search examines a bounded number of workers and starts one worker later each time.

    :param index: preemptible jobs; the selected jobs are removed.
    :param free: free resources by worker.
    :param size: resources that the urgent job needs.
    :param may_preempt: returns whether the fair shares of the teams permit preempting a job.
    :returns: the jobs to preempt, or ``None`` when there are none.
    """
    best: list[RunningJob] | None = None
    for step in range(min(MAX_PROBED_WORKERS, len(index.workers))):
        name = index.workers[(index.next_position + step) % len(index.workers)]
        found = _find_victims_on(index.jobs[name], free[name], size, may_preempt)
        if found is not None and (best is None or len(found) < len(best)):
            best = found
            if len(best) == 1:
                break
    if best is not None:
        for job in best:
            index.jobs[job.worker].remove(job)
    index.next_position += 1
    return best


def _find_victims_on(
    jobs: Sequence[RunningJob],
    available: Size,
    size: Size,
    may_preempt: Callable[[RunningJob], bool],
) -> list[RunningJob] | None:
    eligible = sorted((job for job in jobs if may_preempt(job)), key=_preemption_order)
    for job in eligible:
        if size.fits(available.plus(job.size)):
            return [job]
    chosen = []
    for job in reversed(eligible):
        chosen.append(job)
        available = available.plus(job.size)
        if size.fits(available):
            return chosen
    return None


def _preemption_order(job: RunningJob) -> tuple[int, float, str]:
    return job.preemptions, job.size.cores, job.id
