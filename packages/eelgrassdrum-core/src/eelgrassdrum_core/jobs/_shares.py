"""
Remembers what workspaces have used of the pools lately.

While there is too little room, the use of each workspace counts against its weight. Work that runs
counts, and what ran before, with a weight that halves within some seconds: a workspace whose burst
is over isn't made to wait for long, and one that sends many short jobs doesn't pass for one that
uses nothing between them.
"""

from collections import defaultdict

import msgspec

from . import _policies
from ._node import Moment, Node
from ._on_time import PoolShares
from .model import NO_RESOURCES, Resources

# Time in which former use halves; about the length of a burst.
HALF_LIFE_S = 4.0
# Interval at which the use is added up.
UPDATE_INTERVAL_S = 0.25
# Use below which a workspace is forgotten, in seconds of a whole pool.
MIN_USE_S = 1e-3


class RecentUse(msgspec.Struct, eq=False):
    """
    Recent use of the pools.

    :param epoch: ownership in which it was added up.
    :param updated_s: when it was last added up.
    :param use_s: for each pool and workspace, seconds of the pool's whole room.
    """

    epoch: int = 0
    updated_s: float = -1e9
    use_s: dict[tuple[str, str], float] = {}


def update(node: Node, at: Moment) -> None:
    """
    Add what runs now to the recent use, and let former use decay.

    A new owner knows of no former use: for it, what runs has run for as long as use is remembered.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    recent = node.recent_use
    if recent is None or recent.epoch != node.ownership.epoch:
        recent = node.recent_use = RecentUse(node.ownership.epoch)
    elapsed_s = at.now_s - recent.updated_s
    if elapsed_s < UPDATE_INTERVAL_S or node.config is None or len(node.config.workspaces) < 2:
        return
    recent.updated_s = at.now_s
    factor = 0.5 ** (elapsed_s / HALF_LIFE_S)
    # What runs all the time counts as its part of the room for the half-life.
    added_s = (1 - factor) * HALF_LIFE_S
    use_s = {key: factor * seconds for key, seconds in recent.use_s.items()}
    rooms = _capacities(node)
    for key, running in _running(node).items():
        part = dominant_part(running, rooms[key[0]])
        use_s[key] = use_s.get(key, 0.0) + added_s * part
    recent.use_s = {key: seconds for key, seconds in use_s.items() if seconds >= MIN_USE_S}


def of_pool(node: Node, pool: str, room: Resources) -> PoolShares:
    """
    Return what the workspaces use of a pool, and what they may.

    :param node: the instance, which owns the log.
    :param pool: name of the pool.
    :param room: its resources.
    :returns: the shares.
    """
    recent = node.recent_use.use_s if node.recent_use is not None else {}
    workspaces = node.config.workspaces if node.config is not None else {}
    return PoolShares(
        {workspace: seconds for (name, workspace), seconds in recent.items() if name == pool},
        {name: workspace.weight for name, workspace in workspaces.items() if workspace.weight > 0},
        {
            name: min(1.0, part)
            for name, workspace in workspaces.items()
            if (part := _limit_part(workspace.limit, room)) is not None
        },
    )


def _limit_part(limit: Resources, room: Resources) -> float | None:
    """
    Return the part of a pool's room that a limit leaves, or ``None`` if it has none.
    """
    parts = [
        amount / whole for amount, whole in zip(limit, room, strict=True) if amount and whole > 0
    ]
    return min(parts, default=None)


def dominant_part(used: Resources, total: Resources) -> float:
    """
    Return the largest part that is used of any resource.

    :param used: what is used.
    :param total: what there is.
    :returns: the part; resources that there are none of don't count.
    """
    return max(
        (amount / whole for amount, whole in zip(used, total, strict=True) if whole > 0),
        default=0.0,
    )


def _capacities(node: Node) -> dict[str, Resources]:
    """
    Sum up the capacity of the listed workers by pool.
    """
    rooms: dict[str, Resources] = defaultdict(lambda: NO_RESOURCES)
    for worker in node.workers.values():
        if worker.is_listed:
            service = worker.entry.service
            rooms[service] = rooms[service].plus(worker.entry.capacity)
    return rooms


def _running(node: Node) -> dict[tuple[str, str], Resources]:
    """
    Sum up the running tasks of finite duration, by pool and workspace.
    """
    running: dict[tuple[str, str], Resources] = defaultdict(lambda: NO_RESOURCES)
    for runs in node.replicated.running.values():
        for key in runs:
            job = node.replicated.jobs[key.job]
            step = job.spec.steps[key.step]
            queue = _policies.queue_of(node, job)
            if queue is not None and not step.is_long_running:
                place = (queue.service, job.workspace)
                running[place] = running[place].plus(step.resources)
    return running
