"""
Decides whether a task waits for a worker on the rack of its data, or runs elsewhere for longer.

A task waits while its rack is expected to have room for it before a remote run would have lost as
much time, and for no longer than what the remote run loses, however wrong the estimates are.
"""

import math
from collections import Counter
from collections.abc import Iterable, Sequence

import msgspec

from . import _durations
from ._candidates import Candidate
from ._node import Moment, Node, Worker, log_line
from ._ready import ReadyStep
from ._replicated_state import Task
from ._runs import runs_on
from .model import Resources

# Time from the end of a task until another one uses its room: a list, a record and an order.
TURNOVER_S = 0.1
# Part of its duration that a run is expected to need still if it has outlived it, or if it isn't
# known when it began.
OVERDUE_PART = 1 / 4
UNKNOWN_PART = 1 / 2
# Factor by which a wait may be longer than expected without missing the objective.
SAFETY_FACTOR = 1.5


class RackQueues(msgspec.Struct, eq=False):
    """
    Tasks that wait for racks in one plan of a pool.

    :param ahead: number of these tasks by rack.
    :param times_s: for each rack and need, the times until its workers have room for one more.
    """

    ahead: Counter[str] = msgspec.field(default_factory=Counter)
    times_s: dict[tuple[str, Resources], list[float]] = {}


class RackWait(msgspec.Struct, eq=False):
    """
    Wait of a step for its rack.

    :param since_s: when a task of the step first waited.
    :param is_passed: whether tasks of the step run elsewhere since.
    """

    since_s: float
    is_passed: bool = False


def waits(
    node: Node,
    at: Moment,
    item: ReadyStep,
    local: Sequence[Candidate],
    queues: RackQueues,
) -> bool:
    """
    Return whether a task that could start elsewhere waits for the rack of its data.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param item: the step of the task.
    :param local: the workers on the rack that may take the task once they have room.
    :param queues: the tasks that wait in this plan; the task is added if it waits.
    :returns: whether it waits; never if a worker on the rack has room.
    """
    step, need = item.state.step, item.state.resources
    loss_s = lost_s(node, item)
    if loss_s <= 0 or not local or any(need.fits(candidate.free[0]) for candidate in local):
        return False
    times_s = queues.times_s.get((step.data_rack, need))
    if times_s is None:
        times_s = queues.times_s[step.data_rack, need] = room_times_s(node, at, need, local)
    ahead = queues.ahead[step.data_rack]
    wait_s = times_s[ahead] + TURNOVER_S if ahead < len(times_s) else math.inf
    key = item.id
    wait = node.rack_waits.get(key)
    waited_s = at.now_s - wait.since_s if wait is not None else 0.0
    is_waiting = is_worth_waiting(wait_s, waited_s, loss_s, item.sort_key[-1] - at.now_s)
    if is_waiting:
        queues.ahead[step.data_rack] += 1
    is_first = wait is None
    if wait is None:
        wait = node.rack_waits[key] = RackWait(at.now_s)
    if is_first or (not is_waiting and not wait.is_passed):
        wait.is_passed = not is_waiting
        _log(node, item, is_waiting, wait_s, waited_s, loss_s, ahead)
    return is_waiting


def lost_s(node: Node, item: ReadyStep) -> float:
    """
    Return by how much longer a task takes on another rack than that of its data.

    :param node: the instance.
    :param item: the step of the task.
    :returns: seconds; 0 if its rack doesn't matter, or for a gang.
    """
    step = item.state.step
    if not step.data_rack or step.gang or step.is_long_running or step.is_backfill:
        return 0.0
    duration_s = _durations.expected_s(node.replicated, item.job, item.step_index)
    return (node.bounds.remote_slowdown - 1) * duration_s


def is_worth_waiting(wait_s: float, waited_s: float, loss_s: float, slack_s: float) -> bool:
    """
    Return whether to wait for a rack.

    :param wait_s: expected wait from now on.
    :param waited_s: what was waited before.
    :param loss_s: by how much longer a remote run takes.
    :param slack_s: time within which the task has to start on its rack to meet the objective.
    :returns: whether waiting is expected to be shorter, and doesn't endanger an objective that the
        remote run meets.
    """
    if max(waited_s, wait_s) >= loss_s:
        return False
    is_remote_in_time = loss_s <= slack_s
    return not is_remote_in_time or SAFETY_FACTOR * wait_s <= slack_s


def room_times_s(
    node: Node, at: Moment, need: Resources, workers: Iterable[Candidate]
) -> list[float]:
    """
    Return when workers are expected to have room for one task after the other.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param need: what each of the tasks needs.
    :param workers: the workers, none of which has room now.
    :returns: seconds from now, the shortest first; as many as fit where tasks run now.
    """
    times_s: list[float] = []
    for worker, free in workers:
        room = free[0]
        for left_s, resources in sorted(_left_on(node, at, worker)):
            room = room.plus(resources)
            while need.fits(room):
                room = room.minus(need)
                times_s.append(left_s)
                if not any(need):
                    break
    return sorted(times_s)


def _left_on(node: Node, at: Moment, worker: Worker) -> list[tuple[float, Resources]]:
    """
    Return the time that each run on a worker is expected to need still, and its resources.
    """
    left: list[tuple[float, Resources]] = []
    for key, task in runs_on(node, worker.id).items():
        step = node.replicated.jobs[key.job].spec.steps[key.step]
        if not step.is_long_running and not step.is_backfill:
            left.append((_left_s(node, at, worker, task), step.resources))
    return left


def _left_s(node: Node, at: Moment, worker: Worker, task: Task) -> float:
    job = node.replicated.jobs[task.key.job]
    step = job.spec.steps[task.key.step]
    duration_s = _durations.expected_s(node.replicated, job, task.key.step)
    if step.data_rack and step.data_rack != worker.entry.rack:
        duration_s *= node.bounds.remote_slowdown
    order, started_s = worker.orders.get(task.key), worker.started_s.get(task.key)
    if order is None or order.run != task.run:
        return UNKNOWN_PART * duration_s
    if started_s is None:
        return duration_s
    return max(OVERDUE_PART * duration_s, duration_s - (at.now_s - started_s))


def _log(
    node: Node,
    item: ReadyStep,
    is_waiting: bool,
    wait_s: float,
    waited_s: float,
    loss_s: float,
    ahead: int,
) -> None:
    log_line(
        node,
        "rack.awaited" if is_waiting else "rack.passed",
        queue=item.queue.name,
        job=item.job.id,
        step=item.step_index,
        rack=item.state.step.data_rack,
        wait_s=round(wait_s, 3) if wait_s < math.inf else None,
        waited_s=round(waited_s, 3),
        loss_s=round(loss_s, 3),
        ahead=ahead,
    )


def prune(node: Node) -> None:
    """
    Forget the waits of jobs that are no longer open.

    :param node: the instance.
    """
    for key in [key for key in node.rack_waits if key[0] not in node.replicated.open_jobs]:
        del node.rack_waits[key]
