"""
Command-line client for operators.
"""

from ._app import main, run
from ._errors import ExitCode

__all__ = ["ExitCode", "main", "run"]
