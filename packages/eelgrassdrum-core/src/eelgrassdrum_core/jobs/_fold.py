"""
Applies the records of the job log to the replicated state.
"""

from collections.abc import Callable, Iterable
from typing import Any

from . import _durations, _records, _replicated_state
from ._replicated_state import (
    InstanceOrder,
    Job,
    LeaseBound,
    PoolBurst,
    ReplicatedState,
    Task,
    WorkerPlace,
    find_task,
    latest_write_s,
    occurrence_of,
)
from .model import NO_RESOURCES, Resources, TaskKey

# Latest claims whose leases are known; more than can be made while a lease lasts.
MAX_KNOWN_CLAIMS = 16
FIRST_EPOCH = 1


def apply(replicated: ReplicatedState, record: _records.Record, now_s: float, wall_ms: int) -> None:
    """
    Apply a record. Records of an owner whose epoch isn't the current one have no effect.

    :param replicated: the replicated state, modified in place.
    :param record: the record.
    :param now_s: the current time by this instance's clock.
    :param wall_ms: the current Unix time.
    """
    if isinstance(record, _records.OWNER_RECORDS) and record.epoch != replicated.epoch:
        return
    _HANDLERS[type(record)](replicated, record, now_s, wall_ms)


def confirm(replicated: ReplicatedState, record: _records.Record) -> None:
    """
    Update what only committed records change: the states of jobs that callers are told, and whether
    a worker may get leases again.

    The final state of a job depends on the cancellations before it in the log, so these must have
    been applied.

    :param replicated: the replicated state, modified in place.
    :param record: the record, which is in the log.
    """
    if isinstance(record, _records.Closed):
        job = replicated.jobs.get(record.job)
        if job is not None and _is_closing(job):
            # The owner may not have known of an earlier cancellation.
            state = _replicated_state.CANCELLED if job.cancelled else record.state
            job.state = job.committed_state = state
    elif isinstance(record, _records.Begun):
        _confirm_begins(replicated, record.jobs)
    elif isinstance(record, _records.Started):
        if not replicated.tells_begins:
            _confirm_begins(replicated, (record.job,))
    elif isinstance(record, _records.LeaseLifted):
        bound = replicated.lease_bounds.get(record.worker)
        if bound is not None and bound.lifted_ms == record.clock_ms:
            del replicated.lease_bounds[record.worker]


def _confirm_begins(replicated: ReplicatedState, names: Iterable[str]) -> None:
    for name in names:
        job = replicated.jobs.get(name)
        if job is not None and job.committed_state == _replicated_state.QUEUED:
            job.committed_state = _replicated_state.RUNNING


def _is_closing(job: Job) -> bool:
    """
    Return whether the end of a job was written and isn't committed, as far as is known.
    """
    final = _replicated_state.FINAL_STATES
    return job.state in final and job.committed_state not in final


def _submitted(
    replicated: ReplicatedState, record: _records.Submitted, now_s: float, wall_ms: int
) -> None:
    if record.job in replicated.jobs:
        return
    age_s = max(0.0, (wall_ms - record.at_ms) / 1000)
    job = Job(
        record.job,
        record.queue,
        record.service,
        record.workspace,
        record.spec,
        record.at_ms,
        now_s - age_s,
        cancelled=replicated.early_cancels.pop(record.job, None) is not None,
        open_occurrences=max(1, record.spec.repeats),
        policy=record.policy,
    )
    replicated.jobs[job.id] = replicated.open_jobs[job.id] = job
    if not job.spec.repeats:
        replicated.pending[job.queue] = replicated.pending.get(job.queue, 0) + 1


def _cancelled(
    replicated: ReplicatedState, record: _records.Cancelled, _now_s: float, _wall_ms: int
) -> None:
    job = replicated.jobs.get(record.job)
    if job is None:
        replicated.early_cancels[record.job] = record.at_ms
    elif job.committed_state not in _replicated_state.FINAL_STATES:
        job.cancelled = True


