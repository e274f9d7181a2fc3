"""
The replicated state of all jobs, which every instance computes from the job log.
"""

import math
from typing import NamedTuple

import msgspec

from .model import JobPolicy, JobSpec, Resources, Step, TaskKey

WAITING = "waiting"
RUNNING = "running"
DONE = "done"
FAILED = "failed"
# End state of a run whose worker crashed.
CRASHED = "crashed"
# End state of a run whose worker ended and may have done so before the order reached it.
UNCONFIRMED = "unconfirmed"

QUEUED = "queued"
COMPLETED = "completed"
CANCELLED = "cancelled"
FINAL_STATES = frozenset({COMPLETED, FAILED, CANCELLED})


class Task(msgspec.Struct, eq=False):
    """
    The state of a task.

    :param run: number of the latest run; 0 before the first.
    :param failures: number of runs that failed.
    :param checkpoint: latest checkpoint, or empty.
    :param crashes: workers that crashed under it, oldest first.
    :param is_verified: whether the worker of the latest run had just answered when that was
        decided.
    :param needs_answer: whether it starts only on a worker that has just answered, since a former
        run was not confirmed.
    """

    key: TaskKey
    status: str = WAITING
    run: int = 0
    worker: str = ""
    worker_incarnation: int = 0
    failures: int = 0
    checkpoint: str = ""
    crashes: tuple[str, ...] = ()
    is_verified: bool = False
    needs_answer: bool = False


class StepState(msgspec.Struct, eq=False):
    """
    The state of a step in one occurrence of a job.

    :param unfinished: number of tasks that are not done.
    :param waiting: number of tasks without a run.
    :param resources: resources that each task takes up on a worker.
    """

    step: Step
    tasks: list[Task]
    unfinished: int
    waiting: int
    resources: Resources


class Job(msgspec.Struct, eq=False):
    """
    The state of a job.

    :param state: state by all records, including the owner's records that aren't committed yet. It
        is queued until a worker is known to have begun a task.
    :param committed_state: state by committed records only, which is what callers are told.
    :param seen_s: estimated time of submission, by this instance's clock.
    :param open_occurrences: number of occurrences with unfinished tasks.
    :param policy: settings that apply to the job since it was accepted; ``None`` if unknown.
    :param critical_path_s: length of the critical path from each step on; empty until computed.
    :param critical_path_at_s: when it was computed, by this instance's clock.
    :param due_s: end of the objective of a job without schedule, by this instance's clock; infinite
        until computed.
    """

    id: str
    queue: str
    service: str
    workspace: str
    spec: JobSpec
    at_ms: int
    seen_s: float
    state: str = QUEUED
    committed_state: str = QUEUED
    cancelled: bool = False
    closed_s: float = 0.0
    occurrences: dict[int, list[StepState]] = {}
    open_occurrences: int = 1
    policy: JobPolicy | None = None
    critical_path_s: tuple[float, ...] = ()
    due_s: float = math.inf
    critical_path_at_s: float = 0.0

    @property
    def is_long_running(self) -> bool:
        """
        Whether any task of the job runs until the job is cancelled.
        """
        return any(step.is_long_running for step in self.spec.steps)


class InstanceOrder(msgspec.Struct, eq=False):
    """
    The latest order for an instance.

    :param seen_s: when this instance read the order, by its own clock.
    :param log_s: `ReplicatedState.log_s` when the order was read.
    """

    wave: int
    pool: str
    epoch: int
    at_ms: int
    seen_s: float = 0.0
    is_done: bool = False
    log_s: float = 0.0


class PoolBurst(NamedTuple):
    """
    The latest burst of a pool's demand.

    :param begun_s: when it began, by `ReplicatedState.log_s`.
    :param millicores: highest demand in its beginning.
    :param is_in_turn: whether bursts rotated over the pools.
    """

    begun_s: float
    millicores: float
    is_in_turn: bool


class LearnedDuration(NamedTuple):
    """
    What the ends of a step's tasks have told about its durations.

    :param ln_s: natural logarithm of the average duration in seconds.
    :param ends: number of ends that the averages count.
    :param error: average absolute error of the average before each end, as a logarithm.
    :param declared_error: the same of the declared durations.
    :param at_log_s: the log's elapsed time at the latest end.
    """

    ln_s: float
    ends: float
    error: float
    declared_error: float
    at_log_s: float


class WorkerPlace(NamedTuple):
    """
    Where a worker with runs can be reached.

    :param instance: the instance that it runs on.
    :param incarnation: its incarnation at the latest start, or 0 if unknown.
    :param used_log_s: the log's elapsed time at the first start on this incarnation.
    """

    address: str
    instance: str
    incarnation: int = 0
    used_log_s: float = 0.0


class LeaseBound(msgspec.Struct, eq=False):
    """
    The bound on the leases of a worker that an owner could not reach.

    :param incarnation: latest incarnation of the worker that it applies to.
    :param left_s: longest time that a lease lasted when the bound was written.
    :param seen_s: latest time at which the bound may have been written, by this instance's clock.
    :param log_s: `ReplicatedState.log_s` when the bound was written.
    :param lifted_ms: clock of the owner's record that lifts it, while that is not committed, or 0.
    """

    incarnation: int
    left_s: float
    seen_s: float = 0.0
    log_s: float = 0.0
    lifted_ms: int = 0


