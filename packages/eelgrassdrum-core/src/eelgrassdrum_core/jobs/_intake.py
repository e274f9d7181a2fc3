"""
Handles callers' requests: accepts jobs, cancels them and reports their state.

A submission or cancellation is accepted once its record is committed to the log. Every instance
accepts requests, also without a reachable owner.
"""

import math
import zlib
from collections.abc import Callable, Collection

from . import _forwarding, _on_demand, _operator, _policies, _replicated_state, effects, events
from ._node import IntakeCall, Moment, Node, emit, log_line
from ._records import Cancelled, Record, Submitted, encode_records
from .events import CallReceived
from .model import Queue, Refusal

CHANNEL = "intake"
# Retry interval of an append without a response.
RETRY_S = 0.1
# Time of the last attempt of an append that is to be sent at once.
NEVER_SENT_S = -1e9
# Age at which a call is refused if the store refuses its append; allows for two attempts.
REFUSE_AFTER_S = 0.25
# Age at which a call that waits for a batch with a pending outcome is refused; twice the append
# latency of the slowest store observed.
MAX_QUEUED_S = 0.8
# Time after an outage of the log within which an owner may give back what had to wait.
RECENT_OUTAGE_S = 1.0
# Maximum size of the records of a batch of several calls, which a narrow link carries soon.
BATCH_BYTES = 128 * 1024
# Maximum size of a record. An instance accepts 256 KiB from another one, with 20 bytes of framing.
MAX_RECORD_BYTES = 256 * 1024 - 32
# Part of a caller's deadline that is reserved for sending the response.
ANSWER_MARGIN_S = 0.1
# Assumed deadline of callers that send none.
DEFAULT_DEADLINE_S = 5.0
# Bounds of the retry delay that callers are given while the store is unavailable. The delay equals
# the duration of the outage so far, since most outages last a few seconds, but ends before the
# deadline of the caller. The platform's callers are told whole seconds.
MIN_STORE_RETRY_S = 1.0
MAX_STORE_RETRY_S = 4.0
# Retry delay for callers of a starting instance, which has a configuration within this time.
START_RETRY_S = 0.5
# Maximum age of the latest read of the log for reporting that a job doesn't exist.
MAX_LOG_AGE_S = 1.5
# Time for which a question waits for a read of the log; many times what a read takes.
MAX_QUESTION_S = 0.3
# Reason of a refusal for load.
OVERLOADED = "pool_overloaded"
# Time after which an accepted job that was never read back from the log is forgotten.
ACCEPTED_RETENTION_S = 30.0


def on_call(node: Node, at: Moment, call: CallReceived) -> None:
    """
    Handle a caller's request.

    :param node: the instance.
    :param at: the current time.
    :param call: the request.
    """
    if node.config is None:
        _refuse(node, call, effects.UNAVAILABLE, "no_configuration", START_RETRY_S)
        return
    if _operator.is_config_too_old(node, at.now_s):
        _refuse_for_age(node, at, call)
        return
    queue = find_queue(node, call.host, call.path)
    if queue is None:
        _refuse_unknown(node, at, call, effects.NO_SUCH_QUEUE, "no_queue_matches")
        return
    workspace = node.config.workspace_of_key.get(call.key)
    if workspace is None and not queue.is_open:
        _refuse_unknown(node, at, call, effects.UNKNOWN_KEY, "unknown_key")
        return
    job_id = call.path[len(queue.prefix) :]
    _HANDLERS[call.kind](node, at, call, queue, workspace or "", job_id)


def _refuse_unknown(node: Node, at: Moment, call: CallReceived, outcome: str, reason: str) -> None:
    """
    Refuse a call that the configuration doesn't allow, unless one that has it may be in force.
    """
    if _operator.config_age_s(node, at.now_s) > node.bounds.config_apply_s:
        _refuse_for_age(node, at, call)
    else:
        _refuse(node, call, outcome, reason)