def _claimed(
    replicated: ReplicatedState, record: _records.Claimed, _now_s: float, _wall_ms: int
) -> None:
    if record.epoch > replicated.epoch:
        replicated.epoch = record.epoch
        replicated.owner = (record.instance, record.incarnation)
        replicated.owner_address = record.address
        replicated.owner_weakness = record.weakness
        replicated.tells_begins = record.tells_begins
        if record.weakness is not None:
            least = replicated.least_weakness
            replicated.least_weakness = (
                record.weakness if least is None else min(least, record.weakness)
            )
        if not record.keeps_bounds:
            replicated.lease_bounds.clear()
        known = replicated.lease_ms_by_claim
        if not known and record.epoch > FIRST_EPOCH:
            # The former claims have been trimmed, or a snapshot doesn't tell their leases.
            known = (0,)
        replicated.lease_ms_by_claim = (*known, record.lease_ms)[-MAX_KNOWN_CLAIMS:]


def _released(
    replicated: ReplicatedState, _record: _records.Released, _now_s: float, _wall_ms: int
) -> None:
    replicated.owner = None


def _owner_heartbeat(
    replicated: ReplicatedState, record: _records.OwnerHeartbeat, now_s: float, _wall_ms: int
) -> None:
    _advance_clock(replicated, record, now_s)


def _lease_bounded(
    replicated: ReplicatedState, record: _records.LeaseBounded, now_s: float, _wall_ms: int
) -> None:
    if (record.epoch, record.clock_ms) < replicated.newest_heartbeat:
        # A snapshot contains it and what followed: the owner applies its records before it reads
        # them.
        return
    _advance_clock(replicated, record, now_s)
    if record.worker in replicated.running:
        replicated.lease_bounds[record.worker] = LeaseBound(
            record.incarnation, record.left_ms / 1000, now_s, replicated.log_s
        )


def _lease_lifted(
    replicated: ReplicatedState, record: _records.LeaseLifted, now_s: float, _wall_ms: int
) -> None:
    _advance_clock(replicated, record, now_s)
    bound = replicated.lease_bounds.get(record.worker)
    if bound is not None:
        bound.lifted_ms = record.clock_ms


def _advance_clock(
    replicated: ReplicatedState,
    record: _records.OwnerHeartbeat | _records.LeaseBounded | _records.LeaseLifted,
    now_s: float,
) -> None:
    epoch, clock_ms = replicated.newest_heartbeat
    if epoch == record.epoch:
        replicated.log_s += max(0, record.clock_ms - clock_ms) / 1000
    else:
        # The time between the records of two owners isn't part of the log's time.
        for bound in replicated.lease_bounds.values():
            bound.seen_s = latest_write_s(replicated, bound)
    replicated.newest_heartbeat = max(replicated.newest_heartbeat, (record.epoch, record.clock_ms))
    replicated.log_read_s = now_s


def _started(
    replicated: ReplicatedState, record: _records.Started, _now_s: float, _wall_ms: int
) -> None:
    key = TaskKey(record.job, record.occurrence, record.step, record.index)
    task = find_task(replicated, key)
    if task is None or record.run <= task.run:
        return
    job = replicated.jobs[record.job]
    if not replicated.tells_begins:
        _begin(replicated, job)
    steps = occurrence_of(job, record.occurrence)
    if task.status == _replicated_state.WAITING:
        steps[record.step].waiting -= 1
    task.status = _replicated_state.RUNNING
    task.run = record.run
    task.worker = record.worker
    task.worker_incarnation = record.worker_incarnation
    task.is_verified = record.is_verified
    replicated.running.setdefault(record.worker, {})[key] = task
    if record.address:
        _place_worker(replicated, record)
    add_run(replicated, job, task)


def _begun(
    replicated: ReplicatedState, record: _records.Begun, _now_s: float, _wall_ms: int
) -> None:
    for name in record.jobs:
        job = replicated.jobs.get(name)
        if job is not None:
            _begin(replicated, job)


def _begin(replicated: ReplicatedState, job: Job) -> None:
    if job.state == _replicated_state.QUEUED:
        job.state = _replicated_state.RUNNING
        _remove_pending(replicated, job)


