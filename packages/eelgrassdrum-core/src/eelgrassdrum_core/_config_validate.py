"""
Validates documents and key records, and reports all faults together.

All functions are pure, so that every instance that folds a record reaches the same result.
"""

from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, NamedTuple, TypeVar, cast

from pydantic import TypeAdapter, ValidationError

from ._config_checks import check_document, max_unavailable_count
from ._config_lines import Fault, Path, dotted
from ._config_schema import (
    FLEET,
    FLEET_ADAPTER,
    KEY_GRANTED_ADAPTER,
    KEY_WITHDRAWN_ADAPTER,
    WORKSPACE_ADAPTER,
    Document,
    DocumentBody,
    KeyGrantedBody,
    KeyWithdrawnBody,
)

_LIST_FIELDS = {
    True: ("operators", "services", "pools"),
    False: ("services", "pools", "queues", "teams"),
}
_ENTRY_DEFAULTS: dict[str, dict[str, Any]] = {
    "services": {"shared": False},
    "pools": {"service": "", "spare": False},
    "queues": {},
    "teams": {"reserved": 0, "grace_s": 0.0},
    "operators": {},
}

_Body = TypeVar("_Body", KeyGrantedBody, KeyWithdrawnBody)

Locate = Callable[[Path], tuple[str, int]]
"""Returns the file and line of the value at a path."""


class Problem(NamedTuple):
    """
    A fault whose file and line are not resolved yet.
    """

    path: Path
    message: str


def validate(raw: Any, locate: Locate) -> Document | list[Fault]:
    """
    Validate one document and fill in its defaults.

    :param raw: the document as parsed from TOML or JSON.
    :param locate: function that locates values, for fault reports.
    :returns: the rendered document, or all of its faults sorted by file and line.
    """
    checked = _check_shape(raw)
    if not isinstance(checked, list):
        problems = [Problem(*found) for found in check_document(checked)]
        if not problems:
            return checked
        checked = problems
    faults = [Fault(*locate(item.path), dotted(item.path), item.message) for item in checked]
    return sorted(faults, key=lambda fault: (fault.file, fault.line, fault.path, fault.message))


def decode_document(body: Any) -> Document | list[Fault]:
    """
    Decode the body of a ``document.published`` record.

    :param body: the body as read from the log, not yet validated.
    :returns: the document, or the faults for which it is rejected.
    """
    if not isinstance(body, dict):
        return [_fault((), "the body is not a table")]
    faults = [
        _fault((key,), "unknown field") for key in body if key not in DocumentBody.__annotations__
    ]
    for key in ("name", "author", "comment"):
        if not isinstance(body.get(key), str):
            faults.append(_fault((key,), "missing, or not a string"))
    raw = body.get("document")
    if isinstance(raw, dict):
        # The document may omit its name, since the record contains it.
        raw = {"name": body.get("name"), **raw}
    document = validate(raw, lambda path: ("", 0))
    if isinstance(document, list):
        return faults + document
    if body.get("name") != document["name"]:
        faults.append(_fault(("name",), f"differs from the document's name {document['name']!r}"))
    return faults or document


def decode_grant(body: Any) -> KeyGrantedBody | list[Fault]:
    """
    Decode the body of a ``key.granted`` record.

    :param body: the body as read from the log, not yet validated.
    :returns: the grant, or the faults for which it is rejected.
    """
    return _decode(KEY_GRANTED_ADAPTER, body)


def decode_withdrawal(body: Any) -> KeyWithdrawnBody | list[Fault]:
    """
    Decode the body of a ``key.withdrawn`` record.

    :param body: the body as read from the log, not yet validated.
    :returns: the withdrawal, or the faults for which it is rejected.
    """
    return _decode(KEY_WITHDRAWN_ADAPTER, body)


def check_grant(grant: KeyGrantedBody, document: Document) -> list[Fault]:
    """
    Check a key grant against the document of its workspace.

    :param grant: the key grant.
    :param document: the document in force for the workspace.
    :returns: all faults; empty when the grant is valid.
    """
    if document["name"] == FLEET or document["name"] != grant["workspace"]:
        return [_fault(("workspace",), f"no workspace {grant['workspace']!r}")]
    faults = []
    fields = cast(Mapping[str, list[Any]], document)
    if grant["team"] not in {team["name"] for team in fields["teams"]}:
        faults.append(_fault(("team",), f"no team {grant['team']!r} in the workspace"))
    access = {queue["name"]: queue["access"] for queue in fields["queues"]}
    for position, name in enumerate(grant["queues"]):
        path = ("queues", position)
        if name not in access:
            faults.append(_fault(path, f"no queue {name!r} in the workspace"))
        elif access[name] == "open":
            faults.append(_fault(path, f"queue {name!r} is open and does not use keys"))
    return faults


def _decode(adapter: TypeAdapter[_Body], body: Any) -> _Body | list[Fault]:
    checked = _check(adapter, body)
    if isinstance(checked, list):
        return [_fault(problem.path, problem.message) for problem in checked]
    return cast(_Body, checked)


def _fault(path: Path, message: str) -> Fault:
    return Fault("", 0, dotted(path), message)


def _check_shape(raw: Any) -> Document | list[Problem]:
    """
    Validate a document against the schema, and normalise it.
    """
    if not isinstance(raw, dict):
        return [Problem((), "the document is not a table")]
    is_fleet = raw.get("name") == FLEET
    adapter: TypeAdapter[Any] = FLEET_ADAPTER if is_fleet else WORKSPACE_ADAPTER
    checked = _check(adapter, raw)
    if isinstance(checked, list):
        return checked
    return _normalise(checked, _LIST_FIELDS[is_fleet])


def _check(adapter: TypeAdapter[Any], raw: Any) -> Any:
    """
    Validate a value strictly: values are not converted, and unknown fields are rejected.
    """
    try:
        return adapter.validate_python(raw, strict=True, extra="forbid")
    except ValidationError as exc:
        return list(_iter_problems(exc))


def _iter_problems(exc: ValidationError) -> Iterator[Problem]:
    for error in exc.errors(include_url=False, include_context=False, include_input=False):
        yield Problem(error["loc"], _format_message(error["type"], error["msg"]))


def _format_message(kind: str, message: str) -> str:
    if kind == "extra_forbidden":
        return "unknown field"
    if kind == "missing":
        return "missing field"
    return message[0].lower() + message[1:]


def _normalise(document: dict[str, Any], list_fields: Sequence[str]) -> Document:
    """
    Fill in defaults and convert availability budgets from fractions to counts.
    """
    filled = dict(document)
    for field in list_fields:
        defaults = _ENTRY_DEFAULTS[field]
        filled[field] = [{**defaults, **entry} for entry in document.get(field, [])]
    filled["services"] = [_add_budget_count(service) for service in filled["services"]]
    return cast(Document, filled)


def _add_budget_count(service: dict[str, Any]) -> dict[str, Any]:
    """
    Add the count derived from the fraction of a budget, unless the document contains the count.
    """
    if "availability_budget" not in service or "max_unavailable" in service:
        return service
    count = max_unavailable_count(service["availability_budget"], service["executors"])
    return {**service, "max_unavailable": count}
