"""
Forwarding of callers' records to the owner, and direct appends where no owner accepts them.
"""

from eelgrassdrum_core.jobs import Identity, effects, events, model, new_node
from eelgrassdrum_core.jobs._records import (
    Claimed,
    OwnerHeartbeat,
    Submitted,
    decode_record,
    encode_records,
)
from eelgrassdrum_testing.jobs.owner import (
    BOUNDS,
    START_S,
    WALL_MS,
    commit,
    feed,
    make_owner_config,
    one_step,
    owner_of,
    worker_entry,
)

SPEC = model.JobSpec("payload", (one_step(),))
CALL_S = START_S + 1.0


def make_reader():
    """
    Build an instance that has read the claim of another one.
    """
    node = new_node(Identity("reader", WALL_MS, "zone", address="reader:1"), BOUNDS)
    feed(node, START_S, events.OperatorRead(1, make_owner_config(), (), START_S))
    feed(node, START_S, events.SnapshotRead(None))
    claim = tuple(encode_records([Claimed(7, "owner", 1, "owner:1")]))
    feed(node, START_S, events.LogRead(0, claim, 1, START_S))
    return node


def make_owner():
    """
    Build an instance that owns the log.
    """
    return owner_of([worker_entry("w")])


FIXTURES = {"reader": make_reader, "owner": make_owner}


def of_type(produced, kind):
    """
    Return the effects of a type.
    """
    return [item for item in produced if isinstance(item, kind)]


def submit(node, now_s=CALL_S, token=1, job="job"):
    """
    Submit a job and return the effects.
    """
    path = f"/usual/{job}"
    call = events.CallReceived(token, events.SUBMIT, "host", path, "key", 3.0, SPEC)
    return feed(node, now_s, call)


def encode_submission(job="job"):
    """
    Return the encoded record of a submission, as forwarded by another instance.
    """
    return tuple(encode_records([Submitted(job, "usual", "service", "a", SPEC, WALL_MS)]))


def test_a_submission_is_forwarded_and_accepted_by_the_owners_response(reader):
    """
    An instance that doesn't own the log forwards a submission to the owner and appends nothing.
    """
    produced = submit(reader)
    (forward,) = of_type(produced, effects.Forward)
    assert (forward.address, forward.epoch) == ("owner:1", 7)
    assert of_type(produced, effects.Append) == []
    produced = feed(reader, CALL_S + 0.02, events.Appended("intake", forward.seq, events.OK))
    assert [reply.outcome for reply in of_type(produced, effects.Reply)] == [effects.ACCEPTED]


def test_records_that_the_owner_refuses_are_appended_directly(reader):
    """
    If the owner refuses records, the instance appends them itself and refuses no caller yet.
    """
    (forward,) = of_type(submit(reader), effects.Forward)
    refused = events.Appended("intake", forward.seq, events.REFUSED)
    produced = feed(reader, CALL_S + 0.5, refused)
    assert of_type(produced, effects.Reply) == []
    (append,) = of_type(produced, effects.Append)
    assert isinstance(decode_record(append.records[0]), Submitted)


def test_a_caller_whose_record_the_owner_may_have_appended_is_not_refused(reader):
    """
    An owner that doesn't respond may have appended the record, so the outcome is uncertain.
    """
    (forward,) = of_type(submit(reader), effects.Forward)
    unknown = events.Appended("intake", forward.seq, events.UNKNOWN)
    (append,) = of_type(feed(reader, CALL_S + 1.6, unknown), effects.Append)
    produced = feed(reader, CALL_S + 1.9, events.Appended("intake", append.seq, events.REFUSED))
    assert of_type(produced, effects.Reply) == []
    produced = feed(reader, CALL_S + 3.0, events.Ticked())
    assert [reply.outcome for reply in of_type(produced, effects.Reply)] == [effects.UNCERTAIN]


def test_an_unanswered_batch_is_forwarded_to_the_new_owner(reader):
    """
    When an instance reads a new claim, it forwards its pending batch to the new owner immediately.
    """
    submit(reader)
    claim = tuple(encode_records([Claimed(8, "other", 1, "other:1")]))
    produced = feed(reader, CALL_S + 0.4, events.LogRead(1, claim, 2, CALL_S + 0.4))
    (forward,) = of_type(produced, effects.Forward)
    assert (forward.address, forward.epoch) == ("other:1", 8)


