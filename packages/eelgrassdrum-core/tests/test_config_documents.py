"""
Tests of configuration documents: templates, validation and decoding of records.
"""

import copy
from typing import Any

from eelgrassdrum_core.configuration import (
    Source,
    check_across,
    check_grant,
    decode_document,
    decode_grant,
    render,
)

WORKSPACE = """\
name = "rose"

[[services]]
name = "judging"
executors = 6
availability_budget = 0.34

[[queues]]
name = "scores"
service = "judging"
access = "keyed"
max_queued = 10
max_bytes = 1000
max_wait_s = 5
max_run_s = 5

[[queues]]
name = "results"
service = "fleet/result"
access = "open"
max_queued = 10
max_bytes = 1000
max_wait_s = 5
max_run_s = 5

[[teams]]
name = "judges"
share = 2
limit = 8
"""

TEMPLATE = """\
name = "${show}-show"
teams = "${teams}"

[parameters.show]
type = "string"
choices = ["rose", "fern"]

[parameters.teams]
type = "list"
min = 1

[parameters.executors]
type = "int"
default = 6
min = 4
max = 8

[[services]]
name = "judging"
executors = "${executors}"
max_unavailable = 1
"""

PARAMETERS = """\
template = "t.toml"

[parameters]
show = "rose"

[[parameters.teams]]
name = "judges"
share = 1
limit = 4
"""

FLEET: dict[str, Any] = {
    "name": "fleet",
    "zones": ["a", "b"],
    "measures": {"roll_out_time": 1, "buffer_cost": 1, "closeness_to_share": 1},
    "services": [{"name": "result", "executors": 6, "max_unavailable": 1, "shared": True}],
}


def document() -> dict[str, Any]:
    return copy.deepcopy(render(Source("w.toml", WORKSPACE)).document)  # type: ignore[arg-type]


def body(document: dict[str, Any]) -> dict[str, Any]:
    return {"name": document["name"], "document": document, "author": "o", "comment": ""}


def fault_locations(text: str, parameters: str | None = None) -> list[tuple[str, int, str]]:
    parameters_source = Source("p.toml", parameters) if parameters is not None else None
    faults = render(Source("w.toml", text), parameters_source).faults
    return [(fault.file, fault.line, fault.path) for fault in faults]


FIXTURES = {"document": document}


def test_defaults_are_filled_in_and_the_budget_becomes_a_count(document: dict[str, Any]) -> None:
    """A rendered document contains every field that the reducer reads."""
    assert document["services"][0]["max_unavailable"] == 2
    assert document["services"][0]["shared"] is False
    assert document["teams"][0]["reserved"] == 0
    assert document["teams"][0]["grace_s"] == 0.0


def test_a_rendered_document_decodes_to_itself(document: dict[str, Any]) -> None:
    """Decoding a rendered document is idempotent, so every instance folds what the operator saw."""
    assert decode_document(body(document)) == document


def test_every_fault_is_reported_with_its_line() -> None:
    """Unknown, missing, mistyped and out-of-range fields are reported together."""
    text = WORKSPACE.replace("executors = 6", 'executors = "six"')
    text = text.replace("max_queued = 10\n", "max_queue = 10\n", 1)
    text = text.replace("share = 2", "share = 0").replace("limit = 8", 'limit = "8"')
    assert fault_locations(text) == [
        ("w.toml", 5, "services[0].executors"),
        ("w.toml", 8, "queues[0].max_queued"),
        ("w.toml", 12, "queues[0].max_queue"),
        ("w.toml", 28, "teams[0].share"),
        ("w.toml", 29, "teams[0].limit"),
    ]


def test_broken_toml_is_reported_with_its_line() -> None:
    """A syntax error is reported with its line number."""
    assert fault_locations(WORKSPACE.replace('name = "judging"', "name = judging")) == [
        ("w.toml", 4, "")
    ]


