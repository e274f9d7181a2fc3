"""
Tasks under which workers crash: what counts, what is kept apart, and which jobs are given up.
"""

import zlib

import msgspec

from eelgrassdrum_core.jobs import ReplicatedState, effects, events, model
from eelgrassdrum_core.jobs import _fold as fold
from eelgrassdrum_core.jobs import _records as records
from eelgrassdrum_core.jobs import _snapshot as snapshot
from eelgrassdrum_core.jobs._runs import ESTABLISHED_S, fencing_token
from eelgrassdrum_testing.jobs.owner import (
    START_S,
    WALL_MS,
    commit,
    feed,
    hand_in,
    logged,
    make_owner_config,
    one_step,
    owner_of,
    read_to_end,
    started,
    worker_entry,
)

FIRST_S = START_S + 3.0
# From a start to the crash, and from the crash to the next plan.
SHORT_S = 0.1
SIZE = model.Resources(4000, 64_000, 0)
CULPRIT = model.TaskKey("culprit", 0, 0, 0)
# Starts after the third crash under a task that break its budget.
MAX_FURTHER_STARTS = 3


def run_everything(node, now_s):
    """
    Commit the decided starts, let each worker list its runs, and plan again.
    """
    produced = []
    read_to_end(node, now_s)
    for order in commit(node, now_s):
        answer = events.StartAnswered(order.worker, order.key, order.run, events.OK, "", 6000)
        produced += feed(node, now_s, answer)
    for worker in list(node.workers.values()):
        if worker.is_listed and not worker.is_failing:
            produced += list_runs(node, worker.id, now_s)
    return produced


def list_runs(node, worker_id, now_s, percent=10):
    """
    Let a worker list the runs that the log has on it.
    """
    worker = node.workers[worker_id]
    rows = tuple(
        model.RunRow(key, task.run, "", percent, 0.0)
        for key, task in node.replicated.running.get(worker_id, {}).items()
    )
    token, incarnation = fencing_token(node, worker), worker.entry.incarnation
    answer = events.HoldAnswered(worker_id, token, now_s, 6000, incarnation, rows, ())
    return feed(node, now_s, answer)


def crash(node, worker_id, now_s):
    """
    Let a worker crash, and let the machine service show its instance as down.
    """
    worker = node.workers[worker_id]
    produced = feed(
        node, now_s, events.HoldFailed(worker_id, "closed", fencing_token(node, worker), now_s)
    )
    listed_s = now_s + 0.01
    row = model.InstanceRow(worker.entry.instance, "service", "down", "z", "r1", SIZE, "")
    produced += feed(node, listed_s, events.InstancesListed((row,), listed_s))
    return produced


def replace(node, worker_id, number, now_s):
    """
    Let the instance of a crashed worker come back with another worker.
    """
    entry = node.workers[worker_id].entry._replace(id=f"{worker_id}.{number}", incarnation=8)
    entries = {worker_id: None, entry.id: entry}
    feed(node, now_s, events.WorkersRead(2, False, entries))
    read_to_end(node, now_s)
    return list_runs(node, entry.id, now_s)


def hosts(node, key):
    """
    Return the worker on which a task runs, or an empty string.
    """
    for worker_id, tasks in node.replicated.running.items():
        if key in tasks:
            return worker_id
    return ""


def crash_until_closed(node, key, rounds=8):
    """
    Let each worker that starts a task crash, and return the number of its starts.
    """
    starts = 0
    for number in range(rounds):
        now_s = FIRST_S + 1 + number
        run_everything(node, now_s)
        worker_id = hosts(node, key)
        if not worker_id:
            break
        starts += 1
        crash(node, worker_id, now_s + SHORT_S)
        replace(node, worker_id, number, now_s + 3 * SHORT_S)
    return starts


# Guards against a task that crashes one worker after another without end.
def test_a_task_that_crashes_its_workers_fails_its_job():
    """
    A task that crashes each worker is started few times, and its job is shown as failed.
    """
    node = owner_of([worker_entry(f"w{number}") for number in range(10)])
    hand_in(node, [("culprit", "usual", (one_step(),), 0.0)])
    assert crash_until_closed(node, CULPRIT) < 3 + MAX_FURTHER_STARTS
    assert node.replicated.jobs["culprit"].state == "failed"


