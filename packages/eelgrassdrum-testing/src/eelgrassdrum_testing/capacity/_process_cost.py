"""
What the processes themselves take on this machine.
"""

from collections.abc import Iterator
from time import sleep

import psutil

from .. import _daemon
from .._process import processes
from ._fit import Estimate, fit_line

COUNTS = (1, 2, 3)
SETTLE_S = 4.0
MEASURE_S = 10.0
TODAY = 9
MEMORY_BUDGET_MB = 256.0
CPU_BUDGET = 0.04


def estimate_processes() -> Iterator[Estimate]:
    """
    Measure daemons at rest, one to three of them in one zone.

    :returns: memory and processor time of one of them in today's fleet.
    """
    runs = [_measure(count) for count in COUNTS]
    memory = fit_line(COUNTS, [run[0] for run in runs], TODAY)
    cpu = fit_line(COUNTS, [run[1] for run in runs], TODAY)
    role, size = "entry instance", "processes"
    yield Estimate(
        role,
        "resident memory at rest",
        "MB",
        memory.slope,
        size,
        TODAY,
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
        TODAY,
        cpu.at,
        cpu.error,
        CPU_BUDGET,
    )


def _measure(count: int) -> tuple[float, float]:
    with processes() as start:
        platform = _daemon.start_platform(start)
        daemons = []
        for number in range(count):
            name = f"entry-a{number}"
            daemon = _daemon.start_daemon(start, platform, name, "a")
            _daemon.put_instance(platform, _daemon_entry(name, daemon))
            daemons.append(psutil.Process(daemon.pid))
        sleep(SETTLE_S)
        before = [_cpu_s(daemon) for daemon in daemons]
        sleep(MEASURE_S)
        used_s = [_cpu_s(d) - spent for d, spent in zip(daemons, before, strict=True)]
        memory_mb = max(daemon.memory_info().rss for daemon in daemons) / 1e6
    return memory_mb, max(used_s) / MEASURE_S


def _daemon_entry(name: str, daemon: _daemon.Process) -> dict[str, object]:
    return {
        "id": name,
        "role": "entry",
        "address": daemon.address,
        "peer_address": daemon.peer_address,
        "zone": "a",
        "state": "live",
        "incarnation": 1,
    }


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)
