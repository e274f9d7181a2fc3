"""
Placement: how full and how fair the fleet gets, and what deciding costs at full size.
"""

import random
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import msgspec

from eelgrassdrum_core._jobs import ZERO_SIZE, RunningJob, Size, TeamUsage, WaitingJob, Worker
from eelgrassdrum_core._jobs_usage import UsageHistory, estimate, note_usage
from eelgrassdrum_core._placement import place_jobs
from eelgrassdrum_core._workers_health import (
    Outcome,
    TemplateStats,
    WorkerHealth,
    note_outcome,
    quarantine_if_broken,
    starts_allowed,
)

from .._scenario import CONSORTIUM, GARTENSCHAU, Scenario
from ._measure import Measure, measure

SEED = 21
TEMPLATES = 12
DECLARED_FACTOR = 3.0
SPREAD = 0.2
HISTORY = 40
BACKLOG_FACTOR = 4.0
SIZES = ((2050, 115), (4100, 230), (8200, 460))
JOBS_PER_PLAN = 1000
PLAN_EVERY_S = 5.0
CORE_SHARE = 0.04
BLACK_HOLE_JOBS = 5
URGENT = 10
FAILURE_RATE = 0.02


class Template(NamedTuple):
    """
    A kind of job.

    :param true: what its jobs use on average.
    :param declared: what its submitters say.
    """

    name: str
    true: Size
    declared: Size


class Job(NamedTuple):
    """
    A job with what it will really use.
    """

    id: str
    team: str
    template: Template
    true: Size


class Fleet(msgspec.Struct):
    """
    A firm's workers, teams and backlog.
    """

    workers: list[Worker]
    teams: list[TeamUsage]
    jobs: list[Job]
    histories: dict[str, UsageHistory]


def make_fleet(scenario: Scenario, seed: int) -> Fleet:
    """
    Generate a firm's fleet with more work than it can hold.

    :param scenario: the firm's sizes.
    :param seed: seed of every random choice.
    :returns: the fleet, with what earlier jobs of each template used.
    """
    rng = random.Random(seed)
    shape = Size(scenario.worker.cores, scenario.worker.memory_gb, 0.0)
    workers = [
        Worker(f"w{n}", f"r{n // scenario.workers_per_rack}", shape, ZERO_SIZE, 1000)
        for n in range(scenario.workers)
    ]
    templates = [_make_template(rng, n, shape) for n in range(TEMPLATES)]
    histories = {template.name: UsageHistory() for template in templates}
    for template in templates:
        for _ in range(HISTORY):
            note_usage(histories[template.name], _spread(rng, template.true))
    teams = [
        TeamUsage(f"{space.id}/{team.id}", space.weight * team.weight, 1_000_000, 0, ZERO_SIZE)
        for space in scenario.workspaces
        for team in space.teams
    ]
    jobs = _make_jobs(rng, teams, templates, shape.cores * scenario.workers * BACKLOG_FACTOR)
    return Fleet(workers, teams, jobs, histories)


def place_all(fleet: Fleet) -> dict[str, str]:
    """
    Place a fleet's backlog by estimates until nothing more fits.

    :param fleet: the fleet.
    :returns: worker by job.
    """
    waiting = [
        WaitingJob(
            job.id, job.team, estimate(fleet.histories[job.template.name], job.template.declared)
        )
        for job in fleet.jobs
    ]
    starts = place_jobs(waiting, [], fleet.workers, fleet.teams).starts
    return {start.job: start.worker for start in starts}


def place_first_fit(fleet: Fleet) -> dict[str, str]:
    """
    Place a fleet's backlog in order, at the first worker that the declared size fits into.

    :param fleet: the fleet.
    :returns: worker by job.
    """
    free = {worker.id: worker.capacity for worker in fleet.workers}
    placed: dict[str, str] = {}
    for job in fleet.jobs:
        for name, room in free.items():
            if job.template.declared.fits(room):
                free[name] = room.minus(job.template.declared)
                placed[job.id] = name
                break
    return placed


def fill_of(fleet: Fleet, placed: dict[str, str]) -> tuple[float, float]:
    """
    Measure a placement by what its jobs really use.

    :param fleet: the fleet.
    :param placed: worker by job.
    :returns: part of the scarcest resource that does work, which no placement brings above 1, and
        part of the workers whose memory is not enough.
    """
    used: dict[str, Size] = {worker.id: ZERO_SIZE for worker in fleet.workers}
    for job in fleet.jobs:
        if job.id in placed:
            used[placed[job.id]] = used[placed[job.id]].plus(job.true)
    shape = fleet.workers[0].capacity
    # Processors beyond a worker's own slow its jobs down and do no more work.
    cores = sum(min(size.cores, shape.cores) for size in used.values())
    memory = sum(min(size.memory_gb, shape.memory_gb) for size in used.values())
    count = len(fleet.workers)
    over = sum(size.memory_gb > shape.memory_gb for size in used.values())
    return max(cores / (count * shape.cores), memory / (count * shape.memory_gb)), over / count


