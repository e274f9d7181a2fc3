"""
Cancellations, and runs that must end because their job was cancelled or the log doesn't contain
them.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdrum_core.jobs import (
    Moment,
    ReplicatedState,
    _fold,
    _registry,
    _snapshot,
    effects,
    events,
    model,
)
from eelgrassdrum_core.jobs._records import Cancelled, Submitted, encode_records
from eelgrassdrum_testing.jobs.owner import (
    BOUNDS,
    OWNER_TOKEN,
    START_S,
    WALL_MS,
    commit,
    feed,
    hand_in,
    logged,
    make_owner_config,
    one_step,
    owner_of,
    started,
    worker_entry,
)

SENT_S = START_S + 3.1
SEEN_S = SENT_S + 1.0
# Time within which a stop that had no effect is sent again.
REPEATED_S = 1.0
TICK_S = 0.05
STRAY = model.TaskKey("stray", 0, 0, 0)
MANY_STRAYS = tuple(model.TaskKey("stray", 0, 0, number) for number in range(100))
# Most stops that are repeated at one tick, and time in which many stops are repeated.
MAX_STOPS_PER_TICK = 25
ALL_REPEATED_S = 2.0
JOBS = st.sampled_from(["j1", "j2"])


def worker_lists(sent_s, runs=(), ends=()):
    """
    Build the worker's lists of runs and exits, requested at the given time.
    """
    return events.HoldAnswered("w", OWNER_TOKEN, sent_s, 8000, 7, runs, ends)


def row_of(key, run=1):
    """
    Build the row of a run.
    """
    return model.RunRow(key, run, "", 10, 0.0)


def of_type(produced, kind):
    """
    Return the effects of a type.
    """
    return [item for item in produced if isinstance(item, kind)]


def stops_of(produced):
    """
    Return task and run of each stop.
    """
    return [(item.key, item.run) for item in of_type(produced, effects.StopTask)]


def let_pass(node, since_s, for_s):
    """
    Let time pass without any answer, and return the effects.
    """
    produced = []
    for number in range(1, round(for_s / TICK_S) + 1):
        produced += feed(node, since_s + number * TICK_S, events.Ticked())
    return produced


def make_owner_with_stray():
    """
    Return an owner whose only worker has just listed a run that the log doesn't contain.
    """
    node = owner_of([worker_entry("w")])
    produced = feed(node, SEEN_S, worker_lists(SEEN_S - 0.01, (row_of(STRAY),)))
    assert stops_of(produced) == [(STRAY, 1)]
    return node


def make_owner_with_cancelled_run():
    """
    Return an owner whose only run was stopped, since its job was cancelled, and the order.
    """
    node = owner_of([worker_entry("w")])
    step = one_step(is_long_running=True)
    hand_in(node, [("job", "usual", (step,), 0.0)])
    (order,) = commit(node, SENT_S)
    feed(node, SENT_S + 0.01, events.StartAnswered("w", order.key, order.run, events.OK, "", 6000))
    feed(node, SENT_S + 0.1, worker_lists(SENT_S + 0.02, (row_of(order.key),)))
    offset = node.replicated.offset
    records = tuple(encode_records([Cancelled("job", WALL_MS)]))
    produced = feed(node, SEEN_S, events.LogRead(offset, records, offset + 1, SEEN_S))
    assert stops_of(produced) == [(order.key, order.run)]
    return node, order


FIXTURES = {"with_stray": make_owner_with_stray, "with_cancelled": make_owner_with_cancelled_run}


# Guards against a run that goes on until its lease ends, since its only stop had no answer.
def test_unanswered_stop_of_an_unknown_run_is_sent_again(with_stray):
    """
    A stop of a run that the log doesn't contain is repeated without another list.
    """
    for outcome in (events.UNKNOWN, events.REFUSED, events.UNSENT):
        node = make_owner_with_stray()
        feed(node, SEEN_S + 0.1, events.StopAnswered("w", STRAY, 1, outcome))
        assert (STRAY, 1) in stops_of(let_pass(node, SEEN_S + 0.1, REPEATED_S)), outcome
    assert (STRAY, 1) in stops_of(let_pass(with_stray, SEEN_S, REPEATED_S)), "no outcome"


# Guards against the same, and against resources that stay reserved for a run that has ended.
def test_worker_with_an_unknown_run_is_listed_again_soon(with_stray):
    """
    The lists of a worker without known runs are requested again once its unknown run should have
    ended, and frequently until a list doesn't contain it.
    """
    produced = let_pass(with_stray, SEEN_S, BOUNDS.stop_s + 2 * TICK_S)
    (hold,) = of_type(produced, effects.Hold)
    assert hold.lease_ms is None
    now_s = SEEN_S + 0.6
    feed(with_stray, now_s, worker_lists(now_s - 0.01, (row_of(STRAY),)))
    assert of_type(let_pass(with_stray, now_s, BOUNDS.stop_s + 2 * TICK_S), effects.Hold)
    feed(with_stray, now_s + 0.6, worker_lists(now_s + 0.55))
    assert with_stray.workers["w"].unknown_runs == {}
    produced = let_pass(with_stray, now_s + 0.6, 5.0)
    assert of_type(produced, effects.Hold) == []
    assert stops_of(produced) == []


# Guards against a run of a cancelled job that goes on, since a list that would repeat its stop was
# late.
def test_unanswered_stop_of_a_cancelled_run_is_sent_again(with_cancelled):
    """
    A stop of a run whose job was cancelled is repeated while the worker's lists are awaited.
    """
    node, order = with_cancelled
    feed(node, SEEN_S + 0.1, events.StopAnswered("w", order.key, order.run, events.UNKNOWN))
    assert (order.key, order.run) in stops_of(let_pass(node, SEEN_S + 0.1, REPEATED_S))


def test_acknowledged_stop_is_not_sent_again(with_cancelled):
    """
    A stop that the worker has acknowledged is repeated only if a later list contains the run.
    """
    node, order = with_cancelled
    feed(node, SEEN_S + 0.1, events.StopAnswered("w", order.key, order.run, events.OK))
    assert stops_of(let_pass(node, SEEN_S + 0.1, 1.5)) == []
    row = row_of(order.key, order.run)
    produced = feed(node, SEEN_S + 1.6, worker_lists(SEEN_S + 1.5, (row,)))
    assert stops_of(produced) == [(order.key, order.run)]


def test_stop_of_an_ended_run_is_not_sent_again(with_cancelled):
    """
    No stop is repeated once the worker has listed the end of the run.
    """
    node, order = with_cancelled
    end = model.EndRow(1, order.key, order.run, "stopped", "")
    feed(node, SEEN_S + 0.4, worker_lists(SEEN_S, (), (end,)))
    assert stops_of(let_pass(node, SEEN_S + 0.4, 2.0)) == []


# Guards against a workspace over its limit while a run that an order held up started is stopped.
def test_unknown_run_of_a_known_job_counts_towards_the_limit():
    """
    No task starts that would pass the limit of its workspace together with an unknown run of a job
    of the workspace, until a list shows that this run is gone.
    """
    config = make_owner_config(limit=model.Resources(2000, 0, 0))
    node = owner_of([worker_entry("w"), worker_entry("v")], config)
    (first,) = hand_in(node, [("job", "usual", (one_step(millicores=1500),), 0.0)])
    commit(node, SENT_S)
    key = model.TaskKey("job", 0, 0, 0)
    end = model.EndRow(1, key, 1, "done", "")
    feed(node, SEEN_S, worker_lists(SEEN_S - 0.01, (), (end,))._replace(worker=first[1]))
    other = "v" if first[1] == "w" else "w"
    lists = worker_lists(SEEN_S, (row_of(key),))._replace(worker=other)
    assert stops_of(feed(node, SEEN_S + 0.01, lists)) == [(key, 1)]
    jobs = [("next", "usual", (one_step(millicores=1000),), 0.0)]
    assert hand_in(node, jobs, SEEN_S + 0.02) == []
    gone = worker_lists(SEEN_S + 0.03)._replace(worker=other)
    assert [job for job, _worker in started(feed(node, SEEN_S + 0.05, gone))] == ["next"]


# Guards against an unknown run that counts as gone by a list that is older than the one that
# contained it.
def test_list_requested_before_an_unknown_run_was_seen_does_not_clear_it(with_stray):
    """
    Answers may overtake each other, so only a list requested later shows that an unknown run is
    gone.
    """
    feed(with_stray, SEEN_S + 0.01, worker_lists(SEEN_S - 0.02))
    assert STRAY in with_stray.workers["w"].unknown_runs


# Guards against an unknown run that goes on because its worker's entry in the registry has lapsed.
def test_unlisted_worker_with_an_unknown_run_is_still_called(with_stray):
    """
    A worker whose entry has lapsed is called until its unknown run is gone or its lease is over.
    """
    feed(with_stray, SEEN_S + 0.05, events.WorkersRead(2, True, {}))
    assert of_type(let_pass(with_stray, SEEN_S + 0.05, REPEATED_S), effects.Hold)
    failure = events.HoldFailed("w", "timeout", OWNER_TOKEN)
    feed(with_stray, SEEN_S + 1.5, failure)
    let_pass(with_stray, SEEN_S + 1.5, BOUNDS.max_lease_s * 1.1)
    assert with_stray.workers["w"].unknown_runs == {}
    assert of_type(let_pass(with_stray, SEEN_S + 13.0, 2.0), effects.Hold) == []


CALLERS_RECORDS = st.lists(
    st.one_of(
        st.builds(
            Submitted,
            JOBS,
            st.just("usual"),
            st.just("service"),
            st.just("a"),
            st.just(model.JobSpec("x", (one_step(),))),
            st.just(WALL_MS),
        ),
        st.builds(Cancelled, JOBS, st.just(WALL_MS)),
    ),
    max_size=12,
)


def cancelled_jobs(records):
    """
    Return the jobs that result from callers' records, and whether they are cancelled.
    """
    replicated = ReplicatedState()
    for record in records:
        _fold.apply(replicated, record, 10.0, WALL_MS)
    return {job.id: job.cancelled for job in replicated.jobs.values()}


# Guards against an owner that forgets a cancellation, since it applies the callers' records that it
# has appended before those that precede them in the log.
@given(st.data(), CALLERS_RECORDS)
@settings(max_examples=150, deadline=None, derandomize=True)
def test_cancellations_hold_in_any_order_of_callers_records(data, records):
    """
    A job is cancelled if its submission and its cancellation were applied, in whatever order and
    however often.
    """
    repeated = records + data.draw(st.lists(st.sampled_from(records))) if records else records
    shuffled = data.draw(st.permutations(repeated))
    submitted = {item.job for item in records if isinstance(item, Submitted)}
    cancelled = {item.job for item in records if isinstance(item, Cancelled)}
    expected = {job: job in cancelled for job in submitted}
    assert cancelled_jobs(records) == cancelled_jobs(shuffled) == expected


# Guards against a job that runs although its cancellation was answered before its submission was
# appended.
def test_job_that_was_cancelled_before_its_submission_never_starts():
    """
    The owner starts no task of a job whose cancellation precedes its submission in the log, also
    after a reload from a snapshot between the two.
    """
    node = owner_of([worker_entry("w")])
    offset = node.replicated.offset
    records = tuple(encode_records([Cancelled("job", WALL_MS)]))
    feed(node, START_S + 2.5, events.LogRead(offset, records, offset + 1, START_S + 2.5))
    data = _snapshot.encode(node.replicated, START_S + 2.5, WALL_MS)
    node.replicated = _snapshot.decode(data, START_S + 2.5, WALL_MS)
    assert hand_in(node, [("job", "usual", (one_step(),), 0.0)]) == []
    assert node.replicated.jobs["job"].state == "cancelled"
    assert commit(node, SENT_S) == []


def test_repeated_submission_does_not_revive_a_cancelled_job(with_cancelled):
    """
    A submission that arrives again after the cancellation changes nothing.
    """
    node, _order = with_cancelled
    step = one_step(is_long_running=True)
    assert hand_in(node, [("job", "usual", (step,), 0.0)], SEEN_S + 0.2) == []
    assert node.replicated.jobs["job"].state == "cancelled"
    assert "job" not in node.replicated.open_jobs


# Guards against calls without end to a worker that is known to be gone.
def test_stops_to_an_ended_worker_are_not_repeated(with_stray):
    """
    Once a worker's instance was ordered down, the unanswered stops of its unknown runs cease.
    """
    worker = with_stray.workers["w"]
    _registry.end_incarnation(with_stray, Moment(SEEN_S, WALL_MS), worker, "instance_ordered_down")
    assert stops_of(let_pass(with_stray, SEEN_S, 30.0)) == []


# Guards against resources that stay reserved on a worker that is known to be gone.
def test_unknown_runs_of_an_ended_worker_are_forgotten(with_stray):
    """
    The unknown runs of a worker whose instance was ordered down are forgotten once its lease is
    certainly over.
    """
    worker = with_stray.workers["w"]
    _registry.end_incarnation(with_stray, Moment(SEEN_S, WALL_MS), worker, "instance_ordered_down")
    let_pass(with_stray, SEEN_S, BOUNDS.max_lease_s * 1.1)
    assert worker.unknown_runs == {}


# Guards against the end of a sound run by the stop of an earlier run of its task.
def test_the_stop_of_an_unknown_run_does_not_end_a_later_run():
    """
    A listed run that the log contains goes on, although an earlier run of its task, which an older
    list has shown, was to be stopped on the same worker.
    """
    node = owner_of([worker_entry("w")])
    hand_in(node, [("job", "usual", (one_step(),), 0.0)])
    (order,) = commit(node, SENT_S)
    feed(node, SENT_S + 0.01, events.StartAnswered("w", order.key, 1, events.OK, "", 6000))
    ended = model.EndRow(1, order.key, 1, "failed", "")
    feed(node, SENT_S + 0.2, worker_lists(SENT_S + 0.1, ends=(ended,)))
    (later_order,) = commit(node, SENT_S + 0.25)
    assert (later_order.worker, later_order.run) == ("w", 2)
    late = worker_lists(SENT_S + 0.05, (row_of(order.key),))
    assert stops_of(feed(node, SENT_S + 0.3, late)) == [(order.key, 1)]
    produced = feed(node, SENT_S + 1.4, worker_lists(SENT_S + 1.3, (row_of(order.key, 2),)))
    assert stops_of(produced) == []


# Guards against connections for all repeated stops at once.
def test_many_unanswered_stops_are_not_repeated_at_once():
    """
    Stops without an answer are repeated over several ticks, each of them soon.
    """
    node = owner_of([worker_entry("w")])
    rows = tuple(row_of(key) for key in MANY_STRAYS)
    assert len(stops_of(feed(node, SEEN_S, worker_lists(SEEN_S - 0.01, rows)))) == len(rows)
    repeated = set()
    for number in range(1, round(ALL_REPEATED_S / TICK_S) + 1):
        stops = stops_of(feed(node, SEEN_S + number * TICK_S, events.Ticked()))
        assert len(stops) <= MAX_STOPS_PER_TICK
        repeated.update(stops)
    assert repeated == {(key, 1) for key in MANY_STRAYS}


# Guards against stops that are not repeated because others always precede them.
def test_the_oldest_unanswered_stops_are_repeated_first():
    """
    Of the stops that are due, those that were sent first are repeated first.
    """
    node = owner_of([worker_entry("v"), worker_entry("w")])
    half = len(MANY_STRAYS) // 2
    for worker, keys, sent_s in (
        ("w", MANY_STRAYS[:half], SEEN_S),
        ("v", MANY_STRAYS[half:], SEEN_S + TICK_S),
    ):
        lists = worker_lists(sent_s - 0.01, tuple(row_of(key) for key in keys))
        feed(node, sent_s, lists._replace(worker=worker))
    produced = let_pass(node, SEEN_S + 1.0, 1.0)
    repeated = [item.worker for item in of_type(produced, effects.StopTask)]
    assert repeated[:half] == ["w"] * half
    assert repeated[half : 2 * half] == ["v"] * half


# Guards against a log line for each list of a worker.
def test_an_unknown_run_is_logged_once(with_stray):
    """
    A run that the log doesn't contain is logged when a list first contains it, and so is the next.
    """
    for number in range(1, 4):
        now_s = SEEN_S + number * 0.5
        produced = feed(with_stray, now_s, worker_lists(now_s - 0.01, (row_of(STRAY),)))
        assert logged(produced, "run.stray") == []
    produced = feed(with_stray, SEEN_S + 2, worker_lists(SEEN_S + 1.99, (row_of(STRAY, 2),)))
    (line,) = logged(produced, "run.stray")
    assert line["run"] == 2


# Guards against calls without a pause if the platform stops tasks immediately.
def test_a_worker_with_an_unknown_run_is_not_called_without_a_pause(with_stray):
    """
    The worker's lists are requested again after a pause, however short the time of a stop is.
    """
    with_stray.bounds = BOUNDS._replace(stop_s=0.0)
    now_s = SEEN_S + 0.5
    produced = feed(with_stray, now_s, worker_lists(now_s - 0.01, (row_of(STRAY),)))
    produced += let_pass(with_stray, now_s, 2 * TICK_S)
    assert of_type(produced, effects.Hold) == []
    assert of_type(let_pass(with_stray, now_s + 2 * TICK_S, 0.5), effects.Hold)
