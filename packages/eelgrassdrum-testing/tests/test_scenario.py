"""
Tests of the scenarios' sizes, layout and load.
"""

from collections import Counter

from eelgrassdrum_testing import _arrivals, _layout, _scenario
from eelgrassdrum_testing._layout import Addresses

SIZES = {
    "gartenschau": {"entry": 9, "endpoint": 30, "worker": 30},
    "consortium": {"entry": 8, "endpoint": 40, "worker": 40},
}


def scenarios():
    return list(_scenario.SCENARIOS.values())


FIXTURES = {"fleets": scenarios}


def layout(scenario):
    return _layout.instances(scenario, lambda name: Addresses(f"address-of-{name}", "peer"))


def test_each_fleet_has_the_instances_of_today(fleets):
    """The numbers by role are those of both firms, and ids are unique."""
    for scenario in fleets:
        found = layout(scenario)
        assert Counter(instance.role for instance in found) == SIZES[scenario.name]
        assert len({instance.id for instance in found}) == len(found)


def test_every_zone_has_entries_and_endpoints_of_each_service(fleets):
    """A zone that is cut off can go on serving every service."""
    for scenario in fleets:
        found = layout(scenario)
        for zone in scenario.zones:
            here = [instance for instance in found if instance.zone == zone]
            assert any(instance.role == "entry" for instance in here)
            services = {instance.service for instance in here if instance.role == "endpoint"}
            assert services == set(scenario.services)


def test_racks_hold_four_workers_in_one_zone_and_one_pool(fleets):
    """A rack is never shared by zones or pools, and the spare pool has workers."""
    for scenario in fleets:
        pools = _layout.worker_pools(scenario)
        workers = [entry for entry in layout(scenario) if entry.role == "worker"]
        sizes = Counter(worker.rack for worker in workers)
        assert max(sizes.values()) == 4
        assert len({(w.rack, w.zone, pools[w.id]) for w in workers}) == len(sizes)
        assert set(pools.values()) == {*scenario.services, "spare"}


def test_bursts_exceed_the_capacity_in_turn_and_troughs_are_a_twentieth(fleets):
    """At each time one service bursts beyond what it can run, and the others are quiet."""
    for scenario in fleets:
        capacity = _arrivals.capacity_per_s(scenario)
        mean = capacity * scenario.load.utilization
        for turn, bursting in enumerate(scenario.services):
            at_s = (turn + 0.5) * scenario.load.burst_s
            for service in scenario.services:
                rate = _arrivals.rate_per_s(scenario, service, at_s)
                assert rate == mean * (5.0 if service == bursting else 0.05)
            assert _arrivals.rate_per_s(scenario, bursting, at_s) > capacity


def test_arrivals_repeat_with_their_seed_and_keep_the_weights(fleets):
    """The same seed draws the same ordered requests, and the large workspaces send most."""
    for scenario in fleets:
        cycle_s = scenario.load.burst_s * len(scenario.services)
        drawn = list(_arrivals.arrivals(scenario, cycle_s))
        assert drawn == list(_arrivals.arrivals(scenario, cycle_s))
        assert drawn != list(_arrivals.arrivals(scenario, cycle_s, seed=99))
        assert [a.at_s for a in drawn] == sorted(a.at_s for a in drawn)
        assert len({a.request_id for a in drawn}) == len(drawn)
        expected = sum(
            _arrivals.rate_per_s(scenario, service, at_s)
            for service in scenario.services
            for at_s in range(int(cycle_s))
        )
        assert abs(len(drawn) - expected) < 5 * expected**0.5
        counts = Counter(a.workspace for a in drawn)
        for workspace in scenario.workspaces:
            assert abs(counts[workspace.id] / len(drawn) - workspace.weight) < 0.05
