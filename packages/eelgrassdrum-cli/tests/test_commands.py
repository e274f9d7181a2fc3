"""
Tests of the commands on history, keys and files.
"""

import contextlib
import io
import json
import tempfile
from pathlib import Path

from eelgrassdrum_cli import ExitCode, run
from eelgrassdrum_cli._refusal_advice import explain_code
from eelgrassdrum_core import digest_secret, refusals
from eelgrassdrum_testing import operator_platform as fakes
from eelgrassdrum_testing.operator_platform import Platform, command, fold

REPOSITORY = Path(__file__).resolve().parents[3]
EXAMPLES = REPOSITORY / "examples"
FLEET = str(EXAMPLES / "gartenschau" / "fleet.toml")
GRAZ = str(EXAMPLES / "gartenschau" / "graz.toml")

FIXTURES = {"platform": fakes.platform}


def test_a_rollback_is_a_new_revision(platform: Platform) -> None:
    """Rolling back publishes the earlier document on top of the one in force."""
    command(platform, "publish", FLEET)
    for share in ("4.0", "5.0"):
        changed = Path(GRAZ).read_text().replace("share = 4.0", f"share = {share}")
        with tempfile.TemporaryDirectory() as folder:
            template = Path(GRAZ).with_name("workspace.toml").read_text()
            Path(folder, "workspace.toml").write_text(template)
            Path(folder, "graz.toml").write_text(changed)
            file = str(Path(folder, "graz.toml"))
            assert command(platform, "publish", file).code == ExitCode.OK
    assert command(platform, "diff", GRAZ).code == ExitCode.DIFFERENT
    assert command(platform, "rollback", "graz", "--to", "2").code == ExitCode.OK
    assert command(platform, "diff", GRAZ).code == ExitCode.OK
    revisions = command(platform, "history", "graz").json()
    assert [item["revision"] for item in revisions] == [4, 3, 2]
    assert command(platform, "rollback", "graz", "--to", "9").code == ExitCode.NOT_FOUND


def test_the_fold_refuses_services_that_the_fleet_does_not_share(platform: Platform) -> None:
    """Workspaces need the fleet's document first, which must keep sharing the services in use."""
    alone = command(platform, "publish", GRAZ)
    assert (alone.code, alone.json()[0]["reason"]) == (ExitCode.REJECTED, "service_not_shared")
    assert command(platform, "publish", FLEET, GRAZ).code == ExitCode.OK
    with tempfile.TemporaryDirectory() as folder:
        hidden = Path(folder, "fleet.toml")
        hidden.write_text(Path(FLEET).read_text().replace("shared = true", "shared = false"))
        unshared = command(platform, "publish", str(hidden))
    assert unshared.json()[0]["reason"] == "service_not_shared"
    assert command(platform, "diff", FLEET, GRAZ).code == ExitCode.OK


def test_a_granted_key_is_printed_once_and_only_its_digest_is_logged(platform: Platform) -> None:
    """The log never holds a secret, and a withdrawn key stays withdrawn."""
    command(platform, "publish", FLEET, GRAZ)
    granted = command(platform, "keys", "grant", "graz", "judges", "--queue", "scores")
    assert granted.code == ExitCode.OK
    _, key_id, secret = granted.json()["key"].split("_")
    assert platform.records[-1]["body"]["digest"] == digest_secret(secret)
    assert secret not in json.dumps(platform.records)
    assert f"graz/{key_id}" in fold(platform)[1].keys.granted
    assert command(platform, "keys", "withdraw", "graz", key_id).code == ExitCode.OK
    again = command(platform, "keys", "grant", "graz", "judges", "--key-id", key_id)
    assert again.code == ExitCode.REJECTED
    assert "key" not in again.json()
    assert f"graz/{key_id}" in fold(platform)[1].keys.withdrawn


def test_a_grant_that_does_not_fit_is_refused_before_it_is_sent(platform: Platform) -> None:
    """Unknown teams and open queues are refused, and nothing reaches the log."""
    command(platform, "publish", FLEET, GRAZ)
    for arguments in (("graz", "nobody"), ("graz", "judges", "--queue", "results")):
        result = command(platform, "keys", "grant", *arguments)
        assert result.code == ExitCode.INVALID, arguments
    assert len(platform.records) == 2


def test_invalid_files_send_nothing_and_report_every_fault(platform: Platform) -> None:
    """One faulty file prevents publishing all of them; each fault is printed on its own line."""
    with tempfile.TemporaryDirectory() as folder:
        broken, wrong = Path(folder, "broken.toml"), Path(folder, "wrong.toml")
        broken.write_text("name = ")
        wrong.write_text('name = "w"\nteam = []\n[[teams]]\nname = "a"\nshare = -1\nlimit = 2\n')
        result = command(platform, "publish", FLEET, str(broken), str(wrong))
    assert result.code == ExitCode.INVALID
    assert [line.split(": ")[0] for line in result.err.splitlines()] == [
        f"{broken}:1",
        f"{wrong}:2",
        f"{wrong}:5",
        "eelgrassdrum",
    ]
    assert platform.records == []


def test_the_examples_of_both_firms_are_valid() -> None:
    """Each example renders, and is consistent with its fleet's document."""
    for firm in ("gartenschau", "consortium"):
        files = sorted(str(path) for path in (EXAMPLES / firm).glob("*.toml"))
        files = [path for path in files if not path.endswith("workspace.toml")]
        with contextlib.redirect_stdout(io.StringIO()):
            assert len(files) == 7
            assert run(["validate", *files]) == ExitCode.OK, firm


def test_each_refusal_is_explained_and_on_the_page_of_refusals() -> None:
    """Every code has advice in the client and a row with its status and run state in the docs."""
    page = (REPOSITORY / "docs" / "operators" / "refusals.md").read_text()
    for code in refusals.ALL_CODES:
        known = explain_code(code.name)
        assert known is not None
        assert known.advice, code.name
        assert f"| `{code.name}` | {code.status} | `{code.run_state}` |" in page, code.name


def test_each_exit_code_is_documented() -> None:
    """The command-line page of the docs has a row for every exit code."""
    page = (REPOSITORY / "docs" / "operators" / "command-line.md").read_text()
    for code in ExitCode:
        assert f"| {code.value} | " in page, code.name


def test_misuse_of_the_command_line_has_an_exit_code_of_its_own(platform: Platform) -> None:
    """Unknown commands, missing settings and malformed ids exit with the code of usage errors."""
    for arguments in (["nothing"], ["outcome", "x"], ["publish"]):
        assert command(platform, *arguments).code == ExitCode.USAGE, arguments
    assert command(platform, "publish", FLEET, operator="No One").code == ExitCode.USAGE
    assert platform.records == []
