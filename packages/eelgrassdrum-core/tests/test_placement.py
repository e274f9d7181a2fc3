"""
Tests of job placement, usage estimates and quarantine of failing workers.
"""

import random

from eelgrassdrum_core._jobs import ZERO_SIZE, RunningJob, Size, TeamUsage, WaitingJob, Worker
from eelgrassdrum_core._jobs_usage import MIN_SAMPLES, UsageHistory, estimate, note_usage
from eelgrassdrum_core._placement import Placement, place_jobs
from eelgrassdrum_core._workers_health import (
    BASE_QUARANTINE_S,
    TRIAL_SUCCESSES,
    Outcome,
    TemplateStats,
    WorkerHealth,
    end_quarantine,
    note_outcome,
    quarantine_if_broken,
    starts_allowed,
)

SHAPE = Size(16.0, 64.0, 1.0)
SMALL = Size(4.0, 8.0)

FIXTURES: dict = {}


def team(name: str, *, share: float = 1.0, limit: int = 100, used: Size = ZERO_SIZE) -> TeamUsage:
    """
    Build the usage of a team whose running jobs are all small.
    """
    return TeamUsage(name, share, limit, round(used.cores / SMALL.cores), used)


def overcommitted_workers(
    plan: Placement, waiting: list[WaitingJob], running: list[RunningJob], workers: list[Worker]
) -> list[str]:
    """
    Return the workers whose capacity a plan exceeds.
    """
    sizes = {job.id: job.size for job in waiting}
    running_by_id = {job.id: job for job in running}
    used = {worker.id: worker.used for worker in workers}
    for start in plan.starts:
        used[start.worker] = used[start.worker].plus(sizes[start.job])
        for name in start.preempts:
            assert running_by_id[name].worker == start.worker
            used[start.worker] = used[start.worker].minus(running_by_id[name].size)
    return [worker.id for worker in workers if not used[worker.id].fits(worker.capacity)]


def test_plan_respects_worker_capacity_and_team_limits() -> None:
    """Plans for random jobs respect the capacity of workers and the upper limits of teams."""
    rng = random.Random(5)
    for _ in range(60):
        running = [
            RunningJob(f"r{n}", f"t{rng.randrange(3)}", f"w{n % 6}", SMALL) for n in range(18)
        ]
        used = {f"t{n}": sum(job.team == f"t{n}" for job in running) for n in range(3)}
        workers = [
            Worker(f"w{n}", "r", SHAPE, Size(12.0, 24.0), rng.randrange(4)) for n in range(6)
        ]
        teams = [
            TeamUsage(name, 1.0, count + 2, count, Size(4.0 * count, 8.0 * count))
            for name, count in used.items()
        ]
        waiting = [
            WaitingJob(f"q{n}", f"t{rng.randrange(3)}", Size(rng.uniform(1, 9), 8.0), n % 4 == 0)
            for n in range(20)
        ]
        plan = place_jobs(waiting, running, workers, teams)
        assert overcommitted_workers(plan, waiting, running, workers) == []
        owners = {job.id: job.team for job in waiting} | {job.id: job.team for job in running}
        for item in teams:
            started = sum(owners[start.job] == item.name for start in plan.starts)
            stopped = sum(owners[name] == item.name for s in plan.starts for name in s.preempts)
            assert item.running + started - stopped <= item.limit
        victims = [name for start in plan.starts for name in start.preempts]
        assert len(victims) == len(set(victims))


def test_overcommitted_workers_reports_a_full_worker() -> None:
    """The check reports a worker on which a plan places two large jobs."""
    waiting = [WaitingJob(f"q{n}", "a", Size(12.0, 8.0)) for n in range(2)]
    workers = [Worker("w0", "r", SHAPE, ZERO_SIZE, 9)]
    plan = place_jobs(waiting, [], workers, [team("a")])
    assert len(plan.starts) == 1
    doubled = plan._replace(starts=plan.starts * 2)
    assert overcommitted_workers(doubled, waiting, [], workers) == ["w0"]


def test_the_fleet_is_shared_by_weight() -> None:
    """Of two teams that could each fill the fleet, one with twice the weight gets twice as much."""
    waiting = [WaitingJob(f"{name}{n}", name, SMALL) for n in range(60) for name in "ab"]
    workers = [Worker(f"w{n}", "r", SHAPE, ZERO_SIZE, 9) for n in range(9)]
    plan = place_jobs(waiting, [], workers, [team("a", share=2.0), team("b")])
    assert len(plan.starts) == 36
    assert sum(start.job.startswith("a") for start in plan.starts) == 24


def test_unplaceable_jobs_are_parked_with_a_reason() -> None:
    """Jobs too large, without limit or of no known team are parked; a full fleet parks none."""
    waiting = [
        WaitingJob("large", "a", Size(17.0, 1.0)),
        WaitingJob("accelerated", "a", Size(1.0, 1.0, 2.0)),
        WaitingJob("stopped", "b", SMALL),
        WaitingJob("stranger", "c", SMALL),
        WaitingJob("later", "a", SMALL),
    ]
    full = [Worker("w0", "r", SHAPE, SHAPE, 9)]
    plan = place_jobs(waiting, [], full, [team("a"), team("b", limit=0)])
    assert dict(plan.parked) == {
        "large": "larger_than_any_worker",
        "accelerated": "larger_than_any_worker",
        "stopped": "team_may_run_nothing",
        "stranger": "unknown_team",
    }
    assert plan.starts == ()