def _refuse_for_age(node: Node, at: Moment, call: CallReceived) -> None:
    retry_s = store_retry_s(node, at, _due_s(at, call))
    _refuse(node, call, effects.UNAVAILABLE, "configuration_too_old", retry_s)


def find_queue(node: Node, host: str, path: str) -> Queue | None:
    """
    Return the queue that a call is for: of the queues of its host, the one with the longest
    matching path prefix.

    :param node: the instance.
    :param host: value of the ``Host`` header.
    :param path: path of the request.
    :returns: the queue, or ``None`` if none matches.
    """
    if node.config is None:
        return None
    best: Queue | None = None
    for queue in node.config.queues.values():
        if queue.host != host or not path.startswith(queue.prefix):
            continue
        if best is None or len(queue.prefix) > len(best.prefix):
            best = queue
    return best


def _refuse(
    node: Node, call: CallReceived, outcome: str, reason: str, retry_after_s: float | None = None
) -> None:
    emit(node, effects.Reply(call.token, outcome, reason, retry_after_s=retry_after_s))
    log_line(
        node,
        "call.refused",
        job=_named_job(node, call),
        kind=call.kind,
        host=call.host,
        path=call.path,
        reason=reason,
        config=node.config.version if node.config else None,
        waited_s=0.0,
        retry_after_s=_rounded(retry_after_s),
    )


def _named_job(node: Node, call: CallReceived) -> str:
    queue = find_queue(node, call.host, call.path)
    return call.path[len(queue.prefix) :] if queue is not None else ""


def _rounded(retry_after_s: float | None) -> float | None:
    return None if retry_after_s is None else round(retry_after_s, 3)


def _submit(
    node: Node, at: Moment, call: CallReceived, queue: Queue, workspace: str, job_id: str
) -> None:
    if call.spec is None or not job_id:
        _refuse(node, call, effects.MALFORMED, "malformed_job")
        return
    if job_id in node.replicated.jobs or job_id in node.intake.accepted:
        emit(node, effects.Reply(call.token, effects.ACCEPTED))
        return
    policy = _policies.policy_of(node.config, queue, workspace) if node.config else None
    record = Submitted(job_id, queue.name, queue.service, workspace, call.spec, at.wall_ms, policy)
    _enqueue(node, at, call, record)


def _cancel(
    node: Node, at: Moment, call: CallReceived, queue: Queue, workspace: str, job_id: str
) -> None:
    job = node.replicated.jobs.get(job_id)
    if job is not None and (job.cancelled or job.committed_state in _replicated_state.FINAL_STATES):
        emit(node, effects.Reply(call.token, effects.STATE, visible_state(job)))
        return
    _enqueue(node, at, call, Cancelled(job_id, at.wall_ms))


def _look_up(
    node: Node, at: Moment, call: CallReceived, queue: Queue, workspace: str, job_id: str
) -> None:
    if _is_deferred(node, at, call):
        return
    job = node.replicated.jobs.get(job_id)
    if not node.tail.has_caught_up:
        # The replicated state is still that of a snapshot or of an earlier offset.
        _refuse(node, call, effects.UNAVAILABLE, "log_not_read", START_RETRY_S)
    elif job is not None:
        emit(node, effects.Reply(call.token, effects.STATE, visible_state(job)))
    elif job_id in node.intake.accepted:
        emit(node, effects.Reply(call.token, effects.STATE, _replicated_state.QUEUED))
    elif is_log_fresh(node, at.now_s):
        _refuse(node, call, effects.NO_SUCH_JOB, "no_such_job")
    else:
        retry_s = store_retry_s(node, at, _due_s(at, call))
        _refuse(node, call, effects.UNAVAILABLE, "log_not_read", retry_s)


