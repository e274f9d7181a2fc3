"""
The state of all jobs, folded from the log by every instance alike.
"""

import msgspec

from .model import JobSpec, Resources, Step, TaskKey

WAITING = "waiting"
RUNNING = "running"
DONE = "done"
FAILED = "failed"

QUEUED = "queued"
COMPLETED = "completed"
CANCELLED = "cancelled"
FINAL_STATES = frozenset({COMPLETED, FAILED, CANCELLED})


class Task(msgspec.Struct, eq=False):
    """
    One task.

    :param run: number of the newest run; 0 before the first.
    :param failures: runs that ended as failed.
    :param checkpoint: newest checkpoint, or empty.
    """

    key: TaskKey
    status: str = WAITING
    run: int = 0
    worker: str = ""
    worker_incarnation: int = 0
    failures: int = 0
    checkpoint: str = ""


class StepState(msgspec.Struct, eq=False):
    """
    A step in one occurrence of a job.

    :param unfinished: tasks that are not done.
    :param waiting: tasks that have no run.
    :param resources: what each task takes up on a worker.
    """

    step: Step
    tasks: list[Task]
    unfinished: int
    waiting: int
    resources: Resources


class Job(msgspec.Struct, eq=False):
    """
    One job.

    :param state: state by all records, including those of the owner not yet in the log.
    :param committed_state: state by the records of the log alone, which is what callers are told.
    :param seen_s: when this instance learnt of the job, by its own clock.
    :param open_occurrences: occurrences whose tasks are not all done.
    :param critical_path_s: longest chain of work from each step on, once it was asked for.
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
    critical_path_s: tuple[float, ...] = ()

    @property
    def is_long_running(self) -> bool:
        """
        Whether any of its tasks run until the job is cancelled.
        """
        return any(step.is_long_running for step in self.spec.steps)


class InstanceOrder(msgspec.Struct, eq=False):
    """
    The newest order for an instance.

    :param seen_s: when this instance read the order, by its own clock.
    :param log_s: when it was given, by the time that the log tells.
    """

    wave: int
    pool: str
    epoch: int
    at_ms: int
    seen_s: float = 0.0
    is_done: bool = False
    log_s: float = 0.0


class ReplicatedState(msgspec.Struct, eq=False):
    """
    Everything that the log says.

    :param offset: next offset to be read.
    :param epoch: epoch of the newest claim.
    :param owner: instance and incarnation that own the log, or ``None`` once released.
    :param owner_address: where the owner takes records of callers from other instances.
    :param running: runs that have not ended, by worker.
    :param load: room that those runs take up, by worker.
    :param used: what each workspace has running.
    :param early_cancels: cancels that came before the submission of their job.
    :param orders: newest order for each instance.
    :param maintained: instances whose maintenance has begun, by wave.
    :param log_s: time that the log tells: the sum of what passed between beats of the same owner.
        No clock of day is in it, and it never runs ahead.
    :param log_read_s: when the newest beat was read, by this instance's clock.
    :param newest_heartbeat: epoch and owner's clock of the newest beat.
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
    log_s: float = 0.0
    log_read_s: float = 0.0
    newest_heartbeat: tuple[int, int] = (0, 0)


def occurrence_of(job: Job, number: int) -> list[StepState]:
    """
    Give the steps of an occurrence, made when it is first asked for.

    :param job: the job.
    :param number: the occurrence, from 0.
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
    Find a task.

    :param replicated: the state.
    :param key: the task.
    :returns: it, or ``None`` when there is no such job or task.
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
    Tell whether all steps that a step waits for are done.

    :param job: the job.
    :param number: the occurrence.
    :param at: the step.
    :returns: whether its tasks may start.
    """
    steps = occurrence_of(job, number)
    return all(steps[earlier].unfinished == 0 for earlier in job.spec.steps[at].after)


def max_attempts_reached(task: Task, step: Step, max_attempts: int) -> bool:
    """
    Tell whether a task has used up its attempts; tasks that last never do.

    :param task: the task.
    :param step: its step.
    :param max_attempts: bound of its queue.
    :returns: whether its job has failed.
    """
    return not step.is_long_running and task.failures >= max_attempts