def test_urgent_job_preempts_only_a_preemptible_job() -> None:
    """An urgent job preempts no job that is urgent, can't checkpoint or was preempted often."""
    running = [
        RunningJob("own", "a", "w0", SMALL, urgent=True),
        RunningJob("fixed", "b", "w0", SMALL, can_checkpoint=False),
        RunningJob("often", "b", "w0", SMALL, preemptions=3),
        RunningJob("soft", "b", "w0", SMALL),
    ]
    workers = [Worker("w0", "r", SHAPE, Size(16.0, 32.0), 9)]
    teams = [team("a", used=SMALL), team("b", used=Size(12.0, 24.0))]
    waiting = [WaitingJob(f"u{n}", "a", SMALL, True) for n in range(2)]
    plan = place_jobs(waiting, running, workers, teams)
    assert plan.starts == (("u0", "w0", ("soft",)),)


def test_preemption_leaves_other_teams_their_share() -> None:
    """Teams at their fair share keep their jobs; the urgent job preempts its own team's."""
    running = [
        RunningJob(f"{name}{n}", name, f"w{n % 2}", SMALL) for n in range(4) for name in "ab"
    ]
    workers = [Worker(f"w{n}", "r", SHAPE, Size(16.0, 32.0), 9) for n in range(2)]
    used = Size(16.0, 32.0)
    waiting = [WaitingJob("u0", "a", SMALL, True)]
    plan = place_jobs(waiting, running, workers, [team("a", used=used), team("b", used=used)])
    [start] = plan.starts
    assert [name[0] for name in start.preempts] == ["a"]


def test_worker_is_reserved_for_a_large_job() -> None:
    """A worker is reserved for a large job that has waited long, and small jobs don't fill it."""
    workers = [Worker("w0", "r", SHAPE, SMALL, 9)]
    waiting = [
        WaitingJob("large", "a", SHAPE._replace(accelerators=0.0), waited_s=100.0),
        WaitingJob("small", "b", SMALL),
    ]
    assert place_jobs(waiting, [], workers, [team("a"), team("b")]).starts == ()
    fresh = [waiting[0]._replace(waited_s=0.0), waiting[1]]
    assert len(place_jobs(fresh, [], workers, [team("a"), team("b")]).starts) == 1


def test_sizes_are_estimated_from_usage() -> None:
    """The estimate replaces the declared size once there are enough samples."""
    history, declared = UsageHistory(), Size(30.0, 90.0, 2.0)
    assert estimate(None, declared) == declared
    for number in range(MIN_SAMPLES):
        assert estimate(history, declared) == declared
        note_usage(history, Size(10.0, 20.0 + number))
    assert estimate(history, declared) == Size(10.0, 24.0, 2.0)


def fail(
    health: WorkerHealth, templates: dict[str, TemplateStats], names: list[str], now_s: float
) -> int:
    """
    Fail jobs on a worker until it is quarantined, and return their number, or 0.
    """
    for number, name in enumerate(names, start=1):
        note_outcome(health, templates, Outcome(name, True))
        if quarantine_if_broken(health, templates, 0, 40, now_s):
            return number
    return 0


def test_failing_worker_is_quarantined_and_put_on_trial() -> None:
    """A quarantined worker returns on trial, and a failed trial doubles its quarantine."""
    health, templates = WorkerHealth(), {}
    assert starts_allowed(health, 2) == 0
    assert 0 < fail(health, templates, ["t1", "t2", "t3", "t4", "t5"], 0.0) <= 5
    assert starts_allowed(health, 0) == 0
    assert not end_quarantine(health, BASE_QUARANTINE_S - 1.0)
    assert end_quarantine(health, BASE_QUARANTINE_S)
    assert (starts_allowed(health, 0), starts_allowed(health, 1)) == (1, 0)
    assert fail(health, templates, ["t1"], BASE_QUARANTINE_S) == 1
    assert not end_quarantine(health, BASE_QUARANTINE_S * 2.9)
    assert end_quarantine(health, BASE_QUARANTINE_S * 3.0)
    for _ in range(TRIAL_SUCCESSES):
        note_outcome(health, templates, Outcome("t1", False))
    assert starts_allowed(health, 5) > 5


def test_bad_template_quarantines_no_worker() -> None:
    """Neither a template that fails everywhere nor too many suspects at once cause quarantine."""
    templates: dict[str, TemplateStats] = {}
    workers = [WorkerHealth() for _ in range(40)]
    for _ in range(6):
        for health in workers:
            note_outcome(health, templates, Outcome("bad", True))
            assert not quarantine_if_broken(health, templates, 0, 40, 0.0)
    suspect = WorkerHealth()
    for name in ("t1", "t2", "t3", "t4", "t5"):
        note_outcome(suspect, templates, Outcome(name, True))
    assert not quarantine_if_broken(suspect, templates, 4, 40, 0.0)
    assert quarantine_if_broken(suspect, templates, 3, 40, 0.0)
