"""
The racks of a pool are restarted one after the other, twice.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

import standins  # noqa: E402

TASK_S = 12.0
# `srv_crash` with `rack`: 7.4 s at most.
DOWN_S = 4.0
RUN_S = 4.0
TASKS = [{"count": 1, "cpu": 2000, "mem_mb": 256, "estimate_ms": int(TASK_S * 1000)}]


async def play(fleet):
    note = fleet.note
    fleet.add_route("work")
    for number in range(6):
        fleet.add_executor("work", fleet.zones[number % 3], f"r-{number // 4}")
    await fleet.start(daemons=3)
    job = standins.new_job_id()
    await fleet.submit(job, TASKS, str(TASK_S))
    if standins.is_trouble():
        for rack in ("r-0", "r-1", "r-0", "r-1"):
            await asyncio.sleep(RUN_S)
            members = [executor for executor in fleet.executors if executor.rack == rack]
            note(f"the workers of rack {rack} crash")
            for executor in members:
                executor.crash()
            await asyncio.sleep(DOWN_S)
            for number, executor in enumerate(members):
                executor.id = f"i-{fleet.executors.index(executor):04x}{int(note.now()):04x}"
                await executor.start()
            note(f"the workers of rack {rack} are back")
    seen = ""
    for _ in range(60):
        status, answer = await fleet.call(fleet.daemons[0], "GET", job)
        if status == 200:
            seen = answer["state"]
            if seen in ("completed", "failed", "cancelled"):
                break
        await asyncio.sleep(0.5)
    failed = [end for end in fleet.ends if end["task"].startswith(job) and end["how"] == "failed"]
    note(f"the job is shown as {seen}; {len(failed)} of its runs ended failed")
    if seen in ("failed", "cancelled"):
        fleet.report_break(
            "LOST", f"the job {job} is shown as {seen}, none of its tasks ended failed and nobody "
            "cancelled it"
        )  # fmt: skip


standins.run_case(Path(__file__).resolve().parent, play)
