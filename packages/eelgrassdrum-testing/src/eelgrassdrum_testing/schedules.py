"""
Runs generated fault schedules: ``python -m eelgrassdrum_testing.schedules --count N --seed S``.
"""

import sys
from collections import Counter
from collections.abc import Iterable
from multiprocessing import get_context

import msgspec
from cyclopts import App

from ._schedules import ScheduleResult, run_schedule

app = App(name="schedules", help="Run generated fault schedules and check every rule.")

PROCESSES = 4
CHUNK = 8
# Violations printed for each rule.
EXAMPLES = 3


class Summary(msgspec.Struct):
    """
    What all schedules showed together.

    :param schedules: schedules run.
    :param clean: schedules that broke no rule.
    :param answered: exchanges answered.
    :param refused: exchanges refused.
    :param runs: requests started at endpoints.
    :param broken: schedules that broke each rule.
    :param faults: times that each fault was brought about.
    :param examples: some violations with their seeds.
    """

    schedules: int = 0
    clean: int = 0
    answered: int = 0
    refused: int = 0
    runs: int = 0
    broken: Counter[str] = msgspec.field(default_factory=Counter)
    faults: Counter[str] = msgspec.field(default_factory=Counter)
    examples: list[str] = msgspec.field(default_factory=list)


def summarize(results: Iterable[ScheduleResult]) -> Summary:
    """
    Add up the results of schedules.

    :param results: the results.
    :returns: the sums.
    """
    summary = Summary()
    for result in results:
        summary.schedules += 1
        summary.clean += not result.violations
        summary.answered += result.answered
        summary.refused += result.refused
        summary.runs += result.runs
        summary.faults.update(name for _, name in result.faults)
        for rule, text in _first_by_rule(result).items():
            summary.broken[rule] += 1
            if summary.broken[rule] <= EXAMPLES:
                summary.examples.append(f"seed {result.seed}: {text}")
    return summary


def run_many(first_seed: int, count: int, processes: int = PROCESSES) -> Summary:
    """
    Run schedules with consecutive seeds.

    :param first_seed: seed of the first.
    :param count: how many.
    :param processes: processes that share the work.
    :returns: the sums.
    """
    seeds = range(first_seed, first_seed + count)
    if processes == 1:
        return summarize(map(run_schedule, seeds))
    with get_context("spawn").Pool(processes) as pool:
        return summarize(pool.imap_unordered(run_schedule, seeds, CHUNK))


@app.default
def main(*, count: int = 200, seed: int = 1, processes: int = PROCESSES) -> int:
    """
    Run schedules and print the sums as one line of JSON.

    :param count: how many.
    :param seed: seed of the first.
    :param processes: processes that share the work.
    :returns: 0 when no rule was broken, else 1.
    """
    summary = run_many(seed, count, processes)
    print(msgspec.json.encode(summary).decode())
    return 0 if summary.clean == summary.schedules == count else 1


def _first_by_rule(result: ScheduleResult) -> dict[str, str]:
    texts: dict[str, str] = {}
    for text in result.violations:
        texts.setdefault(text.partition(":")[0], text)
    return texts


if __name__ == "__main__":
    sys.exit(app())
