"""
Prints results as tables for people or as JSON for programs.
"""

import sys
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from eelgrassdrum_core.configuration import Fault

from ._errors import CommandError, InvalidInputError
from ._settings import Settings


def print_rows(
    settings: Settings, content: Any, columns: Sequence[str], rows: Sequence[Sequence[Any]]
) -> None:
    """
    Print a list of items as a table or as JSON.

    :param settings: selects the output format.
    :param content: value that is printed as JSON.
    :param columns: headings of the table.
    :param rows: rows of the table.
    """
    if settings.output == "json":
        print_json(content)
        return
    table = Table(*columns)
    for row in rows:
        table.add_row(*(_cell(value) for value in row))
    # A table that is redirected to a file or pipe is not cut to a terminal's width.
    width = None if sys.stdout.isatty() else 200
    Console(width=width, highlight=False, markup=False).print(table)


def print_fields(settings: Settings, content: Mapping[str, Any]) -> None:
    """
    Print one item, one field per line.

    :param settings: selects the output format.
    :param content: its fields.
    """
    if settings.output == "json":
        print_json(content)
        return
    for name, value in content.items():
        if value is not None and value != "":
            print(f"{name}: {_cell(value)}")


def print_json(content: Any) -> None:
    """
    Print a value as indented JSON.

    :param content: the value.
    """
    print(msgspec.json.format(msgspec.json.encode(content), indent=2).decode())


def print_error(error: CommandError) -> None:
    """
    Print an error and its faults to standard error.

    :param error: the error.
    """
    if isinstance(error, InvalidInputError):
        for fault in error.faults:
            print(format_fault(fault), file=sys.stderr)
    print(f"eelgrassdrum: {error}", file=sys.stderr)


def format_fault(fault: Fault) -> str:
    """
    Format a fault like a compiler message, so that editors can jump to its location.

    :param fault: the fault.
    :returns: one line.
    """
    place = f"{fault.file}:{fault.line}: " if fault.file else ""
    path = f"{fault.path}: " if fault.path else ""
    return f"{place}{path}{fault.message}"


def _cell(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, str):
        return value
    if isinstance(value, float):
        return f"{value:g}"
    return msgspec.json.encode(value).decode()
