"""
Tests of the operator API of a running entry instance, and of what a key's scope hides.
"""

from collections.abc import Iterator
from typing import NamedTuple

from eelgrassdrum_core import digest_secret
from eelgrassdrum_testing import _daemon as fleet
from eelgrassdrum_testing._http_client import Answer, call
from eelgrassdrum_testing._process import Process, processes
from eelgrassdrum_testing._wait import wait_until

ROOT_KEY = "egd_root_first"
SHOW_KEY = "egd_maria_garden"
FLEET_DOCUMENT = {
    "operators": [{"name": "maria", "scopes": ["show"], "digest": digest_secret("garden")}],
    "zones": ["a"],
    "measures": {"roll_out_time": 1.0, "buffer_cost": 1.0, "closeness_to_share": 1.0},
}


def workspace_document(team: str) -> dict:
    queue = {
        "name": "scores",
        "service": "judging",
        "access": "keyed",
        "max_queued": 50,
        "max_bytes": 1_000_000,
        "max_wait_s": 5.0,
        "max_run_s": 10.0,
    }
    return {
        "services": [{"name": "judging", "executors": 1, "max_unavailable": 0}],
        "queues": [queue],
        "teams": [{"name": team, "share": 2.0, "limit": 90}],
    }


class Running(NamedTuple):
    """
    A running daemon and the writer of an operator who appends records.
    """

    daemon: Process
    writer: fleet.Writer


def make_running() -> Iterator[Running]:
    with processes() as start:
        platform = fleet.start_platform(start)
        writer = fleet.Writer(platform.log.address)
        fleet.publish(writer, "show", workspace_document("judges"))
        fleet.publish(writer, "roads", workspace_document("alerts"))
        fleet.publish(writer, "fleet", FLEET_DOCUMENT)
        daemon = fleet.start_daemon(
            start, platform, "entry-a1", "a", root_digest=digest_secret("first")
        )
        fleet.wait_ready(daemon)
        yield Running(daemon, writer)


def get(running: Running, path: str, key: str = ROOT_KEY) -> Answer:
    headers = {"Authorization": f"Bearer {key}"}
    return call(running.daemon.address, "GET", path, headers=headers)


FIXTURES = {"running": make_running}


def test_only_operators_are_answered(running: Running) -> None:
    """
    Calls without an operator key, or with a key's name and a wrong secret, are rejected.
    """
    for path in ("/v1/operator/status", "/v1/operator/documents/show", "/metrics"):
        assert call(running.daemon.address, "GET", path).status == 401
        assert get(running, path, "egd_maria_other").status == 401
        assert get(running, path, "egd_other_garden").status == 401
        assert get(running, path, SHOW_KEY).status == 200


def test_scope_hides_other_workspaces(running: Running) -> None:
    """
    A key for one workspace sees that workspace's documents, teams and subjects only.
    """
    assert get(running, "/v1/operator/documents/roads", SHOW_KEY).status == 403
    assert get(running, "/v1/operator/documents/fleet", SHOW_KEY).status == 403
    documents = get(running, "/v1/operator/documents", SHOW_KEY).json()["documents"]
    assert set(documents) == {"show"}
    status = get(running, "/v1/operator/status", SHOW_KEY).json()
    assert [team["team"] for team in status["teams"]] == ["show/judges"]
    subjects = get(running, "/v1/operator/subjects?prefix=", SHOW_KEY).json()["subjects"]
    assert set(subjects) == {"document/show"}
    assert set(get(running, "/v1/operator/documents").json()["documents"]) == {
        "show",
        "roads",
        "fleet",
    }


def test_outcome_tells_who_went_before(running: Running) -> None:
    """
    A record based on a stale revision is shown as rejected, with the record that overtook it.
    """
    first = running.writer.revisions["document/show"]
    second = fleet.publish(running.writer, "show", workspace_document("stewards"))
    running.writer.revisions["document/show"] = first
    third = fleet.publish(running.writer, "show", workspace_document("members"))
    path = f"/v1/operator/outcomes/operator/1/{running.writer.sequence}?wait=10"
    assert get(running, path).json() == {
        "state": "rejected",
        "offset": third,
        "reason": "stale",
        "overtaken_by": second,
    }
    assert get(running, "/v1/operator/outcomes/operator/1/99?wait=0").json()["state"] == "unknown"
    document = get(running, "/v1/operator/documents/show").json()
    assert (document["revision"], len(document["history"])) == (second, 2)


def test_outcome_outside_the_scope_is_not_shown(running: Running) -> None:
    """
    A key for one workspace cannot read another workspace's record, not even its outcome.
    """
    fleet.publish(running.writer, "roads", workspace_document("crews"))
    path = f"/v1/operator/outcomes/operator/1/{running.writer.sequence}?wait=10"
    assert get(running, path, SHOW_KEY).status == 403


def test_explain_shows_an_ended_request(running: Running) -> None:
    """
    The reason for a rejected request is shown only to operators of its workspace.
    """
    path = "/v1/queues/roads/scores/requests"
    refused = call(running.daemon.address, "POST", path, b"", {"X-Request-Id": "r-1"})
    assert refused.status == 401
    explained = get(running, "/v1/operator/explain/r-1").json()
    assert (explained["error"], explained["run_state"]) == ("key_required", "not_run")
    assert get(running, "/v1/operator/explain/r-1", SHOW_KEY).status == 404
    assert get(running, "/v1/operator/explain/limit_reached", SHOW_KEY).json()["status"] == 429


def test_withdrawn_operator_is_refused(running: Running) -> None:
    """
    An operator that was removed from the fleet document is rejected.
    """
    fleet.publish(running.writer, "fleet", {**FLEET_DOCUMENT, "operators": []})
    wait_until(lambda: get(running, "/v1/operator/status", SHOW_KEY).status == 401)
    assert get(running, "/v1/operator/status").status == 200


def test_key_is_withdrawn_at_an_instance(running: Running) -> None:
    """
    A withdrawal by an operator of the workspace reaches the log; other operators are rejected.
    """
    path = "/v1/operator/withdrawals/show/k9?wait=5"
    headers = {"Authorization": f"Bearer {SHOW_KEY}"}
    foreign = "/v1/operator/withdrawals/roads/k9"
    assert call(running.daemon.address, "POST", foreign, headers=headers).status == 403
    assert call(running.daemon.address, "POST", path).status == 401
    answer = call(running.daemon.address, "POST", path, headers=headers)
    assert (answer.status, answer.json()["told"], answer.json()["others"]) == (200, 0, 0)
    keys = "/v1/operator/subjects?prefix=key/"
    wait_until(lambda: "key/show/k9" in get(running, keys, SHOW_KEY).json()["subjects"])
    assert get(running, "/v1/operator/status").json()["freshness"]["proof_age_s"] < 60.0
