"""
Tests of the client against a running entry instance and a fake log.
"""

import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from eelgrassdrum_cli import ExitCode
from eelgrassdrum_cli._key_text import new_key
from eelgrassdrum_testing import _daemon as fleet
from eelgrassdrum_testing._http_client import call
from eelgrassdrum_testing._process import Process, kill, processes
from eelgrassdrum_testing._wait import wait_until
from eelgrassdrum_testing.operator_platform import Platform, Result, command

EXAMPLES = Path(__file__).resolve().parents[3] / "examples" / "gartenschau"
FILES = [str(EXAMPLES / f"{name}.toml") for name in ("fleet", "graz", "tulln")]
QUEUE_PATH = "/v1/queues/graz/scores/requests"
RACERS = 4
RACE_TIMEOUT_S = 60


class Running(NamedTuple):
    """
    An entry instance, the log's URL, a key of a fleet-wide operator, and the log's process.
    """

    daemon: Process
    log_url: str
    key: str
    log: Process


def make_running() -> Iterator[Running]:
    root = new_key("root")
    with processes() as start:
        platform = fleet.start_platform(start)
        daemon = fleet.start_daemon(start, platform, "entry-a1", "a", root_digest=root.digest)
        fleet.wait_ready(daemon)
        yield Running(daemon, f"http://{platform.log.address}", root.text, platform.log)


def operate(running: Running, *arguments: str, key: str = "") -> Result:
    return command(
        Platform(url=running.log_url),
        *arguments,
        entry_url=f"http://{running.daemon.address}",
        operator_key=key or running.key,
    )


def refusal(running: Running, key: str) -> str:
    headers = {"X-Request-Id": "r-1", "X-Key": key}
    return call(running.daemon.address, "POST", QUEUE_PATH, b"", headers).json()["error"]


def make_folder() -> Iterator[Path]:
    with tempfile.TemporaryDirectory() as folder:
        yield Path(folder)


FIXTURES = {"running": make_running, "folder": make_folder}


def test_published_documents_and_granted_keys_are_in_force(running: Running) -> None:
    """A key is valid for its queue once the command has returned, until it is withdrawn."""
    published = operate(running, "publish", *FILES)
    assert [item["state"] for item in published.json()] == ["accepted"] * 3
    assert operate(running, "diff", *FILES).code == ExitCode.OK
    granted = operate(running, "keys", "grant", "graz", "judges").json()
    # There are no endpoints, so a request with a valid key gets this refusal.
    assert refusal(running, granted["key"]) == "no_endpoint"
    key_id = granted["key"].split("_")[1]
    assert operate(running, "keys", "withdraw", "graz", key_id).code == ExitCode.OK
    wait_until(lambda: refusal(running, granted["key"]) == "key_refused")
    [listed] = operate(running, "keys", "list", "graz").json()
    assert (listed["key_id"], listed["state"]) == (key_id, "withdrawn")


def test_one_of_several_racing_operators_wins(running: Running) -> None:
    """Of several records on the same base one is accepted; the others are rejected."""
    arguments = ("publish", FILES[0], "--base", "0")
    settings = {
        "EELGRASSDRUM_LOG_URL": running.log_url,
        "EELGRASSDRUM_ENTRY_URL": f"http://{running.daemon.address}",
        "EELGRASSDRUM_OPERATOR_KEY": running.key,
        "EELGRASSDRUM_OPERATOR": "staff",
    }
    racers = [
        subprocess.Popen(
            [sys.executable, "-m", "eelgrassdrum_cli", *arguments],
            env={**os.environ, **settings},
            stdout=subprocess.DEVNULL,
        )
        for _ in range(RACERS)
    ]
    codes = [racer.wait(RACE_TIMEOUT_S) for racer in racers]
    assert sorted(codes) == [ExitCode.OK] + [ExitCode.REJECTED] * (RACERS - 1)
    assert len(operate(running, "history", "fleet").json()) == 1


def test_the_scope_of_a_key_limits_what_is_shown(running: Running, folder: Path) -> None:
    """An operator of one workspace is refused the documents and keys of another."""
    desk = new_key("desk")
    entry = f'\n[[operators]]\nname = "desk"\nscopes = ["graz"]\ndigest = "{desk.digest}"\n'
    folder.joinpath("fleet.toml").write_text(Path(FILES[0]).read_text() + entry)
    assert operate(running, "publish", str(folder / "fleet.toml"), *FILES[1:]).code == ExitCode.OK
    assert operate(running, "history", "graz", key=desk.text).code == ExitCode.OK
    for arguments in (("history", "tulln"), ("keys", "list", "tulln"), ("history", "fleet")):
        assert operate(running, *arguments, key=desk.text).code == ExitCode.NOT_ALLOWED, arguments
    teams = operate(running, "teams", key=desk.text).json()
    assert {team["team"].split("/")[0] for team in teams} == {"graz"}
    assert operate(running, "status", key="egd_desk_wrong").code == ExitCode.NOT_ALLOWED


def test_a_key_is_withdrawn_while_the_log_is_unavailable(running: Running) -> None:
    """Without the log the entry instance accepts the withdrawal, and the key is refused."""
    operate(running, "publish", *FILES)
    granted = operate(running, "keys", "grant", "graz", "judges").json()
    assert refusal(running, granted["key"]) == "no_endpoint"
    kill(running.log)
    withdrawn = operate(running, "keys", "withdraw", "graz", granted["key"].split("_")[1])
    assert withdrawn.code == ExitCode.OK
    assert withdrawn.json()["state"] == "withdrawn_ahead_of_log"
    assert refusal(running, granted["key"]) == "key_refused"
