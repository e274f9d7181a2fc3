"""
The process of an instance that schedules jobs: event loop, sockets, timers, structured log and
metrics around the reducer of jobs.
"""

from ._app import JobApp, run_app
from ._logging import make_stdout_writer
from ._ports import Ports
from ._strength import weakness

__all__ = ["JobApp", "Ports", "make_stdout_writer", "run_app", "weakness"]
