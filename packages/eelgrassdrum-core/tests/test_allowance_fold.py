"""
Tests of how records about allowances are folded.
"""

from eelgrassdrum_core import RecordId, State, StoredRecord, Tuning, events, new_state, reduce
from eelgrassdrum_core._allowance_recovery import UNKNOWN_GRACE_S, max_grace_s
from eelgrassdrum_core._effects import Identity
from eelgrassdrum_core._ids import Sender
from eelgrassdrum_core._records import DOCUMENT_PUBLISHED, Record

TEAM = "show/judges"
SUBJECT = f"allowance/{TEAM}"


def write(
    state: State, kind: str, subject: str, body: dict, writer: str = "e1", incarnation: int = 1
) -> tuple[bool, str]:
    """
    Fold a record that builds on the latest revision; return whether it was accepted and the reason.
    """
    position = state.fold.position
    offset = position.next_offset
    base = position.revisions.get(subject, 0)
    record = Record(RecordId(writer, incarnation, offset), kind, subject, base, body)
    reduce(state, 1.0, events.LogRead((StoredRecord(offset, record),), offset))
    decision = position.decisions[record.id]
    return decision.accepted, decision.reason


def publish(state: State, limit: int, grace_s: float = 0.0) -> None:
    """
    Publish a workspace document with one team.
    """
    team = {"name": "judges", "share": 1.0, "limit": limit, "grace_s": grace_s}
    document = {"teams": [team]}
    body = {"name": "show", "document": document, "author": "op", "comment": ""}
    write(state, DOCUMENT_PUBLISHED, "document/show", body, "operator")


def register(state: State, instance: str, incarnation: int = 1, zone: str = "a") -> None:
    """
    Register an instance as a holder.
    """
    body = {"zone": zone, "sent_s": 0.0}
    write(state, "holder.renewed", f"holder/{instance}", body, instance, incarnation)


def move(state: State, held: dict[str, int], writer: str = "e1") -> tuple[bool, str]:
    """
    Set the units of some holders.
    """
    return write(state, "allowance.moved", SUBJECT, {"team": TEAM, "held": held}, writer)


def make_state() -> State:
    """
    Return the state of an instance that has folded two holders and a team with a limit of 10.
    """
    state = new_state(Identity(Sender("observer", 1, "a"), "", ""), Tuning())
    publish(state, 10)
    register(state, "e1")
    register(state, "e2", zone="b")
    return state


FIXTURES = {"state": make_state}


def test_sum_stays_within_limit(state: State) -> None:
    """
    A move that would raise the total above the limit is rejected and changes nothing.
    """
    assert move(state, {"e1:1": 6, "e2:1": 4}) == (True, "")
    assert move(state, {"e1:1": 7}) == (False, "over_limit")
    assert state.fold.allowances.teams[TEAM].held == {"e1:1": 6, "e2:1": 4}
    assert move(state, {"e1:1": 7, "e2:1": 3}) == (True, "")


def test_lowered_limit_allows_only_decreases(state: State) -> None:
    """
    While the total held exceeds a lowered limit, units can be removed but not added.
    """
    move(state, {"e1:1": 6, "e2:1": 4})
    publish(state, 5)
    assert move(state, {"e1:1": 2, "e2:1": 5}) == (False, "over_limit")
    assert move(state, {"e1:1": 2}) == (True, "")


def test_only_holders_hold(state: State) -> None:
    """
    A move is rejected if its writer or a receiver of units has no lease.
    """
    assert move(state, {"e1:1": 1}, writer="e3") == (False, "not_a_holder")
    assert move(state, {"e3:1": 1}) == (False, "not_a_holder")
    assert move(state, {"e1:2": 1}) == (False, "not_a_holder")


def test_replacement_holds_nothing_of_its_predecessor(state: State) -> None:
    """
    A new incarnation starts with no units, and those of its predecessor stay counted.
    """
    move(state, {"e1:1": 6, "e2:1": 4})
    register(state, "e2", incarnation=2)
    allowance = state.fold.allowances.teams[TEAM]
    assert (allowance.held, allowance.recovering) == ({"e1:1": 6}, {"e2:1": 4})
    assert move(state, {"e2:2": 1}) == (False, "over_limit")


def test_settled_units_can_be_granted(state: State) -> None:
    """
    Units under recovery can be allocated after a settlement, which can only reduce them.
    """
    move(state, {"e1:1": 6, "e2:1": 4})
    reclaim = {"instance": "e2", "incarnation": 1}
    assert write(state, "holder.reclaimed", "holder/e2", reclaim) == (True, "")
    settle = {"team": TEAM, "holder": "e2:1", "units": 5}
    assert not write(state, "allowance.settled", SUBJECT, settle)[0]
    assert write(state, "allowance.settled", SUBJECT, {**settle, "units": 1})[0]
    assert move(state, {"e1:1": 9}) == (True, "")
    assert move(state, {"e1:1": 10}) == (False, "over_limit")
    assert write(state, "allowance.settled", SUBJECT, {**settle, "units": 0})[0]
    assert state.fold.allowances.fenced == {}


def test_reclaim_loses_against_renewal(state: State) -> None:
    """
    A reclaim that builds on a revision before the holder's latest renewal is rejected as stale.
    """
    base = state.fold.position.revisions["holder/e2"]
    register(state, "e2")
    offset = state.fold.position.next_offset
    body = {"instance": "e2", "incarnation": 1}
    record = Record(RecordId("e1", 1, offset), "holder.reclaimed", "holder/e2", base, body)
    reduce(state, 1.0, events.LogRead((StoredRecord(offset, record),), offset))
    assert state.fold.position.decisions[record.id].reason == "stale"
    assert "e2" in state.fold.allowances.holders


def test_release_keeps_work_of_unknown_outcome(state: State) -> None:
    """
    A leaving holder releases all units except those whose work may still be running.
    """
    move(state, {"e1:1": 6, "e2:1": 4})
    write(state, "holder.released", "holder/e2", {"running": {TEAM: 1}}, "e2")
    allowance = state.fold.allowances.teams[TEAM]
    assert (allowance.held, allowance.recovering) == ({"e1:1": 6}, {"e2:1": 1})


def test_reclaimers_are_in_other_zones_first(state: State) -> None:
    """
    One reclaimer is chosen from each other zone before a second one is chosen from any zone.
    """
    for instance, zone in (("e3", "a"), ("e4", "b"), ("e5", "c"), ("e6", "c"), ("e7", "d")):
        register(state, instance, zone=zone)
    register(state, "e1")
    zones = {"e2:1": "b", "e4:1": "b", "e5:1": "c", "e6:1": "c", "e7:1": "d"}
    chosen = state.fold.allowances.holders["e1"].reclaimers
    assert {zones[key] for key in chosen} == {"b", "c", "d"}


def test_grace_counts_as_long_as_a_holder_may_know_it(state: State) -> None:
    """
    The longest grace since a holder's last renewal applies, and a long one is assumed if unknown.
    """
    publish(state, 10, grace_s=60.0)
    known = state.fold.position.next_offset - 1
    publish(state, 10, grace_s=5.0)
    config = state.fold.config
    assert max_grace_s(config, TEAM, known) == 60.0
    assert max_grace_s(config, TEAM, known + 1) == 5.0
    assert max_grace_s(config, TEAM, 0) == UNKNOWN_GRACE_S
