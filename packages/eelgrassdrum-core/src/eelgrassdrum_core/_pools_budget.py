"""
Availability budgets, which decide whether one more instance may be taken out of service.

An instance counts as up only when it is in service in the folded state and isn't reported as down
or missing from the inventory. The check is repeated when the record is folded, so that two
concurrent requests can't use the same headroom.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from ._fleet_messages import IN_SERVICE
from ._pools import FoldView, count_departing, pools_of, shard_of, shards
from ._pools_config import Pool


class Budget(NamedTuple):
    """
    Availability budget of a service, or of a pool without a service.

    :param up: number of instances that are in service and not known to be down.
    :param min_up: number of instances that must be up.
    """

    up: int
    min_up: int

    @property
    def headroom(self) -> int:
        """
        Number of instances that may stop now, negative when too few are up.
        """
        return self.up - self.min_up


def budget_of(fold: FoldView, pool: Pool, down: Collection[str]) -> Budget:
    """
    Return the availability budget that applies to the instances of a pool.

    :param fold: the folded state.
    :param pool: the pool.
    :param down: ids of instances that are down or missing from the inventory.
    :returns: the budget.
    """
    up = _count_up(fold, _pools_sharing(fold, pool), down)
    if not pool.service:
        return Budget(up, 0 if pool.spare else pool.min)
    service = fold.config.services.get(pool.service)
    min_up = 0 if service is None else service.executors - service.max_unavailable
    return Budget(up, min_up)


def budget_members(fold: FoldView, pool: Pool) -> list[str]:
    """
    Return the instances that share the availability budget of a pool.

    :param fold: the folded state.
    :param pool: the pool.
    :returns: ids of the members of all pools of its service, or only of this pool when it has no
        service.
    """
    members = fold.pools.members
    return [name for other in _pools_sharing(fold, pool) for name in members.get(other, ())]


def may_stop(fold: FoldView, instance: str, target: str, down: Collection[str]) -> bool:
    """
    Return whether an instance may drain without violating its budget or its pool's minimum size.

    :param fold: the folded state.
    :param instance: id of the instance.
    :param target: destination pool, its current pool for maintenance.
    :param down: ids of instances that are down or missing from the inventory.
    :returns: whether the instance may drain.
    """
    entry = fold.pools.instances[instance]
    pool = pools_of(fold, shard_of(entry.pool)).get(entry.pool)
    if pool is None:
        return True
    if target != entry.pool and not _may_shrink(fold, pool):
        return False
    # Counts the instance as down in any case: one that was reported as down may be up again by now.
    return budget_of(fold, pool, {*down, instance}).headroom >= 0


def _may_shrink(fold: FoldView, pool: Pool) -> bool:
    members = len(fold.pools.members.get(pool.name, ()))
    return members - count_departing(fold.pools, pool.name) - 1 >= pool.min


def _pools_sharing(fold: FoldView, pool: Pool) -> list[str]:
    if not pool.service:
        return [pool.name]
    return [
        other.name
        for shard in shards(fold)
        for other in pools_of(fold, shard).values()
        if other.service == pool.service
    ]


def _count_up(fold: FoldView, pools: Iterable[str], down: Collection[str]) -> int:
    instances = fold.pools.instances
    return sum(
        instances[name].step == IN_SERVICE and name not in down
        for pool in pools
        for name in fold.pools.members.get(pool, ())
    )
