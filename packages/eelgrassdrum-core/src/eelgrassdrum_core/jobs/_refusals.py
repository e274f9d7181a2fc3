"""
Refuses jobs that a pool with too little room can't serve in time to be of use.

The owner of the log decides when callers' records reach it, before they are appended, so that a
refused job is in no log. What it can't judge is accepted: jobs that may already be in the log, jobs
that it knows nothing about, and all jobs while its own plan is paused or old.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from functools import cache
from typing import NamedTuple

import msgspec

from . import _admission, _durations, _journal, _planner, _policies, _start_order
from ._admission import NewJob, PoolLoad, Verdict
from ._node import Batch, Moment, Node, log_line
from ._ready import critical_path_s
from ._records import Cancelled, Record, Submitted, decode_record, encode_records
from ._replicated_state import Job
from .model import Queue, Refusal, Resources

# Lines about single refusals per second and pool; further ones are counted.
LINES_PER_S = 3
LINE_INTERVAL_S = 1.0
# Time after which the record of an accepted job has been read, or was not appended.
MAX_ADMITTED_S = 2.0
# Refused jobs whose first attempt is remembered; more than callers return for within some seconds.
MAX_REFUSED = 4_096
# Time after its first refusal in which a job that comes is a return of the same caller.
MAX_RETURN_S = 10.0
# Workspaces that the line about further refusals names.
NAMED_WORKSPACES = 5


class RefusalLines(msgspec.Struct, eq=False):
    """
    Lines about the refusals of a pool.

    :param since_s: begin of the interval to which the rest applies.
    :param written: lines about single refusals.
    :param further: refusals without a line, by workspace.
    """

    since_s: float
    written: int = 0
    further: Counter[str] = msgspec.field(default_factory=Counter)


class Admitted(NamedTuple):
    """
    An accepted job whose record isn't in the replicated state yet.

    :param since_s: when it was accepted.
    """

    pool: str
    job: NewJob
    since_s: float


def select_accepted(
    node: Node, at: Moment, records: tuple[bytes, ...], may_refuse: bool
) -> tuple[tuple[bytes, ...], tuple[Refusal, ...]]:
    """
    Decide which of some callers' records are appended.

    :param node: the instance, which owns the log.
    :param at: the current time.
    :param records: the encoded records.
    :param may_refuse: whether the sender handles refusals and none of the records can be in the log
        already.
    :returns: the records to append, and the refusals of the others.
    """
    if not (node.pool_loads or node.refused_s) or _planner.is_paused(node, at):
        return records, ()
    _complete_loads(node, at)
    decoded = [decode_record(data) for data in records]
    is_pending = _make_pending_check(node, decoded)
    verdicts: dict[str, Refusal | None] = {}
    for record in decoded:
        if isinstance(record, Submitted) and record.job not in verdicts:
            verdicts[record.job] = _judge(node, at, record, may_refuse, is_pending)
    refused = tuple(refusal for refusal in verdicts.values() if refusal is not None)
    names = {refusal.job for refusal in refused}
    kept: list[bytes] = []
    for data, record in zip(records, decoded, strict=True):
        if not isinstance(record, Submitted):
            kept.append(data)
        elif record.job not in names:
            kept.append(_with_age(node, at, data, record))
    return tuple(kept), refused


def _make_pending_check(node: Node, records: Iterable[Record | None]) -> Callable[[str], bool]:
    """
    Build the function that tells whether the record of a job that isn't in the replicated state may
    be in the log, or is cancelled together with its submission.
    """

    @cache
    def pending() -> frozenset[str]:
        journal, intake = node.journal, node.intake
        batches = list(_journal.waiting_batches(journal))
        if journal.in_flight is not None:
            batches.append(journal.in_flight)
        jobs = {job for batch in batches for job in _jobs_of(batch)}
        jobs |= {record.job for record in records if isinstance(record, Cancelled)}
        if intake.is_uncertain:
            own = (call.record for call in intake.batch)
            jobs |= {record.job for record in own if isinstance(record, Submitted)}
        return frozenset(jobs)

    def is_pending(job_id: str) -> bool:
        is_cancelled = job_id in node.replicated.early_cancels
        return is_cancelled or job_id in node.intake.accepted or job_id in pending()

    return is_pending


def _jobs_of(batch: Batch) -> set[str]:
    decoded = (decode_record(data) for item in batch.callers for data in item.records)
    return {record.job for record in decoded if isinstance(record, Submitted)}


def _judge(
    node: Node,
    at: Moment,
    record: Submitted,
    may_refuse: bool,
    is_pending: Callable[[str], bool],
) -> Refusal | None:
    """
    Return the refusal of a job, or ``None`` if it is accepted.
    """
    if record.job in node.replicated.jobs:
        return None
    job = _job_of(at, record)
    if job.spec.repeats or job.is_long_running or not job.spec.steps:
        return None
    queue = _policies.queue_of(node, job)
    load = node.pool_loads.get(queue.service) if queue is not None else None
    if queue is None or load is None:
        return None
    new = _new_job(node, at, job, queue, load.room)
    verdict = _admission.decide(load, new, at.now_s)
    if verdict.is_refused and may_refuse and not is_pending(record.job):
        _log_refusal(node, at, record, queue.service, new, load, verdict)
        _note_refused(node, at, record.job)
        return Refusal(record.job, verdict.retry_after_s)
    _admission.note_accepted(load, new)
    node.admitted[record.job] = Admitted(queue.service, new, at.now_s)
    return None


def _note_refused(node: Node, at: Moment, job_id: str) -> None:
    """
    Remember when a job was first refused: its caller's time goes on from there when it returns.
    """
    since_s = _first_s(node, at, job_id)
    node.refused_s.pop(job_id, None)
    node.refused_s[job_id] = since_s
    while len(node.refused_s) > MAX_REFUSED:
        del node.refused_s[next(iter(node.refused_s))]


def _first_s(node: Node, at: Moment, job_id: str) -> float:
    """
    Return when a job's caller first came, as far as is known.
    """
    since_s = node.refused_s.get(job_id, at.now_s)
    return since_s if at.now_s - since_s < MAX_RETURN_S else at.now_s


def _with_age(node: Node, at: Moment, data: bytes, record: Submitted) -> bytes:
    """
    Return the record of a job that was refused before, with the time at which it first came.
    """
    age_ms = round((at.now_s - _first_s(node, at, record.job)) * 1000)
    node.refused_s.pop(record.job, None)
    # Fields that only a newer release knows would be lost.
    if not age_ms or encode_records([record]) != [data]:
        return data
    at_ms = at.wall_ms - age_ms
    (dated,) = encode_records([msgspec.structs.replace(record, at_ms=at_ms)])
    return dated


def _job_of(at: Moment, record: Submitted) -> Job:
    return Job(
        record.job,
        record.queue,
        record.service,
        record.workspace,
        record.spec,
        record.at_ms,
        at.now_s,
        policy=record.policy,
    )


def _new_job(node: Node, at: Moment, job: Job, queue: Queue, room: Resources) -> NewJob:
    steps = job.spec.steps
    durations_s = [_durations.expected_s(node.replicated, job, step) for step in range(len(steps))]
    whole_s = critical_path_s(steps, durations_s, 0)
    objective_s = queue.slack_factor * whole_s + queue.target_ms / 1000
    slack_s = max(0.0, objective_s - whole_s)
    age_s = at.now_s - _first_s(node, at, job.id)
    return NewJob(
        job.workspace,
        float(queue.priority),
        age_s,
        slack_s - age_s,
        _start_order.safe_slack_s(slack_s) - age_s,
        objective_s,
        whole_s,
        _start_order.job_work_s(node, job, room),
    )


def _complete_loads(node: Node, at: Moment) -> None:
    """
    Add accepted jobs whose records aren't read yet to the loads of a new plan.
    """
    node.admitted = {
        job_id: item
        for job_id, item in node.admitted.items()
        if job_id not in node.replicated.jobs and at.now_s - item.since_s < MAX_ADMITTED_S
    }
    new_loads = {pool: load for pool, load in node.pool_loads.items() if not load.is_complete}
    for load in new_loads.values():
        load.is_complete = True
    for item in node.admitted.values():
        if item.pool in new_loads:
            _admission.note_accepted(new_loads[item.pool], item.job)


def _log_refusal(
    node: Node,
    at: Moment,
    record: Submitted,
    pool: str,
    job: NewJob,
    load: PoolLoad,
    verdict: Verdict,
) -> None:
    lines = node.refusal_lines.get(pool)
    if lines is None:
        lines = node.refusal_lines[pool] = RefusalLines(at.now_s)
    if lines.written >= LINES_PER_S:
        lines.further[record.workspace] += 1
        return
    lines.written += 1
    log_line(
        node,
        "job.refused",
        job=record.job,
        queue=record.queue,
        pool=pool,
        workspace=record.workspace,
        reason="pool_overloaded",
        delay_s=round(verdict.delay_s, 3),
        age_s=round(job.age_s, 3),
        slack_s=round(job.slack_s, 3),
        objective_s=round(job.objective_s, 3),
        work_s=round(job.work_s, 4),
        ahead_s=round(verdict.ahead_s, 3),
        lead_s=round(load.lead_s, 3),
        load_age_s=round(at.now_s - load.made_s, 3),
        retry_after_s=round(verdict.retry_after_s, 3),
    )


def log_further(node: Node, at: Moment) -> None:
    """
    Log the refusals of the last second that had no line of their own.

    :param node: the instance.
    :param at: the current time.
    """
    for pool, lines in list(node.refusal_lines.items()):
        if at.now_s - lines.since_s < LINE_INTERVAL_S:
            continue
        del node.refusal_lines[pool]
        if lines.further:
            log_line(
                node,
                "job.refused_further",
                pool=pool,
                reason="pool_overloaded",
                jobs=lines.further.total(),
                workspaces=dict(lines.further.most_common(NAMED_WORKSPACES)),
            )
