"""
Leases of holders: extensions and reclaims.
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
    Give a holder with two reclaimers, which itself may reclaim the second holder.
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
    Let the second holder ask for an extension; give the answers.
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
    Give the holders that the instance asks the log to reclaim at a tick.
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
    A holder is reclaimed only after its lease and the margins have passed since it was seen.
    """
    assert expiry_wait_s(0.0) > LEASE_S
    assert reclaims(state, NOW_S + expiry_wait_s(0.0) - 0.01) == []
    assert reclaims(state, NOW_S + expiry_wait_s(0.0)) == ["e2:1"]


def test_given_extension_delays_the_reclaim(state: State) -> None:
    """
    A reclaimer that gave an extension counts the whole lease from then.
    """
    given_s = NOW_S + 20.0
    assert ask(state, given_s) == [ExtensionGiven(RENEWED, 1.0)]
    assert "e2:1" not in reclaims(state, given_s + LEASE_S)
    assert "e2:1" in reclaims(state, given_s + expiry_wait_s(0.0))


def test_no_extension_once_a_reclaim_is_wanted(state: State) -> None:
    """
    A reclaimer that has asked the log for a reclaim gives no extension, however late the log is.
    """
    late_s = NOW_S + expiry_wait_s(0.0)
    assert reclaims(state, late_s) == ["e2:1"]
    assert ask(state, late_s) == []


def test_no_extension_by_a_lapsed_reclaimer(state: State) -> None:
    """
    An instance whose own lease has ended gives no extension, nor one for another renewal.
    """
    assert ask(state, NOW_S + 1.0, renewed=RENEWED + 1) == []
    assert ask(state, NOW_S + LEASE_S) == []


def test_extension_needs_every_reclaimer(state: State) -> None:
    """
    A lease goes on only when all reclaimers agree, and from the oldest question they agreed to.
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
    A holder asks its reclaimers when its lease is about to end, and not before.
    """

    def asked(now_s: float) -> set[str]:
        _, produced = reduce(state, now_s, events.Ticked())
        sent = [effect for effect in produced if isinstance(effect, effects.SendPeer)]
        return {item.address for item in sent if isinstance(item.message, ExtensionAsked)}

    assert asked(NOW_S + LEASE_S - EXTEND_BELOW_S - 1.0) == set()
    assert asked(NOW_S + LEASE_S - EXTEND_BELOW_S + 1.0) == {"p-e2", "p-e3"}


def can_acquire_unit(state: State, now_s: float, grace_s: float) -> bool:
    """
    Tell whether a unit can be taken at some time, and give it back.
    """
    team = Team("show/judges", "show", 1.0, 10, 0, grace_s)
    state.fold.allowances.teams[team.name] = TeamAllowance({"e1:1": 1})
    state.now_s = now_s
    taken = _limits.try_acquire_unit(state, team)
    _limits.release_unit(state, team.name)
    return taken


def test_lapsed_lease_gives_no_unit(state: State) -> None:
    """
    A unit is taken until the lease ends, or the team's grace after it, and not from then on.
    """
    end_s = NOW_S + LEASE_S
    assert can_acquire_unit(state, end_s - 0.01, 0.0)
    assert not can_acquire_unit(state, end_s, 0.0)
    assert can_acquire_unit(state, end_s + 4.99, 5.0)
    assert not can_acquire_unit(state, end_s + 5.0, 5.0)


def test_lease_check_sees_a_lease_without_end(state: State) -> None:
    """
    Without a look at the lease the same check finds a unit taken after its end.
    """
    with patch.object(_limits, "usable_units", _limits.capped_units):
        assert can_acquire_unit(state, NOW_S + 10 * LEASE_S, 0.0)
