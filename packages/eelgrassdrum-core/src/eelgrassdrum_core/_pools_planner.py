"""
Chooses moves between pools: a pure function on plain data.

Each pool gives its instances in order of worth. Instances go from where the last one is worth least
to where the next one is worth most, as long as the gain over `PAYBACK_S` pays for the time that the
move takes. This is the best allocation, because the worth never grows with the size, and the price
of a move keeps pools from exchanging instances back and forth.
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
    The weights of what the fleet's owner measures.
    """

    roll_out_time: float = 1.0
    buffer_cost: float = 1.0
    closeness_to_share: float = 1.0


class PoolNeed(NamedTuple):
    """
    A pool as the planner sees it.

    :param name: ``WORKSPACE/POOL``.
    :param role: instances move only between pools of one role.
    :param min: least size.
    :param target: size that the configuration asks for.
    :param max: largest size.
    :param spare: whether its instances are only a reserve.
    :param size: members once the moves under way have ended.
    :param headroom: instances that may stop now without breaking a budget.
    :param utilization: part of the time for which each instance is used, for sizes up to ``max``.
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
    One instance is to go from a pool to another.
    """

    origin: str
    target: str


def plan_moves(needs: Sequence[PoolNeed], weights: Weights) -> list[PlannedMove]:
    """
    Choose the moves that pay most.

    :param needs: the pools of one document.
    :param weights: weights of the fleet's owner.
    :returns: up to `MOVES_PER_PLAN` moves, the most worth first.
    """
    sizes = {need.name: need.size for need in needs}
    rooms = {need.name: need.headroom for need in needs}
    moves: list[PlannedMove] = []
    while len(moves) < MOVES_PER_PLAN:
        best = _best_move(needs, sizes, rooms, weights)
        if best is None:
            break
        moves.append(best)
        sizes[best.origin] -= 1
        rooms[best.origin] -= 1
        sizes[best.target] += 1
    return moves


def marginal_value(need: PoolNeed, size: int, weights: Weights) -> float:
    """
    Give the worth of a pool's last instance at a size, in instances served.

    :param need: the pool.
    :param size: the size, from 1.
    :param weights: weights of the fleet's owner.
    :returns: the worth; infinite up to the least size.
    """
    if size <= need.min:
        return float("inf")
    if need.spare:
        left = max(0.0, 1.0 - (size - 1) / max(1, need.target))
        return weights.roll_out_time * RESERVE_VALUE * left
    utilization = need.utilization[size - 1] if size <= len(need.utilization) else 0.0
    return (UNSERVED_WEIGHT + weights.closeness_to_share) * utilization


def move_cost(weights: Weights) -> float:
    """
    Give the gain that a move must bring, in instances served.

    :param weights: weights of the fleet's owner.
    :returns: the price, spread over the time in which the move pays back.
    """
    return (UNSERVED_WEIGHT + weights.buffer_cost) * MOVE_DURATION_S / PAYBACK_S


def _best_move(
    needs: Sequence[PoolNeed],
    sizes: Mapping[str, int],
    rooms: Mapping[str, int],
    weights: Weights,
) -> PlannedMove | None:
    best: PlannedMove | None = None
    best_gain = move_cost(weights)
    for role in sorted({need.role for need in needs}):
        peers = [need for need in needs if need.role == role]
        origin = _find_origin(peers, sizes, rooms, weights)
        target = _find_target(peers, sizes, weights)
        if origin is None or target is None or origin[1].name == target[1].name:
            continue
        if target[0] - origin[0] > best_gain:
            best, best_gain = PlannedMove(origin[1].name, target[1].name), target[0] - origin[0]
    return best


def _find_origin(
    peers: Sequence[PoolNeed],
    sizes: Mapping[str, int],
    rooms: Mapping[str, int],
    weights: Weights,
) -> tuple[float, PoolNeed] | None:
    able = [need for need in peers if sizes[need.name] > need.min and rooms[need.name] >= 1]
    worths = [(marginal_value(need, sizes[need.name], weights), need) for need in able]
    return min(worths, key=lambda pair: (pair[0], pair[1].name), default=None)


def _find_target(
    peers: Sequence[PoolNeed], sizes: Mapping[str, int], weights: Weights
) -> tuple[float, PoolNeed] | None:
    able = [need for need in peers if sizes[need.name] < need.max]
    worths = [(marginal_value(need, sizes[need.name] + 1, weights), need) for need in able]
    return max(worths, key=lambda pair: (pair[0], pair[1].name), default=None)
