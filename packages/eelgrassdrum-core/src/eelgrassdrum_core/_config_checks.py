"""
Checks that look at more than one field of a document, or at several documents.
"""

from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, cast

from ._config_lines import Path
from ._config_schema import ANY_WORKSPACE, FLEET, Document, Pool, Queue, Service, Team

Found = tuple[Path, str]
"""Where a fault stands in its document, and what it is."""

_FLEET_PREFIX = f"{FLEET}/"


def check_document(document: Document) -> Iterator[Found]:
    """
    Check one document as far as it can be checked alone.

    :param document: a document of the right shape with defaults filled in.
    :returns: each fault.
    """
    fields = cast(Mapping[str, list[Any]], document)
    for field in ("services", "pools", "queues", "teams", "operators"):
        yield from _duplicates(field, [entry["name"] for entry in fields.get(field, [])])
    yield from _services(fields["services"], fields["pools"])
    yield from _pools(fields["pools"])
    yield from _queues(fields.get("queues", []))
    yield from _teams(fields.get("teams", []))
    yield from _references(document)
    if document["name"] == FLEET:
        yield from _fleet(document)


def check_across(documents: Mapping[str, Document]) -> Iterator[tuple[str, Path, str]]:
    """
    Check what documents say of each other.

    :param documents: rendered documents by name.
    :returns: the document's name, the path in it and the fault, for each fault.
    """
    fleet = documents.get(FLEET)
    for name, document in documents.items():
        if name == FLEET or fleet is None:
            continue
        for path, message in _fleet_references(document, fleet):
            yield name, path, message
        for path, message in _capacity(document, fleet):
            yield name, path, message
    if fleet is not None and len(documents) > 1:
        for path, message in _scopes(fleet, documents):
            yield FLEET, path, message


def _duplicates(field: str, names: Sequence[str]) -> Iterator[Found]:
    seen: set[str] = set()
    for position, name in enumerate(names):
        if name in seen:
            yield (field, position, "name"), f"the name {name!r} is used twice"
        seen.add(name)


def _services(services: list[Service], pools: list[Pool]) -> Iterator[Found]:
    for position, service in enumerate(services):
        path: Path = ("services", position, "availability_budget")
        budget = service["availability_budget"]
        if len(budget) != 1:
            yield path, "give one of max_unavailable and max_fraction"
            continue
        count = budget["max_unavailable"]
        if count >= service["executors"]:
            yield path, f"{count} of {service['executors']} executors may be down: no budget at all"
        if count == 0 and not _has_headroom(service["name"], pools):
            yield path, "nothing may be down and no pool can grow: no instance could be maintained"


def _has_headroom(service: str, pools: list[Pool]) -> bool:
    """
    Tell whether a pool of the service may hold more instances than its target.

    A service without pools here gets the benefit of the doubt, since another document may hold
    them.
    """
    sizes = [pool["size"] for pool in pools if pool["service"] == service]
    return not sizes or any(size["max"] > size["target"] for size in sizes)


def _pools(pools: list[Pool]) -> Iterator[Found]:
    spares = Counter(pool["role"] for pool in pools if pool["spare"])
    for position, pool in enumerate(pools):
        path: Path = ("pools", position)
        size = pool["size"]
        if not size["min"] <= size["target"] <= size["max"]:
            yield (*path, "size"), "min, target and max must not fall"
        if pool["role"] == "endpoint" and not pool["spare"] and not pool["service"]:
            yield (*path, "service"), "an endpoint pool that is not spare needs a service"
        if pool["spare"] and spares[pool["role"]] > 1:
            yield (*path, "spare"), f"more than one spare pool of the role {pool['role']!r}"


def _queues(queues: list[Queue]) -> Iterator[Found]:
    for position, queue in enumerate(queues):
        if queue["max_bytes"] < queue["max_queued"]:
            message = f"cannot hold max_queued = {queue['max_queued']} requests of one byte"
            yield ("queues", position, "max_bytes"), message


def _teams(teams: list[Team]) -> Iterator[Found]:
    for position, team in enumerate(teams):
        if team["reserved"] > team["limit"]:
            message = f"{team['reserved']} is above the team's limit of {team['limit']}"
            yield ("teams", position, "reserved"), message


def _references(document: Document) -> Iterator[Found]:
    """
    Check references to services of the same document.
    """
    fields = cast(Mapping[str, list[Any]], document)
    known = {service["name"] for service in fields["services"]}
    if document["name"] == FLEET:
        known |= {_FLEET_PREFIX + name for name in known}
    for field in ("queues", "pools"):
        for position, entry in enumerate(fields.get(field, [])):
            name = entry["service"]
            elsewhere = name.startswith(_FLEET_PREFIX) and document["name"] != FLEET
            if name and name not in known and not elsewhere:
                yield (field, position, "service"), f"no service {name!r} in this document"


def _fleet(document: Document) -> Iterator[Found]:
    fields = cast(Mapping[str, list[Any]], document)
    yield from (
        (("zones", position), f"the zone {zone!r} is named twice")
        for position, zone in enumerate(fields["zones"])
        if zone in fields["zones"][:position]
    )
    if not any(cast(Mapping[str, float], fields["measures"]).values()):
        yield ("measures",), "one weight at least must be above 0"


def _fleet_references(document: Document, fleet: Document) -> Iterator[Found]:
    """
    Check references from a workspace to services of the fleet.
    """
    fields = cast(Mapping[str, list[Any]], document)
    shared = {service["name"]: service["shared"] for service in fleet["services"]}
    for field in ("queues", "pools"):
        for position, entry in enumerate(fields.get(field, [])):
            if not entry["service"].startswith(_FLEET_PREFIX):
                continue
            name = entry["service"].removeprefix(_FLEET_PREFIX)
            if name not in shared:
                yield (field, position, "service"), f"no service {name!r} in the fleet"
            elif not shared[name]:
                yield (field, position, "service"), f"the fleet's service {name!r} is not shared"


def _capacity(document: Document, fleet: Document) -> Iterator[Found]:
    """
    Check that what teams have reserved could run at once.
    """
    fields = cast(Mapping[str, list[Any]], document)
    reserved = sum(team["reserved"] for team in fields.get("teams", []))
    executors = sum(service["executors"] for service in fields["services"])
    executors += sum(entry["executors"] for entry in fleet["services"] if entry["shared"])
    if reserved > executors:
        yield ("teams",), f"reserved adds up to {reserved}, above {executors} executors in reach"


def _scopes(fleet: Document, documents: Mapping[str, Document]) -> Iterator[Found]:
    operators = cast(Mapping[str, list[Any]], fleet)["operators"]
    for position, operator in enumerate(operators):
        for index, scope in enumerate(operator["scopes"]):
            if scope != ANY_WORKSPACE and scope not in documents:
                yield ("operators", position, "scopes", index), f"no workspace {scope!r}"
