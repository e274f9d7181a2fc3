"""
Chooses the instance to move when a pool's size changes.

Instances in good condition are preferred for pools, and those that balance the zones and racks of
the pool. What leaves for standby is chosen the other way round.
"""

from collections import Counter
from collections.abc import Iterable

import msgspec

from . import _candidates, _durations, _evacuation
from ._instances import MOVE, UP, former_order_expired, unmaintained_instances
from ._node import Moment, Node, Worker
from ._runs import runs_on
from .model import InstanceRow

# An instance in use is emptied only if its tasks should end within this time; moves take about as
# long.
MAX_REMAINING_S = 2.0
# Instances in use that are emptied at the same time; orders for more would wait for the service.
MAX_EMPTYING = 20
# An instance that isn't empty after this time is used again.
EMPTYING_TIMEOUT_S = 2 * MAX_REMAINING_S


class Choice(msgspec.Struct, eq=False):
    """
    What instances are chosen by in one decision on the pool sizes.

    :param places: number of instances by pool and zone, and by pool and rack.
    :param due: instances that a running wave is going to maintain.
    """

    places: Counter[tuple[str, str]]
    due: frozenset[str]


def new_choice(node: Node) -> Choice:
    """
    Sum up the places of the instances, with those that are moving to a pool.

    :param node: the instance, which owns the log.
    :returns: what to choose by.
    """
    choice = Choice(Counter(), frozenset(_due_instances(node)))
    for row in node.fleet.rows.values():
        _count(choice, row, node.fleet.pool_of.get(row.instance, row.pool), 1)
    return choice


def note_moved(choice: Choice, row: InstanceRow, former: str, pool: str) -> None:
    """
    Note that an instance goes to another pool than it would have.

    :param choice: what to choose by, updated in place.
    :param row: the instance.
    :param former: the pool that it was counted in.
    :param pool: the pool that it goes to.
    """
    _count(choice, row, former, -1)
    _count(choice, row, pool, 1)


def _count(choice: Choice, row: InstanceRow, pool: str, change: int) -> None:
    choice.places[pool, f"zone {row.zone}"] += change
    choice.places[pool, f"rack {row.rack}"] += change


def _due_instances(node: Node) -> Iterable[str]:
    for number, state in node.waves.items():
        if number not in node.replicated.closed_waves:
            yield from unmaintained_instances(node, state)


def is_available(node: Node, at: Moment, instance: str) -> bool:
    """
    Return whether an instance can be ordered now: it is neither draining, down nor ordered, and no
    former owner has ordered it recently.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param instance: the instance to move.
    :returns: whether it can be ordered.
    """
    fleet = node.fleet
    is_assigned = instance in fleet.draining or instance in fleet.down
    is_free = not is_assigned and instance not in fleet.in_flight
    return is_free and former_order_expired(node, at, instance)


def standby_instance(node: Node, at: Moment, choice: Choice, standby: str, pool: str) -> str | None:
    """
    Return the instance on standby that is best for a pool.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param choice: what to choose by.
    :param standby: name of the standby pool.
    :param pool: the pool that it is for.
    :returns: the instance, or ``None``.
    """
    rows = [
        row
        for row in node.fleet.rows.values()
        if row.pool == standby
        and row.state == UP
        and not _evacuation.is_evacuated(node, row.zone)
        and row.zone not in node.unreachable_zones
        and is_available(node, at, row.instance)
    ]
    best = min(rows, key=lambda row: _fitness(choice, row, pool, False), default=None)
    return best.instance if best is not None else None


def empty_instance(
    node: Node, at: Moment, choice: Choice, donor: str, pool: str | None
) -> str | None:
    """
    Return an empty instance of a pool: the best one for another pool, or the worst one.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param choice: what to choose by.
    :param donor: the pool that gives it.
    :param pool: the pool that it is for, or ``None`` for standby.
    :returns: the instance, or ``None``.
    """
    rows: dict[str, tuple[bool, int, int]] = {}
    for worker, row in _members(node, at, donor):
        if not _candidates.is_busy(node, worker):
            is_poor = _is_poor(at, worker)
            rows[row.instance] = _fitness(choice, row, donor if pool is None else pool, is_poor)
    if pool is None:
        return max(rows, key=rows.__getitem__, default=None)
    return min(rows, key=rows.__getitem__, default=None)


