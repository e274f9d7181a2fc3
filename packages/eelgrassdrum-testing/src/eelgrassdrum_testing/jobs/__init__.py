"""
A small world in virtual time around the reducer of jobs: store, workers, machine service, callers,
faults, and the rules that are checked at each step.
"""

from ._faults import FAULTS
from ._rules import Violation
from ._schedule import ScheduleResult, run_schedule
from ._world import World, make_world

__all__ = ["FAULTS", "ScheduleResult", "Violation", "World", "make_world", "run_schedule"]