def test_the_owner_appends_forwarded_records_with_its_own(owner):
    """
    The owner's next append contains another instance's records, which get the append's outcome.
    """
    now_s = START_S + 2.5
    commit(owner, now_s)
    produced = feed(owner, now_s, events.PeerRecords(5, 1, encode_submission()))
    (append,) = of_type(produced, effects.Append)
    assert encode_submission()[0] in append.records
    produced = feed(owner, now_s + 0.01, events.Appended("owner", append.seq, events.OK))
    assert of_type(produced, effects.AnswerPeer) == [effects.AnswerPeer(5, events.OK)]
    assert "job" in owner.replicated.jobs


def test_records_for_a_former_owner_are_refused(owner):
    """
    The owner refuses records that are addressed to another epoch.
    """
    produced = feed(owner, START_S + 2.5, events.PeerRecords(5, 9, encode_submission()))
    assert of_type(produced, effects.AnswerPeer) == [effects.AnswerPeer(5, events.REFUSED)]


def test_only_callers_records_are_accepted_from_other_instances(owner):
    """
    The owner refuses forwarded records of types that only an owner may append.
    """
    claim = tuple(encode_records([Claimed(99, "evil", 1)]))
    produced = feed(owner, START_S + 2.5, events.PeerRecords(5, 1, claim))
    assert of_type(produced, effects.AnswerPeer) == [effects.AnswerPeer(5, events.REFUSED)]


def test_a_refused_append_refuses_callers_records_and_retries_the_owners_own(owner):
    """
    If the store refuses an append, callers' records are refused and the owner's own are retried.
    """
    now_s = START_S + 2.5
    commit(owner, now_s)
    produced = feed(owner, now_s, events.PeerRecords(5, 1, encode_submission()))
    (append,) = of_type(produced, effects.Append)
    feed(owner, now_s + 0.01, events.Appended("owner", append.seq, events.REFUSED))
    (again,) = of_type(feed(owner, now_s + 0.3, events.Ticked()), effects.Append)
    produced = feed(owner, now_s + 0.31, events.Appended("owner", again.seq, events.REFUSED))
    assert of_type(produced, effects.AnswerPeer) == [effects.AnswerPeer(5, events.REFUSED)]
    later = of_type(feed(owner, now_s + 0.6, events.Ticked()), effects.Append)
    assert all(encode_submission()[0] not in item.records for item in later)


def test_a_fenced_owner_answers_the_forwarded_records(owner):
    """
    An owner that is fenced reports sent records as unknown and unsent ones as refused.
    """
    now_s = START_S + 2.5
    commit(owner, now_s)
    produced = feed(owner, now_s, events.PeerRecords(5, 1, encode_submission()))
    (append,) = of_type(produced, effects.Append)
    feed(owner, now_s, events.PeerRecords(6, 1, encode_submission("later")))
    produced = feed(owner, now_s + 0.1, events.Appended("owner", append.seq, events.FENCED))
    answers = of_type(produced, effects.AnswerPeer)
    assert answers == [
        effects.AnswerPeer(5, events.UNKNOWN),
        effects.AnswerPeer(6, events.REFUSED),
    ]


# Guards against an append that waits for its timeout although the store responds again.
def test_the_first_read_after_an_outage_sends_the_pending_append_again(owner):
    """
    An append in flight when the store fell silent is sent again with the first successful read.
    """
    now_s = START_S + 2.5
    commit(owner, now_s)
    produced = feed(owner, now_s, events.PeerRecords(5, 1, encode_submission()))
    (append,) = of_type(produced, effects.Append)
    feed(owner, now_s + 0.3, events.LogReadFailed("timeout"))
    back_s = now_s + 0.6
    offset = owner.replicated.offset
    produced = feed(owner, back_s, events.LogRead(offset, (), offset, back_s - 0.01))
    (again,) = of_type(produced, effects.Append)
    assert (again.seq, again.records) == (append.seq, append.records)
    # The first attempt may have been executed, so a refusal of the second proves nothing.
    produced = feed(owner, back_s + 0.3, events.Appended("owner", append.seq, events.REFUSED))
    assert of_type(produced, effects.AnswerPeer) == []


