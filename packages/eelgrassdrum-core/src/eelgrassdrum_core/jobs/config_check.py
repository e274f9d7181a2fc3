"""
Checks of the configuration of job scheduling, and differences between two of them.
"""

from ._config_check import (
    CONFIG,
    ERROR,
    KEY,
    QUEUE,
    SERVICE,
    WARNING,
    WORKSPACE,
    Change,
    Finding,
    check,
    check_version,
    compare,
    fingerprint,
)

__all__ = [
    "CONFIG",
    "ERROR",
    "KEY",
    "QUEUE",
    "SERVICE",
    "WARNING",
    "WORKSPACE",
    "Change",
    "Finding",
    "check",
    "check_version",
    "compare",
    "fingerprint",
]
