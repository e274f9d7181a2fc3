"""
Tests of the proofs of freshness of one instance.
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
    Build an instance of zone a that has folded one record at 10 s and knows a peer in zone b.
    """
    state = new_state(Identity(Sender("a1", 1, "a"), "a1", "a1"), Tuning())
    peer = events.ListedInstance("b1", "entry", "b1", "b", incarnation=1, peer_address="b1")
    reduce(state, 10.0, events.InstancesListed((peer,)))
    state.log.read_issued_s = 10.0
    reduce(state, 10.5, events.LogRead((stored(1),), 1))
    return state


def make_state_with_unreached_zone() -> State:
    """
    Build the same instance with a further known zone that it has never had contact with.
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
    Build a record of an unknown kind.
    """
    return StoredRecord(offset, Record(RecordId("op", 1, offset), "note", f"n/{offset}", 0, {}))


def deliver_heartbeat(state: State, now_s: float, **fields: object) -> None:
    """
    Deliver a heartbeat from the peer in zone b.
    """
    heartbeat = Heartbeat(now_s, -1.0, "b1", False, 2, -1)._replace(**fields)
    reduce(state, now_s, events.PeerReceived(PEER, heartbeat))


FIXTURES = {"state": make_state, "unreached": make_state_with_unreached_zone}


def test_read_counts_from_its_start(state: State) -> None:
    """
    A read that reached the head proves freshness as of its start, not of its answer.
    """
    assert proof_age_s(state) == 0.5


def test_read_that_did_not_reach_the_head_proves_nothing(state: State) -> None:
    """
    A read that did not reach the head does not renew the proof.
    """
    state.log.read_issued_s = 20.0
    reduce(state, 20.0, events.LogRead((), 5))
    assert proof_age_s(state) == 10.0


def test_peer_proof_counts_from_the_echo(unreached: State) -> None:
    """
    A peer's proof is dated by the echo less its age, so a delayed message proves nothing newer.
    """
    deliver_heartbeat(unreached, 30.0, echo_s=20.0, head_age_ms=1000)
    assert proof_age_s(unreached) == 11.0


def test_peer_proof_without_echo_proves_nothing(state: State) -> None:
    """
    A heartbeat without an echo can't be dated by this instance's clock, so it proves nothing.
    """
    deliver_heartbeat(state, 30.0, head_age_ms=0)
    assert proof_age_s(state) == 20.0


def test_peer_proof_waits_for_its_records(unreached: State) -> None:
    """
    The proof of a peer that has folded further counts once the same offset is folded here.
    """
    deliver_heartbeat(unreached, 30.0, echo_s=29.0, head_age_ms=0, next_offset=3)
    assert proof_age_s(unreached) == 20.0
    unreached.log.read_issued_s = 15.0
    reduce(unreached, 30.5, events.LogRead((stored(2),), 9))
    assert proof_age_s(unreached) == 1.5


def test_reachable_zones_count_only_while_no_peer_is_ahead(state: State) -> None:
    """
    While all zones are reachable, the echo is a proof, until a peer has folded further.
    """
    deliver_heartbeat(state, 30.0, echo_s=29.0)
    assert proof_age_s(state) == 1.0
    deliver_heartbeat(state, 31.0, echo_s=30.9, next_offset=9)
    deliver_heartbeat(state, 40.0, echo_s=39.0, next_offset=9)
    assert proof_age_s(state) == 11.0


def test_reachable_zones_need_the_instance_list(state: State) -> None:
    """
    Before the instance list was read, the zones are unknown, so reaching them proves nothing.
    """
    state.membership.listed = False
    deliver_heartbeat(state, 30.0, echo_s=29.0)
    assert proof_age_s(state) == 20.0


def test_withdrawals_are_sent_until_acknowledged(state: State) -> None:
    """
    Withdrawals are sent to a peer until its heartbeat acknowledges them.
    """
    reduce(state, 11.0, KeyWithdrawalAsked("show", "k1"))
    peer = state.membership.peers["b1"]
    assert unacknowledged_withdrawals(state, peer.withdrawn_seen) == ("show/k1",)
    deliver_heartbeat(state, 12.0, withdrawn_seen=1)
    assert unacknowledged_withdrawals(state, peer.withdrawn_seen) == ()
    reduce(state, 13.0, KeyWithdrawalAsked("show", "k2"))
    assert unacknowledged_withdrawals(state, peer.withdrawn_seen) == ("show/k1", "show/k2")
