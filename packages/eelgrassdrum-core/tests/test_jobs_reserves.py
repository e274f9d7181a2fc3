"""
Reserves of pools: which pools keep empty instances for their next burst.
"""

from eelgrassdrum_core.jobs import _reserves

POOLS = ("a", "b", "c", "d")
SIZE = 4000.0
USUAL = 9
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


def reserves(bursts, at_s):
    """
    Return the reserve of each pool.
    """
    return [
        _reserves.reserve(bursts, at_s, pool, dict.fromkeys(POOLS, 0.0), USUAL) for pool in POOLS
    ]


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
    Once bursts rotate, the pool with the latest burst and the next one keep the usual reserve.
    """
    bursts = _reserves.Bursts()
    at_s = rotate(bursts, 3)
    assert reserves(bursts, at_s) == [1, 1, USUAL, USUAL]
    at_s = rotate(bursts, 6)
    assert reserves(bursts, at_s) == [1, USUAL, USUAL, 1]


def test_a_burst_out_of_turn_restores_all_reserves():
    """
    After a burst of a pool that wasn't expected, each pool keeps the usual reserve.
    """
    bursts = _reserves.Bursts()
    at_s = rotate(bursts, 5)
    at_s = rotate(bursts, 1, at_s, order=("d", "a"))
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
