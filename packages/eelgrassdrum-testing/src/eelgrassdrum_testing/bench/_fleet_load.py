"""
A fleet in memory under a steady load, for measures of requests, overload and endpoints.
"""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from eelgrassdrum_core import Tuning

from .._harness import TeamPlan, World, advance, make_fleet, start_load

# The teams' limits are out of the way here.
TEAMS = (TeamPlan("judges", 2.0, 500), TeamPlan("members", 1.0, 500))
ENTRIES_PER_ZONE = 3
ENDPOINTS_PER_ZONE = 2
SLOTS = 4
RUN_S = 0.1
ZONES = 3
# Allowances and numbers of the zone have settled after this time.
SETTLE_S = 6.0
DRAIN_S = 6.0
CAPACITY_PER_S = ZONES * ENDPOINTS_PER_ZONE * SLOTS / RUN_S


class LoadResult(NamedTuple):
    """
    What a load showed.

    :param world: the fleet afterwards.
    :param goodput_per_s: answers given during the load, for each second of it.
    :param waits_s: seconds until each answer, sorted.
    :param refusals: refusals by code.
    :param refusal_s: mean seconds until a refusal.
    :param refused_attempts: attempts that endpoints refused.
    """

    world: World
    goodput_per_s: float
    waits_s: list[float]
    refusals: Counter[str]
    refusal_s: float
    refused_attempts: int


def make_world(seed: int, **tuning: object) -> World:
    """
    Start the fleet.

    :param seed: seed of every random choice.
    :param tuning: settings of the decisions.
    :returns: the fleet at rest.
    """
    return make_fleet(
        seed,
        entries_per_zone=ENTRIES_PER_ZONE,
        endpoints_per_zone=ENDPOINTS_PER_ZONE,
        slots=SLOTS,
        run_s=RUN_S,
        teams=TEAMS,
        tuning=Tuning(**tuning) if tuning else None,
        settle_s=SETTLE_S,
    )


def run_load(
    seed: int,
    rate: float,
    seconds: float,
    prepare: Callable[[World], None] | None = None,
    **tuning: object,
) -> LoadResult:
    """
    Run a load on a new fleet.

    :param seed: seed of every random choice.
    :param rate: requests a second.
    :param seconds: for how long.
    :param prepare: changes the fleet before the load begins.
    :param tuning: settings of the decisions.
    :returns: what it showed.
    """
    world = make_world(seed, **tuning)
    if prepare is not None:
        prepare(world)
    start_load(world, rate, seconds)
    end_s = world.now_s + seconds
    advance(world, seconds + DRAIN_S)
    took = [(o, o.at_s - world.submissions[o.token].at_s) for o in world.outcomes]
    waits_s = sorted(took_s for o, took_s in took if o.answer is not None)
    refused_s = [took_s for o, took_s in took if o.refusal is not None]
    return LoadResult(
        world,
        sum(o.answer is not None and o.at_s <= end_s for o in world.outcomes) / seconds,
        waits_s,
        Counter(o.refusal.code.name for o, _ in took if o.refusal is not None),
        sum(refused_s) / max(1, len(refused_s)),
        world.refused,
    )


def mean(values: list[float]) -> float:
    """
    Give the mean of some values.

    :param values: the values.
    :returns: their mean, 0 when there are none.
    """
    return sum(values) / max(1, len(values))


def quantile(values: list[float], part: float) -> float:
    """
    Give a quantile of sorted values.

    :param values: the values, sorted.
    :param part: from 0 to 1.
    :returns: the value.
    """
    return values[min(len(values) - 1, int(part * len(values)))]
