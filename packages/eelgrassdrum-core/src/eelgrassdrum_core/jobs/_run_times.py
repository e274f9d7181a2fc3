"""
Measures how long runs took, as the owner of the log, for the durations that are learned.

Only a run counts whose start this owner ordered and saw answered, and that had nothing to slow it
down or to shorten it: others would teach durations that the next task doesn't have.
"""

import math

from . import _durations
from ._node import Moment, Node, Worker, log_line
from ._replicated_state import Task

# Longest time from an order to its answer with which the start of a run counts as known.
MAX_START_S = 0.2
# Minimum interval between lines about the durations of a step of a queue.
LINE_INTERVAL_S = 10.0


def ran_ms(node: Node, at: Moment, worker: Worker, task: Task) -> int:
    """
    Return how long a run took that is done, until the owner knew of its end.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param worker: the worker on which it ran.
    :param task: its task, whose end has not been recorded yet.
    :returns: milliseconds; 0 if the start isn't known, or if it says nothing about other tasks.
    """
    step = node.replicated.jobs[task.key.job].spec.steps[task.key.step]
    order, started_s = worker.orders.get(task.key), worker.started_s.get(task.key)
    if order is None or order.run != task.run or started_s is None or not order.sent_s:
        return 0
    is_start_known = started_s - order.sent_s <= MAX_START_S
    is_far = bool(step.data_rack) and step.data_rack != worker.entry.rack
    was_slow = worker.slow_until_s > started_s
    if not is_start_known or task.checkpoint or is_far or was_slow:
        return 0
    if not _durations.is_learnable(step):
        return 0
    return max(1, round((at.now_s - started_s) * _durations.MS_PER_S))


def log_learned(node: Node, at: Moment, task: Task) -> None:
    """
    Write a line about what was learned of the durations of a task's step, from time to time.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param task: a task whose end was just recorded.
    """
    job = node.replicated.jobs[task.key.job]
    key = (job.queue, task.key.step)
    learned = node.replicated.durations.get(key)
    if learned is None or at.now_s < node.next_duration_line_s.get(key, 0.0):
        return
    node.next_duration_line_s = {
        other: next_s for other, next_s in node.next_duration_line_s.items() if next_s > at.now_s
    }
    node.next_duration_line_s[key] = at.now_s + LINE_INTERVAL_S
    log_line(
        node,
        "queue.durations",
        queue=job.queue,
        step=task.key.step,
        learned_s=round(math.exp(learned.ln_s), 3),
        ends=round(learned.ends, 1),
        error=round(learned.error, 3),
        declared_error=round(learned.declared_error, 3),
        learned_part=round(_durations.learned_part(node.replicated, learned), 3),
    )
