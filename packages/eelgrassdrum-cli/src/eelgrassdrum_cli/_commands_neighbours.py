"""
Shows from the logs of all instances which tasks slow each other down on one worker.
"""

from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

from ._errors import CommandError, ExitCode
from ._log_lines import Line, read_lines
from ._output import print_rows
from ._settings import NO_SETTINGS, Settings

COLUMNS = (
    "image",
    "beside",
    "excess",
    "deviation",
    "reports",
    "workers",
    "age s",
    "last seen s",
    "kept apart",
    "throttled",
)
ACTIONS = ("neighbours.harmful", "task.kept_apart", "worker.paced")


class PairLines(NamedTuple):
    """
    What the logs say about two images.

    :param latest: the latest line with an estimate, or the latest one at all.
    :param kept_apart: number of decisions to start a task elsewhere, of those because of this pair
        that were logged and those that were counted with them.
    :param throttled: number of changes of the speed of backfill because of this pair.
    """

    latest: Line
    kept_apart: int = 0
    throttled: int = 0


def neighbours(*files: Path, most: int = 20, settings: Settings = NO_SETTINGS) -> int:
    """
    Show the pairs of images that slow each other down most: by how much, how certain that is, and
    what was decided because of them.

    :param files: logs of instances, in any order; standard input if there are none.
    :param most: largest number of pairs to show.
    """
    lines = read_lines(files)
    if not lines:
        raise CommandError(ExitCode.NOT_FOUND, "no line of a structured log was found")
    pairs = read_pairs(lines)
    shown = sorted(pairs, key=lambda pair: (-_excess(pairs[pair]), pair))[:most]
    rows = [_row(pair, pairs[pair], lines[0].at_s) for pair in shown]
    if not rows and settings.output != "json":
        print("no pair of images was known to slow tasks down")
        return 0
    print_rows(settings, [dict(zip(COLUMNS, row, strict=True)) for row in rows], COLUMNS, rows)
    return 0


def read_pairs(lines: Iterable[Line]) -> dict[tuple[str, str], PairLines]:
    """
    Collect what the logs say about each pair of images.

    :param lines: all lines, in chronological order.
    :returns: the latest line and the decisions, by pair.
    """
    pairs: dict[tuple[str, str], PairLines] = {}
    for line in lines:
        fields = line.fields
        if line.action not in ACTIONS or not fields.get("beside"):
            continue
        pair = (str(fields.get("image", "")), str(fields["beside"]))
        former = pairs.get(pair, PairLines(line))
        latest = line if fields.get("reports") or not _reports(former) else former.latest
        kept = fields.get("decisions", 1) if line.action == "task.kept_apart" else 0
        paced = int(line.action == "worker.paced")
        pairs[pair] = PairLines(latest, former.kept_apart + kept, former.throttled + paced)
    return pairs


def _reports(pair: PairLines) -> float:
    return float(pair.latest.fields.get("reports") or 0)


def _excess(pair: PairLines) -> float:
    return float(pair.latest.fields.get("excess") or 0)


def _row(pair: tuple[str, str], item: PairLines, start_s: float) -> tuple[Any, ...]:
    fields = item.latest.fields
    return (
        *pair,
        *(fields.get(name) for name in ("excess", "deviation", "reports", "reporters", "age_s")),
        round(item.latest.at_s - start_s, 3),
        item.kept_apart,
        item.throttled,
    )
