"""
Throughput, latency and idle cost of one entry instance.
"""

import contextlib
import subprocess
import sys
import time
from collections.abc import Iterator
from typing import NamedTuple

import msgspec
import psutil

from .. import _daemon as fleet
from .._http_client import call
from .._load import LoadPlan, LoadResult
from .._process import Process, Start, processes
from .._wait import wait_until
from ._measure import Bench, Measure, measure

ENDPOINTS = 2
SLOTS = 64
CALLERS = 32
LOAD_S = 3.0
ROUNDS = 3
LOAD_TIMEOUT_S = 60.0
IDLE_S = 5.0
MIN_THROUGHPUT_RATIO = 0.6
MAX_IDLE_CPU_PERCENT = 4.0
MAX_MEMORY_MB = 256.0
BYTES_PER_MB = 1_000_000
MS_PER_S = 1000.0
PERCENT = 100.0
QUEUE_PATH = "/v1/queues/show/scores/requests"
DOCUMENT = {
    "services": [{"name": "judging", "executors": ENDPOINTS, "max_unavailable": 1}],
    "queues": [
        {
            "name": "scores",
            "service": "judging",
            "access": "keyed",
            "max_queued": 1000,
            "max_bytes": 100_000_000,
            "max_wait_s": 10.0,
            "max_run_s": 10.0,
        }
    ],
    "teams": [{"name": "judges", "share": 1.0, "limit": 10_000}],
}


class Served(NamedTuple):
    """
    One entry instance with endpoints that answer at once.
    """

    daemon: Process
    endpoints: list[Process]
    key: str


@contextlib.contextmanager
def serve() -> Iterator[tuple[Start, Served]]:
    """
    Start the processes.

    :returns: a function that starts more, and what runs.
    """
    with processes() as start:
        platform = fleet.start_platform(start)
        endpoints = [start_endpoint(start, platform, number) for number in range(ENDPOINTS)]
        writer = fleet.Writer(platform.log.address)
        fleet.publish(writer, "show", DOCUMENT)
        key = fleet.grant_key(writer, "show", "judges", "k1", "s3cret")
        daemon = fleet.start_daemon(start, platform, "entry-a1", "a")
        fleet.wait_ready(daemon)
        headers = {"X-Request-Id": "warm-up", "X-Key": key}
        wait_until(
            lambda: call(daemon.address, "POST", QUEUE_PATH, b"", headers).status == fleet.STATUS_OK
        )
        yield start, Served(daemon, endpoints, key)


def start_endpoint(start: Start, platform: fleet.Platform, number: int) -> Process:
    """
    Start an endpoint that answers at once, and list it.

    :param start: starts a process.
    :param platform: the platform's services.
    :param number: its number.
    :returns: the process.
    """
    name = f"ep-{number}"
    process = start(name, [sys.executable, "-m", "eelgrassdrum_testing._null_endpoint", name])
    listed = fleet.Endpoint(name, "a", "show/judging", SLOTS)
    fleet.list_endpoint(platform, listed, process.address, "live")
    return process


def run_load(plan: LoadPlan) -> LoadResult:
    """
    Run callers in a process of their own.

    :param plan: what they send.
    :returns: what they got.
    """
    command = [
        sys.executable,
        "-m",
        "eelgrassdrum_testing._load",
        msgspec.json.encode(plan).decode(),
    ]
    done = subprocess.run(command, capture_output=True, check=True, timeout=LOAD_TIMEOUT_S)
    return msgspec.json.decode(done.stdout, type=LoadResult)


def answered_per_s(results: list[LoadResult]) -> float:
    """
    Give the best of several runs, which other work on the machine disturbed least.

    :param results: the runs.
    :returns: answers with status 200 a second.
    """
    return max(result.statuses.get("200", 0) / result.seconds for result in results)


def bench_throughput() -> Iterator[Measure]:
    """
    Compare the daemon with a bare circuits.web pass-through, in turns.
    """
    with serve() as (start, served):
        bare = start(
            "passthrough",
            [
                sys.executable,
                "-m",
                "eelgrassdrum_testing._passthrough",
                *[endpoint.address for endpoint in served.endpoints],
            ],
        )
        ours, theirs = [], []
        for number in range(ROUNDS):
            theirs.append(run_load(LoadPlan(bare.address, QUEUE_PATH, CALLERS, LOAD_S)))
            headers = {"X-Key": served.key}
            plan = LoadPlan(
                served.daemon.address,
                QUEUE_PATH,
                CALLERS,
                LOAD_S,
                headers=headers,
                prefix=f"round-{number}",
            )
            ours.append(run_load(plan))
        memory_mb = psutil.Process(served.daemon.pid).memory_info().rss / BYTES_PER_MB
    yield measure(
        "daemon.throughput",
        answered_per_s(ours),
        "1/s",
        baseline=answered_per_s(theirs),
        at_least=MIN_THROUGHPUT_RATIO,
    )
    unanswered = sum(
        count
        for result in ours
        for status, count in result.statuses.items()
        if status != str(fleet.STATUS_OK)
    )
    yield measure("daemon.throughput.unanswered", unanswered, "requests", at_most=0)
    yield measure("daemon.memory_after_load", memory_mb, "MB", at_most=MAX_MEMORY_MB)


def bench_latency() -> Iterator[Measure]:
    """
    Measure one caller at a time, when nothing waits.
    """
    with serve() as (_, served):
        headers = {"X-Key": served.key}
        result = run_load(LoadPlan(served.daemon.address, QUEUE_PATH, 1, LOAD_S, headers=headers))
    latencies = sorted(result.latencies_s)
    yield measure("daemon.latency_p50", latencies[len(latencies) // 2] * MS_PER_S, "ms")
    yield measure("daemon.latency_p99", latencies[len(latencies) * 99 // 100] * MS_PER_S, "ms")


def bench_idle() -> Iterator[Measure]:
    """
    Measure what an entry instance costs when no caller comes.
    """
    with serve() as (_, served):
        process = psutil.Process(served.daemon.pid)
        before = process.cpu_times()
        start_s = time.monotonic()
        time.sleep(IDLE_S)
        after = process.cpu_times()
        seconds = time.monotonic() - start_s
        memory_mb = process.memory_info().rss / BYTES_PER_MB
    used_s = after.user + after.system - before.user - before.system
    yield measure(
        "daemon.idle_cpu",
        PERCENT * used_s / seconds,
        "% of a core",
        at_most=MAX_IDLE_CPU_PERCENT,
    )
    yield measure("daemon.idle_memory", memory_mb, "MB", at_most=MAX_MEMORY_MB)


BENCHES: dict[str, Bench] = {
    "daemon.throughput": bench_throughput,
    "daemon.latency": bench_latency,
    "daemon.idle": bench_idle,
}
