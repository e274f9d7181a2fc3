"""
Tests of the account of all jobs from the logs of several instances.
"""

import contextlib
import io
import json
import tempfile
from pathlib import Path

from eelgrassdrum_cli import ExitCode, run


def line(at_s, action, /, **fields):
    """
    Return a line of a structured log.
    """
    data = {"timestamp": at_s, "instance": "entry-1", "message_type": action, "fields": fields}
    return json.dumps(data)


LOGS = [
    line(10.0, "job.accepted", job="j1", queue="q", workspace="w"),
    line(10.2, "run.decided", job="j1", task="0.0.0", run=1),
    line(10.5, "run.moved_away", job="j1", task="0.0.0", run=1),
    line(10.6, "run.ended", job="j1", task="0.0.0", run=1, how="stopped"),
    line(10.7, "run.decided", job="j1", task="0.0.0", run=2),
    line(11.7, "run.ended", job="j1", task="0.0.0", run=2, how="done"),
    line(11.8, "job.closed", job="j1", state="completed"),
    line(12.0, "job.accepted", job="j2", queue="q", workspace="v"),
    line(12.1, "job.accepted", job="j2", queue="q", workspace="v"),
    line(13.2, "work.waiting", pool="p", cause="no_room", job="j2"),
    line(13.5, "call.refused", job="j3", reason="store_unavailable"),
    json.dumps(
        {"timestamp": 14.0, "instance": "entry-1", "message_type": "log.left_out", "lines": 7}
    ),
]


def account(*arguments, lines=LOGS):
    """
    Run the command on a log and return its exit code and output.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "entry-1.log")
        path.write_text("\n".join(lines))
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(io.StringIO()):
            code = run(["day", str(path), *arguments])
    return code, output.getvalue()


def test_jobs_of_a_queue_are_summed_up():
    """
    Each job counts once, with its runs by end, its waiting time and its age.
    """
    code, output = account("--output", "json")
    assert code == ExitCode.OK
    (group,) = json.loads(output)["groups"]
    assert (group["group"], group["accepted"], group["completed"], group["open"]) == ("q", 2, 1, 1)
    assert (group["runs"], group["done"], group["stopped"], group["moved"]) == (2, 1, 1, 1)
    assert (group["start p50 s"], group["age p50 s"]) == (0.2, 1.8)


def test_refusals_causes_and_missing_lines_are_counted():
    """
    What was not served, why work waited and how many lines are missing is told beside the jobs.
    """
    content = json.loads(account("--output", "json")[1])
    assert content["refusals"] == {"call.refused: store_unavailable": 1}
    assert content["waiting"] == {"p": {"no_room": 1}}
    assert content["left_out"] == 7


def test_jobs_are_grouped_by_workspace_or_second():
    """
    Rows may stand for workspaces or for the seconds in which jobs were accepted.
    """
    by_workspace = json.loads(account("--by", "workspace", "--output", "json")[1])
    assert [group["group"] for group in by_workspace["groups"]] == ["v", "w"]
    by_second = json.loads(account("--by", "second", "--output", "json")[1])
    assert [group["group"] for group in by_second["groups"]] == ["0", "2"]


def test_the_account_is_printed_as_tables():
    """
    People get tables, also of what was not served.
    """
    code, output = account()
    assert code == ExitCode.OK
    assert "store_unavailable" in output and "7 lines of ordinary progress" in output


def test_files_without_any_line_are_an_error():
    """
    A file that is no log isn't taken for a day without work.
    """
    code, output = account(lines=["no line of the log"])
    assert code == ExitCode.NOT_FOUND and not output
