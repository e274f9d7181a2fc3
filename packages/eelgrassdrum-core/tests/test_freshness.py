"""
Proofs of freshness, seen from one instance.
"""

from eelgrassdrum_core import (
    Identity,
    Record,
    RecordId,
    Sender,
    State,
    StoredRecord,
    Tuning,
    events,
    new_state,
    proof_age_s,
    reduce,
)
from eelgrassdrum_core._freshness_withdrawals import KeyWithdrawalAsked, unacknowledged_withdrawals
from eelgrassdrum_core._membership_messages import Heartbeat

PEER = Sender("b1", 1, "b")


def make_state() -> State:
    """
    Give an instance of zone a that has folded one record at 10 s and knows an instance of zone b.
    """
    state = new_state(Identity(Sender("a1", 1, "a"), "a1", "a1"), Tuning())
    peer = events.ListedInstance("b1", "entry", "b1", "b", incarnation=1, peer_address="b1")
    reduce(state, 10.0, events.InstancesListed((peer,)))
    state.log.read_issued_s = 10.0
    reduce(state, 10.5, events.LogRead((stored(1),), 1))
    return state


def make_unheard() -> State:
    """
    Give the same instance when it also knows a zone of which it has never heard.
    """
    state = make_state()
    far = [
        events.ListedInstance(f"{zone}1", "entry", zone, zone, incarnation=1, peer_address=zone)
        for zone in "bc"
    ]
    reduce(state, 10.5, events.InstancesListed(tuple(far)))
    return state


def stored(offset: int) -> StoredRecord:
    """
    Give a record that means nothing here.
    """
    return StoredRecord(offset, Record(RecordId("op", 1, offset), "note", f"n/{offset}", 0, {}))


def hear(state: State, now_s: float, **fields: object) -> None:
    """
    Let the instance take a heartbeat of zone b.
    """
    heartbeat = Heartbeat(now_s, -1.0, "b1", False, 2, -1)._replace(**fields)
    reduce(state, now_s, events.PeerReceived(PEER, heartbeat))


FIXTURES = {"state": make_state, "unheard": make_unheard}


def test_read_counts_from_its_start(state: State) -> None:
    """
    An answer that reached the head proves what was so when the read began.
    """
    assert proof_age_s(state) == 0.5


def test_read_that_did_not_reach_the_head_proves_nothing(state: State) -> None:
    """
    While records are missing, the proof stays as old as it was.
    """
    state.log.read_issued_s = 20.0
    reduce(state, 20.0, events.LogRead((), 5))
    assert proof_age_s(state) == 10.0


def test_peers_word_counts_from_the_echo(unheard: State) -> None:
    """
    What a peer has seen counts from the echoed time less its age, however late the message is.
    """
    hear(unheard, 30.0, echo_s=20.0, head_age_ms=1000)
    assert proof_age_s(unheard) == 11.0


def test_peers_word_without_echo_proves_nothing(state: State) -> None:
    """
    A heartbeat that answers none of this instance has no date here.
    """
    hear(state, 30.0, head_age_ms=0)
    assert proof_age_s(state) == 20.0


def test_peers_word_waits_for_its_records(unheard: State) -> None:
    """
    What a peer that has folded further has seen counts once as much is folded here.
    """
    hear(unheard, 30.0, echo_s=29.0, head_age_ms=0, next_offset=3)
    assert proof_age_s(unheard) == 20.0
    unheard.log.read_issued_s = 15.0
    reduce(unheard, 30.5, events.LogRead((stored(2),), 9))
    assert proof_age_s(unheard) == 1.5


def test_touch_counts_only_while_no_peer_is_ahead(state: State) -> None:
    """
    With all zones in touch the echo is the proof, up to the last one before a peer got ahead.
    """
    hear(state, 30.0, echo_s=29.0)
    assert proof_age_s(state) == 1.0
    hear(state, 31.0, echo_s=30.9, next_offset=9)
    hear(state, 40.0, echo_s=39.0, next_offset=9)
    assert proof_age_s(state) == 11.0


def test_touch_needs_the_list_of_instances(state: State) -> None:
    """
    Before the list of instances was read, nobody knows which zones there are.
    """
    state.membership.listed = False
    hear(state, 30.0, echo_s=29.0)
    assert proof_age_s(state) == 20.0


def test_withdrawals_are_told_until_the_peer_has_them(state: State) -> None:
    """
    A peer is told each withdrawal until its heartbeat shows that it has it.
    """
    reduce(state, 11.0, KeyWithdrawalAsked("show", "k1"))
    peer = state.membership.peers["b1"]
    assert unacknowledged_withdrawals(state, peer.withdrawn_seen) == ("show/k1",)
    hear(state, 12.0, withdrawn_seen=1)
    assert unacknowledged_withdrawals(state, peer.withdrawn_seen) == ()
    reduce(state, 13.0, KeyWithdrawalAsked("show", "k2"))
    assert unacknowledged_withdrawals(state, peer.withdrawn_seen) == ("show/k1", "show/k2")
