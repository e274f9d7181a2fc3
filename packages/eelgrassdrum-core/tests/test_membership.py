"""
Tests of heartbeats, relays, suspicion, pauses and aggregates of one instance.
"""

from eelgrassdrum_core import Identity, Sender, State, Tuning, effects, events, new_state, reduce
from eelgrassdrum_core import _membership as membership
from eelgrassdrum_core import _membership_aggregates as aggregates
from eelgrassdrum_core import _membership_heartbeat as heartbeat
from eelgrassdrum_core._membership_messages import Heartbeat, MemberView, Superseded, ZoneView

OWN = Sender("a1", 5, "a")


def build_list(*names: str, incarnation: int = 1) -> events.InstancesListed:
    """
    Build the platform's instance list; the first letter of a name is the zone.
    """
    return events.InstancesListed(
        tuple(
            events.ListedInstance(n, "entry", n, n[0], incarnation=incarnation, peer_address=n)
            for n in names
        )
    )


def make_heartbeat(sent_s: float, echo_s: float = -1.0, **changes: object) -> Heartbeat:
    """
    Build a heartbeat with default contents.
    """
    return Heartbeat(sent_s, echo_s, "peer", False, 1, -1)._replace(**changes)


def deliver_heartbeat(
    state: State, now_s: float, name: str, incarnation: int = 1, **changes: object
) -> list:
    """
    Deliver a heartbeat to the instance, and return the effects.
    """
    message = make_heartbeat(now_s, **{"echo_s": now_s, "peer_address": name, **changes})
    sender = Sender(name, incarnation, name[0])
    return reduce(state, now_s, events.PeerReceived(sender, message))[1]


def run_ticks(state: State, from_s: float, to_s: float, senders: tuple[str, ...] = ()) -> list:
    """
    Advance time in ticks of 0.1 s, with heartbeats from the given peers before each.
    """
    produced = []
    steps = round((to_s - from_s) * 10)
    for step in range(steps + 1):
        now_s = from_s + step / 10
        for name in senders:
            produced += deliver_heartbeat(state, now_s, name)
        produced += reduce(state, now_s, events.Ticked())[1]
    return produced


def sent_messages(produced: list, address: str) -> list:
    """
    Return the membership messages to one address.
    """
    sends = [effect for effect in produced if isinstance(effect, effects.SendPeer)]
    messages = [effect.message for effect in sends if effect.address == address]
    return [message for message in messages if isinstance(message, Heartbeat | Superseded)]


def liveness_by_instance(state: State) -> dict[str, str]:
    """
    Return the liveness of each member.
    """
    return {member.sender.instance: member.state for member in membership.members(state)}


def make_state() -> State:
    """
    Build an instance of zone a that knows a2, a3 and two instances in each of zones b and c.
    """
    state = new_state(Identity(OWN, "127.0.0.1:1", "127.0.0.1:2"), Tuning())
    reduce(state, 1.0, build_list("a1", "a2", "a3", "b1", "b2", "c1", "c2"))
    return state


FIXTURES = {"state": make_state}


def test_instance_is_suspect_before_dead(state: State) -> None:
    """
    A silent instance is suspect first, and dead only when no other instance gets its heartbeats.
    """
    run_ticks(state, 1.0, 2.0, ("a2", "a3"))
    run_ticks(state, 2.1, 4.5, ("a2",))
    assert liveness_by_instance(state)["a3"] == "suspect"
    run_ticks(state, 4.6, 12.0, ("a2",))
    assert liveness_by_instance(state)["a3"] == "suspect", "a2 still receives its heartbeats"
    for now_s in (12.1, 12.6):
        deliver_heartbeat(state, now_s, "a2", suspects=("a3",))
        reduce(state, now_s, events.Ticked())
    assert liveness_by_instance(state)["a3"] == "dead"
    deliver_heartbeat(state, 12.7, "a3")
    assert liveness_by_instance(state)["a3"] == "alive"


def test_silent_zone_is_not_dead(state: State) -> None:
    """
    Instances of a silent zone are suspect; only their own zone can report them as dead.
    """
    deliver_heartbeat(
        state, 1.1, "b1", members=(MemberView("b1", 1, "alive"), MemberView("b2", 1, "dead"))
    )
    reduce(state, 1.2, events.Ticked())
    assert (liveness_by_instance(state)["b1"], liveness_by_instance(state)["b2"]) == (
        "alive",
        "dead",
    )
    run_ticks(state, 1.3, 60.0)
    assert liveness_by_instance(state)["b1"] == "suspect"


def test_old_incarnation_is_fenced(state: State) -> None:
    """
    A heartbeat of a replaced incarnation is ignored, and its sender is notified.
    """
    deliver_heartbeat(state, 1.1, "a2", incarnation=7)
    produced = deliver_heartbeat(state, 1.2, "a2", incarnation=6, next_offset=99)
    assert sent_messages(produced, "a2") == [Superseded(7)]
    assert state.membership.peers["a2"].next_offset == 1


def test_superseded_instance_stops(state: State) -> None:
    """
    An instance stops when notified of a newer incarnation of itself, but not of its own one.
    """
    reduce(state, 1.1, events.PeerReceived(Sender("a2", 1, "a"), Superseded(5)))
    assert not state.stopping
    reduce(state, 1.2, events.PeerReceived(Sender("a2", 1, "a"), Superseded(6)))
    assert state.stopping
    assert state.membership.superseded


