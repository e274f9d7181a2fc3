"""
Tests of endpoints: leaving, probes, ejection, trial and selection.
"""

from eelgrassdrum_core import Identity, Sender, State, Tuning, effects, events, new_state, reduce
from eelgrassdrum_core import _endpoints as endpoints
from eelgrassdrum_core import _endpoints_health as health
from eelgrassdrum_core._endpoints_messages import EndpointLeaving

SERVICE = "show/judging"
LISTED = tuple(
    events.ListedInstance(f"ep-{zone}{n}", "endpoint", f"{zone}{n}", zone, service=SERVICE, slots=4)
    for zone, n in (("a", 1), ("a", 2), ("b", 1))
)


def make_state() -> State:
    """
    Build the state of an instance in zone a with two local endpoints and one in another zone.
    """
    identity = Identity(Sender("entry-a1", 1, "a"), "127.0.0.1:1", "127.0.0.1:2")
    state = new_state(identity, Tuning())
    reduce(state, 1.0, events.InstancesListed(LISTED))
    return state


def chosen_endpoint(state: State) -> str:
    """
    Return the id of the endpoint chosen for the next attempt, or an empty string.
    """
    endpoint = endpoints.choose_endpoint(state, SERVICE)
    return "" if endpoint is None else endpoint.id


def fail(state: State, endpoint: str, times: int) -> None:
    """
    Record failures of an endpoint that are much faster than the mean response.
    """
    for _ in range(times):
        health.note_answer(state, endpoint, True, 0.001, 0.1)


FIXTURES = {"state": make_state}


def test_leaving_state_lasts_until_a_newer_incarnation(state: State) -> None:
    """
    A stale list does not reset the leaving state; a list with a newer incarnation does.
    """
    list(health.note_leaving(state, "ep-a1"))
    reduce(state, 2.0, events.InstancesListed(LISTED))
    assert state.endpoints.endpoints["ep-a1"].leaving
    newer = LISTED[0]._replace(incarnation=1)
    reduce(state, 3.0, events.InstancesListed((newer, *LISTED[1:])))
    assert not state.endpoints.endpoints["ep-a1"].leaving


def test_endpoint_leaving_is_accepted_from_a_peer(state: State) -> None:
    """
    An endpoint that a peer reports as leaving gets no new work.
    """
    sender = Sender("entry-a2", 1, "a")
    reduce(state, 2.0, events.PeerReceived(sender, EndpointLeaving("ep-a1", 0)))
    assert chosen_endpoint(state) == "ep-a2"


def test_new_work_needs_a_recent_healthy_probe(state: State) -> None:
    """
    An endpoint without a healthy probe within the liveness TTL gets no new work.
    """
    _, produced = reduce(state, 2.0, events.Ticked())
    probed = {e.endpoint for e in produced if isinstance(e, effects.ProbeEndpoint)}
    assert probed == {"ep-a1", "ep-a2"}
    for name in probed:
        reduce(state, 2.01, events.EndpointProbed(name, True))
    state.now_s = 2.0 + endpoints.LIVENESS_TTL_S
    assert chosen_endpoint(state) in probed
    state.now_s += 0.1
    assert chosen_endpoint(state) == ""


def test_other_zone_is_used_only_when_the_local_zone_is_full(state: State) -> None:
    """
    Work goes to another zone only when local endpoints are full and a remote one is live.
    """
    reduce(state, 1.1, events.EndpointProbed("ep-b1", True))
    state.endpoints.endpoints["ep-b1"].last_healthy_probe_s = 1.0
    assert chosen_endpoint(state).startswith("ep-a")
    for name in ("ep-a1", "ep-a2"):
        state.endpoints.endpoints[name].in_flight = 4
    assert chosen_endpoint(state) == "ep-b1"
    remote = state.endpoints.endpoints["ep-b1"]
    remote.in_flight = remote.slots // endpoints.REMOTE_SLOT_DIVISOR
    assert chosen_endpoint(state) == ""


def test_fast_failing_endpoint_is_ejected(state: State) -> None:
    """
    An endpoint that fails fast is ejected, not preferred for its free slots, and then gets one
    attempt at a time.
    """
    fail(state, "ep-a1", 3)
    bad = state.endpoints.endpoints["ep-a1"]
    assert bad.retry_at_s > state.now_s
    assert chosen_endpoint(state) == "ep-a2"
    state.now_s = bad.retry_at_s
    bad.in_flight = 1
    state.endpoints.endpoints["ep-a2"].in_flight = 4
    assert chosen_endpoint(state) == ""
    fail(state, "ep-a1", 1)
    assert bad.retry_at_s - state.now_s == 2 * health.BASE_EJECTION_S


def test_not_all_endpoints_are_ejected(state: State) -> None:
    """
    When both endpoints of the zone fail, at least one stays in use.
    """
    for _ in range(10):
        fail(state, "ep-a1", 1)
        fail(state, "ep-a2", 1)
    out = [e for e in state.endpoints.endpoints.values() if e.retry_at_s > state.now_s]
    assert len(out) <= 1


def test_trial_ends_after_successes(state: State) -> None:
    """
    An ejected endpoint recovers after consecutive successful attempts.
    """
    fail(state, "ep-a1", 3)
    for _ in range(health.TRIAL_ATTEMPTS):
        health.note_answer(state, "ep-a1", False, 0.1, 0.1)
    endpoint = state.endpoints.endpoints["ep-a1"]
    assert (endpoint.trial_attempts_left, endpoint.ejections) == (0, 0)


def test_failed_probes_eject_an_endpoint_until_a_healthy_probe(state: State) -> None:
    """
    Two consecutive failed probes eject an endpoint; a healthy probe ends the ejection.
    """
    state.endpoints.endpoints["ep-a1"].last_probe_s = 1.0
    reduce(state, 1.5, events.EndpointProbed("ep-a1", False))
    reduce(state, 1.6, events.EndpointProbed("ep-a1", False))
    assert state.endpoints.endpoints["ep-a1"].retry_at_s > 1.6
    reduce(state, 1.7, events.EndpointProbed("ep-a1", True))
    assert state.endpoints.endpoints["ep-a1"].retry_at_s <= 1.7


def test_a_new_endpoint_starts_slowly(state: State) -> None:
    """
    A new endpoint beside older ones gets a growing fraction of its slots.
    """
    newcomer = LISTED[0]._replace(id="ep-a3", address="a3")
    reduce(state, 20.0, events.InstancesListed((*LISTED, newcomer)))
    for name in ("ep-a1", "ep-a2"):
        state.endpoints.endpoints[name].in_flight = 4
    state.endpoints.endpoints["ep-a3"].in_flight = 1
    assert chosen_endpoint(state) == ""
    state.now_s = 20.0 + endpoints.SLOW_START_S
    state.endpoints.endpoints["ep-a3"].last_healthy_probe_s = state.now_s
    assert chosen_endpoint(state) == "ep-a3"
