"""
Planner that chooses the next stops of a maintenance round, a pure function on plain data.

Each wave uses the whole headroom of every budget, so the round takes as many waves as the slowest
budget needs. Spare instances, and instances of a pool above its target size, move to the pools with
the most waves left, where they raise the budget. A move also reboots the instance, so it counts as
the maintenance of this instance.
"""

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

import msgspec


class WaveInstance(NamedTuple):
    """
    An instance that may be stopped.

    :param id: id of the instance.
    :param zone: availability zone.
    :param rack: failure domain in the zone.
    :param is_due: whether it is due for maintenance; a spare instance may be moved even if not due.
    """

    id: str
    zone: str
    rack: str
    is_due: bool


class WavePool(NamedTuple):
    """
    Input of the planner for one pool.

    :param name: ``WORKSPACE/POOL``.
    :param role: ``endpoint`` or ``worker``; instances move only between pools of the same role.
    :param budget: name of the budget that applies: the service, or the pool without a service.
    :param spare: whether its instances are a reserve for other pools.
    :param min: minimum size.
    :param target: configured size.
    :param max: maximum size.
    :param size: number of members after the moves under way have completed.
    :param instances: members in service that may be stopped, the oldest boot first.
    """

    name: str
    role: str
    budget: str
    spare: bool
    min: int
    target: int
    max: int
    size: int
    instances: tuple[WaveInstance, ...]


class WaveBudget(NamedTuple):
    """
    Input of the planner for one availability budget.

    :param headroom: number of instances that may stop now.
    :param under_way: number of instances out of service for moves and maintenance.
    :param zones: availability zones of the latter.
    """

    headroom: int
    under_way: int
    zones: tuple[str, ...] = ()


class WaveView(NamedTuple):
    """
    Input of the planner.

    :param pools: the pools of one document.
    :param budgets: budgets by name.
    :param uses_spare: whether spare instances may move to shorten the round.
    """

    pools: tuple[WavePool, ...]
    budgets: dict[str, WaveBudget]
    uses_spare: bool = True


class WaveStop(NamedTuple):
    """
    A planned stop of one instance, which then returns to service in a pool.

    :param instance: id of the instance.
    :param origin: pool that it leaves.
    :param target: pool that it joins, the same or another.
    """

    instance: str
    origin: str
    target: str


class _PoolPlan(msgspec.Struct):
    """
    Mutable state of one pool while a wave is planned.

    :param candidates: instances that may still be chosen.
    :param due: number of candidates that are due.
    :param racks: number of candidates that are due, by rack.
    :param max_parallel: number of instances that may be out of service at the same time.
    :param headroom: number of instances that may still stop in this wave.
    :param size: number of members after the planned moves.
    """

    pool: WavePool
    candidates: list[WaveInstance]
    due: int
    racks: Counter[str]
    max_parallel: int
    headroom: int
    size: int


def plan_wave(view: WaveView, limit: int | None = None) -> list[WaveStop]:
    """
    Choose the instances that stop now, starting with the slowest budgets.

    :param view: the pools and budgets.
    :param limit: number of stops after which no further pool is planned, or ``None``.
    :returns: the stops, which respect the budgets when they are started in this order.
    """
    plans = _build_plans(view)
    stops: list[WaveStop] = []
    for plan in sorted(plans, key=_pool_waves_left, reverse=True):
        if limit is not None and len(stops) >= limit:
            return stops
        if not plan.pool.spare:
            stops += _plan_stops(plan, plans, view)
    for plan in plans:
        if plan.pool.spare:
            stops += _plan_spare_stops(plan, plans, view)
    return stops