# Guards against neighbours that are given up for the crashes that another task causes.
def test_neighbours_of_a_crashing_task_are_kept():
    """
    Jobs that share workers with a task that crashes them are not given up and keep running.
    """
    node = owner_of([worker_entry(f"w{number}", 8000) for number in range(4)])
    neighbours = [(f"n{number}", "usual", (one_step(),), 0.0) for number in range(6)]
    hand_in(node, [("culprit", "usual", (one_step(),), 0.0), *neighbours])
    crash_until_closed(node, CULPRIT)
    run_everything(node, FIRST_S + 20)
    jobs = node.replicated.jobs
    assert jobs["culprit"].state == "failed"
    assert {jobs[name].state for name, *_rest in neighbours} == {"running"}
    assert all(hosts(node, model.TaskKey(name, 0, 0, 0)) for name, *_rest in neighbours)


# Guards against crashes that a new owner doesn't know of.
def test_crashes_are_counted_across_owners_and_snapshots():
    """
    The crashes under a task outlive the owner and a snapshot.
    """
    replicated = ReplicatedState()
    spec = model.JobSpec("x", (one_step(),))
    items = [records.Submitted("culprit", "usual", "service", "a", spec, WALL_MS)]
    for epoch in (1, 2, 3):
        items += [
            records.Claimed(epoch, "entry", 1),
            records.Started(epoch, *CULPRIT, epoch, f"w{epoch}", 1),
            records.Ended(epoch, *CULPRIT, epoch, "crashed", ""),
        ]
    for item in items:
        fold.apply(replicated, item, 10.0, WALL_MS)
    data = snapshot.encode(replicated, 10.0, WALL_MS)
    restored = snapshot.decode(data, 10.0, WALL_MS)
    for state in (replicated, restored):
        assert state.suspects["culprit"][CULPRIT].crashes == ("w1", "w2", "w3")


# Guards against records and snapshots of former versions that can't be read.
def test_records_and_snapshots_without_crashes_are_read():
    """
    A record and a snapshot written before crashes were counted are read.
    """
    encoded = msgspec.msgpack.encode(["e", 1, *CULPRIT, 1, "lost", ""])
    assert records.decode_record(encoded) == records.Ended(1, *CULPRIT, 1, "lost", "")
    replicated = ReplicatedState()
    spec = model.JobSpec("x", (one_step(),))
    for item in (
        records.Submitted("culprit", "usual", "service", "a", spec, WALL_MS),
        records.Claimed(1, "entry", 1),
        records.Started(1, *CULPRIT, 1, "w", 1),
    ):
        fold.apply(replicated, item, 10.0, WALL_MS)
    rows = msgspec.msgpack.decode(zlib.decompress(snapshot.encode(replicated, 10.0, WALL_MS)))
    task_rows = rows[4][0][10][0][0]
    task_rows[:] = [row[:6] for row in task_rows]
    former = zlib.compress(msgspec.msgpack.encode(rows))
    restored = snapshot.decode(former, 10.0, WALL_MS)
    assert restored is not None
    assert CULPRIT in restored.running["w"]


# Guards against cut workers that count as crashed.
def test_a_cut_worker_is_no_crash():
    """
    The runs of a worker that is cut off until its lease has expired are lost, not crashed.
    """
    node = owner_of([worker_entry("w0"), worker_entry("w1")])
    hand_in(node, [("job", "usual", (one_step(),), 0.0)])
    run_everything(node, FIRST_S + 1)
    worker = node.workers[hosts(node, model.TaskKey("job", 0, 0, 0))]
    failure = events.HoldFailed(worker.id, "timeout", fencing_token(node, worker), FIRST_S + 1.1)
    feed(node, FIRST_S + 1.1, failure)
    produced = []
    for second in range(2, 14):
        read_to_end(node, FIRST_S + second)
        produced += feed(node, FIRST_S + second, events.Ticked())
        commit(node, FIRST_S + second)
    assert [line["how"] for line in logged(produced, "run.ended")] == ["lost"]
    assert not node.replicated.suspects


