"""
Tests of tracing a job through the logs of several instances.
"""

import contextlib
import io
import json
import tempfile
from pathlib import Path

from eelgrassdrum_cli import ExitCode, run


def line(at_s, instance, action, **fields):
    """
    Return a line of a structured log.
    """
    data = {"timestamp": at_s, "instance": instance, "message_type": action, "fields": fields}
    return json.dumps(data)


FIRST = [
    line(10.0, "entry-1", "job.accepted", job="j1", queue="q"),
    line(10.1, "entry-1", "job.accepted", job="other", queue="q"),
    line(9.0, "entry-1", "config.in_force", version=4),
]
SECOND = [
    "a collector's words " + line(10.2, "entry-2", "run.decided", job="j1", worker="w1"),
    line(11.0, "entry-2", "worker.unreachable", worker="w1", reason="timeout"),
    line(11.1, "entry-2", "worker.unreachable", worker="w2", reason="timeout"),
    line(12.0, "entry-2", "run.ended", job="j1", worker="w1", how="lost"),
    "no line of the log",
]


def trace(job, *logs):
    """
    Run the command on logs and return its exit code and output.
    """
    with tempfile.TemporaryDirectory() as folder:
        paths = []
        for number, log in enumerate(logs):
            paths.append(Path(folder, f"{number}.log"))
            paths[-1].write_text("\n".join(log))
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(io.StringIO()):
            code = run(["trace", job, *map(str, paths), "--output", "json"])
    return code, output.getvalue()


def test_the_lines_of_a_job_are_joined_in_order_of_time():
    """
    Lines of all instances about the job, its workers and the configuration are sorted by time.
    """
    code, output = trace("j1", SECOND, FIRST)
    assert code == ExitCode.OK
    assert [item["action"] for item in json.loads(output)] == [
        "config.in_force",
        "job.accepted",
        "run.decided",
        "worker.unreachable",
        "run.ended",
    ]


def test_a_job_that_no_line_names_is_not_found():
    """
    An id that is missing from the logs gives an exit code of its own.
    """
    assert trace("nothing", FIRST)[0] == ExitCode.NOT_FOUND
