"""
Exit codes and the exceptions that map to them.
"""

from enum import IntEnum

from eelgrassdrum_core.configuration import Fault


class ExitCode(IntEnum):
    """
    Exit codes of commands. ``docs/operators/command-line.md`` explains each.
    """

    OK = 0
    INVALID = 1
    USAGE = 2
    REJECTED = 3
    UNKNOWN = 4
    NOT_SENT = 5
    UNREACHABLE = 6
    NOT_ALLOWED = 7
    NOT_FOUND = 8
    DIFFERENT = 9


class CommandError(Exception):
    """
    Raised when a command cannot continue.

    :param code: the exit code.
    :param message: one sentence for the operator.
    """

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code


class InvalidInputError(CommandError):
    """
    Raised when files or arguments are rejected before anything is sent.

    :param faults: all faults that were found.
    """

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__(ExitCode.INVALID, f"{len(faults)} fault(s), nothing was sent")
        self.faults = faults
