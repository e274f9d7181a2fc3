"""
Exit codes and the errors that lead to them.
"""

from enum import IntEnum

from eelgrassdrum_core.configuration import Fault


class ExitCode(IntEnum):
    """
    What the exit code of a command says. ``docs/operators/command-line.md`` explains each.
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
    A command cannot go on.

    :param code: the exit code.
    :param message: one sentence for the operator.
    """

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code


class InvalidInputError(CommandError):
    """
    Files or arguments are refused before anything is sent.

    :param faults: each fault.
    """

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__(ExitCode.INVALID, f"{len(faults)} fault(s), nothing was sent")
        self.faults = faults
