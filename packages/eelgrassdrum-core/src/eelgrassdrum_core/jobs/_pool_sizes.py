"""
Divides the instances among the pools when their queues need more than there are.

Levels of need are filled one after another. Within a level each instance goes to the pool that has
the fewest by its weight (weighted max-min fairness), so that the flood of one pool takes only what
the others leave.
"""

import heapq
import math
from collections.abc import Mapping
from typing import NamedTuple

from ._pool_needs import PoolNeed, scaled
from .model import NO_RESOURCES, Resources, Workspace

# Part of an even share of all instances that a pool gets before weights count, if it needs them.
FLOOR_PART = 1 / 2
# Weight of a pool without any work of finite duration.
LEAST_WEIGHT = 1e-3
# Instances by which a pool has to exceed its share before instances in use are taken from it, and
# that excess as a part of the share; a move costs as much as a second of an instance.
MIN_EXCESS = 2
EXCESS_PART = 1 / 10
# A pool with less than this part of its share gets instances in use of any excess.
STARVED_PART = 1 / 2


class PoolClaim(NamedTuple):
    """
    What a pool asks for when there are too few instances.

    :param fixed: instances for long-running tasks and their spread, isolation and lost capacity.
    :param urgent: instances with which the backlog ends within its objectives.
    :param needed: instances with which all waiting work runs at once.
    :param weight: weight of the pool.
    """

    fixed: int
    urgent: int
    needed: int
    weight: float


def dominant(need: Resources, size: Resources) -> float:
    """
    Return how many times some resources are those of an instance, by the dominant one.

    Accelerators don't count, as an instance's kind doesn't change when it moves.

    :param need: the resources.
    :param size: resources of a mean instance.
    :returns: the number, which may be a fraction.
    """
    shares = (amount / whole for amount, whole in zip(need[:2], size[:2], strict=True) if whole > 0)
    return max((0.0, *shares))


def instances_for(need: Resources, size: Resources) -> int:
    """
    Return how many instances some resources take up.

    :param need: the resources.
    :param size: resources of a mean instance.
    :returns: the number of instances.
    """
    return math.ceil(dominant(need, size))


def claim_of(
    need: PoolNeed,
    allowed: Mapping[str, float],
    size: Resources,
    workspaces: Mapping[str, Workspace],
) -> PoolClaim:
    """
    Return what a pool asks for when there are too few instances.

    :param need: what its work needs.
    :param allowed: part of its waiting work that each workspace may run within its limit.
    :param size: resources of a mean instance.
    :param workspaces: the configured workspaces.
    :returns: the claim.
    """
    begun = need.fixed.plus(need.running)
    paced = waiting = NO_RESOURCES
    for name, of_workspace in need.workspaces.items():
        part = allowed.get(name, 1.0)
        paced = paced.plus(scaled(of_workspace.paced, part))
        waiting = waiting.plus(scaled(of_workspace.waiting, part))
    levels = (need.fixed, begun.plus(paced), begun.plus(waiting))
    fixed, urgent, needed = (
        max(need.spread, instances_for(level, size) + need.isolating) for level in levels
    )
    return PoolClaim(fixed, urgent, needed, weight_of(need, workspaces))


def weight_of(need: PoolNeed, workspaces: Mapping[str, Workspace]) -> float:
    """
    Return the weight of a pool: that of the workspaces with work there, by its priority.

    :param need: what its work needs.
    :param workspaces: the configured workspaces.
    :returns: the weight.
    """
    weight = 0.0
    for name, of_workspace in need.workspaces.items():
        workspace = workspaces.get(name)
        of_name = workspace.weight if workspace is not None else 1.0
        weight += of_name / (1 + of_workspace.priority)
    return max(LEAST_WEIGHT, weight)


def share_instances(total: int, claims: Mapping[str, PoolClaim]) -> dict[str, int]:
    """
    Divide the instances among the pools, each of which gets at most what it needs.

    :param total: number of instances.
    :param claims: what each pool asks for.
    :returns: the share of each pool.
    """
    claiming = sum(claim.needed > 0 for claim in claims.values())
    floor = math.ceil(FLOOR_PART * total / max(1, claiming))
    levels = (
        {name: claim.fixed for name, claim in claims.items()},
        {name: min(claim.urgent, floor) for name, claim in claims.items()},
        {name: claim.urgent for name, claim in claims.items()},
        {name: claim.needed for name, claim in claims.items()},
    )
    shares = dict.fromkeys(claims, 0)
    weights = {name: claim.weight for name, claim in claims.items()}
    for level in levels:
        _fill(shares, level, weights, total)
    return shares


def _fill(
    shares: dict[str, int],
    level: Mapping[str, int],
    weights: Mapping[str, float],
    total: int,
) -> None:
    """
    Raise the shares up to a level, the lowest one by its weight first, until nothing is left.
    """
    free = total - sum(shares.values())
    short = [
        ((shares[name] + 1) / weights[name], name) for name in shares if shares[name] < level[name]
    ]
    heapq.heapify(short)
    while free > 0 and short:
        _, name = heapq.heappop(short)
        shares[name] += 1
        free -= 1
        if shares[name] < level[name]:
            heapq.heappush(short, ((shares[name] + 1) / weights[name], name))


def exceeds_share(members: int, share: int) -> bool:
    """
    Return whether a pool is so far over its share that instances in use are taken from it.

    :param members: number of its instances.
    :param share: its share.
    :returns: whether it exceeds the share.
    """
    return members - share >= max(MIN_EXCESS, EXCESS_PART * share)
