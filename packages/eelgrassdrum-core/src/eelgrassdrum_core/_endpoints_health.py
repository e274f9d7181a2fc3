"""
Health of endpoints: probes, failure rates, ejection and trial after ejection.

The instances of a zone share the probing of its endpoints. For each endpoint a primary, selected by
rendezvous hashing, probes at a short interval and notifies the others when the endpoint is leaving.
The others probe at a longer interval, which still detects a leaving endpoint in time when the
primary fails.
"""

from collections.abc import Iterator

import xxhash

from . import _endpoints
from ._effects import Emit, ProbeEndpoint, SendPeer, WriteLog
from ._endpoints_messages import EndpointLeaving
from ._endpoints_state import Endpoint
from ._events import CapacityChanged, EndpointProbed, PeerReceived, Ticked
from ._handlers import HandlerTable
from ._membership import zone_peers
from ._membership_state import ALIVE
from ._overload import service_load
from ._state import State

PRIMARY_PROBE_INTERVAL_S = 1.0
SECONDARY_PROBE_INTERVAL_S = 3.0
# Remote endpoints are probed while requests for their service wait, and for this time after the
# last attempt there.
REMOTE_PROBE_WINDOW_S = 10.0
PROBE_TIMEOUT_S = 1.0
# Consecutive failed probes after which an endpoint is ejected.
MAX_FAILED_PROBES = 2
# Weight of one attempt in the moving average of failures.
FAILURE_WEIGHT = 0.2
# A fast failure weighs more: it takes less than this fraction of the service's mean run time.
FAST_FAILURE_WEIGHT = 0.4
FAST_FAILURE_RATIO = 0.3
MIN_SAMPLES = 3
EJECT_FAILURE_RATE = 0.5
# An endpoint is ejected only when its failure rate exceeds the mean of the other endpoints of its
# service by this margin; otherwise the cause is not the endpoint.
EJECT_RATE_MARGIN = 0.3
BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 30.0
TRIAL_ATTEMPTS = 3


def note_answer(
    state: State, endpoint_id: str, failed: bool, run_s: float, mean_run_s: float
) -> None:
    """
    Record the response to an attempt.

    :param state: state of this instance; the endpoint is updated in place.
    :param endpoint_id: id of the endpoint.
    :param failed: whether the response was a failure of the endpoint.
    :param run_s: duration of the attempt, in seconds.
    :param mean_run_s: mean duration of attempts of the service, in seconds.
    """
    endpoint = state.endpoints.endpoints.get(endpoint_id)
    if endpoint is None:
        return
    weight = FAILURE_WEIGHT
    if failed and run_s < FAST_FAILURE_RATIO * mean_run_s:
        weight = FAST_FAILURE_WEIGHT
    endpoint.samples += 1
    endpoint.failure_rate += weight * (float(failed) - endpoint.failure_rate)
    if failed:
        _eject_if_failing(state, endpoint)
        return
    endpoint.trial_attempts_left = max(0, endpoint.trial_attempts_left - 1)
    if endpoint.trial_attempts_left == 0 and endpoint.failure_rate < EJECT_FAILURE_RATE / 2:
        endpoint.ejections = 0


def note_unreachable(state: State, endpoint_id: str) -> None:
    """
    Record that a connection to an endpoint could not be opened, and eject the endpoint.

    :param state: state of this instance; the endpoint is updated in place.
    :param endpoint_id: id of the endpoint.
    """
    endpoint = state.endpoints.endpoints.get(endpoint_id)
    if endpoint is not None:
        _eject(state, endpoint)


def note_timeout(state: State, endpoint_id: str) -> Iterator[object]:
    """
    Record that an attempt timed out, and probe the endpoint on a new connection.

    :param state: state of this instance; the endpoint is updated in place.
    :param endpoint_id: id of the endpoint.
    :returns: the probe.
    """
    endpoint = state.endpoints.endpoints.get(endpoint_id)
    if endpoint is None:
        return
    endpoint.samples += 1
    endpoint.failure_rate += FAILURE_WEIGHT * (1.0 - endpoint.failure_rate)
    _eject_if_failing(state, endpoint)
    yield _probe(state, endpoint)


