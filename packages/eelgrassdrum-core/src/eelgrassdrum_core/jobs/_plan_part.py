"""
Bounds the work of one plan, so that heartbeats, leases and answers never wait for a large job.

A plan is made within one event. Whatever it doesn't reach goes on in the next plan, after other
events. Steps with many tasks start in parts, which share a plan, so that they go on beside each
other and beside the small ones. The room that a part leaves to the rest of its step is kept for
it: the steps behind it take what they would have been left by a plan without bounds.
"""

from collections import Counter
from collections.abc import Iterable

from ._node import Node
from ._ready import ReadyStep
from .model import Resources

# Starts that one plan decides; each takes a part of a millisecond.
MAX_STARTS = 256
# Number of the plan's starts that are of large steps.
MAX_LARGE_STARTS = 128
# Number of waiting tasks above which a step is large.
LARGE_STEP_TASKS = 64
# Least part of a large step, if there are many.
MIN_PART = 4
# Workers that are compared in one plan for the tasks of steps beyond the first task of each.
MAX_COMPARED = 20_000
# Orders to a worker that were not sent, from which it takes no more tasks of large steps: the
# orders of other steps are sent after them.
MAX_UNSENT_ORDERS = 16


class PlanPart:
    """
    What one plan may still decide.

    :param starts: starts that it may still decide.
    :param compared: workers that it may still compare.
    :param is_cut: whether a step has more to start than the plan reached.
    """

    def __init__(self, ready: Iterable[ReadyStep]) -> None:
        """
        :param ready: the steps that may start.
        """
        self.starts = MAX_STARTS
        self.compared = MAX_COMPARED
        self.is_cut = False
        self._large_steps = Counter(item.queue.service for item in ready if is_large(item))

    def starts_of(self, node: Node, item: ReadyStep, workers: int) -> int:
        """
        Return how many tasks of a step may start. Large steps get equal parts of a plan, and of the
        orders that may wait at the workers of their pool.

        :param node: the instance, which owns the log.
        :param item: the step.
        :param workers: number of workers of its pool.
        :returns: number of tasks.
        """
        if not is_large(item):
            return self.starts
        part = max(MIN_PART, MAX_LARGE_STARTS // self._large_steps.total())
        pool_steps = self._large_steps[item.queue.service]
        may_wait = max(MIN_PART, workers * MAX_UNSENT_ORDERS // pool_steps)
        unsent = node.unsent_by_step.get(item.id, 0)
        return max(0, min(self.starts, part, may_wait - unsent))


def is_large(item: ReadyStep) -> bool:
    """
    Return whether the tasks of a step start in parts. A gang starts as a whole.

    :param item: the step.
    :returns: whether it has many waiting tasks.
    """
    return item.state.waiting > LARGE_STEP_TASKS and not item.state.step.gang


def times(resources: Resources, count: int) -> Resources:
    """
    Return the resources of several tasks.

    :param resources: those of one task.
    :param count: number of tasks.
    :returns: the resources of all.
    """
    return Resources(*(amount * count for amount in resources))