class ReplicatedState(msgspec.Struct, eq=False):
    """
    The state that results from applying every record of the job log in order.

    :param offset: offset of the next record to read.
    :param epoch: epoch of the latest claim.
    :param owner: instance and incarnation of the log's owner, or ``None`` once released.
    :param owner_address: address at which the owner accepts callers' records from other instances.
    :param owner_weakness: weakness of the latest claimant, or ``None`` if its claim doesn't tell.
    :param least_weakness: least weakness of any claimant so far, or ``None``.
    :param tells_begins: whether the latest claimant records which jobs have begun.
    :param lease_ms_by_claim: longest lease in milliseconds that each of the latest claimants
        grants, the latest one last; 0 if unknown.
    :param running: tasks with a running run, by worker.
    :param load: resources taken up by these runs, by worker.
    :param used: resources requested by the running tasks of each workspace.
    :param early_cancels: cancellations that were logged before their job was submitted, with
        their Unix times in milliseconds.
    :param orders: latest order for each instance.
    :param maintained: instances whose maintenance has begun, by wave.
    :param pending: number of queued jobs without a schedule, by queue.
    :param suspects: tasks of open jobs under which workers have crashed, by job.
    :param log_s: elapsed time by the log: the sum of the intervals between records of the same
        owner that carry its clock, such as heartbeats. It doesn't depend on wall clocks and never
        runs ahead of real time.
    :param log_read_s: when the latest of these records was read, by this instance's clock.
    :param newest_heartbeat: epoch and owner's clock in milliseconds of the latest of them.
    :param places: where the workers with runs can be reached, by worker.
    :param lease_bounds: bounds on leases, by worker with runs; such a worker gets no lease.
    :param bursts: latest burst of each pool.
    :param durations: what was learned of durations, by queue and number of the step.
    """

    offset: int = 0
    epoch: int = 0
    owner: tuple[str, int] | None = None
    owner_address: str = ""
    jobs: dict[str, Job] = {}
    open_jobs: dict[str, Job] = {}
    running: dict[str, dict[TaskKey, Task]] = {}
    load: dict[str, Resources] = {}
    used: dict[str, Resources] = {}
    early_cancels: dict[str, int] = {}
    orders: dict[str, InstanceOrder] = {}
    maintained: dict[int, set[str]] = {}
    closed_waves: set[int] = set()
    pending: dict[str, int] = {}
    suspects: dict[str, dict[TaskKey, Task]] = {}
    log_s: float = 0.0
    log_read_s: float = 0.0
    newest_heartbeat: tuple[int, int] = (0, 0)
    owner_weakness: float | None = None
    least_weakness: float | None = None
    lease_ms_by_claim: tuple[int, ...] = ()
    tells_begins: bool = False
    places: dict[str, WorkerPlace] = {}
    lease_bounds: dict[str, LeaseBound] = {}
    bursts: dict[str, PoolBurst] = {}
    durations: dict[tuple[str, int], LearnedDuration] = {}


def latest_write_s(replicated: ReplicatedState, item: InstanceOrder | LeaseBound) -> float:
    """
    Return the latest time at which a record may have been written, independent of wall clocks.

    An instance that has just started reads old and recent records at the same moment. The time that
    the log itself records therefore counts if it is longer than the time since the record was read.

    :param replicated: the replicated state.
    :param item: what the record said.
    :returns: time by this instance's clock, in seconds.
    """
    return min(item.seen_s, replicated.log_read_s - (replicated.log_s - item.log_s))


def occurrence_of(job: Job, number: int) -> list[StepState]:
    """
    Return the steps of an occurrence, which are created on first use.

    :param job: the job.
    :param number: number of the occurrence, from 0.
    :returns: state of each step.
    """
    steps = job.occurrences.get(number)
    if steps is None:
        steps = job.occurrences[number] = [
            StepState(
                step,
                [Task(TaskKey(job.id, number, at, index)) for index in range(step.count)],
                step.count,
                step.count,
                step.resources,
            )
            for at, step in enumerate(job.spec.steps)
        ]
    return steps


def find_task(replicated: ReplicatedState, key: TaskKey) -> Task | None:
    """
    Return the task with a key.

    :param replicated: the replicated state.
    :param key: key of the task.
    :returns: the task, or ``None`` if there is no such job or task.
    """
    job = replicated.jobs.get(key.job)
    if job is None or not 0 <= key.step < len(job.spec.steps):
        return None
    if not 0 <= key.occurrence < max(1, job.spec.repeats):
        return None
    tasks = occurrence_of(job, key.occurrence)[key.step].tasks
    return tasks[key.number] if 0 <= key.number < len(tasks) else None


def is_released(job: Job, number: int, at: int) -> bool:
    """
    Return whether all steps that a step depends on are done.

    :param job: the job.
    :param number: number of the occurrence.
    :param at: number of the step.
    :returns: whether the tasks of the step may start.
    """
    steps = occurrence_of(job, number)
    return all(steps[earlier].unfinished == 0 for earlier in job.spec.steps[at].after)


def max_attempts_reached(task: Task, step: Step, max_attempts: int) -> bool:
    """
    Return whether a task has used up its attempts. Long-running tasks have no such limit.

    :param task: the task.
    :param step: step of the task.
    :param max_attempts: limit on failed runs of the task's queue.
    :returns: whether the job of the task has failed.
    """
    return not step.is_long_running and task.failures >= max_attempts
