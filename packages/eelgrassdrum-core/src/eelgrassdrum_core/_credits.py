"""
Credits: how many slots of each endpoint one entry instance of the zone may use.

Each instance tells its zone how many slots each team could use through it. From these numbers all
instances work out the same split: the slots go to teams by weighted max-min fairness, and a
team's slots to instances in proportion to what it wants through them. Where their numbers differ
for a moment, the endpoint's own bound decides.
"""

from collections.abc import Iterator, Mapping

from . import _membership_aggregates
from ._endpoints_state import Endpoint
from ._events import Ticked
from ._handlers import HandlerTable
from ._overload import share_of
from ._state import State

AGGREGATE = "slots"
# Above this part of its slots another zone has no room for work of this one.
REMOTE_ROOM = 0.5
# Slots kept for an instance that wants none yet, before rounding.
SPARE_SLOTS = 0.3

# Slots wanted by team, then by entry instance.
Wanted = Mapping[str, Mapping[str, int]]


def wanted_slots(state: State) -> Mapping[str, int]:
    """
    Give the slots that each team could use through this instance.

    :param state: the state.
    :returns: counts by service and team.
    """
    wanted: dict[str, int] = {}
    for service, load in state.overload.services.items():
        for team, waiting in load.waiting.items():
            wanted[_name(service, team)] = waiting
    for attempt in state.requests.attempts.values():
        name = _name(attempt.request.service, attempt.request.team)
        wanted[name] = wanted.get(name, 0) + 1
    return wanted


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Work out anew which slots this instance may use.
    """
    state.endpoints.shares = {}
    state.endpoints.full = set()
    own = state.identity.sender
    groups: dict[tuple[str, str], list[Endpoint]] = {}
    for endpoint in state.endpoints.endpoints.values():
        is_active = endpoint.service in state.overload.services
        if is_active and endpoint.listed and not endpoint.leaving:
            groups.setdefault((endpoint.service, endpoint.zone), []).append(endpoint)
    for (service, zone), endpoints in groups.items():
        if zone == own.zone:
            wanted = _told_in_zone(state, service)
            instances = sorted({name for told in wanted.values() for name in told})
            if len(instances) > 1 and own.instance in instances:
                shares = {team: share_of(state, team) for team in wanted}
                split_slots = split(endpoints, wanted, shares, instances)
                state.endpoints.shares.update(split_slots[own.instance])
        elif _told_by_zone(state, zone, service) > REMOTE_ROOM * sum(e.slots for e in endpoints):
            state.endpoints.full.add((service, zone))
    return iter(())


def split(
    endpoints: list[Endpoint], wanted: Wanted, shares: Mapping[str, float], instances: list[str]
) -> dict[str, dict[str, int]]:
    """
    Split the slots of a service's endpoints among the entry instances of their zone.

    :param endpoints: the endpoints.
    :param wanted: slots that each team could use through each instance.
    :param shares: weight of each team.
    :param instances: the entry instances of the zone, sorted.
    :returns: slots by entry instance and endpoint.
    """
    ordered = sorted(endpoints, key=lambda endpoint: endpoint.id)
    most = max(endpoint.slots for endpoint in ordered)
    # Slot by slot over all endpoints, so that everyone gets a part of each.
    line = [e.id for level in range(most) for e in ordered if level < e.slots]
    weights = _weigh(len(line), wanted, shares, instances)
    scale = len(line) / sum(weights.values())
    result = {}
    before = 0.0
    for instance in instances:
        after = before + weights[instance]
        counts = dict.fromkeys((endpoint.id for endpoint in ordered), 0)
        for endpoint_id in line[round(before * scale) : round(after * scale)]:
            counts[endpoint_id] += 1
        result[instance] = counts
        before = after
    return result


def fill(
    slots: float, wanted: Mapping[str, float], shares: Mapping[str, float]
) -> dict[str, float]:
    """
    Divide slots among teams by weighted max-min fairness.

    :param slots: slots to divide.
    :param wanted: what each team could use.
    :param shares: weight of each team.
    :returns: what each team gets, never more than it wants.
    """
    given = dict.fromkeys(wanted, 0.0)
    left = slots
    # The team that wants least for its weight is satisfied first.
    order = sorted(wanted, key=lambda team: (wanted[team] / shares[team], team))
    weight = sum(shares[team] for team in order)
    for team in order:
        given[team] = min(float(wanted[team]), left * shares[team] / weight)
        left -= given[team]
        weight -= shares[team]
    return given


def _weigh(
    slots: int, wanted: Wanted, shares: Mapping[str, float], instances: list[str]
) -> dict[str, float]:
    totals = {team: float(sum(by.values())) for team, by in wanted.items()}
    totals = {team: total for team, total in totals.items() if total}
    given = fill(slots, totals, shares)
    spare = max(SPARE_SLOTS, (slots - sum(given.values())) / len(instances))
    weights = dict.fromkeys(instances, spare)
    for team, total in totals.items():
        for instance, count in wanted[team].items():
            weights[instance] += given[team] * count / total
    return weights


def _told_in_zone(state: State, service: str) -> dict[str, dict[str, int]]:
    # The own number as told too, so that all instances split by the same numbers.
    return {
        team: _membership_aggregates.zone_numbers(state, AGGREGATE, _name(service, team))
        for team in _teams(state, service)
    }


def _told_by_zone(state: State, zone: str, service: str) -> int:
    return sum(
        _membership_aggregates.origin_number(state, zone, AGGREGATE, _name(service, team))
        for team in _teams(state, service)
    )


def _teams(state: State, service: str) -> list[str]:
    config = state.fold.config
    workspaces = {queue.workspace for queue in config.queues.values() if queue.service == service}
    named = [name for name in config.teams if name.partition("/")[0] in workspaces]
    return sorted([*named, *(f"{workspace}/open" for workspace in workspaces)])


def _name(service: str, team: str) -> str:
    return f"{service} {team}"


_membership_aggregates.register_aggregate(AGGREGATE, wanted_slots)

HANDLERS: HandlerTable = {Ticked: on_tick}
