"""
The structured log: JSON lines by eliot.
"""

import sys
from collections.abc import Callable
from typing import IO, Any

import eliot

Write = Callable[..., None]


def open_log(file: str) -> IO[str]:
    """
    Open the log, and have eliot write to it.

    :param file: a path, or ``-`` for standard error.
    :returns: the open file.
    """
    stream = sys.stderr if file == "-" else open(file, "a", encoding="utf-8", buffering=1)
    eliot.to_file(stream)
    return stream


def make_writer(instance: str, zone: str) -> Write:
    """
    Give the function that writes one line.

    :param instance: id of this instance, part of every line.
    :param zone: its availability zone, part of every line.
    :returns: a function that takes the action and more fields; it must be given no secrets.
    """

    def write(action: str, **fields: Any) -> None:
        eliot.log_message(message_type=action, instance=instance, zone=zone, **fields)

    return write
