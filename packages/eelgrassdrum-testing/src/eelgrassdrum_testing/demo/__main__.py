"""
Runs the demonstration: ``python -m eelgrassdrum_testing.demo``.
"""

import asyncio
import contextlib
import sys
import time
from typing import NamedTuple

import cyclopts
from rich.console import Console
from rich.progress import Progress

from .._process import processes
from .._scenario import SCENARIOS, Scenario
from . import _http
from ._callers import Balancer, CallerState, Outcome, send_all
from ._changes import (
    Changes,
    keep_metrics,
    publish_one,
    replace_entry,
    watch_readiness,
    withdraw_one,
)
from ._fleet import Fleet, find_exceptions, limits, start_fleet
from ._report import print_histograms, print_teams, print_totals
from ._shares import distance_to_share, team_use
from ._verdict import count, find_violations
from ._watch import RunningWatch, read_runs, watch_running

REPLACE_AT = 0.2
WITHDRAW_AT = 0.4
PUBLISH_AT = 0.6
PROGRESS_INTERVAL_S = 0.2
MIN_SECONDS = 5.0
EXIT_VIOLATION = 1


class Seen(NamedTuple):
    """
    Everything that a run has shown.
    """

    outcomes: list[Outcome]
    starts: dict[str, int]
    watch: RunningWatch
    changes: Changes
    exceptions: list[str]


async def run(made: Fleet, seconds: float, progress: Progress | None) -> Seen:
    """
    Send the load, and make the changes on the way.

    :param made: the fleet.
    :param seconds: how long requests keep coming.
    :param progress: shows how far it has come, if wanted.
    :returns: what was seen.
    """
    client, watch, changes = _http.Client(), RunningWatch(), Changes()
    endpoints = list(made.endpoints.values())
    balancer = Balancer([entry.process.address for entry in made.entries.values()])
    callers = CallerState(client, balancer, made.keys, time.monotonic())
    background = [
        asyncio.create_task(watch_readiness(made, client, balancer)),
        asyncio.create_task(watch_running(client, endpoints, watch)),
    ]
    if progress is not None:
        background.append(asyncio.create_task(show_progress(progress, callers, seconds)))
    async with asyncio.TaskGroup() as group:
        group.create_task(send_all(callers, made.scenario, seconds))
        group.create_task(_later(REPLACE_AT * seconds, replace_entry(made, client, changes)))
        group.create_task(
            _later(WITHDRAW_AT * seconds, withdraw_one(made, client, balancer, changes))
        )
        group.create_task(_later(PUBLISH_AT * seconds, publish_one(made, client, changes)))
    for task in background:
        task.cancel()
    for entry in made.entries.values():
        await keep_metrics(client, entry.process.address, changes)
    starts = await read_runs(client, endpoints)
    _http.close(client)
    return Seen(callers.outcomes, starts, watch, changes, find_exceptions(made))


async def _later(delay_s, change) -> None:
    await asyncio.sleep(delay_s)
    await change


async def show_progress(progress: Progress, callers: CallerState, seconds: float) -> None:
    """
    Keep the progress bar up to date.

    :param progress: the bar.
    :param callers: what was sent so far.
    :param seconds: how long requests keep coming.
    """
    task = progress.add_task("load", total=seconds)
    while True:
        elapsed_s = time.monotonic() - callers.started_at_s
        text = f"{callers.sent} sent, {len(callers.outcomes)} done"
        progress.update(task, completed=min(elapsed_s, seconds), description=text)
        await asyncio.sleep(PROGRESS_INTERVAL_S)


def report(console: Console, scenario: Scenario, seen: Seen) -> list[str]:
    """
    Print what was seen.

    :param console: where to print.
    :param scenario: sizes and customers.
    :param seen: what was seen.
    :returns: what must always hold and did not.
    """
    totals = count(seen.outcomes, seen.starts)
    team_limits = limits(scenario)
    print_histograms(console, seen.changes.metrics)
    print_teams(console, team_use(scenario, seen.outcomes), team_limits, seen.watch)
    distance = distance_to_share(scenario, seen.outcomes)
    print_totals(console, totals, seen.outcomes, seen.changes, distance)
    return find_violations(totals, seen.watch, team_limits, seen.changes, seen.exceptions)


def main(*, seconds: float = 30.0, scenario: str = "gartenschau", progress: bool = True) -> int:
    """
    Run a whole fleet on loopback under bursts, and check what must always hold.

    :param seconds: how long requests keep coming.
    :param scenario: gartenschau or consortium.
    :param progress: show a progress bar.
    """
    sizes = SCENARIOS[scenario]
    console = Console(width=None if sys.stdout.isatty() else 120)
    with processes() as start:
        start_s = time.monotonic()
        made = start_fleet(sizes, start)
        console.print(
            f"{scenario}: {len(made.entries)} entry instances and {len(made.endpoints)} endpoints "
            f"in {len(sizes.zones)} availability zones, ready after "
            f"{time.monotonic() - start_s:.1f} s"
        )
        with contextlib.ExitStack() as stack:
            bar = stack.enter_context(Progress(console=console)) if progress else None
            seen = asyncio.run(run(made, max(seconds, MIN_SECONDS), bar))
    violations = report(console, sizes, seen)
    for violation in violations:
        console.print(f"VIOLATED: {violation}")
    console.print("what must always hold did not" if violations else "everything held")
    return EXIT_VIOLATION if violations else 0


if __name__ == "__main__":
    app = cyclopts.App(name="demo", result_action="return_value")
    app.default(main)
    sys.exit(app())
