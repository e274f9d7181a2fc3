"""
Maps the values of a TOML text to line numbers, which `tomllib` does not report.
"""

import re
import tomllib
from collections.abc import Iterator
from typing import Any, NamedTuple

Path = tuple[str | int, ...]
"""Keys and list indexes from the root of a document to a value."""

_SYNTAX_ERROR_LINE = re.compile(r"\(at line (\d+), column \d+\)")


class Source(NamedTuple):
    """
    A TOML text and the name of its file.
    """

    file: str
    text: str


class Fault(NamedTuple):
    """
    A fault in a document: its location and the reason for rejection.

    ``line`` is 0 when the document was not read from a file.
    """

    file: str
    line: int
    path: str
    message: str


class Statement(NamedTuple):
    """
    One table header or one assignment, and the line where it starts.
    """

    line: int
    text: str


def dotted(path: Path) -> str:
    """
    Format a path for error messages.

    :param path: keys and list indexes.
    :returns: for example ``services[0].executors``.
    """
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text


def parse_toml(source: Source) -> dict[str, Any] | Fault:
    """
    Parse a TOML text.

    :param source: the text and its file.
    :returns: the parsed tables, or a fault with the location of the syntax error.
    """
    try:
        return tomllib.loads(source.text)
    except tomllib.TOMLDecodeError as exc:
        found = _SYNTAX_ERROR_LINE.search(str(exc))
        line = int(found[1]) if found else len(source.text.splitlines())
        reason = _SYNTAX_ERROR_LINE.sub("", str(exc)).strip()
        return Fault(source.file, line, "", f"invalid TOML: {reason}")


def index_lines(text: str) -> dict[Path, int]:
    """
    Build an index from the path of each value to the line of the statement that sets it.

    :param text: a text that `parse_toml` accepts.
    :returns: line numbers by path, starting at 1.
    """
    lines: dict[Path, int] = {}
    lengths: dict[Path, int] = {}
    table: Path = ()
    for statement in _iter_statements(text):
        parsed = tomllib.loads(statement.text)
        if statement.text.lstrip().startswith("["):
            table = _enter_table(parsed, lengths)
            lines.setdefault(table, statement.line)
        else:
            for path in _iter_paths(parsed):
                lines.setdefault(table + path, statement.line)
    return lines


def line_of(lines: dict[Path, int], path: Path) -> int:
    """
    Return the line of a value, or of its nearest enclosing table.

    :param lines: index built by `index_lines`.
    :param path: path of the value, which may be missing from the document.
    :returns: a line number, starting at 1.
    """
    for end in range(len(path), 0, -1):
        if path[:end] in lines:
            return lines[path[:end]]
    return 1


def _iter_statements(text: str) -> Iterator[Statement]:
    """
    Split a text into statements, by adding lines to a statement until it parses.
    """
    pending = ""
    start = 1
    for number, line in enumerate(text.splitlines(keepends=True), start=1):
        if not pending:
            start = number
        pending += line
        if not _parses(pending):
            continue
        if tomllib.loads(pending):
            yield Statement(start, pending)
        pending = ""


def _parses(text: str) -> bool:
    try:
        tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        return False
    return True


def _enter_table(header: dict[str, Any], lengths: dict[Path, int]) -> Path:
    """
    Return the path of a table header, and count the elements of arrays of tables.
    """
    path: Path = ()
    value: Any = header
    while isinstance(value, dict) and value:
        key, value = next(iter(value.items()))
        path += (key,)
        if isinstance(value, list):
            lengths[path] = lengths.get(path, 0) + 1
        if path in lengths:
            path += (lengths[path] - 1,)
    return path


def _iter_paths(value: Any, prefix: Path = ()) -> Iterator[Path]:
    if prefix:
        yield prefix
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _iter_paths(item, (*prefix, key))
    elif isinstance(value, list):
        for position, item in enumerate(value):
            yield from _iter_paths(item, (*prefix, position))
