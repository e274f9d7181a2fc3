"""
The tasks that a worker runs and the reasons for which it refuses a call.
"""

from typing import Literal, NamedTuple

import msgspec

TaskState = Literal["running", "done", "failed", "stopped", "lapsed"]


class WorkerError(Exception):
    """
    A call that the worker refuses.
    """


class StaleFenceError(WorkerError):
    """
    The caller's fence is older than one that the worker has seen for the task.
    """


class NoRoomError(WorkerError):
    """
    The worker's free cores, memory or accelerators do not suffice.
    """


class UnknownTaskError(WorkerError):
    """
    The worker has never had the task.
    """


class TaskEndedError(WorkerError):
    """
    The task does not run any more.
    """


class TaskSpec(msgspec.Struct, frozen=True, kw_only=True):
    """
    What a caller asks the worker to run.

    :param task: the task's id.
    :param lease_s: seconds that the task may run without a renewal.
    :param fence: fencing token of the caller's lease.
    :param cores: declared processors.
    :param memory_gb: declared memory.
    :param accelerators: accelerators.
    :param run_s: seconds of work at full speed.
    :param progress_s: seconds of work that a checkpoint has already done.
    :param used_cores: processors really used, the declared ones when left out.
    :param used_memory_gb: memory really used, the declared one when left out.
    """

    task: str
    lease_s: float
    fence: int
    cores: float
    memory_gb: float
    run_s: float
    accelerators: int = 0
    team: str = ""
    workspace: str = ""
    progress_s: float = 0.0
    used_cores: float | None = None
    used_memory_gb: float | None = None


class Usage(NamedTuple):
    """
    What a task used from a time on.
    """

    at_s: float
    cores: float
    memory_gb: float


class Task(msgspec.Struct):
    """
    A task that the worker has or had.

    :param fence: newest fencing token seen.
    :param lease_until_s: time at which the task stops unless it is renewed.
    :param progress_s: seconds of work done at full speed.
    :param checkpoint_s: progress that a restart can begin from.
    :param speed: share of full speed that a throttle leaves.
    :param usage: what was used, oldest first.
    """

    spec: TaskSpec
    fence: int
    lease_until_s: float
    progress_s: float
    checkpoint_s: float
    state: TaskState = "running"
    speed: float = 1.0
    usage: list[Usage] = msgspec.field(default_factory=list)
