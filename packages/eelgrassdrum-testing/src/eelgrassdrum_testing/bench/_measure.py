"""
One measured figure with its bound.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

SIGNIFICANT_DIGITS = 4


class Measure(NamedTuple):
    """
    One figure, as printed.

    :param measure: its name.
    :param value: the figure.
    :param unit: its unit.
    :param baseline: the same figure of what it is compared with, in the same run.
    :param ratio: value divided by baseline.
    :param bound: what must hold of the ratio, or of the value when there is no baseline.
    :param ok: whether the bound holds; true without a bound.
    """

    measure: str
    value: float
    unit: str
    baseline: float | None
    ratio: float | None
    bound: str | None
    ok: bool


Bench = Callable[[], Iterable[Measure]]


def measure(
    name: str,
    value: float,
    unit: str,
    *,
    baseline: float | None = None,
    at_least: float | None = None,
    at_most: float | None = None,
) -> Measure:
    """
    Judge a figure by its bounds.

    :param name: name of the measure.
    :param value: the figure.
    :param unit: its unit.
    :param baseline: what it is compared with; the bounds are then those of the ratio.
    :param at_least: lower bound.
    :param at_most: upper bound.
    :returns: the measure.
    """
    ratio = None if baseline is None else value / baseline
    judged = value if ratio is None else ratio
    bounds = []
    if at_least is not None:
        bounds.append(f">= {at_least:g}")
    if at_most is not None:
        bounds.append(f"<= {at_most:g}")
    # A figure that is not a number meets no bound.
    ok = (at_least is None or judged >= at_least) and (at_most is None or judged <= at_most)
    return Measure(
        name,
        _rounded(value),
        unit,
        None if baseline is None else _rounded(baseline),
        None if ratio is None else _rounded(ratio),
        " and ".join(bounds) or None,
        ok,
    )


def _rounded(figure: float) -> float:
    return float(f"{figure:.{SIGNIFICANT_DIGITS}g}")
