"""
Tests of the leases of holders: extension, expiry and reclaim.
"""

from unittest.mock import patch

from eelgrassdrum_core import (
    State,
    Team,
    Tuning,
    _limits,
    effects,
    events,
    new_state,
    reduce,
)
from eelgrassdrum_core._allowance_fold import HolderLease, TeamAllowance
from eelgrassdrum_core._allowance_lease import EXTEND_BELOW_S, LEASE_S, expiry_wait_s
from eelgrassdrum_core._allowance_messages import ExtensionAsked, ExtensionGiven
from eelgrassdrum_core._effects import Identity
from eelgrassdrum_core._ids import Sender
from eelgrassdrum_core._membership_state import Peer

NOW_S = 100.0
RENEWED = 7
OTHER = Sender("e2", 1, "b")
THIRD = Sender("e3", 1, "c")


def make_state() -> State:
    """
    Return the state of a holder with two reclaimers that may itself reclaim the other holders.
    """
    state = new_state(Identity(Sender("e1", 1, "a"), "", "p1"), Tuning())
    state.log.caught_up = True
    holders = state.fold.allowances.holders
    holders["e1"] = HolderLease(1, "a", RENEWED, ("e2:1", "e3:1"))
    holders["e2"] = HolderLease(1, "b", RENEWED, ("e1:1", "e3:1"))
    holders["e3"] = HolderLease(1, "c", RENEWED, ("e2:1", "e1:1"))
    for sender in (OTHER, THIRD):
        state.membership.peers[sender.instance] = Peer(sender, f"p-{sender.instance}")
    state.limits.lease.sent_s = NOW_S
    state.limits.lease.until_s = NOW_S + LEASE_S
    reduce(state, NOW_S, events.Ticked())
    return state


def ask(state: State, now_s: float, renewed: int = RENEWED) -> list[object]:
    """
    Let the second holder request an extension; return the responses.
    """
    asked = ExtensionAsked(renewed, 1.0)
    _, produced = reduce(state, now_s, events.PeerReceived(OTHER, asked))
    return [
        effect.message
        for effect in produced
        if isinstance(effect, effects.SendPeer) and isinstance(effect.message, ExtensionGiven)
    ]


def reclaims(state: State, now_s: float) -> list[str]:
    """
    Return the holders that the instance proposes to reclaim at a tick.
    """
    state.limits.lease.until_s = now_s + LEASE_S
    _, produced = reduce(state, now_s, events.Ticked())
    return [
        str(effect.fields["holder"])
        for effect in produced
        if isinstance(effect, effects.WriteLog) and effect.action == "allowance.reclaiming"
    ]


FIXTURES = {"state": make_state}


def test_reclaim_waits_for_more_than_a_lease(state: State) -> None:
    """
    A holder is reclaimed only after its lease and the margins have passed since it was observed.
    """
    assert expiry_wait_s(0.0) > LEASE_S
    assert reclaims(state, NOW_S + expiry_wait_s(0.0) - 0.01) == []
    assert reclaims(state, NOW_S + expiry_wait_s(0.0)) == ["e2:1"]


def test_granted_extension_delays_the_reclaim(state: State) -> None:
    """
    A reclaimer that granted an extension counts the full lease from that time.
    """
    given_s = NOW_S + 20.0
    assert ask(state, given_s) == [ExtensionGiven(RENEWED, 1.0)]
    assert "e2:1" not in reclaims(state, given_s + LEASE_S)
    assert "e2:1" in reclaims(state, given_s + expiry_wait_s(0.0))


def test_no_extension_once_a_reclaim_is_proposed(state: State) -> None:
    """
    A reclaimer that has proposed a reclaim grants no extension, even if the log responds late.
    """
    late_s = NOW_S + expiry_wait_s(0.0)
    assert reclaims(state, late_s) == ["e2:1"]
    assert ask(state, late_s) == []


def test_no_extension_by_an_expired_reclaimer(state: State) -> None:
    """
    A reclaimer grants no extension after its own lease has expired, nor for a different renewal.
    """
    assert ask(state, NOW_S + 1.0, renewed=RENEWED + 1) == []
    assert ask(state, NOW_S + LEASE_S) == []


def test_extension_needs_every_reclaimer(state: State) -> None:
    """
    A lease is extended only when all reclaimers grant it, counted from the oldest granted request.
    """
    lease = state.limits.lease
    first_s, second_s = NOW_S + 16.0, NOW_S + 18.0
    given = events.PeerReceived(OTHER, ExtensionGiven(RENEWED, second_s))
    reduce(state, NOW_S + 19.0, given)
    assert lease.until_s == NOW_S + LEASE_S
    reduce(state, NOW_S + 19.0, events.PeerReceived(THIRD, ExtensionGiven(RENEWED, first_s)))
    assert lease.until_s == first_s + LEASE_S


def test_extension_is_asked_of_reclaimers_only_when_needed(state: State) -> None:
    """
    A holder requests extensions only when its lease is about to expire.
    """

    def asked(now_s: float) -> set[str]:
        _, produced = reduce(state, now_s, events.Ticked())
        sent = [effect for effect in produced if isinstance(effect, effects.SendPeer)]
        return {item.address for item in sent if isinstance(item.message, ExtensionAsked)}

    assert asked(NOW_S + LEASE_S - EXTEND_BELOW_S - 1.0) == set()
    assert asked(NOW_S + LEASE_S - EXTEND_BELOW_S + 1.0) == {"p-e2", "p-e3"}


def can_acquire_unit(state: State, now_s: float, grace_s: float) -> bool:
    """
    Return whether a unit can be acquired at the given time, and release it.
    """
    team = Team("show/judges", "show", 1.0, 10, 0, grace_s)
    state.fold.allowances.teams[team.name] = TeamAllowance({"e1:1": 1})
    state.now_s = now_s
    taken = _limits.try_acquire_unit(state, team)
    _limits.release_unit(state, team.name)
    return taken


def test_expired_lease_allows_no_unit(state: State) -> None:
    """
    Units can be acquired until the lease and the team's grace have expired, and not afterwards.
    """
    end_s = NOW_S + LEASE_S
    assert can_acquire_unit(state, end_s - 0.01, 0.0)
    assert not can_acquire_unit(state, end_s, 0.0)
    assert can_acquire_unit(state, end_s + 4.99, 5.0)
    assert not can_acquire_unit(state, end_s + 5.0, 5.0)


def test_lease_check_detects_an_ignored_lease(state: State) -> None:
    """
    If the lease is ignored, the check of the previous test finds a unit acquired after its expiry.
    """
    with patch.object(_limits, "usable_units", _limits.capped_units):
        assert can_acquire_unit(state, NOW_S + 10 * LEASE_S, 0.0)
