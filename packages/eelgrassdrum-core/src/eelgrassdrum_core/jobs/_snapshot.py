"""
Snapshots of the replicated state, which spare a starting instance the replay of the whole log.

The owner stores a snapshot from time to time and then trims the log before it. A snapshot may only
contain committed records, so it is taken while no record of the owner is pending.
"""

import zlib

import msgspec

from . import _fold, _journal, _replicated_state, effects, events
from ._node import Moment, Node, emit, log_line
from ._replicated_state import (
    InstanceOrder,
    Job,
    LearnedDuration,
    LeaseBound,
    PoolBurst,
    ReplicatedState,
    WorkerPlace,
)
from .model import JobPolicy, JobSpec

# Fractions of the log's retention, by time and by size, after which a snapshot is due, and after
# which no tasks are started until its state can be encoded. The rest is for failed attempts, for an
# outage of the store and for instances that are still reading the records.
DUE_FRACTION = 1 / 4
OVERDUE_FRACTION = 1 / 2
# Number of new records after which a snapshot is due. They amount to about 1.5 MB, which takes
# 2.5 s over the slowest links observed, and half a second to apply.
SNAPSHOT_INTERVAL_RECORDS = 20_000
# Number of records before a snapshot that are kept for instances that are still reading them.
RETAINED_RECORDS = 10_000
# Interval between attempts: each saturates the link of a small instance for a second. It is shorter
# where the log's retention is short.
RETRY_S = 10.0
RETRY_FRACTION = 1 / 20


class _TaskRow(msgspec.Struct, array_like=True):
    status: str
    run: int
    worker: str
    worker_incarnation: int
    failures: int
    checkpoint: str
    crashes: tuple[str, ...] = ()
    is_verified: bool = False
    needs_answer: bool = False


class _JobRow(msgspec.Struct, array_like=True):
    id: str
    queue: str
    service: str
    workspace: str
    spec: JobSpec
    at_ms: int
    state: str
    committed_state: str
    cancelled: bool
    closed_ms: int
    occurrences: dict[int, list[list[_TaskRow]]]
    policy: JobPolicy | None = None


class _Snapshot(msgspec.Struct, array_like=True):
    offset: int
    epoch: int
    owner: tuple[str, int] | None
    owner_address: str
    jobs: list[_JobRow]
    early_cancels: dict[str, int]
    orders: dict[str, InstanceOrder]
    maintained: dict[int, list[str]]
    closed_waves: list[int]
    log_s: float
    newest_heartbeat: tuple[int, int]
    owner_weakness: float | None = None
    least_weakness: float | None = None
    lease_bounds: dict[str, LeaseBound] = {}
    places: dict[str, WorkerPlace] = {}
    bursts: dict[str, PoolBurst] = {}
    lease_ms_by_claim: tuple[int, ...] = ()
    durations: dict[str, list[tuple[int, LearnedDuration]]] = {}
    tells_begins: bool = False


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Snapshot)


def encode(replicated: ReplicatedState, now_s: float, wall_ms: int) -> bytes:
    """
    Encode the replicated state as a snapshot.

    :param replicated: the replicated state.
    :param now_s: the current time by this instance's clock.
    :param wall_ms: the current Unix time.
    :returns: the compressed snapshot.
    """
    snapshot = _Snapshot(
        replicated.offset,
        replicated.epoch,
        replicated.owner,
        replicated.owner_address,
        [_job_row(job, now_s, wall_ms) for job in replicated.jobs.values()],
        replicated.early_cancels,
        replicated.orders,
        {wave: sorted(names) for wave, names in replicated.maintained.items()},
        sorted(replicated.closed_waves),
        replicated.log_s,
        replicated.newest_heartbeat,
        replicated.owner_weakness,
        replicated.least_weakness,
        replicated.lease_bounds,
        replicated.places,
        replicated.bursts,
        replicated.lease_ms_by_claim,
        _durations_by_queue(replicated),
        replicated.tells_begins,
    )
    return zlib.compress(_encoder.encode(snapshot), 1)


