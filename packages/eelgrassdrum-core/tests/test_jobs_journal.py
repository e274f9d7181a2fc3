"""
Sizes of the owner's appends, and what follows once they are committed.
"""

from eelgrassdrum_core.jobs import Moment, _journal, _leases, effects, events, model
from eelgrassdrum_core.jobs._records import (
    Ended,
    LeaseBounded,
    Started,
    Submitted,
    decode_record,
    encode_records,
)
from eelgrassdrum_testing.jobs.owner import (
    OWNER_TOKEN,
    START_S,
    WALL_MS,
    commit,
    feed,
    hand_in,
    logged,
    one_step,
    owner_of,
    worker_entry,
)

NOW_S = START_S + 2.5
WRITTEN = Moment(NOW_S, WALL_MS)
STORE_BYTES = 2 * 1024 * 1024


def make_owner():
    """
    Build an instance that owns the log and has nothing to append.
    """
    node = owner_of([worker_entry("w")])
    commit(node, NOW_S)
    return node


FIXTURES = {"owner": make_owner}


def write_ends(node, numbers):
    """
    Write an end of a run of 4 KB for each number, each followed by an effect.
    """
    for number in numbers:
        end = Ended(node.ownership.epoch, "job", 0, 0, number, 1, "lost", "x" * 4000)
        _journal.write(node, WRITTEN, end)
        _journal.emit_after_commit(node, effects.AnswerPeer(number, "written"))


def write_events(node, numbers):
    """
    Write the ends of runs as above, each in an event of its own, while an append is in flight.
    """
    for number in numbers:
        write_ends(node, [number])
        assert of_type(feed(node, NOW_S, events.Ticked()), effects.Append) == []


def start_append(node):
    """
    Send an append of a caller's record and return the effects.
    """
    return feed(node, NOW_S, events.PeerRecords(0, 1, submissions("j0", 10)))


def submissions(name, size_bytes):
    """
    Return the records that another instance forwards in one request.
    """
    spec = model.JobSpec("x" * size_bytes, (one_step(),))
    return tuple(encode_records([Submitted(name, "usual", "service", "a", spec, WALL_MS)]))


def of_type(produced, kind):
    """
    Return the effects of a type.
    """
    return [item for item in produced if isinstance(item, kind)]


def append_all(node, produced):
    """
    Let the store take all appends and return them, each with the tokens answered after it.
    """
    appends = []
    while sent := of_type(produced, effects.Append):
        (append,) = sent
        produced = feed(node, NOW_S + 0.01, events.Appended("owner", append.seq, events.OK))
        appends.append((append, [item.token for item in of_type(produced, effects.AnswerPeer)]))
    return appends


def ends_in(append):
    """
    Return the numbers of the ends of runs in an append.
    """
    records = [decode_record(data) for data in append.records]
    return [record.index for record in records if isinstance(record, Ended)]


# Guards against an append that the store refuses for its size each time it is sent.
def test_records_that_waited_are_appended_in_several_appends(owner):
    """
    The owner's records go into appends that the store takes, in their order and numbered.
    """
    first = start_append(owner)
    write_events(owner, range(1, 1000))
    appends = append_all(owner, first)
    assert all(sum(map(len, append.records)) < STORE_BYTES / 2 for append, _ in appends)
    assert [number for append, _ in appends for number in ends_in(append)] == list(range(1, 1000))
    seqs = [append.seq for append, _ in appends]
    assert seqs == list(range(seqs[0], seqs[0] + len(seqs)))


# Guards against the same, for records that other instances forward.
def test_records_of_many_instances_are_appended_in_several_appends(owner):
    """
    Forwarded records go into appends that the store takes, and each instance is answered once its
    records are committed.
    """
    first = start_append(owner)
    for token in range(1, 31):
        records = submissions(f"j{token}", 120 * 1024)
        produced = feed(owner, NOW_S, events.PeerRecords(token, 1, records))
        assert of_type(produced, effects.Append) == []
    appends = append_all(owner, first)
    assert all(sum(map(len, append.records)) < STORE_BYTES / 2 for append, _ in appends)
    assert [token for _, tokens in appends for token in tokens] == list(range(31))
    assert all(f"j{token}" in owner.replicated.jobs for token in range(31))


