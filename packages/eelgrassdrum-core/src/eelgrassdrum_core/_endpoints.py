"""
Endpoints of each service, and their selection for attempts.
"""

import xxhash

from ._endpoints_state import Endpoint, EndpointState
from ._events import ListedInstance
from ._state import State

# An endpoint missing from the list is kept for this time, so that a stale list can't restore it.
UNLISTED_RETENTION_S = 60.0
# An endpoint is eligible for new work for this time after a healthy probe was sent.
LIVENESS_TTL_S = 4.5
# A local endpoint without a healthy probe stays eligible for this time after its first probe.
FIRST_PROBE_GRACE_S = 1.0
# A new endpoint beside older ones of its service ramps up to its full slots over this time.
SLOW_START_S = 5.0
# An instance uses at most this fraction (1 / divisor) of the slots of a remote zone's endpoint.
REMOTE_SLOT_DIVISOR = 4


def update_from_list(
    state: EndpointState, listed: tuple[ListedInstance, ...], now_s: float
) -> None:
    """
    Update the endpoints from the platform's instance list, which may be stale.

    A leaving endpoint keeps that state until the list contains a newer incarnation of it.

    :param state: updated in place.
    :param listed: all instances in the list.
    :param now_s: current time, in seconds.
    """
    known = {item.id: item for item in listed if item.role == "endpoint"}
    for endpoint in list(state.endpoints.values()):
        endpoint.listed = endpoint.id in known
        is_old = now_s - endpoint.last_listed_s > UNLISTED_RETENTION_S
        if not endpoint.listed and is_old and endpoint.in_flight == 0:
            del state.endpoints[endpoint.id]
    for item in known.values():
        _apply_listed(state, item, now_s)


def reset_for_incarnation(endpoint: Endpoint, incarnation: int, now_s: float) -> None:
    """
    Reset the state of an endpoint for a newer incarnation.

    :param endpoint: updated in place.
    :param incarnation: the newer incarnation.
    :param now_s: current time, in seconds.
    """
    endpoint.incarnation = incarnation
    endpoint.leaving = False
    endpoint.retry_at_s = 0.0
    endpoint.active_since_s = now_s
    endpoint.failure_rate = 0.0
    endpoint.samples = 0
    endpoint.ejections = 0
    endpoint.trial_attempts_left = 0
    endpoint.failed_probes = 0


def choose_endpoint(state: State, service: str) -> Endpoint | None:
    """
    Choose the least loaded endpoint; remote zones are used only when the local zone is full.

    :param state: state of this instance.
    :param service: ``WORKSPACE/SERVICE``.
    :returns: an endpoint with a free slot, or ``None``.
    """
    own = state.identity.sender
    usable = [
        endpoint
        for endpoint in state.endpoints.endpoints.values()
        if endpoint.service == service and is_usable(endpoint, own.zone, state.now_s)
    ]
    oldest_s = min((endpoint.active_since_s for endpoint in usable), default=0.0)
    free = [
        endpoint
        for endpoint in usable
        if endpoint.in_flight < _max_in_flight(state, endpoint, own.zone, oldest_s)
    ]
    return pick_least_loaded(state, free)


def pick_least_loaded(state: State, free: list[Endpoint]) -> Endpoint | None:
    """
    Pick the least loaded of the given endpoints, preferring the local zone.

    :param state: state of this instance.
    :param free: endpoints with a free slot.
    :returns: one of them, or ``None`` when there are none.
    """
    own = state.identity.sender

    def load(endpoint: Endpoint) -> tuple[bool, float, int]:
        tie = xxhash.xxh32_intdigest(f"{own.instance} {endpoint.id}".encode())
        return endpoint.zone != own.zone, endpoint.in_flight / endpoint.slots, tie

    return min(free, key=load, default=None)


def is_usable(endpoint: Endpoint, local_zone: str, now_s: float) -> bool:
    """
    Return whether an endpoint may receive new work.

    :param endpoint: the endpoint.
    :param local_zone: availability zone of this instance.
    :param now_s: current time, in seconds.
    :returns: whether it is listed, neither leaving nor waiting for a retry, and assumed live.
    """
    if not endpoint.listed or endpoint.leaving or endpoint.retry_at_s > now_s:
        return False
    if endpoint.last_healthy_probe_s < 0:
        # The first probe may still be in flight; a remote endpoint gets no work before its result.
        if endpoint.zone != local_zone:
            return False
        return endpoint.first_probe_s < 0 or now_s - endpoint.first_probe_s <= FIRST_PROBE_GRACE_S
    return now_s - endpoint.last_healthy_probe_s <= LIVENESS_TTL_S


def has_any(state: EndpointState, service: str) -> bool:
    """
    Return whether a service has a listed endpoint that is not leaving.

    :param state: endpoints known to this instance.
    :param service: ``WORKSPACE/SERVICE``.
    :returns: whether there is at least one.
    """
    return any(
        endpoint.service == service and endpoint.listed and not endpoint.leaving
        for endpoint in state.endpoints.values()
    )


def _apply_listed(state: EndpointState, item: ListedInstance, now_s: float) -> None:
    endpoint = state.endpoints.get(item.id)
    if endpoint is None:
        endpoint = Endpoint(item.id, item.service, item.address, item.zone, item.slots)
        endpoint.active_since_s = now_s
        endpoint.incarnation = item.incarnation
        state.endpoints[item.id] = endpoint
    elif item.incarnation > endpoint.incarnation:
        reset_for_incarnation(endpoint, item.incarnation, now_s)
    endpoint.listed = True
    endpoint.last_listed_s = now_s
    if item.incarnation == endpoint.incarnation:
        endpoint.address = item.address
        endpoint.service = item.service
        endpoint.zone = item.zone
        endpoint.slots = item.slots
        endpoint.leaving = endpoint.leaving or item.state == "leaving"


def _max_in_flight(state: State, endpoint: Endpoint, local_zone: str, oldest_s: float) -> int:
    if endpoint.trial_attempts_left:
        return 1
    if endpoint.zone != local_zone:
        return max(1, endpoint.slots // REMOTE_SLOT_DIVISOR)
    age_s = state.now_s - endpoint.active_since_s
    if age_s < SLOW_START_S and endpoint.active_since_s - oldest_s >= SLOW_START_S:
        return max(1, int(endpoint.slots * age_s / SLOW_START_S))
    return endpoint.slots
