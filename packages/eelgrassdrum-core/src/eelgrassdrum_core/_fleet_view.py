"""
What this instance sees of the fleet: the platform's inventory and each service's load.
"""

from collections import Counter
from collections.abc import Iterator

from ._controllers import owned_shards
from ._effects import SendPeer
from ._events import PeerReceived, Ticked
from ._fleet_messages import FleetObserved, ReadFleet, ServiceLoad, ServiceLoadReported
from ._fleet_state import NEVER_S, DownMemo, LoadReport
from ._handlers import HandlerTable
from ._pools import pools_of
from ._pools_forecast import LEVELS, levels_of
from ._state import State

OBSERVE_EVERY_S = 1.0
# An older inventory starts no stop and lets none go on.
OBSERVATION_VALID_S = 5.0
# An instance that the inventory leaves out this long counts as gone for good.
GONE_AFTER_S = 600.0
LOAD_SAMPLE_EVERY_S = 1.0
REPORT_EVERY_S = 20.0
REPORT_VALID_S = 50.0


def is_fresh(state: State) -> bool:
    """
    Tell whether the inventory is new enough to act on.

    :param state: the state.
    :returns: whether it is.
    """
    return state.now_s - state.fleet.observation.asked_s <= OBSERVATION_VALID_S


def down_instances(state: State) -> frozenset[str]:
    """
    Give the instances that are down or unseen.

    :param state: the state.
    :returns: ids of instances of the fold; all of them while the inventory is too old.
    """
    memo = state.fleet.down
    if memo.at_s == state.now_s and memo.next_offset == state.fold.position.next_offset:
        return memo.names
    names = _find_down(state)
    state.fleet.down = DownMemo(state.now_s, state.fold.position.next_offset, names)
    return names


def platform_now_s(state: State) -> float:
    """
    Estimate the platform's time.

    :param state: the state.
    :returns: seconds, 0 before an inventory was read.
    """
    observation = state.fleet.observation
    if observation.asked_s == NEVER_S:
        return 0.0
    return observation.at_s + state.now_s - observation.asked_s


def service_levels(state: State) -> dict[str, list[int]]:
    """
    Add up what all entry instances reported lately.

    Callers of a queue are spread over the entry instances, so their loads rise and fall together,
    and equal quantiles may be added.

    :param state: the state.
    :returns: requests that ran or waited, as quantiles, by service.
    """
    levels: dict[str, list[int]] = {}
    for report in state.fleet.loads.values():
        if state.now_s - report.at_s <= REPORT_VALID_S:
            for row in report.rows:
                sums = levels.setdefault(row.service, [0] * LEVELS)
                for number, units in enumerate(row.levels[:LEVELS]):
                    sums[number] += units
    return levels


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Read the inventory while a shard is controlled here, and report the load to controllers.
    """
    fleet = state.fleet
    if state.now_s - fleet.observed_s >= OBSERVE_EVERY_S:
        fleet.observed_s = state.now_s
        yield from _read_fleet(state)
    if state.now_s - fleet.load_sampled_s >= LOAD_SAMPLE_EVERY_S:
        fleet.load_sampled_s = state.now_s
        _sample_load(state)
    if state.now_s - fleet.reported_s >= REPORT_EVERY_S:
        fleet.reported_s = state.now_s
        yield from _report_load(state)


def on_observed(state: State, event: FleetObserved) -> Iterator[object]:
    """
    Take over the inventory unless a newer one is known.
    """
    observation = state.fleet.observation
    if event.asked_s < observation.asked_s or event.since not in (0, observation.version):
        return
    if event.since == 0:
        observation.instances = {}
    observation.at_s, observation.asked_s = event.at_s, event.asked_s
    observation.version = event.version
    observation.instances.update((item.id, item) for item in event.instances)
    for name in event.removed:
        observation.instances.pop(name, None)
    yield from ()


def on_peer(state: State, event: PeerReceived) -> Iterator[object]:
    """
    Note another instance's load.
    """
    if isinstance(event.message, ServiceLoadReported):
        report = LoadReport(event.message.rows, state.now_s)
        state.fleet.loads[event.sender.instance] = report
    yield from ()


def _read_fleet(state: State) -> Iterator[object]:
    owned = tuple(owned_shards(state))
    observation = state.fleet.observation
    if owned != observation.shards:
        observation.shards, observation.version = owned, 0
        observation.asked_s = NEVER_S
    if owned:
        yield ReadFleet(state.now_s, owned, observation.version)


def _find_down(state: State) -> frozenset[str]:
    known = state.fold.pools.instances
    if not is_fresh(state):
        return frozenset(known)
    seen = state.fleet.observation.instances
    return frozenset(name for name in known if name not in seen or not seen[name].is_up)


def _report_load(state: State) -> Iterator[object]:
    rows = _own_rows(state)
    state.fleet.loads[state.identity.sender.instance] = LoadReport(rows, state.now_s)
    for instance, shards in _other_controllers(state).items():
        peer = state.membership.peers.get(instance)
        services = {p.service for shard in shards for p in pools_of(state.fold, shard).values()}
        wanted = tuple(row for row in rows if row.service in services)
        if peer is not None and wanted:
            yield SendPeer(peer.peer_address, ServiceLoadReported(wanted))


def _other_controllers(state: State) -> dict[str, list[str]]:
    controllers: dict[str, list[str]] = {}
    for shard, claim in state.fold.pools.claims.items():
        controllers.setdefault(claim.instance, []).append(shard)
    controllers.pop(state.identity.sender.instance, None)
    return controllers


def _sample_load(state: State) -> None:
    fleet = state.fleet
    fleet.load_samples += 1
    units = Counter(attempt.request.service for attempt in state.requests.attempts.values())
    for name, service in state.fair.services.items():
        units[name] += sum(len(team.urgent) + len(team.normal) for team in service.teams.values())
    for name, count in units.items():
        if count > 0:
            fleet.load_counts.setdefault(name, []).append(count)


def _own_rows(state: State) -> tuple[ServiceLoad, ...]:
    fleet = state.fleet
    rows = tuple(
        ServiceLoad(name, tuple(int(level) for level in levels_of(counts, fleet.load_samples)))
        for name, counts in sorted(fleet.load_counts.items())
    )
    fleet.load_samples, fleet.load_counts = 0, {}
    return rows


HANDLERS: HandlerTable = {
    Ticked: on_tick,
    FleetObserved: on_observed,
    PeerReceived: on_peer,
}
