"""
Control of maintenance rounds: stops due instances within the availability budgets, and pauses a
round when failures look related.

Every move of an instance reboots it, so an instance is due when its last boot is too long ago, or
when it has not been rebooted since the round began.
"""

from collections import Counter
from collections.abc import Iterator

from ._controllers import claim_of, owned_shards, propose_record
from ._effects import WriteLog
from ._events import RecordFolded, Ticked
from ._fleet_messages import (
    DRAINING,
    IN_SERVICE,
    LEFT,
    MAINTENANCE_ORDERED,
    PURPOSE_MAINTENANCE,
    maintenance_subject,
)
from ._fleet_state import NEVER_S, KnownFailures
from ._fleet_view import down_instances, is_inventory_fresh, platform_now_s
from ._handlers import HandlerTable
from ._maintenance_fold import PAUSE, Round
from ._pools import FleetInstance, count_arriving, count_departing, pools_of, shard_of
from ._pools_budget import budget_of
from ._pools_config import Pool
from ._pools_control import is_backing_off, start_move, weights_of
from ._state import State
from ._waves_planner import WaveBudget, WaveInstance, WavePool, WaveView, plan_wave

PERIOD_S = 14 * 86_400.0
# Fraction of the period after which an instance is due. The rest is the time to carry out the work.
DUE_FRACTION = 0.7
PLAN_EVERY_S = 5.0
# Limits the rate at which a large round appends records to the log.
STOPS_PER_PLAN = 50
# Time after a stop during which a failure of the instance is attributed to the round.
STOP_WATCH_S = 300.0
FAILED_ATTEMPTS = 2
# Time after a reboot in which the inventory may not reflect it yet.
INVENTORY_LAG_S = 5.0
# Numbers of failures that pause a round: of stopped instances, and of others in one rack or zone.
RELATED_STOPS = 2
RELATED_IN_RACK = 2
RELATED_IN_ZONE = 3
# In a large zone, the fraction of its instances that must be down to pause a round.
RELATED_ZONE_SHARE = 0.02
CONTROLLER_AUTHOR = "controller"


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Plan the maintenance of each controlled shard at its interval.
    """
    if state.stopping or not state.log.available or not is_inventory_fresh(state):
        return
    for shard in owned_shards(state):
        planned_s = state.fleet.maintenance_planned_s.get(shard, NEVER_S)
        if state.now_s - planned_s >= PLAN_EVERY_S:
            state.fleet.maintenance_planned_s[shard] = state.now_s
            yield from maintain_shard(state, shard)


def on_folded(state: State, event: RecordFolded) -> Iterator[object]:
    """
    Forget the stops that a controller's pause was based on, once the pause is recorded.
    """
    is_order = event.accepted and event.record.kind == MAINTENANCE_ORDERED
    if is_order and event.record.body["author"] == CONTROLLER_AUTHOR:
        state.fleet.last_stopped_s.clear()
    return iter(())


def maintain_shard(state: State, shard: str) -> Iterator[object]:
    """
    Propose the stops of a shard that are due now, or a pause of the round.

    :param state: state of this entry instance.
    :param shard: name of the document.
    :returns: the effects.
    """
    _track_stops(state, shard)
    current = round_of(state, shard)
    if current.is_paused:
        return
    down = down_instances(state)
    view = view_of(state, shard, down)
    if not any(item.is_due for pool in view.pools for item in pool.instances):
        return
    reason = related_failures(state, shard, down)
    if reason:
        yield from _pause(state, shard, reason)
        return
    for stop in plan_wave(view, STOPS_PER_PLAN):
        yield from start_move(state, stop.instance, stop.target, PURPOSE_MAINTENANCE, down)


def round_of(state: State, shard: str) -> Round:
    """
    Return the maintenance round of a shard.

    :param state: state of this entry instance.
    :param shard: name of the document.
    :returns: the round.
    """
    return state.fold.maintenance.rounds.get(shard, Round())


def is_due(state: State, name: str, entry: FleetInstance) -> bool:
    """
    Return whether an instance is due for maintenance.

    :param state: state of this entry instance.
    :param name: id of the instance.
    :param entry: the instance.
    :returns: whether the current round has not rebooted it yet, or its last boot is too long ago.
    """
    if entry.booted_offset < round_of(state, shard_of(entry.pool)).offset:
        return True
    return boot_age_s(state, name, entry) >= PERIOD_S * DUE_FRACTION


def boot_age_s(state: State, name: str, entry: FleetInstance) -> float:
    """
    Return the time since the last boot of an instance.

    :param state: state of this entry instance.
    :param name: id of the instance.
    :param entry: the instance.
    :returns: seconds on the platform's clock, 0 before the first inventory.
    """
    observed = state.fleet.inventory.instances.get(name)
    booted_at_s = max(entry.booted_at_s, 0.0 if observed is None else observed.booted_at_s)
    return max(0.0, platform_now_s(state) - booted_at_s)


def view_of(state: State, shard: str, down: frozenset[str]) -> WaveView:
    """
    Build the input of the wave planner for a shard.

    :param state: state of this entry instance.
    :param shard: name of the document.
    :param down: ids of instances that are down or missing from the inventory.
    :returns: the input of the planner, as plain data.
    """
    pools = pools_of(state.fold, shard).values()
    budgets: dict[str, WaveBudget] = {}
    for pool in pools:
        _add_budget(state, budgets, pool, down)
    wave_pools = tuple(_wave_pool(state, pool, down) for pool in pools)
    return WaveView(wave_pools, budgets, weights_of(state).roll_out_time > 0)


def related_failures(state: State, shard: str, down: frozenset[str]) -> str:
    """
    Look for failures that may have a common cause.

    :param state: state of this entry instance.
    :param shard: name of the document.
    :param down: ids of instances that are down or missing from the inventory.
    :returns: a description of the failures, or an empty string.
    """
    instances = state.fold.pools.instances
    new = _without_recent_reboots(state, down) - _known_failures(state, shard, down)
    stopped = _failed_stops(state, shard, new)
    if len(stopped) >= RELATED_STOPS:
        return f"{len(stopped)} maintained instances failed: {', '.join(stopped)}"
    failed = [
        instances[name]
        for name in new
        if shard_of(instances[name].pool) == shard and instances[name].step == IN_SERVICE
    ]
    for rack, count in Counter(entry.rack for entry in failed).most_common(1):
        if count >= RELATED_IN_RACK:
            return f"{count} instances of rack {rack} are down"
    for zone, count in Counter(entry.zone for entry in failed).most_common(1):
        size = sum(entry.zone == zone for entry in instances.values())
        if count >= max(RELATED_IN_ZONE, RELATED_ZONE_SHARE * size):
            return f"{count} instances of zone {zone} are down"
    return ""


def _without_recent_reboots(state: State, down: frozenset[str]) -> frozenset[str]:
    """
    Exclude instances whose recovery from a reboot the inventory can't reflect yet.
    """
    instances = state.fold.pools.instances
    until_s = state.fleet.inventory.at_s - INVENTORY_LAG_S
    return frozenset(name for name in down if instances[name].booted_at_s <= until_s)


def _known_failures(state: State, shard: str, down: frozenset[str]) -> frozenset[str]:
    """
    Return the failures that already existed at the last order, which its operator has accepted.
    """
    order = state.fold.position.revisions.get(maintenance_subject(shard), 0)
    known = state.fleet.known_failures.get(shard)
    names = down if known is None or known.order != order else known.names & down
    state.fleet.known_failures[shard] = KnownFailures(order, names)
    return names


def _failed_stops(state: State, shard: str, down: frozenset[str]) -> list[str]:
    fleet = state.fleet
    failed = []
    for name in fleet.last_stopped_s:
        entry = state.fold.pools.instances.get(name)
        if entry is None or shard_of(entry.pool) != shard:
            continue
        progress = fleet.progress.get(name)
        is_failing = progress is not None and progress.failures >= FAILED_ATTEMPTS
        if is_failing or (entry.step == IN_SERVICE and name in down):
            failed.append(name)
    return sorted(failed)


def _track_stops(state: State, shard: str) -> None:
    """
    Track which instances are stopped for maintenance or were within the last `STOP_WATCH_S`.
    """
    fleet, instances = state.fleet, state.fold.pools.instances
    for name in state.fold.pools.moving:
        entry = instances[name]
        if entry.purpose == PURPOSE_MAINTENANCE and shard_of(entry.pool) == shard:
            fleet.last_stopped_s[name] = state.now_s
    for name, at_s in list(fleet.last_stopped_s.items()):
        if name not in instances or state.now_s - at_s > STOP_WATCH_S:
            del fleet.last_stopped_s[name]


def _pause(state: State, shard: str, reason: str) -> Iterator[object]:
    body = {
        "shard": shard,
        "action": PAUSE,
        "author": CONTROLLER_AUTHOR,
        "reason": reason,
        "claim": claim_of(state, shard),
    }
    yield WriteLog("maintenance.paused", {"shard": shard, "reason": reason})
    yield from propose_record(state, MAINTENANCE_ORDERED, maintenance_subject(shard), body)


def _add_budget(
    state: State, budgets: dict[str, WaveBudget], pool: Pool, down: frozenset[str]
) -> None:
    instances = state.fold.pools.instances
    away = [
        instances[name]
        for name in state.fold.pools.moving
        if instances[name].pool == pool.name and instances[name].step in (DRAINING, LEFT)
    ]
    name = pool.service or pool.name
    known = budgets.get(name)
    headroom = budget_of(state.fold, pool, down).headroom if known is None else known.headroom
    under_way = len(away) + (0 if known is None else known.under_way)
    zones = tuple(entry.zone for entry in away) + (() if known is None else known.zones)
    budgets[name] = WaveBudget(headroom, under_way, zones)


def _wave_pool(state: State, pool: Pool, down: frozenset[str]) -> WavePool:
    fold = state.fold.pools
    members = fold.members.get(pool.name, [])
    instances = [
        WaveInstance(name, fold.instances[name].zone, fold.instances[name].rack, due)
        for name, due in _stoppable_instances(state, members, down)
    ]
    size = len(members) + count_arriving(fold, pool.name) - count_departing(fold, pool.name)
    return WavePool(
        pool.name,
        pool.role,
        pool.service or pool.name,
        pool.spare,
        pool.min,
        pool.target,
        pool.max,
        size,
        tuple(instances),
    )


def _stoppable_instances(
    state: State, members: list[str], down: frozenset[str]
) -> Iterator[tuple[str, bool]]:
    candidates = [
        (-boot_age_s(state, name, entry), name, entry)
        for name, entry in ((name, state.fold.pools.instances[name]) for name in members)
        if entry.step == IN_SERVICE
        and not entry.wanted
        and name not in down
        and not is_backing_off(state, name)
    ]
    for _, name, entry in sorted(candidates, key=lambda item: item[:2]):
        yield name, is_due(state, name, entry)


HANDLERS: HandlerTable = {Ticked: on_tick, RecordFolded: on_folded}
