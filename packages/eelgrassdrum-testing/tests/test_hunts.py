"""
Summaries of the bench's journal entries.
"""

import contextlib
import io
import json
import tempfile
from pathlib import Path

from eelgrassdrum_testing import hunts


def make_day(name="hunt-1", **fields):
    """
    Return a day as the bench writes it, with more fields than are read.
    """
    day = {"G": 0.5, "name": name, "seed": 7, "rules": {}, "short": [], "fault": None, "used": 9}
    return {**day, **fields}


def report(*entries):
    """
    Run the command on entries and return its exit status and the lines of its output.
    """
    with tempfile.TemporaryDirectory() as folder:
        paths = []
        for number, entry in enumerate(entries):
            paths.append(Path(folder, f"{number}.json"))
            text = entry if isinstance(entry, str) else json.dumps(entry)
            paths[-1].write_text(text)
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(io.StringIO()):
            status = hunts.main([str(path) for path in paths])
    return status, output.getvalue().splitlines()


def make_entry(*days, **fields):
    """
    Return an entry with days.
    """
    return {"id": "ab", "cmd": "hunt", "site": "north", "days": list(days), **fields}


def test_clean_days_pass():
    """
    An entry whose days keep all rules and floors gives one line and the exit status 0.
    """
    status, lines = report(make_entry(make_day(), make_day("hunt-2", seed=None)))
    assert status == 0
    assert lines == ["ab hunt north: 2 days, 0 with a broken rule, 0 under a floor, 0 with a fault"]


# Guards against: days under a floor were passed over, since no rule was broken (issue 19).
def test_day_under_a_floor_fails():
    """
    A day under a floor is named with its seed and gives the exit status 1, also without a broken
    rule.
    """
    day = make_day("hunt-2", seed=12, short=["0.07 of the worth; the floor is 0.19"])
    status, lines = report(make_entry(make_day(), day))
    assert status == 1
    assert lines == [
        "ab hunt north: 2 days, 0 with a broken rule, 1 under a floor, 0 with a fault",
        "  hunt-2 (seed 12, worth 0.500): floor: 0.07 of the worth; the floor is 0.19",
    ]


def test_broken_rules_and_faults_fail():
    """
    Broken rules and faults are counted apart from floors, each on one short line.
    """
    broken = make_day("hunt-1", rules={"LOST": 2})
    fault = "no start\n" + "trace " * 200
    faulty = make_day("hunt-2", fault=fault, short=[f"fault: {fault}"])
    status, lines = report(make_entry(broken, faulty))
    assert status == 1
    assert lines[0].endswith("2 days, 1 with a broken rule, 0 under a floor, 1 with a fault")
    assert lines[1] == "  hunt-1 (seed 7, worth 0.500): rule LOST broken 2 times"
    assert lines[2].startswith("  hunt-2 (seed 7, worth 0.500): fault: no start trace")
    assert len(lines) == 3
    assert len(lines[2]) < 250


def test_missing_days_fail():
    """
    An entry that failed, has no days or leaves some out is not clean.
    """
    assert report(make_entry(error="did not build"))[0] == 1
    assert report(make_entry())[0] == 1
    status, lines = report(make_entry(make_day(), days_left_out=3))
    assert status == 1
    assert lines[0].endswith("3 left out")


def test_all_files_are_read():
    """
    One entry that is not clean, or a file that is no entry, decides the exit status of all.
    """
    clean, short = make_entry(make_day()), make_entry(make_day(short=["0.1"]))
    assert report(short, clean)[0] == 1
    status, lines = report("no entry", clean)
    assert status == 2
    assert len(lines) == 1
    assert report()[0] == 2
