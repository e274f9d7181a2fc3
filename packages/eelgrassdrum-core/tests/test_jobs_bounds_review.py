"""
Waits for a worker that restarts again and again.
"""

from eelgrassdrum_core.jobs import events
from eelgrassdrum_core.jobs._ownership import CLOCK_DRIFT, LEASE_MARGIN_S
from eelgrassdrum_core.jobs._runs import runs_on
from eelgrassdrum_testing.jobs.owner import (
    BOUNDS,
    START_S,
    commit,
    feed,
    hand_in,
    one_step,
    owner_of,
    worker_entry,
)

LONGEST_S = BOUNDS.max_lease_s * (1 + CLOCK_DRIFT) + LEASE_MARGIN_S
RESTART_INTERVAL_S = 5
RESTARTED_S = START_S + 5


# Guards against tasks that wait for the longest lease from each restart of an unreachable worker.
def test_restarts_of_an_unreachable_worker_do_not_prolong_the_wait_for_its_runs():
    """
    Runs of a worker's first incarnation are given up though later ones restart before they answer.
    """
    node = owner_of([worker_entry("w")])
    hand_in(node, [("job", "usual", (one_step(),), 0.0)])
    commit(node, START_S + 3)
    assert runs_on(node, "w")
    for restart in range(4):
        now_s = RESTARTED_S + restart * RESTART_INTERVAL_S
        entry = worker_entry("w")._replace(incarnation=8 + restart)
        feed(node, now_s, events.WorkersRead(2 + restart, False, {"w": entry}, now_s))
        for tick in range(RESTART_INTERVAL_S * 10):
            feed(node, now_s + tick / 10, events.Ticked())
            commit(node, now_s + tick / 10)
    assert now_s - RESTARTED_S > LONGEST_S
    assert not runs_on(node, "w")
