"""
A small world in virtual time around the reducer of jobs: store, workers, machine service, callers,
faults, and the rules that are checked at each step.
"""

from ._answers import make_world
from ._faults import FAULTS, FORMER_FAULTS
from ._patterns import (
    Flood,
    Served,
    backlog_after_outage,
    burst_beyond_room,
    burst_of_large_tasks,
    demand_turns_without_store,
    flood_of_one_workspace,
    owner_cut_without_store,
    owner_lost_in_a_burst,
    rotating_demand,
    silent_store_returns,
    slow_store_returns,
    slow_store_with_many_instances,
    turning_demand,
    two_floods,
    workers_stall_in_a_burst,
    zone_cut_in_a_burst,
)
from ._replaced import replaced
from ._rules import Violation
from ._schedule import ScheduleResult, run_schedule
from ._uneven import hot_rack, misdeclared_queues, workers_fail_part
from ._world import World

__all__ = [
    "FAULTS",
    "FORMER_FAULTS",
    "Flood",
    "ScheduleResult",
    "Served",
    "Violation",
    "World",
    "backlog_after_outage",
    "burst_beyond_room",
    "burst_of_large_tasks",
    "demand_turns_without_store",
    "flood_of_one_workspace",
    "hot_rack",
    "make_world",
    "misdeclared_queues",
    "owner_cut_without_store",
    "owner_lost_in_a_burst",
    "replaced",
    "rotating_demand",
    "run_schedule",
    "silent_store_returns",
    "slow_store_returns",
    "slow_store_with_many_instances",
    "turning_demand",
    "two_floods",
    "workers_fail_part",
    "workers_stall_in_a_burst",
    "zone_cut_in_a_burst",
]
