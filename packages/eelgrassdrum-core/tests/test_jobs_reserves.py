"""
Reserves of pools: which pools keep empty instances for their next burst.
"""

from eelgrassdrum_core.jobs import _fold, _reserves, _snapshot
from eelgrassdrum_core.jobs._records import BurstSeen, Claimed, OwnerHeartbeat
from eelgrassdrum_core.jobs._replicated_state import ReplicatedState

POOLS = ("a", "b", "c", "d")
SIZE = 4000.0
USUAL = 9
LEAD_S = 1.9
TURN_S = 4.5
TROUGH, PEAK = 1000.0, 40_000.0


def rotate(bursts, turns, start_s=0.0, order=POOLS):
    """
    Let the pools have bursts in turn, and return the time of the last demand that was noted.
    """
    tenths = round(turns * TURN_S * 10)
    for tenth in range(tenths):
        at_s = start_s + tenth / 10
        busy = order[int(tenth / 10 / TURN_S) % len(order)]
        demands = {pool: PEAK if pool == busy else TROUGH for pool in POOLS}
        _reserves.note_demand(bursts, at_s, demands, SIZE)
    return start_s + (tenths - 1) / 10


def reserves(bursts, at_s, demand=PEAK):
    """
    Return the reserve of each pool while all have some demand.
    """
    pools = dict.fromkeys(POOLS, demand)
    return [_reserves.reserve(bursts, at_s, pool, pools, USUAL, SIZE, LEAD_S) for pool in POOLS]


def test_all_pools_keep_the_usual_reserve_before_any_demand():
    """
    Nothing is known about bursts of a new owner, however long it waits for the first one.
    """
    assert reserves(_reserves.Bursts(), 100.0) == [USUAL] * 4


def test_two_bursts_show_no_order():
    """
    Two bursts of different pools don't show that bursts rotate.
    """
    bursts = _reserves.Bursts()
    at_s = rotate(bursts, 2)
    assert reserves(bursts, at_s) == [USUAL] * 4


def test_the_pool_that_is_next_keeps_the_reserve():
    """
    Once bursts rotate, the pool whose burst has just begun and the next one keep the usual reserve.
    """
    bursts = _reserves.Bursts()
    at_s = rotate(bursts, 2.2)
    assert reserves(bursts, at_s) == [1, 1, USUAL, USUAL]
    at_s += 1.5
    assert reserves(bursts, at_s) == [1, 1, 1, USUAL]
    bursts = _reserves.Bursts()
    at_s = rotate(bursts, 2.4)
    assert reserves(bursts, at_s) == [1, 1, USUAL, USUAL]
    bursts = _reserves.Bursts()
    at_s = rotate(bursts, 5.4)
    assert reserves(bursts, at_s) == [1, USUAL, USUAL, 1]


def test_the_reserve_grows_before_the_burst_is_due():
    """
    Instances for the beginning of a burst are moved ahead of it, and not much earlier.
    """
    bursts = _reserves.Bursts()
    due_s = 5 * TURN_S
    rotate(bursts, 4.5)
    assert reserves(bursts, due_s - LEAD_S - 0.2) == [1, USUAL, 1, 1]
    assert reserves(bursts, due_s - LEAD_S + 0.2) == [1, PEAK / SIZE, 1, 1]


def test_the_reserve_grows_when_a_burst_begins():
    """
    The first demand of a burst is followed by as much as other bursts had at their beginning.
    """
    bursts = _reserves.Bursts()
    at_s = rotate(bursts, 1.1)
    assert reserves(bursts, at_s, PEAK / 4) == [USUAL] * 4
    bursts.needs = {"a": 4 * PEAK}
    assert reserves(bursts, at_s, PEAK) == [USUAL, 3 * PEAK / SIZE, USUAL, USUAL]


def test_pools_that_may_be_next_share_the_instances_moved_ahead():
    """
    If two pools may be next, each gets half of what a burst has needed so far, if that is more than
    the usual reserve.
    """
    bursts = _reserves.Bursts()
    rotate(bursts, 2.9)
    bursts.needs = dict.fromkeys(bursts.needs, 4 * PEAK)
    assert reserves(bursts, 3 * TURN_S) == [1, 1, 1, 4 * PEAK / SIZE]
    bursts.begun_s.pop("b")
    assert reserves(bursts, 3 * TURN_S) == [1, 2 * PEAK / SIZE, 1, 2 * PEAK / SIZE]


def test_instances_moved_ahead_are_given_back():
    """
    If the burst that was due doesn't come, the reserve shrinks to the usual one.
    """
    bursts = _reserves.Bursts()
    rotate(bursts, 4.5)
    assert reserves(bursts, 5 * TURN_S + 1.2) == [1, USUAL, 1, 1]


def test_a_burst_out_of_turn_restores_all_reserves():
    """
    After a burst of a pool that wasn't expected, each pool keeps the usual reserve.
    """
    bursts = _reserves.Bursts()
    at_s = rotate(bursts, 5)
    at_s = rotate(bursts, 0.5, at_s, order=("d", "a"))
    assert reserves(bursts, at_s) == [USUAL] * 4


