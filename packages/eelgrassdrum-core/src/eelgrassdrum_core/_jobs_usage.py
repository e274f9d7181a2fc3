"""
What a job is believed to need, from what earlier jobs of its template used.

Declared sizes are far off, so they count only until enough jobs were seen. Processors are taken at
their mean, since a job that uses more is merely slowed down; memory at a high quantile, since one
that uses more must be checkpointed and stopped.
"""

from collections import deque

import msgspec

from ._jobs import Size

MAX_SAMPLES = 64
# Jobs seen after which the declared size counts no more.
MIN_SAMPLES = 5
MEMORY_QUANTILE = 0.95


class UsageHistory(msgspec.Struct):
    """
    Largest use of the last jobs of one workspace and template.
    """

    used: deque[Size] = msgspec.field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))


def note_usage(history: UsageHistory, used: Size) -> None:
    """
    Take in the largest use of a job that has ended.

    :param history: changed in place.
    :param used: what it used.
    """
    history.used.append(used)


def estimate(history: UsageHistory | None, declared: Size) -> Size:
    """
    Estimate what a job will use.

    :param history: what earlier jobs used, if any.
    :param declared: what its submitter says; accelerators are always taken from here.
    :returns: the size to reserve.
    """
    if history is None or len(history.used) < MIN_SAMPLES:
        return declared
    count = len(history.used)
    cores = sum(used.cores for used in history.used) / count
    memory = sorted(used.memory_gb for used in history.used)
    rank = min(count - 1, int(MEMORY_QUANTILE * count))
    return Size(cores, memory[rank], declared.accelerators)
