"""
The structured log: JSON lines by eliot.
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
    Have eliot write to a file until the context ends.

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
    Give the function that writes one line.

    :param instance: id of this instance, part of every line.
    :param zone: its availability zone, part of every line.
    :returns: a function that takes the action and more fields, which are written as one object so
        that they cannot clash with those of the line; it must be given no secrets.
    """

    def write(action: str, /, **fields: Any) -> None:
        eliot.log_message(message_type=action, instance=instance, zone=zone, fields=fields)

    return write