def bench_fill() -> Iterator[Measure]:
    """
    Compare the fill of a full fleet with the relaxed optimum and with first fit.

    :returns: the measures.
    """
    for scenario in (GARTENSCHAU, CONSORTIUM):
        fleet = make_fleet(scenario, SEED)
        placed = place_all(fleet)
        fill, over = fill_of(fleet, placed)
        first, first_over = fill_of(fleet, place_first_fit(fleet))
        prefix = f"placement.{scenario.name}"
        yield measure(f"{prefix}.fill", fill, "of the relaxed optimum", at_least=0.95)
        yield measure(f"{prefix}.first_fit_fill", first, "of the relaxed optimum")
        yield measure(f"{prefix}.memory_over", over, "of workers")
        yield measure(f"{prefix}.first_fit_memory_over", first_over, "of workers")
        yield measure(f"{prefix}.distance", _distance(fleet, placed), "of the fleet", at_most=0.05)


def bench_urgent() -> Iterator[Measure]:
    """
    Count the urgent jobs of a full fleet that get a worker in the first plan.

    :returns: the measures.
    """
    for scenario in (GARTENSCHAU, CONSORTIUM):
        fleet = make_fleet(scenario, SEED)
        placed = place_all(fleet)
        sizes = _estimates(fleet)
        running = [
            RunningJob(job.id, job.team, placed[job.id], sizes[job.id])
            for job in fleet.jobs
            if job.id in placed
        ]
        workers = [_loaded(worker, running) for worker in fleet.workers]
        teams = [_used(team, running) for team in fleet.teams]
        size = Size(scenario.worker.cores / 8, scenario.worker.memory_gb / 16)
        small = min(teams, key=lambda team: team.share)
        waiting = [WaitingJob(f"u{n}", small.name, size, True) for n in range(URGENT)]
        starts = place_jobs(waiting, running, workers, teams).starts
        prefix = f"placement.{scenario.name}"
        yield measure(f"{prefix}.urgent_at_once", len(starts), "jobs", at_least=URGENT)
        stopped = sum(len(start.preempts) for start in starts)
        yield measure(f"{prefix}.urgent_preempted", stopped, "jobs")


def bench_black_hole() -> Iterator[Measure]:
    """
    Count what a worker takes that fails everything at once, and workers taken out for no fault.

    :returns: the measures.
    """
    for scenario in (GARTENSCHAU, CONSORTIUM):
        taken, wrong = _run_pool(scenario, bad_worker=True)
        prefix = f"placement.{scenario.name}"
        yield measure(f"{prefix}.black_hole_jobs", taken, "jobs", at_most=BLACK_HOLE_JOBS)
        yield measure(f"{prefix}.wrong_quarantines", wrong, "workers", at_most=0)
        _, wrong = _run_pool(scenario, bad_worker=False)
        yield measure(f"{prefix}.bad_template_quarantines", wrong, "workers", at_most=0)


def bench_cost() -> Iterator[Measure]:
    """
    Take the processor time of one plan of a nearly full fleet, over three sizes.

    :returns: the measures.
    """
    for count, teams in SIZES:
        workers, uses, waiting, running = _large(count, teams)
        began_s = time.process_time()
        starts = place_jobs(waiting, running, workers, uses).starts
        plan_s = time.process_time() - began_s
        label = f"placement.plan.{count}"
        yield measure(f"{label}.plan_ms", plan_s * 1e3, "ms")
        yield measure(f"{label}.starts", len(starts), "starts")
        yield measure(f"{label}.per_job", plan_s * 1e6 / len(waiting), "us")
        limit = CORE_SHARE if (count, teams) == SIZES[-1] else None
        yield measure(f"{label}.core_share", plan_s / PLAN_EVERY_S, "of a core", at_most=limit)


