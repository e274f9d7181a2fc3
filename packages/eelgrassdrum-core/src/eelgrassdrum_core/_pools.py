"""
Pools as configured, and who is in them as decided by the log.
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
    One instance of the fold.

    :param pool: the one pool that it belongs to.
    :param step: ``in_service``, ``draining``, ``left`` or ``returning``.
    :param epoch: offset of the record that brought it to this step.
    :param target: pool that a move leads to, or empty.
    :param wanted: pool that an operator wants it in, or empty.
    :param purpose: ``move`` or ``maintenance`` while a move is under way.
    :param booted_at_s: platform's time of its last recorded boot.
    :param booted_offset: record after which it was in service again, 0 before any reboot.
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
    Who controls a shard.

    :param instance: the entry instance.
    :param incarnation: its incarnation.
    :param offset: record of the claim, which fences earlier ones.
    """

    instance: str
    incarnation: int
    offset: int


class PoolFold(msgspec.Struct):
    """
    Instances, their pools, and controllers as decided by the log.

    :param members: ids of a pool's instances, sorted.
    :param moving: ids of instances that are not in service.
    """

    instances: dict[str, FleetInstance] = msgspec.field(default_factory=dict)
    members: dict[str, list[str]] = msgspec.field(default_factory=dict)
    moving: dict[str, bool] = msgspec.field(default_factory=dict)
    claims: dict[str, Claim] = msgspec.field(default_factory=dict)


class FoldView(Protocol):
    """
    The part of the folded state that pools depend on.
    """

    config: ConfigFold
    pools: PoolFold
    allowances: AllowanceFold


def shard_of(pool: str) -> str:
    """
    Give the shard that controls a pool: the document that the pool stands in.

    :param pool: ``WORKSPACE/POOL``.
    :returns: the document's name.
    """
    return pool.partition("/")[0]


def pools_of(fold: FoldView, shard: str) -> dict[str, Pool]:
    """
    Give the pools of a document in force.

    :param fold: the folded state.
    :param shard: name of the document.
    :returns: pools by full name.
    """
    return fold.config.pools.get(shard, {})


def find_pool(fold: FoldView, name: str) -> Pool | None:
    """
    Find a pool by its full name.

    :param fold: the folded state.
    :param name: ``WORKSPACE/POOL``.
    :returns: the pool, or ``None`` when no document has it.
    """
    return pools_of(fold, shard_of(name)).get(name)


def shards(fold: FoldView) -> list[str]:
    """
    Give the documents that have pools.

    :param fold: the folded state.
    :returns: their names, sorted.
    """
    return [name for name, pools in sorted(fold.config.pools.items()) if pools]


def put_in_pool(pools: PoolFold, instance: str, pool: str) -> None:
    """
    Make an instance a member of a pool, and of no other.

    :param pools: changed in place.
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

    :param pools: changed in place.
    :param instance: id of the instance.
    """
    members = pools.members.get(pools.instances[instance].pool, [])
    if instance in members:
        members.remove(instance)


def count_arriving(pools: PoolFold, pool: str) -> int:
    """
    Count the instances that drain to come to a pool.

    :param pools: the folded pools.
    :param pool: ``WORKSPACE/POOL``.
    :returns: instances that are not members yet.
    """
    return sum(_is_draining_to(pools.instances[name], pool) for name in pools.moving)


def count_departing(pools: PoolFold, pool: str) -> int:
    """
    Count the members of a pool that drain to go elsewhere.

    :param pools: the folded pools.
    :param pool: ``WORKSPACE/POOL``.
    :returns: instances that are members still.
    """
    moving = (pools.instances[name] for name in pools.moving)
    return sum(
        entry.pool == pool and entry.step == DRAINING and entry.target != pool for entry in moving
    )


def count_joining(pools: PoolFold, pool: str) -> int:
    """
    Count the members of a pool that have left another one and are not in service yet.

    :param pools: the folded pools.
    :param pool: ``WORKSPACE/POOL``.
    :returns: instances that are members already.
    """
    moving = (pools.instances[name] for name in pools.moving)
    return sum(entry.pool == pool and entry.step == LEFT for entry in moving)


def _is_draining_to(entry: FleetInstance, pool: str) -> bool:
    return entry.step == DRAINING and entry.target == pool and entry.pool != pool