def _count_pending(
    node: Node, at: Moment, call: CallReceived, queue: Queue, workspace: str, job_id: str
) -> None:
    if _is_deferred(node, at, call):
        return
    if not is_log_fresh(node, at.now_s):
        retry_s = store_retry_s(node, at, _due_s(at, call))
        _refuse(node, call, effects.UNAVAILABLE, "log_not_read", retry_s)
        return
    number = node.replicated.pending.get(queue.name, 0)
    emit(node, effects.Reply(call.token, effects.PENDING, number=number))


_HANDLERS: dict[str, Callable[[Node, Moment, CallReceived, Queue, str, str], None]] = {
    events.SUBMIT: _submit,
    events.CANCEL: _cancel,
    events.LOOK_UP: _look_up,
    events.COUNT: _count_pending,
}


def _is_deferred(node: Node, at: Moment, call: CallReceived) -> bool:
    """
    Return whether a question waits for a read of the log, which it causes.
    """
    if node.intake.is_answering or _on_demand.is_current(node, at):
        return False
    node.intake.questions.append((call, at.now_s))
    return True


def answer_questions(node: Node, at: Moment, before_s: float = math.inf) -> None:
    """
    Answer the questions that waited for a read of the log, from the state as it is.

    :param node: the instance.
    :param at: the current time.
    :param before_s: only questions that arrived before this time are answered.
    """
    questions = node.intake.questions
    node.intake.is_answering = True
    while questions and questions[0][1] < before_s:
        call, _since_s = questions.popleft()
        if call.token in node.intake.abandoned:
            node.intake.abandoned.discard(call.token)
        else:
            on_call(node, at, call)
    node.intake.is_answering = False


def visible_state(job: _replicated_state.Job) -> str:
    """
    Return the state of a job that its caller is told.

    :param job: the job.
    :returns: the committed state; a cancelled job is reported as cancelled immediately.
    """
    if job.cancelled and job.committed_state not in _replicated_state.FINAL_STATES:
        return _replicated_state.CANCELLED
    return job.committed_state


def is_log_fresh(node: Node, now_s: float) -> bool:
    """
    Return whether this instance has recently read the log to its end.

    :param node: the instance.
    :param now_s: the current time by this instance's clock.
    :returns: whether a job that is missing from the replicated state doesn't exist.
    """
    tail = node.tail
    is_complete = tail.is_caught_up and not tail.is_incomplete
    return is_complete and now_s - tail.last_success_s <= MAX_LOG_AGE_S


def on_abandoned(node: Node, token: int) -> None:
    """
    Handle the disconnection of a caller. Its record is still appended.

    :param node: the instance.
    :param token: the call.
    """
    node.intake.abandoned.add(token)


def _enqueue(node: Node, at: Moment, call: CallReceived, record: Record) -> None:
    node.intake.waiting.append(IntakeCall(call.token, record, _due_s(at, call), at.now_s))


def _due_s(at: Moment, call: CallReceived) -> float:
    wait_s = call.deadline_s or DEFAULT_DEADLINE_S
    return at.now_s + max(0.0, wait_s - ANSWER_MARGIN_S)


def flush(node: Node, at: Moment) -> None:
    """
    Append the waiting callers' records, or resend the batch in flight if its retry is due.

    :param node: the instance.
    :param at: the current time.
    """
    intake = node.intake
    if intake.is_waiting:
        return
    if not intake.batch:
        if not intake.waiting:
            return
        _take_batch(node)
        if not intake.batch:
            return
        intake.seq += 1
        intake.first_seq = intake.seq
        intake.is_uncertain = False
    elif at.now_s - intake.last_sent_s < RETRY_S:
        return
    intake.last_sent_s = at.now_s
    intake.is_waiting = True
    intake.route = _forwarding.choose_route(node, at)
    if intake.route == _forwarding.TO_STORE:
        # Callers' records are idempotent, so the append needs no sequence number at the store.
        emit(node, effects.Append(CHANNEL, "", 0, intake.seq, intake.data))
    else:
        may_refuse = not intake.is_uncertain
        _forwarding.send(node, at, intake.route, intake.seq, intake.data, may_refuse)


