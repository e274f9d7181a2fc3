"""
Endpoints of each service, and the choice of one for an attempt.
"""

import msgspec

from ._events import ListedInstance


class Endpoint(msgspec.Struct):
    """
    What is known of one endpoint.

    :param in_flight: attempts that this instance has there.
    :param leaving: whether it gets no new work.
    :param retry_at_s: time before which it gets no new work, after a refusal.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    in_flight: int = 0
    leaving: bool = False
    retry_at_s: float = 0.0


class EndpointState(msgspec.Struct):
    """
    Endpoints by id.
    """

    endpoints: dict[str, Endpoint] = msgspec.field(default_factory=dict)


def update_from_list(state: EndpointState, listed: tuple[ListedInstance, ...]) -> None:
    """
    Take over the platform's list, which lags.

    :param state: changed in place.
    :param listed: all instances of the list.
    """
    known = {item.id: item for item in listed if item.role == "endpoint"}
    for endpoint_id in list(state.endpoints):
        if endpoint_id not in known and state.endpoints[endpoint_id].in_flight == 0:
            del state.endpoints[endpoint_id]
    for item in known.values():
        current = state.endpoints.get(item.id)
        if current is None or current.address != item.address:
            in_flight = 0 if current is None else current.in_flight
            current = state.endpoints[item.id] = Endpoint(
                item.id, item.service, item.address, item.zone, item.slots, in_flight
            )
        if item.state == "leaving":
            current.leaving = True


def choose(state: EndpointState, service: str, zone: str, now_s: float) -> Endpoint | None:
    """
    Choose the endpoint with the most free slots, the own zone first.

    :param state: what is known of endpoints.
    :param service: ``WORKSPACE/SERVICE``.
    :param zone: availability zone of this instance.
    :param now_s: time.
    :returns: an endpoint with a free slot, or ``None``.
    """
    free = [
        endpoint
        for endpoint in state.endpoints.values()
        if endpoint.service == service
        and not endpoint.leaving
        and endpoint.in_flight < endpoint.slots
        and endpoint.retry_at_s <= now_s
    ]
    return min(free, key=lambda e: (e.zone != zone, e.in_flight / e.slots, e.id), default=None)


def has_any(state: EndpointState, service: str) -> bool:
    """
    Tell whether a service has an endpoint that is not leaving.

    :param state: what is known of endpoints.
    :param service: ``WORKSPACE/SERVICE``.
    :returns: whether there is one.
    """
    return any(e.service == service and not e.leaving for e in state.endpoints.values())
