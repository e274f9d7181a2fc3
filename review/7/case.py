"""
A task loses its executor twice. From then on it waits until some executor is empty of other jobs'
work, while nearly all of the service's capacity is free.
"""

import asyncio

from standins import Case, run_case

LONG_S = 80.0
FINISH_S = 14.0
JUDGED_S = 3.0
LONG_JOB = "a" * 16


def route(name: str, prefix: str, **fields):
    return {
        "name": name, "host": "host", "prefix": prefix, "kind": "non_idempotent",
        "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "service": "s-1",
        "max_attempts": 3, "slack_factor": 1.6, "public": False, **fields,
    }  # fmt: skip


def config(*routes):
    return {
        "routes": list(routes),
        "services": [{"name": "s-1", "rejects_overload": False, "standby": False}],
        "limits": {"max_body_bytes": 262144},
        "tenants": [{"name": "t-1", "api_keys": ["key-a"], "weight": 1,
                     "upper_limit": {"cpu": 0, "mem_mb": 0, "gpu": 0}}],
    }  # fmt: skip


async def play(case: Case, folder):
    world = case.world
    await world.start()

    def work(task: str, _run: int) -> tuple[float, str]:
        return (LONG_S if task.startswith(LONG_JOB) else 4.0), "done"

    for number in range(1, 9):
        await world.add_executor(f"i-{number}", f"m-{number}", "s-1", work)
    case.publish(config(route("r-1", "/q/")))
    if not await case.start_system(folder):
        return None
    await asyncio.sleep(4.0)
    # One small task on each executor, which works for long.
    phase = {"count": 8, "cpu": 1000, "mem_mb": 500, "estimate_ms": 80000, "anti_affinity": 1}
    if not await case.submit("/q/", [phase], job=LONG_JOB):
        return None
    await asyncio.sleep(2.0)
    phase = {"count": 1, "cpu": 2000, "mem_mb": 500, "estimate_ms": 4000}
    job = await case.submit("/q/", [phase])
    if not job:
        return None
    task = f"{job}.0.0.0"
    for _ in range(2 if case.trouble else 0):
        # An executor is lost for good, about a second after it has begun the task.
        at = await _find(world, task)
        if at is None:
            return None
        await asyncio.sleep(1.0)
        at.crash()
    lost_s = world.record.now_s()
    await asyncio.sleep(FINISH_S)
    # For 3 s, nothing of the job runs.
    idle_s = 0.0
    while idle_s < JUDGED_S and not _runs(world, task):
        await asyncio.sleep(0.1)
        idle_s += 0.1
    state = await case.state("/q/", job)
    up = [executor for executor in world.executors if executor.is_up]
    free = [32_000 - 1_000 * len(executor.runs) for executor in up]
    starts = world.starts.get(task, [])
    text = f"{job} is {state}; its last start was at {starts[-1][0]} s, the last executor was lost "
    text += f"at {lost_s} s; {len(up)} executors are up, with {min(free)} of 32000 thousandths of a "
    text += f"core free on each; nothing of it ran for {idle_s:.1f} s"
    if state not in ("completed", "failed") and idle_s >= JUDGED_S:
        return False, text
    return True, text


def _runs(world, task: str) -> bool:
    return any(task in executor.runs for executor in world.executors if executor.is_up)


async def _find(world, task: str):
    for _ in range(200):
        for executor in world.executors:
            if executor.is_up and task in executor.runs:
                return executor
        await asyncio.sleep(0.05)
    return None


run_case(play)
