"""
Classifies the workers of a pool by whether tasks can start on them, for log lines and metrics.
"""

from collections import Counter

from . import _workers
from ._candidates import Candidate
from ._instances import MOVE
from ._node import Moment, Node, Worker
from ._runs import runs_on
from .model import Resources

USABLE = "usable"
FULL = "full"
# The registry still has an entry of it, although its incarnation is taken for ended.
ENDED = "ended"
# It is no longer listed, but runs may be left on it.
UNLISTED = "unlisted"
UNREACHABLE = "unreachable"
# It has not accepted the fencing token of this owner yet.
UNANSWERED = "unanswered"
DRAINING = "draining"
INSTANCE_DOWN = "instance_down"
INSTANCE_MOVING = "instance_moving"
INSTANCE_MAINTAINED = "instance_maintained"
PAUSED = "paused"
SLOW = "slow"
SILENT_ZONE = "silent_zone"
OVERDUE = "overdue"
STATES = (
    USABLE,
    FULL,
    ENDED,
    UNLISTED,
    UNREACHABLE,
    UNANSWERED,
    DRAINING,
    INSTANCE_DOWN,
    INSTANCE_MOVING,
    INSTANCE_MAINTAINED,
    PAUSED,
    SLOW,
    SILENT_ZONE,
    OVERDUE,
)


def members(node: Node, service: str) -> list[Worker]:
    """
    Return the workers of a pool that are listed, that have an entry in the registry although they
    are taken for ended, or that may still have runs.

    :param node: the instance.
    :param service: name of the pool.
    :returns: the workers.
    """
    return [
        worker
        for worker in node.workers.values()
        if worker.entry.service == service
        and (worker.is_listed or worker.has_entry or runs_on(node, worker.id))
    ]


def ended_members(node: Node, service: str) -> list[Worker]:
    """
    Return the members of a pool that are taken for ended. The entry of a worker that has really
    ended expires; one that is kept for longer than that may belong to a worker that is up.

    :param node: the instance.
    :param service: name of the pool.
    :returns: the workers.
    """
    return [worker for worker in members(node, service) if worker.has_ended]


def count_states(
    node: Node, at: Moment, service: str, candidates: list[Candidate], need: Resources | None
) -> Counter[str]:
    """
    Count the members of a pool by state.

    :param node: the instance.
    :param at: the time.
    :param service: name of the pool.
    :param candidates: the workers of the pool that accept tasks.
    :param need: resources of a task that waits, or ``None`` if none does.
    :returns: the number of members by state; each member has one state.
    """
    free = {candidate.worker.id: candidate.free[0] for candidate in candidates}
    states: Counter[str] = Counter()
    for worker in members(node, service):
        available = free.get(worker.id)
        if available is None:
            states[_exclusion(node, at, worker)] += 1
        else:
            states[USABLE if need is None or need.fits(available) else FULL] += 1
    return states


def unconfirmed_state(worker: Worker) -> str:
    """
    Return why the runs that the log has on a worker can't be confirmed by the worker.

    :param worker: the worker.
    :returns: the state, or an empty string if the worker answers.
    """
    if worker.has_ended:
        return ENDED
    if not worker.is_listed:
        return UNLISTED
    if worker.is_failing:
        return UNREACHABLE
    return "" if worker.is_held else UNANSWERED


def _exclusion(node: Node, at: Moment, worker: Worker) -> str:
    """
    Return why no task starts on a worker.
    """
    unconfirmed = unconfirmed_state(worker)
    if unconfirmed:
        return unconfirmed
    instance = worker.entry.instance
    if worker.entry.is_draining:
        return DRAINING
    if instance in node.fleet.down:
        return INSTANCE_DOWN
    if instance in node.fleet.draining:
        is_moving = node.fleet.draining[instance] == MOVE
        return INSTANCE_MOVING if is_moving else INSTANCE_MAINTAINED
    if at.now_s < worker.no_starts_until_s:
        return PAUSED
    if worker.entry.zone in node.unreachable_zones:
        return SILENT_ZONE
    return OVERDUE if _workers.is_overdue(worker, at.now_s) else SLOW


def instances_moving_to(node: Node) -> Counter[str]:
    """
    Count the instances that move to each pool.

    :param node: the instance.
    :returns: the number of instances by pool.
    """
    return Counter(node.fleet.pool_of.values())
