"""
What an entry instance keeps about the fleet besides the fold.
"""

from typing import NamedTuple

import msgspec

from ._fleet_messages import InventoryInstance, ServiceLoad

NEVER_S = float("-inf")


class ProposedRecord(NamedTuple):
    """
    A record that was asked for and is not decided yet.

    :param base: revision that it builds on.
    :param at_s: time of asking.
    """

    base: int
    at_s: float


class StepProgress(msgspec.Struct):
    """
    How far this controller has come with one step of an instance.

    :param epoch: the step.
    :param since_s: time at which this controller first saw the step.
    :param sent_s: time at which the platform was last asked.
    :param is_acknowledged: whether the platform has done all that the step needs.
    :param is_rebooted: whether the platform has rebooted the instance in this step.
    :param failures: times that the platform failed to do it.
    """

    epoch: int
    since_s: float
    sent_s: float = NEVER_S
    is_acknowledged: bool = False
    is_rebooted: bool = False
    failures: int = 0


class DrainBackoff(NamedTuple):
    """
    Drains of an instance that did not end in time.

    :param failed_drains: how many in a row.
    :param retry_at_s: time before which it is not drained again.
    """

    failed_drains: int
    retry_at_s: float


class Inventory(msgspec.Struct):
    """
    The platform's inventory as last read.

    :param at_s: the platform's time in it.
    :param requested_s: own time at which the read was asked for; after a pause that is long ago.
    :param version: version of the inventory.
    :param shards: documents whose instances it holds.
    :param instances: instances by id.
    :param missing_since_s: own time at which an instance of the fold was first found missing.
    """

    at_s: float = 0.0
    requested_s: float = NEVER_S
    version: int = 0
    shards: tuple[str, ...] = ()
    instances: dict[str, InventoryInstance] = msgspec.field(default_factory=dict)
    missing_since_s: dict[str, float] = msgspec.field(default_factory=dict)


class DownCache(NamedTuple):
    """
    The instances that are down or unseen, worked out once for each moment.

    :param at_s: own time at which they were worked out.
    :param next_offset: place in the log at which they were worked out.
    :param names: their ids.
    """

    at_s: float
    next_offset: int
    names: frozenset[str]


class LoadReport(NamedTuple):
    """
    What one entry instance last told of its load.

    :param rows: one per service.
    :param at_s: own time of its arrival.
    """

    rows: tuple[ServiceLoad, ...]
    at_s: float


class KnownFailures(NamedTuple):
    """
    Instances that were down when the last order of maintenance came.

    :param order: revision of the order.
    :param names: those that are down still.
    """

    order: int
    names: frozenset[str]


class DemandHistory(msgspec.Struct):
    """
    How often a service's demand was how large; older samples count less.

    :param weights: weight by demand in whole instances, rounded up.
    :param updated_s: time of the last sample.
    """

    weights: list[float] = msgspec.field(default_factory=list)
    updated_s: float = NEVER_S


class FleetState(msgspec.Struct):
    """
    State of controllers, moves and planning at this instance.

    :param down_cache: instances that are down or unseen, as last worked out.
    :param renewed_s: own time at which each entry instance was last seen to write to the log.
    :param log_unavailable_s: own time at which the log was last out of reach.
    :param preferred_since_s: time since which this instance is first choice of a shard.
    :param proposed: records asked for, by subject.
    :param progress: steps under way by instance.
    :param drain_backoffs: instances whose drains did not end.
    :param load_samples: samples of the own load since the last report.
    :param load_counts: requests of each service in those samples that found any.
    :param load_reports: load of each service by entry instance.
    :param demand: history of demand by service.
    :param moves_planned_s: time of the last plan by shard.
    :param maintenance_planned_s: time of the last plan of maintenance by shard.
    :param known_failures: failures that a shard's last order has accepted.
    :param last_stopped_s: time at which instances were last seen stopped for maintenance.
    """

    claims_checked_s: float = NEVER_S
    inventory_read_s: float = NEVER_S
    load_reported_s: float = NEVER_S
    demand_sampled_s: float = NEVER_S
    log_unavailable_s: float = NEVER_S
    inventory: Inventory = msgspec.field(default_factory=Inventory)
    down_cache: DownCache = DownCache(NEVER_S, 0, frozenset())
    renewed_s: dict[str, float] = msgspec.field(default_factory=dict)
    preferred_since_s: dict[str, float] = msgspec.field(default_factory=dict)
    proposed: dict[str, ProposedRecord] = msgspec.field(default_factory=dict)
    progress: dict[str, StepProgress] = msgspec.field(default_factory=dict)
    drain_backoffs: dict[str, DrainBackoff] = msgspec.field(default_factory=dict)
    load_sampled_s: float = NEVER_S
    load_samples: int = 0
    load_counts: dict[str, list[int]] = msgspec.field(default_factory=dict)
    load_reports: dict[str, LoadReport] = msgspec.field(default_factory=dict)
    demand: dict[str, DemandHistory] = msgspec.field(default_factory=dict)
    moves_planned_s: dict[str, float] = msgspec.field(default_factory=dict)
    maintenance_planned_s: dict[str, float] = msgspec.field(default_factory=dict)
    last_stopped_s: dict[str, float] = msgspec.field(default_factory=dict)
    known_failures: dict[str, KnownFailures] = msgspec.field(default_factory=dict)