def _place_worker(replicated: ReplicatedState, record: _records.Started) -> None:
    former = replicated.places.get(record.worker)
    is_used = former is not None and former.incarnation == record.worker_incarnation
    used_log_s = former.used_log_s if former is not None and is_used else replicated.log_s
    replicated.places[record.worker] = WorkerPlace(
        record.address, record.instance, record.worker_incarnation, used_log_s
    )


def _ended(
    replicated: ReplicatedState, record: _records.Ended, _now_s: float, _wall_ms: int
) -> None:
    key = TaskKey(record.job, record.occurrence, record.step, record.index)
    task = find_task(replicated, key)
    if task is None or record.run != task.run:
        return
    job = replicated.jobs[record.job]
    steps = occurrence_of(job, record.occurrence)
    state = steps[record.step]
    is_completion = record.end_state == _replicated_state.DONE and not state.step.is_long_running
    # A run that was recorded as lost may turn out to have completed.
    is_late_completion = is_completion and task.status == _replicated_state.WAITING
    if task.status != _replicated_state.RUNNING and not is_late_completion:
        return
    _remove_run(replicated, job, task)
    if record.checkpoint:
        task.checkpoint = record.checkpoint
    if record.is_established:
        _clear_suspicion(replicated, task)
    if is_completion:
        _durations.learn(replicated, job, record.step, record.ran_ms)
        _finish_tasks(replicated, job, steps, state, task)
        return
    task.status = _replicated_state.WAITING
    state.waiting += 1
    if record.end_state == _replicated_state.FAILED:
        task.failures += 1
    elif record.end_state == _replicated_state.CRASHED:
        task.crashes = (*task.crashes, task.worker)
        add_suspect(replicated, task)
    elif record.end_state == _replicated_state.UNCONFIRMED:
        task.needs_answer = True


def add_suspect(replicated: ReplicatedState, task: Task) -> None:
    """
    Add a task to the suspects if workers have crashed under it and it may start again.

    :param replicated: the replicated state, modified in place.
    :param task: the task.
    """
    is_open = task.key.job in replicated.open_jobs and task.status != _replicated_state.DONE
    if task.crashes and is_open:
        replicated.suspects.setdefault(task.key.job, {})[task.key] = task


def _clear_suspicion(replicated: ReplicatedState, task: Task) -> None:
    task.crashes = ()
    task.needs_answer = False
    tasks = replicated.suspects.get(task.key.job, {})
    if tasks.pop(task.key, None) is not None and not tasks:
        del replicated.suspects[task.key.job]


def _finish_tasks(
    replicated: ReplicatedState,
    job: Job,
    steps: list[_replicated_state.StepState],
    state: _replicated_state.StepState,
    task: Task,
) -> None:
    # When one member of a gang completes, the whole gang is done.
    finished = state.tasks if state.step.gang else [task]
    for member in finished:
        if member.status == _replicated_state.DONE:
            continue
        if member.status == _replicated_state.WAITING:
            state.waiting -= 1
        _remove_run(replicated, job, member)
        member.status = _replicated_state.DONE
        _clear_suspicion(replicated, member)
        state.unfinished -= 1
    if all(other.unfinished == 0 for other in steps):
        job.open_occurrences -= 1


def add_run(replicated: ReplicatedState, job: Job, task: Task) -> None:
    """
    Add the resources of a run to the load of its worker and the usage of its workspace.

    :param replicated: the replicated state, modified in place.
    :param job: the job.
    :param task: the running task.
    """
    step = job.spec.steps[task.key.step]
    resources = occurrence_of(job, task.key.occurrence)[task.key.step].resources
    replicated.load[task.worker] = replicated.load.get(task.worker, NO_RESOURCES).plus(resources)
    replicated.used[job.workspace] = replicated.used.get(job.workspace, NO_RESOURCES).plus(
        Resources(*step.need)
    )


