"""
A zone that is cut off for long.
"""

from eelgrassdrum_core import refusals
from eelgrassdrum_testing._harness import (
    LOG,
    QUEUE,
    World,
    advance,
    key_text,
    make_fleet,
    pause_entry,
    submit,
)
from eelgrassdrum_testing._schedules import run_schedule

LONG_S = 60.0
# A key is withdrawn, a zone is cut off, and the log is slow when the cut heals.
BEHIND_SEED = 100815


def make_cut_world() -> World:
    """
    Give a fleet whose zone a has been cut off from everything for a minute.
    """
    world = make_fleet(3)
    for other in ("b", "c", LOG):
        world.network.cuts.add(frozenset(("a", other)))
    advance(world, LONG_S)
    return world


def make_lonely_world() -> World:
    """
    Give a fleet of one zone whose second instance is frozen and whose log is out of reach.
    """
    world = make_fleet(3, zones=("a",), entries_per_zone=2)
    pause_entry(world, world.entries["entry-a1"], 2 * LONG_S)
    world.network.cuts.add(frozenset(("a", LOG)))
    advance(world, LONG_S)
    return world


def refusal_of_keyed(world: World) -> refusals.Refusal | None:
    """
    Send a keyed request to the first instance and give its refusal.
    """
    entry = world.entries["entry-a0"]
    token = submit(world, entry, QUEUE, "r1", key=key_text("judges"), team="show/judges")
    advance(world, 1.0)
    [outcome] = [outcome for outcome in world.outcomes if outcome.token == token]
    return outcome.refusal


FIXTURES = {"cut_world": make_cut_world, "lonely_world": make_lonely_world}


def test_silence_of_all_others_is_no_proof(cut_world: World) -> None:
    """
    A zone cut off for so long that it counts all others as dead still takes no keyed work.
    """
    refusal = refusal_of_keyed(cut_world)
    assert refusal is not None
    assert refusal.code == refusals.KEY_UNVERIFIED


def test_silent_listed_peer_may_know_of_a_withdrawal(lonely_world: World) -> None:
    """
    An instance without the log takes no keyed work while its only listed peer is silent.
    """
    refusal = refusal_of_keyed(lonely_world)
    assert refusal is not None
    assert refusal.code == refusals.KEY_UNVERIFIED


def test_first_word_after_a_cut_is_no_proof() -> None:
    """
    A zone that was cut off takes no withdrawn key once it hears others again but lags behind them.
    """
    assert run_schedule(BEHIND_SEED).violations == ()
