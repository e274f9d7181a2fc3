"""
Log lines that say why accepted work does not start.
"""

from eelgrassdrum_core.jobs import Moment, events, model
from eelgrassdrum_core.jobs import _waiting as waiting
from eelgrassdrum_testing.jobs.owner import (
    OWNER_TOKEN,
    START_S,
    commit,
    feed,
    hand_in,
    logged,
    make_owner_config,
    one_step,
    owner_of,
    read_to_end,
    worker_entry,
)

HANDED_IN_S = START_S + 3
TICK_S = 0.25


def run_ticks(node, until_s, from_s=HANDED_IN_S, can_append=True, can_read=True):
    """
    Let the time pass while the store answers all appends or none, and all reads or none, and return
    the effects.
    """
    produced = []
    for tick in range(1, round((until_s - from_s) / TICK_S) + 1):
        at_s = from_s + tick * TICK_S
        while can_append and node.journal.in_flight is not None:
            produced += feed(node, at_s, events.Appended("owner", node.journal.seq, events.OK))
        if can_read:
            produced += read_to_end(node, at_s)
        produced += feed(node, at_s, events.Ticked())
    return produced


def waiting_line(node, until_s=HANDED_IN_S + 2, **options):
    """
    Return the first line about waiting work.
    """
    return logged(run_ticks(node, until_s, **options), "work.waiting")[0]


def one_job(*steps, job="job"):
    """
    Return a job for `hand_in`.
    """
    return [(job, "usual", steps, 0.0)]


def test_full_pool_is_logged():
    """
    Tasks that find no room are logged with the oldest job, its needs and the members of the pool.
    """
    node = owner_of([worker_entry("w", 1000)])
    hand_in(node, one_job(one_step(3)))
    line = waiting_line(node)
    assert (line["pool"], line["cause"], line["job"], line["step"]) == (
        "service",
        waiting.NO_ROOM,
        "job",
        "0.0",
    )
    assert (line["steps"], line["tasks"], line["waiting"]) == (1, 2, 2)
    assert line["need"] == [1000, 100, 0]
    assert line["members"] == {"full": 1}
    assert waiting.MIN_WAIT_S <= line["waited_s"] <= waiting.MIN_WAIT_S + 2 * TICK_S


def test_lines_are_bounded():
    """
    A pool gets one line a second, however many steps wait.
    """
    node = owner_of([worker_entry("w", 1000)])
    for number in range(20):
        hand_in(node, one_job(one_step(3), job=f"job-{number}"))
    lines = logged(run_ticks(node, HANDED_IN_S + 10), "work.waiting")
    assert 8 <= len(lines) <= 10
    assert lines[-1]["steps"] >= 19


def test_work_that_starts_at_once_is_not_logged():
    """
    Work that has room leaves no line.
    """
    node = owner_of([worker_entry("w", 4000)])
    hand_in(node, one_job(one_step(3), one_step(after=(0,))))
    assert logged(run_ticks(node, HANDED_IN_S + 5), "work.waiting") == []


def test_blocked_step_is_not_logged():
    """
    A step that waits for an earlier one is no waiting work.
    """
    node = owner_of([worker_entry("w", 1000)])
    hand_in(node, one_job(one_step(), one_step(9, after=(0,))))
    assert logged(run_ticks(node, HANDED_IN_S + 5), "work.waiting") == []


def test_ended_worker_is_counted():
    """
    A worker that is taken for ended although the registry has its entry is counted as ended.
    """
    node = owner_of([worker_entry("w")])
    ordered = events.InstanceOrderAnswered("m-w", -1, "service", events.OK, "")
    node.fleet.former_workers["m-w"] = {"w": worker_entry("w").incarnation}
    feed(node, HANDED_IN_S, ordered)
    hand_in(node, one_job(one_step()))
    line = waiting_line(node)
    assert (line["cause"], line["members"]) == (waiting.NO_USABLE_WORKER, {"ended": 1})
    assert (line["ended_worker"], line["ended_s_ago"]) == ("w", line["waited_s"])
    feed(node, HANDED_IN_S + 2, events.WorkersRead(2, False, {"w": None}))
    line = waiting_line(node, HANDED_IN_S + 4, from_s=HANDED_IN_S + 2)
    assert (line["cause"], line["members"]) == (waiting.NO_MEMBERS, {})
    assert line["ended_worker"] is None


