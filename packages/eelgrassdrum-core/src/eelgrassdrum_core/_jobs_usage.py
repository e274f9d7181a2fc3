"""
Estimates of the resources of a job from the usage of earlier jobs of its template.

Declared sizes are far from actual usage, so they apply only until enough samples exist. The
estimate of cores is the mean, since a job that uses more is only slowed down. The estimate of
memory is a high quantile, since a job that uses more must be checkpointed and stopped.
"""

from collections import deque

import msgspec

from ._jobs import Size

MAX_SAMPLES = 64
# Number of samples from which the estimate replaces the declared size.
MIN_SAMPLES = 5
MEMORY_QUANTILE = 0.95


class UsageHistory(msgspec.Struct):
    """
    Peak usage of the most recent jobs of one workspace and template.
    """

    used: deque[Size] = msgspec.field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))


def note_usage(history: UsageHistory, used: Size) -> None:
    """
    Add the peak usage of a finished job.

    :param history: updated in place.
    :param used: peak usage of the job.
    """
    history.used.append(used)


def estimate(history: UsageHistory | None, declared: Size) -> Size:
    """
    Estimate the resources of a job.

    :param history: usage of earlier jobs, if any.
    :param declared: size declared by the submitter, which always determines the accelerators.
    :returns: the resources to reserve.
    """
    if history is None or len(history.used) < MIN_SAMPLES:
        return declared
    count = len(history.used)
    cores = sum(used.cores for used in history.used) / count
    memory = sorted(used.memory_gb for used in history.used)
    rank = min(count - 1, int(MEMORY_QUANTILE * count))
    return Size(cores, memory[rank], declared.accelerators)
