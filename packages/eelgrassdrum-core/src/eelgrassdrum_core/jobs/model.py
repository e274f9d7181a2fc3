"""
Jobs, workers and configuration as the scheduling decisions see them.
"""

from typing import NamedTuple

import msgspec


class Resources(NamedTuple):
    """
    Resources of a worker, or those that a task needs.

    :param millicores: processor, in thousandths of a core.
    :param memory_mb: memory in megabytes.
    :param accelerators: whole accelerators.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """
        Add.

        :param other: another room.
        :returns: the sum.
        """
        return Resources(self[0] + other[0], self[1] + other[1], self[2] + other[2])

    def minus(self, other: "Resources") -> "Resources":
        """
        Subtract.

        :param other: another room.
        :returns: the difference, which may be negative.
        """
        return Resources(self[0] - other[0], self[1] - other[1], self[2] - other[2])

    def fits(self, free: "Resources") -> bool:
        """
        Return whether this is no more than what is free.

        :param free: what is free.
        :returns: whether it fits.
        """
        return self[0] <= free[0] and self[1] <= free[1] and self[2] <= free[2]


NO_RESOURCES = Resources()


class Step(msgspec.Struct, frozen=True, array_like=True):
    """
    One step of a job: tasks that need the same.

    :param after: numbers of earlier steps that must be done first.
    :param estimate_ms: declared duration of a task.
    :param label: label that a worker must have, or empty.
    :param data_rack: rack where the data lies, or empty.
    :param max_per_worker: most tasks of an occurrence on one worker; 0 for no bound.
    :param is_long_running: the tasks run until the job is cancelled.
    :param is_backfill: the tasks use processor time that others leave unused.
    :param target_ms: bound on the response time of tasks that serve; 0 for none.
    :param max_unavailable: tasks that planned work may take away at the same time.
    :param image: what the tasks run; empty when unknown.
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
        What a task takes up on a worker; backfill takes no processor room.
        """
        millicores, memory_mb, accelerators = self.need
        return Resources(0 if self.is_backfill else millicores, memory_mb, accelerators)


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """
    What a caller hands in.

    :param payload: passed to every task as it is.
    :param repeats: times that the steps run; 0 for once, at once.
    :param start_at_ms: Unix time of the first occurrence.
    :param interval_ms: time from one occurrence to the next.
    """

    payload: str
    steps: tuple[Step, ...]
    repeats: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


class TaskKey(NamedTuple):
    """
    Names one task of a job.

    :param number: its number in the step, from 0.
    """

    job: str
    occurrence: int
    step: int
    number: int


class Queue(NamedTuple):
    """
    A queue of the configuration.

    :param priority: 0 comes first.
    :param max_attempts: failed runs after which a task fails its job.
    :param slack_factor: multiple of a job's longest chain that its objective allows.
    :param target_ms: time that the objective allows beyond that.
    :param is_open: calls need no key.
    :param has_advice: the queue's starts need a ticket of the advice service.
    :param ticket_valid_ms: how long a ticket may be used.
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


class Workspace(NamedTuple):
    """
    A workspace of the configuration.

    :param weight: its share when the fleet is full.
    :param limit: what it may have running over the fleet; 0 in a part means no limit.
    """

    name: str
    keys: frozenset[str]
    weight: float
    limit: Resources


class Service(NamedTuple):
    """
    A pool of workers.

    :param rejects_overload: its workers reject what does not fit.
    :param is_standby: its instances are off.
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
    Maintenance that the operator asks for.

    :param instances: instances that are to be maintained.
    :param duration_s: seconds in which the wave should be done.
    :param max_down: most of them that may be down for it at once.
    """

    number: int
    instances: tuple[str, ...]
    duration_s: float
    max_down: int


class WorkerEntry(NamedTuple):
    """
    What a worker last said of itself in the registry.

    :param incarnation: Unix milliseconds of its start.
    :param instance: the instance that it runs on.
    :param clock_ms: its steady clock when it wrote the entry.
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


class RunRow(NamedTuple):
    """
    A run that a worker lists as running.

    :param percent: progress; for tasks that last, 100 once they are at work.
    :param usage: for serving tasks the tail of response times in milliseconds, else millicores.
    """

    key: TaskKey
    run: int
    checkpoint: str
    percent: int
    usage: float


class EndRow(NamedTuple):
    """
    An end that a worker lists.

    :param number: its number in this incarnation of the worker.
    :param end_state: how it ended, such as ``done`` or ``failed``.
    :param checkpoint: its last checkpoint, or empty.
    """

    number: int
    key: TaskKey
    run: int
    end_state: str
    checkpoint: str


class InstanceRow(NamedTuple):
    """
    An instance as the machine service lists it.

    :param state: ``up``, ``moving``, ``upkeep`` or ``down``.
    :param worker: id of the worker on it, or empty.
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
    Times that the platform promises or asks for.

    :param max_lease_s: longest lease of a worker.
    :param config_apply_s: time in which a configuration must be in force.
    :param config_stale_s: age of the configuration at which keyed calls are refused.
    :param grace_s: time from a request to stop until the process is killed.
    :param stop_s: longest time that a stop of a task takes.
    :param order_lease_s: time between orders of two holders for one instance.
    :param early_s: how early an occurrence may start.
    :param status_s: how long an ended job can be looked up.
    :param move_s: time that a move of an instance to another pool takes.
    :param upkeep_s: time that the maintenance of an instance takes.
    :param orders_per_s: orders for instances that the machine service takes in a second.
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