def decode(data: bytes, now_s: float, wall_ms: int) -> ReplicatedState | None:
    """
    Decode a snapshot.

    :param data: the compressed snapshot.
    :param now_s: the current time by this instance's clock.
    :param wall_ms: the current Unix time.
    :returns: the replicated state, or ``None`` if the data isn't a snapshot.
    """
    try:
        snapshot = _decoder.decode(zlib.decompress(data))
    except (msgspec.MsgspecError, zlib.error):
        return None
    replicated = ReplicatedState(
        offset=snapshot.offset,
        epoch=snapshot.epoch,
        owner=snapshot.owner,
        owner_address=snapshot.owner_address,
        early_cancels=snapshot.early_cancels,
        orders={
            name: msgspec.structs.replace(order, seen_s=now_s)
            for name, order in snapshot.orders.items()
        },
        maintained={wave: set(names) for wave, names in snapshot.maintained.items()},
        closed_waves=set(snapshot.closed_waves),
        log_s=snapshot.log_s,
        log_read_s=now_s,
        newest_heartbeat=snapshot.newest_heartbeat,
        owner_weakness=snapshot.owner_weakness,
        least_weakness=snapshot.least_weakness,
        places=snapshot.places,
        bursts=snapshot.bursts,
        lease_ms_by_claim=snapshot.lease_ms_by_claim,
        tells_begins=snapshot.tells_begins,
        durations={
            (queue, step): learned
            for queue, steps in snapshot.durations.items()
            for step, learned in steps
        },
        lease_bounds={
            worker: msgspec.structs.replace(bound, seen_s=now_s)
            for worker, bound in snapshot.lease_bounds.items()
        },
    )
    for row in snapshot.jobs:
        _restore_job(replicated, row, now_s, wall_ms)
    return replicated


def _durations_by_queue(
    replicated: ReplicatedState,
) -> dict[str, list[tuple[int, LearnedDuration]]]:
    by_queue: dict[str, list[tuple[int, LearnedDuration]]] = {}
    for (queue, step), learned in replicated.durations.items():
        by_queue.setdefault(queue, []).append((step, learned))
    return by_queue


def _needs_tasks(job: Job) -> bool:
    """
    Return whether the tasks of a job may still matter: the log doesn't show that it is closed, or a
    run has not ended.
    """
    if job.committed_state not in _replicated_state.FINAL_STATES:
        return True
    return any(
        task.status == _replicated_state.RUNNING
        for steps in job.occurrences.values()
        for state in steps
        for task in state.tasks
    )


def _job_row(job: Job, now_s: float, wall_ms: int) -> _JobRow:
    needs_tasks = _needs_tasks(job)
    occurrences = {
        number: [
            [
                _TaskRow(
                    task.status,
                    task.run,
                    task.worker,
                    task.worker_incarnation,
                    task.failures,
                    task.checkpoint,
                    task.crashes,
                    task.is_verified,
                    task.needs_answer,
                )
                for task in state.tasks
            ]
            for state in steps
        ]
        for number, steps in job.occurrences.items()
        if needs_tasks
    }
    closed_ms = wall_ms - round((now_s - job.closed_s) * 1000) if job.closed_s else 0
    return _JobRow(
        job.id,
        job.queue,
        job.service,
        job.workspace,
        job.spec if needs_tasks else msgspec.structs.replace(job.spec, payload=""),
        job.at_ms,
        job.state,
        job.committed_state,
        job.cancelled,
        closed_ms,
        occurrences,
        job.policy if needs_tasks else None,
    )


def _restore_job(replicated: ReplicatedState, row: _JobRow, now_s: float, wall_ms: int) -> None:
    job = Job(
        row.id,
        row.queue,
        row.service,
        row.workspace,
        row.spec,
        row.at_ms,
        now_s - max(0.0, (wall_ms - row.at_ms) / 1000),
        row.state,
        row.committed_state,
        row.cancelled,
        now_s - max(0.0, (wall_ms - row.closed_ms) / 1000) if row.closed_ms else 0.0,
        open_occurrences=max(1, row.spec.repeats),
        policy=row.policy,
    )
    if job.cancelled and job.committed_state in _replicated_state.FINAL_STATES:
        # Former releases took such a job as completed if its owner missed the cancellation.
        job.state = job.committed_state = _replicated_state.CANCELLED
    replicated.jobs[job.id] = job
    if job.state not in _replicated_state.FINAL_STATES:
        replicated.open_jobs[job.id] = job
    if job.state == _replicated_state.QUEUED and not job.spec.repeats:
        replicated.pending[job.queue] = replicated.pending.get(job.queue, 0) + 1
    for number, steps in row.occurrences.items():
        states = _replicated_state.occurrence_of(job, number)
        for state, rows in zip(states, steps, strict=True):
            for task, saved in zip(state.tasks, rows, strict=True):
                _restore_task(replicated, job, state, task, saved)
        if all(state.unfinished == 0 for state in states):
            job.open_occurrences -= 1


