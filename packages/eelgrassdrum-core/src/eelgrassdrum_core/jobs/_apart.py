"""
Keeps tasks apart that slow each other down on one worker, by what `_neighbours` has learned.

Reports are made from the lists of workers. Estimates decide which worker a task prefers, and when
backfill is throttled where no worker is free of tasks that it slows down.
"""

from collections.abc import Iterable
from typing import NamedTuple

from . import _neighbours
from ._neighbours import Known, Pair, Report
from ._node import Moment, Node, Worker, log_line
from ._replicated_state import Task, find_task
from ._runs import runs_on
from .model import RunRow, Step

# Workers report averages of half a second.
SAMPLE_INTERVAL_S = 0.5
# Workers on which nothing ends or is throttled list their runs every 1.5 s and somewhat later. What
# ran between lists further apart than the first limit is known only if it is the same; those
# further apart than the second one show nothing.
MAX_AVERAGE_INTERVAL_S = 1.0
MAX_SAMPLE_INTERVAL_S = 2.5
# Response times are not told apart from this multiple of the target on.
MAX_RATIO = 100.0
# Expected slowdowns are told apart in classes of this width, so that bin packing decides between
# workers on which a task is expected to run about as well.
CLASS_WIDTH = 0.25
MAX_CLASS = 4
# Fractions of the target from which backfill is throttled beside tasks that it is known to slow
# down, and beside tasks that it is known not to.
HARMFUL_THROTTLE_RATIO = 0.7
HARMLESS_THROTTLE_RATIO = 1.0
KEPT_APART_LINE_INTERVAL_S = 0.5
WORST_LINE_INTERVAL_S = 5.0
WORST_PAIRS = 8


class Basis(NamedTuple):
    """
    What a decision about backfill rests on.

    :param throttle_ratio: fraction of the target from which the backfill is throttled.
    :param max_percent: speed above which the backfill is expected to bring a task there.
    :param pair: the pair that decides, or ``None``.
    :param known: what is known of it.
    """

    throttle_ratio: float
    max_percent: float = 100.0
    pair: Pair | None = None
    known: Known | None = None


def on_rows(node: Node, at: Moment, worker: Worker) -> None:
    """
    Learn from a worker's list.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param worker: the worker.
    """
    since_s = at.now_s - worker.shares_s
    if since_s < SAMPLE_INTERVAL_S:
        return
    steps = [(row, step) for row in worker.rows.values() if (step := step_of(node, row)).image]
    former, worker.shares, worker.shares_s = worker.shares, _shares(worker, steps), at.now_s
    if since_s > MAX_SAMPLE_INTERVAL_S or at.now_s < worker.slow_until_s:
        return
    serving = {
        step.image: min(MAX_RATIO, row.usage / step.target_ms)
        for row, step in steps
        if step.target_ms and not step.is_backfill and row.percent >= 100 and row.usage > 0
    }
    has_changed = since_s > MAX_AVERAGE_INTERVAL_S and former != worker.shares
    if not serving or has_changed:
        return
    # A report is an average over the time since the former list.
    shares = {
        image: (former.get(image, 0.0) + worker.shares.get(image, 0.0)) / 2
        for image in former.keys() | worker.shares.keys()
    }
    for image, ratio in serving.items():
        report = Report(at.now_s, worker.id, worker.entry.rack, image, ratio, shares)
        _neighbours.observe(node.neighbours, report)
    _log_worst(node, at)


def step_of(node: Node, row: RunRow) -> Step:
    """
    Return the step of a listed run, or one without an image if the run is unknown.

    :param node: the instance.
    :param row: the run.
    :returns: the step.
    """
    if find_task(node.replicated, row.key) is None:
        return _UNKNOWN_STEP
    return node.replicated.jobs[row.key.job].spec.steps[row.key.step]


_UNKNOWN_STEP = Step(0, (0, 0, 0))