# Guards against planned work that counts as a crash.
def test_a_worker_of_an_ordered_instance_is_no_crash():
    """
    The runs on an instance that an order takes down are lost, not crashed.
    """
    node = owner_of([worker_entry("w0"), worker_entry("w1")])
    hand_in(node, [("job", "usual", (one_step(),), 0.0)])
    run_everything(node, FIRST_S + 1)
    worker_id = hosts(node, model.TaskKey("job", 0, 0, 0))
    node.fleet.draining[node.workers[worker_id].entry.instance] = "maintenance"
    produced = crash(node, worker_id, FIRST_S + 1.1)
    assert [line["how"] for line in logged(produced, "run.ended")] == ["lost"]


def test_a_restart_under_the_same_id_is_a_crash():
    """
    The runs of a worker's former incarnation end as crashed once the next one lists none, except
    those whose orders were not sent.
    """
    node = owner_of([worker_entry("w0")])
    hand_in(node, [("job", "usual", (one_step(),), 0.0)])
    run_everything(node, FIRST_S + 1)
    hand_in(node, [("unsent", "usual", (one_step(),), 0.0)], FIRST_S + 1.1)
    worker = node.workers["w0"]
    entry = worker.entry._replace(incarnation=8)
    produced = feed(node, FIRST_S + 1.2, events.WorkersRead(2, False, {"w0": entry}))
    answer = events.HoldAnswered("w0", fencing_token(node, worker), FIRST_S + 1.2, 5, 8, (), ())
    produced += feed(node, FIRST_S + 1.2, answer)
    ends = {line["job"]: line["how"] for line in logged(produced, "run.ended")}
    assert ends == {"unsent": "unsent", "job": "crashed"}


# Guards against long-running tasks that are suspected for the crashes of their neighbours.
def test_a_long_running_task_that_was_up_is_no_suspect():
    """
    A long-running task that has been up for a while isn't suspected, one that has just started is.
    """
    node = owner_of([worker_entry("w0"), worker_entry("w1")])
    hand_in(node, [("job", "usual", (one_step(is_long_running=True),), 0.0)])
    run_everything(node, FIRST_S + 1)
    key = model.TaskKey("job", 0, 0, 0)
    crash(node, hosts(node, key), FIRST_S + 1.1)
    assert len(node.replicated.suspects["job"][key].crashes) == 1
    run_everything(node, FIRST_S + 2)
    worker_id = hosts(node, key)
    list_runs(node, worker_id, FIRST_S + 2 + ESTABLISHED_S, percent=100)
    crash(node, worker_id, FIRST_S + 2.1 + ESTABLISHED_S)
    assert not node.replicated.suspects


def add_crashes(node, key, workers):
    """
    Let a waiting task have crashed under workers.
    """
    task = fold.find_task(node.replicated, key)
    task.crashes = tuple(workers)
    fold.add_suspect(node.replicated, task)


def plan_suspects(node, crashes, steps, now_s=FIRST_S + 2):
    """
    Submit a job while the log can't be written, let its tasks have crashed workers, and plan.
    """
    node.next_plan_s = now_s
    hand_in(node, [("suspect", "usual", steps, 0.0)], now_s - 0.1)
    for step in range(len(steps)):
        for number in range(steps[step].count):
            add_crashes(node, model.TaskKey("suspect", 0, step, number), crashes)
    return started(read_to_end(node, now_s))


# Guards against tasks of other jobs that share a worker with the task that crashes it.
def test_a_suspect_is_isolated():
    """
    A task with several crashes starts on an empty worker, and nothing else starts there.
    """
    node = owner_of([worker_entry("busy", 8000), worker_entry("empty", 9000)])
    hand_in(node, [("other", "usual", (one_step(),), 0.0)])
    run_everything(node, FIRST_S + 1)
    assert hosts(node, model.TaskKey("other", 0, 0, 0)) == "busy"
    placed = plan_suspects(node, ("x", "y"), (one_step(),), FIRST_S + 1.2)
    assert placed == [("suspect", "empty")]
    later = [("later", "urgent", (one_step(10),), 0.0)]
    assert {worker for _job, worker in hand_in(node, later, FIRST_S + 1.3)} == {"busy"}


