"""
Commands on history, keys and files.
"""

import contextlib
import io
import json
import tempfile
from pathlib import Path

from eelgrassdrum_cli import ExitCode, run
from eelgrassdrum_core import digest_secret
from eelgrassdrum_testing import operator_platform as fakes
from eelgrassdrum_testing.operator_platform import Platform, command, fold

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
FLEET = str(EXAMPLES / "gartenschau" / "fleet.toml")
ROSE = str(EXAMPLES / "gartenschau" / "rose.toml")

FIXTURES = {"platform": fakes.platform}


def test_a_rollback_is_a_new_revision(platform: Platform) -> None:
    """Rolling back publishes the earlier document on top of the one in force."""
    for share in ("4.0", "5.0"):
        changed = Path(ROSE).read_text().replace("share = 4.0", f"share = {share}")
        with tempfile.TemporaryDirectory() as folder:
            template = Path(ROSE).with_name("workspace.toml").read_text()
            Path(folder, "workspace.toml").write_text(template)
            Path(folder, "rose.toml").write_text(changed)
            file = str(Path(folder, "rose.toml"))
            assert command(platform, "publish", file).code == ExitCode.OK
    assert command(platform, "diff", ROSE).code == ExitCode.DIFFERENT
    assert command(platform, "rollback", "rose", "--to", "1").code == ExitCode.OK
    assert command(platform, "diff", ROSE).code == ExitCode.OK
    revisions = command(platform, "history", "rose").json()
    assert [item["revision"] for item in revisions] == [3, 2, 1]
    assert command(platform, "rollback", "rose", "--to", "9").code == ExitCode.NOT_FOUND


def test_a_granted_key_is_printed_once_and_only_its_digest_is_logged(platform: Platform) -> None:
    """The log never holds a secret, and a withdrawn key stays withdrawn."""
    command(platform, "publish", FLEET, ROSE)
    granted = command(platform, "keys", "grant", "rose", "judges", "--queue", "scores")
    assert granted.code == ExitCode.OK
    _, key_id, secret = granted.json()["key"].split("_")
    assert platform.records[-1]["body"]["digest"] == digest_secret(secret)
    assert secret not in json.dumps(platform.records)
    assert f"rose/{key_id}" in fold(platform)[1].keys.granted
    assert command(platform, "keys", "withdraw", "rose", key_id).code == ExitCode.OK
    again = command(platform, "keys", "grant", "rose", "judges", "--key-id", key_id)
    assert again.code == ExitCode.REJECTED
    assert "key" not in again.json()
    assert f"rose/{key_id}" in fold(platform)[1].keys.withdrawn


def test_a_grant_that_does_not_fit_is_refused_before_it_is_sent(platform: Platform) -> None:
    """Unknown teams and open queues are refused, and nothing reaches the log."""
    command(platform, "publish", FLEET, ROSE)
    for arguments in (("rose", "nobody"), ("rose", "judges", "--queue", "results")):
        result = command(platform, "keys", "grant", *arguments)
        assert result.code == ExitCode.INVALID, arguments
    assert len(platform.records) == 2


def test_invalid_files_send_nothing_and_tell_every_fault(platform: Platform) -> None:
    """One faulty file among several stops them all, with each fault on a line of its own."""
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
    """Each example renders, and fits its fleet."""
    for firm in ("gartenschau", "consortium"):
        files = sorted(str(path) for path in (EXAMPLES / firm).glob("*.toml"))
        files = [path for path in files if not path.endswith("workspace.toml")]
        with contextlib.redirect_stdout(io.StringIO()):
            assert len(files) == 7
            assert run(["validate", *files]) == ExitCode.OK, firm
