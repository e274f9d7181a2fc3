"""
Withdrawn keys and proofs of freshness over several instances, with the log or zones cut off.
"""

from collections.abc import Iterator
from unittest import mock

from eelgrassdrum_core import KeyWithdrawalAsked, proof_age_s, refusals, told_instances
from eelgrassdrum_core import _freshness as freshness
from eelgrassdrum_testing._harness import (
    DEFAULT_TEAMS,
    LOG,
    OPEN_QUEUE,
    QUEUE,
    World,
    advance,
    deliver,
    key_text,
    kill_entry,
    make_fleet,
    pause_entry,
    submit,
    withdraw_key,
)
from eelgrassdrum_testing._invariants import check_running

ZONES = ("a", "b", "c")
BOUND_S = 5.0


def make_world() -> World:
    """
    Give a fleet of three zones with two entry instances in each.
    """
    return make_fleet(11, entries_per_zone=2, settle_s=5.0)


def make_graced_world() -> World:
    """
    Give a fleet in which the members' keys have a grace.
    """
    judges, members = DEFAULT_TEAMS
    teams = (judges, members._replace(grace_s=60.0))
    return make_fleet(11, entries_per_zone=2, settle_s=5.0, teams=teams)


def cut_off(world: World, zone: str) -> None:
    """
    Cut a zone off from the log and from the other zones.
    """
    world.network.cuts |= {frozenset((zone, other)) for other in (*ZONES, LOG) if other != zone}


def ask(world: World, entry_id: str, team: str = "members", queue: str = QUEUE) -> str:
    """
    Send one request, and tell how it ended: ``answered`` or the code of the refusal.
    """
    key = key_text(team) if team else ""
    full_name = f"show/{team}" if team else ""
    # The id names the instance's zone, so that a zone that is cut off can settle it alone.
    request_id = f"{world.entries[entry_id].zone}.r{world.next_token}"
    token = submit(world, world.entries[entry_id], queue, request_id, key=key, team=full_name)
    advance(world, 1.5)
    [outcome] = [outcome for outcome in world.outcomes if outcome.token == token]
    return "answered" if outcome.refusal is None else outcome.refusal.code.name


def refused_everywhere(world: World, team: str = "members") -> bool:
    """
    Tell whether every live instance refuses a team's key as withdrawn.
    """
    alive = [entry.id for entry in world.entries.values() if entry.alive]
    return all(ask(world, entry_id, team) == refusals.KEY_REFUSED.name for entry_id in alive)


def no_check() -> Iterator[None]:
    """
    Take keys without any proof of freshness.
    """
    with mock.patch.object(freshness, "keyed_work_allowed", lambda state, team: True):
        yield


FIXTURES = {"world": make_world, "graced": make_graced_world, "no_check": no_check}


def test_proof_stays_young_while_anything_is_heard(world: World) -> None:
    """
    Healthy, with a slow log and with no log, keys are never refused for want of a proof.
    """
    bound_s = world.entries["entry-a0"].state.tuning.key_freshness_s
    for delay_s, outage in ((0.01, False), (0.5, False), (0.01, True)):
        world.log.delay_s, world.log.outage = delay_s, outage
        for _ in range(100):
            advance(world, 0.1)
            assert max(proof_age_s(entry.state) for entry in world.entries.values()) < bound_s


def test_cut_off_zone_takes_no_keyed_work(world: World) -> None:
    """
    Past the bound a zone that hears nothing refuses keys as unverified, and open queues go on.
    """
    cut_off(world, "c")
    advance(world, BOUND_S)
    assert ask(world, "entry-c0") == refusals.KEY_UNVERIFIED.name
    assert ask(world, "entry-c0", "", OPEN_QUEUE) == "answered"
    assert ask(world, "entry-a0") == "answered"
    world.network.cuts.clear()
    advance(world, BOUND_S)
    assert ask(world, "entry-c0") == "answered"


def test_unverified_refusal_says_when_to_come_back(world: World) -> None:
    """
    The refusal carries a time, which differs between callers.
    """
    cut_off(world, "c")
    advance(world, BOUND_S)
    ask(world, "entry-c0")
    ask(world, "entry-c0")
    times = [o.refusal.retry_after_s for o in world.outcomes if o.refusal is not None]
    assert len(set(times)) == 2
    assert all(0 < retry_after_s <= BOUND_S for retry_after_s in times)


