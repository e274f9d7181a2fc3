"""
Measurements with regression bounds.

A module named ``_bench_*`` here gives a ``BENCHES`` mapping from a name to a function without
parameters that yields measures. All such modules are found by name.
"""

from ._measure import Bench, Measure, measure

__all__ = ["Bench", "Measure", "measure"]
