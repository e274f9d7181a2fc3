"""
Moves instances between pools, so that each pool has the capacity that its queues need.

This is designed for shifting demand: each queue is nearly idle for most of the time and then needs
several times its mean for some seconds. Instances that are not needed wait in the standby pool,
where they cost nothing, and move to the pool that has the demand.
"""

import math
from collections import defaultdict
from collections.abc import Mapping

import msgspec

from . import _evacuation, _pool_instances, _pool_needs, _pool_sizes, _reserves
from ._instances import MOVE, UP, may_decide
from ._journal import write
from ._node import Moment, Node, Worker, log_line
from ._pool_needs import PoolNeed
from ._records import BurstSeen
from .model import NO_RESOURCES, InstanceRow, Resources

# Empty instances that each pool keeps beyond its need, for the first work of a burst, which arrives
# before more instances can be moved.
MIN_RESERVE = 2
# The reserve as a fraction of an even share of all instances, since the demand of large pools rises
# by more instances while the first ones move.
RESERVE_FRACTION = 1 / 4
# A pool gives an instance away only after it has been too large for this time, in which an idle
# instance costs as much as moving it away and back. Pools that are too small get it at once.
SURPLUS_DELAY_S = 2.0
MOVING = "moving"
# Time from the demand for an instance to the order for it, beside the move itself: the decision,
# its record in the log, and the worker's first list.
DECISION_S = 0.4
# Interval between decisions on the pool sizes.
RESIZE_INTERVAL_S = 0.1
# Minimum interval between lines about pools that share too few instances.
LINE_INTERVAL_S = 1.0


class PoolState(msgspec.Struct, eq=False):
    """
    Sizing of a pool over time.

    :param surplus_since_s: since when the pool has been too large, or ``None``.
    :param wanted: number of instances that it should have.
    :param needed: number of instances that its work needs, whether they exist or not.
    """

    surplus_since_s: float | None = None
    wanted: int = 0
    needed: int = 0


class Resizing(msgspec.Struct, eq=False):
    """
    A decision on the sizes of the pools.

    :param standby: name of the standby pool.
    :param sizes: number of instances that each other pool has once all moves are done.
    :param work: number of instances that each of them gets for its work.
    :param is_scarce: whether its work needs more instances than there are.
    :param choice: what instances are chosen by, once the first one is.
    """

    standby: str
    sizes: dict[str, int]
    work: dict[str, int]
    is_scarce: bool = False
    choice: _pool_instances.Choice | None = None


