"""
Configured pools, their member instances and their controllers, folded from the log.
"""

from bisect import insort
from typing import NamedTuple, Protocol

import msgspec

from ._allowance_fold import AllowanceFold
from ._config import ConfigFold
from ._fleet_messages import DRAINING, IN_SERVICE, LEFT
from ._pools_config import Pool


class FleetInstance(msgspec.Struct):
    """
    Folded state of one instance.

    :param pool: the pool that it is a member of.
    :param step: ``in_service``, ``draining``, ``left`` or ``returning``.
    :param epoch: offset of the record that set this step.
    :param target: destination pool of the current move, or empty.
    :param wanted: destination pool that an operator has requested, or empty.
    :param purpose: ``move`` or ``maintenance`` during a move, otherwise empty.
    :param booted_at_s: time of its last recorded boot, on the platform's clock.
    :param booted_offset: offset of the record with which it left its pool for its last reboot, 0
        before any reboot.
    """

    pool: str
    zone: str
    rack: str
    step: str = IN_SERVICE
    epoch: int = 0
    target: str = ""
    wanted: str = ""
    purpose: str = ""
    booted_at_s: float = 0.0
    booted_offset: int = 0


class Claim(NamedTuple):
    """
    The controller of a shard.

    :param instance: id of the entry instance.
    :param incarnation: incarnation of the entry instance.
    :param offset: offset of the claim record, the fencing token against earlier claims.
    """

    instance: str
    incarnation: int
    offset: int


class PoolFold(msgspec.Struct):
    """
    Instances, pool membership and shard controllers, folded from the log.

    :param instances: instances by id.
    :param members: sorted ids of the member instances, by pool.
    :param moving: ids of instances that are not in service.
    :param claims: current controllers by shard.
    """

    instances: dict[str, FleetInstance] = msgspec.field(default_factory=dict)
    members: dict[str, list[str]] = msgspec.field(default_factory=dict)
    moving: dict[str, bool] = msgspec.field(default_factory=dict)
    claims: dict[str, Claim] = msgspec.field(default_factory=dict)


class FoldView(Protocol):
    """
    The part of the folded state that code for pools reads.
    """

    config: ConfigFold
    pools: PoolFold
    allowances: AllowanceFold


def shard_of(pool: str) -> str:
    """
    Return the shard of a pool, which is the document that defines the pool.

    :param pool: ``WORKSPACE/POOL``.
    :returns: name of the document.
    """
    return pool.partition("/")[0]


def pools_of(fold: FoldView, shard: str) -> dict[str, Pool]:
    """
    Return the pools of the current revision of a document.

    :param fold: the folded state.
    :param shard: name of the document.
    :returns: pools by ``WORKSPACE/POOL``.
    """
    return fold.config.pools.get(shard, {})


def find_pool(fold: FoldView, name: str) -> Pool | None:
    """
    Return a pool by its full name.

    :param fold: the folded state.
    :param name: ``WORKSPACE/POOL``.
    :returns: the pool, or ``None`` when no document defines it.
    """
    return pools_of(fold, shard_of(name)).get(name)


def shards(fold: FoldView) -> list[str]:
    """
    Return the shards, which are the documents that define pools.

    :param fold: the folded state.
    :returns: sorted names of the documents.
    """
    return [name for name, pools in sorted(fold.config.pools.items()) if pools]


def put_in_pool(pools: PoolFold, instance: str, pool: str) -> None:
    """
    Make an instance a member of a pool and remove it from its previous pool.

    :param pools: the folded pools, modified in place.
    :param instance: id of the instance.
    :param pool: ``WORKSPACE/POOL``.
    """
    entry = pools.instances[instance]
    remove_from_pool(pools, instance)
    insort(pools.members.setdefault(pool, []), instance)
    entry.pool = pool


def remove_from_pool(pools: PoolFold, instance: str) -> None:
    """
    Remove an instance from the members of its pool.

    :param pools: the folded pools, modified in place.
    :param instance: id of the instance.
    """
    members = pools.members.get(pools.instances[instance].pool, [])
    if instance in members:
        members.remove(instance)


def count_arriving(pools: PoolFold, pool: str) -> int:
    """
    Count the instances that are draining in order to move to a pool.

    :param pools: the folded pools.
    :param pool: ``WORKSPACE/POOL``.
    :returns: number of instances, none of which is a member yet.
    """
    return sum(_is_draining_to(pools.instances[name], pool) for name in pools.moving)


def count_departing(pools: PoolFold, pool: str) -> int:
    """
    Count the members of a pool that are draining in order to move to another pool.

    :param pools: the folded pools.
    :param pool: ``WORKSPACE/POOL``.
    :returns: number of instances, all of which are still members.
    """
    moving = (pools.instances[name] for name in pools.moving)
    return sum(
        entry.pool == pool and entry.step == DRAINING and entry.target != pool for entry in moving
    )


def count_joining(pools: PoolFold, pool: str) -> int:
    """
    Count the members of a pool that have finished draining and are not in service yet.

    :param pools: the folded pools.
    :param pool: ``WORKSPACE/POOL``.
    :returns: number of instances, all of which are already members.
    """
    moving = (pools.instances[name] for name in pools.moving)
    return sum(entry.pool == pool and entry.step == LEFT for entry in moving)


def _is_draining_to(entry: FleetInstance, pool: str) -> bool:
    return entry.step == DRAINING and entry.target == pool and entry.pool != pool