# Guards against a slow store that gets more copies of an append with each read that it answers.
def test_reads_without_a_failure_send_no_append_again(owner):
    """
    While no read fails, successful reads don't send a pending append again.
    """
    now_s = START_S + 2.5
    commit(owner, now_s)
    assert of_type(
        feed(owner, now_s, events.PeerRecords(5, 1, encode_submission())), effects.Append
    )
    for step in range(1, 8):
        at_s = now_s + step / 10
        offset = owner.replicated.offset
        produced = feed(owner, at_s, events.LogRead(offset, (), offset, at_s - 0.01))
        assert of_type(produced, effects.Append) == []


# Guards against a return of the store that shows only when a read of the outage has timed out.
def test_reads_are_repeated_while_the_store_is_silent(reader):
    """
    After a failed read, the log is read at short intervals, whatever is pending.
    """
    feed(reader, CALL_S, events.Ticked())
    feed(reader, CALL_S, events.LogReadFailed("timeout"))
    reads = [
        effect
        for step in range(1, 21)
        for effect in of_type(feed(reader, CALL_S + step * 0.05, events.Ticked()), effects.ReadLog)
    ]
    assert 4 <= len(reads) <= 8
    assert all(read.wait_s == 0.0 for read in reads)


# Guards against leases that reach beyond the time for which the ownership is known.
def test_a_repeated_append_confirms_the_ownership_from_its_first_attempt(owner):
    """
    A response after a repeat may belong to the first attempt, so it proves no later ownership.
    """
    now_s = START_S + 2.5
    commit(owner, now_s)
    feed(owner, now_s, events.PeerRecords(5, 1, encode_submission()))
    feed(owner, now_s + 0.3, events.LogReadFailed("timeout"))
    offset = owner.replicated.offset
    back_s = now_s + 0.6
    feed(owner, back_s, events.LogRead(offset, (), offset, back_s - 0.01))
    feed(owner, back_s, events.Appended("owner", owner.journal.seq, events.OK))
    assert owner.ownership.confirmed_s <= now_s


# Guards against a return of the store that is taken for an outage when older reads time out.
def test_a_replaced_read_that_fails_late_is_no_outage(reader):
    """
    The failure of a read that was sent before the latest successful one changes nothing.
    """
    feed(reader, CALL_S, events.LogReadFailed("timeout"))
    assert of_type(feed(reader, CALL_S + 0.1, events.Ticked()), effects.ReadLog)
    assert of_type(feed(reader, CALL_S + 0.3, events.Ticked()), effects.ReadLog)
    feed(reader, CALL_S + 0.31, events.LogRead(1, (), 1, CALL_S + 0.3))
    assert reader.store.silent_since_s is None
    feed(reader, CALL_S + 1.0, events.LogReadFailed("timeout", CALL_S + 0.1))
    assert reader.store.silent_since_s is None
    assert reader.tail.readable_since_s <= CALL_S + 0.31


# Guards against callers that are refused although the owner can reach the store.
def test_an_instance_whose_log_is_silent_still_forwards_to_the_owner(reader):
    """
    An instance that can't read the log forwards submissions.
    """
    feed(reader, CALL_S, events.LogReadFailed("timeout"))
    produced = submit(reader, CALL_S + 0.1)
    assert of_type(produced, effects.Forward)
    assert of_type(produced, effects.Append) == []


# Guards against callers that wait for an owner that can't be reached although the store is back.
def test_a_forwarded_batch_is_appended_directly_after_an_outage(reader):
    """
    After an outage of the log, records are appended directly until a mute owner is heard again.
    """
    (forward,) = of_type(submit(reader), effects.Forward)
    feed(reader, CALL_S + 0.2, events.LogReadFailed("timeout"))
    back_s = CALL_S + 1.2
    produced = feed(reader, back_s, events.LogRead(1, (), 1, back_s - 0.01))
    (append,) = of_type(produced, effects.Append)
    assert append.records == forward.records
    feed(reader, back_s + 0.01, events.Appended("intake", append.seq, events.OK))
    produced = submit(reader, back_s + 0.02, token=2, job="second")
    (append,) = of_type(produced, effects.Append)
    feed(reader, back_s + 0.03, events.Appended("intake", append.seq, events.OK))
    heartbeat = tuple(encode_records([OwnerHeartbeat(7, 0)]))
    feed(reader, back_s + 0.2, events.LogRead(1, heartbeat, 2, back_s + 0.19))
    assert of_type(submit(reader, back_s + 0.21, token=3, job="third"), effects.Forward)


