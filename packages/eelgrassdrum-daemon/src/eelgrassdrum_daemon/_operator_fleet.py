"""
What operators are shown of pools.
"""

from collections import Counter
from typing import Any

from eelgrassdrum_core import State
from eelgrassdrum_core._fleet_messages import IN_SERVICE
from eelgrassdrum_core._moves import stuck_instances
from eelgrassdrum_core._pools import Pool, pools_of, shards

from ._operator_scope import Scope, sees_workspace


def view_pools(state: State, scope: Scope) -> list[dict[str, Any]]:
    """
    Show each pool with its sizes, its controller and what is under way.

    :param state: state of the instance.
    :param scope: what may be seen.
    :returns: plain data, one object per pool.
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
