"""
What the processes themselves take on this machine.
"""

from collections.abc import Iterator
from time import sleep

import psutil

from .. import _daemon
from .._process import processes
from ._fit import Estimate, fit_line

ZONE_COUNTS = (1, 2, 3)
ENTRIES_PER_ZONE = 3
SETTLE_S = 4.0
MEASURE_S = 10.0
ZONES = 16
MEMORY_BUDGET_MB = 256.0
CPU_BUDGET = 0.04


def estimate_processes() -> Iterator[Estimate]:
    """
    Measure daemons at rest, three in each of one to three zones.

    :returns: memory and processor time of one of them.
    """
    runs = [_measure(count) for count in ZONE_COUNTS]
    memory = fit_line(ZONE_COUNTS, [run[0] for run in runs], ZONES)
    cpu = fit_line(ZONE_COUNTS, [run[1] for run in runs], ZONES)
    role, size = "entry instance, process", "zones of 3"
    yield Estimate(
        role,
        "resident memory at rest",
        "MB",
        memory.slope,
        size,
        ZONES,
        memory.at,
        memory.error,
        MEMORY_BUDGET_MB,
    )
    yield Estimate(
        role,
        "processor at rest",
        "share of a core",
        cpu.slope,
        size,
        ZONES,
        cpu.at,
        cpu.error,
        CPU_BUDGET,
    )


def _measure(zones: int) -> tuple[float, float]:
    with processes() as start:
        platform = _daemon.start_platform(start)
        daemons = []
        for number in range(zones * ENTRIES_PER_ZONE):
            zone = f"z{number % zones}"
            name = f"entry-{number}"
            daemon = _daemon.start_daemon(start, platform, name, zone)
            _daemon.put_instance(platform, _daemon_entry(name, zone, daemon))
            daemons.append(psutil.Process(daemon.pid))
        sleep(SETTLE_S)
        before = [_cpu_s(daemon) for daemon in daemons]
        sleep(MEASURE_S)
        used_s = [_cpu_s(d) - spent for d, spent in zip(daemons, before, strict=True)]
        memory_mb = max(daemon.memory_info().rss for daemon in daemons) / 1e6
    return memory_mb, sum(used_s) / len(used_s) / MEASURE_S


def _daemon_entry(name: str, zone: str, daemon: _daemon.Process) -> dict[str, object]:
    return {
        "id": name,
        "role": "entry",
        "address": daemon.address,
        "peer_address": daemon.peer_address,
        "zone": zone,
        "state": "live",
        "incarnation": 1,
    }


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)
