"""
Structured logging: JSON lines written by eliot.
"""

import contextlib
import sys
from collections.abc import Callable, Iterator
from typing import Any

import eliot

Write = Callable[..., None]


@contextlib.contextmanager
def open_log(file: str) -> Iterator[None]:
    """
    Send eliot's output to a file until the context exits.

    :param file: a path, or ``-`` for standard error.
    """
    if file == "-":
        eliot.to_file(sys.stderr)
        yield
        return
    with open(file, "a", encoding="utf-8", buffering=1) as stream:
        eliot.to_file(stream)
        yield


def make_writer(instance: str, zone: str) -> Write:
    """
    Build the function that writes one log line.

    :param instance: id of this instance, included in every line.
    :param zone: its availability zone, included in every line.
    :returns: a function that takes the action and its fields. The fields are written as one nested
        object so that they cannot clash with those of the line. Never pass secrets to it.
    """

    def write(action: str, /, **fields: Any) -> None:
        eliot.log_message(message_type=action, instance=instance, zone=zone, fields=fields)

    return write