# Guards against many direct appends at a slow store that returns.
def test_a_batch_that_the_owner_may_answer_is_left_to_it_after_an_outage(reader):
    """
    After an outage of the log, a batch that was forwarded lately stays with the owner.
    """
    submit(reader)
    feed(reader, CALL_S + 0.2, events.LogReadFailed("timeout"))
    produced = feed(reader, CALL_S + 0.4, events.LogRead(1, (), 1, CALL_S + 0.39))
    assert of_type(produced, effects.Append) == []


# Guards against direct appends of all instances that meet at a slow store when it returns.
def test_records_given_back_during_an_outage_are_not_appended_directly(reader):
    """
    Records that the owner gives back are refused while the log is silent, and sent to it again
    just afterwards.
    """
    feed(reader, CALL_S, events.LogReadFailed("timeout"))
    (forward,) = of_type(submit(reader, CALL_S + 0.1), effects.Forward)
    produced = feed(reader, CALL_S + 0.9, events.Appended("intake", forward.seq, events.REFUSED))
    assert of_type(produced, effects.Append) == []
    assert [reply.outcome for reply in of_type(produced, effects.Reply)] == [effects.UNAVAILABLE]
    (forward,) = of_type(submit(reader, CALL_S + 1.0, token=2, job="second"), effects.Forward)
    feed(reader, CALL_S + 1.5, events.LogRead(1, (), 1, CALL_S + 1.49))
    produced = feed(reader, CALL_S + 1.8, events.Appended("intake", forward.seq, events.REFUSED))
    produced += feed(reader, CALL_S + 1.95, events.Ticked())
    assert of_type(produced, effects.Reply) == []
    assert of_type(produced, effects.Append) == []
    (forward,) = of_type(produced, effects.Forward)
    # The address of the owner may no longer be in use.
    produced = feed(reader, CALL_S + 1.96, events.Appended("intake", forward.seq, events.REFUSED))
    produced += feed(reader, CALL_S + 2.1, events.Ticked())
    assert of_type(produced, effects.Append)


# Guards against callers that are refused because a dead owner's address refuses connections.
def test_records_for_an_owner_that_cannot_be_reached_are_appended_directly(reader):
    """
    While the log is silent and just afterwards, records that certainly did not reach the owner are
    appended directly: it gave nothing back. Their callers are refused only if the store refuses.
    """
    feed(reader, CALL_S, events.LogReadFailed("timeout"))
    (forward,) = of_type(submit(reader, CALL_S + 0.02), effects.Forward)
    unsent = events.Appended("intake", forward.seq, events.UNSENT, "connect")
    produced = feed(reader, CALL_S + 0.3, unsent)
    assert of_type(produced, effects.Reply) == []
    assert of_type(produced, effects.Forward) == []
    (append,) = of_type(produced, effects.Append)
    assert append.records == forward.records
    refused = events.Appended("intake", append.seq, events.REFUSED, "503")
    produced = feed(reader, CALL_S + 0.4, refused)
    assert [reply.outcome for reply in of_type(produced, effects.Reply)] == [effects.UNAVAILABLE]
    feed(reader, CALL_S + 1.4, events.LogRead(1, (), 1, CALL_S + 1.35))
    (forward,) = of_type(submit(reader, CALL_S + 1.41, token=2, job="second"), effects.Forward)
    unsent = events.Appended("intake", forward.seq, events.UNSENT, "connect")
    produced = feed(reader, CALL_S + 1.42, unsent)
    produced += feed(reader, CALL_S + 1.55, events.Ticked())
    assert of_type(produced, effects.Forward) == []
    assert of_type(produced, effects.Append)
