"""
Accounts for the work of a period from the logs of all instances.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Literal

import msgspec

from ._errors import CommandError, ExitCode
from ._log_lines import Line, read_lines
from ._output import print_json, print_rows
from ._settings import NO_SETTINGS, Settings

# Ends of runs whose worker or its order is the cause.
LOST_ENDS = frozenset({"lost", "crashed", "lapsed", "unsent", "refused"})
OUTCOMES = ("completed", "failed", "cancelled")
COLUMNS = (
    "group",
    "accepted",
    *OUTCOMES,
    "open",
    "runs",
    "done",
    "failed runs",
    "stopped",
    "lost",
    "moved",
    "start p50 s",
    "start p95 s",
    "age p50 s",
    "age p95 s",
)


class Job(msgspec.Struct):
    """
    What the logs say about a job.

    :param accepted_s: Unix time of its acceptance.
    :param first_start_s: Unix time at which its first run was decided, or ``None``.
    :param ends: number of ended runs by end state.
    """

    queue: str
    workspace: str
    accepted_s: float
    first_start_s: float | None = None
    closed_s: float | None = None
    state: str = "open"
    runs: int = 0
    moved: int = 0
    ends: Counter[str] = msgspec.field(default_factory=Counter)


def day(
    *files: Path,
    by: Literal["queue", "workspace", "second"] = "queue",
    settings: Settings = NO_SETTINGS,
) -> int:
    """
    Show what became of all jobs: how many were accepted, started and ended how, how long they
    waited, what was refused, and why work waited.

    :param files: logs of instances, in any order; standard input if there are none.
    :param by: what the rows stand for; a second is that of the acceptance, from the first line.
    """
    lines = read_lines(files)
    if not lines:
        raise CommandError(ExitCode.NOT_FOUND, "no line of a structured log was found")
    jobs = read_jobs(lines)
    groups = account(jobs.values(), by, lines[0].at_s)
    refusals = Counter(
        f"{line.action}: {line.fields.get('reason', '')}"
        for line in lines
        if line.action in ("call.refused", "call.uncertain")
    )
    waits = waiting_causes(lines)
    # Lines of ordinary progress beyond the bound on the log's volume are not in the counts.
    left_out = sum(line.fields["lines"] for line in lines if line.action == "log.left_out")
    if settings.output == "json":
        print_json({"groups": groups, "refusals": refusals, "waiting": waits, "left_out": left_out})
        return 0
    rows = [tuple(group.values()) for group in groups]
    print_rows(settings, groups, COLUMNS, rows)
    if refusals:
        print_rows(settings, refusals, ("not served", "calls"), refusals.most_common())
    if waits:
        causes = [(pool, cause, n) for pool, counts in waits.items() for cause, n in counts.items()]
        print_rows(settings, waits, ("pool", "work waited for", "lines"), causes)
    if left_out:
        print(f"{left_out} lines of ordinary progress are missing from the logs")
    return 0


def read_jobs(lines: Iterable[Line]) -> dict[str, Job]:
    """
    Collect what became of each job that was accepted.

    :param lines: all lines, in chronological order.
    :returns: the jobs by id.
    """
    jobs: dict[str, Job] = {}
    for line in lines:
        fields = line.fields
        name = fields.get("job", "")
        if line.action == "job.accepted" and name not in jobs:
            jobs[name] = Job(fields.get("queue", ""), fields.get("workspace", ""), line.at_s)
        job = jobs.get(name)
        if job is not None:
            _apply(job, line)
    return jobs


def _apply(job: Job, line: Line) -> None:
    if line.action == "run.decided":
        job.runs += 1
        if job.first_start_s is None:
            job.first_start_s = line.at_s
    elif line.action == "run.ended":
        job.ends[line.fields.get("how", "")] += 1
    elif line.action == "run.moved_away":
        job.moved += 1
    elif line.action == "job.closed":
        job.state, job.closed_s = line.fields.get("state", ""), line.at_s


def account(jobs: Iterable[Job], by: str, start_s: float) -> list[dict[str, Any]]:
    """
    Sum up jobs by queue, workspace or second of their acceptance.

    :param jobs: the jobs.
    :param by: ``queue``, ``workspace`` or ``second``.
    :param start_s: Unix time from which seconds are counted.
    :returns: for each group, the values of the table's columns by name.
    """
    groups: dict[Any, list[Job]] = defaultdict(list)
    for job in jobs:
        second = int(job.accepted_s - start_s)
        groups[second if by == "second" else getattr(job, by)].append(job)
    return [_sum_up(str(name), groups[name]) for name in sorted(groups)]


def _sum_up(name: str, jobs: list[Job]) -> dict[str, Any]:
    states = Counter(job.state for job in jobs)
    ends: Counter[str] = sum((job.ends for job in jobs), Counter())
    starts_s = [job.first_start_s - job.accepted_s for job in jobs if job.first_start_s is not None]
    ages_s = [job.closed_s - job.accepted_s for job in jobs if job.closed_s is not None]
    values = (
        name,
        len(jobs),
        *(states[state] for state in OUTCOMES),
        states["open"],
        sum(job.runs for job in jobs),
        ends["done"],
        ends["failed"],
        ends["stopped"],
        sum(ends[how] for how in LOST_ENDS),
        sum(job.moved for job in jobs),
        *(_quantile(starts_s, part) for part in (0.5, 0.95)),
        *(_quantile(ages_s, part) for part in (0.5, 0.95)),
    )
    return dict(zip(COLUMNS, values, strict=True))


def _quantile(values: list[float], part: float) -> float | None:
    """
    Return the smallest value that at least a part of the values doesn't exceed.
    """
    if not values:
        return None
    index = min(len(values) - 1, int(part * len(values)))
    return round(max(0.0, sorted(values)[index]), 3)


def waiting_causes(lines: Iterable[Line]) -> dict[str, Counter[str]]:
    """
    Count the lines about waiting work by pool and cause; there is at most one a second and pool.

    :param lines: all lines.
    :returns: number of lines by cause, by pool.
    """
    waits: dict[str, Counter[str]] = defaultdict(Counter)
    for line in lines:
        if line.action == "work.waiting":
            waits[line.fields.get("pool", "")][line.fields.get("cause", "")] += 1
    return dict(waits)
