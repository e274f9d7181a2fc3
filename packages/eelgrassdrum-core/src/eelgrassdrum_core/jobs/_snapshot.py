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
    LeaseBound,
    PoolBurst,
    ReplicatedState,
    WorkerPlace,
)
from .model import JobSpec

# Number of new records after which a snapshot is due. They amount to about 1.5 MB, which takes
# 2.5 s over the slowest links observed, and half a second to apply.
SNAPSHOT_INTERVAL_RECORDS = 20_000
# Number of records before a snapshot that are kept for instances that are still reading them.
RETAINED_RECORDS = 10_000
# Minimum interval between two snapshots: each saturates the link of a small instance for a second.
RETRY_S = 10.0


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
        lease_bounds={
            worker: msgspec.structs.replace(bound, seen_s=now_s)
            for worker, bound in snapshot.lease_bounds.items()
        },
    )
    for row in snapshot.jobs:
        _restore_job(replicated, row, now_s, wall_ms)
    return replicated


def _job_row(job: Job, now_s: float, wall_ms: int) -> _JobRow:
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
    }
    closed_ms = wall_ms - round((now_s - job.closed_s) * 1000) if job.closed_s else 0
    return _JobRow(
        job.id,
        job.queue,
        job.service,
        job.workspace,
        job.spec,
        job.at_ms,
        job.state,
        job.committed_state,
        job.cancelled,
        closed_ms,
        occurrences,
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


def write_if_due(node: Node, at: Moment) -> None:
    """
    Store a snapshot if one is due and no record is pending.

    :param node: the instance, which owns the log.
    :param at: the current time.
    """
    is_due = node.replicated.offset - node.snapshot_offset >= SNAPSHOT_INTERVAL_RECORDS
    if not is_due or node.is_snapshotting or at.now_s < node.next_snapshot_s:
        return
    # The replicated state includes the owner's pending records, which must not be in a snapshot.
    if not _journal.is_idle(node) or not node.tail.is_caught_up:
        return
    node.is_snapshotting = True
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
    node.next_snapshot_s = at.now_s + RETRY_S
    if event.outcome != events.OK:
        log_line(node, "snapshot.not_stored", offset=event.offset, outcome=event.outcome)
        return
    node.snapshot_offset = event.offset
    log_line(node, "snapshot.stored", offset=event.offset)
    before = event.offset - RETAINED_RECORDS
    if node.ownership.is_owner and before > 0:
        emit(node, effects.TrimLog(before))
