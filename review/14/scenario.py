"""A job that waits for an empty executor although most of the room is free."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

import world as w  # noqa: E402 - importable only after the path is set above

# Two executors are lost for good, one after the other: an eighth of the service each time.
EXECUTORS, CRASHES, BEFORE_CRASH_S = 8, 2, 1.0
# Another job has one long task on each executor, which takes a quarter of its room.
LONG_CPU, LONG_S = 8_000, 45.0
CPU, WORK_S = 4_000, 6.0
FINISH_S, WATCH_S = w.BOUNDS["finish_s"], 3.0
LONG, NAME = f"{0xE0 << 32:016x}", f"{0xE1 << 32:016x}"


def is_running(executor, for_s=0.0):
    """Return whether the job runs on an executor, and has done so for some time."""
    return executor.is_up and any(
        task.startswith(NAME) and executor.clock() - run["began_ms"] >= for_s * 1000
        for task, run in executor.runs.items()
    )


def cpu_in_use(world):
    """Return what the runs on all executors use."""
    runs = [task for e in world.executors if e.is_up for task in e.runs]
    return sum(CPU if task.startswith(NAME) else LONG_CPU for task in runs)


async def scenario(world):
    entry = world.instances[1]
    world.works.update({LONG: LONG_S, NAME: WORK_S})
    body = w.job(EXECUTORS, LONG_CPU, estimate_ms=int(LONG_S * 1000), anti_affinity=1)
    first, _ = await entry.call("POST", f"/q/{LONG}", body)
    await asyncio.sleep(2)
    second, _ = await entry.call("POST", f"/q/{NAME}", w.job(1, CPU, estimate_ms=6_000))
    if (first, second) != (200, 200):
        raise w.CannotRunError("a job was not accepted")
    for _ in range(CRASHES if w.has_trouble() else 0):
        until = world.record.now() + 10
        while not any(is_running(e, BEFORE_CRASH_S) for e in world.executors):
            if world.record.now() > until:
                raise w.CannotRunError("the job does not run")
            await asyncio.sleep(0.1)
        lost = next(e for e in world.executors if is_running(e))
        world.tasks.append(asyncio.create_task(lost.crash(down_s=1_000)))
        await asyncio.sleep(0.1)
    world.record("traffic.and.disruption.end")
    await asyncio.sleep(FINISH_S)
    until, has_run, most_cpu = world.record.now() + WATCH_S, False, 0
    while world.record.now() < until:
        has_run = has_run or any(is_running(e) for e in world.executors)
        most_cpu = max(most_cpu, cpu_in_use(world))
        await asyncio.sleep(0.05)
    state = (await entry.call("GET", f"/q/{NAME}"))[1].get("state")
    room_cpu = sum(e.capacity["cpu"] for e in world.executors if e.is_up)
    world.record("seen", state=state, has_run=has_run, most_cpu=most_cpu, room_cpu=room_cpu)
    if has_run or state == "completed" or most_cpu >= room_cpu / 2:
        return []
    return [
        f"LOST: the job is {state} and has had nothing running for {WATCH_S} s, {FINISH_S} s after"
        f" the end of the traffic; {most_cpu} of {room_cpu} thousandths of a core are in use"
    ]


w.run(__file__, scenario, executors=EXECUTORS)
