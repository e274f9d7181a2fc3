"""
Estimates how much tasks slow each other down on one worker, by pairs of images.

Each report of a serving task is compared with those of the same image on other workers at the same
time, so that a change of the load of all its tasks shows in none of them. What is left is explained
by the sum of three kinds of terms: one for each image that runs beside it, one for the worker and
one for the rack. Each term is a mean with a variance, updated as in a Kalman filter with a diagonal
covariance: the terms that are known least take most of what is unexplained. All terms are forgotten
within seconds to tens of seconds.
"""

import math
from collections.abc import Mapping
from statistics import median
from typing import Any, NamedTuple

import msgspec

# Time in which a term loses most of its weight.
PAIR_MEMORY_S = 15.0
PLACE_MEMORY_S = 5.0
# Variance of terms that nothing is known of, and of a single report; relative to the response time.
PAIR_VARIANCE = 0.25
PLACE_VARIANCE = 0.1
REPORT_VARIANCE = 0.05
# A report further from the expected one than this number of deviations counts as one at that limit.
MAX_DEVIATIONS = 3.0
MAX_EXCESS = 3.0
# Fraction of full speed below which a task shows too little of what it would do at full speed.
MIN_SHARE = 0.3
# Reports of other workers count as those of the same time within this interval.
LEVEL_AGE_S = 1.0
# Workers on which nothing ends list their runs only every 1.5 s, so others of a report's time may
# be known only this much later.
COMPARISON_DELAY_S = 0.9
# A single other worker may itself be slow.
MIN_OTHER_LEVELS = 2
# Fraction of the target below which response times are not told apart.
MIN_RATIO = 0.02
# A pair is known after this number of reports, from this number of workers. A worker has a say once
# it has sent this number of them.
MIN_REPORTS = 4.0
MIN_WORKERS = 2
MIN_REPORTS_OF_WORKER = 2
# Number of racks in which a harmful pair has to show, if the workers stand in so many.
MIN_RACKS = 2
# Slowdown from which a pair is harmful, and below which it is harmless. A harmful one is also this
# number of deviations away from none, and a harmless one a deviation away from a harmful one.
HARMFUL_EXCESS = 0.25
HARMLESS_EXCESS = 0.1
CERTAIN_DEVIATIONS = 1.5
# Limits of memory.
MAX_PAIRS = 1024
MAX_PLACES = 1024
MAX_IMAGES = 256
MAX_LEVELS = 32
LEVELS_OF_WORKER = 6
MAX_PENDING = 1024
MAX_PENDING_OF_TASK = 4
MAX_WORKERS_OF_PAIR = 8
MAX_IMAGES_BESIDE = 16
# Part of the pairs or places that is dropped at once when there are too many.
DROPPED_PART = 0.25
REFRESH_INTERVAL_S = 1.0
RACK_PREFIX = "rack/"


class Pair(NamedTuple):
    """
    Two images on one worker.

    :param image: image of the serving task.
    :param beside: image that runs beside it.
    """

    image: str
    beside: str


class Report(NamedTuple):
    """
    What a worker reports of a serving task.

    :param ratio: its response time as a multiple of its target.
    :param shares: for each other image on the worker, how much of it ran: the number of its tasks,
        each multiplied by the fraction of full speed at which it ran.
    """

    at_s: float
    worker: str
    rack: str
    image: str
    ratio: float
    shares: Mapping[str, float]


class Level(NamedTuple):
    """
    The response time of a task without the expected influence of other images.

    :param ratio: as a multiple of its target.
    """

    ratio: float
    at_s: float


