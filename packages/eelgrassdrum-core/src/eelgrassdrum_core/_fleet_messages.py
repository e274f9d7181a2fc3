"""
Record kinds, events, effects and peer messages of pools, moves and maintenance.
"""

from typing import NamedTuple

from ._wire import register_message

CONTROLLER_CLAIMED = "controller.claimed"
INSTANCE_ADDED = "instance.added"
INSTANCE_REMOVED = "instance.removed"
DRAIN_REQUESTED = "instance.drain_requested"
MOVE_REQUESTED = "move.requested"
MOVE_STARTED = "move.started"
MOVE_LEFT = "move.left"
MOVE_JOINED = "move.joined"
MOVE_ABORTED = "move.aborted"
MAINTENANCE_ORDERED = "maintenance.ordered"

# Steps of an instance in the fold.
IN_SERVICE = "in_service"
DRAINING = "draining"
LEFT = "left"
RETURNING = "returning"

PURPOSE_MOVE = "move"
PURPOSE_MAINTENANCE = "maintenance"

# What the platform is asked to do with an instance.
DRAIN = "drain"
REBOOT = "reboot"
JOIN = "join"

DONE = "done"
PENDING = "pending"
REFUSED = "refused"
FAILED = "failed"


class InventoryInstance(NamedTuple):
    """
    One instance as the platform's inventory shows it.

    :param id: id of the instance.
    :param pool: ``WORKSPACE/POOL`` that it was last configured for.
    :param zone: availability zone.
    :param rack: failure domain in the zone.
    :param is_up: whether it answers health checks, in service or not.
    :param booted_at_s: platform's time of its last boot.
    """

    id: str
    pool: str
    zone: str
    rack: str
    is_up: bool
    booted_at_s: float


class InventoryReceived(NamedTuple):
    """
    The platform's inventory was read.

    :param requested_s: own time at which the read was asked for.
    :param at_s: the platform's time.
    :param since: version that the answer builds on, 0 for a whole inventory.
    :param version: version of the inventory after it.
    :param instances: the instances that have changed since.
    :param removed: ids of instances that the platform no longer has.
    """

    requested_s: float
    at_s: float
    since: int
    version: int
    instances: tuple[InventoryInstance, ...]
    removed: tuple[str, ...] = ()


class StepReported(NamedTuple):
    """
    The platform answered what it was asked to do with an instance.

    :param instance: id of the instance.
    :param action: ``drain``, ``reboot`` or ``join``.
    :param epoch: the epoch of the call.
    :param state: ``done``, ``pending``, ``refused`` (a newer epoch was seen) or ``failed``.
    """

    instance: str
    action: str
    epoch: int
    state: str


class ReadInventory(NamedTuple):
    """
    Read what has changed in the platform's inventory of instances.

    :param requested_s: own time, which comes back with the answer.
    :param shards: documents whose pools' instances are wanted.
    :param since: version that is known, 0 for none.
    """

    requested_s: float
    shards: tuple[str, ...]
    since: int


class DrainInstance(NamedTuple):
    """
    Let an instance take no new work and finish what runs; a repeat asks how far it is.

    :param instance: id of the instance.
    :param epoch: offset of the step's record; the platform refuses older ones.
    """

    instance: str
    epoch: int


class RebootInstance(NamedTuple):
    """
    Reboot a drained instance, at most once for each epoch; a repeat asks how far it is.

    :param instance: id of the instance.
    :param epoch: offset of the step's record.
    """

    instance: str
    epoch: int


class JoinPool(NamedTuple):
    """
    Let an instance take work for a pool; a repeat changes nothing.

    :param instance: id of the instance.
    :param pool: ``WORKSPACE/POOL``.
    :param epoch: offset of the step's record.
    """

    instance: str
    pool: str
    epoch: int


class ServiceLoad(NamedTuple):
    """
    Requests of one service at one entry instance, over the time since its last report.

    :param service: ``WORKSPACE/SERVICE``.
    :param quantiles: requests that ran or waited, as quantiles in rising order.
    """

    service: str
    quantiles: tuple[int, ...]


@register_message
class ServiceLoadReported(NamedTuple):
    """
    An entry instance tells the controller of a shard what it could use.

    :param rows: one per service with requests.
    """

    rows: tuple[ServiceLoad, ...]


def move_subject(instance: str) -> str:
    """
    Give the subject of an instance's moves.

    :param instance: id of the instance.
    :returns: the subject.
    """
    return f"move/{instance}"


def controller_subject(shard: str) -> str:
    """
    Give the subject of a shard's controller.

    :param shard: name of the document whose pools it holds.
    :returns: the subject.
    """
    return f"controller/{shard}"


def maintenance_subject(shard: str) -> str:
    """
    Give the subject of a shard's maintenance round.

    :param shard: name of the document.
    :returns: the subject.
    """
    return f"maintenance/{shard}"
