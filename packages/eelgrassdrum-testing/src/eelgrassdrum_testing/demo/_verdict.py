"""
What must always hold, checked after the demonstration.
"""

from collections import Counter
from typing import NamedTuple

from ._callers import ANSWERED, LOST, NOT_RUN, Outcome
from ._changes import Changes
from ._watch import RunningWatch

MAX_WITHDRAWN_S = 5.0
MAX_ROLL_OUT_S = 9.0


class Totals(NamedTuple):
    """
    Requests by what became of them.

    :param answered: got an endpoint's answer.
    :param not_run: refused as not run.
    :param unknown: told that the outcome is unknown.
    :param lost: told nothing.
    :param doubled: not idempotent, and started more than once.
    :param false_not_run: refused as not run, and started.
    :param wrong: got an answer that is not whole or not its own.
    """

    answered: int
    not_run: int
    unknown: int
    lost: int
    doubled: int
    false_not_run: int
    wrong: int


def count(outcomes: list[Outcome], starts: dict[str, int]) -> Totals:
    """
    Sort the requests by what became of them.

    :param outcomes: what the callers were told.
    :param starts: how often each request was started.
    :returns: the counts.
    """
    states = Counter(outcome.state for outcome in outcomes)
    return Totals(
        states[ANSWERED],
        states[NOT_RUN],
        states["unknown"],
        states[LOST],
        sum(
            starts.get(outcome.arrival.request_id, 0) > 1
            for outcome in outcomes
            if not outcome.arrival.idempotent
        ),
        sum(
            starts.get(outcome.arrival.request_id, 0) > 0
            for outcome in outcomes
            if outcome.state == NOT_RUN
        ),
        sum(not outcome.is_own for outcome in outcomes),
    )


def find_violations(
    totals: Totals,
    watch: RunningWatch,
    limits: dict[str, int],
    changes: Changes,
    exceptions: list[str],
) -> list[str]:
    """
    List what must always hold and did not.

    :param totals: requests by what became of them.
    :param watch: what ran at once.
    :param limits: upper limits by ``WORKSPACE/TEAM``.
    :param changes: what came of the changes on the way.
    :param exceptions: faults that entry instances have logged.
    :returns: one line each.
    """
    found = [f"an entry instance logged a fault: {text}" for text in sorted(set(exceptions))]
    if totals.answered == 0:
        found.append("no request was answered")
    for name in ("lost", "doubled", "false_not_run", "wrong"):
        if getattr(totals, name):
            found.append(f"{getattr(totals, name)} requests {name}")
    for team, most in watch.most.items():
        if most > limits[team]:
            found.append(f"{team} ran {most} at once over its limit of {limits[team]}")
    if changes.exit_code != 0:
        found.append(f"the replaced instance ended with {changes.exit_code}")
    if changes.withdrawn_tries == 0 or changes.withdrawn_s > MAX_WITHDRAWN_S:
        found.append(f"the withdrawn key was taken for {changes.withdrawn_s:.1f} s")
    if changes.roll_out_s is None or changes.roll_out_s > MAX_ROLL_OUT_S:
        found.append(f"the configuration was not in force within {MAX_ROLL_OUT_S:g} s")
    return found