class Known(NamedTuple):
    """
    What is known of a pair.

    :param excess: expected increase of the response time, as a fraction of it, by one task at full
        speed.
    :param deviation: standard deviation of the excess.
    :param reports: number of reports that it rests on, less those that are forgotten.
    :param workers: number of workers that sent them.
    :param age_s: age of the latest one.
    :param is_confirmed: whether most of these workers show it.
    :param shown: the excess that these workers show, on average.
    """

    excess: float
    deviation: float
    reports: float
    workers: int
    age_s: float
    is_confirmed: bool
    shown: float

    @property
    def is_harmful(self) -> bool:
        """
        Whether the pair certainly slows the serving task down.
        """
        is_certain = self.is_confirmed and self.excess >= CERTAIN_DEVIATIONS * self.deviation
        return is_certain and self.excess >= HARMFUL_EXCESS

    @property
    def is_harmless(self) -> bool:
        """
        Whether the pair certainly doesn't slow the serving task down.
        """
        is_low = self.excess <= HARMLESS_EXCESS and self.shown <= HARMLESS_EXCESS
        return is_low and self.excess + self.deviation <= HARMFUL_EXCESS


class Shown(NamedTuple):
    """
    What a worker shows of a pair.

    :param excess: what the other terms but the worker's leave unexplained, averaged over its latest
        reports.
    :param reports: number of its reports.
    :param at_s: time of the latest one.
    """

    excess: float
    reports: int
    rack: str
    at_s: float


class Term(msgspec.Struct, eq=False):
    """
    A term of the sum that explains reports.

    :param reports: number of reports, of which older ones count less.
    :param by_worker: for a pair, what each worker shows of it.
    """

    mean: float
    variance: float
    at_s: float
    reports: float = 0.0
    by_worker: dict[str, Shown] = {}


class Neighbours(msgspec.Struct, eq=False):
    """
    All that is known of images that slow each other down.

    :param pairs: terms of pairs.
    :param places: terms of workers and racks.
    :param levels: by image and worker, its latest response times.
    :param pending: by image and worker, the latest reports, which nothing was learned from yet.
    :param mean: mean excess of known pairs; counts for the others.
    :param racks: number of racks with recent reports, as of the latest refresh.
    :param harmful: known harmful pairs as of the latest refresh.
    """

    pairs: dict[Pair, Term] = {}
    places: dict[str, Term] = {}
    levels: dict[str, dict[str, tuple[Level, ...]]] = {}
    pending: dict[tuple[str, str], tuple[Report, ...]] = {}
    mean: float = 0.0
    racks: int = 1
    harmful: frozenset[Pair] = frozenset()
    refreshed_s: float = -1e9


def observe(neighbours: Neighbours, report: Report) -> None:
    """
    Keep a report, and learn from former ones of the task that can be compared with others of their
    time now.

    :param neighbours: what is known; updated.
    :param report: the report.
    """
    _note_level(neighbours, report)
    key = (report.image, report.worker)
    pending = (*neighbours.pending.pop(key, ()), report)
    due = [item for item in pending if report.at_s - item.at_s >= COMPARISON_DELAY_S]
    neighbours.pending[key] = pending[len(due) :][-MAX_PENDING_OF_TASK:]
    if len(neighbours.pending) > MAX_PENDING:
        del neighbours.pending[next(iter(neighbours.pending))]
    for item in due:
        base = _level_elsewhere(neighbours, item)
        if base is not None:
            excess = max(item.ratio, MIN_RATIO) / max(base, MIN_RATIO) - 1.0
            _explain(neighbours, item, min(MAX_EXCESS, excess))
    if report.at_s - neighbours.refreshed_s >= REFRESH_INTERVAL_S:
        _refresh(neighbours, report.at_s)


def _largest_shares(report: Report) -> dict[str, float]:
    shares = {
        image: share
        for image, share in report.shares.items()
        if share > 0 and image != report.image
    }
    if len(shares) <= MAX_IMAGES_BESIDE:
        return shares
    largest = sorted(shares, key=lambda image: (-shares[image], image))[:MAX_IMAGES_BESIDE]
    return {image: shares[image] for image in largest}


