"""
Straight lines through measured figures, and their values at a larger size with an error.
"""

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np

# Figures in a row of the output.
SIGNIFICANT_DIGITS = 3


class Estimate(NamedTuple):
    """
    A figure at the size designed for.

    :param role: the role that it belongs to.
    :param quantity: what it is.
    :param unit: its unit.
    :param slope: growth with each unit of the size, or ``None`` when one size was measured.
    :param size: what the size counts.
    :param target: the size designed for.
    :param value: the figure there.
    :param error: its standard error, or ``None`` when it was measured there.
    :param budget: what it may be at most, or ``None``.
    """

    role: str
    quantity: str
    unit: str
    slope: float | None
    size: str
    target: float
    value: float
    error: float | None
    budget: float | None = None


class Line(NamedTuple):
    """
    A straight line.

    :param at: its value at the target.
    :param slope: its slope.
    :param error: standard error of the value at the target.
    """

    at: float
    slope: float
    error: float


def fit_line(sizes: Sequence[float], figures: Sequence[float], target: float) -> Line:
    """
    Fit a straight line by least squares.

    :param sizes: at least three sizes.
    :param figures: the figure at each of them.
    :param target: the size wanted.
    :returns: the line.
    :raises ValueError: with fewer than three sizes.
    """
    if len(sizes) < 3:
        raise ValueError("a line needs three sizes to have an error")
    x = np.asarray(sizes, dtype=float)
    y = np.asarray(figures, dtype=float)
    design = np.column_stack((np.ones_like(x), x))
    coefficients, *_ = np.linalg.lstsq(design, y, rcond=None)
    residuals = y - design @ coefficients
    variance = float(residuals @ residuals) / (len(x) - 2)
    wanted = np.array((1.0, target))
    spread = float(wanted @ np.linalg.inv(design.T @ design) @ wanted)
    return Line(float(wanted @ coefficients), float(coefficients[1]), (variance * spread) ** 0.5)


def format_row(estimate: Estimate) -> str:
    """
    Give one row of the table.

    :param estimate: the figure.
    :returns: Markdown.
    """
    measured = estimate.error is None
    slope = "" if estimate.slope is None else f"{_short(estimate.slope)} per {estimate.size}"
    how = "measured" if measured else "extrapolated"
    error = "" if estimate.error is None else f" ± {_short(estimate.error)}"
    budget = "" if estimate.budget is None else _short(estimate.budget)
    cells = (
        estimate.role,
        f"{estimate.quantity} ({estimate.unit})",
        f"{_short(estimate.value)}{error}",
        f"{_short(estimate.target)} {estimate.size}",
        slope,
        how,
        budget,
    )
    return f"| {' | '.join(cells)} |"


def _short(figure: float) -> str:
    return f"{figure:.{SIGNIFICANT_DIGITS}g}"
