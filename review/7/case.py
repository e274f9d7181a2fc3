"""
A new version removes a route that has unfinished jobs. They go on without the route's settings:
without the tickets that its policy asks for, and with fewer attempts than the route allowed.
"""

import asyncio

from standins import Case, run_case

FINISH_S = 14.0
FAILURES = 3
MAX_ATTEMPTS = 5


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


ADVICE = {"decide_ms": 10, "per_worker_ms": 1, "valid_ms": 3000}


async def play(case: Case, folder):
    world = case.world
    await world.start()
    advised: set[str] = set()
    failing: set[str] = set()

    def work(task: str, run: int) -> tuple[float, str]:
        if task.partition(".")[0] in failing:
            return 1.0, "failed" if run <= FAILURES else "done"
        return 3.0, "done"

    for number in range(1, 9):
        executor = await world.add_executor(f"i-{number}", f"m-{number}", "s-1", work)
        executor.needs_ticket = lambda task: task.partition(".")[0] in advised
    kept = route("r-3", "/other/")
    full = config(
        route("r-1", "/advised/", advice=ADVICE),
        route("r-2", "/many/", max_attempts=MAX_ATTEMPTS),
        kept,
    )
    case.publish(full)
    if not await case.start_system(folder):
        return None
    await asyncio.sleep(4.0)
    step = {"cpu": 2000, "mem_mb": 500, "estimate_ms": 3000}
    phases = [{"count": 4, **step}, {"count": 4, "depends_on": [0], **step}]
    # The executors know from the id which tasks need a ticket, and which fail at first.
    job_a, job_b = "a" * 16, "b" * 16
    advised.add(job_a)
    failing.add(job_b)
    job_a = await case.submit("/advised/", phases, job=job_a)
    job_b = await case.submit("/many/", [{"count": 1, **step}], job=job_b)
    if not job_a or not job_b:
        return None
    await asyncio.sleep(1.0)
    if case.trouble:
        case.publish(config(kept))
    await asyncio.sleep(3.0 + 3.0 + FINISH_S)
    # What callers and executors have seen so far; the first step's tasks worked for 3 s.
    firsts = [f"{job_a}.0.0.{number}" for number in range(4)]
    are_done = all(any(e[3] == "done" for e in world.ends.get(t, [])) for t in firsts)
    has_begun = any(task.startswith(f"{job_a}.0.1.") for task in world.starts)
    rejected = sum(1 for line in _lines(case) if '"start rejected"' in line)
    ends_b = [how for _s, _id, _run, how in world.ends.get(f"{job_b}.0.0.0", [])]
    if case.trouble:
        # The state of a job is asked for where its route is: it comes back.
        case.publish(full)
        await asyncio.sleep(1.0)
    state_b = await case.state("/many/", job_b)
    text = f"{job_a}: first step done {are_done}, second has begun {has_begun}, "
    text += f"starts rejected for want of a ticket {rejected}; "
    text += f"{job_b} is {state_b}, with {MAX_ATTEMPTS} attempts, after the ends {ends_b}"
    is_failed = state_b == "failed" and ends_b.count("failed") < MAX_ATTEMPTS
    return not (is_failed or (are_done and not has_begun)), text


def _lines(case: Case) -> list[str]:
    with open(case.record.file.name, encoding="utf-8") as file:
        return file.readlines()


run_case(play)
