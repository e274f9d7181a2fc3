"""
Several reducers in memory, with small fakes at their interfaces and virtual time.
"""

from ._endpoints import add_endpoint, crash_endpoint
from ._entries import EXECUTORS, deliver, kill_entry, pause_entry, start_entry, submit
from ._faults import FAULTS, publish_next
from ._fleet import (
    DEFAULT_TEAMS,
    OPEN_QUEUE,
    QUEUE,
    SERVICE,
    WORKSPACE,
    TeamPlan,
    fleet_document,
    grant_key,
    key_text,
    make_fleet,
    publish,
    withdraw_key,
)
from ._load import send_again, send_one, start_load
from ._log import append, operator_append
from ._machines import add_machines, fail_machine
from ._platform import Machine, PlannedStop, Platform
from ._pool_fleet import (
    make_pool_fleet,
    order_maintenance,
    pool_document,
    reference_fold,
    request_move,
)
from ._world import (
    LOG,
    Entry,
    FakeEndpoint,
    Outcome,
    Run,
    World,
    advance,
    is_cut,
    largest_limit,
    later,
)

__all__ = [
    "DEFAULT_TEAMS",
    "EXECUTORS",
    "FAULTS",
    "LOG",
    "OPEN_QUEUE",
    "QUEUE",
    "SERVICE",
    "WORKSPACE",
    "Entry",
    "FakeEndpoint",
    "Machine",
    "Outcome",
    "PlannedStop",
    "Platform",
    "Run",
    "TeamPlan",
    "World",
    "add_endpoint",
    "add_machines",
    "advance",
    "append",
    "crash_endpoint",
    "deliver",
    "fail_machine",
    "fleet_document",
    "grant_key",
    "is_cut",
    "key_text",
    "kill_entry",
    "largest_limit",
    "later",
    "make_fleet",
    "make_pool_fleet",
    "operator_append",
    "order_maintenance",
    "pause_entry",
    "pool_document",
    "publish",
    "publish_next",
    "reference_fold",
    "request_move",
    "send_again",
    "send_one",
    "start_entry",
    "start_load",
    "submit",
    "withdraw_key",
]
