"""
What must hold at every step, judged from what workers and callers see.
"""

import math
from collections import Counter
from collections.abc import Collection, Iterator
from typing import NamedTuple

import msgspec

from eelgrassdrum_core.jobs import model
from eelgrassdrum_core.jobs._replicated_state import Job

from ._worker import JobWorker, Run

# Attempts of every queue of this world.
MAX_ATTEMPTS = 3
# Crashes of workers under a task from which on its starts are counted, and the number of further
# starts that breaks the rule.
CRASHES_OF_BUDGET = 3
STARTS_OVER_BUDGET = 3
# Crashes of workers under a task that crashes them from which on it may be given up.
CRASHES_OF_CULPRIT = 2
# Time from the evacuation of an availability zone in which tasks may still start there; the bound
# of `World`.
EVACUATE_S = 5.0
# Longest time that a task may wait while there is room for it and all is calm.
MAX_WAIT_S = 3.0
# Interval at which waiting tasks are judged.
CALM_STEP_S = 0.1
# Time from the acknowledgement of a cancellation in which tasks of the job may still start; the
# bound of `World`.
CANCEL_S = 3.0
# Time that a stop takes at most.
STOP_S = 0.4
# Time after which a worker's loss of capacity must be known, and the same and one heartbeat, from
# which on it counts.
CONTACT_S = 3.0
SHRINK_NOTICE_S = CONTACT_S + 1.5
FINAL_STATES = frozenset({"completed", "failed", "cancelled"})
# Age of its state up to which an instance is trusted about jobs that it doesn't know.
MAX_OLDER_S = 1.5
# The log gives the owner's clock in whole milliseconds.
CLOCK_STEP_S = 0.001


class Violation(NamedTuple):
    """
    A rule that did not hold.
    """

    rule: str
    at_s: float
    text: str


class ShownEnd(msgspec.Struct, eq=False):
    """
    The final state of a job that a caller was told first.

    :param at_s: when that was.
    :param instances: instances that told a final state.
    """

    state: str
    at_s: float
    instances: set[str] = set()


class Judge(msgspec.Struct, eq=False):
    """
    What was seen.

    :param ended: tasks of which a run has ended as done.
    :param done: tasks of which such an end was noted.
    :param accepted: jobs whose submission was answered as accepted.
    :param accepted_s: when that was first answered.
    :param specs: every job that was handed in.
    :param refused: jobs of which every submission was refused.
    :param cancel_acked_s: when the cancellation of a job was first acknowledged.
    :param evacuated_s: since when each evacuated availability zone has been that.
    :param went_on: runs of cancelled jobs that went on too long.
    :param shown: final states that callers were told.
    :param crashing_tasks: tasks that crash the workers that start them.
    :param crashed_under: how many workers have crashed while they ran a task.
    :param starts_after_crashes: starts of a task after as many crashes as its budget allows.
    :param waiting_since_s: since when a task could start but did not.
    :param waited: tasks that waited too long.
    """

    specs: dict[str, model.JobSpec] = {}
    workspaces: dict[str, str] = {}
    limits: dict[str, model.Resources] = {}
    ended: set[model.TaskKey] = set()
    done: set[model.TaskKey] = set()
    noted_failures: dict[model.TaskKey, int] = {}
    accepted: set[str] = set()
    accepted_s: dict[str, float] = {}
    refused: set[str] = set()
    cancelled_s: dict[str, float] = {}
    cancel_acked_s: dict[str, float] = {}
    went_on: set[tuple[model.TaskKey, int]] = set()
    shown: dict[str, ShownEnd] = {}
    crashing_tasks: set[model.TaskKey] = set()
    crashed_under: dict[model.TaskKey, int] = {}
    starts_after_crashes: dict[model.TaskKey, int] = {}
    waiting_since_s: dict[model.TaskKey, float] = {}
    waited: set[model.TaskKey] = set()
    starts: int = 0
    violations: list[Violation] = []
    evacuated_s: dict[str, float] = {}


def _broken(judge: Judge, rule: str, at_s: float, text: str) -> None:
    judge.violations.append(Violation(rule, at_s, text))