def test_each_contradiction_inside_a_document_is_refused(document: dict[str, Any]) -> None:
    """Inconsistent documents are rejected with the path of the fault."""
    service = {"name": "judging", "executors": 6}
    pool = {"name": "p", "role": "endpoint", "service": "judging"}
    size = {"min": 0, "target": 2, "max": 4}
    spare = {"name": "s", "role": "worker", "spare": True, "size": size}
    changes: list[tuple[str, list[Any], str]] = [
        ("teams", [{"reserved": 9}], "teams[0].reserved"),
        ("teams", [{}, {}], "teams[1].name"),
        ("queues", [{"service": "nowhere"}], "queues[0].service"),
        ("queues", [{"max_bytes": 9}], "queues[0].max_bytes"),
        ("services", [{**service, "max_unavailable": 6}], "services[0]"),
        (
            "services",
            [{**service, "max_unavailable": 1, "availability_budget": 0.5}],
            "services[0]",
        ),
        ("services", [service], "services[0]"),
        ("pools", [spare, {**spare, "name": "t"}], "pools[1].spare"),
        ("pools", [{**pool, "size": {"min": 3, "target": 2, "max": 9}}], "pools[0].size"),
        ("pools", [{**pool, "size": {"min": 1, "target": 2, "max": 5}}], "services[0].executors"),
        ("pools", [{**pool, "service": "", "size": {"min": 1, "target": 6, "max": 6}}], _SERVICE),
    ]
    for field, entries, path in changes:
        changed = copy.deepcopy(document)
        # Queues and teams extend the first entry; services and pools are complete entries.
        first = document[field][0] if field in ("queues", "teams") else {}
        changed[field] = [{**first, **entry} for entry in entries]
        decoded = decode_document(body(changed))
        assert isinstance(decoded, list), (field, entries)
        assert path in [fault.path for fault in decoded], (field, entries, decoded)


_SERVICE = "pools[0].service"


def test_a_budget_of_zero_needs_a_pool_that_can_grow(document: dict[str, Any]) -> None:
    """A service with a budget of zero is valid only when a pool may grow by one instance."""
    service = {"name": "judging", "executors": 6, "max_unavailable": 0}
    for largest, is_refused in ((6, True), (7, False)):
        pool = {"name": "p", "role": "endpoint", "service": "judging"}
        pool["size"] = {"min": 5, "target": 6, "max": largest}  # type: ignore[assignment]
        changed = {**document, "services": [service], "pools": [pool]}
        assert isinstance(decode_document(body(changed)), list) is is_refused


def test_references_to_the_fleet_are_checked_across_documents(document: dict[str, Any]) -> None:
    """A workspace may reference only shared services of the fleet."""
    fleet = decode_document(body(FLEET))
    assert isinstance(fleet, dict)
    assert list(check_across({"rose": document, "fleet": fleet})) == []  # type: ignore[dict-item]
    for services in ([{**fleet["services"][0], "shared": False}], []):
        fleet["services"] = services
        found = list(check_across({"rose": document, "fleet": fleet}))  # type: ignore[dict-item]
        assert [(name, path) for name, path, _ in found] == [("rose", ("queues", 1, "service"))]


def test_a_fleet_needs_distinct_zones_and_a_weight() -> None:
    """Duplicate zones and weights that are all 0 are rejected."""
    weights = dict.fromkeys(FLEET["measures"], 0)
    for change, path in (({"zones": ["a", "a"]}, "zones[1]"), ({"measures": weights}, "measures")):
        decoded = decode_document(body({**FLEET, **change}))
        assert isinstance(decoded, list)
        assert [fault.path for fault in decoded] == [path]


def test_parameters_keep_their_types() -> None:
    """A lone placeholder keeps the type of its value; one inside a longer string becomes text."""
    rendered = render(Source("t.toml", TEMPLATE), Source("p.toml", PARAMETERS)).document
    assert rendered is not None
    assert rendered["name"] == "rose-show"
    assert rendered["services"][0]["executors"] == 6