def test_grace_extends_the_bound_for_its_team_only(graced: World) -> None:
    """
    In a zone that is cut off, keys go on for a team with a grace until that has passed.
    """
    cut_off(graced, "c")
    advance(graced, 20.0)
    assert ask(graced, "entry-c0", "members") == "answered"
    assert ask(graced, "entry-c0", "judges") == refusals.KEY_UNVERIFIED.name
    advance(graced, 60.0)
    assert ask(graced, "entry-c0", "members") == refusals.KEY_UNVERIFIED.name


def test_withdrawal_by_the_log_reaches_a_zone_over_relays(world: World) -> None:
    """
    A zone that is cut off from the log and one zone hears of a withdrawal over the other.
    """
    world.network.cuts |= {frozenset(("c", LOG)), frozenset(("c", "a"))}
    advance(world, 10.0)
    assert ask(world, "entry-c0") == "answered"
    withdraw_key(world, "members")
    advance(world, BOUND_S)
    assert refused_everywhere(world)


def test_withdrawal_works_while_the_log_is_out(world: World) -> None:
    """
    With the log out a withdrawal goes from peer to peer, and keys that are good go on.
    """
    world.log.outage = True
    advance(world, 10.0)
    withdraw_key(world, "members")
    advance(world, 1.0)
    assert refused_everywhere(world)
    assert ask(world, "entry-b1", "judges") == "answered"


def test_operator_learns_how_far_a_withdrawal_has_come(world: World) -> None:
    """
    The instance that took a withdrawal counts the others that have it, and none that is cut off.
    """
    world.log.outage = True
    entry = world.entries["entry-a0"]
    advance(world, 5.0)
    cut_off(world, "c")
    deliver(world, entry, KeyWithdrawalAsked("show", "members-key"))
    assert told_instances(entry.state) == 0
    advance(world, BOUND_S)
    assert told_instances(entry.state) == 3
    world.network.cuts.clear()
    advance(world, BOUND_S)
    assert told_instances(entry.state) == 5
    assert all("show/members-key" in e.state.freshness.withdrawn for e in world.entries.values())


def test_withdrawal_outlives_its_first_instance(world: World) -> None:
    """
    When the instance that took a withdrawal dies during the outage, the others bring it to the log.
    """
    world.log.outage = True
    advance(world, 2.0)
    deliver(world, world.entries["entry-a0"], KeyWithdrawalAsked("show", "members-key"))
    advance(world, 1.0)
    kill_entry(world, world.entries["entry-a0"])
    advance(world, 10.0)
    world.log.outage = False
    advance(world, 60.0)
    alive = [entry.state for entry in world.entries.values() if entry.alive]
    assert all("show/members-key" in state.fold.keys.withdrawn for state in alive)
    assert all(not state.freshness.withdrawn for state in alive)


def test_paused_instance_takes_no_key_before_it_heard_anew(world: World) -> None:
    """
    What waited in buffers during a pause proves nothing: a key withdrawn meanwhile is not taken.
    """
    entry = world.entries["entry-a0"]
    pause_entry(world, entry, 20.0)
    advance(world, 5.0)
    withdraw_key(world, "members")
    advance(world, 10.0)
    token = submit(world, entry, QUEUE, "late", key=key_text("members"), team="show/members")
    advance(world, 8.0)
    [outcome] = [outcome for outcome in world.outcomes if outcome.token == token]
    assert outcome.refusal is not None
    assert "late" not in {run.request_id for run in world.runs}


def test_check_of_withdrawals_can_fail(world: World, no_check: None) -> None:
    """
    Without the proof of freshness a cut-off zone runs work of a withdrawn key, and that shows.
    """
    cut_off(world, "c")
    withdraw_key(world, "members")
    advance(world, 2 * BOUND_S)
    assert ask(world, "entry-c0") == "answered"
    assert any(text.startswith("withdrawn_key_stops") for text in check_running(world))
