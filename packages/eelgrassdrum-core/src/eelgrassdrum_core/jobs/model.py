"""
The types of jobs, workers and configuration that scheduling decisions are based on.
"""

import math
from typing import NamedTuple

import msgspec


class Resources(NamedTuple):
    """
    Resources of a worker, or the resources that a task needs.

    :param millicores: CPU in thousandths of a core.
    :param memory_mb: memory in megabytes.
    :param accelerators: whole accelerators.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """
        Return the sum of two amounts.

        :param other: the amount to add.
        :returns: the sum.
        """
        return Resources(self[0] + other[0], self[1] + other[1], self[2] + other[2])

    def minus(self, other: "Resources") -> "Resources":
        """
        Return the difference of two amounts.

        :param other: the amount to subtract.
        :returns: the difference, which may be negative.
        """
        return Resources(self[0] - other[0], self[1] - other[1], self[2] - other[2])

    def fits(self, free: "Resources") -> bool:
        """
        Return whether this amount doesn't exceed the free resources.

        :param free: the free resources.
        :returns: whether it fits.
        """
        return self[0] <= free[0] and self[1] <= free[1] and self[2] <= free[2]


NO_RESOURCES = Resources()


class Step(msgspec.Struct, frozen=True, array_like=True):
    """
    A step of a job: a number of tasks with equal requirements.

    :param need: requested millicores, memory in megabytes and accelerators of each task.
    :param estimate_ms: declared duration of a task.
    :param after: numbers of earlier steps that must be done first.
    :param gang: whether the tasks are started together (gang scheduling).
    :param label: label that a worker must have, or empty.
    :param data_rack: rack that holds the data, or empty.
    :param max_per_worker: maximum number of tasks of an occurrence on one worker; 0 for no limit.
    :param is_long_running: whether the tasks run until the job is cancelled.
    :param is_checkpointing: whether the tasks write checkpoints.
    :param is_backfill: whether the tasks use CPU time that others leave unused.
    :param target_ms: objective for the response time of serving tasks; 0 for none.
    :param max_unavailable: number of tasks that planned work may make unavailable at the same time.
    :param image: image that the tasks run; empty if unknown.
    """

    count: int
    need: tuple[int, int, int]
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    is_long_running: bool = False
    is_checkpointing: bool = False
    is_backfill: bool = False
    target_ms: int = 0
    max_unavailable: int = 0
    image: str = ""

    @property
    def resources(self) -> Resources:
        """
        Resources that a task takes up on a worker; backfill takes up no CPU.
        """
        millicores, memory_mb, accelerators = self.need
        return Resources(0 if self.is_backfill else millicores, memory_mb, accelerators)


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """
    The specification of a job that a caller submits.

    :param payload: passed unchanged to every task.
    :param repeats: number of occurrences; 0 for a single one that starts immediately.
    :param start_at_ms: Unix time of the first occurrence.
    :param interval_ms: interval between occurrences.
    """

    payload: str
    steps: tuple[Step, ...]
    repeats: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


class TaskKey(NamedTuple):
    """
    The key of a task.

    :param number: number of the task in its step, from 0.
    """

    job: str
    occurrence: int
    step: int
    number: int


class Queue(NamedTuple):
    """
    A queue of the configuration.

    :param priority: priority of the queue; 0 is the highest.
    :param max_attempts: number of failed runs of a task after which its job fails.
    :param slack_factor: multiple of a job's critical path that its objective allows.
    :param target_ms: additional time that the objective allows.
    :param is_open: whether calls need no key.
    :param has_advice: whether starts need a ticket of the advice service.
    :param ticket_valid_ms: validity of a ticket.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    slack_factor: float
    target_ms: int
    is_open: bool
    has_advice: bool = False
    ticket_valid_ms: int = 0


class JobPolicy(msgspec.Struct, frozen=True, array_like=True):
    """
    The settings of a job's queue and workspace when the job was accepted.

    :param priority: priority of the queue; 0 is the highest.
    :param max_attempts: number of failed runs of a task after which the job fails.
    :param slack_factor: multiple of the job's critical path that its objective allows.
    :param target_ms: additional time that the objective allows.
    :param has_advice: whether starts need a ticket of the advice service.
    :param limit: millicores, memory in megabytes and accelerators that the running tasks of the
        workspace may use; 0 means no limit for the respective resource.
    """

    priority: int
    max_attempts: int
    slack_factor: float
    target_ms: int
    has_advice: bool = False
    limit: tuple[int, int, int] = (0, 0, 0)


class Workspace(NamedTuple):
    """
    A workspace of the configuration.

    :param weight: weight of its fair share when the fleet is full.
    :param limit: resources that its running tasks may use across the fleet; 0 means no limit for
        the respective resource.
    """

    name: str
    keys: frozenset[str]
    weight: float
    limit: Resources


