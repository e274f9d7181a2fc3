"""
A fixed part of the fault matrix.
"""

from eelgrassdrum_testing._harness import FAULTS
from eelgrassdrum_testing._matrix import STEPS, Trial, run_trial


def test_single_faults_break_no_rule() -> None:
    """
    Each fault, brought about at one step, breaks no rule.
    """
    steps = list(STEPS)
    broken = []
    for number, fault in enumerate(sorted(FAULTS)):
        result = run_trial(Trial((fault,), steps[number % len(steps)], 1))
        assert result.reached
        if result.violations:
            broken.append(result)
    assert broken == []
