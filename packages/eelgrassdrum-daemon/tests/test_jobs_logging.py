"""
The volume of the structured log.
"""

from unittest import mock

from eelgrassdrum_daemon.jobs import _logging

LOST = {"how": "lost"}


def written(lines):
    """
    Count the lines of actions and fields that are written within one second.
    """
    log_buffer = _logging.LogBuffer()
    with mock.patch.object(_logging.time, "monotonic", return_value=100.0):
        return sum(_logging._should_write(log_buffer, *line) for line in lines)


# Guards against thousands of lost runs whose lines take the owner's time.
def test_lines_about_many_runs_that_were_lost_are_bounded():
    """
    Lines about single runs that were lost or withdrawn are bounded together in each second.
    """
    lines = [("run.ended", LOST), ("run.withdrawn", {})] * 5_000
    assert written(lines) == _logging.RUN_LINES_PER_S


def test_lines_about_troubled_runs_do_not_wait_behind_progress():
    """
    Lines about runs that were lost are written also if there are too many of routine progress, and
    lines about workers beside both.
    """
    progress = [("run.decided", {})] * 5_000
    lost = [("run.ended", LOST)] * 100
    workers = [("worker.crashed", {})] * 10
    assert written(progress + lost + workers) == _logging.PROGRESS_LINES_PER_S + 110
