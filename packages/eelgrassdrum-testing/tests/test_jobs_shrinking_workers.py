"""
Workers whose capacity shrinks and grows, in a world of virtual time.
"""

from eelgrassdrum_core.jobs import model
from eelgrassdrum_testing.jobs import run_schedule
from eelgrassdrum_testing.jobs._worker import JobWorker

SHRINKING = ("shrink_workers", "shrink_workers")
SHRINKING_UNREAD = ("registry_unreadable", "shrink_workers", "registry_unreadable")
SEEDS = range(1, 9)


def violations(faults, is_moving=False):
    """
    Return the rules that schedules of some faults break.
    """
    results = [run_schedule(seed, faults, is_moving) for seed in SEEDS]
    return [(result.seed, result.violations[:2]) for result in results if result.violations]


def test_a_loss_of_capacity_counts_after_its_notice():
    """
    A worker's capacity from before a loss holds until the loss must be known.
    """
    full = model.Resources(8000, 64_000, 0)
    worker = JobWorker("w", "service", "z", "m", "w:1", full, 1, 0.0)
    worker.shrink(10.0, 0.5)
    assert worker.binding_capacity(14.5, 4.5) == full
    assert worker.binding_capacity(14.6, 4.5) == model.Resources(4000, 32_000, 0)
    worker.grow()
    assert worker.binding_capacity(14.6, 4.5) == full


# Issue 25: a start brings a worker whose capacity has shrunk over it.
def test_no_start_brings_a_shrunk_worker_over_its_capacity():
    """
    Schedules in which workers lose and regain capacity break no rule, also while instances move.
    """
    assert not violations(SHRINKING)
    assert not violations(SHRINKING, is_moving=True)


# Issue 25: an owner that can't read the registry starts tasks on workers that have shrunk.
def test_no_start_brings_a_worker_over_its_capacity_while_the_registry_is_unreadable():
    """
    The same holds while the registry can't be read and the log can.
    """
    assert not violations(SHRINKING_UNREAD)