def _take_batch(node: Node) -> None:
    """
    Make the waiting calls that fit `BATCH_BYTES`, but at least one, the next batch.
    """
    intake = node.intake
    batch: list[IntakeCall] = []
    data: list[bytes] = []
    left_bytes = BATCH_BYTES
    while intake.waiting:
        record = _encode_or_refuse(node, intake.waiting[0])
        if record is not None and batch and len(record) > left_bytes:
            break
        call = intake.waiting.popleft()
        if record is not None:
            batch.append(call)
            data.append(record)
            left_bytes -= len(record)
    intake.batch, intake.data = tuple(batch), tuple(data)


def _encode_or_refuse(node: Node, call: IntakeCall) -> bytes | None:
    """
    Return the record of a call, or refuse the call if its record can't be encoded or forwarded.
    """
    try:
        (data,) = encode_records([call.record])
    except (OverflowError, TypeError, ValueError, RecursionError) as exc:
        _refuse_record(node, call, str(exc))
        return None
    if len(data) > MAX_RECORD_BYTES:
        _refuse_record(node, call, f"the record has {len(data)} bytes")
        return None
    return data


def _refuse_record(node: Node, call: IntakeCall, error: str) -> None:
    _reply(node, call, effects.MALFORMED, "malformed_job")
    log_line(
        node,
        "call.refused",
        reason="malformed_job",
        error=error,
        **_call_fields(call),
        waited_s=None,
        retry_after_s=None,
    )


def take_outcomes(node: Node, at: Moment) -> None:
    """
    Handle the outcomes of the batches that this instance appended as the owner.

    :param node: the instance.
    :param at: the current time.
    """
    outcomes, node.intake.outcomes = node.intake.outcomes, []
    for seq, outcome, refused in outcomes:
        on_appended(node, at, events.Appended(CHANNEL, seq, outcome, "", refused))


def on_owner_changed(node: Node) -> None:
    """
    Resend the batch that was forwarded to a former owner, which may never respond.

    :param node: the instance.
    """
    intake = node.intake
    intake.direct_until_s = intake.unheard_until_s = 0.0
    intake.is_owner_mute = False
    is_elsewhere = intake.route is not None and intake.route.epoch not in (0, node.replicated.epoch)
    if intake.is_waiting and is_elsewhere:
        intake.seq += 1
        intake.is_waiting = False
        intake.is_uncertain = True


def replace_pending(node: Node, at: Moment, sent_s: float) -> None:
    """
    Append the pending batch directly after an outage, without waiting for its timeout.

    The success of either attempt answers the callers.

    A batch that was forwarded is left to an owner that may still respond. If the owner was found
    mute during the outage, batches are appended directly until one of its records is read.

    :param node: the instance.
    :param at: the current time.
    :param sent_s: appends that were sent later are not replaced, by this instance's clock.
    """
    intake = node.intake
    intake.is_failing = False
    if node.ownership.is_owner:
        return
    is_forwarded = intake.is_waiting and intake.route != _forwarding.TO_STORE
    if is_forwarded and sent_s - intake.last_sent_s >= _forwarding.ANSWER_S:
        intake.is_owner_mute = True
    if intake.is_owner_mute:
        intake.unheard_until_s = at.now_s + _forwarding.DIRECT_APPEND_S
    elif is_forwarded:
        return
    if not intake.is_waiting or intake.last_sent_s >= sent_s:
        return
    intake.seq += 1
    intake.is_waiting = False
    intake.is_uncertain = True
    intake.last_sent_s = NEVER_SENT_S


