"""
Tests of tracing a job through the logs of several instances.
"""

import contextlib
import io
import json
import tempfile
from pathlib import Path

from eelgrassdrum_cli import ExitCode, run


def line(at_s, instance, action, /, **fields):
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


def actions_of(job, log):
    """
    Trace a job and return the action of each line with its time.
    """
    code, output = trace(job, log)
    assert code == ExitCode.OK
    return [(item["action"], item["at_s"]) for item in json.loads(output)]


def test_lines_about_the_pool_are_shown_while_a_job_waits():
    """
    Lines that say why work of the job's pool waits are shown although they name another job.
    """
    log = [
        line(10.0, "a", "job.accepted", job="j1", pool="p"),
        line(11.0, "a", "work.waiting", job="older", pool="p", cause="no_room"),
        line(11.1, "a", "work.waiting", job="other", pool="other", cause="no_room"),
        line(11.2, "a", "worker.ended", worker="w9", service="p", reason="r"),
        line(11.3, "a", "worker.ended", worker="w8", service="other", reason="r"),
        line(11.4, "a", "pool.move", instance="m", former="p", pool="other"),
        line(12.0, "a", "run.decided", job="j1", task="0.0.0", run=1, worker="w1"),
        line(12.5, "a", "worker.ended", worker="w7", service="p", reason="r"),
        line(12.6, "a", "work.unconfirmed", job="older", pool="p"),
        line(13.0, "a", "run.ended", job="j1", task="0.0.0", run=1, worker="w1", how="lost"),
        line(13.5, "a", "worker.ended", worker="w6", service="p", reason="r"),
        line(14.0, "a", "run.decided", job="j1", task="0.0.0", run=2, worker="w2"),
        line(15.0, "a", "run.ended", job="j1", task="0.0.0", run=2, worker="w2", how="done"),
        line(15.0, "a", "job.closed", job="j1", state="completed"),
        line(16.0, "a", "work.waiting", job="later", pool="p", cause="no_room"),
    ]
    assert actions_of("j1", log) == [
        ("job.accepted", 10.0),
        ("work.waiting", 11.0),
        ("worker.ended", 11.2),
        ("pool.move", 11.4),
        ("run.decided", 12.0),
        ("work.unconfirmed", 12.6),
        ("run.ended", 13.0),
        ("worker.ended", 13.5),
        ("run.decided", 14.0),
        ("run.ended", 15.0),
        ("job.closed", 15.0),
    ]


def test_a_job_that_never_starts_is_traced_to_the_end():
    """
    The lines about the pool of an accepted job that never started are shown to the end of the logs.
    """
    log = [
        line(10.0, "a", "job.accepted", job="j1", pool="p"),
        line(50.0, "a", "work.waiting", job="older", pool="p", cause="no_members"),
        line(51.0, "a", "worker.ignored", worker="w", service="p", reason="r"),
    ]
    assert [action for action, _at_s in actions_of("j1", log)] == [
        "job.accepted",
        "work.waiting",
        "worker.ignored",
    ]


def test_a_job_that_no_line_names_is_not_found():
    """
    An id that is missing from the logs gives an exit code of its own.
    """
    assert trace("nothing", FIRST)[0] == ExitCode.NOT_FOUND
