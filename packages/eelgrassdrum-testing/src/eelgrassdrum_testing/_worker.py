"""
A worker that runs tasks under leases, as state and pure functions over it.

Time comes in with each call, and `advance` brings every task up to it.
"""

import msgspec

from ._task import (
    NoRoomError,
    StaleFenceError,
    Task,
    TaskEndedError,
    TaskSpec,
    TaskState,
    UnknownTaskError,
    Usage,
)

USAGE_LAG_S = 2.0
FAIL_AFTER_S = 0.05


class WorkerState(msgspec.Struct, kw_only=True):
    """
    A worker, its capacity and its tasks by id.
    """

    id: str
    cores: float
    memory_gb: float
    accelerators: int = 0
    usage_lag_s: float = USAGE_LAG_S
    fail_all: bool = False
    now_s: float = 0.0
    tasks: dict[str, Task] = msgspec.field(default_factory=dict)


def start_task(worker: WorkerState, spec: TaskSpec, now_s: float) -> Task:
    """
    Start a task; a repeat with the same fence changes nothing, a newer fence replaces it.

    :param worker: the worker, changed in place.
    :param spec: what to run.
    :param now_s: time in seconds.
    :returns: the task.
    :raises StaleFenceError: a newer fence was seen.
    :raises NoRoomError: the worker is too full.
    """
    advance(worker, now_s)
    known = worker.tasks.get(spec.task)
    if known is not None and spec.fence < known.fence:
        raise StaleFenceError(f"fence {spec.fence} is older than {known.fence}")
    if known is not None and spec.fence == known.fence:
        return known
    require_room(worker, spec)
    task = Task(spec, spec.fence, now_s + spec.lease_s, spec.progress_s, spec.progress_s)
    worker.tasks[spec.task] = task
    record_usage(task, now_s)
    return task


def require_room(worker: WorkerState, spec: TaskSpec) -> None:
    """
    Check that a task fits beside the others that run.

    :param worker: the worker.
    :param spec: the task; one of the same id that runs is to be replaced.
    :raises NoRoomError: it does not fit.
    """
    others = [t.spec for t in running_tasks(worker) if t.spec.task != spec.task]
    wanted = [*others, spec]
    fits = (
        sum(s.cores for s in wanted) <= worker.cores
        and sum(s.memory_gb for s in wanted) <= worker.memory_gb
        and sum(s.accelerators for s in wanted) <= worker.accelerators
    )
    if not fits:
        raise NoRoomError(f"{worker.id} has no room for {spec.task}")


def running_tasks(worker: WorkerState) -> list[Task]:
    """
    List the tasks that run.

    :param worker: the worker.
    :returns: the tasks.
    """
    return [task for task in worker.tasks.values() if task.state == "running"]


def held_task(worker: WorkerState, task_id: str, fence: int, now_s: float) -> Task:
    """
    Find a running task for a caller whose fence is current, and keep a newer fence.

    :param worker: the worker, changed in place.
    :param task_id: the task's id.
    :param fence: the caller's fencing token.
    :param now_s: time in seconds.
    :returns: the task.
    :raises UnknownTaskError: there is no such task.
    :raises StaleFenceError: a newer fence was seen.
    :raises TaskEndedError: the task does not run any more.
    """
    advance(worker, now_s)
    task = worker.tasks.get(task_id)
    if task is None:
        raise UnknownTaskError(f"no task {task_id}")
    if fence < task.fence:
        raise StaleFenceError(f"fence {fence} is older than {task.fence}")
    task.fence = fence
    if task.state != "running":
        raise TaskEndedError(f"{task_id} is {task.state}")
    return task


def renew(task: Task, lease_s: float, now_s: float) -> None:
    """
    Let a task run on for the length of a lease from now.

    :param task: the task, changed in place.
    :param lease_s: seconds.
    :param now_s: time in seconds.
    """
    task.lease_until_s = now_s + lease_s


def checkpoint(task: Task) -> None:
    """
    Keep a task's progress, so that a restart can begin from it.

    :param task: the task, changed in place.
    """
    task.checkpoint_s = task.progress_s


def throttle(task: Task, speed: float, now_s: float) -> None:
    """
    Slow a task down or let it go faster again.

    :param task: the task, changed in place.
    :param speed: share of full speed, from 0 to 1.
    :param now_s: time in seconds.
    """
    task.speed = speed
    record_usage(task, now_s)


def stop(task: Task, now_s: float) -> None:
    """
    Stop a task before its end.

    :param task: the task, changed in place.
    :param now_s: time in seconds.
    """
    end(task, "stopped", now_s)


def advance(worker: WorkerState, now_s: float) -> None:
    """
    Bring every task up to a time: let it work, finish, fail or lapse.

    :param worker: the worker, changed in place.
    :param now_s: time in seconds.
    """
    for task in running_tasks(worker):
        advance_task(worker, task, now_s)
    worker.now_s = now_s


def advance_task(worker: WorkerState, task: Task, now_s: float) -> None:
    """
    Bring one running task up to a time.

    :param worker: the worker.
    :param task: the task, changed in place.
    :param now_s: time in seconds.
    """
    since_s = max(worker.now_s, task.usage[0].at_s)
    until_s = min(now_s, task.lease_until_s)
    target_s = task.spec.run_s
    if worker.fail_all:
        target_s = min(target_s, task.spec.progress_s + FAIL_AFTER_S)
    left_s = target_s - task.progress_s
    worked_s = max(0.0, until_s - since_s) * task.speed
    if worked_s >= left_s:
        task.progress_s = max(task.progress_s, target_s)
        ended_s = since_s + max(0.0, left_s) / task.speed if task.speed > 0 else until_s
        end(task, "failed" if worker.fail_all else "done", ended_s)
        return
    task.progress_s += worked_s
    if now_s >= task.lease_until_s:
        end(task, "lapsed", task.lease_until_s)


def end(task: Task, state: TaskState, at_s: float) -> None:
    """
    End a task; it uses nothing from then on.

    :param task: the task, changed in place.
    :param state: how it ended.
    :param at_s: time in seconds.
    """
    task.state = state
    task.usage.append(Usage(at_s, 0.0, 0.0))


def record_usage(task: Task, at_s: float) -> None:
    """
    Note what a task uses from a time on.

    :param task: the task, changed in place.
    :param at_s: time in seconds.
    """
    spec = task.spec
    cores = spec.cores if spec.used_cores is None else spec.used_cores
    memory_gb = spec.memory_gb if spec.used_memory_gb is None else spec.used_memory_gb
    task.usage.append(Usage(at_s, cores * task.speed, memory_gb))


def reported_usage(worker: WorkerState, task: Task) -> Usage:
    """
    Tell what a task used one lag ago.

    :param worker: the worker.
    :param task: the task.
    :returns: the usage, nothing when the task had not started then.
    """
    seen_s = worker.now_s - worker.usage_lag_s
    seen = [usage for usage in task.usage if usage.at_s <= seen_s]
    return seen[-1] if seen else Usage(seen_s, 0.0, 0.0)
