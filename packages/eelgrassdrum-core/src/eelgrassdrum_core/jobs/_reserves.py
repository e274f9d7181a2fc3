"""
Determines how many empty instances a pool keeps for the first work of its next burst.

An instance takes some time to move, so each pool needs a reserve when its demand rises. Holding it
in all pools all the time costs more than the bursts do where the bursts rotate: each pool has one
in turn. Then the pool that has been without a burst for longest is the next one, and only that
pool, and the one whose burst has just begun, need the reserve. Shortly before the burst is due, the
reserve grows to what earlier bursts needed at their beginning, and so does that of any pool whose
burst begins.
"""

import math
import statistics
from collections import deque
from collections.abc import Mapping

import msgspec

from ._replicated_state import PoolBurst

# A burst begins when the demand of a pool exceeds this number of instances and this fraction of the
# highest demand of any pool so far, and has ended below half of that.
MIN_BURST_INSTANCES = 2
BURST_FRACTION = 0.3
# Beginning of a burst, for which instances are moved ahead; about the time of a move and of the
# decision about it.
BEGINNING_S = 2.0
# Instances that were moved ahead are given back if the burst is later than this.
MAX_WAIT_S = 1.0
# Intervals between bursts of which the mean is expected.
MAX_INTERVALS = 8
# A rotation has ended if the next burst is later than expected by this factor.
LATE_FACTOR = 2.0
# Reserve of pools whose burst isn't expected next.
UNEXPECTED_RESERVE = 1
# Time without any task of finite duration after which pools keep no reserve. Bursts begin while
# other pools have work, or after such a time.
IDLE_S = 5.0


class Bursts(msgspec.Struct, eq=False):
    """
    The bursts of the pools so far.

    :param peak: highest demand of any pool, in millicores.
    :param begun_s: when the latest burst of each pool began.
    :param bursting: pools whose latest burst has not ended.
    :param latest: pool with the latest burst, or empty.
    :param intervals_s: times between the beginnings of the latest bursts while these rotate.
    :param needs: highest demand of each pool in the beginning of its latest burst whose beginning
        is over, in millicores.
    :param rise: highest demand in the beginning of the latest burst, or 0 once that is over.
    :param is_rotating: whether the latest burst was that of a pool that was expected to be next.
    :param active_s: when any pool last had demand, or demand was last unknown; ``None`` before.
    """

    peak: float = 0.0
    begun_s: dict[str, float] = {}
    bursting: set[str] = set()
    latest: str = ""
    intervals_s: deque[float] = msgspec.field(default_factory=lambda: deque(maxlen=MAX_INTERVALS))
    needs: dict[str, float] = {}
    rise: float = 0.0
    is_rotating: bool = False
    active_s: float | None = None


def restore(seen: Mapping[str, PoolBurst], log_s: float, now_s: float) -> Bursts:
    """
    Return the bursts that former owners have seen.

    :param seen: latest burst of each pool by the log.
    :param log_s: the current time by the log.
    :param now_s: the current time by this instance's clock.
    :returns: the bursts.
    """
    bursts = Bursts()
    for pool, burst in sorted(seen.items(), key=lambda item: item[1].begun_s):
        begun_s = now_s - (log_s - burst.begun_s)
        if bursts.latest:
            bursts.intervals_s.append(begun_s - bursts.begun_s[bursts.latest])
        bursts.begun_s[pool] = begun_s
        bursts.needs[pool] = burst.millicores
        bursts.peak = max(bursts.peak, burst.millicores)
        bursts.latest = pool
        # Bursts may be missing in the log if their owner was lost soon after they began.
        bursts.is_rotating = burst.is_in_turn and bool(bursts.intervals_s)
    # Which bursts have ended shows once their demand is below the threshold.
    bursts.bursting = set(seen)
    return bursts


def note_demand(
    bursts: Bursts, now_s: float, demands: Mapping[str, float], size: float
) -> str | None:
    """
    Note the demand of the pools, and the bursts that it shows.

    :param bursts: the bursts, updated in place.
    :param now_s: the current time.
    :param demands: for each pool, millicores of tasks of finite duration that run or wait.
    :param size: mean millicores of an instance.
    :returns: the pool whose need in the beginning of a burst has just become known, or ``None``.
    """
    if any(demands.values()):
        bursts.active_s = now_s
    bursts.peak = max(bursts.peak, *demands.values(), 0.0)
    threshold = max(MIN_BURST_INSTANCES * size, BURST_FRACTION * bursts.peak)
    ended = None
    for pool, demand in sorted(demands.items()):
        if demand < threshold / 2:
            bursts.bursting.discard(pool)
        elif demand >= threshold and pool not in bursts.bursting:
            bursts.bursting.add(pool)
            ended = _begin(bursts, now_s, pool, demands) or ended
    return _note_rise(bursts, now_s, demands) or ended


