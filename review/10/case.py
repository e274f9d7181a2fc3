"""
A wave asks for the upkeep of machines that have just joined. It is said to be completed, and
nothing was done to them.
"""

import asyncio

from standins import BOUNDS, Case, run_case

CONFIG = {
    "routes": [
        {"name": "r-1", "host": "host", "prefix": "/q/", "kind": "non_idempotent",
         "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "service": "s-1",
         "max_attempts": 3, "slack_factor": 1.6, "public": False},
    ],
    "services": [{"name": "s-1", "rejects_overload": False, "standby": False}],
    "limits": {"max_body_bytes": 262144},
    "tenants": [{"name": "t-1", "api_keys": ["key-a"], "weight": 1,
                 "upper_limit": {"cpu": 0, "mem_mb": 0, "gpu": 0}}],
}  # fmt: skip
WAVE_S = 30
# The bounds of gcrac-sched that differ from those of schaubeet.
BOUNDS.update(stop_ms=900, remote_slowdown=2, checkpoint_s=2)


async def play(case: Case, folder):
    world = case.world
    await world.start()

    def work(_task: str, _run: int) -> tuple[float, str]:
        return 0.4, "done"

    for number in range(1, 8):
        await world.add_executor(f"i-{number}", f"m-{number}", "s-1", work)
    case.publish(CONFIG)
    if not await case.start_system(folder):
        return None
    await asyncio.sleep(8.0)
    for name, machine in (("i-8", "m-8"), ("i-9", "m-9")):
        await world.add_executor(name, machine, "s-1", work)
    # Without the disruption the machines have joined long before they are due.
    await asyncio.sleep(0.3 if case.trouble else 8.0)
    machines = ["m-8", "m-9"]
    wave = {"wave": 1, "machines": machines, "duration_s": WAVE_S, "upper_limit": 1}
    world.store.put("keyed.op", "wave/1", wave)
    world.record.write("wave asked for", **wave)
    for _ in range(WAVE_S + 10):
        await asyncio.sleep(1.0)
        status = _status(world)
        if status == "completed":
            break
    world.record.write("status of the wave", status=status, upkept=world.cloud.upkept)
    missing = [name for name in machines if (name, 1) not in world.cloud.upkept]
    if status == "completed" and missing:
        return False, f"the wave is completed, and the upkeep of {missing} has not begun"
    return True, f"the wave is {status}, without upkeep: {missing}"


def _status(world) -> str:
    status = ""
    for data in world.store.part("keyed.status").records:
        key, value = data[1 : 1 + data[0]], data[1 + data[0] :]
        if key == b"wave/1":
            status = value.decode().partition(':"')[2].partition('"')[0]
    return status


run_case(play)
