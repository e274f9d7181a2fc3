"""
Time from the acknowledgement of a cancellation until no task of the job starts any more.

Any instance may append a cancellation to the log, so the owner knows of it only once it has read
it.
"""

from eelgrassdrum_core.jobs import Identity, effects, events, new_node
from eelgrassdrum_core.jobs._records import Claimed, OwnerHeartbeat, Released, encode_records
from eelgrassdrum_testing.jobs import run_schedule
from eelgrassdrum_testing.jobs.owner import (
    BOUNDS,
    START_S,
    WALL_MS,
    commit,
    feed,
    hand_in,
    logged,
    make_owner_config,
    one_step,
    owner_of,
    read_back,
    read_to_end,
    started,
    worker_entry,
)

JOB = ("job", "usual", (one_step(),), 0.0)
HAND_IN_S = START_S + 4
SETTLED_S = START_S + 2 + BOUNDS.max_lease_s + 1


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
    produced = feed(node, HAND_IN_S + 0.8 * BOUNDS.cancel_s, event)
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
    produced = feed(node, HAND_IN_S + 0.8 * BOUNDS.cancel_s, answer)
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


def make_settled():
    """
    Return an owner that has read the log for longer than the leases of former owners last.
    """
    node = owner_of([worker_entry("w")])
    now_s = START_S + 2
    while now_s < SETTLED_S:
        now_s = round(now_s + 0.25, 3)
        feed(node, now_s, events.Ticked())
        commit(node, now_s)
        read_back(node, now_s, now_s - 0.02, now_s - 0.02)
    return node


FIXTURES = {"settled": make_settled}


def released_s(node, from_s, until_s, tick_s=0.05, appends=True):
    """
    Let time pass while no read of the log is answered, and return when the log is released.
    """
    now_s = from_s
    while now_s < until_s:
        now_s = round(now_s + tick_s, 3)
        feed(node, now_s, events.Ticked())
        batch = node.journal.in_flight
        if batch is not None and Released(node.ownership.epoch) in batch.records:
            return now_s
        if appends:
            commit(node, now_s)
    return None


# Guards against an owner whose heartbeats keep the log for it while it reads nothing.
def test_an_owner_that_appends_and_does_not_read_releases_the_log(settled):
    """
    An owner whose appends succeed while its reads are not answered appends a release within the
    bound on cancellations, once.
    """
    gone_s = released_s(settled, SETTLED_S, SETTLED_S + 12)
    assert gone_s is not None
    assert gone_s <= SETTLED_S + BOUNDS.cancel_s
    commit(settled, gone_s)
    assert released_s(settled, gone_s, gone_s + 12) is None


# Guards against leases that lapse because no instance can claim a log that was released.
def test_an_owner_that_has_released_the_log_goes_on_until_it_is_claimed(settled):
    """
    After the release the owner keeps its leases, and steps down when it reads another claim.
    """
    gone_s = released_s(settled, SETTLED_S, SETTLED_S + 12)
    commit(settled, gone_s)
    assert settled.ownership.is_owner
    offset = settled.replicated.offset
    claim = tuple(encode_records([Claimed(2, "other", WALL_MS)]))
    feed(settled, gone_s + 1, events.LogRead(offset, claim, offset + 1, gone_s + 1))
    assert not settled.ownership.is_owner


# Guards against a released log that the heartbeats of its last owner keep from being claimed.
def test_a_released_log_is_claimed_although_its_owner_goes_on():
    """
    Records that the owner appends after its release don't delay the claims of other instances.
    """
    node = new_node(Identity("other", WALL_MS, "zone"), BOUNDS)
    feed(node, START_S, events.OperatorRead(1, make_owner_config(), (), START_S))
    feed(node, START_S, events.SnapshotRead(None))
    records = [Claimed(1, "entry", WALL_MS), Released(1)]
    claims = []
    for number in range(20):
        now_s = START_S + 0.15 * number
        data = tuple(encode_records([*records, OwnerHeartbeat(1, round(now_s * 1000))]))
        offset = node.replicated.offset
        produced = feed(node, now_s, events.LogRead(offset, data, offset + len(data), now_s))
        produced += feed(node, now_s, events.Ticked())
        claims += [item for item in produced if getattr(item, "channel", "") == "claim"]
        records = []
    assert claims


def test_a_recent_owner_does_not_release_the_log():
    """
    An owner that reads nothing since its claim keeps the log, as its predecessor may have read no
    better.
    """
    node = owner_of([worker_entry("w")])
    assert released_s(node, START_S + 2, START_S + 2 + BOUNDS.max_lease_s - 0.1) is None


def test_an_owner_that_reads_late_but_often_enough_keeps_the_log(settled):
    """
    Reads that take as long as those of a slow store don't end an ownership.
    """
    for step in range(1, 40):
        now_s = SETTLED_S + 0.25 * step
        assert released_s(settled, now_s - 0.25, now_s) is None
        read_back(settled, now_s, now_s - 0.75, now_s - 0.75)


def test_an_outage_of_the_store_ends_no_ownership(settled):
    """
    An owner that can neither append nor read keeps the log, also if its append is answered first
    when the store is back.
    """
    back_s = SETTLED_S + 6
    assert released_s(settled, SETTLED_S, back_s, appends=False) is None
    commit(settled, back_s)
    assert released_s(settled, back_s, back_s + 0.3) is None
    read_back(settled, back_s + 0.35, back_s + 0.2, back_s + 0.2)
    assert released_s(settled, back_s + 0.35, back_s + 1) is None


# Guards against starts of cancelled jobs by an owner that reads nothing, as with seed 3011.
def test_tasks_of_cancelled_jobs_do_not_start_while_the_owner_reads_nothing():
    """
    In schedules in which the owner can append but not read, cancellations take effect in time.
    """
    for seed in (3011, *range(3012, 3018)):
        result = run_schedule(seed, ("owner_misses_cancels",))
        assert result.violations == (), (seed, result.violations[:3])
