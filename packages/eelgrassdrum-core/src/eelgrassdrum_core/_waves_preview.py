"""
Preview of the waves of a maintenance round, planned one after another.
"""

from typing import NamedTuple

from ._waves_planner import WaveBudget, WaveInstance, WaveStop, WaveView, plan_wave

MAX_WAVES = 1000


class PlannedWave(NamedTuple):
    """
    One wave of a preview.

    :param stops: the planned stops.
    :param margin: smallest headroom during the wave among the affected budgets, except those of
        spare pools.
    """

    stops: tuple[WaveStop, ...]
    margin: int


def preview(view: WaveView) -> list[PlannedWave]:
    """
    Plan the whole round, assuming that each wave ends before the next one and that nothing fails.

    :param view: the current pools and budgets.
    :returns: the waves; incomplete when a budget doesn't let the remaining instances stop.
    """
    waves: list[PlannedWave] = []
    # Assumes that the stops under way end before the first wave.
    view = view._replace(budgets={name: _end_stops(item) for name, item in view.budgets.items()})
    while len(waves) < MAX_WAVES:
        stops = plan_wave(view)
        if not stops:
            break
        waves.append(PlannedWave(tuple(stops), _min_headroom(view, stops)))
        view = apply_wave(view, stops)
    return waves


def apply_wave(view: WaveView, stops: list[WaveStop]) -> WaveView:
    """
    Return the view after the instances of a wave have returned to service.

    :param view: the view before the wave.
    :param stops: stops of the wave.
    :returns: the view after the wave.
    """
    targets = {stop.instance: stop.target for stop in stops}
    moved: dict[str, list[WaveInstance]] = {pool.name: [] for pool in view.pools}
    for pool in view.pools:
        for item in pool.instances:
            if item.id in targets:
                moved[targets[item.id]].append(item._replace(is_due=False))
    pools = []
    headrooms = {name: budget.headroom for name, budget in view.budgets.items()}
    for pool in view.pools:
        remaining = tuple(item for item in pool.instances if item.id not in targets)
        growth = len(moved[pool.name]) - (len(pool.instances) - len(remaining))
        headrooms[pool.budget] += growth
        instances = remaining + tuple(moved[pool.name])
        pools.append(pool._replace(instances=instances, size=pool.size + growth))
    budgets = {name: WaveBudget(headroom, 0) for name, headroom in headrooms.items()}
    return view._replace(pools=tuple(pools), budgets=budgets)


def _end_stops(budget: WaveBudget) -> WaveBudget:
    return WaveBudget(budget.headroom + budget.under_way, 0)


def _min_headroom(view: WaveView, stops: list[WaveStop]) -> int:
    """
    Return the smallest headroom that a wave leaves in the budgets of the pools that it affects,
    except spare pools.
    """
    budget_by_pool = {pool.name: pool.budget for pool in view.pools}
    serving = {pool.budget for pool in view.pools if not pool.spare}
    used: dict[str, int] = {}
    for stop in stops:
        name = budget_by_pool[stop.origin]
        used[name] = used.get(name, 0) + 1
    return min(
        (view.budgets[n].headroom - count for n, count in used.items() if n in serving), default=0
    )
