"""A tenant's limit is lowered while a job of it starts."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

import world as w  # noqa: E402 - importable only after the path is set above

EXECUTORS = 6
# A job of 300 tasks of 0.1 cores, all of which the first limit allows; the second one allows 20.
TASKS, CPU, LIMIT_CPU, LOWER_CPU = 300, 100, 40_000, 2_000
# The share of the orders that get no answer and are carried out 2 to 12 s later, and for how long.
LATE_SHARE, LATE_FOR_S = 0.055, 5.5
APPLY_S, OVERRUN = w.BOUNDS["config_apply_ms"] / 1000, w.BOUNDS["quota_overrun"]
ORDERS = ("/api/run-start", "/api/run-stop")
NAME, WORK_S, WATCH_S = f"{0xA0 << 32:016x}", 25.0, 12.0


def leave_unanswered(world, until, rng, late):
    """Return a function that picks the orders that are carried out late."""

    def check(req):
        is_due = req.path in ORDERS and world.record.now() < until
        is_late = is_due and rng.random() < LATE_SHARE
        if is_late and req.path == ORDERS[0]:
            body = req.json()
            late.add((body["task"], body["run"]))
        return is_late

    return check


async def scenario(world):
    world.publish(2, limit_cpu=LIMIT_CPU)
    await asyncio.sleep(APPLY_S + 1)
    world.works[NAME] = WORK_S
    late, rng = set(), random.Random()
    if w.has_trouble():
        until = world.record.now() + LATE_FOR_S
        for executor in world.executors:
            executor.unanswered = leave_unanswered(world, until, rng, late)
    entry = world.instances[1]
    status, _ = await entry.call("POST", f"/q/{NAME}", w.job(TASKS, CPU, 10, int(WORK_S * 1000)))
    if status != 200:
        raise w.CannotRunError("the job was not accepted")
    await asyncio.sleep(0.3)
    limit_cpu = LOWER_CPU if w.has_trouble() else LIMIT_CPU
    world.publish(3, limit_cpu=limit_cpu)
    acked = world.record.now()
    await asyncio.sleep(WATCH_S)
    allowed_cpu = limit_cpu * (1 + OVERRUN) + CPU
    # What runs is counted from the executors' own starts and ends.
    changes = [(at, CPU, (task, run)) for at, task, run, _ in world.starts]
    changes += [(at, -CPU, None) for at, _task, _run, _executor, _how in world.ends]
    running_cpu, over = 0, []
    for at, change, start in sorted(changes, key=lambda item: item[0]):
        running_cpu += change
        is_judged = start is not None and start not in late and at > acked + APPLY_S
        if is_judged and running_cpu > allowed_cpu:
            over.append((round(at - acked, 2), start[0], running_cpu))
    world.record(
        "seen", starts=len(world.starts), late=len(late), over=len(over), first=over[:1],
        last=over[-1:],
    )
    if not over:
        return []
    return [
        f"QUOTA: {len(over)} starts from {over[0][0]} to {over[-1][0]} s after the acknowledgement"
        f" of a limit of {limit_cpu}; up to {max(cpu for _, _, cpu in over)} run then"
    ]


# The argument is the path of record.txt.
w.run(sys.argv[1], scenario, executors=EXECUTORS)
