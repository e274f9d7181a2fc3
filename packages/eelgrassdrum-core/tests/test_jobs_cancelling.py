"""
Time from the acknowledgement of a cancellation until no task of the job starts any more.

Any instance may append a cancellation to the log, so the owner knows of it only once it has read
it.
"""

from eelgrassdrum_core.jobs import effects, events
from eelgrassdrum_core.jobs._records import Released
from eelgrassdrum_testing.jobs import run_schedule
from eelgrassdrum_testing.jobs.owner import (
    BOUNDS,
    START_S,
    commit,
    feed,
    hand_in,
    logged,
    one_step,
    owner_of,
    read_back,
    read_to_end,
    started,
    worker_entry,
)

JOB = ("job", "usual", (one_step(),), 0.0)
HAND_IN_S = START_S + 4


def test_an_owner_whose_state_is_old_starts_nothing():
    """
    A submission that is read late starts nothing until a read that was sent lately is answered.
    """
    node = owner_of([worker_entry("w")])
    assert hand_in(node, [JOB], HAND_IN_S, sent_s=HAND_IN_S - 1.8) == []
    assert started(read_to_end(node, HAND_IN_S + 0.1)) == [("job", "w")]


def test_a_part_of_the_log_does_not_make_the_state_recent():
    """
    A read that doesn't reach the end of the log may miss cancellations, so nothing starts after it.
    """
    node = owner_of([worker_entry("w")])
    assert hand_in(node, [JOB], HAND_IN_S, records_left=1) == []


def test_the_owners_own_records_make_its_state_recent():
    """
    All that precedes a heartbeat of the owner in the log is known once the heartbeat is read.
    """
    node = owner_of([worker_entry("w")])
    assert hand_in(node, [JOB], HAND_IN_S, sent_s=HAND_IN_S - 2.0) == []
    commit(node, HAND_IN_S + 0.05)
    produced = read_back(node, HAND_IN_S + 0.1, HAND_IN_S - 1.8, HAND_IN_S + 0.05)
    assert started(produced) == [("job", "w")]


def test_an_order_that_waits_until_the_state_is_old_is_withdrawn():
    """
    An order whose record is committed late is not sent, and its run ends as unsent.
    """
    node = owner_of([worker_entry("w")])
    assert hand_in(node, [JOB], HAND_IN_S) == [("job", "w")]
    event = events.Appended("owner", node.journal.seq, events.OK)
    produced = feed(node, HAND_IN_S + BOUNDS.cancel_s / 2, event)
    assert not [item for item in produced if isinstance(item, effects.StartTask)]
    assert [item["how"] for item in logged(produced, "run.ended")] == ["unsent"]


def test_an_order_that_waits_for_answers_of_its_worker_is_withdrawn():
    """
    An order that waits for answers to earlier ones is not sent once the owner's state is old.
    """
    node = owner_of([worker_entry("w")])
    hand_in(node, [("job", "usual", (one_step(3),), 0.0)], HAND_IN_S)
    first, _second = commit(node, HAND_IN_S + 0.1)
    answer = events.StartAnswered("w", first.key, first.run, events.OK, "", 6000)
    produced = feed(node, HAND_IN_S + BOUNDS.cancel_s / 2, answer)
    assert not [item for item in produced if isinstance(item, effects.StartTask)]
    assert [item["how"] for item in logged(produced, "run.ended")] == ["unsent"]


def test_an_order_is_void_once_a_missed_cancellation_has_to_be_in_force():
    """
    A worker refuses an order that arrives later than the bound after the owner's latest read.
    """
    node = owner_of([worker_entry("w")])
    read_s = HAND_IN_S - 0.8
    hand_in(node, [JOB], HAND_IN_S, sent_s=read_s)
    (order,) = commit(node, HAND_IN_S + 0.1)
    worker = node.workers["w"]
    expiry_s = worker.clock_at_s + (order.lease_ms - worker.clock_ms) / 1000
    assert expiry_s < read_s + BOUNDS.cancel_s


def released_s(node, from_s, until_s, tick_s=0.05, appends=True):
    """
    Let time pass while no read of the log is answered, and return when the log is given up.
    """
    now_s = from_s
    while now_s < until_s:
        now_s = round(now_s + tick_s, 3)
        feed(node, now_s, events.Ticked())
        if appends:
            commit(node, now_s)
        if not node.ownership.is_owner:
            return now_s
    return None


def test_an_owner_that_appends_and_does_not_read_releases_the_log():
    """
    An owner whose appends succeed while its reads are not answered gives the log up, so that
    another instance can carry out cancellations in time, and doesn't claim it again at once.
    """
    node = owner_of([worker_entry("w")])
    gone_s = released_s(node, START_S + 2, START_S + 12)
    assert gone_s is not None
    assert gone_s <= START_S + 2 + BOUNDS.cancel_s
    assert node.ownership.next_claim_s >= gone_s + 2.0


def test_the_release_is_written_to_the_log():
    """
    An owner that gives the log up appends a release first, so that the others need not wait.
    """
    node = owner_of([worker_entry("w")])
    appended = []
    for tick in range(1, 100):
        now_s = START_S + 2 + 0.05 * tick
        feed(node, now_s, events.Ticked())
        if node.journal.in_flight is not None:
            appended += node.journal.in_flight.records
        commit(node, now_s)
        if not node.ownership.is_owner:
            break
    assert appended[-1] == Released(node.ownership.epoch)


def test_an_owner_that_reads_late_but_often_enough_keeps_the_log():
    """
    Reads that take as long as those of a slow store don't end an ownership.
    """
    node = owner_of([worker_entry("w")])
    for step in range(1, 40):
        now_s = START_S + 2 + 0.25 * step
        feed(node, now_s, events.Ticked())
        commit(node, now_s)
        read_back(node, now_s, now_s - 0.75, now_s - 0.75)
    assert node.ownership.is_owner


def test_an_outage_of_the_store_ends_no_ownership():
    """
    An owner that can neither append nor read keeps the log, also if its append is answered first
    when the store is back.
    """
    node = owner_of([worker_entry("w")])
    commit(node, START_S + 2.1)
    assert released_s(node, START_S + 2.1, START_S + 8, appends=False) is None
    commit(node, START_S + 8.0)
    assert released_s(node, START_S + 8.0, START_S + 8.3) is None
    read_back(node, START_S + 8.35, START_S + 8.2, START_S + 8.2)
    assert node.ownership.is_owner


# Guards against starts of cancelled jobs by an owner that reads nothing, as with seed 3011.
def test_tasks_of_cancelled_jobs_do_not_start_while_the_owner_reads_nothing():
    """
    In schedules in which the owner can append but not read, cancellations take effect in time.
    """
    for seed in (3011, *range(3012, 3018)):
        result = run_schedule(seed, ("owner_misses_cancels",))
        assert result.violations == (), (seed, result.violations[:3])
