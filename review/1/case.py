"""
An instance restarts after the store has dropped records that are older than `keep_s`.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

import standins  # noqa: E402

# "20 s of history", by the sheet of each deployment of today.
KEEP_S = float(os.environ.get("KEEP_S", "20"))
# The job is older than the store's history by then.
RESTART_AT_S = KEEP_S + 12.0
DOWN_S = 1.0
LASTING = [{"count": 3, "cpu": 500, "mem_mb": 256, "estimate_ms": 1000, "long_running": True}]
SHORT = [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 500}]


async def play(fleet):
    note, contact_s = fleet.note, fleet.bounds["contact_ms"] / 1000
    visible_s = fleet.bounds["visible_ms"] / 1000
    fleet.add_route("work")
    for number in range(6):
        fleet.add_executor("work", fleet.zones[number % 3], f"r-{number // 4}")
    await fleet.start(daemons=3)
    lasting = standins.new_job_id()
    await fleet.submit(lasting, LASTING, "lasts")
    accepted_s = note.now()
    traffic = asyncio.create_task(send_short_jobs(fleet))
    await asyncio.sleep(RESTART_AT_S)
    victim = fleet.daemons[2]
    if standins.is_trouble():
        victim.signal(signal.SIGKILL)
        victim.process.wait()
        await asyncio.sleep(DOWN_S)
        victim.start()
        await victim.wait_ready()
    touch_s = note.now() + contact_s + 1.0
    until_s = touch_s + 12.0
    gone = 0
    while note.now() < until_s:
        for daemon in fleet.daemons:
            status, _answer = await fleet.call(daemon, "GET", lasting)
            is_judged = note.now() > max(touch_s, accepted_s + visible_s)
            if status == 410 and is_judged:
                gone += 1
        await asyncio.sleep(1.0)
    traffic.cancel()
    if gone:
        fleet.report_break(
            "LOST", f"the accepted job {lasting}, which nobody cancelled, was answered 410 "
            f"{gone} times"
        )  # fmt: skip
    running = [run.task for e in fleet.executors for run in e.running.values()]
    note(f"tasks of the lasting job that run: {sum(t.startswith(lasting) for t in running)} of 3")


async def send_short_jobs(fleet):
    number = 0
    while True:
        daemon = fleet.daemons[number % 2]
        body = {"spec": "0.5", "phases": SHORT}
        await fleet.call(daemon, "POST", standins.new_job_id(), body)
        number += 1
        await asyncio.sleep(1.0)


standins.run_case(
    Path(__file__).resolve().parent, play, limit_s=115 + max(0, KEEP_S - 20), keep_s=KEEP_S
)
