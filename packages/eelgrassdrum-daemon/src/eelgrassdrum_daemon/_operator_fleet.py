"""
Operator views of pools and maintenance.
"""

from collections import Counter
from typing import Any

import msgspec

from eelgrassdrum_core import State
from eelgrassdrum_core._controllers import owned_shards
from eelgrassdrum_core._fleet_messages import IN_SERVICE, PURPOSE_MAINTENANCE
from eelgrassdrum_core._fleet_view import down_instances, is_inventory_fresh
from eelgrassdrum_core._maintenance import PERIOD_S, boot_age_s, is_due, round_of, view_of
from eelgrassdrum_core._moves import stuck_instances
from eelgrassdrum_core._pools import pools_of, shard_of, shards
from eelgrassdrum_core._pools_config import Pool

from ._operator_scope import Scope, sees_workspace


def view_pools(state: State, scope: Scope) -> list[dict[str, Any]]:
    """
    Return each pool with its sizes, its controller and its instances in transition.

    :param state: state of the instance.
    :param scope: scope of the operator's key.
    :returns: JSON-compatible data, one object per pool.
    """
    return [
        _view_pool(state, shard, pool)
        for shard in shards(state.fold)
        if sees_workspace(scope, shard)
        for pool in pools_of(state.fold, shard).values()
    ]


def _view_pool(state: State, shard: str, pool: Pool) -> dict[str, Any]:
    fold = state.fold.pools
    members = fold.members.get(pool.name, [])
    steps = Counter(fold.instances[name].step for name in members)
    claim = fold.claims.get(shard)
    return {
        "pool": pool.name,
        "role": pool.role,
        "service": pool.service,
        "spare": pool.spare,
        "size": {"min": pool.min, "target": pool.target, "max": pool.max},
        "in_service": steps.pop(IN_SERVICE, 0),
        "under_way": dict(steps),
        "instances": list(members),
        "stuck": [name for name in stuck_instances(state) if name in members],
        "controller": "" if claim is None else claim.instance,
    }


def view_maintenance(state: State, shard: str) -> dict[str, Any] | None:
    """
    Return a shard's maintenance round and the data from which its waves are planned.

    Only the controller reads the inventory; on other instances, every instance is assumed to be up.

    :param state: state of the instance.
    :param shard: name of the document.
    :returns: JSON-compatible data, or ``None`` when the document has no pools.
    """
    if not pools_of(state.fold, shard):
        return None
    has_inventory = shard in owned_shards(state) and is_inventory_fresh(state)
    down = down_instances(state) if has_inventory else frozenset()
    instances = state.fold.pools.instances
    members = [(name, entry) for name, entry in instances.items() if shard_of(entry.pool) == shard]
    claim = state.fold.pools.claims.get(shard)
    return {
        "round": msgspec.structs.asdict(round_of(state, shard)),
        "controller": "" if claim is None else claim.instance,
        "has_inventory": has_inventory,
        "instances": len(members),
        "due": sum(is_due(state, name, entry) for name, entry in members),
        "overdue": sum(boot_age_s(state, name, entry) > PERIOD_S for name, entry in members),
        "under_way": [name for name, entry in members if entry.purpose == PURPOSE_MAINTENANCE],
        "stuck": [name for name in stuck_instances(state) if name in instances],
        "view": view_of(state, shard, down),
    }
