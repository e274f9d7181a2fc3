"""
How measures are judged.
"""

import math

from eelgrassdrum_testing.bench import measure


def test_bound_applies_to_the_ratio() -> None:
    """
    With a baseline, the bound is that of value divided by baseline.
    """
    assert measure("m", 70, "1/s", baseline=100, at_least=0.6).ok
    assert not measure("m", 50, "1/s", baseline=100, at_least=0.6).ok


def test_bound_applies_to_the_value() -> None:
    """
    Without a baseline, the bound is that of the value itself, and both ends count.
    """
    assert measure("m", 4, "%", at_most=4).ok
    assert not measure("m", 4.1, "%", at_most=4).ok
    assert not measure("m", math.nan, "%", at_most=4).ok
