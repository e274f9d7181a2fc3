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

# Steps of an instance in the folded state.
IN_SERVICE = "in_service"
DRAINING = "draining"
LEFT = "left"
RETURNING = "returning"

PURPOSE_MOVE = "move"
PURPOSE_MAINTENANCE = "maintenance"

# Actions that the platform is requested to perform on an instance.
DRAIN = "drain"
REBOOT = "reboot"
JOIN = "join"

DONE = "done"
PENDING = "pending"
REFUSED = "refused"
FAILED = "failed"


class InventoryInstance(NamedTuple):
    """
    One instance in the platform's inventory.

    :param id: id of the instance.
    :param pool: ``WORKSPACE/POOL`` that it was last configured for.
    :param zone: availability zone.
    :param rack: failure domain in the zone.
    :param is_up: whether it passes health checks, even when it is not in service.
    :param booted_at_s: time of its last boot, on the platform's clock.
    """

    id: str
    pool: str
    zone: str
    rack: str
    is_up: bool
    booted_at_s: float


class InventoryReceived(NamedTuple):
    """
    The platform returned its inventory.

    :param requested_s: local time of the request.
    :param at_s: time of the inventory, on the platform's clock.
    :param since: version that the changes build on, 0 for the complete inventory.
    :param version: version of the inventory with these changes.
    :param instances: the instances that have changed since that version.
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
    The platform responded to a requested action on an instance.

    :param instance: id of the instance.
    :param action: ``drain``, ``reboot`` or ``join``.
    :param epoch: epoch of the request.
    :param state: ``done``, ``pending``, ``refused`` (it knows a newer epoch) or ``failed``.
    """

    instance: str
    action: str
    epoch: int
    state: str


class ReadInventory(NamedTuple):
    """
    Read the changes of the platform's inventory of instances.

    :param requested_s: local time, which is returned with the response.
    :param shards: documents whose instances are requested.
    :param since: last known version, 0 for none.
    """

    requested_s: float
    shards: tuple[str, ...]
    since: int


class DrainInstance(NamedTuple):
    """
    Stop new work on an instance and let running work finish; a repeat returns the progress.

    :param instance: id of the instance.
    :param epoch: offset of the step's record, a fencing token; the platform refuses older ones.
    """

    instance: str
    epoch: int


class RebootInstance(NamedTuple):
    """
    Reboot a drained instance, at most once per epoch; a repeat returns the progress.

    :param instance: id of the instance.
    :param epoch: offset of the step's record, a fencing token.
    """

    instance: str
    epoch: int


class JoinPool(NamedTuple):
    """
    Put an instance into service in a pool; the call is idempotent.

    :param instance: id of the instance.
    :param pool: ``WORKSPACE/POOL``.
    :param epoch: offset of the step's record, a fencing token.
    """

    instance: str
    pool: str
    epoch: int


class ServiceLoad(NamedTuple):
    """
    Load of one service at one entry instance since its last report.

    :param service: ``WORKSPACE/SERVICE``.
    :param quantiles: number of running and queued requests, as quantiles in ascending order.
    """

    service: str
    quantiles: tuple[int, ...]


@register_message
class ServiceLoadReported(NamedTuple):
    """
    An entry instance reports its load to the controller of a shard.

    :param rows: one row per service with requests.
    """

    rows: tuple[ServiceLoad, ...]


def move_subject(instance: str) -> str:
    """
    Return the subject of records about an instance's moves.

    :param instance: id of the instance.
    :returns: the subject.
    """
    return f"move/{instance}"


def controller_subject(shard: str) -> str:
    """
    Return the subject of records about a shard's controller.

    :param shard: name of the document that defines the pools.
    :returns: the subject.
    """
    return f"controller/{shard}"


def maintenance_subject(shard: str) -> str:
    """
    Return the subject of records about a shard's maintenance round.

    :param shard: name of the document.
    :returns: the subject.
    """
    return f"maintenance/{shard}"
