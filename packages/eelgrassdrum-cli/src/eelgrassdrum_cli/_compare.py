"""
Compares two documents field by field.
"""

from collections.abc import Iterator
from typing import Any, Literal, NamedTuple


class Change(NamedTuple):
    """
    One field that differs.
    """

    action: Literal["added", "removed", "changed"]
    path: str
    before: Any
    after: Any


def compare(before: Any, after: Any) -> list[Change]:
    """
    List the changes from one document to another.

    List entries are matched by name, so that an entry inserted in the middle is a single change.

    :param before: the document in force, or an empty table.
    :param after: the new document.
    :returns: the changes in the order of their paths.
    """
    old = dict(_leaves(before, ""))
    new = dict(_leaves(after, ""))
    changes = []
    for path in sorted(old.keys() | new.keys()):
        if path not in old:
            changes.append(Change("added", path, None, new[path]))
        elif path not in new:
            changes.append(Change("removed", path, old[path], None))
        elif old[path] != new[path]:
            changes.append(Change("changed", path, old[path], new[path]))
    return changes


def _leaves(value: Any, path: str) -> Iterator[tuple[str, Any]]:
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _leaves(item, f"{path}.{key}" if path else key)
    elif isinstance(value, list) and _is_named(value):
        for item in value:
            yield from _leaves(item, f"{path}[{item['name']}]")
    else:
        yield path, value


def _is_named(entries: list[Any]) -> bool:
    return bool(entries) and all(isinstance(entry, dict) and "name" in entry for entry in entries)
