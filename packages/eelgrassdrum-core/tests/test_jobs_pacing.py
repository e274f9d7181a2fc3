"""
The pace of backfill beside work that serves.
"""

from eelgrassdrum_core.jobs._pacing import FULL_PERCENT, WorkerPace, next_percent


def run_for(pace, worst, from_s, seconds):
    """
    Adjust a pace ten times a second while the worst part stays the same.
    """
    for tenth in range(round(seconds * 10)):
        now_s = from_s + tenth / 10
        wanted = next_percent(pace, worst, now_s)
        if wanted != pace.percent:
            pace.percent, pace.changed_s = wanted, now_s
    return from_s + seconds


def test_backfill_runs_at_full_speed_while_nothing_suffers():
    """
    Without a serving task near its target, nothing is slowed.
    """
    pace = WorkerPace()
    run_for(pace, 0.3, 0.0, 5.0)
    assert pace.percent == FULL_PERCENT


def test_backfill_is_stopped_well_before_harm_lasts():
    """
    Serving task over its target: backfill stands within two seconds.
    """
    pace = WorkerPace()
    run_for(pace, 1.3, 0.0, 2.0)
    assert pace.percent == 0


def test_backfill_is_slowed_as_a_task_comes_near_its_target():
    """
    Serving task near its target: backfill is halved, not stopped at once.
    """
    pace = WorkerPace()
    run_for(pace, 0.9, 0.0, 0.1)
    assert 0 < pace.percent < FULL_PERCENT


def test_backfill_comes_back_step_by_step():
    """
    After harm has passed, backfill is let go again in steps.
    """
    pace = WorkerPace()
    at_s = run_for(pace, 1.3, 0.0, 2.0)
    at_s = run_for(pace, 0.3, at_s, 1.0)
    assert pace.percent == 0
    at_s = run_for(pace, 0.3, at_s, 2.0)
    assert 0 < pace.percent < FULL_PERCENT
    run_for(pace, 0.3, at_s, 15.0)
    assert pace.percent == FULL_PERCENT
