"""
Foretells the waves of a maintenance round by planning one after the other.
"""

from typing import NamedTuple

from ._waves_planner import WaveBudget, WaveInstance, WaveStop, WaveView, plan_wave

MAX_WAVES = 1000


class PlannedWave(NamedTuple):
    """
    One wave of a preview.

    :param stops: what stops.
    :param margin: the least room that any touched budget has left meanwhile.
    """

    stops: tuple[WaveStop, ...]
    margin: int


def preview(view: WaveView) -> list[PlannedWave]:
    """
    Plan the whole round as if each wave ended before the next and nothing failed.

    :param view: the pools and budgets now.
    :returns: the waves; the last ones are missing when a budget lets nothing stop.
    """
    waves: list[PlannedWave] = []
    # What is under way now comes back first.
    view = view._replace(budgets={name: _returned(room) for name, room in view.budgets.items()})
    while len(waves) < MAX_WAVES:
        stops = plan_wave(view)
        if not stops:
            break
        waves.append(PlannedWave(tuple(stops), _margin(view, stops)))
        view = apply_wave(view, stops)
    return waves


def apply_wave(view: WaveView, stops: list[WaveStop]) -> WaveView:
    """
    Give the view once the stops of a wave have come back.

    :param view: the view before.
    :param stops: the wave.
    :returns: the view after.
    """
    targets = {stop.instance: stop.target for stop in stops}
    moved: dict[str, list[WaveInstance]] = {pool.name: [] for pool in view.pools}
    for pool in view.pools:
        for item in pool.instances:
            if item.id in targets:
                moved[targets[item.id]].append(item._replace(is_due=False))
    pools = []
    rooms = {name: room.headroom for name, room in view.budgets.items()}
    for pool in view.pools:
        stay = tuple(item for item in pool.instances if item.id not in targets)
        growth = len(moved[pool.name]) - (len(pool.instances) - len(stay))
        rooms[pool.budget] += growth
        instances = stay + tuple(moved[pool.name])
        pools.append(pool._replace(instances=instances, size=pool.size + growth))
    budgets = {name: WaveBudget(room, 0) for name, room in rooms.items()}
    return view._replace(pools=tuple(pools), budgets=budgets)


def _returned(budget: WaveBudget) -> WaveBudget:
    return WaveBudget(budget.headroom + budget.under_way, 0)


def _margin(view: WaveView, stops: list[WaveStop]) -> int:
    budget_of = {pool.name: pool.budget for pool in view.pools}
    served = {pool.budget for pool in view.pools if not pool.spare}
    used: dict[str, int] = {}
    for stop in stops:
        name = budget_of[stop.origin]
        used[name] = used.get(name, 0) + 1
    return min(
        (view.budgets[n].headroom - count for n, count in used.items() if n in served), default=0
    )