def _explain(neighbours: Neighbours, report: Report, excess: float) -> None:
    """
    Distribute what the terms leave unexplained over them.
    """
    shares = _largest_shares(report)
    pairs = {
        beside: _pair_term(neighbours, Pair(report.image, beside), report.at_s) for beside in shares
    }
    rack = _place_term(neighbours, f"{RACK_PREFIX}{report.rack}", report.at_s)
    worker = _place_term(neighbours, f"worker/{report.worker}", report.at_s)
    weighted = [(term, shares[beside]) for beside, term in pairs.items()]
    weighted += [(rack, 1.0), (worker, 1.0)]
    expected = sum(term.mean * share for term, share in weighted)
    total = REPORT_VARIANCE + sum(term.variance * share * share for term, share in weighted)
    limit = MAX_DEVIATIONS * math.sqrt(total)
    surprise = min(limit, max(-limit, excess - expected))
    explained = max(0.0, rack.mean) + sum(term.mean * shares[name] for name, term in pairs.items())
    for beside, term in pairs.items():
        if shares[beside] >= MIN_SHARE:
            left = (excess - explained) / shares[beside] + term.mean
            _note_worker(term, report, left)
    for term, share in weighted:
        gain = term.variance * share / total
        term.mean += gain * surprise
        term.variance *= 1.0 - gain * share
        term.reports += 1.0
    for term in pairs.values():
        # No image speeds up another one, so the terms can't make up for each other's errors.
        term.mean = max(0.0, term.mean)


def _note_worker(term: Term, report: Report, left: float) -> None:
    """
    Keep what a worker shows of a pair, averaged over its latest reports.
    """
    left = min(MAX_EXCESS, max(-MAX_EXCESS, left))
    former = term.by_worker.pop(report.worker, None)
    if former is None or report.at_s - former.at_s > PAIR_MEMORY_S:
        former = Shown(0.0, 0, report.rack, report.at_s)
    count = former.reports + 1
    average = former.excess + (left - former.excess) / min(count, MIN_REPORTS)
    term.by_worker[report.worker] = Shown(average, count, report.rack, report.at_s)
    if len(term.by_worker) > MAX_WORKERS_OF_PAIR:
        del term.by_worker[next(iter(term.by_worker))]


def _pair_term(neighbours: Neighbours, pair: Pair, at_s: float) -> Term:
    term = neighbours.pairs.get(pair)
    if term is None:
        if len(neighbours.pairs) >= MAX_PAIRS:
            _drop_least(neighbours.pairs, at_s, PAIR_MEMORY_S)
        term = neighbours.pairs[pair] = Term(0.0, PAIR_VARIANCE, at_s)
    _bring_forward(term, at_s, PAIR_MEMORY_S, PAIR_VARIANCE)
    return term


def _place_term(neighbours: Neighbours, place: str, at_s: float) -> Term:
    term = neighbours.places.get(place)
    if term is None:
        if len(neighbours.places) >= MAX_PLACES:
            _drop_least(neighbours.places, at_s, PLACE_MEMORY_S)
        term = neighbours.places[place] = Term(0.0, PLACE_VARIANCE, at_s)
    _bring_forward(term, at_s, PLACE_MEMORY_S, PLACE_VARIANCE)
    return term


def _bring_forward(term: Term, at_s: float, memory_s: float, prior_variance: float) -> None:
    """
    Forget a part of a term, by the time since its latest report.
    """
    weight = _weight(term, at_s, memory_s)
    term.mean *= weight
    term.variance = prior_variance + (term.variance - prior_variance) * weight
    term.reports *= weight
    term.at_s = max(term.at_s, at_s)


def _weight(term: Term, at_s: float, memory_s: float) -> float:
    return math.exp(-max(0.0, at_s - term.at_s) / memory_s)


def _drop_least(terms: dict[Any, Term], at_s: float, memory_s: float) -> None:
    """
    Drop the terms that rest on the fewest reports.
    """
    by_weight = sorted(
        terms, key=lambda key: terms[key].reports * _weight(terms[key], at_s, memory_s)
    )
    for key in by_weight[: max(1, int(len(terms) * DROPPED_PART))]:
        del terms[key]


