"""
The fleet as observed by this instance: the platform's inventory and the load of each service.
"""

from collections import Counter
from collections.abc import Iterator

from ._controllers import owned_shards
from ._effects import SendPeer
from ._events import PeerReceived, Ticked
from ._fleet_messages import InventoryReceived, ReadInventory, ServiceLoad, ServiceLoadReported
from ._fleet_state import NEVER_S, DownCache, LoadReport
from ._handlers import HandlerTable
from ._pools import pools_of
from ._pools_forecast import QUANTILE_COUNT, quantiles_of
from ._state import State

INVENTORY_READ_EVERY_S = 1.0
# With an older inventory, no stop is started or continued.
INVENTORY_VALID_S = 5.0
# An instance that is missing from the inventory for this time is removed from the fleet.
REMOVE_MISSING_AFTER_S = 600.0
LOAD_SAMPLE_EVERY_S = 1.0
REPORT_EVERY_S = 20.0
REPORT_VALID_S = 50.0


def is_inventory_fresh(state: State) -> bool:
    """
    Return whether the inventory is recent enough to act on.

    :param state: state of this entry instance.
    :returns: whether its request is at most `INVENTORY_VALID_S` old.
    """
    return state.now_s - state.fleet.inventory.requested_s <= INVENTORY_VALID_S


def down_instances(state: State) -> frozenset[str]:
    """
    Return the instances that are down or missing from the inventory.

    :param state: state of this entry instance.
    :returns: ids of instances in the folded state; all of them while the inventory is too old.
    """
    cache = state.fleet.down_cache
    if cache.at_s == state.now_s and cache.next_offset == state.fold.position.next_offset:
        return cache.names
    names = _find_down(state)
    state.fleet.down_cache = DownCache(state.now_s, state.fold.position.next_offset, names)
    return names


def platform_now_s(state: State) -> float:
    """
    Estimate the current time on the platform's clock.

    :param state: state of this entry instance.
    :returns: seconds, 0 before the first inventory.
    """
    inventory = state.fleet.inventory
    if inventory.requested_s == NEVER_S:
        return 0.0
    return inventory.at_s + state.now_s - inventory.requested_s


def service_load_quantiles(state: State) -> dict[str, list[int]]:
    """
    Return the load of each service, summed over the recent reports of all entry instances.

    Callers of a queue are spread over the entry instances, so the loads of the instances are
    correlated, and the same quantiles of different instances may be added.

    :param state: state of this entry instance.
    :returns: number of running and queued requests, as quantiles, by service.
    """
    quantiles: dict[str, list[int]] = {}
    for report in state.fleet.load_reports.values():
        if state.now_s - report.at_s <= REPORT_VALID_S:
            for row in report.rows:
                sums = quantiles.setdefault(row.service, [0] * QUANTILE_COUNT)
                for index, count in enumerate(row.quantiles[:QUANTILE_COUNT]):
                    sums[index] += count
    return quantiles


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Read the inventory while this instance controls a shard, and report the load to controllers.
    """
    fleet = state.fleet
    if state.now_s - fleet.inventory_read_s >= INVENTORY_READ_EVERY_S:
        fleet.inventory_read_s = state.now_s
        yield from _read_inventory(state)
    if state.now_s - fleet.load_sampled_s >= LOAD_SAMPLE_EVERY_S:
        fleet.load_sampled_s = state.now_s
        _sample_load(state)
    if state.now_s - fleet.load_reported_s >= REPORT_EVERY_S:
        fleet.load_reported_s = state.now_s
        yield from _report_load(state)


def on_inventory(state: State, event: InventoryReceived) -> Iterator[object]:
    """
    Apply an inventory or its changes, unless a newer one is known or changes are missing.
    """
    inventory = state.fleet.inventory
    if event.requested_s < inventory.requested_s or event.since not in (0, inventory.version):
        return
    if event.since == 0:
        inventory.instances = {}
    inventory.at_s, inventory.requested_s = event.at_s, event.requested_s
    inventory.version = event.version
    inventory.instances.update((item.id, item) for item in event.instances)
    for name in event.removed:
        inventory.instances.pop(name, None)
    for name in inventory.missing_since_s.keys() & inventory.instances.keys():
        del inventory.missing_since_s[name]
    yield from ()


def on_peer(state: State, event: PeerReceived) -> Iterator[object]:
    """
    Store the load report of another entry instance.
    """
    if isinstance(event.message, ServiceLoadReported):
        report = LoadReport(event.message.rows, state.now_s)
        state.fleet.load_reports[event.sender.instance] = report
    yield from ()


def _read_inventory(state: State) -> Iterator[object]:
    owned = tuple(owned_shards(state))
    inventory = state.fleet.inventory
    if owned != inventory.shards:
        inventory.shards, inventory.version = owned, 0
        inventory.requested_s = NEVER_S
        # Nothing was observed of the instances of a shard that this instance did not control.
        inventory.missing_since_s.clear()
    if owned:
        yield ReadInventory(state.now_s, owned, inventory.version)


def _find_down(state: State) -> frozenset[str]:
    known = state.fold.pools.instances
    if not is_inventory_fresh(state):
        return frozenset(known)
    listed = state.fleet.inventory.instances
    return frozenset(name for name in known if name not in listed or not listed[name].is_up)


def _report_load(state: State) -> Iterator[object]:
    rows = _take_load_rows(state)
    state.fleet.load_reports[state.identity.sender.instance] = LoadReport(rows, state.now_s)
    for instance, shards in _other_controllers(state).items():
        peer = state.membership.peers.get(instance)
        services = {p.service for shard in shards for p in pools_of(state.fold, shard).values()}
        relevant_rows = tuple(row for row in rows if row.service in services)
        if peer is not None and relevant_rows:
            yield SendPeer(peer.peer_address, ServiceLoadReported(relevant_rows))


def _other_controllers(state: State) -> dict[str, list[str]]:
    controllers: dict[str, list[str]] = {}
    for shard, claim in state.fold.pools.claims.items():
        controllers.setdefault(claim.instance, []).append(shard)
    controllers.pop(state.identity.sender.instance, None)
    return controllers


def _sample_load(state: State) -> None:
    fleet = state.fleet
    fleet.load_samples += 1
    counts = Counter(attempt.request.service for attempt in state.requests.attempts.values())
    for name, service in state.fair.services.items():
        counts[name] += sum(len(team.urgent) + len(team.normal) for team in service.teams.values())
    for name, count in counts.items():
        if count > 0:
            fleet.load_counts.setdefault(name, []).append(count)


def _take_load_rows(state: State) -> tuple[ServiceLoad, ...]:
    fleet = state.fleet
    rows = tuple(
        ServiceLoad(
            name, tuple(int(quantile) for quantile in quantiles_of(counts, fleet.load_samples))
        )
        for name, counts in sorted(fleet.load_counts.items())
    )
    fleet.load_samples, fleet.load_counts = 0, {}
    return rows


HANDLERS: HandlerTable = {
    Ticked: on_tick,
    InventoryReceived: on_inventory,
    PeerReceived: on_peer,
}