def on_start(
    judge: Judge, at_s: float, workers: dict[str, JobWorker], worker: JobWorker, run: Run
) -> None:
    """
    Judge a start, just after it.

    :param judge: what was seen.
    :param at_s: time of the world.
    :param workers: all workers.
    :param worker: where the task started.
    :param run: the run.
    """
    judge.starts += 1
    name = ".".join(map(str, run.key))
    spec = judge.specs.get(run.key.job)
    if spec is None:
        _broken(judge, "only_what_was_sent", at_s, name)
        return
    if run.key.job in judge.refused and run.key.job not in judge.accepted:
        _broken(judge, "refused_never_runs", at_s, name)
    if run.key in judge.done:
        _broken(judge, "done_never_starts_again", at_s, name)
    if at_s - judge.cancel_acked_s.get(run.key.job, at_s) > CANCEL_S:
        _broken(judge, "cancelled_never_starts", at_s, name)
    if at_s - judge.evacuated_s.get(worker.zone, at_s) > EVACUATE_S:
        _broken(judge, "evacuated_zone_takes_no_start", at_s, f"{name} {worker.id}")
    _judge_twice(judge, at_s, workers, worker, run, name)
    _judge_budget(judge, at_s, run, name)
    used = model.NO_RESOURCES
    for other in worker.runs.values():
        used = used.plus(other.resources)
    if not used.fits(worker.binding_capacity(at_s, SHRINK_NOTICE_S)):
        _broken(judge, "room_holds", at_s, f"{worker.id} {used}")
    step = spec.steps[run.key.step]
    for earlier in step.after:
        keys = [
            run.key._replace(step=earlier, number=index)
            for index in range(spec.steps[earlier].count)
        ]
        if not all(key in judge.ended for key in keys):
            _broken(judge, "steps_in_order", at_s, name)
    _judge_limit(judge, at_s, workers, run)


def on_second_start(judge: Judge, at_s: float, worker: JobWorker, running: Run) -> None:
    """
    Judge an order to start a task again on the worker that still runs it.

    :param judge: what was seen.
    :param at_s: time of the world.
    :param worker: the worker.
    :param running: the run that goes on.
    """
    name = ".".join(map(str, running.key))
    _broken(judge, "one_run_at_a_time", at_s, f"{name} {worker.id} {worker.id}")


def _judge_twice(
    judge: Judge,
    at_s: float,
    workers: dict[str, JobWorker],
    worker: JobWorker,
    run: Run,
    name: str,
) -> None:
    for other in workers.values():
        if other is not worker and other.is_up and run.key in other.runs:
            _broken(judge, "one_run_at_a_time", at_s, f"{name} {worker.id} {other.id}")


def _judge_budget(judge: Judge, at_s: float, run: Run, name: str) -> None:
    if run.key not in judge.crashing_tasks:
        return
    if judge.crashed_under.get(run.key, 0) < CRASHES_OF_BUDGET:
        return
    starts = judge.starts_after_crashes.get(run.key, 0) + 1
    judge.starts_after_crashes[run.key] = starts
    if starts == STARTS_OVER_BUDGET:
        _broken(judge, "crashing_task_has_a_budget", at_s, name)


def on_crash(judge: Judge, worker: JobWorker) -> None:
    """
    Take a crash of a worker, just before it.

    :param judge: what was seen.
    :param worker: the worker.
    """
    for key in worker.runs:
        judge.crashed_under[key] = judge.crashed_under.get(key, 0) + 1


def _judge_limit(judge: Judge, at_s: float, workers: dict[str, JobWorker], run: Run) -> None:
    workspace = judge.workspaces.get(run.key.job, "")
    limit = judge.limits.get(workspace)
    if limit is None:
        return
    used = model.NO_RESOURCES
    for worker in workers.values():
        for other in worker.runs.values():
            if worker.is_up and judge.workspaces.get(other.key.job) == workspace:
                used = used.plus(other.resources)
    # A limit of 0 in a part is none.
    if any(bound and have > bound for have, bound in zip(used, limit, strict=True)):
        _broken(judge, "limit_holds", at_s, f"{workspace} {used} of {limit}")


def on_running(judge: Judge, at_s: float, worker: JobWorker, disturbed_s: float) -> None:
    """
    Judge whether the runs of cancelled jobs on a worker have had time enough to end.

    :param judge: what was seen.
    :param at_s: time of the world.
    :param worker: the worker.
    :param disturbed_s: when anything was last disturbed.
    """
    for run in worker.runs.values():
        acked_s = judge.cancel_acked_s.get(run.key.job)
        if acked_s is None or (run.key, run.run) in judge.went_on:
            continue
        since_s = max(acked_s, disturbed_s, run.started_s if run.is_late else 0.0)
        if at_s - since_s > CANCEL_S + STOP_S:
            judge.went_on.add((run.key, run.run))
            name = ".".join(map(str, run.key))
            text = f"{name} run {run.run} {worker.id} since {run.started_s:.2f}"
            _broken(judge, "cancelled_runs_end", at_s, text)