def test_members_are_counted_by_state():
    """
    Each member of a pool is counted once, by the first state that keeps it from taking a task.
    """
    names = ("away", "leaving", "moving", "kept", "paused", "down", "full")
    node = owner_of([worker_entry(name, 500) for name in names])
    entries = {
        "new": worker_entry("new"),
        "leaving": worker_entry("leaving")._replace(is_draining=True),
    }
    feed(node, HANDED_IN_S, events.WorkersRead(2, False, entries))
    feed(node, HANDED_IN_S, events.HoldFailed("away", "timeout", OWNER_TOKEN))
    node.fleet.draining = {"m-moving": "move", "m-kept": "maintenance", "m-down": "maintenance"}
    node.fleet.down = {"m-down": HANDED_IN_S}
    node.fleet.in_flight = {"m-moving": HANDED_IN_S, "m-kept": HANDED_IN_S}
    node.fleet.pool_of = {"m-moving": "service"}
    node.workers["paused"].no_starts_until_s = HANDED_IN_S + 60
    hand_in(node, one_job(one_step()))
    line = waiting_line(node)
    assert line["members"] == {
        "unreachable": 1,
        "unanswered": 1,
        "draining": 1,
        "instance_moving": 1,
        "instance_maintained": 1,
        "instance_down": 1,
        "paused": 1,
        "full": 1,
    }
    assert line["moving_in"] == 1


def test_unhealthy_members_are_counted():
    """
    Slow workers and those in a silent zone are counted as such while the others are most of the
    pool.
    """
    node = owner_of([worker_entry(name, 500) for name in ("a", "b", "slow", "silent")])
    silent = node.workers["silent"]
    silent.entry = silent.entry._replace(zone="dark")
    node.workers["slow"].slow_until_s = HANDED_IN_S + 60
    hand_in(node, one_job(one_step()))
    commit(node, HANDED_IN_S)
    node.unreachable_zones = frozenset({"dark"})
    at = Moment(HANDED_IN_S, 0)
    candidates = waiting._candidates.pool_candidates(node, at, "service")
    states = waiting._members.count_states(node, at, "service", candidates, None)
    assert states == {"usable": 2, "slow": 1, "silent_zone": 1}


def test_limit_of_the_workspace_is_named():
    """
    Work that the limit of its workspace stops is logged with that cause.
    """
    config = make_owner_config(limit=model.Resources(1000, 0, 0))
    node = owner_of([worker_entry("w")], config)
    hand_in(node, one_job(one_step(2)))
    line = waiting_line(node)
    assert (line["cause"], line["members"]) == (waiting.LIMIT, {"usable": 1})


def test_old_state_is_named():
    """
    Work that waits because the owner reads the log too late is logged with that cause.
    """
    node = owner_of([worker_entry("w", 1000)])
    hand_in(node, one_job(one_step(2)), sent_s=HANDED_IN_S - 0.8)
    assert waiting_line(node, can_read=False)["cause"] == waiting.OLD_STATE


def test_stalled_append_is_named():
    """
    Work that waits because the store takes no append is logged with that cause.
    """
    node = owner_of([worker_entry("w", 1000)])
    hand_in(node, one_job(one_step(2)))
    assert waiting_line(node, can_append=False)["cause"] == waiting.STALLED


def test_other_causes_are_named():
    """
    A label that no worker has, the spread, missing tickets and a gang without room are named.
    """
    cases = [
        (one_step(label="x"), False, waiting.NO_LABEL),
        (one_step(2, max_per_worker=1), False, waiting.SPREAD),
        (one_step(), True, waiting.NO_TICKET),
        (one_step(9, gang=True), False, waiting.GANG_ROOM),
    ]
    for step, has_advice, cause in cases:
        node = owner_of([worker_entry("w")], make_owner_config(has_advice=has_advice))
        hand_in(node, one_job(step))
        assert waiting_line(node)["cause"] == cause


