"""
The least number of steps of a maintenance round, by an exact solver.

In each step a budget lets as many instances stop as its width and the helpers that it has at that
time. A helper is a spare instance; changing the budget that it helps takes one step.
"""

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np
from scipy.optimize import Bounds, LinearConstraint, milp

MAX_STEPS = 40


class Case(NamedTuple):
    """
    A small fleet.

    :param due: instances of each budget.
    :param width: instances of each budget that may be out of service at once, without helpers.
    :param spares: helpers.
    :param room: helpers that a budget may have at once.
    """

    due: tuple[int, ...]
    width: tuple[int, ...]
    spares: int
    room: int


def least_steps(case: Case) -> int:
    """
    Find the least number of steps.

    :param case: the fleet.
    :returns: steps of the shortest round.
    :raises ValueError: when there is none of `MAX_STEPS` or fewer.
    """
    for steps in range(1, MAX_STEPS + 1):
        if _is_feasible(case, steps):
            return steps
    raise ValueError(f"no round of {MAX_STEPS} steps")


def _is_feasible(case: Case, steps: int) -> bool:
    budgets = len(case.due)
    # Variables: stops, helpers and new helpers of each budget in each step.
    count = budgets * steps
    rows: list[np.ndarray] = []
    upper: list[float] = []

    def add(terms: Sequence[tuple[int, float]], at_most: float) -> None:
        row = np.zeros(3 * count)
        for index, factor in terms:
            row[index] += factor
        rows.append(row)
        upper.append(at_most)

    for number in range(budgets):
        add([(number * steps + t, -1.0) for t in range(steps)], -case.due[number])
        for t in range(steps):
            at = number * steps + t
            add([(at, 1.0), (count + at, -1.0)], case.width[number])
            before = [(count + at - 1, -1.0)] if t else []
            add([(count + at, 1.0), *before, (2 * count + at, -1.0)], 0.0)
    for t in range(steps):
        new = [(2 * count + n * steps + t, 1.0) for n in range(budgets)]
        held = [(count + n * steps + t - 1, 1.0) for n in range(budgets)] if t else []
        add(new + held, case.spares if t else 0.0)
    limits = np.concatenate(
        [np.full(count, max(case.due)), np.full(count, case.room), np.full(count, case.spares)]
    )
    result = milp(
        np.zeros(3 * count),
        constraints=LinearConstraint(np.array(rows), ub=np.array(upper)),
        integrality=np.ones(3 * count),
        bounds=Bounds(np.zeros(3 * count), limits),
    )
    return bool(result.success)
