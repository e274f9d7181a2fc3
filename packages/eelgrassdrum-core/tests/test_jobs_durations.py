"""
Durations that are learned from the ends in the log.
"""

import math
import random
import zlib

import msgspec

from eelgrassdrum_core.jobs import ReplicatedState, events, model
from eelgrassdrum_core.jobs import _durations as durations
from eelgrassdrum_core.jobs import _fold as fold
from eelgrassdrum_core.jobs import _records as records
from eelgrassdrum_core.jobs import _snapshot as snapshot
from eelgrassdrum_testing.jobs.owner import (
    OWNER_TOKEN,
    START_S,
    commit,
    feed,
    hand_in,
    logged,
    one_step,
    owner_of,
    worker_entry,
)

WALL_MS = 1_700_000_000_000
# What a decision leaves of the error that it is made against, at most.
PART_LEFT = 0.5
# Ends that a queue with a twentieth of the traffic sees in some seconds.
ENDS = 40
SENT_S = START_S + 3.1
TRUE_S = 0.8


class Log:
    """
    A replicated state and the records that it results from.

    :param replicated: the state.
    :param count: number of jobs that have ended.
    """

    def __init__(self):
        """
        Start with a claim.
        """
        self.replicated = ReplicatedState()
        self.records = []
        self.count = 0
        self.write(records.Claimed(1, "entry", 1))

    def write(self, record):
        """
        Apply a record.
        """
        self.records.append(record)
        fold.apply(self.replicated, record, 10.0, WALL_MS)

    def add(self, declared_s, queue="q", **fields):
        """
        Submit a job of one task, and return it.
        """
        self.count += 1
        step = model.Step(1, (500, 100, 0), round(declared_s * 1000), **fields)
        name = f"job-{self.count}"
        spec = model.JobSpec("payload", (step,))
        self.write(records.Submitted(name, queue, "s", "a", spec, WALL_MS))
        return self.replicated.jobs[name]

    def end(self, declared_s, ran_s, queue="q", **fields):
        """
        Submit a job whose task runs and is done.
        """
        name = self.add(declared_s, queue, **fields).id
        self.write(records.Started(1, name, 0, 0, 0, 1, "w", 1))
        self.write(records.Ended(1, name, 0, 0, 0, 1, "done", "", False, round(ran_s * 1000)))

    def expected_s(self, declared_s, queue="q", **fields):
        """
        Return the expected duration of a new job's task.
        """
        return durations.expected_s(self.replicated, self.add(declared_s, queue, **fields), 0)


def off_by_up_to_90_percent(rng):
    """
    Return a declared duration of a task that takes `TRUE_S`.
    """
    return TRUE_S * rng.uniform(0.1, 1.9)


def mean_error(log, pairs):
    """
    Return by how much the estimates are off on average, as a part of the true duration.
    """
    return sum(abs(log.expected_s(declared) - ran) / ran for declared, ran in pairs) / len(pairs)


def test_the_error_of_estimates_halves_where_declared_durations_are_off():
    """
    Declared durations that are off by up to 90%: what was learned leaves at most half of the error.
    """
    rng = random.Random(1)
    pairs = [(off_by_up_to_90_percent(rng), TRUE_S) for _ in range(100)]
    log = Log()
    declared_error = mean_error(log, pairs)
    for _ in range(ENDS):
        log.end(off_by_up_to_90_percent(rng), TRUE_S * rng.uniform(0.7, 1.3))
    assert mean_error(log, pairs) <= PART_LEFT * declared_error


def test_good_declarations_stay_in_use():
    """
    Jobs of one queue that differ tenfold and are declared well: estimates stay within a tenth.
    """
    rng = random.Random(1)
    log = Log()
    for _ in range(ENDS):
        ran_s = rng.choice((0.3, 1.0, 3.0))
        log.end(ran_s * rng.uniform(0.95, 1.05), ran_s)
    pairs = [(0.3, 0.3), (1.0, 1.0), (3.0, 3.0)]
    assert mean_error(log, pairs) <= 0.1