# Guards against a suspect that waits for an empty worker as long as others keep all busy.
def test_a_worker_is_emptied_for_a_suspect():
    """
    While no worker is empty, one gets no new tasks, and the suspect starts there once it is empty.
    """
    node = owner_of([worker_entry("w0", 2000), worker_entry("w1", 8000)])
    hand_in(node, [("a", "usual", (one_step(2),), 0.0), ("b", "usual", (one_step(8),), 0.0)])
    run_everything(node, FIRST_S + 1)
    assert plan_suspects(node, ("x", "y"), (one_step(),), FIRST_S + 1.2) == []
    assert hand_in(node, [("c", "urgent", (one_step(),), 0.0)], FIRST_S + 1.3) == []
    assert end_task(node, model.TaskKey("a", 0, 0, 0), 1, FIRST_S + 1.4) == []
    assert end_task(node, model.TaskKey("a", 0, 0, 1), 2, FIRST_S + 1.5) == [("suspect", "w0")]


def end_task(node, key, number, now_s):
    """
    Let the worker "w0" list a task as done, and return the tasks that are decided then.
    """
    worker = node.workers["w0"]
    token, incarnation = fencing_token(node, worker), worker.entry.incarnation
    rows = tuple(row for row in worker.rows.values() if row.key != key)
    ends = (model.EndRow(number, key, 1, "done", ""),)
    answer = events.HoldAnswered("w0", token, now_s, 6000, incarnation, rows, ends)
    read_to_end(node, now_s)
    produced = feed(node, now_s, answer)
    commit(node, now_s)
    return started(produced)


# Guards against a job whose tasks all crash workers and that takes a whole pool with it.
def test_suspects_of_a_job_start_on_one_worker_at_a_time():
    """
    Tasks of a job with one crash each start on one worker only while none is done.
    """
    node = owner_of([worker_entry(f"w{number}", 2000) for number in range(5)])
    placed = plan_suspects(node, ("x",), (one_step(6),))
    assert len({worker for _job, worker in placed}) == 1


def test_a_pool_wants_a_worker_for_an_isolated_task():
    """
    A task that must be isolated counts as a whole worker in the size of its pool.
    """
    config = make_owner_config()
    services = {**config.services, "standby": model.Service("standby", False, True)}
    node = owner_of([worker_entry("w0")], config._replace(services=services))
    row = model.InstanceRow("m-w0", "service", "up", "z", "r1", SIZE, "w0")

    def wanted(now_s):
        commit(node, now_s)
        read_to_end(node, now_s)
        feed(node, now_s, events.InstancesListed((row,), now_s))
        feed(node, now_s, events.Ticked())
        return node.pools["service"].wanted

    hand_in(node, [("suspect", "usual", (one_step(),), 0.0)])
    before = wanted(FIRST_S + 0.5)
    add_crashes(node, CULPRIT._replace(job="suspect"), ("x", "y"))
    assert wanted(FIRST_S + 1.0) == before + 1


# Guards against innocent jobs that are given up since their workers crash for other reasons.
def test_a_flapping_instance_gives_up_no_job():
    """
    Jobs that share an instance which crashes again and again are not given up.
    """
    node = owner_of([worker_entry("w0", 4000), worker_entry("w1", 8000)])
    jobs = [(f"j{number}", "usual", (one_step(),), 0.0) for number in range(4)]
    hand_in(node, jobs)
    worker_id = "w0"
    for number in range(6):
        now_s = FIRST_S + 1 + number
        run_everything(node, now_s)
        crash(node, worker_id, now_s + SHORT_S)
        replace(node, worker_id, number, now_s + 3 * SHORT_S)
        worker_id = f"{worker_id}.{number}"
    assert {job.state for job in node.replicated.jobs.values()} == {"running"}


def test_a_job_that_is_given_up_is_logged():
    """
    The log line names the job, the task, the workers that crashed and the reason.
    """
    node = owner_of([worker_entry("w0"), worker_entry("w1")])
    plan_suspects(node, ("x", "y"), (one_step(),))
    run_everything(node, FIRST_S + 2.1)
    worker_id = hosts(node, CULPRIT._replace(job="suspect"))
    produced = crash(node, worker_id, FIRST_S + 2.2)
    (line,) = logged(produced, "job.given_up")
    assert line["job"] == "suspect"
    assert line["workers"] == ["x", "y", worker_id]
    assert line["reason"] == "workers_crashed"
    assert not any(isinstance(item, effects.StartTask) for item in produced)
