"""
Parsing of pools from a configuration document.
"""

from typing import Any, NamedTuple


class Pool(NamedTuple):
    """
    A configured pool.

    :param name: ``WORKSPACE/POOL``.
    :param role: ``endpoint`` or ``worker``.
    :param service: ``WORKSPACE/SERVICE``, or empty.
    :param min: smallest size that moves to other pools may leave.
    :param target: desired size.
    :param max: largest size that moves into the pool may reach.
    :param spare: whether its instances are a reserve for other pools.
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
    Parse the pools of a document.

    :param document_name: name of the document, which prefixes the names of its pools.
    :param document: the rendered document.
    :returns: pools by ``WORKSPACE/POOL``.
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
