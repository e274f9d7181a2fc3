"""
How often instances read the log, and questions that wait for a read.
"""

from eelgrassdrum_core.jobs import Identity, Moment, effects, events, model, new_node, reduce
from eelgrassdrum_core.jobs._records import Claimed, Closed, Submitted, encode_records

BOUNDS = model.Bounds(10.0, 2.0, 5.0, 6.0, 0.4, 3.0, 0.25, 120.0, 1.5, 2.0, contact_s=600.0)
SPEC = model.JobSpec("payload", (model.Step(1, (500, 100, 0), 100),))
WALL_MS = 1_700_000_000_000
QUEUE = model.Queue("q", "host", "/q/", "service", 0, 3, 1.6, 600, False)
CONFIG = model.Config(
    1,
    {"q": QUEUE},
    {},
    {"a": model.Workspace("a", frozenset({"key"}), 1.0, model.NO_RESOURCES)},
    {"key": "a"},
    1000,
)
# The node has read the log to its end, and its next read without questions is due a second later.
READ_S = 1.0
USUAL_S = 0.15
TICK_S = 0.05


def make_reader(weakness):
    """
    Return an instance that has read a job and the claim of a strong owner.
    """
    node = new_node(Identity("entry", WALL_MS, "zone", weakness, "entry"), BOUNDS)
    feed(node, 0.0, events.OperatorRead(1, CONFIG, (), 0.0))
    feed(node, 0.0, events.SnapshotRead(None))
    records = [
        Claimed(1, "owner", WALL_MS, "owner", 0.0, True),
        Submitted("job1", "q", "service", "a", SPEC, WALL_MS),
    ]
    feed(node, READ_S, events.LogRead(0, tuple(encode_records(records)), 2, READ_S))
    return node


def make_weak_reader():
    """
    Return an instance that claims the log after others.
    """
    return make_reader(0.8)


def make_strong_reader():
    """
    Return an instance that may claim the log first.
    """
    return make_reader(0.0)


FIXTURES = {"weak": make_weak_reader, "strong": make_strong_reader}


def feed(node, now_s, event):
    """
    Apply an event to an instance and return the effects.
    """
    return reduce(node, Moment(now_s, WALL_MS + round(now_s * 1000)), event)


def question(kind=events.LOOK_UP, path="/q/job1"):
    """
    Return a caller's question.
    """
    return events.CallReceived(7, kind, "host", path, "key", 3.0, None)


def reads(produced):
    """
    Return the reads of the log among effects.
    """
    return [effect for effect in produced if isinstance(effect, effects.ReadLog)]


def replies(produced):
    """
    Return the replies to callers among effects, as outcome and detail.
    """
    return [(item.outcome, item.detail) for item in produced if isinstance(item, effects.Reply)]


def first_read_s(node, from_s=READ_S):
    """
    Let time pass and return the time from the last read to the next.
    """
    for tick in range(1, 40):
        if reads(feed(node, from_s + tick * TICK_S, events.Ticked())):
            return tick * TICK_S
    raise AssertionError("no read")


def test_an_instance_that_claims_last_reads_seldom(weak):
    """
    While nobody asks it, a weak instance reads the log once a second.
    """
    assert abs(first_read_s(weak) - 1.0) <= TICK_S


def test_an_instance_that_may_claim_first_reads_often(strong):
    """
    A strong instance notices the loss of the owner by its reads, so it reads at short intervals.
    """
    assert first_read_s(strong) <= USUAL_S + TICK_S


def test_an_instance_with_a_waiting_caller_reads_often(weak):
    """
    A submission that waits for the owner may wait for a new one, which only the log tells.
    """
    feed(weak, READ_S, events.CallReceived(1, events.SUBMIT, "host", "/q/j2", "key", 3.0, SPEC))
    assert first_read_s(weak) <= USUAL_S + TICK_S


def test_an_instance_that_misses_the_owner_reads_often(weak):
    """
    After a read without a record of the owner, a weak instance may have to claim the log.
    """
    feed(weak, READ_S + 0.5, events.LogRead(2, (), 2, READ_S + 0.4))
    assert first_read_s(weak, READ_S + 0.5) <= USUAL_S + TICK_S


def test_a_question_waits_for_the_read_that_it_causes(weak):
    """
    A question that finds an old state is answered from the records that the read brings.
    """
    produced = feed(weak, READ_S + 0.5, question())
    assert replies(produced) == []
    assert [effect.wait_s for effect in reads(produced)] == [0.0]
    data = tuple(encode_records([Closed(1, "job1", "completed", WALL_MS)]))
    produced = feed(weak, READ_S + 0.51, events.LogRead(2, data, 3, READ_S + 0.5))
    assert replies(produced) == [(effects.STATE, "completed")]


def test_a_question_about_a_recent_state_is_answered_at_once(weak):
    """
    No read is caused where the latest is as recent as those of other instances.
    """
    assert replies(feed(weak, READ_S + 0.1, question())) == [(effects.STATE, "queued")]


def test_a_question_is_answered_though_the_read_is_not(weak):
    """
    If the read has no answer for 0.3 s, the question is answered from the state as it is.
    """
    feed(weak, READ_S + 0.5, question())
    assert replies(feed(weak, READ_S + 0.75, events.Ticked())) == []
    assert replies(feed(weak, READ_S + 0.85, events.Ticked())) == [(effects.STATE, "queued")]


def test_questions_do_not_wait_for_a_silent_store(weak):
    """
    While the store doesn't answer, a question is answered at once.
    """
    feed(weak, READ_S + 0.3, question())
    feed(weak, READ_S + 0.4, events.LogReadFailed("timeout", READ_S + 0.35))
    assert replies(feed(weak, READ_S + 0.9, question())) == [(effects.STATE, "queued")]


def test_the_number_of_pending_jobs_waits_for_a_read_too(weak):
    """
    The count of jobs that have not begun is as recent as that of an instance that reads often.
    """
    produced = feed(weak, READ_S + 0.5, question(events.COUNT, "/q/"))
    assert replies(produced) == [] and reads(produced)


def test_a_caller_that_left_gets_no_answer(weak):
    """
    A question whose caller has closed its connection is dropped.
    """
    feed(weak, READ_S + 0.5, question())
    feed(weak, READ_S + 0.51, events.CallAbandoned(7))
    assert replies(feed(weak, READ_S + 0.52, events.LogRead(2, (), 2, READ_S + 0.5))) == []
    assert not weak.intake.abandoned