def waves_left(due: int, max_parallel: int) -> int:
    """
    Return the minimum number of waves in which the due instances can be maintained.

    :param due: number of instances that are due.
    :param max_parallel: number of instances that may be out of service at the same time.
    :returns: number of waves; a very large number, in proportion to ``due``, when nothing may stop.
    """
    return 0 if due <= 0 else -(-due // max_parallel) if max_parallel > 0 else due * 1000


def _build_plans(view: WaveView) -> list[_PoolPlan]:
    plans = []
    for pool in view.pools:
        budget = view.budgets[pool.budget]
        due = sum(item.is_due for item in pool.instances)
        max_parallel = max(0, budget.headroom) + budget.under_way
        candidates = list(pool.instances)
        racks = Counter(item.rack for item in candidates if item.is_due)
        plans.append(
            _PoolPlan(pool, candidates, due, racks, max_parallel, budget.headroom, pool.size)
        )
    return plans


def _plan_stops(plan: _PoolPlan, plans: Sequence[_PoolPlan], view: WaveView) -> list[WaveStop]:
    stops = []
    zones = list(view.budgets[plan.pool.budget].zones)
    sharing = [other for other in plans if other.pool.budget == plan.pool.budget]
    while plan.headroom > 0 and plan.due > 0:
        chosen = _choose_instance(plan, zones)
        _remove_candidate(plan, chosen)
        zones.append(chosen.zone)
        for other in sharing:
            other.headroom -= 1
        target = _choose_return_pool(plan, plans)
        _transfer_instance(plan, target)
        stops.append(WaveStop(chosen.id, plan.pool.name, target.pool.name))
    return stops


def _plan_spare_stops(
    spare: _PoolPlan, plans: Sequence[_PoolPlan], view: WaveView
) -> list[WaveStop]:
    stops = []
    while view.uses_spare and spare.candidates and spare.size > spare.pool.min:
        target = _find_slowest(spare, plans)
        if target is None or not _gains_from_instance(target):
            break
        chosen = max(spare.candidates, key=lambda item: item.is_due)
        _remove_candidate(spare, chosen)
        _transfer_instance(spare, target)
        stops.append(WaveStop(chosen.id, spare.pool.name, target.pool.name))
    # The remaining spare instances are maintained in place; no budget applies because they serve no
    # requests.
    stops += [
        WaveStop(item.id, spare.pool.name, spare.pool.name)
        for item in spare.candidates
        if item.is_due
    ]
    return stops


def _choose_instance(plan: _PoolPlan, zones: Sequence[str]) -> WaveInstance:
    """
    Choose a due instance, preferably in a zone that the wave already affects, then in the rack with
    the most due instances.
    """

    def order(item: WaveInstance) -> tuple[bool, int]:
        return bool(zones) and item.zone not in zones, -plan.racks[item.rack]

    return min((item for item in plan.candidates if item.is_due), key=order)


def _remove_candidate(plan: _PoolPlan, item: WaveInstance) -> None:
    plan.candidates.remove(item)
    plan.due -= item.is_due
    plan.racks[item.rack] -= item.is_due


def _transfer_instance(origin: _PoolPlan, target: _PoolPlan) -> None:
    if target is origin:
        return
    origin.size -= 1
    origin.max_parallel -= 1
    target.size += 1
    target.max_parallel += 1


def _choose_return_pool(plan: _PoolPlan, plans: Sequence[_PoolPlan]) -> _PoolPlan:
    """
    Choose the pool that an instance joins after its stop.

    This is its own pool unless that is above its target size. In this case it is a slower pool, or
    a spare pool when the surplus exceeds the number of instances still due.
    """
    surplus = plan.size - plan.pool.target
    if surplus <= 0:
        return plan
    slowest = _find_slowest(plan, plans)
    after = waves_left(plan.due, plan.max_parallel - 1)
    if slowest is not None and _gains_from_instance(slowest) and after < _pool_waves_left(slowest):
        return slowest
    if plan.due < surplus:
        return _find_spare_pool(plan, plans) or plan
    return plan


def _find_slowest(origin: _PoolPlan, plans: Sequence[_PoolPlan]) -> _PoolPlan | None:
    candidates = [
        other
        for other in plans
        if other is not origin
        and not other.pool.spare
        and other.pool.role == origin.pool.role
        and other.size < other.pool.max
        and other.due > 0
    ]
    return max(candidates, key=_pool_waves_left, default=None)


def _gains_from_instance(plan: _PoolPlan) -> bool:
    # A moved instance arrives one wave later, so it only helps with the instances due after that.
    remaining = plan.due - max(0, plan.max_parallel)
    return waves_left(remaining, plan.max_parallel + 1) < waves_left(remaining, plan.max_parallel)


def _pool_waves_left(plan: _PoolPlan) -> int:
    return waves_left(plan.due, plan.max_parallel)


def _find_spare_pool(origin: _PoolPlan, plans: Sequence[_PoolPlan]) -> _PoolPlan | None:
    candidates = [
        other
        for other in plans
        if other.pool.spare and other.pool.role == origin.pool.role and other.size < other.pool.max
    ]
    return candidates[0] if candidates else None
