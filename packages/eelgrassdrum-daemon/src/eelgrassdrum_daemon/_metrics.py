"""
Latency histograms (wait, run and total time) per team and per queue.
"""

from collections.abc import Callable
from typing import NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram

from eelgrassdrum_core import effects

UNIT_S = 0.0001
LOWEST_UNITS = 1
HIGHEST_UNITS = 36_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
MAX_NAMES = 4096


class Latencies(msgspec.Struct):
    """
    Latency histograms of one team or queue.
    """

    wait: HdrHistogram
    run: HdrHistogram
    total: HdrHistogram


class MetricsState(msgspec.Struct):
    """
    All latency histograms of this instance.
    """

    teams: dict[str, Latencies] = msgspec.field(default_factory=dict)
    queues: dict[str, Latencies] = msgspec.field(default_factory=dict)
    skipped_observations: int = 0


class Summary(NamedTuple):
    """
    Figures of one histogram, with its mergeable encoding.

    :param count: number of recorded values.
    :param percentiles_s: seconds at each percentile of `PERCENTILES`.
    :param max_s: largest value in seconds.
    :param encoded: the histogram in hdrhistogram's compressed encoding, which can be merged.
    """

    count: int
    percentiles_s: dict[str, float]
    max_s: float
    encoded: str


def new_histogram() -> HdrHistogram:
    """
    Build an empty histogram with a unit of 0.1 ms.

    :returns: the histogram.
    """
    return HdrHistogram(LOWEST_UNITS, HIGHEST_UNITS, SIGNIFICANT_DIGITS)


def record_latencies(state: MetricsState, effect: effects.ObserveLatency) -> None:
    """
    Record the latencies of one finished request.

    :param state: the histograms.
    :param effect: latencies of the request.
    """
    for table, name in ((state.teams, effect.team), (state.queues, effect.queue)):
        latencies = table.get(name)
        if latencies is None:
            if len(table) >= MAX_NAMES:
                state.skipped_observations += 1
                continue
            latencies = table[name] = Latencies(*(new_histogram() for _ in range(3)))
        _record(latencies.wait, effect.wait_s)
        _record(latencies.run, effect.run_s)
        _record(latencies.total, effect.wait_s + effect.run_s)


def _record(histogram: HdrHistogram, value_s: float) -> None:
    units = round(value_s / UNIT_S)
    histogram.record_value(min(max(units, LOWEST_UNITS), HIGHEST_UNITS))


def summarize(histogram: HdrHistogram) -> Summary:
    """
    Return the figures and the mergeable encoding of a histogram.

    :param histogram: the histogram.
    :returns: the summary.
    """
    percentiles = {
        f"{p:g}": round(histogram.get_value_at_percentile(p) * UNIT_S, 4) for p in PERCENTILES
    }
    return Summary(
        histogram.get_total_count(),
        percentiles,
        round(histogram.get_max_value() * UNIT_S, 4),
        histogram.encode().decode("ascii"),
    )


def merge(encoded: list[str]) -> HdrHistogram:
    """
    Merge the histograms of several instances.

    :param encoded: their encoded forms.
    :returns: the merged histogram.
    """
    total = new_histogram()
    for text in encoded:
        total.decode_and_add(text)
    return total


def snapshot(
    state: MetricsState, is_visible: Callable[[str], bool] = lambda _name: True
) -> dict[str, dict[str, dict[str, dict[str, object]]]]:
    """
    Return all histograms as JSON-compatible data.

    :param state: the histograms.
    :param is_visible: returns whether the reader may see the team or queue with this full name.
    :returns: summaries by ``teams`` or ``queues``, name, and ``wait``, ``run`` or ``total``.
    """
    tables = {"teams": state.teams, "queues": state.queues}
    return {
        kind: {
            name: {
                part: summarize(getattr(latencies, part))._asdict()
                for part in ("wait", "run", "total")
            }
            for name, latencies in table.items()
            if is_visible(name)
        }
        for kind, table in tables.items()
    }
