"""
A worker that was cut off comes back with more ends of runs than one list holds.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

import standins  # noqa: E402

# 30 of a worker's 32 cores.
COUNT = 1500
TASK_S = 8.0
# `node_cut` of workers: 5.5 s at most.
CUT_S = 5.0
TASKS = [{"count": COUNT, "cpu": 20, "mem_mb": 16, "estimate_ms": int(TASK_S * 1000)}]


async def play(fleet):
    note = fleet.note
    fleet.add_route("work")
    # One of six is cut off: a share of 0.167, of 0.17 at most.
    for number in range(6):
        fleet.add_executor("work", fleet.zones[number % 3], f"r-{number // 4}")
    await fleet.start(daemons=3)
    job = standins.new_job_id()
    await fleet.submit(job, TASKS, str(TASK_S))
    while len(fleet.starts) < COUNT:
        await asyncio.sleep(0.05)
        if fleet.ends:
            raise standins.CannotRun("tasks ended before all had started")
    busiest = max(fleet.executors, key=lambda executor: len(executor.running))
    note(f"{len(busiest.running)} of {COUNT} tasks run on {busiest.id}")
    first_end_s = min(run.begun for run in busiest.running.values()) + TASK_S
    await asyncio.sleep(first_end_s - asyncio.get_running_loop().time() - 0.5)
    if standins.is_trouble():
        note(f"{busiest.id} is cut off from all machines and runs on")
        busiest.cut = asyncio.Event()
        await asyncio.sleep(CUT_S)
        note(f"{busiest.id} is reached again")
        cut, busiest.cut = busiest.cut, None
        cut.set()
    for _ in range(150):
        await asyncio.sleep(0.2)
        status, answer = await fleet.call(fleet.daemons[0], "GET", job)
        if status == 200 and answer["state"] == "completed":
            break
    await asyncio.sleep(TASK_S + 2.0)
    check(fleet)


def check(fleet):
    """TWICE: a start after a run has ended `done`, if that end is taken note of then or later."""
    done = {}
    for end in fleet.ends:
        if end["how"] == "lapsed":
            fleet.note("a lease lapsed")
        if end["how"] == "done" and end["noted"] is not None:
            done.setdefault(end["task"], end)
    lapsed = {end["executor"] for end in fleet.ends if end["how"] == "lapsed"}
    again = [
        start
        for start in fleet.starts
        if start["task"] in done
        and start["at"] > done[start["task"]]["at"]
        and done[start["task"]]["executor"] not in lapsed
    ]
    if again:
        fleet.report_break(
            "TWICE", f"{len(again)} tasks started again after a run had ended done; the first: "
            f"{again[0]}, after {done[again[0]['task']]}"
        )  # fmt: skip


standins.run_case(Path(__file__).resolve().parent, play)
