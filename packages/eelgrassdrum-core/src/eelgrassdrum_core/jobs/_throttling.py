"""
Paces backfill, so that it does not harm the work that serves beside it.

What disturbs whom differs by image and changes within seconds, and workers give rough figures. So
each worker's backfill is slowed as soon as a serving task there comes near its target, and
let go step by step once all of them have been well below theirs for a while.
"""

import msgspec

from . import effects, events
from ._book import find_task
from ._node import Moment, Node, Worker, emit, log_line
from ._runs import fencing_token
from .model import RunRow, Step, TaskKey

FULL_PERCENT = 100
# Part of its target at which a serving task is in danger; the figures are averages of half a
# second, so a task is over its target now and then before its average shows it.
THROTTLE_RATIO = 0.8
# Part of its target below which a serving task leaves room for more.
CLEAR_RATIO = 0.6
# Backfill is slowed to this part at a time, and stopped below the least percent.
THROTTLE_FACTOR = 0.5
MIN_PERCENT = 13
# Backfill is let go in steps of this much, each after a calm time.
RECOVERY_STEP_PERCENT = 20
RECOVERY_DELAY_S = 1.5
# An order takes this long to show in the figures.
SETTLING_TIME_S = 0.7


class BackfillThrottle(msgspec.Struct, eq=False):
    """
    The pace of the backfill of a worker.

    :param percent: share of their speed at which they work.
    :param changed_s: when it was last changed.
    :param clear_since_s: since when all serving tasks have been well below their targets.
    """

    percent: int = FULL_PERCENT
    changed_s: float = -1e9
    clear_since_s: float | None = None


def on_rows(node: Node, at: Moment, worker: Worker) -> None:
    """
    Adjust the pace of a worker's backfill to what it has listed.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param worker: the worker.
    """
    backfill_runs, worst_ratio = _classify_runs(node, worker)
    if not backfill_runs:
        return
    throttle = worker.pace = worker.pace or BackfillThrottle()
    new_percent = next_percent(throttle, worst_ratio, at.now_s)
    if new_percent != throttle.percent:
        log_line(
            node,
            "worker.paced",
            worker=worker.id,
            former=throttle.percent,
            percent=new_percent,
            worst_part=round(worst_ratio, 2),
            fillers=len(backfill_runs),
        )
        throttle.percent, throttle.changed_s = new_percent, at.now_s
    for row in backfill_runs:
        if worker.paces.get(row.key, FULL_PERCENT) != throttle.percent:
            worker.paces[row.key] = throttle.percent
            _send_throttle(node, worker, row, throttle.percent)


def _classify_runs(node: Node, worker: Worker) -> tuple[list[RunRow], float]:
    backfill_runs: list[RunRow] = []
    worst_ratio = 0.0
    for row in worker.rows.values():
        step = _step_of(node, row.key)
        if step is None:
            continue
        if step.is_backfill:
            backfill_runs.append(row)
        elif step.target_ms:
            worst_ratio = max(worst_ratio, row.usage / step.target_ms)
    return backfill_runs, worst_ratio


def _step_of(node: Node, key: TaskKey) -> Step | None:
    if find_task(node.book, key) is None:
        return None
    return node.book.jobs[key.job].spec.steps[key.step]


def next_percent(throttle: BackfillThrottle, worst_ratio: float, now_s: float) -> int:
    """
    Decide the pace of backfill.

    :param throttle: their pace so far; when calm began is noted in it.
    :param worst_ratio: the largest part of its target that a serving task beside them shows.
    :param now_s: the clock.
    :returns: the new percent.
    """
    if worst_ratio >= CLEAR_RATIO:
        throttle.clear_since_s = None
    elif throttle.clear_since_s is None:
        throttle.clear_since_s = now_s
    if now_s - throttle.changed_s < SETTLING_TIME_S:
        return throttle.percent
    if worst_ratio >= THROTTLE_RATIO:
        reduced = round(throttle.percent * THROTTLE_FACTOR)
        return reduced if reduced >= MIN_PERCENT and worst_ratio < 1.0 else 0
    is_clear = (
        throttle.clear_since_s is not None and now_s - throttle.clear_since_s >= RECOVERY_DELAY_S
    )
    if is_clear and throttle.percent < FULL_PERCENT:
        throttle.clear_since_s = now_s
        return min(FULL_PERCENT, throttle.percent + RECOVERY_STEP_PERCENT)
    return throttle.percent


def _send_throttle(node: Node, worker: Worker, row: RunRow, percent: int) -> None:
    emit(
        node,
        effects.PaceTask(
            worker.id,
            worker.entry.address,
            row.key,
            row.run,
            percent,
            fencing_token(node, worker),
        ),
    )


def on_throttle_answered(node: Node, at: Moment, event: events.PaceAnswered) -> None:
    """
    Take the outcome of a pace; one that was not taken is sent again with the next list.

    :param node: the instance.
    :param at: the time.
    :param event: the outcome.
    """
    worker = node.workers.get(event.worker)
    if worker is None or event.outcome == events.OK:
        return
    if worker.paces.get(event.key) == event.percent:
        del worker.paces[event.key]
    log_line(node, "run.not_paced", worker=worker.id, run=event.run, outcome=event.outcome)
