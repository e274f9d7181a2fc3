"""
Jobs and workers as the decisions about placement see them.
"""

from typing import NamedTuple


class Size(NamedTuple):
    """
    Resources of a worker, or those that a job needs or uses.

    :param cores: processors.
    :param memory_gb: memory.
    :param accelerators: accelerators.
    """

    cores: float
    memory_gb: float
    accelerators: float = 0.0

    def plus(self, other: "Size") -> "Size":
        """
        Add two sizes.

        :param other: another size.
        :returns: the sum.
        """
        return Size(
            self.cores + other.cores,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Size") -> "Size":
        """
        Subtract a size.

        :param other: another size.
        :returns: the difference.
        """
        return Size(
            self.cores - other.cores,
            self.memory_gb - other.memory_gb,
            self.accelerators - other.accelerators,
        )

    def fits(self, available: "Size") -> bool:
        """
        Tell whether this is no more than some room in any resource.

        :param available: what is free.
        :returns: whether it fits.
        """
        return (
            self.cores <= available.cores
            and self.memory_gb <= available.memory_gb
            and self.accelerators <= available.accelerators
        )

    def dominant_fraction(self, total: "Size") -> float:
        """
        Give the part of a total in the resource of which this needs most.

        :param total: such as the whole fleet.
        :returns: the dominant share.
        """
        pairs = zip(self, total, strict=True)
        return max((need / whole for need, whole in pairs if whole > 0), default=0.0)


ZERO_SIZE = Size(0.0, 0.0, 0.0)


class Worker(NamedTuple):
    """
    A worker that may run jobs.

    :param capacity: what it has.
    :param used: what its jobs need.
    :param starts_left: jobs that may still be started there; few while it is on trial.
    """

    id: str
    rack: str
    capacity: Size
    used: Size
    starts_left: int


class TeamUsage(NamedTuple):
    """
    A team's right to the fleet and its present use.

    :param name: ``WORKSPACE/TEAM``.
    :param share: its weight when the fleet is full.
    :param limit: jobs that it may run at once over the fleet.
    :param running: jobs that it runs.
    :param used: what they need.
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
    :param size: what it is believed to need.
    :param urgent: whether it may take the place of others.
    :param waited_s: seconds since it could have started.
    """

    id: str
    team: str
    size: Size
    urgent: bool = False
    waited_s: float = 0.0


class RunningJob(NamedTuple):
    """
    A job on a worker.

    :param size: what it is believed to need, or what it was seen to use.
    :param can_checkpoint: whether it may be stopped and go on later.
    :param preemptions: times that it has made place before.
    """

    id: str
    team: str
    worker: str
    size: Size
    urgent: bool = False
    can_checkpoint: bool = True
    preemptions: int = 0
