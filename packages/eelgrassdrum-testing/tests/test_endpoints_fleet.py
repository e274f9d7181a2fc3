"""
Endpoints of a whole fleet: leaving with a late list, and failing fast.
"""

from unittest.mock import patch

from eelgrassdrum_core import _endpoints_health as health
from eelgrassdrum_testing._harness import World, advance, make_fleet, start_load
from eelgrassdrum_testing._schedules import ScheduleResult, run_schedule

LEAVES = ("endpoint leaves, still accepts",)
SEEDS = (1, 3, 5)


def leave(seed: int) -> ScheduleResult:
    """
    Let an endpoint leave that still accepts, with the list 30 s late.
    """
    return run_schedule(seed, LEAVES)


def make_world() -> World:
    """
    Give a fleet with one endpoint that fails everything at once.
    """
    world = make_fleet(3, entries_per_zone=2)
    world.endpoints["ep-a0"].fail_fast = True
    return world


FIXTURES = {"world": make_world}


def test_leaving_endpoint_gets_nothing_though_the_list_is_late() -> None:
    """
    No new work reaches an endpoint 5 s after it began to leave, though it would take it.
    """
    for seed in SEEDS:
        result = leave(seed)
        assert result.violations == ()
        assert result.runs > 100


def test_rules_catch_missing_probes() -> None:
    """
    Without probes, leaving_gets_nothing goes red.
    """
    with (
        patch.object(health, "_probe_interval", lambda *_: None),
        patch.object(health, "zone_peers", lambda *_: ()),
    ):
        broken = [text for seed in SEEDS for text in leave(seed).violations]
    assert any(text.startswith("leaving_gets_nothing") for text in broken)


def test_failing_endpoint_gets_little_work(world: World) -> None:
    """
    An endpoint that fails everything at once gets a small part of its zone's requests.
    """
    start_load(world, 60.0, 10.0)
    advance(world, 15.0)
    bad = sum(run.endpoint == "ep-a0" for run in world.runs)
    good = sum(run.endpoint == "ep-a1" for run in world.runs)
    assert good > 100
    assert bad < good / 3