def _note_level(neighbours: Neighbours, report: Report) -> None:
    """
    Keep the response time of a task alone, as far as the influence of others on it is certain.
    """
    excess = 0.0
    for beside, share in report.shares.items():
        pair = Pair(report.image, beside)
        if pair in neighbours.harmful and pair in neighbours.pairs:
            excess += share * neighbours.pairs[pair].mean
    levels = neighbours.levels.pop(report.image, None) or {}
    if len(neighbours.levels) >= MAX_IMAGES:
        del neighbours.levels[next(iter(neighbours.levels))]
    # The entries stay in the order of their latest reports, so that the first is the oldest.
    former = levels.pop(report.worker, ())
    level = Level(report.ratio / (1.0 + excess), report.at_s)
    levels[report.worker] = (*former[-(LEVELS_OF_WORKER - 1) :], level)
    if len(levels) > MAX_LEVELS:
        del levels[next(iter(levels))]
    neighbours.levels[report.image] = levels


def _level_elsewhere(neighbours: Neighbours, report: Report) -> float | None:
    """
    Return the response time of the same image on other workers at the time of a report, or ``None``
    if too few have reported it.
    """
    found: list[float] = []
    for worker, levels in neighbours.levels.get(report.image, {}).items():
        nearest = min(levels, key=lambda level: abs(level.at_s - report.at_s))
        if worker != report.worker and abs(nearest.at_s - report.at_s) <= LEVEL_AGE_S:
            found.append(nearest.ratio)
    return median(found) if len(found) >= MIN_OTHER_LEVELS else None


def _refresh(neighbours: Neighbours, at_s: float) -> None:
    neighbours.refreshed_s = at_s
    neighbours.racks = sum(
        place.startswith(RACK_PREFIX) and at_s - term.at_s <= PAIR_MEMORY_S
        for place, term in neighbours.places.items()
    )
    estimates = {
        pair: item
        for pair in neighbours.pairs
        if (item := known(neighbours, pair, at_s)) is not None
    }
    total = sum(item.excess for item in estimates.values())
    neighbours.mean = max(0.0, total / len(estimates)) if estimates else 0.0
    neighbours.harmful = frozenset(pair for pair, item in estimates.items() if item.is_harmful)


def known(neighbours: Neighbours, pair: Pair, at_s: float) -> Known | None:
    """
    Return what is known of a pair.

    :param neighbours: what is known of all pairs.
    :param pair: the pair.
    :param at_s: the time.
    :returns: the estimate, or ``None`` if it rests on too few reports or workers.
    """
    term = neighbours.pairs.get(pair)
    if term is None:
        return None
    weight = _weight(term, at_s, PAIR_MEMORY_S)
    reports = term.reports * weight
    shown = [
        item
        for item in term.by_worker.values()
        if item.reports >= MIN_REPORTS_OF_WORKER and at_s - item.at_s <= PAIR_MEMORY_S
    ]
    if reports < MIN_REPORTS or len(shown) < MIN_WORKERS:
        return None
    excess = term.mean * weight
    variance = PAIR_VARIANCE + (term.variance - PAIR_VARIANCE) * weight
    agreeing = [item.rack for item in shown if item.excess >= HARMFUL_EXCESS]
    return Known(
        excess,
        math.sqrt(variance),
        reports,
        len(shown),
        max(0.0, at_s - term.at_s),
        len(agreeing) > len(shown) / 2 and len(set(agreeing)) >= min(MIN_RACKS, neighbours.racks),
        sum(item.excess for item in shown) / len(shown),
    )


def worst(neighbours: Neighbours, at_s: float, count: int) -> list[tuple[Pair, Known]]:
    """
    Return the harmful pairs that slow a serving task down most.

    :param neighbours: what is known of all pairs.
    :param at_s: the time.
    :param count: largest number of pairs.
    :returns: the pairs, the worst one first.
    """
    estimates = [(pair, known(neighbours, pair, at_s)) for pair in neighbours.harmful]
    found = [(pair, item) for pair, item in estimates if item is not None and item.is_harmful]
    return sorted(found, key=lambda item: (-item[1].excess, item[0]))[:count]
