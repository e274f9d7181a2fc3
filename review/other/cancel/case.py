"""
A job of many tasks is cancelled while they run on one worker. Nothing is disturbed.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lib"))

import standins  # noqa: E402

COUNT = 200
TASK_S = 30.0
# 30 of a worker's 32 cores.
TASKS = [{"count": COUNT, "cpu": 150, "mem_mb": 64, "estimate_ms": int(TASK_S * 1000)}]


async def play(fleet):
    note = fleet.note
    limit_s = (fleet.bounds["cancel_ms"] + fleet.bounds["stop_ms"]) / 1000
    fleet.add_route("work")
    for number in range(6):
        fleet.add_executor("work", fleet.zones[number % 3], f"r-{number // 4}")
    await fleet.start(daemons=3)
    job = standins.new_job_id()
    await fleet.submit(job, TASKS, str(TASK_S))
    while len(fleet.starts) < COUNT:
        await asyncio.sleep(0.05)
    # The daemons have to be in touch.
    await asyncio.sleep(fleet.bounds["contact_ms"] / 1000 + 1.0)
    if not standins.is_trouble():
        return
    status, _answer = await fleet.call(fleet.daemons[1], "DELETE", job)
    if not 200 <= status < 300:
        raise standins.CannotRun("the cancellation was not acknowledged")
    acked_s = note.now()
    late = []
    while note.now() < acked_s + 10.0:
        running = [
            run for executor in fleet.executors for run in executor.running.values()
            if run.task.startswith(job)
        ]  # fmt: skip
        note(f"{len(running)} tasks run {note.now() - acked_s:.2f} s after the acknowledgement")
        if note.now() > acked_s + limit_s:
            late.append(len(running))
        await asyncio.sleep(0.2)
    if late and late[0]:
        fleet.report_break(
            "UNASKED", f"{late[0]} tasks of the cancelled job ran on {limit_s} s after the "
            f"acknowledgement, {late[-1]} of them 10 s after it"
        )  # fmt: skip


standins.run_case(Path(__file__).resolve().parent, play)
