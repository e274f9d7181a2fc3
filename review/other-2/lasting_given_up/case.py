"""
A job's tasks last. Three executors crash soon after they have begun one of them. The job is given
up, and its other tasks, which are at work on sound executors, are stopped with it.
"""

import asyncio

from standins import Case, run_case

COUNT = 4
MAY_MISS = 1
CRASHES = 4
DOWN_S = 3.0


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

    def work(_task: str, _run: int) -> tuple[float, str]:
        return float("inf"), "done"

    for number in range(1, 9):
        await world.add_executor(f"i-{number}", f"m-{number}", "s-1", work)
    case.publish(config(route("r-1", "/q/")))
    if not await case.start_system(folder):
        return None
    await asyncio.sleep(4.0)
    phase = {"count": COUNT, "cpu": 2000, "mem_mb": 500, "estimate_ms": 1000, "anti_affinity": 1,
             "long_running": True, "may_miss": MAY_MISS}  # fmt: skip
    job = await case.submit("/q/", [phase])
    if not job:
        return None
    await asyncio.sleep(6.0)
    at_work = {e.name: sorted(e.runs) for e in world.executors if e.is_up and e.runs}
    if len(at_work) != COUNT:
        return None
    world.record.write("at work", tasks=at_work)
    first = next(e for e in world.executors if e.runs)
    task = next(iter(first.runs))
    where = first
    for number in range(CRASHES if case.trouble else 0):
        if number:
            where = await _find(world, task)
            if where is None:
                break
            await asyncio.sleep(1.0)
        where.crash()
        asyncio.get_running_loop().create_task(_restart(where))
    await asyncio.sleep(8.0)
    stopped = [
        (name, ends[-1][3]) for name, ends in world.ends.items()
        if name.startswith(job) and name != task and ends[-1][3] == "stopped"
    ]  # fmt: skip
    state = await case.state("/q/", job)
    text = f"{job} is {state}; tasks at work that were stopped: {sorted(stopped)}; {task} was away, "
    text += f"and {MAY_MISS} may be"
    return not stopped, text


async def _restart(executor) -> None:
    await asyncio.sleep(DOWN_S)
    await executor.start()


async def _find(world, task: str):
    for _ in range(400):
        for executor in world.executors:
            if executor.is_up and task in executor.runs:
                return executor
        await asyncio.sleep(0.05)
    return None


run_case(play)
