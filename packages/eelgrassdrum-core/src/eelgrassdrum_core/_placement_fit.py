"""
An index of workers by free resources, for best-fit placement of jobs.
"""

from collections.abc import Iterable

import msgspec
from sortedcontainers import SortedKeyList  # type: ignore[import-untyped]

from ._jobs import Size, Worker

# Workers examined per job in each direction: upwards from the tightest fit, then downwards from the
# worker with the most free cores.
MAX_PROBED_WORKERS = 32


class FitIndex(msgspec.Struct):
    """
    Workers that may start jobs.

    :param free: free resources by worker.
    :param starts_left: number of jobs that may still be started, by worker.
    :param by_free_cores: ids of workers, sorted by free cores.
    """

    free: dict[str, Size]
    starts_left: dict[str, int]
    by_free_cores: SortedKeyList


def build_fit_index(workers: Iterable[Worker]) -> FitIndex:
    """
    Build an index of the workers that may start jobs.

    :param workers: workers that may be used.
    :returns: the index.
    """
    eligible = [worker for worker in workers if worker.starts_left > 0]
    free = {worker.id: worker.capacity.minus(worker.used) for worker in eligible}
    starts_left = {worker.id: worker.starts_left for worker in eligible}
    return FitIndex(
        free, starts_left, SortedKeyList(free, key=lambda name: (free[name].cores, name))
    )


def find_worker(index: FitIndex, size: Size) -> str | None:
    """
    Find a worker that fits a job, preferring tight fits to keep capacity free for large jobs.

    :param index: index of the workers.
    :param size: resources that the job needs.
    :returns: id of a worker, or ``None`` when none was found.
    """
    first = index.by_free_cores.bisect_key_left((size.cores, ""))
    count = len(index.by_free_cores)
    for position in range(first, min(first + MAX_PROBED_WORKERS, count)):
        name: str = index.by_free_cores[position]
        if size.fits(index.free[name]):
            return name
    for position in range(
        count - 1, max(first + MAX_PROBED_WORKERS, count - MAX_PROBED_WORKERS) - 1, -1
    ):
        name = index.by_free_cores[position]
        if size.fits(index.free[name]):
            return name
    return None


def reserve_resources(index: FitIndex, worker: str, size: Size) -> None:
    """
    Reserve the resources of a job on a worker.

    :param index: updated in place.
    :param worker: id of the worker.
    :param size: resources that the job needs.
    """
    index.by_free_cores.remove(worker)
    index.free[worker] = index.free[worker].minus(size)
    index.starts_left[worker] -= 1
    if index.starts_left[worker] > 0:
        index.by_free_cores.add(worker)


def exclude_worker(index: FitIndex, worker: str) -> None:
    """
    Exclude a worker from further placement in this plan, except by preemption.

    :param index: updated in place.
    :param worker: id of the worker.
    """
    index.by_free_cores.discard(worker)


def replace_preempted(index: FitIndex, worker: str, freed: Size, size: Size) -> None:
    """
    Replace preempted jobs by a new job on a worker.

    The worker gets no other job in this plan without preemption, since the resources are not free
    until the preempted jobs have stopped.

    :param index: updated in place.
    :param worker: id of the worker.
    :param freed: resources of the preempted jobs.
    :param size: resources that the new job needs.
    """
    exclude_worker(index, worker)
    index.free[worker] = index.free[worker].plus(freed).minus(size)
