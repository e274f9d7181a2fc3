"""
The workers of one rack lose power at the same moment.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

import standins  # noqa: E402

# `srv_crash` with `rack dark`: 7.4 s at most on the site's days.
DOWN_S = 7.0
RACK = "r-0"
LASTING = [{"count": 5, "cpu": 2600, "mem_mb": 1024, "estimate_ms": 700, "long_running": True}]
SHORT = [{"count": 2, "cpu": 1800, "mem_mb": 1024, "estimate_ms": 3000}]


async def play(fleet):
    note = fleet.note
    fleet.add_route("work")
    for number in range(6):
        fleet.add_executor("work", fleet.zones[number % 3], f"r-{number // 4}")
    await fleet.start(daemons=3)
    jobs = {standins.new_job_id(): (LASTING, "lasts"), standins.new_job_id(): (SHORT, "3.0")}
    for job, (phases, spec) in jobs.items():
        await fleet.submit(job, phases, spec)
    while len(fleet.starts) < 7:
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    members = [executor for executor in fleet.executors if executor.rack == RACK]
    if standins.is_trouble():
        note(f"the workers of rack {RACK} lose power")
        for executor in members:
            executor.lose_power()
        await asyncio.sleep(DOWN_S)
        for executor in members:
            await executor.restart_dark()
        note(f"the workers of rack {RACK} are back")
    await asyncio.sleep(15.0)
    for job in jobs:
        status, answer = await fleet.call(fleet.daemons[0], "GET", job)
        state = answer.get("state") if status == 200 else status
        ends = [end for end in fleet.ends if end["task"].startswith(job)]
        failed = sum(end["how"] == "failed" for end in ends)
        under = {executor for executor, task in fleet.gone if task.startswith(job)}
        note(f"{job} is shown as {state}; {failed} runs ended failed; crashed under it: {under}")
        if state in ("failed", "cancelled"):
            fleet.report_break(
                "LOST",
                f"{job} is shown as {state}; {failed} of its runs ended failed, and its tasks ran "
                f"on {len(under)} workers when these crashed",
            )


standins.run_case(Path(__file__).resolve().parent, play)
