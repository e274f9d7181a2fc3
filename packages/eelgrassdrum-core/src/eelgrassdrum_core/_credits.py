"""
Credits: how many slots of each endpoint one entry instance of the zone may use.

Each instance tells its zone how many slots it could use. While the zone wants fewer slots than
it has, everyone may use any slot, since two seldom meet at the last one. When it wants more, the
slots are split in proportion to what each instance wants. All instances work out the same split
from the same numbers; where their numbers differ for a moment, the endpoint's own bound decides.
"""

from collections.abc import Iterator, Mapping

from . import _membership_aggregates
from ._endpoints_state import Endpoint
from ._events import Ticked
from ._handlers import HandlerTable
from ._state import State

AGGREGATE = "slots"
# Above this part of the zone's slots the instances split them.
SPLIT_ABOVE = 0.8


def wanted_slots(state: State) -> Mapping[str, int]:
    """
    Give the slots of the own zone that this instance could use.

    :param state: the state.
    :returns: counts by service.
    """
    wanted: dict[str, int] = {}
    for service, load in state.overload.services.items():
        wanted[service] = load.total
    for endpoint in state.endpoints.endpoints.values():
        if endpoint.zone == state.identity.sender.zone and endpoint.in_flight:
            wanted[endpoint.service] = wanted.get(endpoint.service, 0) + endpoint.in_flight
    return wanted


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Work out anew which slots this instance may use.
    """
    state.endpoints.shares = {}
    own = state.identity.sender
    by_service: dict[str, list[Endpoint]] = {}
    for endpoint in state.endpoints.endpoints.values():
        if endpoint.zone == own.zone and endpoint.listed and not endpoint.leaving:
            by_service.setdefault(endpoint.service, []).append(endpoint)
    for service, endpoints in by_service.items():
        # The own number as told too, so that all instances split by the same numbers.
        wanted = _membership_aggregates.zone_numbers(state, AGGREGATE, service)
        if len(wanted) > 1 and own.instance in wanted:
            state.endpoints.shares.update(split(endpoints, wanted, own.instance))
    return iter(())


def split(endpoints: list[Endpoint], wanted: Mapping[str, int], instance: str) -> dict[str, int]:
    """
    Split the slots of a service's endpoints among the entry instances of their zone.

    :param endpoints: the endpoints.
    :param wanted: slots that each entry instance could use.
    :param instance: the entry instance whose part is worked out.
    :returns: slots by endpoint; nothing while there are enough slots for all.
    """
    ordered = sorted(endpoints, key=lambda endpoint: endpoint.id)
    most = max(endpoint.slots for endpoint in ordered)
    # Slot by slot over all endpoints, so that everyone gets a part of each.
    line = [e.id for level in range(most) for e in ordered if level < e.slots]
    if sum(wanted.values()) <= SPLIT_ABOVE * len(line):
        return {}
    # One more each, so that nobody is left without a slot for its next request.
    weights = {name: wanted[name] + 1 for name in sorted(wanted)}
    before = sum(weight for name, weight in weights.items() if name < instance)
    scale = len(line) / sum(weights.values())
    first = round(before * scale)
    last = round((before + weights[instance]) * scale)
    shares = dict.fromkeys((endpoint.id for endpoint in ordered), 0)
    for endpoint_id in line[first:last]:
        shares[endpoint_id] += 1
    return shares


_membership_aggregates.register_aggregate(AGGREGATE, wanted_slots)

HANDLERS: HandlerTable = {Ticked: on_tick}