def test_a_burst_that_is_late_restores_all_reserves():
    """
    If no burst follows for twice the usual time, each pool keeps the usual reserve.
    """
    bursts = _reserves.Bursts()
    at_s = rotate(bursts, 3)
    late_s = at_s + 2 * TURN_S
    _reserves.note_demand(bursts, late_s, dict.fromkeys(POOLS, TROUGH), SIZE)
    assert reserves(bursts, late_s) == [USUAL] * 4


def test_idle_pools_keep_no_reserve():
    """
    When no pool has had any work for some time, none keeps a reserve.
    """
    bursts = _reserves.Bursts()
    at_s = rotate(bursts, 3)
    _reserves.note_demand(bursts, at_s + 6, dict.fromkeys(POOLS, 0.0), SIZE)
    assert reserves(bursts, at_s + 6) == [0] * 4


def test_unknown_demand_is_not_taken_for_idleness():
    """
    While the store is away no work is seen, and the reserves are kept for the work that follows.
    """
    bursts = _reserves.Bursts()
    at_s = rotate(bursts, 3)
    for tenth in range(100):
        _reserves.note_unknown(bursts, at_s + tenth / 10)
    assert 0 not in reserves(bursts, at_s + 10.0)


def test_small_demand_is_no_burst():
    """
    Demand below two instances begins no burst, nor does a fraction of the highest demand so far.
    """
    bursts = _reserves.Bursts()
    _reserves.note_demand(bursts, 0.0, {"a": 1.9 * SIZE, "b": 0.0}, SIZE)
    assert not bursts.begun_s
    _reserves.note_demand(bursts, 1.0, {"a": 0.0, "b": PEAK}, SIZE)
    _reserves.note_demand(bursts, 2.0, {"a": 0.2 * PEAK, "b": PEAK}, SIZE)
    assert set(bursts.begun_s) == {"b"}


def replicate(bursts, pools):
    """
    Return the replicated state after an owner has recorded bursts, two seconds after each began.
    """
    replicated = ReplicatedState()
    records = [Claimed(1, "owner", 1, keeps_bounds=True), OwnerHeartbeat(1, 0)]
    for pool in pools:
        begun_ms = round(bursts.begun_s[pool] * 1000)
        records.append(OwnerHeartbeat(1, begun_ms + 2000))
        records.append(BurstSeen(1, pool, begun_ms, round(PEAK), bursts.is_rotating))
    for record in records:
        _fold.apply(replicated, record, 100.0, 0)
    return replicated


def test_a_new_owner_knows_the_bursts_of_former_owners():
    """
    The records of bursts tell a new owner which pool is next, when, and what it needs.
    """
    bursts = _reserves.Bursts()
    rotate(bursts, 4.5)
    replicated = replicate(bursts, ("b", "c", "d", "a"))
    data = _snapshot.encode(replicated, 100.0, 0)
    for state in (replicated, _snapshot.decode(data, 100.0, 0)):
        # The latest burst began 2 s ago by the log's time, and the next one is due in 2.5 s.
        restored = _reserves.restore(state.bursts, state.log_s, 500.0)
        assert restored.latest == "a" and restored.is_rotating
        assert reserves(restored, 500.1) == [1, USUAL, 1, 1]
        assert reserves(restored, 501.0) == [1, PEAK / SIZE, 1, 1]


def test_a_burst_whose_predecessors_are_missing_gives_no_order():
    """
    A new owner that finds a single burst in the log knows its need, and no interval.
    """
    bursts = _reserves.Bursts()
    rotate(bursts, 4.5)
    replicated = replicate(bursts, ("a",))
    restored = _reserves.restore(replicated.bursts, replicated.log_s, 500.0)
    assert restored.needs == {"a": PEAK}
    assert reserves(restored, 503.0) == [USUAL] * 4


def test_a_burst_that_goes_on_does_not_begin_again_for_a_new_owner():
    """
    Demand that is left of a recorded burst isn't taken for another one of the same pool.
    """
    bursts = _reserves.Bursts()
    rotate(bursts, 4.5)
    replicated = replicate(bursts, ("b", "c", "d", "a"))
    restored = _reserves.restore(replicated.bursts, replicated.log_s, 500.0)
    _reserves.note_demand(restored, 500.0, dict.fromkeys(POOLS, PEAK), SIZE)
    assert restored.latest == "a" and restored.is_rotating


def test_the_need_of_a_burst_is_told_once():
    """
    Noting demand returns the pool once the beginning of its burst is over, and never twice.
    """
    bursts = _reserves.Bursts()
    told = []
    for tenth in range(60):
        demands = {"a": PEAK, "b": 0.0}
        told.append(_reserves.note_demand(bursts, tenth / 10, demands, SIZE))
    assert [(number, pool) for number, pool in enumerate(told) if pool] == [(21, "a")]
