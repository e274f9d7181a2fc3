"""
Traces one job through the logs of several instances.
"""

from pathlib import Path
from typing import Any

from ._errors import CommandError, ExitCode
from ._log_lines import Line, read_lines
from ._output import print_rows
from ._settings import NO_SETTINGS, Settings

# Context lines are included from this long before the job's first line.
CONTEXT_BEFORE_S = 3.0
COLUMNS = ("seconds", "instance", "action", "details")
# Changes of an instance's state that affect every job at that time.
CONTEXT_ACTIONS = ("owner.", "store.", "config.in_force", "instance.stopping")
# Lines about why work of a pool waits.
POOL_ACTIONS = ("work.waiting", "work.unconfirmed")
# Changes of a pool's members, shown while nothing of the job runs.
MEMBER_ACTIONS = ("worker.ended", "worker.ignored", "pool.move")


def trace(job: str, /, *files: Path, settings: Settings = NO_SETTINGS) -> int:
    """
    Show every decision about a job, with events of its workers and of the owner of the log, and why
    the work of its pool waited.

    :param job: the job's id.
    :param files: logs of instances, in any order; standard input if there are none.
    """
    lines = read_lines(files)
    job_lines = [line for line in lines if is_about(line, job)]
    if not job_lines:
        raise CommandError(ExitCode.NOT_FOUND, f"no line of these logs is about job {job}")
    selected = with_context(lines, job_lines, job)
    first_s = job_lines[0].at_s
    rows = [
        (f"{line.at_s - first_s:+.3f}", line.instance, line.action, _details(line, job))
        for line in selected
    ]
    content = [dict(line._asdict()) for line in selected]
    print_rows(settings, content, COLUMNS, rows)
    return 0


def is_about(line: Line, job: str) -> bool:
    """
    Return whether a line is about a job.

    :param line: the line.
    :param job: the job's id.
    :returns: whether the line names the job.
    """
    fields = line.fields
    return fields.get("job") == job or str(fields.get("path", "")).endswith(job)


def with_context(lines: list[Line], job_lines: list[Line], job: str) -> list[Line]:
    """
    Add the lines about the job's workers, its pool and the log's owner from the same period, which
    lasts to the end of the logs if the job was accepted and is not closed there.

    :param lines: all lines, in chronological order.
    :param job_lines: the lines about the job.
    :param job: the job's id.
    :returns: the lines to show, in chronological order.
    """
    first_s, last_s = job_lines[0].at_s - CONTEXT_BEFORE_S, job_lines[-1].at_s
    actions = {line.action for line in job_lines}
    if "job.accepted" in actions and "job.closed" not in actions:
        last_s = lines[-1].at_s
    workers = {line.fields["worker"] for line in job_lines if "worker" in line.fields}
    pools = {line.fields["pool"] for line in job_lines if "pool" in line.fields}
    waits = waiting_times(job_lines, last_s)

    def is_context(line: Line) -> bool:
        if not first_s <= line.at_s <= last_s:
            return False
        if line.action.startswith(CONTEXT_ACTIONS):
            return True
        if line.action in POOL_ACTIONS:
            return line.fields.get("pool") in pools
        if line.action.startswith("worker.") and line.fields.get("worker") in workers:
            return True
        is_waiting = any(from_s <= line.at_s <= to_s for from_s, to_s in waits)
        return is_waiting and line.action in MEMBER_ACTIONS and not pools.isdisjoint(_pools(line))

    return [line for line in lines if is_about(line, job) or is_context(line)]


def waiting_times(job_lines: list[Line], last_s: float) -> list[tuple[float, float]]:
    """
    Return the times in which a job was accepted and none of its tasks had a run.

    :param job_lines: the lines about the job, in chronological order.
    :param last_s: end of the last time if the job is not closed before.
    :returns: start and end of each time.
    """
    waits: list[tuple[float, float]] = []
    runs: set[tuple[Any, Any]] = set()
    since_s: float | None = None
    for line in job_lines:
        run = (line.fields.get("task"), line.fields.get("run"))
        if line.action == "run.decided":
            runs.add(run)
        elif line.action == "run.ended":
            runs.discard(run)
        elif line.action not in ("job.accepted", "job.closed"):
            continue
        is_waiting = not runs and line.action != "job.closed"
        if is_waiting and since_s is None:
            since_s = line.at_s
        elif not is_waiting and since_s is not None:
            waits.append((since_s, line.at_s))
            since_s = None
    return waits if since_s is None else [*waits, (since_s, last_s)]


def _pools(line: Line) -> set[Any]:
    return {line.fields.get(name) for name in ("pool", "former", "service")}


def _details(line: Line, job: str) -> str:
    fields = {name: value for name, value in line.fields.items() if value != job}
    return " ".join(f"{name}={value}" for name, value in fields.items())