class Service(NamedTuple):
    """
    A pool of workers.

    :param rejects_overload: whether its workers reject tasks that don't fit.
    :param is_standby: whether its instances are off.
    """

    name: str
    rejects_overload: bool
    is_standby: bool


class Config(NamedTuple):
    """
    The operator's configuration.

    :param workspace_of_key: name of the workspace that each key belongs to.
    """

    version: int
    queues: dict[str, Queue]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    workspace_of_key: dict[str, str]
    max_body_bytes: int


class Wave(NamedTuple):
    """
    A maintenance wave that the operator requests.

    :param instances: instances to maintain.
    :param duration_s: time in which the wave should be completed.
    :param max_down: maximum number of its instances that may be down at the same time.
    """

    number: int
    instances: tuple[str, ...]
    duration_s: float
    max_down: int


class ZoneRequest(NamedTuple):
    """
    A request of the operator about an availability zone.

    :param offset: offset of its record, by which requests are ordered.
    :param is_evacuated: whether nothing may start in the zone, until a later request.
    """

    zone: str
    offset: int
    is_evacuated: bool


class WorkerEntry(NamedTuple):
    """
    The entry of a worker in the registry.

    :param incarnation: Unix time in milliseconds at which the worker started.
    :param instance: the instance that it runs on.
    :param clock_ms: its monotonic clock when it wrote the entry.
    :param cold_until_ms: that clock when it will have warmed up; it is slow before.
    """

    id: str
    incarnation: int
    address: str
    service: str
    zone: str
    instance: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    is_draining: bool
    clock_ms: int
    remaining_ms: int = 0
    cold_until_ms: int = 0


class RunRow(NamedTuple):
    """
    A run that a worker lists as running.

    :param checkpoint: latest checkpoint, or empty.
    :param percent: progress; 100 for long-running tasks that have started to work.
    :param usage: tail latency in milliseconds for serving tasks, otherwise used millicores.
    """

    key: TaskKey
    run: int
    checkpoint: str
    percent: int
    usage: float


class EndRow(NamedTuple):
    """
    A run that a worker lists as ended.

    :param number: number of the end, counted by each incarnation of the worker.
    :param end_state: how the run ended, such as ``done`` or ``failed``.
    :param checkpoint: last checkpoint of the run, or empty.
    """

    number: int
    key: TaskKey
    run: int
    end_state: str
    checkpoint: str


class InstanceRow(NamedTuple):
    """
    An instance as listed by the machine service.

    :param state: ``up``, ``moving``, ``upkeep`` or ``down``.
    :param worker: id of the worker that runs on it, or empty.
    """

    instance: str
    pool: str
    state: str
    zone: str
    rack: str
    capacity: Resources
    worker: str


class Bounds(NamedTuple):
    """
    Time limits and rates that the platform guarantees or requires.

    :param max_lease_s: maximum duration of a worker's lease.
    :param config_apply_s: time in which a new configuration must be in force.
    :param config_stale_s: age of the configuration from which calls are refused, because a
        withdrawn key must stop working within this time.
    :param grace_s: time from a request to stop until the process is killed.
    :param stop_s: maximum time that it takes to stop a task.
    :param order_lease_s: minimum time between orders of two owners for the same instance.
    :param early_s: how early an occurrence may start.
    :param status_s: how long an ended job can be looked up.
    :param move_s: duration of an instance's move to another pool.
    :param upkeep_s: duration of an instance's maintenance.
    :param orders_per_s: rate of orders for instances that the machine service accepts.
    :param cancel_s: time after the acknowledgement of a cancellation from which no task of the job
        may start.
    :param contact_s: time after which a worker's loss of capacity must be known.
    :param restore_s: time that a worker takes to restore a checkpoint, in which its task makes no
        progress.
    :param log_retention_s: age at which the store drops records of the log.
    :param log_retention_bytes: size of the log from which the store drops its oldest records.
    :param remote_slowdown: factor by which a task takes longer on another rack than that of its
        data; 1 if it doesn't.
    :param append_bytes: most that the records of one append to the store may total.
    :param evacuate_s: time after the acknowledgement of the evacuation of an availability zone from
        which no task may start there; infinite if there are no evacuations.
    """

    max_lease_s: float
    config_apply_s: float
    config_stale_s: float
    grace_s: float
    stop_s: float
    order_lease_s: float
    early_s: float
    status_s: float
    move_s: float
    upkeep_s: float
    orders_per_s: float = 64.0
    cancel_s: float = 3.0
    contact_s: float = 3.0
    restore_s: float = 0.1
    log_retention_s: float = math.inf
    log_retention_bytes: float = math.inf
    remote_slowdown: float = 1.0
    evacuate_s: float = math.inf
    append_bytes: int = 2 * 1024 * 1024


class Refusal(NamedTuple):
    """
    A job that the owner of the log refuses, as it can't be served in time; it is in no log.

    :param retry_after_s: time after which it could start.
    """

    job: str
    retry_after_s: float