def note_leaving(state: State, endpoint_id: str) -> Iterator[object]:
    """
    Record that an endpoint reported that it is leaving, and notify the zone.

    :param state: state of this instance; the endpoint is updated in place.
    :param endpoint_id: id of the endpoint.
    :returns: a log line, and messages to the other instances of the zone.
    """
    endpoint = state.endpoints.endpoints.get(endpoint_id)
    if endpoint is None or endpoint.leaving:
        return
    endpoint.leaving = True
    yield WriteLog("endpoint.leaving", {"endpoint": endpoint_id})
    for member in zone_peers(state):
        yield SendPeer(member.peer_address, EndpointLeaving(endpoint_id, endpoint.incarnation))


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Send the probes that are due.
    """
    alive = [m.sender.instance for m in zone_peers(state) if m.state == ALIVE]
    for endpoint in state.endpoints.endpoints.values():
        interval_s = _probe_interval(state, endpoint, alive)
        if interval_s is not None and state.now_s - endpoint.last_probe_s >= interval_s:
            yield _probe(state, endpoint)


def on_probed(state: State, event: EndpointProbed) -> Iterator[object]:
    """
    Apply the result of a probe.
    """
    endpoint = state.endpoints.endpoints.get(event.endpoint)
    if endpoint is None or (event.healthy and event.incarnation < endpoint.incarnation):
        return
    if not event.healthy:
        endpoint.failed_probes += 1
        if endpoint.failed_probes >= MAX_FAILED_PROBES:
            _eject(state, endpoint)
        return
    if event.incarnation > endpoint.incarnation:
        _endpoints.reset_for_incarnation(endpoint, event.incarnation, state.now_s)
    if event.leaving:
        yield from note_leaving(state, endpoint.id)
        return
    local_zone = state.identity.sender.zone
    was_usable = _endpoints.is_usable(endpoint, local_zone, state.now_s)
    if endpoint.failed_probes:
        endpoint.failed_probes = 0
        endpoint.retry_at_s = min(endpoint.retry_at_s, state.now_s)
    endpoint.last_healthy_probe_s = endpoint.last_probe_s
    if not was_usable:
        yield Emit(CapacityChanged(endpoint.service))


def on_peer(state: State, event: PeerReceived) -> Iterator[object]:
    """
    Record the report of a peer that an endpoint is leaving.
    """
    if isinstance(event.message, EndpointLeaving):
        endpoint = state.endpoints.endpoints.get(event.message.endpoint)
        if endpoint is not None and endpoint.incarnation <= event.message.incarnation:
            endpoint.incarnation = event.message.incarnation
            endpoint.leaving = True
    return iter(())


def _probe(state: State, endpoint: Endpoint) -> ProbeEndpoint:
    endpoint.last_probe_s = state.now_s
    if endpoint.first_probe_s < 0:
        endpoint.first_probe_s = state.now_s
    return ProbeEndpoint(endpoint.id, endpoint.address, PROBE_TIMEOUT_S)


def _probe_interval(state: State, endpoint: Endpoint, alive: list[str]) -> float | None:
    if endpoint.leaving or not endpoint.listed:
        return None
    own = state.identity.sender
    if endpoint.zone != own.zone:
        is_used = (
            endpoint.last_attempt_s >= 0
            and state.now_s - endpoint.last_attempt_s < REMOTE_PROBE_WINDOW_S
        )
        has_waiting = service_load(state, endpoint.service).total > 0
        return SECONDARY_PROBE_INTERVAL_S if is_used or has_waiting else None

    def weight(instance: str) -> int:
        return xxhash.xxh64_intdigest(f"probe {endpoint.id} {instance}".encode())

    is_primary = max([*alive, own.instance], key=weight) == own.instance
    return PRIMARY_PROBE_INTERVAL_S if is_primary else SECONDARY_PROBE_INTERVAL_S


def _eject_if_failing(state: State, endpoint: Endpoint) -> None:
    if endpoint.trial_attempts_left:
        _eject(state, endpoint)
        return
    others = [
        other
        for other in state.endpoints.endpoints.values()
        if other.service == endpoint.service and other is not endpoint and other.listed
    ]
    others_rate = sum(other.failure_rate for other in others) / len(others) if others else 1.0
    is_worse = endpoint.failure_rate > max(EJECT_FAILURE_RATE, others_rate + EJECT_RATE_MARGIN)
    if endpoint.samples >= MIN_SAMPLES and is_worse and _may_eject(state, endpoint):
        _eject(state, endpoint)


def _may_eject(state: State, endpoint: Endpoint) -> bool:
    # At least half of the service's endpoints in the zone stay in use, since fewer would be
    # overloaded.
    zone_endpoints = [
        other
        for other in state.endpoints.endpoints.values()
        if other.service == endpoint.service and other.zone == endpoint.zone and not other.leaving
    ]
    ejected = sum(other.trial_attempts_left > 0 for other in zone_endpoints)
    return 2 * (ejected + 1) <= max(2, len(zone_endpoints))


def _eject(state: State, endpoint: Endpoint) -> None:
    ejection_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**endpoint.ejections)
    endpoint.ejections = min(endpoint.ejections + 1, 10)
    endpoint.trial_attempts_left = TRIAL_ATTEMPTS
    endpoint.retry_at_s = max(endpoint.retry_at_s, state.now_s + ejection_s)
    endpoint.failure_rate = 0.0
    endpoint.samples = 0


HANDLERS: HandlerTable = {
    Ticked: on_tick,
    EndpointProbed: on_probed,
    PeerReceived: on_peer,
}
