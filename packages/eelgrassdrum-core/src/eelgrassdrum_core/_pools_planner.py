"""
Planner that chooses moves between pools, a pure function on plain data.

A greedy algorithm moves one instance at a time from the pool whose last instance has the lowest
marginal value to the pool whose next instance has the highest one, as long as the gain over
`PAYBACK_S` exceeds the cost of the move. The greedy allocation is optimal because the marginal
value never increases with the size of a pool. The cost of a move adds hysteresis, which keeps pools
from exchanging instances back and forth.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

UNSERVED_WEIGHT = 4.0
RESERVE_VALUE = 0.05
PAYBACK_S = 900.0
MOVE_DURATION_S = 60.0
MOVES_PER_PLAN = 4


class Weights(NamedTuple):
    """
    Weights of the objectives that the owner of the fleet has set.
    """

    roll_out_time: float = 1.0
    buffer_cost: float = 1.0
    closeness_to_share: float = 1.0


class PoolNeed(NamedTuple):
    """
    Input of the planner for one pool.

    :param name: ``WORKSPACE/POOL``.
    :param role: ``endpoint`` or ``worker``; instances move only between pools of the same role.
    :param min: minimum size.
    :param target: configured size.
    :param max: maximum size.
    :param spare: whether its instances are a reserve for other pools.
    :param size: number of members after the moves under way have completed.
    :param headroom: number of instances that may stop now without violating a budget.
    :param utilization: fraction of time for which each instance is used, for sizes up to ``max``.
    """

    name: str
    role: str
    min: int
    target: int
    max: int
    spare: bool
    size: int
    headroom: int
    utilization: Sequence[float]


class PlannedMove(NamedTuple):
    """
    Move of one instance from a pool to another.

    :param origin: ``WORKSPACE/POOL`` that loses an instance.
    :param target: ``WORKSPACE/POOL`` that receives it.
    """

    origin: str
    target: str


def plan_moves(needs: Sequence[PoolNeed], weights: Weights) -> list[PlannedMove]:
    """
    Choose the moves with the highest gain.

    :param needs: the pools of one document.
    :param weights: weights of the objectives.
    :returns: up to `MOVES_PER_PLAN` moves, in descending order of gain.
    """
    sizes = {need.name: need.size for need in needs}
    headrooms = {need.name: need.headroom for need in needs}
    moves: list[PlannedMove] = []
    while len(moves) < MOVES_PER_PLAN:
        best = _best_move(needs, sizes, headrooms, weights)
        if best is None:
            break
        moves.append(best)
        sizes[best.origin] -= 1
        headrooms[best.origin] -= 1
        sizes[best.target] += 1
    return moves


def marginal_value(need: PoolNeed, size: int, weights: Weights) -> float:
    """
    Return the marginal value of the last instance of a pool at a given size.

    :param need: the pool.
    :param size: size of the pool, at least 1.
    :param weights: weights of the objectives.
    :returns: value in instances served, infinite up to the minimum size.
    """
    if size <= need.min:
        return float("inf")
    if need.spare:
        remaining = max(0.0, 1.0 - (size - 1) / max(1, need.target))
        return weights.roll_out_time * RESERVE_VALUE * remaining
    utilization = need.utilization[size - 1] if size <= len(need.utilization) else 0.0
    return (UNSERVED_WEIGHT + weights.closeness_to_share) * utilization


def move_cost(weights: Weights) -> float:
    """
    Return the gain that a move must exceed.

    :param weights: weights of the objectives.
    :returns: cost in instances served, spread over the payback time of the move.
    """
    return (UNSERVED_WEIGHT + weights.buffer_cost) * MOVE_DURATION_S / PAYBACK_S


def _best_move(
    needs: Sequence[PoolNeed],
    sizes: Mapping[str, int],
    headrooms: Mapping[str, int],
    weights: Weights,
) -> PlannedMove | None:
    best: PlannedMove | None = None
    best_gain = move_cost(weights)
    for role in sorted({need.role for need in needs}):
        peers = [need for need in needs if need.role == role]
        origin = _find_origin(peers, sizes, headrooms, weights)
        target = _find_target(peers, sizes, weights)
        if origin is None or target is None or origin[1].name == target[1].name:
            continue
        if target[0] - origin[0] > best_gain:
            best, best_gain = PlannedMove(origin[1].name, target[1].name), target[0] - origin[0]
    return best


def _find_origin(
    peers: Sequence[PoolNeed],
    sizes: Mapping[str, int],
    headrooms: Mapping[str, int],
    weights: Weights,
) -> tuple[float, PoolNeed] | None:
    candidates = [
        need for need in peers if sizes[need.name] > need.min and headrooms[need.name] >= 1
    ]
    values = [(marginal_value(need, sizes[need.name], weights), need) for need in candidates]
    return min(values, key=lambda pair: (pair[0], pair[1].name), default=None)


def _find_target(
    peers: Sequence[PoolNeed], sizes: Mapping[str, int], weights: Weights
) -> tuple[float, PoolNeed] | None:
    candidates = [need for need in peers if sizes[need.name] < need.max]
    values = [(marginal_value(need, sizes[need.name] + 1, weights), need) for need in candidates]
    return max(values, key=lambda pair: (pair[0], pair[1].name), default=None)