def test_one_odd_worker_does_not_spoil_the_estimates():
    """
    A tenth of the ends takes ten times as long, as on a disturbed worker: the others' estimates
    stay within a quarter.
    """
    rng = random.Random(1)
    log = Log()
    for number in range(4 * ENDS):
        ran_s = TRUE_S * (10 if number % 10 == 0 else rng.uniform(0.9, 1.1))
        log.end(off_by_up_to_90_percent(rng), ran_s)
    assert abs(durations_of(log) - TRUE_S) <= TRUE_S / 4


def durations_of(log):
    """
    Return the learned average of the first step of the queue.
    """
    return math.exp(log.replicated.durations[("q", 0)].ln_s)


def test_a_queue_whose_durations_change_is_followed():
    """
    Tasks that take four times as long from some time on: the average is within a quarter after
    twice the ends that it counts.
    """
    log = Log()
    for _ in range(3 * ENDS):
        log.end(1.0, TRUE_S)
    for _ in range(round(2 * durations.MAX_ENDS)):
        log.end(1.0, 4 * TRUE_S)
    assert abs(durations_of(log) - 4 * TRUE_S) <= TRUE_S


def test_what_was_learned_fades_while_no_task_ends():
    """
    Demand that comes back after some minutes: estimates are as declared again.
    """
    log = Log()
    for _ in range(ENDS):
        log.end(3.0, TRUE_S)
    fresh_s = log.expected_s(3.0)
    log.write(records.OwnerHeartbeat(1, 1_000))
    log.write(records.OwnerHeartbeat(1, 1_000 + 300_000))
    assert fresh_s < 1.0
    assert abs(log.expected_s(3.0) - 3.0) < 0.01


def test_undeclared_durations_are_learned():
    """
    A queue that declares nothing gets the average.
    """
    log = Log()
    assert log.expected_s(0.0) == 0.0
    log.end(0.0, TRUE_S)
    assert abs(log.expected_s(0.0) - TRUE_S) < 0.01


def test_queues_learn_apart_and_gangs_and_backfill_not_at_all():
    """
    What one queue takes says nothing about another one, nor do gangs and backfill say anything.
    """
    log = Log()
    for _ in range(ENDS):
        log.end(3.0, TRUE_S, "other")
        log.end(3.0, TRUE_S, gang=True)
        log.end(3.0, TRUE_S, is_backfill=True)
    assert list(log.replicated.durations) == [("other", 0)]
    assert log.expected_s(3.0) == 3.0
    assert log.expected_s(3.0, "other", gang=True) == 3.0


def test_memory_is_bounded_where_queues_come_and_go():
    """
    More queues than are remembered: those that have been quiet for longest are forgotten.
    """
    log = Log()
    for number in range(durations.MAX_LEARNED + 100):
        log.write(records.OwnerHeartbeat(1, 1_000 + number))
        log.end(1.0, TRUE_S, f"queue-{number}")
    known = log.replicated.durations
    assert len(known) <= durations.MAX_LEARNED
    assert (f"queue-{durations.MAX_LEARNED + 99}", 0) in known and ("queue-0", 0) not in known


def test_a_new_owner_and_a_restarted_instance_know_what_was_learned():
    """
    An owner lost after a burst: replaying the log, or a snapshot of it, gives the same estimates.
    """
    rng = random.Random(2)
    log = Log()
    for number in range(ENDS):
        log.end(off_by_up_to_90_percent(rng), TRUE_S * rng.uniform(0.5, 2.0), f"q{number % 3}")
    replayed = ReplicatedState()
    for data in records.encode_records(log.records):
        fold.apply(replayed, records.decode_record(data), 500.0, WALL_MS + 490_000)
    restored = snapshot.decode(snapshot.encode(log.replicated, 10.0, WALL_MS), 99.0, WALL_MS)
    assert replayed.durations == restored.durations == log.replicated.durations != {}