def _restore_task(
    replicated: ReplicatedState,
    job: Job,
    state: _replicated_state.StepState,
    task: _replicated_state.Task,
    row: _TaskRow,
) -> None:
    task.status = row.status
    task.run = row.run
    task.worker = row.worker
    task.worker_incarnation = row.worker_incarnation
    task.failures = row.failures
    task.checkpoint = row.checkpoint
    task.crashes = row.crashes
    task.is_verified = row.is_verified
    task.needs_answer = row.needs_answer
    _fold.add_suspect(replicated, task)
    if task.status != _replicated_state.WAITING:
        state.waiting -= 1
    if task.status == _replicated_state.DONE:
        state.unfinished -= 1
    if task.status == _replicated_state.RUNNING:
        replicated.running.setdefault(task.worker, {})[task.key] = task
        _fold.add_run(replicated, job, task)


def _may_store(node: Node, at: Moment) -> bool:
    return not node.is_snapshotting and at.now_s >= node.next_snapshot_s


def is_due(node: Node, at: Moment, fraction: float) -> bool:
    """
    Return whether the records since the last snapshot are many, or have come near the end of their
    retention. A new owner, which doesn't know the last snapshot, counts all records.

    :param node: the instance, which owns the log.
    :param at: the current time.
    :param fraction: fraction of the retention from which they count as near its end.
    :returns: whether the state should be stored.
    """
    if node.replicated.offset == node.snapshot_offset:
        return False
    bounds = node.bounds
    return (
        node.replicated.offset - node.snapshot_offset >= SNAPSHOT_INTERVAL_RECORDS
        or at.now_s - node.snapshot_s >= fraction * bounds.log_retention_s
        or node.tail.read_bytes - node.snapshot_bytes >= fraction * bounds.log_retention_bytes
    )


def is_awaited(node: Node, at: Moment) -> bool:
    """
    Return whether starts should wait until a snapshot can be taken, since it is overdue and records
    of the owner are always pending.

    :param node: the instance, which owns the log.
    :param at: the current time.
    :returns: whether to decide no starts. While attempts fail it isn't awaited.
    """
    is_known = node.snapshot_s > node.ownership.claimed_s
    since_s = node.snapshot_s if is_known else node.ownership.claimed_s
    is_overdue = at.now_s - since_s >= OVERDUE_FRACTION * node.bounds.log_retention_s
    return is_overdue and _may_store(node, at)


def write_if_due(node: Node, at: Moment) -> None:
    """
    Store a snapshot if one is due and no record is pending.

    :param node: the instance, which owns the log.
    :param at: the current time.
    """
    if not _may_store(node, at) or not is_due(node, at, DUE_FRACTION):
        return
    # The replicated state includes the owner's pending records, which must not be in a snapshot.
    if _journal.has_pending_records(node) or not node.tail.is_caught_up:
        return
    node.is_snapshotting = True
    node.snapshotting_s, node.snapshotting_bytes = at.now_s, node.tail.read_bytes
    data = encode(node.replicated, at.now_s, at.wall_ms)
    emit(node, effects.WriteSnapshot(node.replicated.offset, data))


def on_written(node: Node, at: Moment, event: events.SnapshotWritten) -> None:
    """
    Handle the outcome of storing a snapshot, and trim the log before it.

    :param node: the instance.
    :param at: the current time.
    :param event: outcome of the write.
    """
    node.is_snapshotting = False
    retry_s = min(RETRY_S, RETRY_FRACTION * node.bounds.log_retention_s)
    node.next_snapshot_s = at.now_s + retry_s
    if event.outcome != events.OK:
        log_line(node, "snapshot.not_stored", offset=event.offset, outcome=event.outcome)
        return
    node.snapshot_offset = event.offset
    node.snapshot_s, node.snapshot_bytes = node.snapshotting_s, node.snapshotting_bytes
    log_line(node, "snapshot.stored", offset=event.offset)
    before = event.offset - RETAINED_RECORDS
    if node.ownership.is_owner and before > 0:
        emit(node, effects.TrimLog(before))
