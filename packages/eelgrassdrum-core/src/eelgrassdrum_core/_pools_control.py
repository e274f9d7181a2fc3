"""
Planning of the shards that this instance controls: adds new instances, removes missing ones, starts
the moves that operators have requested and those that the planner chooses.
"""

from collections.abc import Iterator

from ._controllers import claim_of, owned_shards, propose_record
from ._events import Ticked
from ._fleet_messages import (
    IN_SERVICE,
    INSTANCE_ADDED,
    INSTANCE_REMOVED,
    MOVE_STARTED,
    PURPOSE_MOVE,
    move_subject,
)
from ._fleet_state import NEVER_S, DemandHistory
from ._fleet_view import (
    REMOVE_MISSING_AFTER_S,
    down_instances,
    is_inventory_fresh,
    service_load_quantiles,
)
from ._handlers import HandlerTable
from ._pools import count_arriving, count_departing, find_pool, pools_of, shard_of
from ._pools_budget import budget_members, budget_of, may_stop
from ._pools_config import Pool
from ._pools_forecast import add_samples, forecast_utilization
from ._pools_planner import PoolNeed, Weights, plan_moves
from ._state import State

SAMPLE_EVERY_S = 20.0
PLAN_EVERY_S = 5.0
ADDED_PER_PLAN = 200


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Sample the demand, and plan each controlled shard at its interval.
    """
    if state.now_s - state.fleet.demand_sampled_s >= SAMPLE_EVERY_S:
        state.fleet.demand_sampled_s = state.now_s
        _sample_demand(state)
    if state.stopping or not state.log.available or not is_inventory_fresh(state):
        return
    for shard in owned_shards(state):
        if state.now_s - state.fleet.moves_planned_s.get(shard, NEVER_S) >= PLAN_EVERY_S:
            state.fleet.moves_planned_s[shard] = state.now_s
            yield from plan_shard(state, shard)


def plan_shard(state: State, shard: str) -> Iterator[object]:
    """
    Propose the records that a shard needs now.

    :param state: state of this entry instance.
    :param shard: name of the document.
    :returns: the effects.
    """
    yield from _add_new_instances(state, shard)
    yield from _remove_missing_instances(state, shard)
    down = down_instances(state)
    yield from _start_requested_moves(state, shard, down)
    moves = plan_moves(needs_of(state, shard, down), weights_of(state))
    chosen: set[str] = set()
    for move in moves:
        name = _choose_instance(state, move.origin, move.target, down, chosen)
        if name is not None:
            chosen.add(name)
            yield from start_move(state, name, move.target, PURPOSE_MOVE, down)


def start_move(
    state: State, name: str, target: str, purpose: str, down: frozenset[str]
) -> Iterator[object]:
    """
    Propose the record that starts to drain an instance.

    :param state: state of this entry instance.
    :param name: id of the instance.
    :param target: destination pool.
    :param purpose: ``move`` or ``maintenance``.
    :param down: ids of instances that are down or missing from the inventory.
    :returns: the effects.
    """
    origin = state.fold.pools.instances[name].pool
    pool = find_pool(state.fold, origin)
    sharing = [] if pool is None else budget_members(state.fold, pool)
    body = {
        "instance": name,
        "target": target,
        "purpose": purpose,
        "claim": claim_of(state, shard_of(origin)),
        "down": sorted(item for item in sharing if item in down),
    }
    yield from propose_record(state, MOVE_STARTED, move_subject(name), body)


def needs_of(state: State, shard: str, down: frozenset[str]) -> list[PoolNeed]:
    """
    Build the input of the planner for the pools of a shard.

    :param state: state of this entry instance.
    :param shard: name of the document.
    :param down: ids of instances that are down or missing from the inventory.
    :returns: one need per pool.
    """
    return [_need_of(state, pool, down) for pool in pools_of(state.fold, shard).values()]


def weights_of(state: State) -> Weights:
    """
    Return the weights that the ``fleet`` document configures.

    :param state: state of this entry instance.
    :returns: the weights, all 1 without this document.
    """
    revisions = state.fold.config.documents.get("fleet")
    if not revisions:
        return Weights()
    measures = revisions[-1].document["measures"]
    return Weights(**{name: float(measures[name]) for name in Weights._fields})


def is_backing_off(state: State, name: str) -> bool:
    """
    Return whether an instance must not be drained again yet.

    :param state: state of this entry instance.
    :param name: id of the instance.
    :returns: whether its last drains timed out and its backoff has not elapsed.
    """
    backoff = state.fleet.drain_backoffs.get(name)
    return backoff is not None and state.now_s < backoff.retry_at_s


def _need_of(state: State, pool: Pool, down: frozenset[str]) -> PoolNeed:
    fold = state.fold
    members = len(fold.pools.members.get(pool.name, ()))
    size = members + count_arriving(fold.pools, pool.name) - count_departing(fold.pools, pool.name)
    history = state.fleet.demand.get(pool.service)
    headroom = budget_of(fold, pool, down).headroom
    return PoolNeed(
        pool.name,
        pool.role,
        pool.min,
        pool.target,
        pool.max,
        pool.spare,
        size,
        headroom,
        forecast_utilization(history, pool.target, pool.max),
    )


def _add_new_instances(state: State, shard: str) -> Iterator[object]:
    pools = pools_of(state.fold, shard)
    known = state.fold.pools.instances
    count = 0
    for item in state.fleet.inventory.instances.values():
        if item.id in known or item.pool not in pools or count >= ADDED_PER_PLAN:
            continue
        count += 1
        body = {
            "instance": item.id,
            "pool": item.pool,
            "zone": item.zone,
            "rack": item.rack,
            "booted_at_s": item.booted_at_s,
            "claim": claim_of(state, shard),
        }
        yield from propose_record(state, INSTANCE_ADDED, move_subject(item.id), body)


def _remove_missing_instances(state: State, shard: str) -> Iterator[object]:
    inventory = state.fleet.inventory
    for name, entry in state.fold.pools.instances.items():
        if name not in inventory.instances and shard_of(entry.pool) == shard:
            missing_since_s = inventory.missing_since_s.setdefault(name, state.now_s)
            if state.now_s - missing_since_s >= REMOVE_MISSING_AFTER_S:
                body = {"instance": name, "claim": claim_of(state, shard)}
                yield from propose_record(state, INSTANCE_REMOVED, move_subject(name), body)


def _start_requested_moves(state: State, shard: str, down: frozenset[str]) -> Iterator[object]:
    for name, entry in state.fold.pools.instances.items():
        if not entry.wanted or entry.step != IN_SERVICE or shard_of(entry.pool) != shard:
            continue
        if not is_backing_off(state, name) and may_stop(state.fold, name, entry.wanted, down):
            yield from start_move(state, name, entry.wanted, PURPOSE_MOVE, down)


def _choose_instance(
    state: State, origin: str, target: str, down: frozenset[str], chosen: set[str]
) -> str | None:
    """
    Choose the instance whose move balances the zones of both pools best, the oldest boot first.
    """
    pools = state.fold.pools
    candidates = [
        name
        for name in pools.members.get(origin, ())
        if pools.instances[name].step == IN_SERVICE
        and not pools.instances[name].wanted
        and name not in down
        and name not in chosen
        and not is_backing_off(state, name)
    ]
    origin_zones = _zone_counts(state, origin)
    target_zones = _zone_counts(state, target)

    def order(name: str) -> tuple[int, float, str]:
        entry = pools.instances[name]
        balance = target_zones.get(entry.zone, 0) - origin_zones[entry.zone]
        return balance, entry.booted_at_s, name

    return min(candidates, key=order, default=None)


def _zone_counts(state: State, pool: str) -> dict[str, int]:
    counts: dict[str, int] = {}
    for name in state.fold.pools.members.get(pool, ()):
        zone = state.fold.pools.instances[name].zone
        counts[zone] = counts.get(zone, 0) + 1
    return counts


def _sample_demand(state: State) -> None:
    slots = {e.service: e.slots for e in state.endpoints.endpoints.values()}
    quantiles = service_load_quantiles(state)
    for shard in owned_shards(state):
        for service in {pool.service for pool in pools_of(state.fold, shard).values()}:
            if service in slots:
                history = state.fleet.demand.setdefault(service, DemandHistory())
                units = quantiles.get(service, [0])
                add_samples(history, [unit / slots[service] for unit in units], state.now_s)


HANDLERS: HandlerTable = {Ticked: on_tick}
