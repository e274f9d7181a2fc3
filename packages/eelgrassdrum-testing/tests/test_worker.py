"""
Tests of the worker: leases, fences, usage and faults.
"""

from eelgrassdrum_testing import _task as task_module
from eelgrassdrum_testing import _worker as worker
from eelgrassdrum_testing._http_client import call
from eelgrassdrum_testing._process import processes, standin_command
from eelgrassdrum_testing._wait import wait_until


def worker_address():
    with processes() as start:
        yield start("worker", standin_command("worker")).address


def worker_state():
    return worker.WorkerState(id="w-1", cores=8, memory_gb=32, accelerators=1, usage_lag_s=2.0)


FIXTURES = {"state": worker_state, "address": worker_address}


def spec(task="t1", fence=1, **fields):
    defaults = {"lease_s": 5.0, "cores": 4, "memory_gb": 8, "run_s": 20.0}
    return task_module.TaskSpec(task=task, fence=fence, **{**defaults, **fields})


def raised(kind, function, *args):
    try:
        function(*args)
    except kind:
        return True
    return False


def test_a_task_whose_lease_lapses_stops_at_that_moment(state):
    """An unrenewed task works until its lease ends and no longer, and frees its room."""
    task = worker.start_task(state, spec(), 0.0)
    worker.advance(state, 100.0)
    assert (task.state, task.progress_s) == ("lapsed", 5.0)
    assert raised(task_module.TaskEndedError, worker.held_task, state, "t1", 1, 100.0)
    assert worker.start_task(state, spec("t2", cores=8), 100.0).state == "running"


def test_a_renewed_task_runs_to_its_end(state):
    """Renewals keep a task running until its work is done."""
    task = worker.start_task(state, spec(run_s=8.0), 0.0)
    worker.renew(worker.held_task(state, "t1", 1, 4.0), 5.0, 4.0)
    worker.advance(state, 7.9)
    assert task.state == "running"
    worker.advance(state, 8.0)
    assert (task.state, task.progress_s) == ("done", 8.0)


def test_a_stale_fence_is_refused_also_after_the_task_ended(state):
    """A caller with an older fence can neither act on a task nor start it again."""
    worker.start_task(state, spec(fence=3), 0.0)
    worker.held_task(state, "t1", 4, 1.0)
    assert raised(task_module.StaleFenceError, worker.held_task, state, "t1", 3, 1.0)
    worker.stop(worker.held_task(state, "t1", 4, 2.0), 2.0)
    assert raised(task_module.StaleFenceError, worker.start_task, state, spec(fence=3), 3.0)


def test_a_repeated_start_runs_once_and_a_newer_fence_starts_afresh(state):
    """The same fence gives the task that runs, and a newer one begins at its checkpoint."""
    task = worker.start_task(state, spec(), 0.0)
    assert worker.start_task(state, spec(), 1.0) is task
    worker.checkpoint(worker.held_task(state, "t1", 1, 2.0))
    again = worker.start_task(state, spec(fence=2, progress_s=task.checkpoint_s), 3.0)
    worker.advance(state, 4.0)
    assert (again.progress_s, len(worker.running_tasks(state))) == (3.0, 1)


def test_tasks_beyond_the_capacity_are_refused(state):
    """Cores, memory and accelerators of the running tasks stay within the worker's."""
    worker.start_task(state, spec(accelerators=1), 0.0)
    too_large = [spec("t2", cores=5), spec("t2", memory_gb=25), spec("t2", accelerators=1)]
    assert all(raised(task_module.NoRoomError, worker.start_task, state, s, 0.0) for s in too_large)
    assert worker.start_task(state, spec("t2"), 0.0).state == "running"


def test_usage_is_reported_one_lag_late_and_follows_the_throttle(state):
    """Reported cores change only once the lag has passed."""
    task = worker.start_task(state, spec(lease_s=60.0, used_cores=6.0), 0.0)
    worker.throttle(worker.held_task(state, "t1", 1, 4.0), 0.5, 4.0)
    seen = []
    for now_s in (1.9, 2.0, 5.9, 6.0):
        state.now_s = now_s
        seen.append(worker.reported_usage(state, task).cores)
    assert seen == [0.0, 6.0, 6.0, 3.0]


def test_a_throttled_task_works_more_slowly(state):
    """Progress follows the share of full speed."""
    task = worker.start_task(state, spec(lease_s=60.0), 0.0)
    worker.throttle(worker.held_task(state, "t1", 1, 4.0), 0.25, 4.0)
    worker.advance(state, 8.0)
    assert task.progress_s == 5.0


def test_a_worker_that_fails_everything_fails_each_task_soon(state):
    """Under the fault a task fails within the failing time, and not after it is cleared."""
    state.fail_all = True
    task = worker.start_task(state, spec(), 0.0)
    worker.advance(state, worker.FAIL_AFTER_S)
    assert task.state == "failed"
    state.fail_all = False
    other = worker.start_task(state, spec("t2"), 1.0)
    worker.advance(state, 2.0)
    assert other.state == "running"


def test_tasks_over_http_answer_refusals_by_kind(address):
    """Each refusal has its status, and the list shows what became of the tasks."""
    body = {"task": "t1", "lease_s": 60, "fence": 2, "cores": 8, "memory_gb": 8, "run_s": 60}
    assert call(address, "POST", "/tasks", body).json()["state"] == "running"
    assert call(address, "POST", "/tasks", {**body, "fence": 1}).status == 409
    assert call(address, "POST", "/tasks", {**body, "task": "t2", "cores": 30}).status == 503
    assert call(address, "POST", "/tasks/t1/renew", {"fence": 1, "lease_s": 9}).status == 409
    assert call(address, "POST", "/tasks/t9/stop", {"fence": 1}).status == 404
    throttled = call(address, "POST", "/tasks/t1/throttle", {"fence": 2, "speed": 0.5})
    checkpointed = call(address, "POST", "/tasks/t1/checkpoint", {"fence": 2}).json()
    assert throttled.status == 200
    assert checkpointed["checkpoint_s"] == checkpointed["progress_s"] > 0
    assert call(address, "POST", "/tasks/t1/stop", {"fence": 2}).json()["state"] == "stopped"
    assert call(address, "POST", "/tasks/t1/renew", {"fence": 2, "lease_s": 9}).status == 410
    assert [t["state"] for t in call(address, "GET", "/tasks").json()["tasks"]] == ["stopped"]


def test_a_failing_worker_over_http_fails_what_it_starts(address):
    """The fault that fails everything is set from outside."""
    call(address, "POST", "/faults", {"fail_all": True})
    body = {"task": "t1", "lease_s": 60, "fence": 1, "cores": 8, "memory_gb": 8, "run_s": 60}
    call(address, "POST", "/tasks", body)

    def failed():
        return call(address, "GET", "/tasks").json()["tasks"][0]["state"] == "failed"

    wait_until(failed)
