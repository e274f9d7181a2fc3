"""
Tests of publishing with lost responses of the log and unresponsive entry instances.
"""

import json
from pathlib import Path
from typing import Any

from eelgrassdrum_cli import ExitCode
from eelgrassdrum_testing import operator_platform as fakes
from eelgrassdrum_testing.operator_platform import Platform, command, fold

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
FLEET = str(EXAMPLES / "gartenschau" / "fleet.toml")
GRAZ = str(EXAMPLES / "gartenschau" / "graz.toml")
NOWHERE = "http://127.0.0.1:1"

FIXTURES = {"platform": fakes.platform}


def publish_and_count_accepted(platform: Platform) -> int:
    """
    Publish the fleet's document, and return how many of its records the fold has accepted.
    """
    command(platform, "publish", FLEET)
    return len(fold(platform)[1].config.documents.get("fleet", []))


def test_an_accepted_document_is_reported_with_its_revision(platform: Platform) -> None:
    """Publishing exits with 0 and prints the revision once the fold has accepted the record."""
    result = command(platform, "publish", FLEET, GRAZ, "--comment", "first")
    assert result.code == ExitCode.OK
    assert [(item["state"], item["revision"]) for item in result.json()] == [
        ("accepted", 1),
        ("accepted", 2),
    ]
    assert platform.records[1]["body"]["comment"] == "first"
    assert command(platform, "diff", FLEET, GRAZ).code == ExitCode.OK


def test_an_append_takes_effect_once_whatever_becomes_of_its_answer(platform: Platform) -> None:
    """After each fault of the log the record is accepted exactly once, under one id."""
    faults: list[fakes.Fault] = [
        fakes.lose_answer,
        fakes.lose_request,
        fakes.answer_rubbish,
        fakes.out_of_service,
        fakes.out_of_service_after_storing,
        fakes.over_the_cap,
    ]
    for count, fault in enumerate(faults, start=1):
        platform.faults = [fault]
        assert publish_and_count_accepted(platform) == count, fault
    ids = {json.dumps(record["id"]) for record in platform.records}
    assert len(ids) == len(platform.records) == len(faults)
    assert platform.appends == len(faults) + 3


def test_a_stale_record_is_rejected_with_the_one_that_overtook_it(platform: Platform) -> None:
    """The loser of a race is shown the winning record, and exits with a code of its own."""
    platform.faults = [fakes.overtake]
    result = command(platform, "publish", FLEET, GRAZ)
    assert result.code == ExitCode.REJECTED
    rejected = result.json()[0]
    assert (rejected["reason"], rejected["revision"]) == ("stale", None)
    assert len(result.json()) == 1
    assert rejected["overtaken_by"] == {"offset": 1, "author": "staff", "writer": "cli-rival-0"}


def test_a_fenced_record_is_retried_under_a_new_id(platform: Platform) -> None:
    """A newer command of the same writer causes a retry, not a failure."""

    def fence(platform: Platform, records: list[Any]) -> tuple[int, Any]:
        newer = {**records[0]["id"], "incarnation": records[0]["id"]["incarnation"] + 1}
        body = {"workspace": "graz", "key_id": "k1"}
        other = {"kind": "key.withdrawn", "subject": "key/graz/k1", "base": None, "body": body}
        fakes.store(platform, [{**other, "id": newer}])
        return fakes.store(platform, records)

    platform.faults = [fence]
    assert publish_and_count_accepted(platform) == 1
    assert len(platform.records) == 3


def test_an_unknown_outcome_can_be_queried_again_and_retried(platform: Platform) -> None:
    """An outcome that is not known yet gives code 4; querying by id resolves it later."""
    platform.is_folding = False
    result = command(platform, "publish", FLEET, timeout_s="0.3")
    assert result.code == ExitCode.UNKNOWN
    record_id = result.json()[0]["id"]
    assert command(platform, "outcome", record_id, timeout_s="0.1").code == ExitCode.UNKNOWN
    platform.is_folding = True
    assert command(platform, "outcome", record_id).json()["revision"] == 1
    again = command(platform, "publish", FLEET, "--repeat", record_id, "--base", "0")
    assert (again.code, again.json()[0]["revision"]) == (ExitCode.OK, 1)
    assert len(fold(platform)[1].config.documents["fleet"]) == 1


def test_a_log_that_accepts_nothing_is_distinguished_from_an_unknown_outcome(
    platform: Platform,
) -> None:
    """Exit code 5 is returned only when the record cannot have been appended."""
    assert command(platform, "publish", FLEET, log_url=NOWHERE).code == ExitCode.NOT_SENT
    platform.faults = [fakes.refuse]
    assert command(platform, "publish", FLEET).code == ExitCode.NOT_SENT
    assert platform.records == []
    platform.faults = [fakes.lose_request, fakes.refuse]
    assert command(platform, "publish", FLEET, timeout_s="0.1").code == ExitCode.UNKNOWN


def test_the_next_entry_instance_is_queried_when_one_is_unreachable(platform: Platform) -> None:
    """One unreachable entry instance is skipped; with all unreachable, the exit code says so."""
    # Repeated flags accumulate in order, so the unreachable instance is the first of two.
    assert command(platform, "publish", FLEET, "--entry-url", NOWHERE).code == ExitCode.OK
    assert command(platform, "status", entry_url=NOWHERE).code == ExitCode.UNREACHABLE
    assert command(platform, "history", "fleet", operator_key="x").code == ExitCode.NOT_ALLOWED
    assert command(platform, "history", "graz").code == ExitCode.NOT_FOUND
    # The status of this fake instance has no pools.
    assert command(platform, "pools").code == ExitCode.NOT_FOUND
