"""
State about the fleet that an entry instance keeps in memory besides the folded state.
"""

from typing import NamedTuple

import msgspec

from ._fleet_messages import InventoryInstance, ServiceLoad

NEVER_S = float("-inf")


class ProposedRecord(NamedTuple):
    """
    A proposed record whose acceptance or rejection is pending.

    :param base: revision that it builds on.
    :param at_s: time of the proposal.
    """

    base: int
    at_s: float


class StepProgress(msgspec.Struct):
    """
    Progress of this controller with one step of an instance.

    :param epoch: epoch of the step.
    :param since_s: time at which this controller first processed the step.
    :param sent_s: time of the last call to the platform.
    :param is_acknowledged: whether the platform has completed all actions of the step.
    :param is_rebooted: whether the platform has rebooted the instance in this step.
    :param failures: number of actions that the platform reported as failed.
    """

    epoch: int
    since_s: float
    sent_s: float = NEVER_S
    is_acknowledged: bool = False
    is_rebooted: bool = False
    failures: int = 0


class DrainBackoff(NamedTuple):
    """
    Backoff after drains of an instance that timed out.

    :param failed_drains: number of consecutive drains that timed out.
    :param retry_at_s: time before which the instance is not drained again.
    """

    failed_drains: int
    retry_at_s: float


class Inventory(msgspec.Struct):
    """
    The platform's inventory as last read.

    :param at_s: time of the inventory, on the platform's clock.
    :param requested_s: local time of the request, so that an inventory delivered after a pause of
        this process counts as old.
    :param version: version of the inventory.
    :param shards: documents whose instances it contains.
    :param instances: instances by id.
    :param missing_since_s: local time since which an instance is missing from the inventory.
    """

    at_s: float = 0.0
    requested_s: float = NEVER_S
    version: int = 0
    shards: tuple[str, ...] = ()
    instances: dict[str, InventoryInstance] = msgspec.field(default_factory=dict)
    missing_since_s: dict[str, float] = msgspec.field(default_factory=dict)


class DownCache(NamedTuple):
    """
    Cache of the instances that are down or missing, computed once per time and log offset.

    :param at_s: local time of the computation.
    :param next_offset: offset in the log at the computation.
    :param names: ids of the instances.
    """

    at_s: float
    next_offset: int
    names: frozenset[str]


class LoadReport(NamedTuple):
    """
    The last load report of one entry instance.

    :param rows: one row per service.
    :param at_s: local time of receipt.
    """

    rows: tuple[ServiceLoad, ...]
    at_s: float


class KnownFailures(NamedTuple):
    """
    Instances that were already down at the last maintenance order.

    :param order: revision of the order.
    :param names: ids of those that are still down.
    """

    order: int
    names: frozenset[str]


class DemandHistory(msgspec.Struct):
    """
    Histogram of a service's demand, in which the weight of samples decays with their age.

    :param weights: weight in seconds by demand, in instances rounded up.
    :param updated_s: time of the last sample.
    """

    weights: list[float] = msgspec.field(default_factory=list)
    updated_s: float = NEVER_S


class FleetState(msgspec.Struct):
    """
    State of controllers, moves and planning at this instance; all times are local.

    :param claims_checked_s: time of the last check for shards to claim.
    :param inventory_read_s: time of the last read of the inventory.
    :param load_reported_s: time of the last report of the local load.
    :param demand_sampled_s: time of the last sample of demand.
    :param log_unavailable_s: time at which the log last became unavailable.
    :param inventory: the platform's inventory as last read.
    :param down_cache: instances that are down or missing from the inventory, as last computed.
    :param renewed_s: time of the last folded lease renewal, by entry instance.
    :param preferred_since_s: time since which this instance is the preferred controller, by shard.
    :param proposed: pending proposals of records, by subject.
    :param progress: progress of the current step, by instance.
    :param drain_backoffs: backoffs after drains that timed out, by instance.
    :param load_sampled_s: time of the last sample of the local load.
    :param load_samples: number of samples of the local load since the last report.
    :param load_counts: nonzero numbers of requests in these samples, by service.
    :param load_reports: last load report, by entry instance.
    :param demand: demand history by service.
    :param moves_planned_s: time of the last plan of moves, by shard.
    :param maintenance_planned_s: time of the last plan of maintenance, by shard.
    :param last_stopped_s: time at which an instance was last observed stopped for maintenance.
    :param known_failures: failures that existed at a shard's last maintenance order.
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