# Guards against a gang of which some members start although the others' records aren't stored.
def test_a_gang_in_several_appends_is_ordered_after_the_last_one():
    """
    No member of a gang is ordered before the records of all members are committed.
    """
    node = owner_of([worker_entry(f"w{number}", 64_000) for number in range(10)])
    commit(node, NOW_S)
    hand_in(node, [("a-gang-with-a-long-name", "usual", (one_step(6000, 10, gang=True),), 0.0)])
    numbers = []
    while node.journal.in_flight is not None:
        records = [decode_record(data) for data in node.journal.data]
        numbers.append(sum(isinstance(record, Started) for record in records))
        event = events.Appended("owner", node.journal.seq, events.OK)
        ordered = of_type(feed(node, NOW_S + 0.6, event), effects.StartTask)
        assert bool(ordered) == (sum(numbers) == 6000)
    assert len(numbers) > 1


# Guards against a record that no append can hold, which would be sent again for ever.
def test_a_checkpoint_that_no_record_holds_is_dropped(owner):
    """
    The end of a run is recorded without a checkpoint that is too large, which is logged.
    """
    hand_in(owner, [("job", "usual", (one_step(is_checkpointing=True),), 0.0)])
    (order,) = commit(owner, NOW_S + 0.6)
    end = model.EndRow(1, order.key, order.run, "lapsed", "x" * 300_000)
    lists = events.HoldAnswered("w", OWNER_TOKEN, NOW_S + 0.7, 8000, 7, (), (end,))
    produced = feed(owner, NOW_S + 0.7, lists)
    assert [line["size_bytes"] for line in logged(produced, "run.checkpoint_dropped")] == [300_000]
    assert max(map(len, owner.journal.data)) < 100_000


# Guards against callers who wait for a queue of appends, of which only the last one was looked at.
def test_callers_behind_full_appends_are_answered_in_time(owner):
    """
    Forwarded records that wait too long for other appends are given back, whichever they are in.
    """
    start_append(owner)
    for token in range(1, 11):
        records = submissions(f"j{token}", 120 * 1024)
        feed(owner, NOW_S, events.PeerRecords(token, 1, records))
    assert len(owner.journal.queue) > 1
    produced = feed(owner, NOW_S + 1.0, events.Ticked())
    assert [item.token for item in of_type(produced, effects.AnswerPeer)] == list(range(1, 11))
    append_all(owner, feed(owner, NOW_S + 1.1, events.Appended("owner", 2, events.OK)))
    assert not owner.journal.queue


# Guards against a bound that stays in force though its worker answered before it was sent.
def test_a_bound_in_a_full_append_is_withdrawn(owner):
    """
    A bound on leases that waits in a full append is withdrawn once its worker answers.
    """
    hand_in(owner, [("job", "usual", (one_step(),), 0.0)])
    epoch = owner.ownership.epoch
    bound = LeaseBounded(epoch, "w", 7, 1000, round(NOW_S * 1000) + 10_000)
    _journal.write_bound(owner, WRITTEN, bound, is_first=True)
    write_events(owner, range(1, 200))
    assert owner.journal.queue
    _leases.lift_bound(owner, WRITTEN, owner.workers["w"])
    produced = feed(owner, NOW_S + 0.7, events.Appended("owner", owner.journal.seq, events.OK))
    records = [record for append, _ in append_all(owner, produced) for record in append.records]
    assert not any(isinstance(decode_record(data), LeaseBounded) for data in records)
    assert len([data for data in records if isinstance(decode_record(data), Ended)]) == 199


# Guards against starts that are decided faster than the store takes their records.
def test_no_starts_are_decided_while_many_appends_wait(owner):
    """
    Nothing starts while several full appends wait for the store, and it starts after them.
    """
    first = start_append(owner)
    write_events(owner, range(1, 400))
    assert hand_in(owner, [("job", "usual", (one_step(),), 0.0)], NOW_S + 0.1) == []
    append_all(owner, first)
    assert "job" in {task.key.job for task in owner.replicated.running["w"].values()}