def on_appended(node: Node, at: Moment, event: events.Appended) -> None:
    """
    Handle the outcome of an append.

    :param node: the instance.
    :param at: the current time.
    :param event: outcome of the append.
    """
    intake = node.intake
    if not intake.batch or not intake.first_seq <= event.seq <= intake.seq:
        return
    is_latest = event.seq == intake.seq
    if not is_latest and event.outcome != events.OK:
        # The attempt was replaced, and the outcome of the batch depends on the latest one.
        return
    if not is_latest and event.refused:
        _accept_others(node, at, event.refused)
        return
    intake.is_waiting = False
    if event.refused and not intake.is_uncertain:
        _refuse_overloaded(node, at, event.refused)
    if is_latest and intake.route != _forwarding.TO_STORE:
        intake.is_owner_mute = at.now_s - intake.last_sent_s >= _forwarding.ANSWER_S
    intake.is_failing = event.outcome != events.OK
    if event.outcome == events.OK:
        intake.was_given_back = False
        _accept_others(node, at, event.refused)
        return
    if not intake.batch:
        return
    if event.outcome not in (events.REFUSED, events.UNSENT):
        intake.is_uncertain = True
    is_forwarded = intake.route != _forwarding.TO_STORE
    is_given_back = is_forwarded and _is_given_back(node, at, event)
    if is_forwarded and not is_given_back:
        intake.direct_until_s = at.now_s + _forwarding.DIRECT_APPEND_S
    is_silent = node.store.silent_since_s is not None
    intake.was_given_back = is_given_back and not is_silent
    log_line(
        node,
        "intake.append_failed",
        seq=event.seq,
        owner=intake.route.address if is_forwarded else "",
        outcome=event.outcome,
        detail=event.detail,
        calls=len(intake.batch),
    )
    is_hopeless = is_given_back and is_silent
    if not intake.is_uncertain and (not is_forwarded or is_hopeless):
        _refuse_overdue(node, at)


def _accept_others(node: Node, at: Moment, refused: Collection[Refusal]) -> None:
    """
    Accept the calls of a batch except those of refused jobs, which stay in the batch: another
    attempt may have appended them.
    """
    for call in _take_calls(node, refused, are_refused=False):
        _accept(node, at, call)
    if not node.intake.batch:
        node.intake.is_waiting = False


def _refuse_overloaded(node: Node, at: Moment, refused: Collection[Refusal]) -> None:
    """
    Refuse the calls of a batch whose jobs the owner has refused.
    """
    delays_s = {refusal.job: refusal.retry_after_s for refusal in refused}
    for call in _take_calls(node, refused, are_refused=True):
        record = call.record
        assert isinstance(record, Submitted)
        retry_s = overload_retry_s(at, call.due_s, record.job, delays_s[record.job])
        _reply(node, call, effects.NOT_ACCEPTED, OVERLOADED, retry_s)
        log_line(
            node,
            "call.refused",
            reason=OVERLOADED,
            **_call_fields(call),
            queue=record.queue,
            pool=record.service,
            workspace=record.workspace,
            config=node.config.version if node.config else None,
            waited_s=_waited_s(call, at),
            retry_after_s=retry_s,
        )


def _take_calls(node: Node, refused: Collection[Refusal], are_refused: bool) -> list[IntakeCall]:
    """
    Remove the submissions of refused jobs from the batch, or all other calls, and return them.
    """
    intake = node.intake
    jobs = {refusal.job for refusal in refused}
    taken: list[IntakeCall] = []
    kept: list[tuple[IntakeCall, bytes]] = []
    for call, data in zip(intake.batch, intake.data, strict=True):
        is_refused = isinstance(call.record, Submitted) and call.record.job in jobs
        if is_refused == are_refused:
            taken.append(call)
        else:
            kept.append((call, data))
    intake.batch = tuple(call for call, _data in kept)
    intake.data = tuple(data for _call, data in kept)
    return taken


