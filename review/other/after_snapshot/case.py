"""
All processes restart after the store has dropped records that follow the latest snapshot.
"""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lib"))

import standins  # noqa: E402

KEEP_S = 20.0
# The program stores a snapshot of its state after this many records.
SNAPSHOT_RECORDS = 20_000
BUSY = [{"count": 500, "cpu": 100, "mem_mb": 16, "estimate_ms": 400}]
CALM = [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 500}]
LASTING = [{"count": 3, "cpu": 500, "mem_mb": 256, "estimate_ms": 1000, "long_running": True}]


async def play(fleet):
    note = fleet.note
    fleet.add_route("work")
    for number in range(6):
        fleet.add_executor("work", fleet.zones[number % 3], f"r-{number // 4}")
    await fleet.start(daemons=3)
    lasting = standins.new_job_id()
    await fleet.submit(lasting, LASTING, "lasts")
    jobs = fleet.store.partition("jobs")
    while not fleet.store.partition("keyed.snapshots").newest:
        if note.now() > 50:
            raise standins.CannotRun(f"no snapshot after {jobs.end} records")
        body = {"spec": "0.4", "phases": BUSY}
        await fleet.call(random.choice(fleet.daemons), "POST", standins.new_job_id(), body)
        await asyncio.sleep(0.6)
    note(f"a snapshot is stored after {jobs.end} records")
    until_s = note.now() + KEEP_S + 8.0
    while note.now() < until_s:
        await send(fleet)
        await asyncio.sleep(0.5)
    if standins.is_trouble():
        for daemon in fleet.daemons:
            daemon.signal(signal.SIGKILL)
        for daemon in fleet.daemons:
            daemon.process.wait()
        await asyncio.sleep(1.0)
        for daemon in fleet.daemons:
            daemon.start()
    back_s = note.now()
    started = len(fleet.starts)
    while note.now() < back_s + fleet.bounds["recovery_s"] + 4.0:
        await send(fleet)
        await asyncio.sleep(0.5)
    unanswered = 0
    until_s = note.now() + fleet.bounds["finish_s"]
    while note.now() < until_s:
        for daemon in fleet.daemons:
            status, _answer = await fleet.call(daemon, "GET", lasting)
            unanswered += status != 200
        await asyncio.sleep(2.0)
    count = len(fleet.starts) - started
    note(f"{count} tasks were started after the restart; {unanswered} questions had no state")
    if standins.is_trouble() and not count:
        fleet.report_break(
            "LOST", f"nothing was started after the restart, and {unanswered} questions about the "
            "accepted job were not answered with its state"
        )  # fmt: skip


async def send(fleet):
    body = {"spec": "0.5", "phases": CALM}
    status, _answer = await fleet.call(
        random.choice(fleet.daemons), "POST", standins.new_job_id(), body
    )
    return 200 <= status < 300


standins.run_case(Path(__file__).resolve().parent, play, keep_s=KEEP_S)