def _run_pool(scenario: Scenario, *, bad_worker: bool) -> tuple[int, int]:
    """
    Give jobs to idle workers; a bad worker fails all at once, else one template fails anywhere.
    """
    rng = random.Random(SEED)
    names = [f"w{n}" for n in range(scenario.workers)]
    health = {name: WorkerHealth() for name in names}
    templates: dict[str, TemplateStats] = {}
    taken: Counter[str] = Counter()
    for turn in range(60):
        for name in names:
            # What fails at once is idle again at once, so the bad worker is asked four times.
            asks = 4 if bad_worker and name == "w0" else 1
            for _ in range(asks):
                if not starts_allowed(health[name], 0):
                    continue
                template = f"t{rng.randrange(TEMPLATES)}"
                fails = name == "w0" if bad_worker else template in ("t0", "t1")
                failed = fails or rng.random() < FAILURE_RATE
                taken[name] += 1
                note_outcome(health[name], templates, Outcome(template, failed))
                out = sum(item.quarantined_until_s is not None for item in health.values())
                quarantine_if_broken(health[name], templates, out, len(names), float(turn))
    wrong = [n for n in names if health[n].quarantined_until_s is not None]
    return taken["w0"], len([n for n in wrong if not (bad_worker and n == "w0")])


def _large(
    count: int, teams: int
) -> tuple[list[Worker], list[TeamUsage], list[WaitingJob], list[RunningJob]]:
    rng = random.Random(SEED)
    shape = Size(64.0, 256.0, 2.0)
    uses = {f"t{n}": TeamUsage(f"t{n}", 1.0, 1000, 0, ZERO_SIZE) for n in range(teams)}
    workers, running = [], []
    for number in range(count):
        used = ZERO_SIZE
        for slot in range(4):
            size = Size(rng.uniform(8, 16), rng.uniform(20, 64), 0.0)
            job = RunningJob(f"j{number}-{slot}", f"t{rng.randrange(teams)}", f"w{number}", size)
            running.append(job)
            used = used.plus(size)
            use = uses[job.team]
            uses[job.team] = use._replace(running=use.running + 1, used=use.used.plus(size))
        workers.append(Worker(f"w{number}", f"r{number // 4}", shape, used, 10))
    waiting = [
        WaitingJob(f"q{n}", f"t{rng.randrange(teams)}", Size(rng.uniform(4, 24), 16.0), n % 50 == 0)
        for n in range(JOBS_PER_PLAN)
    ]
    return workers, list(uses.values()), waiting, running


def _make_template(rng: random.Random, number: int, shape: Size) -> Template:
    cores = shape.cores * rng.uniform(0.02, 0.12)
    # Processors are the scarce resource: a job takes less than its part of the memory.
    memory = shape.memory_gb * cores / shape.cores * rng.uniform(0.3, 0.7)
    factor = DECLARED_FACTOR ** rng.uniform(-1.0, 1.0)
    return Template(f"t{number}", Size(cores, memory), Size(cores * factor, memory * factor))


def _make_jobs(
    rng: random.Random, teams: list[TeamUsage], templates: list[Template], cores: float
) -> list[Job]:
    jobs: list[Job] = []
    for team in teams:
        # Each team alone could fill the fleet.
        wanted = cores / BACKLOG_FACTOR
        while wanted > 0:
            template = rng.choice(templates)
            job = Job(f"j{len(jobs)}", team.name, template, _spread(rng, template.true))
            wanted -= job.true.cores
            jobs.append(job)
    rng.shuffle(jobs)
    return jobs


def _spread(rng: random.Random, size: Size) -> Size:
    factor = 1.0 + rng.uniform(-SPREAD, SPREAD)
    return Size(size.cores * factor, size.memory_gb * factor)


def _estimates(fleet: Fleet) -> dict[str, Size]:
    return {
        job.id: estimate(fleet.histories[job.template.name], job.template.declared)
        for job in fleet.jobs
    }


def _distance(fleet: Fleet, placed: dict[str, str]) -> float:
    total = sum(worker.capacity.cores for worker in fleet.workers)
    used: Counter[str] = Counter()
    for job in fleet.jobs:
        if job.id in placed:
            used[job.team] += job.true.cores
    weights = sum(team.share for team in fleet.teams)
    full = sum(used.values()) / total
    return max(abs(used[t.name] / total - full * t.share / weights) for t in fleet.teams)


def _loaded(worker: Worker, running: list[RunningJob]) -> Worker:
    used = worker.used
    for job in running:
        if job.worker == worker.id:
            used = used.plus(job.size)
    return worker._replace(used=used)


def _used(team: TeamUsage, running: list[RunningJob]) -> TeamUsage:
    used, count = team.used, 0
    for job in running:
        if job.team == team.name:
            used, count = used.plus(job.size), count + 1
    return team._replace(used=used, running=count)


BENCHES: dict[str, Callable[[], Iterable[Measure]]] = {
    "placement.fill": bench_fill,
    "placement.urgent": bench_urgent,
    "placement.black_hole": bench_black_hole,
    "placement.cost": bench_cost,
}
