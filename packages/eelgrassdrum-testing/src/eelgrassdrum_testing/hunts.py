"""
Summarizes entries of the users' bench: ``python -m eelgrassdrum_testing.hunts JOURNAL_FILE...``.

For each entry the days with a broken rule, those under a floor and those with a fault are counted,
and each of them is named with its seed. The exit status is 1 if there is any, or if an entry has no
days.
"""

import sys
import textwrap
from collections.abc import Sequence
from pathlib import Path

import msgspec
from cyclopts import App

# A fault is repeated among what was under its floor, with this prefix.
FAULT_PREFIX = "fault:"
# Printed length of a text; a fault may contain a whole traceback.
MAX_TEXT_CHARS = 160

app = App(name="hunts", help="Count the days of bench entries with a broken rule or under a floor.")


class Day(msgspec.Struct):
    """
    A day that the bench played.

    :param seed: its seed, or ``None`` if its name stands for it.
    :param rules: number of violations by broken rule.
    :param short: what was under its floor.
    :param fault: why the day could not be judged, or ``None``.
    :param worth: what the day was worth as a whole.
    """

    name: str
    seed: int | None = None
    rules: dict[str, int] = {}
    short: list[str] = []
    fault: str | None = None
    worth: float | None = msgspec.field(default=None, name="G")


class Entry(msgspec.Struct):
    """
    An entry of the bench's journal.

    :param days_left_out: days that the entry does not contain.
    :param error: why the command failed, or ``None``.
    """

    id: str
    cmd: str
    site: str | None = None
    days: list[Day] = []
    days_left_out: int = 0
    error: str | None = None


def floors_of(day: Day) -> list[str]:
    """
    Return what was under its floor on a day.

    :param day: the day.
    :returns: the texts of the bench.
    """
    return [text for text in day.short if not text.startswith(FAULT_PREFIX)]


def findings_of(day: Day) -> list[str]:
    """
    Return what is wrong with a day.

    :param day: the day.
    :returns: one text for each broken rule, value under its floor and fault.
    """
    broken = [f"rule {rule} broken {count} times" for rule, count in day.rules.items() if count]
    floors = [f"floor: {_one_line(text)}" for text in floors_of(day)]
    return [*broken, *floors, *([f"fault: {_one_line(day.fault)}"] if day.fault else [])]


def _one_line(text: str) -> str:
    return textwrap.shorten(text, MAX_TEXT_CHARS, placeholder=" ...")


def summarize(entry: Entry) -> list[str]:
    """
    Return the summary of an entry.

    :param entry: the entry.
    :returns: a line with the counts, and one for each finding.
    """
    days = entry.days
    counts = [
        f"{len(days)} days",
        f"{sum(any(day.rules.values()) for day in days)} with a broken rule",
        f"{sum(bool(floors_of(day)) for day in days)} under a floor",
        f"{sum(bool(day.fault) for day in days)} with a fault",
    ]
    if entry.days_left_out:
        counts.append(f"{entry.days_left_out} left out")
    lines = [f"{entry.id} {entry.cmd} {entry.site or '-'}: {', '.join(counts)}"]
    if entry.error:
        lines.append(f"  error: {_one_line(entry.error)}")
    for day in days:
        worth = "-" if day.worth is None else f"{day.worth:.3f}"
        lines += [
            f"  {day.name} (seed {day.seed}, worth {worth}): {text}" for text in findings_of(day)
        ]
    return lines


def is_clean(entry: Entry) -> bool:
    """
    Return whether an entry has days, and nothing is wrong with any of them.

    :param entry: the entry.
    :returns: whether it is clean.
    """
    is_complete = bool(entry.days) and not entry.days_left_out and not entry.error
    return is_complete and not any(findings_of(day) for day in entry.days)


@app.default
def report(*files: Path) -> int:
    """
    Print the summary of each entry.

    :param files: journal entries of the bench.
    :returns: exit status: 0 if all are clean, 1 if not, 2 if a file is no entry or none was given.
    """
    if not files:
        print("no journal entry was given", file=sys.stderr)
        return 2
    status = 0
    for path in files:
        try:
            entry = msgspec.json.decode(path.read_bytes(), type=Entry)
        except (OSError, msgspec.MsgspecError) as exc:
            print(f"{path} can't be read as an entry: {exc}", file=sys.stderr)
            status = 2
            continue
        print("\n".join(summarize(entry)))
        status = max(status, 0 if is_clean(entry) else 1)
    return status


def main(arguments: Sequence[str] | None = None) -> int:
    """
    Run the command.

    :param arguments: the command line, or ``None`` for that of the process.
    :returns: exit status.
    """
    return int(app(arguments, result_action="return_value"))


if __name__ == "__main__":
    sys.exit(main())