def empty_instances_of_zone(node: Node, at: Moment, pool: str, zone: str) -> list[str]:
    """
    Return the empty instances of a pool in an availability zone, which may be evacuated.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param pool: the pool.
    :param zone: the zone.
    :returns: the instances.
    """
    return [
        row.instance
        for worker, row in _answering_members(node, at, pool)
        if worker.entry.zone == zone and not _candidates.is_busy(node, worker)
    ]


def busy_instance(node: Node, at: Moment, donor: str) -> str | None:
    """
    Return the instance of a pool whose tasks should end soonest, if they do so soon and none of
    them is long-running.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param donor: the pool that gives it.
    :returns: the instance, or ``None``.
    """
    if len(node.fleet.emptying_since_s) >= MAX_EMPTYING:
        return None
    remaining_s = {
        row.instance: left_s
        for worker, row in _members(node, at, donor)
        if not worker.unknown_runs and (left_s := _remaining_s(node, worker)) <= MAX_REMAINING_S
    }
    return min(remaining_s, key=remaining_s.__getitem__, default=None)


def _members(node: Node, at: Moment, pool: str) -> Iterable[tuple[Worker, InstanceRow]]:
    """
    Yield the workers of a pool that answer, and whose instances can be ordered, outside evacuated
    availability zones.
    """
    for worker, row in _answering_members(node, at, pool):
        if not _evacuation.is_evacuated(node, worker.entry.zone):
            yield worker, row


def _answering_members(node: Node, at: Moment, pool: str) -> Iterable[tuple[Worker, InstanceRow]]:
    """
    Yield the workers of a pool that answer and whose instances can be ordered now.
    """
    for worker in node.workers.values():
        if worker.entry.service != pool or not worker.is_listed or not worker.is_held:
            continue
        row = node.fleet.rows.get(worker.entry.instance)
        if worker.is_failing or worker.entry.is_draining or row is None:
            continue
        if row.state == UP and row.pool == pool and is_available(node, at, row.instance):
            yield worker, row


def _remaining_s(node: Node, worker: Worker) -> float:
    """
    Return when the last task of a worker should end; infinite if one is long-running.
    """
    longest_s = 0.0
    for key in runs_on(node, worker.id):
        job = node.replicated.jobs[key.job]
        if job.spec.steps[key.step].is_long_running:
            return float("inf")
        row = worker.rows.get(key)
        left = 1 - row.percent / 100 if row is not None else 1.0
        longest_s = max(longest_s, left * _durations.expected_s(node.replicated, job, key.step))
    return longest_s


def _is_poor(at: Moment, worker: Worker) -> bool:
    return at.now_s < worker.slow_until_s or _candidates.is_suspect(worker)


def _fitness(choice: Choice, row: InstanceRow, pool: str, is_poor: bool) -> tuple[bool, int, int]:
    """
    Return the key by which an instance is chosen for a pool, the best one lowest.
    """
    is_poor = is_poor or row.instance in choice.due
    zone, rack = choice.places[pool, f"zone {row.zone}"], choice.places[pool, f"rack {row.rack}"]
    return (is_poor, zone, rack)


def is_emptying(node: Node, instance: str) -> bool:
    """
    Return whether an instance is emptied for a move that isn't ordered yet.

    :param node: the instance, which owns the log.
    :param instance: the instance to move.
    :returns: whether the move can be withdrawn without a trace.
    """
    fleet = node.fleet
    order = node.replicated.orders.get(instance)
    is_ordered = instance in fleet.in_flight or instance in fleet.down
    has_open_order = order is not None and not order.is_done
    return fleet.draining.get(instance) == MOVE and not is_ordered and not has_open_order