def test_pause_is_seen_before_and_after_the_next_tick(state: State) -> None:
    """
    A gap between ticks is visible at the first event after it, and is recorded at the next tick.
    """
    run_ticks(state, 1.0, 2.0)
    deliver_heartbeat(state, 9.0, "a2")
    assert membership.pause_s(state) == 7.0
    reduce(state, 9.1, events.Ticked())
    assert abs(state.membership.last_gap_s - 7.1) < 1e-9
    assert state.membership.last_gap_ended_s == 9.1
    run_ticks(state, 9.2, 20.0)
    assert state.membership.pauses == 1


def test_own_pause_makes_no_peer_dead(state: State) -> None:
    """
    A pause of this process does not make peers dead, though no heartbeats arrived during it.
    """
    run_ticks(state, 1.0, 2.0, ("a2", "a3"))
    reduce(state, 60.0, events.Ticked())
    assert liveness_by_instance(state)["a2"] in ("alive", "suspect")


def test_heartbeat_from_a_buffer_proves_nothing_new(state: State) -> None:
    """
    A zone's reachability is dated by the echo, so a delayed heartbeat proves nothing newer.
    """
    deliver_heartbeat(state, 2.0, "b1", echo_s=1.5)
    deliver_heartbeat(state, 50.0, "b1", echo_s=1.5)
    assert state.membership.zones["b"] == 1.5
    assert "b" not in membership.reachable_zones(state)


def test_zone_is_reachable_through_another(state: State) -> None:
    """
    A peer's contact with a third zone counts, less the reported age.
    """
    deliver_heartbeat(state, 10.0, "b1", zones=(ZoneView("c", 1500),))
    assert state.membership.zones["c"] == 8.5
    assert membership.reachable_zones(state) == {"a", "b", "c"}


def test_all_instances_choose_the_same_relays(state: State) -> None:
    """
    Instances that see the same peers choose the same relays, and replace one that is gone.
    """
    other = new_state(Identity(Sender("a2", 1, "a"), "a2", "a2"), Tuning())
    reduce(other, 1.0, build_list("a1", "a2", "a3", "b1", "b2", "c1", "c2"))
    run_ticks(state, 1.0, 2.0, ("a2", "a3"))
    run_ticks(other, 1.0, 2.0, ("a1", "a3"))
    chosen = [sender.instance for sender in membership.relays(state, "b")]
    assert chosen == [sender.instance for sender in membership.relays(other, "b")]
    assert len(chosen) == membership.RELAYS_PER_ZONE_PAIR
    run_ticks(state, 2.1, 5.0, ("a2",))
    left = {sender.instance for sender in membership.relays(state, "b")}
    assert left == {"a1", "a2"}


def test_relay_turns_to_another_instance(state: State) -> None:
    """
    A relay without an answer from another zone tries that zone's next instance.
    """
    produced = run_ticks(state, 1.0, 10.0)
    zones = membership.relayed_zones(state)
    assert zones == ("b", "c"), "the only live instance of its zone relays to all zones"
    assert sent_messages(produced, "b1")
    assert sent_messages(produced, "b2")


def test_values_reach_zone_and_relays_once(state: State) -> None:
    """
    Values are sent to the zone, sums to other zones, and unchanged values are not sent again.
    """
    aggregates.PROVIDERS["demand"] = lambda _: {"show/judges": 40}
    try:
        deliver_heartbeat(state, 1.0, "a2", values=())
        produced = run_ticks(state, 1.1, 5.0, ("a2", "a3", "b1", "c1"))
    finally:
        del aggregates.PROVIDERS["demand"]
    key = aggregates.hash_name("demand", "show/judges")
    reported = [number for message in sent_messages(produced, "a3") for number in message.values]
    assert [(item.origin, item.values) for item in reported] == [("a1", {key: 40})]
    assert aggregates.fleet_number(state, "demand", "show/judges") == 40


def test_values_are_summed_while_their_origin_is_reachable(state: State) -> None:
    """
    Values of zones and instances are summed, and ignored once their origin is silent.
    """
    key = aggregates.hash_name("demand", "show/judges")
    from_zone = (aggregates.OriginValues("b", {key: 100}),)
    deliver_heartbeat(state, 1.0, "a2", values=(aggregates.OriginValues("a2", {key: 5}),))
    deliver_heartbeat(state, 1.0, "b1", values=from_zone)
    assert aggregates.zone_number(state, "demand", "show/judges") == 5
    assert aggregates.fleet_number(state, "demand", "show/judges") == 105
    run_ticks(state, 1.1, 20.0, ("a2",))
    assert aggregates.fleet_number(state, "demand", "show/judges") == 5


def test_values_are_rate_limited(state: State) -> None:
    """
    The number of values sent per second stays within the limit, however many change.
    """
    aggregates.PROVIDERS["demand"] = lambda s: {
        f"t{i}": 1 + i + int(s.now_s * 1000) for i in range(5000)
    }
    try:
        run_ticks(state, 1.0, 2.0, ("a2", "a3"))
        produced = run_ticks(state, 2.1, 4.0, ("a2", "a3"))
    finally:
        del aggregates.PROVIDERS["demand"]
    messages = [m for name in ("a2", "a3") for m in sent_messages(produced, name)]
    count = sum(len(item.values) for message in messages for item in message.values)
    allowed = aggregates.ZONE_VALUES_PER_S * 2
    assert 0 < count <= allowed + aggregates.ZONE_VALUES_PER_S * heartbeat.ZONE_HEARTBEAT_INTERVAL_S