def test_new_owner_starts_counting_anew():
    """
    The times that an earlier ownership has seen are dropped.
    """
    node = owner_of([worker_entry("w", 1000)])
    hand_in(node, one_job(one_step(2)))
    waiting_line(node)
    node.ownership.epoch += 1
    feed(node, HANDED_IN_S + 2.25, events.Ticked())
    assert {since_s for since_s, _count in node.waiting_work.steps.values()} == {HANDED_IN_S + 2.25}


def test_unconfirmed_runs_are_logged():
    """
    Runs on workers that do not answer or are no longer listed are logged with the oldest job.
    """
    node = owner_of([worker_entry("a", 2000), worker_entry("b", 2000)])
    hand_in(node, one_job(one_step(4)))
    commit(node, HANDED_IN_S)
    feed(node, HANDED_IN_S, events.HoldFailed("a", "timeout", OWNER_TOKEN))
    feed(node, HANDED_IN_S, events.WorkersRead(2, False, {"b": None}))
    lines = logged(run_ticks(node, HANDED_IN_S + 4), "work.unconfirmed")
    assert 2 <= len(lines) <= 3
    assert (lines[0]["pool"], lines[0]["job"]) == ("service", "job")
    assert lines[0]["runs"] == {"unreachable": 2, "unlisted": 2}


def test_what_is_known_of_an_awaited_worker_is_logged():
    """
    A worker that does not confirm its runs is logged with its instance and the end of its leases.
    """
    node = owner_of([worker_entry("a", 2000), worker_entry("b", 2000)])
    hand_in(node, one_job(one_step(4)))
    commit(node, HANDED_IN_S)
    feed(node, HANDED_IN_S, events.HoldFailed("a", "timeout", OWNER_TOKEN))
    capacity = model.Resources(2000, 64_000, 0)
    row = model.InstanceRow("m-a", "service", "up", "z", "r1", capacity, "a")
    feed(node, HANDED_IN_S, events.InstancesListed((row,), HANDED_IN_S))
    lines = logged(run_ticks(node, HANDED_IN_S + 4), "worker.awaited")
    assert 2 <= len(lines) <= 3
    assert {(line["worker"], line["state"], line["runs"]) for line in lines} == {
        ("a", "unreachable", 2)
    }
    assert (lines[0]["instance_state"], lines[0]["instance_worker"]) == ("up", "a")
    assert lines[0]["lease_source"] in ("own_lease", "delayed_orders")
    assert 0 < lines[-1]["lease_left_s"] < lines[0]["lease_left_s"]


# Guards against tasks that wait for an order without an outcome, unseen in the log.
def test_runs_that_their_answering_worker_does_not_list_are_logged():
    """
    Runs whose worker answers and does not list them are logged with the state of their orders.
    """
    node = owner_of([worker_entry("w")])
    hand_in(node, one_job(one_step(4)))
    first, second = commit(node, HANDED_IN_S)
    worker = node.workers["w"]
    feed(node, HANDED_IN_S + 1, events.StartAnswered("w", first.key, 1, events.UNKNOWN, "", 0))
    commit(node, HANDED_IN_S + 1)
    worker.orders[second.key].barred_s = HANDED_IN_S + 1
    lines = logged(run_ticks(node, HANDED_IN_S + 4), "work.unconfirmed")
    assert 2 <= len(lines) <= 4
    assert lines[-1]["runs"] == {
        "order_unanswered": 1,
        "order_barred": 1,
        "order_sent": 1,
        "order_not_sent": 1,
    }


def test_runs_on_a_worker_whose_lists_are_late_are_logged():
    """
    Runs that a worker has confirmed are logged again when its latest list is too old.
    """
    node = owner_of([worker_entry("w")])
    hand_in(node, one_job(one_step(1)))
    (order,) = commit(node, HANDED_IN_S)
    feed(node, HANDED_IN_S, events.StartAnswered("w", order.key, 1, events.OK, "", 6000))
    node.workers["w"].rows_s = HANDED_IN_S
    assert logged(run_ticks(node, HANDED_IN_S + 4), "work.unconfirmed") == []
    lines = logged(run_ticks(node, HANDED_IN_S + 8, HANDED_IN_S + 4), "work.unconfirmed")
    assert lines[0]["runs"] == {"lists_late": 1}