def overload_retry_s(at: Moment, due_s: float, job_id: str, delay_s: float) -> float:
    """
    Return the delay after which the caller of a refused job should retry, in whole seconds.

    Half of the callers come a second later, so that they don't return together.

    :param at: the current time.
    :param due_s: time by which the caller must be answered.
    :param job_id: id of the job.
    :param delay_s: time after which the job could start.
    :returns: the delay in seconds, which ends before the deadline if any does.
    """
    # An answer may take two attempts of an append.
    longest_s = math.floor(min(MAX_STORE_RETRY_S, due_s - at.now_s - REFUSE_AFTER_S))
    if longest_s < MIN_STORE_RETRY_S:
        # A return before the deadline gets no answer in time; the caller is told the time anyway.
        longest_s = math.floor(MAX_STORE_RETRY_S)
    whole_s = math.ceil(delay_s) if math.isfinite(delay_s) else longest_s
    shortest_s = max(1, min(whole_s, longest_s - 1))
    return float(min(longest_s, shortest_s + zlib.crc32(job_id.encode()) % 2))


def _is_given_back(node: Node, at: Moment, event: events.Appended) -> bool:
    """
    Return whether the owner gave a batch back because it waits for the log itself.

    An owner that couldn't be reached gave nothing back.

    Direct appends of all instances would meet there. After the return of the log, the owner gets
    the batch once more, unless it has just refused it for the second time.
    """
    intake = node.intake
    if event.outcome != events.REFUSED or intake.is_owner_mute:
        return False
    if node.store.silent_since_s is not None:
        return True
    return at.now_s - node.store.resumed_s < RECENT_OUTAGE_S and not intake.was_given_back


def _accept(node: Node, at: Moment, call: IntakeCall) -> None:
    if isinstance(call.record, Submitted):
        node.intake.accepted.setdefault(call.record.job, at.now_s)
        _reply(node, call, effects.ACCEPTED, "")
        log_line(
            node,
            "job.accepted",
            job=call.record.job,
            queue=call.record.queue,
            pool=call.record.service,
            workspace=call.record.workspace,
            wait_s=round(at.now_s - call.since_s, 4),
        )
    elif isinstance(call.record, Cancelled):
        waiters = node.intake.pending_cancels.setdefault(call.record.job, [])
        waiters.append((call.token, call.due_s))
        answer_cancels(node, call.record.job, only_known=True)


def answer_cancels(node: Node, job_id: str, only_known: bool = False) -> None:
    """
    Answer the pending cancellations of a job once the log shows whether the job exists.

    :param node: the instance.
    :param job_id: id of the job.
    :param only_known: keep the calls waiting if the job isn't known yet.
    """
    job = node.replicated.jobs.get(job_id)
    is_known = job is not None or job_id in node.intake.accepted
    if only_known and not is_known:
        return
    # The job may have ended before its cancellation.
    is_over = job is not None and job.committed_state in _replicated_state.FINAL_STATES
    state = job.committed_state if job is not None and is_over else _replicated_state.CANCELLED
    for token, _due_s in node.intake.pending_cancels.pop(job_id, ()):
        if token in node.intake.abandoned:
            node.intake.abandoned.discard(token)
            continue
        outcome = effects.STATE if is_known else effects.NO_SUCH_JOB
        emit(node, effects.Reply(token, outcome, state))
        log_line(node, "job.cancel_accepted", job=job_id, is_known=is_known)


def _reply(
    node: Node, call: IntakeCall, outcome: str, detail: str, retry_after_s: float | None = None
) -> None:
    if call.token in node.intake.abandoned:
        node.intake.abandoned.discard(call.token)
        return
    reply = effects.Reply(call.token, outcome, detail, retry_after_s=retry_after_s)
    emit(node, reply)


