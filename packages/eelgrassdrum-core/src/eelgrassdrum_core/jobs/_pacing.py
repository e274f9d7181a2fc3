"""
Throttles backfill, so that it does not slow down the serving tasks on the same worker.

How strongly tasks interfere depends on their images and changes within seconds, and workers report
coarse figures. Therefore a worker's backfill is throttled as soon as a serving task there comes
near its response time target, and its speed is raised step by step once all serving tasks have been
well below their targets for some time. Where its influence is known, it is throttled earlier or, if
it has none, only at the target.
"""

import msgspec

from . import _apart, effects, events
from ._apart import Basis
from ._node import Moment, Node, Worker, emit, log_line
from ._runs import fencing_token
from .model import RunRow

FULL_PERCENT = 100
# Fraction of its target at which a serving task is at risk. Workers report averages of half a
# second, so a task may exceed its target before the average shows it.
THROTTLE_RATIO = 0.8
# Fraction of its target below which a serving task leaves capacity for more backfill.
CLEAR_RATIO = 0.6
# Backfill speed is multiplied by this factor, and set to zero below the minimum.
THROTTLE_FACTOR = 0.5
MIN_PERCENT = 13
# Recorded for a run whose latest order of a speed failed; differs from every speed.
UNKNOWN_PERCENT = -1
UNKNOWN_BASIS = Basis(THROTTLE_RATIO)
# Backfill speed is raised in steps of this size, each after a time with all tasks below the clear
# ratio.
RECOVERY_STEP_PERCENT = 20
RECOVERY_DELAY_S = 1.5
# Time until a change of speed shows in the reported figures.
SETTLING_TIME_S = 0.7


class BackfillThrottle(msgspec.Struct, eq=False):
    """
    Throttling of the backfill on a worker.

    :param percent: speed of the backfill as a percentage of full speed.
    :param changed_s: when the speed was last changed.
    :param clear_since_s: since when all serving tasks have been below `CLEAR_RATIO`, or ``None``.
    """

    percent: int = FULL_PERCENT
    changed_s: float = -1e9
    clear_since_s: float | None = None


def on_rows(node: Node, at: Moment, worker: Worker) -> None:
    """
    Adjust the speed of a worker's backfill after the worker has listed its runs.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param worker: the worker.
    """
    backfill_runs, serving = _classify_runs(node, worker)
    if not backfill_runs:
        return
    throttle = worker.pace = worker.pace or BackfillThrottle()
    worst_ratio = max(serving.values(), default=0.0)
    images = {_apart.step_of(node, row).image for row in backfill_runs}
    basis = _apart.basis(node, at, serving, images, throttle.percent, THROTTLE_RATIO)
    new_percent = next_percent(throttle, worst_ratio, at.now_s, basis)
    if new_percent != throttle.percent:
        log_line(
            node,
            "worker.paced",
            worker=worker.id,
            former=throttle.percent,
            percent=new_percent,
            worst_part=round(worst_ratio, 2),
            fillers=len(backfill_runs),
            threshold=basis.throttle_ratio,
            **_pair_fields(basis),
        )
        throttle.percent, throttle.changed_s = new_percent, at.now_s
    for row in backfill_runs:
        if _ordered_percent(worker, row) != throttle.percent:
            worker.throttles[row.key] = throttle.percent
            _send_throttle(node, worker, row, throttle.percent)


def _ordered_percent(worker: Worker, row: RunRow) -> int | None:
    """
    Return the speed that a run was last set to, or ``None`` if a former owner may have set it.
    """
    order = worker.orders.get(row.key)
    is_own = order is not None and order.run == row.run
    return worker.throttles.get(row.key, FULL_PERCENT if is_own else None)


def _pair_fields(basis: Basis) -> dict[str, object]:
    if basis.pair is None or basis.known is None:
        return {}
    return _apart.pair_fields(basis.pair, basis.known, basis.known.excess)


def _classify_runs(node: Node, worker: Worker) -> tuple[list[RunRow], dict[str, float]]:
    """
    Return the backfill of a worker, and by image of its serving tasks the highest ratio of response
    time to target.
    """
    backfill_runs: list[RunRow] = []
    serving: dict[str, float] = {}
    for row in worker.rows.values():
        step = _apart.step_of(node, row)
        if step.is_backfill:
            backfill_runs.append(row)
        elif step.target_ms:
            ratio = row.usage / step.target_ms
            serving[step.image] = max(serving.get(step.image, 0.0), ratio)
    return backfill_runs, serving


def next_percent(
    throttle: BackfillThrottle, worst_ratio: float, now_s: float, basis: Basis = UNKNOWN_BASIS
) -> int:
    """
    Return the new speed of the backfill on a worker.

    :param throttle: the current throttling; `clear_since_s` is updated.
    :param worst_ratio: highest ratio of response time to target among the serving tasks.
    :param now_s: the current time.
    :param basis: what is known of the backfill's influence on the serving tasks.
    :returns: the new speed in percent.
    """
    if worst_ratio >= CLEAR_RATIO:
        throttle.clear_since_s = None
    elif throttle.clear_since_s is None:
        throttle.clear_since_s = now_s
    if now_s - throttle.changed_s < SETTLING_TIME_S:
        return throttle.percent
    if worst_ratio >= basis.throttle_ratio:
        reduced = round(throttle.percent * THROTTLE_FACTOR)
        return reduced if reduced >= MIN_PERCENT and worst_ratio < 1.0 else 0
    is_clear = (
        throttle.clear_since_s is not None and now_s - throttle.clear_since_s >= RECOVERY_DELAY_S
    )
    raised = min(FULL_PERCENT, throttle.percent + RECOVERY_STEP_PERCENT)
    if is_clear and throttle.percent < raised <= basis.max_percent:
        throttle.clear_since_s = now_s
        return raised
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
    Process the outcome of a throttle order; an order that failed is sent again after the next list.

    :param node: the instance.
    :param at: the time.
    :param event: the outcome.
    """
    worker = node.workers.get(event.worker)
    if worker is None or event.outcome == events.OK:
        return
    if worker.throttles.get(event.key) == event.percent:
        worker.throttles[event.key] = UNKNOWN_PERCENT
    log_line(node, "run.not_paced", worker=worker.id, run=event.run, outcome=event.outcome)
