"""
Configuration documents in force: services, queues, teams and pools by qualified name.
"""

from typing import Any, NamedTuple, TypeVar, cast

import msgspec

from ._config_schema import FLEET
from ._config_validate import decode_document
from ._pools_config import Pool, read_pools
from ._records import DOCUMENT_PUBLISHED, Record

T = TypeVar("T")

# Revisions kept per document, for history and rollback.
MAX_REVISIONS = 20

REASON_INVALID = "invalid_document"
REASON_NOT_SHARED = "service_not_shared"


class Service(NamedTuple):
    """
    A service that endpoints run.

    :param name: ``WORKSPACE/SERVICE``.
    :param executors: number of endpoints that the service should have.
    :param max_unavailable: number of endpoints that may be down at the same time.
    :param shared: whether other workspaces may use it.
    """

    name: str
    executors: int
    max_unavailable: int
    shared: bool


class Queue(NamedTuple):
    """
    A queue that callers send requests to.

    :param name: ``WORKSPACE/QUEUE``.
    :param workspace: workspace that defines the queue.
    :param service: ``WORKSPACE/SERVICE`` that runs its requests.
    :param keyed: whether a request needs a key.
    :param max_queued: maximum number of requests waiting at one entry instance.
    :param max_bytes: maximum total body size of the requests waiting at one entry instance,
        in bytes.
    :param max_wait_s: maximum time that a request waits, in seconds.
    :param max_run_s: maximum time that a request runs, in seconds.
    """

    name: str
    workspace: str
    service: str
    keyed: bool
    max_queued: int
    max_bytes: int
    max_wait_s: float
    max_run_s: float


class Team(NamedTuple):
    """
    A team and its resource entitlements.

    :param name: ``WORKSPACE/TEAM``.
    :param workspace: workspace that defines the team.
    :param share: weight of the team when the fleet is full.
    :param limit: upper limit of units that the team runs at once across the fleet.
    :param reserved: units reserved for the team.
    :param grace_s: time for which the team's keys stay valid in a zone that can't receive key
        withdrawals, in seconds.
    """

    name: str
    workspace: str
    share: float
    limit: int
    reserved: int
    grace_s: float


class DocumentRevision(NamedTuple):
    """
    One accepted revision of a document.

    :param offset: offset of the record in the log, which is the revision number.
    :param author: the operator who published it.
    :param comment: the operator's comment.
    :param document: the rendered document.
    """

    offset: int
    author: str
    comment: str
    document: dict[str, Any]


class ConfigFold(msgspec.Struct):
    """
    Documents accepted from the log, and the objects derived from them.
    """

    documents: dict[str, list[DocumentRevision]] = msgspec.field(default_factory=dict)
    services: dict[str, Service] = msgspec.field(default_factory=dict)
    queues: dict[str, Queue] = msgspec.field(default_factory=dict)
    teams: dict[str, Team] = msgspec.field(default_factory=dict)
    pools: dict[str, dict[str, Pool]] = msgspec.field(default_factory=dict)


def qualify(workspace: str, name: str) -> str:
    """
    Return the qualified name of an object in a workspace.

    :param workspace: the workspace whose document contains the name.
    :param name: ``NAME``, or an already qualified ``WORKSPACE/NAME``.
    :returns: ``WORKSPACE/NAME``.
    """
    return name if "/" in name else f"{workspace}/{name}"


def apply_document(config: ConfigFold, offset: int, record: Record) -> str:
    """
    Apply a published document.

    :param config: changed in place.
    :param offset: offset of the record in the log.
    :param record: a ``document.published`` record.
    :returns: the reason for rejection, or an empty string when the document is accepted.
    """
    document = decode_document(record.body)
    if isinstance(document, list) or record.subject != f"document/{document['name']}":
        return REASON_INVALID
    name = document["name"]
    fields = cast(dict[str, Any], document)
    revision = DocumentRevision(offset, record.body["author"], record.body["comment"], fields)
    services, queues, teams = _read_document(name, fields)
    if _breaks_references(config, name, services, queues):
        return REASON_NOT_SHARED
    revisions = config.documents.setdefault(name, [])
    revisions.append(revision)
    del revisions[:-MAX_REVISIONS]
    config.services = _replace_workspace(config.services, name, services)
    config.queues = _replace_workspace(config.queues, name, queues)
    config.teams = _replace_workspace(config.teams, name, teams)
    config.pools[name] = read_pools(name, fields)
    return ""


def _breaks_references(
    config: ConfigFold, name: str, services: dict[str, Service], queues: dict[str, Queue]
) -> bool:
    """
    Return whether a queue references a fleet service that is missing or not shared.

    A new fleet document is checked against the queues of every workspace.
    """
    offered = services if name == FLEET else config.services
    used = config.queues if name == FLEET else queues
    for queue in used.values():
        if queue.workspace == FLEET or not queue.service.startswith(f"{FLEET}/"):
            continue
        service = offered.get(queue.service)
        if service is None or not service.shared:
            return True
    return False


def _replace_workspace(current: dict[str, T], workspace: str, new: dict[str, T]) -> dict[str, T]:
    kept = {key: value for key, value in current.items() if not key.startswith(f"{workspace}/")}
    return {**kept, **new}


def _read_document(
    name: str, document: dict[str, Any]
) -> tuple[dict[str, Service], dict[str, Queue], dict[str, Team]]:
    services = [_read_service(name, item) for item in document.get("services", [])]
    queues = [_read_queue(name, item) for item in document.get("queues", [])]
    teams = [_read_team(name, item) for item in document.get("teams", [])]
    return (
        {service.name: service for service in services},
        {queue.name: queue for queue in queues},
        {team.name: team for team in teams},
    )


def _read_service(workspace: str, item: dict[str, Any]) -> Service:
    return Service(
        qualify(workspace, item["name"]),
        int(item["executors"]),
        int(item["max_unavailable"]),
        item["shared"],
    )


def _read_queue(workspace: str, item: dict[str, Any]) -> Queue:
    return Queue(
        qualify(workspace, item["name"]),
        workspace,
        qualify(workspace, item["service"]),
        item["access"] != "open",
        int(item["max_queued"]),
        int(item["max_bytes"]),
        float(item["max_wait_s"]),
        float(item["max_run_s"]),
    )


def _read_team(workspace: str, item: dict[str, Any]) -> Team:
    return Team(
        qualify(workspace, item["name"]),
        workspace,
        float(item["share"]),
        int(item["limit"]),
        item["reserved"],
        float(item["grace_s"]),
    )


APPLIERS = {DOCUMENT_PUBLISHED: apply_document}