def note_unknown(bursts: Bursts, now_s: float) -> None:
    """
    Note that the demand is unknown, so that its absence afterwards is no sign of idleness.

    :param bursts: the bursts, updated in place.
    :param now_s: the current time.
    """
    if bursts.active_s is not None:
        bursts.active_s = now_s


def _begin(bursts: Bursts, now_s: float, pool: str, pools: Mapping[str, float]) -> str | None:
    ended = None
    if pool == bursts.latest:
        return None
    if bursts.latest:
        expected = expected_pools(bursts, pools)
        # Where every other pool was expected, the burst of one of them shows no order.
        is_evidence = len(expected) < len(pools) - 1
        bursts.is_rotating = pool in expected and is_evidence
        if pool not in expected:
            bursts.intervals_s.clear()
        bursts.intervals_s.append(now_s - bursts.begun_s[bursts.latest])
        ended = _end_beginning(bursts)
    bursts.begun_s[pool] = now_s
    bursts.latest = pool
    return ended


def _note_rise(bursts: Bursts, now_s: float, demands: Mapping[str, float]) -> str | None:
    if not bursts.latest:
        return None
    if now_s - bursts.begun_s[bursts.latest] <= BEGINNING_S:
        bursts.rise = max(bursts.rise, demands.get(bursts.latest, 0.0))
        return None
    return _end_beginning(bursts)


def _end_beginning(bursts: Bursts) -> str | None:
    if not bursts.rise:
        return None
    bursts.needs[bursts.latest] = bursts.rise
    bursts.rise = 0.0
    return bursts.latest


def is_beginning(bursts: Bursts, now_s: float) -> bool:
    """
    Return whether a burst has just begun, so that other pools' surplus may be needed soon.

    :param bursts: the bursts.
    :param now_s: the current time.
    :returns: whether the latest burst is in its beginning.
    """
    begun_s = bursts.begun_s.get(bursts.latest)
    return begun_s is not None and now_s - begun_s <= BEGINNING_S


def expected_pools(bursts: Bursts, pools: Mapping[str, float]) -> set[str]:
    """
    Return the pools that have been without a burst for longest, those without any burst first.

    :param bursts: the bursts.
    :param pools: the pools, of which that with the latest burst is left out.
    :returns: the pools.
    """
    others = {pool: bursts.begun_s.get(pool, -math.inf) for pool in pools if pool != bursts.latest}
    first_s = min(others.values(), default=-math.inf)
    return {pool for pool, begun_s in others.items() if begun_s == first_s}


def reserve(
    bursts: Bursts,
    now_s: float,
    pool: str,
    pools: Mapping[str, float],
    usual: int,
    size: float,
    lead_s: float,
) -> int:
    """
    Return the number of empty instances that a pool should keep.

    :param bursts: the bursts.
    :param now_s: the current time.
    :param pool: the pool.
    :param pools: demand of all pools as it was last noted.
    :param usual: the reserve of a pool about whose next burst nothing is known.
    :param size: mean millicores of an instance.
    :param lead_s: time from a decision until an instance has moved.
    :returns: the number.
    """
    if bursts.active_s is not None and now_s - bursts.active_s >= IDLE_S:
        return 0
    if not bursts.latest:
        return usual
    since_s = now_s - bursts.begun_s[bursts.latest]
    if pool == bursts.latest and since_s <= BEGINNING_S:
        return max(usual, math.ceil((_need(bursts, pool) - pools[pool]) / size))
    if not bursts.is_rotating:
        return usual
    interval_s = statistics.fmean(bursts.intervals_s)
    if since_s >= LATE_FACTOR * interval_s:
        return usual
    expected = expected_pools(bursts, pools)
    if pool not in expected:
        return min(usual, UNEXPECTED_RESERVE)
    if not -lead_s <= since_s - interval_s <= MAX_WAIT_S:
        return usual
    return max(usual, math.ceil(_need(bursts, pool) / size / len(expected)))


def _need(bursts: Bursts, pool: str) -> float:
    """
    Return the demand to expect in the beginning of a pool's burst, in millicores.
    """
    return bursts.needs.get(pool) or statistics.fmean(bursts.needs.values() or (0.0,))