def expire(node: Node, at: Moment) -> None:
    """
    Answer the calls that have waited too long for the store.

    A call is refused if its record is definitely not in the log. If the record may be in the log,
    the caller is told that the outcome is uncertain.

    :param node: the instance.
    :param at: the current time.
    """
    intake = node.intake
    for call in intake.batch:
        if at.now_s >= call.due_s and call.token not in intake.abandoned:
            reason = "store_does_not_answer"
            _reply(node, call, effects.UNCERTAIN, reason)
            intake.abandoned.add(call.token)
            log_line(
                node,
                "call.uncertain",
                reason=reason,
                **_call_fields(call),
                waited_s=_waited_s(call, at),
                retry_after_s=None,
            )
    max_queued_s = REFUSE_AFTER_S if intake.is_failing else MAX_QUEUED_S
    while intake.waiting and at.now_s - intake.waiting[0].since_s >= max_queued_s:
        _refuse_unavailable(node, at, intake.waiting.popleft())
    _expire_cancels(node, at)
    answer_questions(node, at, at.now_s - MAX_QUESTION_S)
    if intake.accepted:
        old = [job for job, s in intake.accepted.items() if at.now_s - s > ACCEPTED_RETENTION_S]
        for job in old:
            del intake.accepted[job]


def _refuse_overdue(node: Node, at: Moment) -> None:
    """
    Refuse the calls of a batch that the store definitely didn't append, after two attempts.
    """
    intake = node.intake
    if at.now_s - intake.batch[0].since_s < REFUSE_AFTER_S:
        return
    batch, intake.batch = intake.batch, ()
    for call in batch:
        _refuse_unavailable(node, at, call)


def _refuse_unavailable(node: Node, at: Moment, call: IntakeCall) -> None:
    retry_s = store_retry_s(node, at, call.due_s)
    _reply(node, call, effects.UNAVAILABLE, "store_unavailable", retry_s)
    log_line(
        node,
        "call.refused",
        reason="store_unavailable",
        **_call_fields(call),
        config=node.config.version if node.config else None,
        waited_s=_waited_s(call, at),
        retry_after_s=_rounded(retry_s),
    )


def _call_fields(call: IntakeCall) -> dict[str, str]:
    record = call.record
    kind = events.SUBMIT if isinstance(record, Submitted) else events.CANCEL
    job = record.job if isinstance(record, Submitted | Cancelled) else ""
    return {"job": job, "kind": kind}


def _waited_s(call: IntakeCall, at: Moment) -> float:
    return round(at.now_s - call.since_s, 3)


def store_retry_s(node: Node, at: Moment, due_s: float) -> float | None:
    """
    Return the delay after which a caller should retry while the store is unavailable.

    :param node: the instance.
    :param at: the current time.
    :param due_s: time by which the caller must be answered.
    :returns: the delay in seconds, or ``None`` if the caller can't return in time.
    """
    longest_s = min(MAX_STORE_RETRY_S, math.floor(due_s - at.now_s))
    if longest_s < MIN_STORE_RETRY_S:
        return None
    outage_s = at.now_s - node.tail.last_success_s
    return max(MIN_STORE_RETRY_S, min(longest_s, outage_s))


def _expire_cancels(node: Node, at: Moment) -> None:
    for job_id, waiters in list(node.intake.pending_cancels.items()):
        if all(at.now_s < due_s for _token, due_s in waiters):
            continue
        del node.intake.pending_cancels[job_id]
        for token, _due_s in waiters:
            if token not in node.intake.abandoned:
                emit(node, effects.Reply(token, effects.UNCERTAIN, "log_not_read"))
                log_line(
                    node,
                    "call.uncertain",
                    reason="log_not_read",
                    job=job_id,
                    kind=events.CANCEL,
                    retry_after_s=None,
                )
            node.intake.abandoned.discard(token)


def is_idle(node: Node) -> bool:
    """
    Return whether no caller waits for an append, for the outcome of a cancellation or for a read.

    :param node: the instance.
    :returns: whether nothing is left to answer.
    """
    intake = node.intake
    is_appending = intake.batch or intake.waiting
    return not (is_appending or intake.pending_cancels or intake.questions)
