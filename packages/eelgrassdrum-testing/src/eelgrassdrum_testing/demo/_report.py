"""
What the demonstration prints.
"""

from collections import Counter, defaultdict
from typing import Any

from rich.console import Console
from rich.table import Table

from eelgrassdrum_daemon._metrics import UNIT_S, merge

from ._callers import Outcome
from ._changes import Changes
from ._shares import TeamUse
from ._verdict import Totals
from ._watch import RunningWatch

PARTS = ("wait", "run", "total")
PERCENTILES = (50, 99)
MS_PER_S = 1000.0


def print_teams(
    console: Console, use: dict[str, TeamUse], limits: dict[str, int], watch: RunningWatch
) -> None:
    """
    Print each team's share and limit beside what it got.

    :param console: where to print.
    :param use: what each team asked for and got.
    :param limits: upper limits.
    :param watch: what ran at once.
    """
    table = Table(title="Teams: share and limit, and what they got")
    columns = ("team", "share %", "asked s", "got s", "got %", "limit", "most at once", "refused")
    for column in columns:
        table.add_column(column, justify="left" if column == "team" else "right")
    total_s = sum(team.got_s for team in use.values()) or 1.0
    for name, team in use.items():
        table.add_row(
            name,
            f"{team.share:.1f}",
            f"{team.asked_s:.1f}",
            f"{team.got_s:.1f}",
            f"{100 * team.got_s / total_s:.1f}",
            str(limits[name]),
            str(watch.most.get(name, 0)),
            str(team.refused),
        )
    console.print(table)


def print_histograms(console: Console, metrics: list[dict[str, Any]]) -> None:
    """
    Print the merged histograms of all entry instances.

    :param console: where to print.
    :param metrics: what each entry instance showed.
    """
    for kind in ("teams", "queues"):
        encoded: defaultdict[str, defaultdict[str, list[str]]] = defaultdict(
            lambda: defaultdict(list)
        )
        for shown in metrics:
            for name, parts in shown[kind].items():
                for part in PARTS:
                    encoded[name][part].append(parts[part]["encoded"])
        table = Table(title=f"Histograms by {kind[:-1]}, in ms")
        table.add_column(kind[:-1])
        table.add_column("count", justify="right")
        for part in PARTS:
            for percentile in PERCENTILES:
                table.add_column(f"{part} p{percentile}", justify="right")
        for name in sorted(encoded):
            merged = {part: merge(encoded[name][part]) for part in PARTS}
            cells = [
                f"{merged[part].get_value_at_percentile(percentile) * UNIT_S * MS_PER_S:.1f}"
                for part in PARTS
                for percentile in PERCENTILES
            ]
            table.add_row(name, str(merged["total"].get_total_count()), *cells)
        console.print(table)


def print_totals(
    console: Console,
    totals: Totals,
    outcomes: list[Outcome],
    changes: Changes,
    distance: float | None,
) -> None:
    """
    Print what became of the requests and of the changes on the way.

    :param console: where to print.
    :param totals: requests by what became of them.
    :param outcomes: what the callers were told.
    :param changes: what came of the changes.
    :param distance: distance to the exact shares during bursts.
    """
    counts = ", ".join(f"{name} {value}" for name, value in totals._asdict().items())
    console.print(f"requests: {len(outcomes)}: {counts}")
    errors = Counter(outcome.error for outcome in outcomes if outcome.error)
    for error, number in errors.most_common():
        console.print(f"  {error}: {number}")
    if distance is not None:
        console.print(f"distance to the exact shares during bursts: {distance:.3f}")
    console.print(f"roll-out of the published document: {_seconds(changes.roll_out_s)}")
    console.print(f"replacement of an entry instance: {_seconds(changes.replaced_s)}")
    console.print(f"graceful stop of the replaced one: {_seconds(changes.drained_s)}")
    console.print(
        f"the withdrawn key was last taken after {changes.withdrawn_s:.2f} s "
        f"({changes.withdrawn_tries} tries)"
    )


def _seconds(value: float | None) -> str:
    return "never" if value is None else f"{value:.2f} s"
