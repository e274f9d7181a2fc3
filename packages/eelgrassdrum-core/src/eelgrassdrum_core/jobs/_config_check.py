"""
Checks a configuration before it is published, and compares it with the one in force.
"""

import hashlib
import math
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from .model import Config, Queue, Workspace

ERROR = "error"
WARNING = "warning"
QUEUE, SERVICE, WORKSPACE, KEY, CONFIG = "queue", "service", "workspace", "key", "configuration"
ADDED, REMOVED, CHANGED = "added", "removed", "changed"
FINGERPRINT_DIGITS = 8


class Finding(NamedTuple):
    """
    What is wrong with an entry.

    :param severity: `ERROR` or `WARNING`.
    :param kind: kind of the entry.
    :param name: its name; empty for the configuration as a whole.
    :param field: field of the model, or empty for the entry as a whole.
    :param message: what is wrong, and what is valid.
    """

    severity: str
    kind: str
    name: str
    field: str
    message: str


class Change(NamedTuple):
    """
    A difference between two configurations.

    :param action: `ADDED`, `REMOVED` or `CHANGED`.
    :param field: field that has changed, or empty for the entry as a whole.
    :param affected: who notices it.
    """

    action: str
    kind: str
    name: str
    field: str
    before: Any
    after: Any
    affected: str


def fingerprint(key: str) -> str:
    """
    Return a short digest that names a key without revealing it.

    :param key: the key.
    :returns: hexadecimal digits.
    """
    return hashlib.sha256(key.encode()).hexdigest()[:FINGERPRINT_DIGITS]


def check(config: Config) -> list[Finding]:
    """
    Return all faults of a configuration.

    :param config: the configuration.
    :returns: errors, then warnings, each in the order of the entries.
    """
    findings = [
        *_check_body_size(config),
        *(item for queue in config.queues.values() for item in _check_queue(config, queue)),
        *_check_routes(config),
        *(item for item in _check_services(config)),
        *(item for space in config.workspaces.values() for item in _check_workspace(space)),
        *_check_keys(config),
    ]
    return sorted(findings, key=lambda item: item.severity != ERROR)


def _check_body_size(config: Config) -> Iterator[Finding]:
    if config.max_body_bytes <= 0:
        yield Finding(ERROR, CONFIG, "", "max_body_bytes", "no call fits; it has to be positive")


def _check_queue(config: Config, queue: Queue) -> Iterator[Finding]:
    def found(severity: str, field: str, message: str) -> Finding:
        return Finding(severity, QUEUE, queue.name, field, message)

    service = config.services.get(queue.service)
    if service is None:
        yield found(ERROR, "service", f"there is no service {queue.service!r}; nothing can start")
    elif service.is_standby:
        yield found(WARNING, "service", f"the instances of {queue.service!r} are off")
    if not queue.prefix.startswith("/"):
        yield found(ERROR, "prefix", "no path matches; it has to begin with /")
    if queue.max_attempts < 1:
        yield found(ERROR, "max_attempts", "no task may start; it has to be at least 1")
    if queue.priority < 0:
        yield found(ERROR, "priority", "0 is the highest priority")
    if not math.isfinite(queue.slack_factor) or queue.slack_factor <= 0:
        yield found(ERROR, "slack_factor", "it has to be positive")
    elif queue.slack_factor < 1 and queue.target_ms <= 0:
        message = "the objective is shorter than the work of a job; at least 1 can be met"
        yield found(WARNING, "slack_factor", message)
    if queue.target_ms < 0:
        yield found(ERROR, "target_ms", "it must not be negative")
    if queue.has_advice and queue.ticket_valid_ms <= 0:
        yield found(ERROR, "ticket_valid_ms", "tickets are never valid; it has to be positive")


def _check_routes(config: Config) -> Iterator[Finding]:
    """
    Report queues that no call can reach, as the first of several equal prefixes takes them all.
    """
    first: dict[tuple[str, str], str] = {}
    for queue in config.queues.values():
        taken_by = first.setdefault((queue.host, queue.prefix), queue.name)
        if taken_by != queue.name:
            message = f"no call matches: queue {taken_by!r} has the same host and prefix"
            yield Finding(WARNING, QUEUE, queue.name, "prefix", message)
    has_keys = any(space.keys for space in config.workspaces.values())
    closed = [queue for queue in config.queues.values() if not queue.is_open]
    if closed and not has_keys:
        message = f"{len(closed)} queues need a key and no workspace has one; no call is accepted"
        yield Finding(WARNING, CONFIG, "", "", message)