def _shares(worker: Worker, steps: Iterable[tuple[RunRow, Step]]) -> dict[str, float]:
    shares: dict[str, float] = {}
    for row, step in steps:
        percent = worker.throttles.get(row.key, 100) if step.is_backfill else 100
        # After a failed order the run may still work at full speed.
        share = percent / 100 if percent >= 0 else 1.0
        shares[step.image] = shares.get(step.image, 0.0) + share
    return shares


def depends_on_neighbours(node: Node, step: Step) -> bool:
    """
    Return whether the worker of a task is chosen by what runs beside it.

    :param node: the instance.
    :param step: the step of the task.
    :returns: whether the task serves, is backfill or is known to slow down others.
    """
    if not step.image:
        return False
    if step.target_ms or step.is_backfill:
        return True
    return any(pair.beside == step.image for pair in node.neighbours.harmful)


def slowdown_class(node: Node, at: Moment, step: Step, worker: Worker) -> int:
    """
    Return the class of the slowdown that is expected if a task starts on a worker, of the task by
    what runs there and of what runs there by the task.

    :param node: the instance.
    :param at: the time.
    :param step: the step of the task.
    :param worker: the worker.
    :returns: 0 for none, up to `MAX_CLASS`.
    """
    if not depends_on_neighbours(node, step):
        return 0
    total = sum(
        _excess(node, at, pair, is_backfill=beside.is_backfill)
        for pair, beside in _new_pairs(node, step, worker)
    )
    return min(MAX_CLASS, int(total / CLASS_WIDTH))


def _new_pairs(node: Node, step: Step, worker: Worker) -> list[tuple[Pair, Step]]:
    """
    Return the pairs that a task forms with each image that runs on a worker, and the step that
    would slow the other one down.
    """
    others: dict[str, Step] = {}
    for task in runs_on(node, worker.id).values():
        other = _step_of_task(node, task)
        if other.image and other.image != step.image and _counts(node, other):
            others[other.image] = other
    pairs = [(Pair(step.image, image), other) for image, other in others.items() if step.target_ms]
    pairs += [(Pair(image, step.image), step) for image, other in others.items() if other.target_ms]
    return pairs


def _counts(node: Node, step: Step) -> bool:
    """
    Return whether a task lasts, or is known to slow down others. Others end before it matters.
    """
    return step.is_long_running or depends_on_neighbours(node, step)


def _step_of_task(node: Node, task: Task) -> Step:
    return node.replicated.jobs[task.key.job].spec.steps[task.key.step]


def _excess(node: Node, at: Moment, pair: Pair, is_backfill: bool) -> float:
    """
    Return the expected excess of a pair. An unknown one counts as the mean, but backfill always
    prefers workers on which nothing serves.
    """
    known = _neighbours.known(node.neighbours, pair, at.now_s)
    if known is not None and (known.is_harmful or known.is_harmless):
        return known.excess
    return max(node.neighbours.mean, CLASS_WIDTH if is_backfill else 0.0)


def note_kept_apart(
    node: Node, at: Moment, task: Task, step: Step, chosen: Worker, avoided: Worker
) -> None:
    """
    Count a decision that what runs on a worker has changed, and log it.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param task: the task.
    :param step: its step.
    :param chosen: the worker that takes it.
    :param avoided: the worker that would have taken it otherwise.
    """
    node.apart.kept += 1
    node.apart.unlogged += 1
    if at.now_s < node.apart.next_line_s:
        return
    pairs = _new_pairs(node, step, avoided)
    excess, pair = max(
        (_excess(node, at, pair, is_backfill=beside.is_backfill), pair) for pair, beside in pairs
    )
    log_line(
        node,
        "task.kept_apart",
        job=task.key.job,
        task=".".join(map(str, task.key[1:])),
        worker=chosen.id,
        avoided=avoided.id,
        decisions=node.apart.unlogged,
        **pair_fields(pair, _neighbours.known(node.neighbours, pair, at.now_s), excess),
    )
    node.apart.unlogged, node.apart.next_line_s = 0, at.now_s + KEPT_APART_LINE_INTERVAL_S


