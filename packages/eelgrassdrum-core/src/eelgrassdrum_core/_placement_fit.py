"""
Workers ordered by their free room, to find the tightest one that a job fits into.
"""

from collections.abc import Iterable

import msgspec
from sortedcontainers import SortedKeyList  # type: ignore[import-untyped]

from ._jobs import Size, Worker

# Workers looked at for one job, from the tightest on, before the roomiest ones are tried.
MAX_PROBED_WORKERS = 32


class FitIndex(msgspec.Struct):
    """
    Workers that may start jobs.

    :param free: free room by worker.
    :param starts_left: jobs that may still be started at each.
    :param by_free_cores: ids by free processors.
    """

    free: dict[str, Size]
    starts_left: dict[str, int]
    by_free_cores: SortedKeyList


def build_fit_index(workers: Iterable[Worker]) -> FitIndex:
    """
    Order workers by their free room.

    :param workers: the workers.
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
    Find a worker that a job fits into, leaving large gaps for large jobs.

    :param index: the workers.
    :param size: what the job needs.
    :returns: id of a worker, or ``None``.
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
    Take a job's room at a worker.

    :param index: changed in place.
    :param worker: id of the worker.
    :param size: what the job needs.
    """
    index.by_free_cores.remove(worker)
    index.free[worker] = index.free[worker].minus(size)
    index.starts_left[worker] -= 1
    if index.starts_left[worker] > 0:
        index.by_free_cores.add(worker)


def exclude_worker(index: FitIndex, worker: str) -> None:
    """
    Give a worker no further job in this plan, except by preemption.

    :param index: changed in place.
    :param worker: id of the worker.
    """
    index.by_free_cores.discard(worker)


def replace_preempted(index: FitIndex, worker: str, freed: Size, size: Size) -> None:
    """
    Take the room of jobs that make place, which is not free before they have stopped.

    :param index: changed in place.
    :param worker: id of the worker.
    :param freed: what the jobs need that make place.
    :param size: what the new job needs.
    """
    exclude_worker(index, worker)
    index.free[worker] = index.free[worker].plus(freed).minus(size)
