"""
Chooses the next stops of a maintenance round: a pure function on plain data.

Each budget is used up at once, so the round takes as many steps as the slowest budget needs. Spare
instances, and instances that a pool holds beyond its target, are sent where most steps are left:
a move reboots an instance too, so it counts as its maintenance.
"""

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

import msgspec


class WaveInstance(NamedTuple):
    """
    An instance that may stop.

    :param id: id of the instance.
    :param zone: availability zone.
    :param rack: failure domain in the zone.
    :param is_due: whether it is to be maintained; a spare one may be used although it is not.
    """

    id: str
    zone: str
    rack: str
    is_due: bool


class WavePool(NamedTuple):
    """
    A pool as the planner sees it.

    :param name: ``WORKSPACE/POOL``.
    :param role: instances move only between pools of one role.
    :param budget: what its stops draw on: its service, or itself.
    :param spare: whether its instances wait for use elsewhere.
    :param min: least size.
    :param target: size that the configuration asks for.
    :param max: largest size.
    :param size: members once the moves under way have ended.
    :param instances: members in service that may stop, the oldest boot first.
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
    A budget as the planner sees it.

    :param headroom: instances that may stop now.
    :param under_way: instances that are out of service for moves and maintenance.
    :param zones: zones of those instances.
    """

    headroom: int
    under_way: int
    zones: tuple[str, ...] = ()


class WaveView(NamedTuple):
    """
    All that the planner looks at.

    :param pools: the pools of one document.
    :param budgets: budgets by name.
    :param uses_spare: whether spare instances may be used to be done sooner.
    """

    pools: tuple[WavePool, ...]
    budgets: dict[str, WaveBudget]
    uses_spare: bool = True


class WaveStop(NamedTuple):
    """
    One instance is to stop and come back in a pool.

    :param instance: id of the instance.
    :param origin: its pool.
    :param target: the pool that it comes to, its own or another.
    """

    instance: str
    origin: str
    target: str


class _Draft(msgspec.Struct):
    """
    A pool while a wave is planned.

    :param left: instances that may still be chosen.
    :param due: how many of them are due.
    :param racks: how many of them are due in each rack.
    :param width: instances that may be out of service at the same time.
    """

    pool: WavePool
    left: list[WaveInstance]
    due: int
    racks: Counter[str]
    width: int
    headroom: int
    size: int


def plan_wave(view: WaveView, limit: int | None = None) -> list[WaveStop]:
    """
    Choose the instances that stop now, from the slowest budgets first.

    :param view: the pools and budgets.
    :param limit: number of stops after which no further pool is looked at, or ``None``.
    :returns: the stops, each within the budgets when taken in this order.
    """
    drafts = _make_drafts(view)
    stops: list[WaveStop] = []
    for draft in sorted(drafts, key=_steps, reverse=True):
        if limit is not None and len(stops) >= limit:
            return stops
        if not draft.pool.spare:
            stops += _stop_pool(draft, drafts, view)
    for draft in drafts:
        if draft.pool.spare:
            stops += _use_spares(draft, drafts, view)
    return stops


def waves_left(due: int, width: int) -> int:
    """
    Give the least number of steps in which a budget's instances can be maintained.

    :param due: instances that are due.
    :param width: instances that may be out of service at the same time.
    :returns: steps; very many when nothing may stop.
    """
    return 0 if due <= 0 else -(-due // width) if width > 0 else due * 1000


def _make_drafts(view: WaveView) -> list[_Draft]:
    drafts = []
    for pool in view.pools:
        budget = view.budgets[pool.budget]
        due = sum(item.is_due for item in pool.instances)
        width = max(0, budget.headroom) + budget.under_way
        left = list(pool.instances)
        racks = Counter(item.rack for item in left if item.is_due)
        drafts.append(_Draft(pool, left, due, racks, width, budget.headroom, pool.size))
    return drafts


def _stop_pool(draft: _Draft, drafts: Sequence[_Draft], view: WaveView) -> list[WaveStop]:
    stops = []
    zones = list(view.budgets[draft.pool.budget].zones)
    sharing = [other for other in drafts if other.pool.budget == draft.pool.budget]
    while draft.headroom > 0 and draft.due > 0:
        chosen = _choose(draft, zones)
        _take(draft, chosen)
        zones.append(chosen.zone)
        for other in sharing:
            other.headroom -= 1
        target = _better_pool(draft, drafts)
        _send(draft, target)
        stops.append(WaveStop(chosen.id, draft.pool.name, target.pool.name))
    return stops


def _use_spares(spare: _Draft, drafts: Sequence[_Draft], view: WaveView) -> list[WaveStop]:
    stops = []
    while view.uses_spare and spare.left and spare.size > spare.pool.min:
        target = _slowest(spare, drafts)
        if target is None or not _helps(target):
            break
        chosen = max(spare.left, key=lambda item: item.is_due)
        _take(spare, chosen)
        _send(spare, target)
        stops.append(WaveStop(chosen.id, spare.pool.name, target.pool.name))
    # What no pool needs is maintained where it is; spare instances serve nothing.
    stops += [
        WaveStop(item.id, spare.pool.name, spare.pool.name) for item in spare.left if item.is_due
    ]
    return stops


def _choose(draft: _Draft, zones: Sequence[str]) -> WaveInstance:
    """
    Choose a due instance of a zone in which the wave already is, then of the fullest rack.
    """

    def order(item: WaveInstance) -> tuple[bool, int]:
        return bool(zones) and item.zone not in zones, -draft.racks[item.rack]

    return min((item for item in draft.left if item.is_due), key=order)


def _take(draft: _Draft, item: WaveInstance) -> None:
    draft.left.remove(item)
    draft.due -= item.is_due
    draft.racks[item.rack] -= item.is_due


def _send(origin: _Draft, target: _Draft) -> None:
    if target is origin:
        return
    origin.size -= 1
    origin.width -= 1
    target.size += 1
    target.width += 1


def _better_pool(draft: _Draft, drafts: Sequence[_Draft]) -> _Draft:
    """
    Choose where an instance comes back: its own pool, unless that has more than its target and
    another pool is slower, or nothing is left to do for the surplus.
    """
    surplus = draft.size - draft.pool.target
    if surplus <= 0:
        return draft
    slowest = _slowest(draft, drafts)
    after = waves_left(draft.due, draft.width - 1)
    if slowest is not None and _helps(slowest) and after < _steps(slowest):
        return slowest
    if draft.due < surplus:
        return _spare_pool(draft, drafts) or draft
    return draft


def _slowest(origin: _Draft, drafts: Sequence[_Draft]) -> _Draft | None:
    able = [
        other
        for other in drafts
        if other is not origin
        and not other.pool.spare
        and other.pool.role == origin.pool.role
        and other.size < other.pool.max
        and other.due > 0
    ]
    return max(able, key=_steps, default=None)


def _helps(draft: _Draft) -> bool:
    # An instance arrives one step later, so it helps only with what is left after that.
    left = draft.due - max(0, draft.width)
    return waves_left(left, draft.width + 1) < waves_left(left, draft.width)


def _steps(draft: _Draft) -> int:
    return waves_left(draft.due, draft.width)


def _spare_pool(origin: _Draft, drafts: Sequence[_Draft]) -> _Draft | None:
    able = [
        other
        for other in drafts
        if other.pool.spare and other.pool.role == origin.pool.role and other.size < other.pool.max
    ]
    return able[0] if able else None