# Guards against a rolling restart in which one release can't read what the other one writes.
def test_ends_and_snapshots_of_the_former_release_are_read():
    """
    An end and a snapshot without what was learned are read, and nothing is learned from them.
    """
    former = ["e", 1, "job-1", 0, 0, 0, 1, "done", "", False]
    assert records.decode_record(msgspec.msgpack.encode(former)).ran_ms == 0
    log = Log()
    log.end(3.0, TRUE_S)
    fields = msgspec.msgpack.decode(zlib.decompress(snapshot.encode(log.replicated, 10.0, WALL_MS)))
    data = zlib.compress(msgspec.msgpack.encode(fields[:-2]))
    restored = snapshot.decode(data, 10.0, WALL_MS)
    assert restored.durations == {} and restored.epoch == 1
    assert "job-1" in restored.jobs


class FormerEnded(msgspec.Struct, frozen=True, array_like=True, tag="e"):
    """
    The end of a run as the former release declares it.
    """

    epoch: int
    job: str
    occurrence: int
    step: int
    index: int
    run: int
    end_state: str
    checkpoint: str
    is_established: bool = False


def test_the_former_release_reads_ends_with_durations():
    """
    The former release, beside this one in a rolling restart, passes over the new field.
    """
    (data,) = records.encode_records([records.Ended(1, "j", 0, 0, 0, 1, "done", "", False, 800)])
    assert msgspec.msgpack.decode(data, type=FormerEnded) == FormerEnded(
        1, "j", 0, 0, 0, 1, "done", ""
    )


def make_run(answered_after_s=0.01, **fields):
    """
    Return an owner of a worker that runs a task, and the order for it.
    """
    node = owner_of([worker_entry("w", 1000)])
    hand_in(node, [("job", "usual", (one_step(**fields),), 0.0)])
    (order,) = commit(node, SENT_S)
    at_s = SENT_S + answered_after_s
    feed(node, at_s, events.StartAnswered("w", order.key, order.run, events.OK, "", 6000))
    return node, order


def end_after(node, order, ran_s):
    """
    Let the task be done, and return the effects.
    """
    at_s = SENT_S + 0.01 + ran_s
    end = model.EndRow(1, order.key, order.run, "done", "")
    answer = events.HoldAnswered("w", OWNER_TOKEN, at_s - 0.1, 7000, 7, (), (end,))
    return feed(node, at_s, answer)


def test_the_owner_records_how_long_a_run_took():
    """
    A run that the owner ordered and saw end: its duration is in the log, and one line tells it.
    """
    node, order = make_run()
    produced = end_after(node, order, TRUE_S)
    learned = node.replicated.durations[("usual", 0)]
    assert abs(math.exp(learned.ln_s) - TRUE_S) < 0.01
    (line,) = logged(produced, "queue.durations")
    assert (line["queue"], line["step"], line["ends"]) == ("usual", 0, 1.0)


def test_runs_that_tell_nothing_about_others_are_left_out():
    """
    Nothing is learned from a run far from its data, on a slow worker, that was resumed, or whose
    order was answered late.
    """
    far, order = make_run(data_rack="r9")
    end_after(far, order, TRUE_S)
    slow, order = make_run()
    slow.workers["w"].slow_until_s = SENT_S + 0.5
    end_after(slow, order, TRUE_S)
    resumed, order = make_run()
    resumed.replicated.jobs["job"].occurrences[0][0].tasks[0].checkpoint = "half"
    end_after(resumed, order, TRUE_S)
    late, order = make_run(answered_after_s=0.5)
    end_after(late, order, TRUE_S)
    assert [node.replicated.durations for node in (far, slow, resumed, late)] == [{}] * 4


def test_a_new_owner_does_not_guess_when_a_run_of_its_predecessor_began():
    """
    Change of owner: a run that only a list of its worker shows has an unknown duration.
    """
    node, order = make_run()
    del node.workers["w"].orders[order.key]
    end_after(node, order, TRUE_S)
    assert node.replicated.durations == {}