def advance(node: Node, at: Moment) -> None:
    """
    Decide which instances move to other pools.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    if at.now_s < node.next_pools_s or node.config is None or not node.fleet.rows:
        return
    node.next_pools_s = at.now_s + RESIZE_INTERVAL_S
    if not may_decide(node, at):
        # What was seen until now is no evidence of a surplus once the store responds again.
        for state in node.pools.values():
            state.surplus_since_s = None
        _reserves.note_unknown(node.bursts, at.now_s)
        return
    standby = next((s.name for s in node.config.services.values() if s.is_standby), None)
    if standby is None or not _is_state_known(node, at):
        return
    members = _count_members(node, at)
    names = [service.name for service in node.config.services.values() if not service.is_standby]
    known = _pool_needs.pool_needs(node, at)
    needs = {name: known.get(name, _pool_needs.NO_NEED) for name in names}
    resizing = _determine_sizes(node, at, standby, needs, members)
    _withdraw_moves(node, at, resizing)
    _divert_evacuated(node, standby)
    # What work needs now goes before the reserves.
    _add_instances(node, at, resizing, resizing.work)
    _add_instances(node, at, resizing, {name: node.pools[name].wanted for name in names})
    _release_surplus(node, at, resizing)
    _release_evacuated(node, at, resizing)


def _determine_sizes(
    node: Node,
    at: Moment,
    standby: str,
    needs: Mapping[str, PoolNeed],
    members: Mapping[str, int],
) -> Resizing:
    """
    Determine how many instances each pool should have.
    """
    size = _mean_size(node)
    short = {
        name: size.millicores * _pool_sizes.dominant(need.running.plus(need.waiting), size)
        for name, need in needs.items()
    }
    _record_burst(node, at, _reserves.note_demand(node.bursts, at.now_s, short, size.millicores))
    needed = {
        name: _pool_sizes.instances_for(need.total, size) + need.isolating
        for name, need in needs.items()
    }
    existing = sum(members.values())
    resizing = Resizing(standby, {name: members.get(name, 0) for name in needs}, needed)
    # A single pool has none to share with, so that nothing bounds what it asks for.
    has_others = len(needs) > 1
    if has_others and sum(needed.values()) > existing:
        _share(node, resizing, needs, existing, size)
    usual, lead_s = _usual_reserve(node), node.bounds.move_s + DECISION_S
    for name in needs:
        state = node.pools.setdefault(name, PoolState())
        reserve = 0
        if not resizing.is_scarce:
            reserve = _reserves.reserve(
                node.bursts, at.now_s, name, short, usual, size.millicores, lead_s
            )
        state.needed = needed[name]
        wanted = resizing.work[name] + reserve
        state.wanted = max(1, min(existing, wanted) if has_others else wanted)
    if resizing.is_scarce:
        _log_sizes(node, at, resizing, members)
    return resizing


def _share(
    node: Node,
    resizing: Resizing,
    needs: Mapping[str, PoolNeed],
    existing: int,
    size: Resources,
) -> None:
    """
    Divide the instances among the pools if their work needs more of them, as far as the limits of
    the workspaces let it run.
    """
    workspaces = node.config.workspaces if node.config is not None else {}
    allowed = _pool_needs.allowed_parts(node, needs.values())
    claims = {
        name: _pool_sizes.claim_of(need, allowed, size, workspaces) for name, need in needs.items()
    }
    resizing.is_scarce = sum(claim.needed for claim in claims.values()) > existing
    resizing.work = _pool_sizes.share_instances(existing, claims)


def _log_sizes(node: Node, at: Moment, resizing: Resizing, members: Mapping[str, int]) -> None:
    if at.now_s < node.next_sizes_line_s:
        return
    node.next_sizes_line_s = at.now_s + LINE_INTERVAL_S
    log_line(
        node,
        "pool.sizes",
        existing=sum(members.values()),
        free=members.get(resizing.standby, 0),
        needed={name: node.pools[name].needed for name in resizing.sizes},
        share=resizing.work,
        members=resizing.sizes,
        emptying=len(node.fleet.emptying_since_s),
        list_age_s=round(at.now_s - node.fleet.rows_s, 3),
    )


def _record_burst(node: Node, at: Moment, pool: str | None) -> None:
    """
    Record what a pool needed in the beginning of its burst, which is unknown to later owners.
    """
    if pool is None:
        return
    bursts = node.bursts
    begun_ms, need = round(bursts.begun_s[pool] * 1000), round(bursts.needs[pool])
    epoch = node.ownership.epoch
    write(node, at, BurstSeen(epoch, pool, begun_ms, need, bursts.is_rotating))
    log_line(node, "pool.burst", pool=pool, millicores=need, is_in_turn=bursts.is_rotating)


def _add_instances(node: Node, at: Moment, resizing: Resizing, wanted: Mapping[str, int]) -> None:
    """
    Move instances to the pools that are too small, the smallest by comparison first.
    """
    sizes = resizing.sizes
    for name in sorted(sizes, key=lambda pool: sizes[pool] - wanted[pool]):
        for _ in range(max(0, wanted[name] - sizes[name])):
            if not _add_instance(node, at, name, resizing):
                break


def _is_state_known(node: Node, at: Moment) -> bool:
    """
    Return whether each listed worker has answered this owner or failed to answer, and the instances
    and workers were listed after the claim. There may be no workers, if all instances are on
    standby.
    """
    is_known = all(
        worker.is_held or worker.is_failing for worker in node.workers.values() if worker.is_listed
    )
    is_listed = node.fleet.rows_s > node.ownership.claimed_s
    is_read = bool(node.workers) or node.registry.last_success_s > node.ownership.claimed_s
    return is_known and is_listed and is_read


def _count_members(node: Node, at: Moment) -> dict[str, int]:
    """
    Count the instances of each pool, including those that are moving to it, without those of
    evacuated availability zones.
    """
    fleet = node.fleet
    members: dict[str, int] = defaultdict(int)
    for row in _usable_rows(node):
        if row.instance in fleet.pool_of:
            members[fleet.pool_of[row.instance]] += 1
        elif row.state in (UP, MOVING) and row.instance not in fleet.draining:
            worker = node.workers.get(row.worker)
            is_silent = worker is None and not row.worker and row.zone in node.unreachable_zones
            if not is_silent and (worker is None or _is_usable(worker, at)):
                members[row.pool] += 1
    return members


def _usable_rows(node: Node) -> list[InstanceRow]:
    """
    Return the instances outside evacuated availability zones.
    """
    rows = node.fleet.rows.values()
    return [row for row in rows if not _evacuation.is_evacuated(node, row.zone)]


def _is_usable(worker: Worker, at: Moment) -> bool:
    """
    Return whether a worker counts towards the size of its pool.
    """
    is_slow = at.now_s < worker.slow_until_s
    is_down = worker.has_ended or worker.is_failing
    return not (worker.entry.is_draining or is_down or is_slow)


def _mean_size(node: Node) -> Resources:
    """
    Return the mean resources of an instance.
    """
    total = NO_RESOURCES
    for row in node.fleet.rows.values():
        total = total.plus(row.capacity)
    return _pool_needs.scaled(total, 1 / len(node.fleet.rows))


def _usual_reserve(node: Node) -> int:
    """
    Return the reserve of a pool about whose next burst nothing is known.
    """
    services = node.config.services if node.config else {}
    even_share = len(_usable_rows(node)) / max(1, len(services))
    return max(MIN_RESERVE, math.ceil(even_share * RESERVE_FRACTION))


def _add_instance(node: Node, at: Moment, pool: str, resizing: Resizing) -> bool:
    """
    Move one instance to a pool, from standby or from another pool, and return whether one was
    found.
    """
    leaving = _instance_leaving_for(node, resizing.standby, pool)
    if leaving is not None:
        _redirect(node, leaving, pool)
        resizing.sizes[pool] += 1
        return True
    choice = _choice(node, resizing)
    instance = _pool_instances.standby_instance(node, at, choice, resizing.standby, pool)
    instance = instance or _surplus_instance(node, at, pool, resizing)
    if instance is None:
        return False
    _start_move(node, resizing, instance, pool)
    resizing.sizes[pool] += 1
    return True


def _choice(node: Node, resizing: Resizing) -> _pool_instances.Choice:
    if resizing.choice is None:
        resizing.choice = _pool_instances.new_choice(node)
    return resizing.choice


def _instance_leaving_for(node: Node, standby: str, pool: str) -> str | None:
    """
    Return an instance whose move to standby is not recorded yet, preferably one of a given pool.
    """
    fleet = node.fleet
    leaving = [
        row.instance
        for row in _usable_rows(node)
        if fleet.pool_of.get(row.instance) == standby and _is_unordered(node, row.instance)
    ]
    return min(leaving, key=lambda name: fleet.rows[name].pool != pool, default=None)


def _is_unordered(node: Node, instance: str) -> bool:
    """
    Return whether the order to move an instance isn't recorded yet.
    """
    fleet = node.fleet
    is_ordered = instance in fleet.down or instance in fleet.in_flight
    is_moving = fleet.draining.get(instance) == MOVE
    return is_moving and not is_ordered and not _has_open_order(node, instance)


def _has_open_order(node: Node, instance: str) -> bool:
    """
    Return whether an order for an instance is recorded and may have been sent without an answer.
    """
    order = node.replicated.orders.get(instance)
    return order is not None and not order.is_done


def _redirect(node: Node, instance: str, pool: str) -> None:
    """
    Let an instance that leaves for another pool go to this one instead, or stay if it is its own.
    """
    if node.fleet.rows[instance].pool != pool:
        node.fleet.pool_of[instance] = pool
        _log_move(node, instance, pool)
        return
    del node.fleet.draining[instance]
    del node.fleet.pool_of[instance]
    log_line(node, "pool.move_cancelled", instance=instance, pool=pool)


def _divert_evacuated(node: Node, standby: str) -> None:
    """
    Let instances of evacuated availability zones that leave for a pool go to standby instead, or
    stay there. Moves that are ordered go on.
    """
    for instance, target in list(node.fleet.pool_of.items()):
        row = node.fleet.rows.get(instance)
        if row is None or target == standby or not _evacuation.is_evacuated(node, row.zone):
            continue
        if _pool_instances.is_emptying(node, instance):
            _redirect(node, instance, standby)


def _surplus_instance(node: Node, at: Moment, pool: str, resizing: Resizing) -> str | None:
    """
    Return an instance of another pool that has a surplus, the largest one first, or ``None``: an
    empty one, or while there are too few also one whose tasks end soon.
    """
    sizes = resizing.sizes
    surplus = {name: sizes[name] - node.pools[name].wanted for name in sizes if name != pool}
    donors = sorted(
        (name for name in surplus if surplus[name] > 0), key=surplus.__getitem__, reverse=True
    )
    choice = _choice(node, resizing)
    for donor in donors:
        instance = _pool_instances.empty_instance(node, at, choice, donor, pool)
        if instance is not None:
            sizes[donor] -= 1
            return instance
    if not resizing.is_scarce:
        return None
    is_starved = sizes[pool] < _pool_sizes.STARVED_PART * resizing.work[pool]
    for donor in donors:
        if not is_starved and not _pool_sizes.exceeds_share(sizes[donor], resizing.work[donor]):
            continue
        instance = _pool_instances.busy_instance(node, at, donor)
        if instance is not None:
            node.fleet.emptying_since_s[instance] = at.now_s
            sizes[donor] -= 1
            return instance
    return None


def _withdraw_moves(node: Node, at: Moment, resizing: Resizing) -> None:
    """
    Use instances again that were to be emptied for a pool which no longer needs them, or that take
    too long.
    """
    fleet = node.fleet
    for instance, since_s in list(fleet.emptying_since_s.items()):
        if not _pool_instances.is_emptying(node, instance) or instance not in fleet.rows:
            del fleet.emptying_since_s[instance]
            continue
        former, pool = fleet.rows[instance].pool, fleet.pool_of[instance]
        is_late = at.now_s - since_s > _pool_instances.EMPTYING_TIMEOUT_S
        is_short = resizing.sizes.get(former, 0) < resizing.work.get(former, 0)
        is_unneeded = is_short and resizing.sizes.get(pool, 0) > resizing.work.get(pool, 0)
        if not (is_late or is_unneeded):
            continue
        for pending in (fleet.emptying_since_s, fleet.draining, fleet.pool_of):
            pending.pop(instance, None)
        if pool in resizing.sizes:
            resizing.sizes[pool] -= 1
        if former in resizing.sizes:
            resizing.sizes[former] += 1
        log_line(node, "pool.move_cancelled", instance=instance, pool=former)


def _release_surplus(node: Node, at: Moment, resizing: Resizing) -> None:
    """
    Move empty instances of pools that have been too large for some time to standby.

    While a burst begins they stay: it may need them soon, and on their way they can't be ordered.
    """
    sizes = resizing.sizes
    is_held = resizing.is_scarce or _reserves.is_beginning(node.bursts, at.now_s)
    for name in sizes:
        state = node.pools[name]
        if sizes[name] <= state.wanted:
            state.surplus_since_s = None
            continue
        if state.surplus_since_s is None:
            state.surplus_since_s = at.now_s
        if is_held or at.now_s - state.surplus_since_s < SURPLUS_DELAY_S:
            continue
        for _ in range(sizes[name] - state.wanted):
            choice = _choice(node, resizing)
            instance = _pool_instances.empty_instance(node, at, choice, name, None)
            if instance is None:
                break
            sizes[name] -= 1
            _start_move(node, resizing, instance, resizing.standby)


def _release_evacuated(node: Node, at: Moment, resizing: Resizing) -> None:
    """
    Move empty instances of availability zones that have been evacuated for some time to standby.
    """
    for zone, since_s in _evacuation.evacuated_since_s(node).items():
        if at.now_s - since_s < SURPLUS_DELAY_S:
            continue
        for pool in resizing.sizes:
            for instance in _pool_instances.empty_instances_of_zone(node, at, pool, zone):
                _start_move(node, resizing, instance, resizing.standby)


def _start_move(node: Node, resizing: Resizing, instance: str, pool: str) -> None:
    row = node.fleet.rows[instance]
    _pool_instances.note_moved(_choice(node, resizing), row, row.pool, pool)
    node.fleet.draining[instance] = MOVE
    node.fleet.pool_of[instance] = pool
    _log_move(node, instance, pool)


def _log_move(node: Node, instance: str, pool: str) -> None:
    log_line(
        node,
        "pool.move",
        instance=instance,
        former=node.fleet.rows[instance].pool,
        pool=pool,
        wanted={name: state.wanted for name, state in node.pools.items()},
    )
