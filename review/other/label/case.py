"""
Workers crash and start again under their ids as workers of another kind, while tasks wait that need
the former kind.
"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lib"))

import standins  # noqa: E402

# `srv_crash`: 4.5 s at most.
DOWN_S = (1.5, 2.5)
BETWEEN_S = (3.0, 4.0)
CRASHES = 16
# Fills the pool: a worker has room for two of them at a time.
TASKS = [{"count": 14, "cpu": 15_000, "mem_mb": 256, "estimate_ms": 700, "requirements": "a"}]


async def play(fleet):
    note = fleet.note
    fleet.add_route("work")
    # One of seven crashes at a time: a share of 0.143, of 0.15 at most.
    for number in range(7):
        fleet.add_executor("work", fleet.zones[number % 3], f"r-{number // 4}", kind="a")
    await fleet.start(daemons=3)
    traffic = asyncio.create_task(send_jobs(fleet))
    for number in range(CRASHES):
        await asyncio.sleep(random.uniform(*BETWEEN_S))
        executor = fleet.executors[number % len(fleet.executors)]
        if standins.is_trouble():
            note(f"{executor.id} ({executor.kind}) crashes")
            executor.crash()
            await asyncio.sleep(random.uniform(*DOWN_S))
            await executor.start(kind="b" if executor.kind == "a" else "a")
            note(f"{executor.id} is back as a worker of kind {executor.kind}")
    await asyncio.sleep(BETWEEN_S[1])
    traffic.cancel()
    wrong = [start for start in fleet.starts if "a" not in start["labels"]]
    if wrong:
        fleet.report_break(
            "ROUTE", f"{len(wrong)} starts on workers without the label `a`; the first: {wrong[0]}"
        )  # fmt: skip


async def send_jobs(fleet):
    while True:
        body = {"spec": "0.7", "phases": TASKS}
        daemon = random.choice(fleet.daemons)
        await fleet.call(daemon, "POST", standins.new_job_id(), body)
        await asyncio.sleep(0.7)


standins.run_case(Path(__file__).resolve().parent, play)
