"""
Runs the fault matrix: ``python -m eelgrassdrum_testing.fault_matrix``.
"""

import os
import sys
from pathlib import Path

import cyclopts

from ._matrix import TrialResult, pair_trials, render, run_trials, single_trials

app = cyclopts.App(name="fault_matrix")


@app.default
def run(
    *, seeds: int = 3, pair_seeds: int = 1, processes: int = 0, write: Path | None = None
) -> int:
    """
    Try every fault at every step, and every pair of faults.

    :param seeds: trials of each fault at each step.
    :param pair_seeds: trials of each pair.
    :param processes: processes to use; 0 takes half of the processors.
    :param write: file for the page; nothing is written without it.
    :returns: 0 when no rule was broken, else 1.
    """
    count = processes or max(1, (os.cpu_count() or 2) // 2)
    singles = run_trials(single_trials(seeds), count)
    pairs = run_trials(pair_trials(pair_seeds), count)
    if write is not None:
        write.write_text(render(singles, pairs))
    broken = [result for result in singles + pairs if result.violations]
    for result in broken:
        _print_broken(result)
    tried = sum(result.reached for result in singles + pairs)
    print(f"{tried} trials struck, {len(broken)} broke a rule")
    return 1 if broken else 0


def _print_broken(result: TrialResult) -> None:
    faults = " + ".join(result.trial.faults)
    print(f"seed {result.trial.seed}, {result.trial.step}: {faults}")
    for text in result.violations[:3]:
        print(f"    {text}")


if __name__ == "__main__":
    sys.exit(app())