def _remove_run(replicated: ReplicatedState, job: Job, task: Task) -> None:
    runs = replicated.running.get(task.worker)
    if runs is None or runs.pop(task.key, None) is None:
        return
    step = job.spec.steps[task.key.step]
    resources = occurrence_of(job, task.key.occurrence)[task.key.step].resources
    replicated.load[task.worker] = replicated.load[task.worker].minus(resources)
    replicated.used[job.workspace] = replicated.used[job.workspace].minus(Resources(*step.need))
    if not runs:
        del replicated.running[task.worker]
        del replicated.load[task.worker]
        replicated.lease_bounds.pop(task.worker, None)
        replicated.places.pop(task.worker, None)


def _closed(
    replicated: ReplicatedState, record: _records.Closed, now_s: float, _wall_ms: int
) -> None:
    job = replicated.open_jobs.pop(record.job, None)
    if job is None:
        return
    if job.state == _replicated_state.QUEUED:
        _remove_pending(replicated, job)
    job.state = record.state
    job.closed_s = now_s
    replicated.suspects.pop(job.id, None)


def _policy_set(
    replicated: ReplicatedState, record: _records.PolicySet, _now_s: float, _wall_ms: int
) -> None:
    job = replicated.jobs.get(record.job)
    if job is not None:
        job.policy = record.policy


def _instance_ordered(
    replicated: ReplicatedState, record: _records.InstanceOrdered, now_s: float, _wall_ms: int
) -> None:
    replicated.orders[record.instance] = InstanceOrder(
        record.wave, record.pool, record.epoch, record.at_ms, now_s, log_s=replicated.log_s
    )


def _instance_done(
    replicated: ReplicatedState, record: _records.InstanceDone, _now_s: float, _wall_ms: int
) -> None:
    order = replicated.orders.get(record.instance)
    if order is not None and order.wave == record.wave:
        order.is_done = True
    if record.wave >= 0:
        replicated.maintained.setdefault(record.wave, set()).add(record.instance)


def _wave_closed(
    replicated: ReplicatedState, record: _records.WaveClosed, _now_s: float, _wall_ms: int
) -> None:
    replicated.closed_waves.add(record.wave)


def _burst_seen(
    replicated: ReplicatedState, record: _records.BurstSeen, _now_s: float, _wall_ms: int
) -> None:
    epoch, clock_ms = replicated.newest_heartbeat
    age_s = max(0, clock_ms - record.begun_ms) / 1000 if epoch == record.epoch else 0.0
    replicated.bursts[record.pool] = PoolBurst(
        replicated.log_s - age_s, record.millicores, record.is_in_turn
    )


def _remove_pending(replicated: ReplicatedState, job: Job) -> None:
    if not job.spec.repeats:
        replicated.pending[job.queue] -= 1


def remove_expired(replicated: ReplicatedState, now_s: float, keep_s: float) -> None:
    """
    Remove jobs that ended so long ago that callers can no longer look them up.

    :param replicated: the replicated state, modified in place.
    :param now_s: the current time by this instance's clock.
    :param keep_s: seconds for which an ended job is kept.
    """
    old = [
        job.id
        for job in replicated.jobs.values()
        if job.state in _replicated_state.FINAL_STATES and now_s - job.closed_s > keep_s
    ]
    for job_id in old:
        del replicated.jobs[job_id]


_HANDLERS: dict[type, Callable[[ReplicatedState, Any, float, int], None]] = {
    _records.Submitted: _submitted,
    _records.Cancelled: _cancelled,
    _records.Claimed: _claimed,
    _records.Released: _released,
    _records.OwnerHeartbeat: _owner_heartbeat,
    _records.Started: _started,
    _records.Begun: _begun,
    _records.Ended: _ended,
    _records.Closed: _closed,
    _records.PolicySet: _policy_set,
    _records.InstanceOrdered: _instance_ordered,
    _records.InstanceDone: _instance_done,
    _records.WaveClosed: _wave_closed,
    _records.BurstSeen: _burst_seen,
    _records.LeaseBounded: _lease_bounded,
    _records.LeaseLifted: _lease_lifted,
}
