"""
Tests of the commands on maintenance rounds.
"""

from unittest import mock

import msgspec

from eelgrassdrum_cli import ExitCode, _commands_maintenance
from eelgrassdrum_core._waves_planner import WaveBudget, WaveInstance, WavePool, WaveView
from eelgrassdrum_daemon._operator_fleet import view_maintenance
from eelgrassdrum_testing import operator_platform as fakes
from eelgrassdrum_testing._harness import make_pool_fleet, order_maintenance
from eelgrassdrum_testing._scenario import GARTENSCHAU
from eelgrassdrum_testing.operator_platform import Platform, command

FIXTURES = {"platform": fakes.platform}


def test_orders_name_document_action_and_reason(platform: Platform) -> None:
    """Each order is one record, and one for a document without pools is rejected."""
    for action in ("start", "pause", "resume", "abort"):
        result = command(platform, "maintenance", action, "fleet", "--reason", "kernel")
        assert result.code == ExitCode.REJECTED
        body = platform.records[-1]["body"]
        assert (body["shard"], body["action"], body["reason"]) == ("fleet", action, "kernel")
        assert platform.records[-1]["subject"] == "maintenance/fleet"


def test_a_plan_is_computed_from_the_status_of_an_entry_instance(platform: Platform) -> None:
    """The plan lists each wave with its instances and margin, for a fleet that just started."""
    world = make_pool_fleet(2, GARTENSCHAU)
    entry = world.entries["entry-a0"]
    view = msgspec.json.decode(msgspec.json.encode(view_maintenance(entry.state, "fleet")))
    status = msgspec.convert(view, _commands_maintenance.MaintenanceStatus)
    with mock.patch.object(_commands_maintenance, "get_typed", lambda *_: status):
        waves = command(platform, "maintenance", "plan", "fleet").json()
        shown = command(platform, "maintenance", "status", "fleet").json()
        due = command(platform, "maintenance", "plan", "fleet", "--due-only").json()
    assert sum(len(wave["instances"]) for wave in waves) == 34
    assert min(wave["margin"] for wave in waves) >= 0
    assert due == []
    assert (shown["state"], shown["instances"], shown["due"]) == ("idle", 34, 0)


def test_a_round_that_is_under_way_is_shown(platform: Platform) -> None:
    """The status shows that the round is running, what is due and what is under way."""
    world = make_pool_fleet(2, GARTENSCHAU)
    order_maintenance(world, "start")
    view = view_maintenance(world.entries["entry-a0"].state, "fleet")
    assert view is not None
    status = msgspec.convert({**view, "under_way": ["i1"]}, _commands_maintenance.MaintenanceStatus)
    status.due = 12
    with mock.patch.object(_commands_maintenance, "get_typed", lambda *_: status):
        shown = command(platform, "maintenance", "status", "fleet").json()
    assert (shown["state"], shown["due"], shown["under_way"]) == ("running", 12, ["i1"])


def test_a_plan_without_headroom_has_no_waves() -> None:
    """A budget that allows no stops gives an empty plan instead of an error."""
    instance = WaveInstance("i1", "a", "a-r1", True)
    pool = WavePool("fleet/p", "endpoint", "b", False, 1, 1, 1, 1, (instance,))
    assert _commands_maintenance.preview(WaveView((pool,), {"b": WaveBudget(0, 0)})) == []