def on_instance_stopped(judge: Judge, at_s: float, worker: JobWorker) -> None:
    """
    Judge an order that stops an instance, just before it takes effect.

    :param judge: what was seen.
    :param at_s: time of the world.
    :param worker: the worker on it.
    """
    for key in worker.runs:
        name = ".".join(map(str, key))
        _broken(judge, "planned_work_cuts_nothing", at_s, f"{worker.id} {name}")


def on_noted(judge: Judge, at_s: float, end: model.EndRow) -> None:
    """
    Take an end that was acknowledged.

    :param judge: what was seen.
    :param at_s: time of the world.
    :param end: the end.
    """
    spec = judge.specs.get(end.key.job)
    if spec is None or spec.steps[end.key.step].is_long_running:
        return
    if end.end_state == "done":
        judge.done.add(end.key)
    elif end.end_state == "failed":
        failures = judge.noted_failures
        failures[end.key] = failures.get(end.key, 0) + 1


def on_shown(
    judge: Judge,
    at_s: float,
    job: str,
    state: str,
    instance: str = "",
    known_s: float = -math.inf,
    disturbed_s: float = -math.inf,
) -> None:
    """
    Judge a state that a caller was told.

    An instance may tell an older state than another one has told before, while it can't know of the
    end. It knows of it if it has told the end itself, if its state has all records up to a time at
    which another instance told the end, or if it had time enough to read the log since.

    :param judge: what was seen.
    :param at_s: time of the world.
    :param job: the job.
    :param state: its state.
    :param instance: the instance that told it.
    :param known_s: time up to which that instance's state has all acknowledged records.
    :param disturbed_s: when that instance or the store was last disturbed.
    """
    if job not in judge.specs:
        _broken(judge, "only_what_was_sent", at_s, job)
        return
    if state == "cancelled" and job not in judge.cancelled_s:
        _broken(judge, "cancelled_with_cause", at_s, job)
    final = judge.shown.get(job)
    if state in FINAL_STATES:
        if final is None:
            final = judge.shown[job] = ShownEnd(state, at_s)
        final.instances.add(instance)
    if final is None or state == final.state:
        return
    is_read = known_s > final.at_s + CLOCK_STEP_S
    is_known = instance in final.instances or is_read
    is_due = at_s - max(final.at_s, disturbed_s) > MAX_OLDER_S
    if state in FINAL_STATES or is_known or is_due:
        _broken(judge, "final_states_stay", at_s, f"{job} {final.state} {state} {instance}")


def on_calm(judge: Judge, at_s: float, workers: list[JobWorker], jobs: dict[str, Job]) -> None:
    """
    Judge the tasks that wait, while nothing has gone wrong for long enough.

    :param judge: what was seen.
    :param at_s: time of the world.
    :param workers: all workers of the pool that are up, reachable and in the registry.
    :param jobs: jobs as an instance knows them.
    """
    former = judge.waiting_since_s
    judge.waiting_since_s = {}
    capacity = sum(worker.capacity.millicores for worker in workers)
    used = sum(run.resources.millicores for worker in workers for run in worker.runs.values())
    if used * 2 >= capacity:
        return
    for job_id in sorted(judge.accepted - judge.cancelled_s.keys()):
        job = jobs.get(job_id)
        if job is None or job.committed_state in FINAL_STATES:
            continue
        if _has_crashing_task(judge, job_id):
            continue
        for key in _startable(judge, workers, job_id):
            since_s = judge.waiting_since_s[key] = former.get(key, at_s)
            if at_s - since_s >= MAX_WAIT_S and key not in judge.waited:
                judge.waited.add(key)
                _broken(judge, "work_with_room_starts", at_s, ".".join(map(str, key)))


def _startable(judge: Judge, workers: list[JobWorker], job_id: str) -> Iterator[model.TaskKey]:
    """
    Give the tasks of a job that could start on a worker that has room for two of them.
    """
    running = Counter(key for worker in workers for key in worker.runs)
    listed = {end.key for worker in workers for end in worker.ends}
    steps = judge.specs[job_id].steps
    for index, step in enumerate(steps):
        keys = _keys_of(job_id, index, step)
        if not all(
            key in judge.done
            for earlier in step.after
            for key in _keys_of(job_id, earlier, steps[earlier])
        ):
            continue
        if not any(_has_room(worker, job_id, index, step) for worker in workers):
            continue
        if not _is_admitted(judge, workers, job_id, step):
            continue
        for key in keys:
            if not (key in judge.done or running[key] or key in listed):
                yield key


