"""
Finds jobs that make place for urgent work.
"""

from collections.abc import Callable, Mapping, Sequence

import msgspec

from ._jobs import RunningJob, Size
from ._placement_fit import FitIndex

# A job that has made place so often is left alone.
MAX_PREEMPTIONS = 3
# Workers looked at for one urgent job.
PROBES = 256


class PreemptIndex(msgspec.Struct):
    """
    Jobs that may make place, by worker.

    :param jobs: such jobs of each worker.
    :param names: workers that have such jobs.
    :param next: worker at which the next search begins.
    """

    jobs: dict[str, list[RunningJob]]
    names: list[str]
    next: int = 0


def make_preempt_index(running: Sequence[RunningJob], fit: FitIndex) -> PreemptIndex:
    """
    Sort out the jobs that may make place.

    :param running: jobs that run.
    :param fit: workers that may be used.
    :returns: the index.
    """
    jobs: dict[str, list[RunningJob]] = {}
    for job in running:
        is_able = job.can_checkpoint and not job.urgent and job.preemptions < MAX_PREEMPTIONS
        if is_able and job.worker in fit.free:
            jobs.setdefault(job.worker, []).append(job)
    return PreemptIndex(jobs, sorted(jobs))


def find_victims(
    index: PreemptIndex,
    free: Mapping[str, Size],
    size: Size,
    may_give: Callable[[RunningJob], bool],
) -> list[RunningJob] | None:
    """
    Find the fewest jobs of one worker that make place for an urgent one.

    :param index: jobs that may make place; what is found leaves it.
    :param free: free room by worker.
    :param size: what the urgent job needs.
    :param may_give: tells whether a job's team has more than its share.
    :returns: the jobs, or ``None``.
    """
    best: list[RunningJob] | None = None
    for step in range(min(PROBES, len(index.names))):
        name = index.names[(index.next + step) % len(index.names)]
        found = _victims_of(index.jobs[name], free[name], size, may_give)
        if found is not None and (best is None or len(found) < len(best)):
            best = found
            if len(best) == 1:
                break
    if best is not None:
        for job in best:
            index.jobs[job.worker].remove(job)
    index.next += 1
    return best


def _victims_of(
    jobs: Sequence[RunningJob], room: Size, size: Size, may_give: Callable[[RunningJob], bool]
) -> list[RunningJob] | None:
    able = sorted((job for job in jobs if may_give(job)), key=_cost)
    for job in able:
        if size.fits(room.plus(job.size)):
            return [job]
    chosen = []
    for job in reversed(able):
        chosen.append(job)
        room = room.plus(job.size)
        if size.fits(room):
            return chosen
    return None


def _cost(job: RunningJob) -> tuple[int, float, str]:
    return job.preemptions, job.size.cores, job.id
