"""
Messages and processor time between entry instances, and appends to the log.

Several reducers run in one process under virtual time; the processor time of all of them, the
fakes included, is divided by their number, so it is an upper bound.
"""

from collections.abc import Iterator
from time import process_time
from typing import NamedTuple

from eelgrassdrum_core import _membership_aggregates as aggregates

from .._harness import World, advance, make_fleet
from ._fit import Estimate, Line, fit_line

ZONES = 16
ENTRIES_PER_ZONE = 9
ZONE_COUNTS = (3, 6, 9, 12)
ENTRY_COUNTS = (2, 3, 5, 7)
TEAMS = 460
SETTLE_S = 20.0
# Leases are renewed at this interval, so a shorter time would count too many or too few.
MEASURE_S = 10.0
BYTES_BUDGET_KB_S = 26.0
CPU_BUDGET = 0.04
APPENDS_BUDGET = 400.0


class Traffic(NamedTuple):
    """
    What one entry instance costs.

    :param mean_kb_s: bytes in and out, mean over instances.
    :param max_kb_s: the same for the busiest, which relays the most.
    :param cpu: processor time, as a share of a core.
    :param appends: records that one instance appends in a second at rest.
    """

    mean_kb_s: float
    max_kb_s: float
    cpu: float
    appends: float


def estimate_peers() -> Iterator[Estimate]:
    """
    Measure fleets of several sizes.

    :returns: the figures of the entry instance, the relay and the log.
    """
    by_zones = [_measure(zones, 3) for zones in ZONE_COUNTS]
    by_entries = [_measure(3, entries) for entries in ENTRY_COUNTS]
    yield from _estimate_zones(by_zones)
    yield from _estimate_entries(by_entries)
    yield from _estimate_numbers()
    instances = [zones * 3 for zones in ZONE_COUNTS]
    appends = [run.appends * count for run, count in zip(by_zones, instances, strict=True)]
    target = ZONES * ENTRIES_PER_ZONE
    line = fit_line(instances, appends, target)
    yield _line("log", "appends at rest", "records/s", "instances", target, line, APPENDS_BUDGET)


def _estimate_zones(runs: list[Traffic]) -> Iterator[Estimate]:
    mean = fit_line(ZONE_COUNTS, [run.mean_kb_s for run in runs], ZONES)
    largest = fit_line(ZONE_COUNTS, [run.max_kb_s for run in runs], ZONES)
    cpu = fit_line(ZONE_COUNTS, [run.cpu for run in runs], ZONES)
    entry, relay, size = "entry instance", "relay", "zones of 3"
    yield _line(entry, "messages in and out", "KB/s", size, ZONES, mean, BYTES_BUDGET_KB_S)
    yield _line(relay, "messages in and out", "KB/s", size, ZONES, largest, BYTES_BUDGET_KB_S)
    yield _line(entry, "processor", "share of a core", size, ZONES, cpu, CPU_BUDGET)


def _estimate_entries(runs: list[Traffic]) -> Iterator[Estimate]:
    mean = fit_line(ENTRY_COUNTS, [run.mean_kb_s for run in runs], ENTRIES_PER_ZONE)
    size = "instances in each of 3 zones"
    yield _line(
        "entry instance",
        "messages in and out",
        "KB/s",
        size,
        ENTRIES_PER_ZONE,
        mean,
        BYTES_BUDGET_KB_S,
    )


def _estimate_numbers() -> Iterator[Estimate]:
    run = _measure(ZONES, 3, TEAMS)
    roles = {"entry instance": run.mean_kb_s, "relay": run.max_kb_s}
    for role, value in roles.items():
        yield Estimate(
            role,
            "messages, a number of every team changing each second",
            "KB/s",
            None,
            "zones of 3",
            ZONES,
            value,
            None,
            BYTES_BUDGET_KB_S,
        )


def _measure(zones: int, entries: int, numbers: int = 0) -> Traffic:
    names = tuple(f"z{number:02}" for number in range(zones))
    aggregates.PROVIDERS["capacity"] = lambda state: _changing_numbers(state, numbers)
    try:
        world = make_fleet(
            zones * 100 + entries,
            zones=names,
            entries_per_zone=entries,
            endpoints_per_zone=1,
            settle_s=SETTLE_S,
        )
        return _watch(world)
    finally:
        del aggregates.PROVIDERS["capacity"]


def _changing_numbers(state: object, count: int) -> dict[str, int]:
    # Doubles and halves, so that each change is large enough to be sent.
    now_s = getattr(state, "now_s", 0.0)
    value = 100 if int(now_s) % 2 else 200
    return {f"team-{number}": value for number in range(count)}


def _watch(world: World) -> Traffic:
    network = world.network
    network.sent_bytes.clear()
    network.received_bytes.clear()
    appended = world.log.appended
    began_s = process_time()
    advance(world, MEASURE_S)
    cpu_s = process_time() - began_s
    count = len(world.entries)
    kilobytes = [
        (network.sent_bytes[name] + network.received_bytes[name]) / MEASURE_S / 1000
        for name in world.entries
    ]
    return Traffic(
        sum(kilobytes) / count,
        max(kilobytes),
        cpu_s / MEASURE_S / count,
        (world.log.appended - appended) / MEASURE_S / count,
    )


def _line(
    role: str, quantity: str, unit: str, size: str, target: float, line: Line, budget: float
) -> Estimate:
    at, slope, error = line
    return Estimate(role, quantity, unit, slope, size, target, at, error, budget)
