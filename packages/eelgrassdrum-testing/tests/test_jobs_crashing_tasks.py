"""
Tasks that crash the workers that start them, in a world of virtual time.
"""

from types import SimpleNamespace
from unittest import mock

from eelgrassdrum_core.jobs import _runs, model
from eelgrassdrum_testing.jobs import _rules, run_schedule
from eelgrassdrum_testing.jobs._worker import JobWorker

CRASHING_JOB = "c" * 16
CRASHING_TASK = model.TaskKey(CRASHING_JOB, 0, 0, 1)
SPEC = model.JobSpec("payload", (model.Step(3, (500, 1000, 0), 300),))
CAPACITY = model.Resources(8_000, 64_000, 0)
OWNERS_LOST = ("crashing_jobs", "kill_owner", "crashing_jobs", "stop_owner")


def started_and_crashed(judge, key, starts, crashes):
    """
    Tell the rules of starts of a task, and of a crash after each of the first ones.
    """
    for number in range(starts):
        worker = JobWorker(f"w-{number}", "service", "zone", "m", "w", CAPACITY, 1, 0.0)
        run = worker.begin(key, number + 1, SPEC.steps[0], float(number), 1.0, "done")
        _rules.on_start(judge, float(number), {worker.id: worker}, worker, run)
        if number < crashes:
            _rules.on_crash(judge, worker)


def crashing_judge():
    """
    Return the rules' state with a job of which one task crashes workers.
    """
    return _rules.Judge(
        specs={CRASHING_JOB: SPEC}, accepted={CRASHING_JOB}, crashing_tasks={CRASHING_TASK}
    )


def test_the_budget_of_a_task_that_crashes_workers_is_checked():
    """
    Two starts after three crashes are allowed, the third is not, and only of tasks that crash.
    """
    for key, starts, crashes, rules in (
        (CRASHING_TASK, 5, 5, []),
        (CRASHING_TASK, 6, 2, []),
        (CRASHING_TASK, 6, 3, ["crashing_task_has_a_budget"]),
        (CRASHING_TASK, 9, 9, ["crashing_task_has_a_budget"]),
        (CRASHING_TASK._replace(number=0), 9, 9, []),
    ):
        judge = crashing_judge()
        started_and_crashed(judge, key, starts, crashes)
        assert [item.rule for item in judge.violations] == rules, (key, starts, crashes)


def job_as_known(job_id, state):
    """
    Return a job as an instance knows it.
    """
    return SimpleNamespace(
        id=job_id, committed_state=state, is_long_running=False, cancelled=False, spec=SPEC
    )


def test_jobs_given_up_without_cause_are_checked():
    """
    A job may be failed once two workers have crashed under a task of it that crashes them, not for
    crashes under its other tasks.
    """
    for key, crashes, rules in (
        (CRASHING_TASK, 1, ["failed_with_cause"]),
        (CRASHING_TASK, 2, []),
        (CRASHING_TASK._replace(number=0), 5, ["failed_with_cause"]),
    ):
        judge = crashing_judge()
        started_and_crashed(judge, key, crashes, crashes)
        jobs = {CRASHING_JOB: job_as_known(CRASHING_JOB, "failed")}
        _rules.on_end_of_world(judge, 60.0, jobs)
        assert [item.rule for item in judge.violations] == rules, (key, crashes)


def test_only_jobs_that_crash_workers_may_stay_open():
    """
    A job with a task that crashes workers isn't missed at the end, another one is.
    """
    for crashing, rules in (({CRASHING_TASK}, []), (set(), ["accepted_is_finished"])):
        judge = crashing_judge()
        judge.crashing_tasks = crashing
        jobs = {CRASHING_JOB: job_as_known(CRASHING_JOB, "running")}
        _rules.on_end_of_world(judge, 60.0, jobs)
        assert [item.rule for item in judge.violations] == rules


def test_jobs_given_up_beside_crashing_tasks_are_checked():
    """
    Mutation: runs lost with their worker count as failed, and the check shows the jobs that are
    given up without cause.
    """
    real = _runs.Ended

    def as_failed(epoch, job, occurrence, step, index, run, how, saved):
        how = "failed" if how == "lost" else how
        return real(epoch, job, occurrence, step, index, run, how, saved)

    with mock.patch.object(_runs, "Ended", as_failed):
        results = [run_schedule(seed, OWNERS_LOST) for seed in (1, 2)]
    rules = {item.rule for result in results for item in result.violations}
    assert "failed_with_cause" in rules
