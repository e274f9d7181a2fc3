"""
Workers ordered by their free room, to find the tightest one that a job fits into.
"""

from collections.abc import Iterable

import msgspec
from sortedcontainers import SortedKeyList  # type: ignore[import-untyped]

from ._jobs import Size, Worker

# Workers looked at for one job, from the tightest on, before the roomiest ones are tried.
PROBES = 32


class FitIndex(msgspec.Struct):
    """
    Workers that may start jobs.

    :param free: free room by worker.
    :param starts: jobs that may still be started at each.
    :param order: ids by free processors.
    """

    free: dict[str, Size]
    starts: dict[str, int]
    order: SortedKeyList


def make_index(workers: Iterable[Worker]) -> FitIndex:
    """
    Order workers by their free room.

    :param workers: the workers.
    :returns: the index.
    """
    able = [worker for worker in workers if worker.starts > 0]
    free = {worker.id: worker.capacity.minus(worker.used) for worker in able}
    starts = {worker.id: worker.starts for worker in able}
    return FitIndex(free, starts, SortedKeyList(free, key=lambda name: (free[name].cores, name)))


def find_worker(index: FitIndex, size: Size) -> str | None:
    """
    Find a worker that a job fits into, leaving large gaps for large jobs.

    :param index: the workers.
    :param size: what the job needs.
    :returns: id of a worker, or ``None``.
    """
    first = index.order.bisect_key_left((size.cores, ""))
    count = len(index.order)
    for position in range(first, min(first + PROBES, count)):
        name: str = index.order[position]
        if size.fits(index.free[name]):
            return name
    for position in range(count - 1, max(first + PROBES, count - PROBES) - 1, -1):
        name = index.order[position]
        if size.fits(index.free[name]):
            return name
    return None


def take_room(index: FitIndex, worker: str, size: Size) -> None:
    """
    Take a job's room at a worker.

    :param index: changed in place.
    :param worker: id of the worker.
    :param size: what the job needs.
    """
    index.order.remove(worker)
    index.free[worker] = index.free[worker].minus(size)
    index.starts[worker] -= 1
    if index.starts[worker] > 0:
        index.order.add(worker)


def leave_out(index: FitIndex, worker: str) -> None:
    """
    Give a worker no further job in this plan, except by preemption.

    :param index: changed in place.
    :param worker: id of the worker.
    """
    index.order.discard(worker)


def exchange_room(index: FitIndex, worker: str, freed: Size, size: Size) -> None:
    """
    Take the room of jobs that make place, which is not free before they have stopped.

    :param index: changed in place.
    :param worker: id of the worker.
    :param freed: what the jobs need that make place.
    :param size: what the new job needs.
    """
    leave_out(index, worker)
    index.free[worker] = index.free[worker].plus(freed).minus(size)
