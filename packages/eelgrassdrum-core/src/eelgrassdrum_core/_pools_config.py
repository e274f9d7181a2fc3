"""
Pools as a document configures them.
"""

from typing import Any, NamedTuple


class Pool(NamedTuple):
    """
    A configured pool.

    :param name: ``WORKSPACE/POOL``.
    :param role: ``endpoint`` or ``worker``.
    :param service: ``WORKSPACE/SERVICE``, or empty.
    :param min: instances that moves away must leave.
    :param target: instances that it should have.
    :param max: instances that moves may bring it to.
    :param spare: whether its instances wait for use elsewhere.
    """

    name: str
    role: str
    service: str
    min: int
    target: int
    max: int
    spare: bool


def read_pools(document_name: str, document: dict[str, Any]) -> dict[str, Pool]:
    """
    Read the pools of a document.

    :param document_name: the document's name, to which the names of its pools belong.
    :param document: the rendered document.
    :returns: pools by full name.
    """
    pools = [_read_pool(document_name, item) for item in document.get("pools", [])]
    return {pool.name: pool for pool in pools}


def _read_pool(workspace: str, item: dict[str, Any]) -> Pool:
    service = item.get("service", "")
    size = item["size"]
    return Pool(
        f"{workspace}/{item['name']}",
        item["role"],
        service if not service or "/" in service else f"{workspace}/{service}",
        int(size["min"]),
        int(size["target"]),
        int(size["max"]),
        bool(item.get("spare", False)),
    )
