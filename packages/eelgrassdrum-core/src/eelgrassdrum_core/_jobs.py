"""
Jobs, workers and teams as input of placement decisions.
"""

from typing import NamedTuple


class Size(NamedTuple):
    """
    Resources that a worker has, or that a job needs or uses.

    :param cores: number of processor cores.
    :param memory_gb: memory, in GB.
    :param accelerators: number of accelerators.
    """

    cores: float
    memory_gb: float
    accelerators: float = 0.0

    def plus(self, other: "Size") -> "Size":
        """
        Add another size.

        :param other: the size to add.
        :returns: the sum.
        """
        return Size(
            self.cores + other.cores,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Size") -> "Size":
        """
        Subtract another size.

        :param other: the size to subtract.
        :returns: the difference.
        """
        return Size(
            self.cores - other.cores,
            self.memory_gb - other.memory_gb,
            self.accelerators - other.accelerators,
        )

    def fits(self, available: "Size") -> bool:
        """
        Return whether this size fits into the available resources.

        :param available: free resources.
        :returns: whether no resource exceeds what is available.
        """
        return (
            self.cores <= available.cores
            and self.memory_gb <= available.memory_gb
            and self.accelerators <= available.accelerators
        )

    def dominant_fraction(self, total: "Size") -> float:
        """
        Return the largest fraction that this size takes of any resource of a total.

        :param total: total resources, such as those of the fleet.
        :returns: the fraction of the dominant resource.
        """
        pairs = zip(self, total, strict=True)
        return max((need / capacity for need, capacity in pairs if capacity > 0), default=0.0)


ZERO_SIZE = Size(0.0, 0.0, 0.0)


class Worker(NamedTuple):
    """
    A worker that may run jobs.

    :param capacity: resources of the worker.
    :param used: resources reserved by its jobs.
    :param starts_left: number of jobs that may still be started there; small while the worker is on
        trial.
    """

    id: str
    rack: str
    capacity: Size
    used: Size
    starts_left: int


class TeamUsage(NamedTuple):
    """
    A team's entitlement to the fleet and its current usage.

    :param name: ``WORKSPACE/TEAM``.
    :param share: weight of the team when the fleet is full.
    :param limit: upper limit of jobs that it runs at once across the fleet.
    :param running: number of its running jobs.
    :param used: resources reserved by its running jobs.
    """

    name: str
    share: float
    limit: int
    running: int
    used: Size


class WaitingJob(NamedTuple):
    """
    A job that waits for a worker.

    :param team: ``WORKSPACE/TEAM``.
    :param size: estimated resources.
    :param urgent: whether it may preempt other jobs.
    :param waited_s: time since it became ready to start, in seconds.
    """

    id: str
    team: str
    size: Size
    urgent: bool = False
    waited_s: float = 0.0


class RunningJob(NamedTuple):
    """
    A job that runs on a worker.

    :param size: estimated resources, or observed usage.
    :param can_checkpoint: whether it can be checkpointed, stopped and resumed later.
    :param preemptions: number of times that it was preempted.
    """

    id: str
    team: str
    worker: str
    size: Size
    urgent: bool = False
    can_checkpoint: bool = True
    preemptions: int = 0
