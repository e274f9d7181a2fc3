"""
Consistency checks across fields of a document and across documents.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping, Sequence
from math import floor
from typing import Any, cast

from ._config_lines import Path
from ._config_schema import FLEET, Document, Pool, PoolSize, Queue, Service, Team

Finding = tuple[Path, str]
"""The path of a fault in its document, and the message."""

_FLEET_PREFIX = f"{FLEET}/"

_ROUNDING_TOLERANCE = 1e-9
"""Added before rounding down, so that floating-point error can't turn 0.3 of 10 into 2."""


def max_unavailable_count(fraction: float, executors: int) -> int:
    """
    Convert an availability budget from a fraction to a count.

    :param fraction: fraction of a service's executors that may be down at once.
    :param executors: number of executors of the service.
    :returns: number of executors that may be down at once, rounded down.
    """
    return floor(fraction * executors + _ROUNDING_TOLERANCE)


def check_document(document: Document) -> Iterator[Finding]:
    """
    Check the consistency of one document without reference to others.

    :param document: a document that matches the schema, with defaults filled in.
    :returns: an iterator over all faults.
    """
    fields = cast(Mapping[str, list[Any]], document)
    for field in ("services", "pools", "queues", "teams", "operators"):
        yield from _check_unique_names(field, [entry["name"] for entry in fields.get(field, [])])
    yield from _check_services(fields["services"], fields["pools"])
    yield from _check_pools(fields["pools"])
    yield from _check_queues(fields.get("queues", []))
    yield from _check_teams(fields.get("teams", []))
    yield from _check_references(document)
    if document["name"] == FLEET:
        yield from _check_fleet(document)


def check_across(documents: Mapping[str, Document]) -> Iterator[tuple[str, Path, str]]:
    """
    Check the references between documents.

    :param documents: rendered documents by name.
    :returns: an iterator over the document name, path and message of each fault.
    """
    fleet = documents.get(FLEET)
    for name, document in documents.items():
        if name == FLEET or fleet is None:
            continue
        for path, message in _check_fleet_references(document, fleet):
            yield name, path, message


def _check_unique_names(field: str, names: Sequence[str]) -> Iterator[Finding]:
    seen: set[str] = set()
    for position, name in enumerate(names):
        if name in seen:
            yield (field, position, "name"), f"the name {name!r} is not unique"
        seen.add(name)


def _check_services(services: list[Service], pools: list[Pool]) -> Iterator[Finding]:
    sizes_by_service: dict[str, list[PoolSize]] = defaultdict(list)
    for pool in pools:
        sizes_by_service[pool["service"]].append(pool["size"])
    for position, service in enumerate(services):
        path: Path = ("services", position)
        sizes = sizes_by_service[service["name"]]
        yield from ((path, message) for message in _check_budget(service, sizes))
        max_instances = sum(size["max"] for size in sizes)
        if sizes and max_instances < service["executors"]:
            message = f"exceeds the maximum total size of the pools, {max_instances} instances"
            yield (*path, "executors"), message


def _check_budget(service: Service, sizes: list[PoolSize]) -> Iterator[str]:
    """
    Check that an availability budget keeps an executor up and still permits maintenance.

    Whether pools can grow is not checked for a service without pools in its document, since
    another document may define them.
    """
    if "max_unavailable" not in service:
        yield "either availability_budget or max_unavailable is required"
        return
    count = service["max_unavailable"]
    if count != _budget_count(service, count):
        yield f"availability_budget and max_unavailable = {count} are inconsistent"
    if count >= service["executors"]:
        yield f"the budget allows all {service['executors']} executors to be down at once"
    can_grow = any(size["max"] > size["target"] for size in sizes)
    if count == 0 and sizes and not can_grow:
        yield "no executor may be down and no pool can grow, so maintenance is impossible"


def _budget_count(service: Service, default: int) -> int:
    if "availability_budget" not in service:
        return default
    return max_unavailable_count(service["availability_budget"], service["executors"])


def _check_pools(pools: list[Pool]) -> Iterator[Finding]:
    spares = Counter(pool["role"] for pool in pools if pool["spare"])
    for position, pool in enumerate(pools):
        path: Path = ("pools", position)
        size = pool["size"]
        if not size["min"] <= size["target"] <= size["max"]:
            yield (*path, "size"), "must satisfy min <= target <= max"
        if pool["role"] == "endpoint" and not pool["spare"] and not pool["service"]:
            yield (*path, "service"), "an endpoint pool that is not spare requires a service"
        if pool["spare"] and spares[pool["role"]] > 1:
            yield (*path, "spare"), f"more than one spare pool with role {pool['role']!r}"


def _check_queues(queues: list[Queue]) -> Iterator[Finding]:
    for position, queue in enumerate(queues):
        if queue["max_bytes"] < queue["max_queued"]:
            message = f"must be at least max_queued = {queue['max_queued']}, one byte per request"
            yield ("queues", position, "max_bytes"), message


def _check_teams(teams: list[Team]) -> Iterator[Finding]:
    for position, team in enumerate(teams):
        if team["reserved"] > team["limit"]:
            message = f"{team['reserved']} exceeds the team's limit of {team['limit']}"
            yield ("teams", position, "reserved"), message


def _check_references(document: Document) -> Iterator[Finding]:
    """
    Check references to services defined in the same document.
    """
    fields = cast(Mapping[str, list[Any]], document)
    known = {service["name"] for service in fields["services"]}
    if document["name"] == FLEET:
        known |= {_FLEET_PREFIX + name for name in known}
    for field in ("queues", "pools"):
        for position, entry in enumerate(fields.get(field, [])):
            name = entry["service"]
            in_fleet_document = name.startswith(_FLEET_PREFIX) and document["name"] != FLEET
            if name and name not in known and not in_fleet_document:
                yield (field, position, "service"), f"no service {name!r} in this document"


def _check_fleet(document: Document) -> Iterator[Finding]:
    fields = cast(Mapping[str, list[Any]], document)
    yield from (
        (("zones", position), f"the zone {zone!r} is not unique")
        for position, zone in enumerate(fields["zones"])
        if zone in fields["zones"][:position]
    )
    if not any(cast(Mapping[str, float], fields["measures"]).values()):
        yield ("measures",), "at least one weight must be greater than 0"


def _check_fleet_references(document: Document, fleet: Document) -> Iterator[Finding]:
    """
    Check references from a workspace's document to services in the fleet's document.
    """
    fields = cast(Mapping[str, list[Any]], document)
    shared = {service["name"]: service["shared"] for service in fleet["services"]}
    for field in ("queues", "pools"):
        for position, entry in enumerate(fields.get(field, [])):
            if not entry["service"].startswith(_FLEET_PREFIX):
                continue
            name = entry["service"].removeprefix(_FLEET_PREFIX)
            if name not in shared:
                yield (field, position, "service"), f"no service {name!r} in the fleet document"
            elif not shared[name]:
                yield (field, position, "service"), f"fleet service {name!r} is not shared"
