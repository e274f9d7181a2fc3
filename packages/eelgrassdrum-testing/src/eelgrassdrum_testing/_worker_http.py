"""
A worker over HTTP.
"""

import re
from collections.abc import Callable
from functools import partial
from time import monotonic
from typing import Annotated

import msgspec

from . import _worker as worker
from ._faults import Faults, faulty
from ._http_server import Call, Handler, Reply, error_reply, json_reply
from ._task import (
    NoRoomError,
    StaleFenceError,
    Task,
    TaskEndedError,
    TaskSpec,
    UnknownTaskError,
    WorkerError,
)
from ._timers import CallLater

TASKS_PATH = "/tasks"
ACTION_PATH = re.compile(rf"{TASKS_PATH}/([\w.-]+)/(renew|checkpoint|throttle|stop)")

ERRORS: dict[type[WorkerError], tuple[int, str]] = {
    StaleFenceError: (409, "stale_fence"),
    TaskEndedError: (410, "task_ended"),
    UnknownTaskError: (404, "unknown_task"),
    NoRoomError: (503, "no_room"),
}


class WorkerFaults(Faults):
    """
    Faults of a worker.

    :param fail_all: every task fails soon after its start.
    :param usage_lag_s: seconds by which usage is old from now on, unchanged when left out.
    """

    fail_all: bool = False
    usage_lag_s: float | None = None


class Action(msgspec.Struct, forbid_unknown_fields=True):
    """
    The body of a call that acts on a task.

    :param fence: the caller's fencing token.
    :param lease_s: seconds, for a renewal.
    :param speed: share of full speed, for a throttle.
    """

    fence: int
    lease_s: float = 0.0
    speed: Annotated[float, msgspec.Meta(ge=0, le=1)] = 1.0


class TaskReport(msgspec.Struct, frozen=True):
    """
    A task as callers see it; its usage is one lag old.
    """

    task: str
    state: str
    fence: int
    team: str
    workspace: str
    lease_left_s: float
    progress_s: float
    checkpoint_s: float
    used_cores: float
    used_memory_gb: float


class Tasks(msgspec.Struct, frozen=True):
    """
    The body of the answer to ``GET /tasks``.
    """

    id: str
    cores: float
    memory_gb: float
    accelerators: int
    tasks: list[TaskReport]


def make_worker_handler(
    state: worker.WorkerState, call_later: CallLater, clock: Callable[[], float] = monotonic
) -> Handler:
    """
    Build the worker's handler.

    :param state: the worker.
    :param call_later: schedules delayed answers.
    :param clock: gives seconds.
    :returns: the handler, with faults.
    """

    def changed(faults: WorkerFaults) -> None:
        worker.advance(state, clock())
        state.fail_all = faults.fail_all
        if faults.usage_lag_s is not None:
            state.usage_lag_s = faults.usage_lag_s

    return faulty(partial(handle_call, state, clock), WorkerFaults, call_later, changed)


def handle_call(state: worker.WorkerState, clock: Callable[[], float], call: Call) -> None:
    """
    Answer one call.

    :param state: the worker.
    :param clock: gives seconds.
    :param call: the call.
    """
    try:
        call.reply(call_reply(state, clock(), call))
    except WorkerError as exc:
        status, error = ERRORS[type(exc)]
        call.reply(error_reply(status, error, str(exc)))


def call_reply(state: worker.WorkerState, now_s: float, call: Call) -> Reply:
    """
    Carry out one call.

    :param state: the worker, changed in place.
    :param now_s: time in seconds.
    :param call: the call.
    :returns: the answer.
    :raises WorkerError: the worker refuses.
    """
    match = ACTION_PATH.fullmatch(call.path)
    if call.method == "POST" and match is not None:
        action = msgspec.json.decode(call.body, type=Action)
        task = worker.held_task(state, match[1], action.fence, now_s)
        act(task, match[2], action, now_s)
        return json_reply(report(state, task))
    if call.method == "POST" and call.path == TASKS_PATH:
        spec = msgspec.json.decode(call.body, type=TaskSpec)
        return json_reply(report(state, worker.start_task(state, spec, now_s)))
    if call.method == "GET" and call.path == TASKS_PATH:
        worker.advance(state, now_s)
        return json_reply(report_all(state))
    return error_reply(404, "not_found", call.path)


def act(task: Task, name: str, action: Action, now_s: float) -> None:
    """
    Act on a running task.

    :param task: the task, changed in place.
    :param name: the action.
    :param action: its parameters.
    :param now_s: time in seconds.
    """
    if name == "renew":
        worker.renew(task, action.lease_s, now_s)
    elif name == "checkpoint":
        worker.checkpoint(task)
    elif name == "throttle":
        worker.throttle(task, action.speed, now_s)
    else:
        worker.stop(task, now_s)


def report(state: worker.WorkerState, task: Task) -> TaskReport:
    """
    Describe a task.

    :param state: the worker, brought up to now.
    :param task: the task.
    :returns: the report.
    """
    usage = worker.reported_usage(state, task)
    return TaskReport(
        task=task.spec.task,
        state=task.state,
        fence=task.fence,
        team=task.spec.team,
        workspace=task.spec.workspace,
        lease_left_s=max(0.0, task.lease_until_s - state.now_s),
        progress_s=task.progress_s,
        checkpoint_s=task.checkpoint_s,
        used_cores=usage.cores,
        used_memory_gb=usage.memory_gb,
    )


def report_all(state: worker.WorkerState) -> Tasks:
    """
    Describe a worker and its tasks.

    :param state: the worker, brought up to now.
    :returns: the report.
    """
    reports = [report(state, task) for task in state.tasks.values()]
    return Tasks(state.id, state.cores, state.memory_gb, state.accelerators, reports)