def test_faulty_parameters_are_found_in_the_file_that_sets_them() -> None:
    """Unknown, missing, mistyped and invalid parameters are reported with their file and line."""
    faulty = PARAMETERS.replace('show = "rose"', 'show = "moss"\nshows = 1\nexecutors = true')
    assert fault_locations(TEMPLATE, faulty) == [
        ("p.toml", 4, "parameters.show"),
        ("p.toml", 5, "parameters.shows"),
        ("p.toml", 6, "parameters.executors"),
    ]
    assert fault_locations(TEMPLATE, PARAMETERS.replace("share = 1", "share = 0")) == [
        ("p.toml", 8, "teams[0].share")
    ]
    assert fault_locations(TEMPLATE.replace("${show}", "${who}"), "[parameters]") == [
        ("p.toml", 1, "parameters.show"),
        ("p.toml", 1, "parameters.teams"),
        ("w.toml", 1, "name"),
    ]


def test_declarations_bound_their_parameters() -> None:
    """Bounds apply to numbers, lengths of lists and default values."""
    for setting in ("executors = 9", "executors = 3"):
        faulty = PARAMETERS.replace('show = "rose"', f'show = "rose"\n{setting}')
        assert fault_locations(TEMPLATE, faulty) == [("p.toml", 5, "parameters.executors")]
    no_teams = '[parameters]\nshow = "rose"\nteams = []'
    assert fault_locations(TEMPLATE, no_teams) == [("p.toml", 3, "parameters.teams")]
    template = TEMPLATE.replace("default = 6", "default = 9")
    assert fault_locations(template, PARAMETERS) == [("w.toml", 14, "parameters.executors.default")]


def test_boolean_is_rejected_as_a_number() -> None:
    """A value of the wrong type is rejected for its type, regardless of bounds."""
    template = TEMPLATE.replace("min = 4\n", "")
    faulty = PARAMETERS.replace('show = "rose"', 'show = "rose"\nexecutors = true')
    [fault] = render(Source("t.toml", template), Source("p.toml", faulty)).faults
    assert "is not of the type int" in fault.message


def test_list_parameter_cannot_be_part_of_a_string() -> None:
    """The placeholder of a list parameter must be the whole string."""
    template = TEMPLATE.replace("${show}-show", "${show}-${teams}")
    [fault] = render(Source("t.toml", template), Source("p.toml", PARAMETERS)).faults
    assert (fault.line, fault.path) == (1, "name")
    assert "cannot be part of a string" in fault.message


def test_decoder_rejects_invalid_bodies(document: dict[str, Any]) -> None:
    """Malformed bodies are rejected without an exception."""
    good = body(document)
    bad: list[Any] = [None, [], "x", {}, {**good, "name": "fern"}, {**good, "extra": 1}]
    bad += [{**good, "document": value} for value in (None, 3, [], {"name": 7}, {"name": "fleet"})]
    bad += [{**good, "author": None}, {**good, "document": {**document, "queues": {}}}]
    for item in bad:
        assert isinstance(decode_document(item), list), item


def test_grant_must_match_its_workspace(document: dict[str, Any]) -> None:
    """A key can be granted only to a known team and for keyed queues."""
    grant = {"key_id": "k1", "workspace": "rose", "team": "judges", "digest": "0" * 64}
    for team, queues, paths in (
        ("judges", ["scores"], []),
        ("judges", [], []),
        ("stewards", ["results", "none"], ["team", "queues[0]", "queues[1]"]),
    ):
        decoded = decode_grant({**grant, "team": team, "queues": queues})
        assert isinstance(decoded, dict)
        faults = check_grant(decoded, document)  # type: ignore[arg-type]
        assert [fault.path for fault in faults] == paths
    assert isinstance(decode_grant({**grant, "queues": [], "digest": "secret"}), list)
