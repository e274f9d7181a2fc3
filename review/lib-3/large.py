"""Large jobs are handed in; what becomes of the small jobs that follow is judged by `LOST`."""

import asyncio
import time

import world as w

SMALL_JOBS, SMALL_CPU = 20, 1_000
# Jobs that are accepted before the large ones and whose time comes after them.
TIMED_JOBS, TIMED_S = 5, 10.0
LARGE_ATTEMPTS = 5
FINISH_S = w.BOUNDS["finish_s"]


async def hand_in(world, number, name, body, attempts=3):
    """Hand a job in like a client: after no answer, a 503 or a 504 it comes again elsewhere."""
    for attempt in range(attempts):
        instance = world.instances[(number + attempt) % len(world.instances)]
        status, _ = await instance.call("POST", f"/q/{name}", body)
        if status == 200:
            return True
        await asyncio.sleep(1)
    return False


async def judge(world, bodies):
    """
    Hand large jobs in at once, then small ones, and return what breaks the rule.

    :param bodies: the large jobs; each of them has one step.
    """
    room_cpu = sum(e.capacity["cpu"] for e in world.executors)
    large = {f"{0xD0 << 32 | n:016x}": body for n, body in enumerate(bodies)}
    accepted = []
    due_ms = int((time.time() + TIMED_S) * 1000)
    for number in range(TIMED_JOBS):
        name = f"{0xF0 << 32 | number:016x}"
        world.works[name] = 0.3
        body = w.job(1, SMALL_CPU, estimate_ms=300)
        body |= {"repeat_count": 1, "start_at_ms": due_ms, "interval_ms": 1_000}
        if await hand_in(world, number, name, body):
            accepted.append(name)
    if w.has_trouble():
        handing = (hand_in(world, n, *i, LARGE_ATTEMPTS) for n, i in enumerate(large.items()))
        taken = [name for name, ok in zip(large, await asyncio.gather(*handing)) if ok]
        # A large job is owed as well if there is capacity for it twice over.
        needs = {n: large[n]["phases"][0]["cpu"] * large[n]["phases"][0]["count"] for n in taken}
        accepted += [name for name, need in needs.items() if 2 * need <= room_cpu]
    await asyncio.sleep(1)
    names = [f"{0xA0 << 32 | n:016x}" for n in range(SMALL_JOBS)]
    handing = []
    small = w.job(1, SMALL_CPU, estimate_ms=300)
    for number, name in enumerate(names):
        world.works[name] = 0.3
        handing.append(asyncio.create_task(hand_in(world, number, name, small)))
        await asyncio.sleep(0.5)
    accepted += [name for name, ok in zip(names, await asyncio.gather(*handing)) if ok]
    if not accepted:
        raise w.CannotRunError("no job was accepted")
    world.record("traffic.ends", accepted=len(accepted))
    # After the end of the traffic the rule gives `finish_s`, and then it watches for 3 s.
    await asyncio.sleep(FINISH_S)
    most_cpu, seen = 0, set()
    for _ in range(30):
        runs = [task for e in world.executors for task in e.runs]
        seen.update(task[:16] for task in runs)
        needs = [large[t[:16]]["phases"][0]["cpu"] if t[:16] in large else SMALL_CPU for t in runs]
        most_cpu = max(most_cpu, sum(needs))
        await asyncio.sleep(0.1)
    asked = (world.instances[0].call("GET", f"/q/{name}") for name in accepted)
    states = dict(zip(accepted, await asyncio.gather(*asked)))
    begun = {task.split(".")[0] for _at, task, _run, _executor in world.starts} | seen
    owed = [name for name in accepted if name not in begun]
    world.record(
        "seen",
        jobs_owed=len(accepted),
        not_begun=len(owed),
        most_cpu_in_use=most_cpu,
        room_cpu=room_cpu,
        large_tasks_started=sum(task[:16] in large for _at, task, _run, _e in world.starts),
        appends_too_large=world.store.refused_large,
        owners=world.count_in_logs('"owner.began"'),
    )
    if most_cpu >= room_cpu / 2:
        return []
    return [
        f"LOST: {name} was accepted and nothing of it has begun {FINISH_S + 3} s after the end of"
        f" the traffic; {most_cpu} of {room_cpu} thousandths of a core are in use;"
        f" asked for its state: {states[name]}"
        for name in owed
    ]