def _keys_of(job_id: str, index: int, step: model.Step) -> list[model.TaskKey]:
    return [model.TaskKey(job_id, 0, index, number) for number in range(step.count)]


def _has_room(worker: JobWorker, job_id: str, index: int, step: model.Step) -> bool:
    free = worker.capacity
    for run in worker.runs.values():
        free = free.minus(run.resources)
    here = sum((key.job, key.step) == (job_id, index) for key in worker.runs)
    is_within_spread = not step.max_per_worker or here < step.max_per_worker
    return is_within_spread and step.resources.plus(step.resources).fits(free)


def _is_admitted(judge: Judge, workers: list[JobWorker], job_id: str, step: model.Step) -> bool:
    workspace = judge.workspaces.get(job_id, "")
    used = step.resources
    for worker in workers:
        for run in worker.runs.values():
            if judge.workspaces.get(run.key.job) == workspace:
                used = used.plus(run.resources)
    return _is_within(used, judge.limits.get(workspace, model.NO_RESOURCES))


def on_end_of_world(
    judge: Judge, at_s: float, jobs: dict[str, Job], workers: Collection[JobWorker] = ()
) -> None:
    """
    Judge what became of the jobs, once all has been calm for long enough.

    :param judge: what was seen.
    :param at_s: time of the world.
    :param jobs: jobs as an instance knows them.
    :param workers: all workers that are up.
    """
    for job_id in judge.accepted:
        job = jobs.get(job_id)
        if job is None:
            _broken(judge, "accepted_is_kept", at_s, job_id)
            continue
        is_over = job.committed_state in FINAL_STATES
        is_missed = not (job.is_long_running or job.cancelled or _has_crashing_task(judge, job_id))
        if not is_over and is_missed and not _is_crowded_out(judge, workers, job_id):
            _broken(judge, "accepted_is_finished", at_s, f"{job_id} {job.committed_state}")
        if job.committed_state == "completed":
            _judge_completed(judge, at_s, job)
        if job.committed_state == "failed":
            _judge_failed(judge, at_s, job_id)


def _is_crowded_out(judge: Judge, workers: Collection[JobWorker], job_id: str) -> bool:
    """
    Return whether nothing of a job runs or could start, since tasks that last leave less of the
    limit of its workspace than any of its tasks needs whose turn has come.
    """
    if any(key.job == job_id for worker in workers for key in worker.runs):
        return False
    workspace = judge.workspaces.get(job_id, "")
    limit = judge.limits.get(workspace, model.NO_RESOURCES)
    lasting = {
        key: run.resources
        for worker in workers
        for key, run in worker.runs.items()
        if run.is_long_running
        and judge.workspaces.get(key.job) == workspace
        and key.job not in judge.cancelled_s
    }
    used = model.NO_RESOURCES
    for resources in lasting.values():
        used = used.plus(resources)
    due = list(_due_steps(judge, job_id))
    return bool(due) and not any(_is_within(used.plus(step.resources), limit) for step in due)


def _due_steps(judge: Judge, job_id: str) -> Iterator[model.Step]:
    """
    Give the steps of a job that are not done while all earlier ones that they need are.
    """
    steps = judge.specs[job_id].steps
    is_done = [
        all(key in judge.done for key in _keys_of(job_id, index, step))
        for index, step in enumerate(steps)
    ]
    for index, step in enumerate(steps):
        if not is_done[index] and all(is_done[earlier] for earlier in step.after):
            yield step


def _is_within(used: model.Resources, limit: model.Resources) -> bool:
    return all(not bound or have <= bound for have, bound in zip(used, limit, strict=True))


def _judge_completed(judge: Judge, at_s: float, job: Job) -> None:
    for index, step in enumerate(job.spec.steps):
        for task in range(step.count):
            key = model.TaskKey(job.id, 0, index, task)
            if key not in judge.ended:
                _broken(judge, "completed_is_done", at_s, ".".join(map(str, key)))


def _has_crashing_task(judge: Judge, job_id: str) -> bool:
    return any(key.job == job_id for key in judge.crashing_tasks)


def _judge_failed(judge: Judge, at_s: float, job_id: str) -> None:
    failures = [count for key, count in judge.noted_failures.items() if key.job == job_id]
    crashes = [judge.crashed_under.get(key, 0) for key in judge.crashing_tasks if key.job == job_id]
    if max(failures, default=0) >= MAX_ATTEMPTS or max(crashes, default=0) >= CRASHES_OF_CULPRIT:
        return
    _broken(judge, "failed_with_cause", at_s, f"{job_id} {failures} {crashes}")
