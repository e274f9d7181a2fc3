"""
Paces backfill, so that it does not harm the work that serves beside it.

What disturbs whom differs by image and changes within seconds, and workers give rough figures. So
each worker's backfill is slowed as soon as a serving task there comes near its target, and
let go step by step once all of them have been well below theirs for a while.
"""

import msgspec

from . import effects, events
from ._node import Moment, Node, Worker, emit, log_line
from ._replicated_state import find_task
from ._runs import token_of
from .model import RunRow, Step, TaskKey

FULL_PERCENT = 100
# Part of its target at which a serving task is in danger; the figures are averages of half a
# second, so a task is over its target now and then before its average shows it.
DANGER_PART = 0.8
# Part of its target below which a serving task leaves room for more.
CALM_PART = 0.6
# Backfill is slowed to this part at a time, and stopped below the least percent.
SLOW_PART = 0.5
LEAST_PERCENT = 13
# Backfill is let go in steps of this much, each after a calm time.
STEP_PERCENT = 20
CALM_S = 1.5
# An order takes this long to show in the figures.
SETTLE_S = 0.7


class WorkerPace(msgspec.Struct, eq=False):
    """
    The pace of the backfill of a worker.

    :param percent: share of their speed at which they work.
    :param changed_s: when it was last changed.
    :param calm_since_s: since when all serving tasks have been well below their targets.
    """

    percent: int = FULL_PERCENT
    changed_s: float = -1e9
    calm_since_s: float | None = None


def on_rows(node: Node, at: Moment, worker: Worker) -> None:
    """
    Adjust the pace of a worker's backfill to what it has listed.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param worker: the worker.
    """
    fillers, worst = _sort_rows(node, worker)
    if not fillers:
        return
    pace = worker.pace = worker.pace or WorkerPace()
    wanted = next_percent(pace, worst, at.now_s)
    if wanted != pace.percent:
        log_line(
            node,
            "worker.paced",
            worker=worker.id,
            former=pace.percent,
            percent=wanted,
            worst_part=round(worst, 2),
            fillers=len(fillers),
        )
        pace.percent, pace.changed_s = wanted, at.now_s
    for row in fillers:
        if worker.throttles.get(row.key, FULL_PERCENT) != pace.percent:
            worker.throttles[row.key] = pace.percent
            _send(node, worker, row, pace.percent)


def _sort_rows(node: Node, worker: Worker) -> tuple[list[RunRow], float]:
    fillers: list[RunRow] = []
    worst = 0.0
    for row in worker.rows.values():
        step = _step_of(node, row.key)
        if step is None:
            continue
        if step.is_backfill:
            fillers.append(row)
        elif step.target_ms:
            worst = max(worst, row.usage / step.target_ms)
    return fillers, worst


def _step_of(node: Node, key: TaskKey) -> Step | None:
    if find_task(node.replicated, key) is None:
        return None
    return node.replicated.jobs[key.job].spec.steps[key.step]


def next_percent(pace: WorkerPace, worst: float, now_s: float) -> int:
    """
    Decide the pace of backfill.

    :param pace: their pace so far; when calm began is noted in it.
    :param worst: the largest part of its target that a serving task beside them shows.
    :param now_s: the clock.
    :returns: the new percent.
    """
    if worst >= CALM_PART:
        pace.calm_since_s = None
    elif pace.calm_since_s is None:
        pace.calm_since_s = now_s
    if now_s - pace.changed_s < SETTLE_S:
        return pace.percent
    if worst >= DANGER_PART:
        slowed = round(pace.percent * SLOW_PART)
        return slowed if slowed >= LEAST_PERCENT and worst < 1.0 else 0
    is_calm = pace.calm_since_s is not None and now_s - pace.calm_since_s >= CALM_S
    if is_calm and pace.percent < FULL_PERCENT:
        pace.calm_since_s = now_s
        return min(FULL_PERCENT, pace.percent + STEP_PERCENT)
    return pace.percent


def _send(node: Node, worker: Worker, row: RunRow, percent: int) -> None:
    emit(
        node,
        effects.PaceTask(
            worker.id,
            worker.entry.address,
            row.key,
            row.run,
            percent,
            token_of(node, worker),
        ),
    )


def on_paced(node: Node, at: Moment, event: events.PaceAnswered) -> None:
    """
    Take the outcome of a pace; one that was not taken is sent again with the next list.

    :param node: the instance.
    :param at: the time.
    :param event: the outcome.
    """
    worker = node.workers.get(event.worker)
    if worker is None or event.outcome == events.OK:
        return
    if worker.throttles.get(event.key) == event.percent:
        del worker.throttles[event.key]
    log_line(node, "run.not_paced", worker=worker.id, run=event.run, outcome=event.outcome)
