"""A job of many small tasks is cancelled, and its tasks run on."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

import world as w  # noqa: E402 - importable only after the path is set above

EXECUTORS = 6
# Three jobs need 180 of the 192 cores; one of them is cancelled, and in any case a small job.
JOBS, TASKS, SMALL_TASKS, CPU = 3, 600, 12, 100
CANCEL_S, STOP_S = w.BOUNDS["cancel_ms"] / 1000, w.BOUNDS["stop_ms"] / 1000
# Ends list late by this much at most with no disruption near.
LISTED_S = 0.1
START_LIMIT_S, CALM_S, GONE_LIMIT_S = 40.0, 5.0, 20.0
NAMES = {f"{0xC0 << 32 | n:016x}": TASKS for n in range(JOBS)}
SMALL = f"{0xC1 << 32:016x}"


def running(world, name):
    """Return how many tasks of a job run."""
    for executor in world.executors:
        executor.advance()
    return sum(task.startswith(name) for e in world.executors for task in e.runs)


async def scenario(world):
    entry, sizes = world.instances[1], {**NAMES, SMALL: SMALL_TASKS}
    for name, tasks in sizes.items():
        world.works[name] = None
        body = w.job(tasks, CPU, 10, 0, long_running=True)
        status, _ = await entry.call("POST", f"/q/{name}", body)
        if status != 200:
            raise w.CannotRunError("a job was not accepted")
    until = world.record.now() + START_LIMIT_S
    while any(running(world, name) < tasks for name, tasks in sizes.items()):
        if world.record.now() > until:
            raise w.CannotRunError("the tasks have not begun")
        await asyncio.sleep(0.2)
    world.record("all.run", tasks=sum(sizes.values()))
    await asyncio.sleep(CALM_S)
    broken = []
    for name in [SMALL, *list(NAMES)[: int(w.has_trouble())]]:
        status, _ = await entry.call("DELETE", f"/q/{name}")
        acked = world.record.now()
        if status not in (200, 410):
            raise w.CannotRunError(f"the cancel was answered {status}")
        await asyncio.sleep(CANCEL_S + STOP_S + LISTED_S - (world.record.now() - acked))
        left, after_s = running(world, name), world.record.now() - acked
        while running(world, name) and world.record.now() < acked + GONE_LIMIT_S:
            await asyncio.sleep(0.1)
        gone_s, last = round(world.record.now() - acked, 1), running(world, name)
        world.record(
            "seen", job=name, of=sizes[name], after_s=round(after_s, 2), left=left,
            later_s=gone_s, then_left=last,
        )
        if left:
            broken.append(
                f"UNASKED: {left} of {sizes[name]} tasks of a job run on {after_s:.2f} s after its"
                f" cancelling was acknowledged, and {last} of them {gone_s} s after it"
            )
    return broken


w.run(__file__, scenario, executors=EXECUTORS)
