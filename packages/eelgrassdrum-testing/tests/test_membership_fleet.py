"""
Membership over several zones: deaths, cuts and loss as the other instances see them.
"""

from eelgrassdrum_core import _membership as membership
from eelgrassdrum_core import members, reachable_zones
from eelgrassdrum_testing._harness import (
    Entry,
    World,
    advance,
    kill_entry,
    make_fleet,
    pause_entry,
    start_entry,
)


def make_world() -> World:
    """
    Give a fleet of three zones with three entry instances in each.
    """
    return make_fleet(23, entries_per_zone=3, settle_s=6.0)


def states_of(world: World, entry_id: str) -> set[str]:
    """
    Give the liveness of one instance in the eyes of all others that live.
    """
    return {
        member.state
        for entry in world.entries.values()
        if entry.alive
        for member in members(entry.state)
        if member.sender.instance == entry_id
    }


def all_states(world: World) -> set[str]:
    """
    Give every liveness that any instance sees.
    """
    return {member.state for entry in world.entries.values() for member in members(entry.state)}


def relays_to(world: World, zone: str, other: str) -> list[Entry]:
    """
    Give the instances that relay from one zone to another.
    """
    [entry, *_] = [entry for entry in world.entries.values() if entry.zone == zone]
    return [world.entries[sender.instance] for sender in membership.relays(entry.state, other)]


FIXTURES = {"world": make_world}


def test_all_see_all_alive(world: World) -> None:
    """
    At rest every instance sees every other alive, and every zone in touch.
    """
    assert all_states(world) == {"alive"}
    for entry in world.entries.values():
        assert reachable_zones(entry.state) == {"a", "b", "c"}


def test_death_is_known_in_all_zones(world: World) -> None:
    """
    A killed instance is dead in the eyes of all, and alive again with its replacement.
    """
    kill_entry(world, world.entries["entry-a1"])
    advance(world, 15.0)
    assert states_of(world, "entry-a1") == {"dead"}
    start_entry(world, "entry-a1", "a", world.entries["entry-a0"].state.tuning)
    advance(world, 15.0)
    assert states_of(world, "entry-a1") == {"alive"}


def test_cut_zone_is_not_dead(world: World) -> None:
    """
    During a cut of a minute the far instances are suspect, and nobody counts as dead.
    """
    world.network.cuts |= {frozenset("ac"), frozenset("bc")}
    advance(world, 60.0)
    assert all_states(world) == {"alive", "suspect"}
    assert reachable_zones(world.entries["entry-c0"].state) == {"c"}
    world.network.cuts.clear()
    advance(world, 6.0)
    assert all_states(world) == {"alive"}


def test_zone_stays_in_touch_over_a_third(world: World) -> None:
    """
    Two zones that are cut off from each other stay in touch over the third.
    """
    world.network.cuts.add(frozenset("ac"))
    for _ in range(100):
        advance(world, 0.2)
        assert "c" in reachable_zones(world.entries["entry-a0"].state)


def test_zones_stay_in_touch_when_relays_die(world: World) -> None:
    """
    When both relays between two zones die at once, others take over.
    """
    for entry in relays_to(world, "a", "b"):
        kill_entry(world, entry)
    advance(world, 10.0)
    [left] = [entry for entry in world.entries.values() if entry.zone == "a" and entry.alive]
    for _ in range(50):
        advance(world, 0.2)
        assert reachable_zones(left.state) == {"a", "b", "c"}


def test_loss_kills_nobody(world: World) -> None:
    """
    With a quarter of the messages lost, no living instance ever counts as dead.
    """
    world.network.drop = 0.25
    for _ in range(150):
        advance(world, 0.2)
        assert "dead" not in all_states(world)


def test_paused_instance_sees_others_alive_soon(world: World) -> None:
    """
    After a pause an instance knows its length, and declares none of the others dead.
    """
    entry = world.entries["entry-b0"]
    pause_entry(world, entry, 20.0)
    advance(world, 20.2)
    assert entry.state.membership.last_gap_s > 19.0
    assert "dead" not in {member.state for member in members(entry.state)}
    advance(world, 3.0)
    assert {member.state for member in members(entry.state)} == {"alive"}
