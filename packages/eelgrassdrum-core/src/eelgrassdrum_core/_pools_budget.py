"""
Availability budgets: whether one more instance may stop.

An instance counts as up only when it is in service in the fold and nobody has found it down or
unseen. The fold asks the same question again when it takes the record, so that two requests that
raced can't spend the same room.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from ._fleet_messages import IN_SERVICE
from ._pools import FoldView, count_departing, pools_of, shard_of, shards
from ._pools_config import Pool


class Budget(NamedTuple):
    """
    How many instances of a service, or of a pool without one, are up and must stay so.

    :param up: instances in service and not known to be down.
    :param min_up: instances that must be up.
    """

    up: int
    min_up: int

    @property
    def headroom(self) -> int:
        """
        Instances that may stop now; negative when too few are up.
        """
        return self.up - self.min_up


def budget_of(fold: FoldView, pool: Pool, down: Collection[str]) -> Budget:
    """
    Give the budget that a pool's instances draw on.

    :param fold: the folded state.
    :param pool: the pool.
    :param down: ids of instances found down or unseen.
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
    Give the instances that draw on the same budget as a pool's.

    :param fold: the folded state.
    :param pool: the pool.
    :returns: ids of the members of all pools of its service, or its own without a service.
    """
    members = fold.pools.members
    return [name for other in _pools_sharing(fold, pool) for name in members.get(other, ())]


def may_stop(fold: FoldView, instance: str, target: str, down: Collection[str]) -> bool:
    """
    Tell whether an instance may drain without breaking a budget or a pool's least size.

    :param fold: the folded state.
    :param instance: id of the instance.
    :param target: pool that it goes to; its own for maintenance.
    :param down: ids of instances found down or unseen.
    :returns: whether it may.
    """
    entry = fold.pools.instances[instance]
    pool = pools_of(fold, shard_of(entry.pool)).get(entry.pool)
    if pool is None:
        return True
    if target != entry.pool and not _may_shrink(fold, pool):
        return False
    # The instance itself is left out, so one that is thought to be down may be back by now.
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