def _check_services(config: Config) -> Iterator[Finding]:
    used = {queue.service for queue in config.queues.values()}
    for service in config.services.values():
        if service.name not in used and not service.is_standby:
            message = "no queue uses it, and it isn't on standby"
            yield Finding(WARNING, SERVICE, service.name, "", message)


def _check_workspace(space: Workspace) -> Iterator[Finding]:
    if not math.isfinite(space.weight) or space.weight <= 0:
        message = "it has no share when all is full; the weight has to be positive"
        yield Finding(ERROR, WORKSPACE, space.name, "weight", message)
    if min(space.limit) < 0:
        message = "it must not be negative; 0 stands for no limit"
        yield Finding(ERROR, WORKSPACE, space.name, "limit", message)
    if not space.keys:
        message = "it has no keys, so only open queues take its calls"
        yield Finding(WARNING, WORKSPACE, space.name, "keys", message)
    if "" in space.keys:
        yield Finding(ERROR, WORKSPACE, space.name, "keys", "a key is empty")


def _check_keys(config: Config) -> Iterator[Finding]:
    holders: defaultdict[str, list[str]] = defaultdict(list)
    for space in config.workspaces.values():
        for key in space.keys:
            holders[key].append(space.name)
    for key, names in holders.items():
        if len(names) > 1:
            message = f"it belongs to the workspaces {', '.join(map(repr, names))}"
            yield Finding(ERROR, KEY, fingerprint(key), "", message)


def compare(former: Config, config: Config) -> list[Change]:
    """
    Return what differs between two configurations.

    :param former: the one in force.
    :param config: the new one.
    :returns: the differences by kind and name. Keys are named by their fingerprints.
    """

    def callers(name: str) -> str:
        queue = config.queues.get(name) or former.queues[name]
        who = "all callers" if queue.is_open else "callers with a key"
        return f"{who} of {queue.host}{queue.prefix}"

    def queues_of(name: str) -> str:
        both = {**former.queues, **config.queues}
        used_by = sorted(queue.name for queue in both.values() if queue.service == name)
        return f"queues {', '.join(used_by)}" if used_by else "no queue"

    def workspace(name: str) -> str:
        space = config.workspaces.get(name) or former.workspaces[name]
        return f"workspace {name} with {len(space.keys)} keys"

    changes = [
        *_compare_entries(QUEUE, former.queues, config.queues, callers),
        *_compare_entries(SERVICE, former.services, config.services, queues_of),
        *_compare_entries(WORKSPACE, former.workspaces, config.workspaces, workspace),
        *_compare_keys(former, config),
    ]
    if former.max_body_bytes != config.max_body_bytes:
        before, after = former.max_body_bytes, config.max_body_bytes
        changes.append(Change(CHANGED, CONFIG, "", "max_body_bytes", before, after, "all callers"))
    return changes


def _compare_entries(
    kind: str,
    former: Mapping[str, Any],
    entries: Mapping[str, Any],
    affected: Callable[[str], str],
) -> Iterator[Change]:
    for name in sorted(former.keys() | entries.keys()):
        old, new = former.get(name), entries.get(name)
        if old is None:
            yield Change(ADDED, kind, name, "", None, None, affected(name))
        elif new is None:
            yield Change(REMOVED, kind, name, "", None, None, affected(name))
        else:
            for field in new._fields:
                before, after = getattr(old, field), getattr(new, field)
                if field != "keys" and before != after:
                    yield Change(CHANGED, kind, name, field, before, after, affected(name))


def _compare_keys(former: Config, config: Config) -> Iterator[Change]:
    old, new = former.workspace_of_key, config.workspace_of_key
    for key in sorted(old.keys() | new.keys(), key=fingerprint):
        before, after = old.get(key), new.get(key)
        if before == after:
            continue
        action = ADDED if before is None else REMOVED if after is None else CHANGED
        names = sorted({name for name in (before, after) if name is not None})
        affected = f"workspace {' and '.join(names)}"
        yield Change(action, KEY, fingerprint(key), "", before, after, affected)


def check_version(former: Config, config: Config) -> list[Finding]:
    """
    Check that a configuration would replace the one in force.

    :param former: the one in force.
    :param config: the new one.
    :returns: an error if its version isn't higher.
    """
    if config.version > former.version:
        return []
    message = f"{config.version} doesn't follow the version in force, {former.version}"
    return [Finding(ERROR, CONFIG, "", "version", message)]
