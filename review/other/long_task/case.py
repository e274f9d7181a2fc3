"""
Tasks that take longer than a minute run in a sound fleet. No rule covers what this shows; the exit
code is 1 if a task was started more than twice.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lib"))

import standins  # noqa: E402

# Seconds of work and declared seconds of each job's only task.
JOBS = ((80, 80), (80, 40), (40, 40), (20, 20))


async def play(fleet):
    note = fleet.note
    fleet.add_route("work")
    for number in range(6):
        fleet.add_executor("work", fleet.zones[number % 3], f"r-{number // 4}")
    await fleet.start(daemons=3)
    jobs = {}
    for work_s, declared_s in JOBS:
        job = standins.new_job_id()
        jobs[job] = (work_s, declared_s)
        task = {"count": 1, "cpu": 2000, "mem_mb": 16, "estimate_ms": declared_s * 1000}
        await fleet.submit(job, [task], str(work_s))
    await asyncio.sleep(105.0)
    for job, (work_s, declared_s) in jobs.items():
        _status, answer = await fleet.call(fleet.daemons[0], "GET", job)
        starts = sum(start["task"].startswith(job) for start in fleet.starts)
        text = f"a task of {work_s} s, declared as {declared_s} s: {answer}, {starts} starts"
        note(text)
        if starts > 2:
            fleet.report_break("none", text)


standins.run_case(Path(__file__).resolve().parent, play)
