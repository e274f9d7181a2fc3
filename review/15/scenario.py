"""The count of waiting jobs while an executor refuses starts."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

import world as w  # noqa: E402 - importable only after the path is set above

EXECUTORS, JOBS = 12, 10


async def scenario(world):
    entry = world.instances[0]
    # All executors but one are busy.
    for number in range(EXECUTORS - 1):
        name = f"{0xF0 << 32 | number:016x}"
        world.works[name] = None
        body = w.job(1, 32_000, estimate_ms=0, long_running=True)
        status, _ = await entry.call("POST", f"/q/{name}", body)
        if status != 200:
            raise w.CannotRunError("a job that fills an executor was not accepted")
    await asyncio.sleep(1.5)
    busy = {executor for _at, _task, _run, executor in world.starts}
    if len(busy) != EXECUTORS - 1:
        raise w.CannotRunError(f"{len(busy)} executors are busy")
    idle = next(item for item in world.executors if item.id not in busy)
    if w.has_trouble():
        idle.mode = "unhealthy"
        world.record("disruption.begins", executor=idle.id)
    began = world.record.now()
    handed = {}
    for number in range(JOBS):
        name = f"{0xA0 << 32 | number:016x}"
        status, _ = await entry.call("POST", f"/q/{name}", w.job(1, 3_000))
        if status == 200:
            handed[name] = world.record.now()
    if len(handed) < 4:
        raise w.CannotRunError(f"only {len(handed)} jobs were accepted")
    await asyncio.sleep(max(handed.values()) + 5.2 - world.record.now())
    begun = {task.split(".")[0] for _at, task, _run, _executor in world.starts}
    owed = [name for name in handed if name not in begun]
    broken = []
    for instance in world.instances:
        status, answer = await instance.call("GET", "/q/")
        if status == 200 and answer.get("pending", 0) < len(owed) / 2:
            broken.append(
                f"MIXED: {instance.name} gives pending={answer.get('pending')} while {len(owed)}"
                " accepted jobs have not begun for over 5 s"
            )
    world.record("disruption.lasted", seconds=round(world.record.now() - began, 2))
    states = [(await entry.call("GET", f"/q/{name}"))[1].get("state") for name in owed]
    world.record("states", of=len(owed), states=states)
    return broken


# The argument is the path of record.txt.
w.run(sys.argv[1], scenario, executors=EXECUTORS)
