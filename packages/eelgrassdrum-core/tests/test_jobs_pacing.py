"""
Throttling of backfill next to serving tasks.
"""

from eelgrassdrum_core.jobs import effects, events, model
from eelgrassdrum_core.jobs._pacing import FULL_PERCENT, BackfillThrottle, next_percent
from eelgrassdrum_testing.jobs.owner import (
    OWNER_TOKEN,
    START_S,
    commit,
    feed,
    hand_in,
    one_step,
    owner_of,
    worker_entry,
)


def simulate(throttle, worst_ratio, from_s, seconds):
    """
    Adjust the throttling ten times a second at a constant worst ratio.
    """
    for tenth in range(round(seconds * 10)):
        now_s = from_s + tenth / 10
        new_percent = next_percent(throttle, worst_ratio, now_s)
        if new_percent != throttle.percent:
            throttle.percent, throttle.changed_s = new_percent, now_s
    return from_s + seconds


def test_backfill_runs_at_full_speed_below_the_thresholds():
    """
    Backfill is not throttled while no serving task is near its target.
    """
    throttle = BackfillThrottle()
    simulate(throttle, 0.3, 0.0, 5.0)
    assert throttle.percent == FULL_PERCENT


def test_backfill_stops_when_a_target_is_exceeded():
    """
    Backfill stops within two seconds when a serving task exceeds its target.
    """
    throttle = BackfillThrottle()
    simulate(throttle, 1.3, 0.0, 2.0)
    assert throttle.percent == 0


def test_backfill_is_slowed_near_a_target():
    """
    Backfill is slowed but not stopped at once when a serving task is near its target.
    """
    throttle = BackfillThrottle()
    simulate(throttle, 0.9, 0.0, 0.1)
    assert 0 < throttle.percent < FULL_PERCENT


def test_backfill_speed_recovers_in_steps():
    """
    Backfill speed is raised in steps after the serving tasks have recovered.
    """
    throttle = BackfillThrottle()
    at_s = simulate(throttle, 1.3, 0.0, 2.0)
    at_s = simulate(throttle, 0.3, at_s, 1.0)
    assert throttle.percent == 0
    at_s = simulate(throttle, 0.3, at_s, 2.0)
    assert 0 < throttle.percent < FULL_PERCENT
    simulate(throttle, 0.3, at_s, 15.0)
    assert throttle.percent == FULL_PERCENT


# Guards against backfill that stays slow, since the order of its last change of speed was lost.
def test_failed_order_of_full_speed_is_repeated():
    """
    An order that returns a run to full speed is sent again after the next list if it failed.
    """
    node = owner_of([worker_entry("w")])
    hand_in(node, [("job", "usual", (one_step(is_backfill=True),), 0.0)])
    (order,) = commit(node, START_S + 3.1)
    worker = node.workers["w"]
    worker.pace = BackfillThrottle()
    worker.throttles[order.key] = FULL_PERCENT
    failed = events.PaceAnswered("w", order.key, order.run, FULL_PERCENT, events.UNKNOWN)
    feed(node, START_S + 4, failed)
    row = model.RunRow(order.key, order.run, "", 0, 0.0)
    lists = events.HoldAnswered("w", OWNER_TOKEN, START_S + 4, 8000, 7, (row,), ())
    produced = feed(node, START_S + 4.1, lists)
    speeds = [item.percent for item in produced if isinstance(item, effects.PaceTask)]
    assert speeds == [FULL_PERCENT]
