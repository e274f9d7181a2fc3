"""
Reads the structured logs of instances.
"""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec


class Line(NamedTuple):
    """
    A line of the structured log.

    :param at_s: Unix time.
    """

    at_s: float
    instance: str
    action: str
    fields: dict[str, Any]


def read_lines(files: Iterable[Path]) -> list[Line]:
    """
    Read the lines of logs in chronological order.

    :param files: the logs, in any order; standard input if there are none.
    :returns: the lines.
    """
    return sorted(_read_all(files), key=lambda line: line.at_s)


def _read_all(files: Iterable[Path]) -> Iterator[Line]:
    texts = [path.read_text(encoding="utf-8", errors="replace") for path in files]
    for text in texts or [sys.stdin.read()]:
        for row in text.splitlines():
            line = parse_line(row)
            if line is not None:
                yield line


def parse_line(row: str) -> Line | None:
    """
    Parse a line of a log, skipping any prefix added by a log collector.

    :param row: the line.
    :returns: the line, or ``None`` when it is not a line of the structured log.
    """
    start = row.find("{")
    if start < 0:
        return None
    try:
        data = msgspec.json.decode(row[start:])
        # A line that counts missing lines has the count beside its other top-level fields.
        fields = data.get("fields", {"lines": data.get("lines", 0)})
        return Line(data["timestamp"], data["instance"], data["message_type"], fields)
    except (msgspec.MsgspecError, KeyError, TypeError):
        return None