def pair_fields(pair: Pair, known: Known | None, excess: float) -> dict[str, object]:
    """
    Return the fields of a log line about a pair.

    :param pair: the pair.
    :param known: what is known of it.
    :param excess: the excess that the decision rests on.
    :returns: the fields by name.
    """
    return {
        "image": pair.image,
        "beside": pair.beside,
        "excess": round(excess, 2),
        "deviation": None if known is None else round(known.deviation, 2),
        "reports": 0 if known is None else round(known.reports, 1),
        "reporters": 0 if known is None else known.workers,
        "age_s": None if known is None else round(known.age_s, 2),
    }


def basis(
    node: Node,
    at: Moment,
    serving: dict[str, float],
    backfill: set[str],
    percent: int,
    ratio: float,
) -> Basis:
    """
    Return what is known about the backfill on a worker.

    :param node: the instance.
    :param at: the time.
    :param serving: by image of the serving tasks there, the highest ratio of response time to
        target.
    :param backfill: images of the backfill.
    :param percent: its speed.
    :param ratio: fraction of the target from which unknown backfill is throttled.
    :returns: the fraction from which this backfill is throttled, and the speed that it may have.
    """
    pairs = [Pair(image, beside) for image in serving for beside in backfill]
    estimates = {pair: _neighbours.known(node.neighbours, pair, at.now_s) for pair in pairs}
    harmful = {pair: item for pair, item in estimates.items() if item and item.is_harmful}
    if harmful:
        pair = max(harmful, key=lambda item: (harmful[item].excess, item))
        percents = [
            _max_percent(value, _total(harmful, image), percent, ratio)
            for image, value in serving.items()
        ]
        return Basis(min(HARMFUL_THROTTLE_RATIO, ratio), min(percents), pair, harmful[pair])
    if estimates and all(item and item.is_harmless for item in estimates.values()):
        pair = max(estimates, key=lambda item: (estimates[item] or _NOTHING, item))
        return Basis(HARMLESS_THROTTLE_RATIO, pair=pair, known=estimates[pair])
    return Basis(ratio)


_NOTHING = Known(0.0, 0.0, 0.0, 0, 0.0, False, 0.0)


def _total(harmful: dict[Pair, Known], image: str) -> float:
    return sum(item.excess for pair, item in harmful.items() if pair.image == image)


def _max_percent(value: float, excess: float, percent: int, ratio: float) -> float:
    """
    Return the speed of the backfill at which a serving task is expected to reach a ratio.

    :param value: its present ratio of response time to target.
    :param excess: by how much the backfill slows it down at full speed.
    :param percent: present speed of the backfill.
    :param ratio: the ratio to reach.
    :returns: the speed in percent.
    """
    alone = value / (1.0 + excess * percent / 100)
    if not excess or not alone:
        return 100.0
    return max(0.0, 100.0 * (ratio / alone - 1.0) / excess)


def worst_excess(node: Node, at: Moment) -> float:
    """
    Return the excess of the worst harmful pair.

    :param node: the instance.
    :param at: the time.
    :returns: the expected increase of a response time as a fraction of it; 0 without such a pair.
    """
    found = _neighbours.worst(node.neighbours, at.now_s, 1)
    return found[0][1].excess if found else 0.0


def _log_worst(node: Node, at: Moment) -> None:
    """
    Log the worst pairs, one line each, if any is known to be harmful.
    """
    if at.now_s < node.apart.next_worst_s:
        return
    node.apart.next_worst_s = at.now_s + WORST_LINE_INTERVAL_S
    for pair, known in _neighbours.worst(node.neighbours, at.now_s, WORST_PAIRS):
        log_line(node, "neighbours.harmful", **pair_fields(pair, known, known.excess))
