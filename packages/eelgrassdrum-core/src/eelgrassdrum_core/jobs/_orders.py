"""
Orders workers to start tasks, and tracks each order until its outcome is known.

An order is sent once its record is committed to the log, and never sent again. An unanswered order
may be carried out at any later time, and the worker's next incarnation could carry out a second
copy after the first run has exited. The worker's lists show whether the order was carried out. If
it was not, a stop bars the run before the task is started again.
"""

from . import (
    _advice,
    _evacuation,
    _freshness,
    _journal,
    _leases,
    _order_checks,
    _policies,
    _workers,
    effects,
    events,
)
from ._node import NEVER_S, Moment, Node, Order, Worker, emit, log_line
from ._records import Started
from ._replicated_state import Task
from ._runs import UNSENT, count_unsent, end_run, fencing_token, note_begun, runs_on, send_stop

# Maximum lifetime of an order, after which a delayed order has no effect.
ORDER_TTL_S = 2.5
# Unanswered orders to one worker; each takes a connection.
MAX_OUTSTANDING = 2
# A worker that refused a start gets no other one for this time.
REFUSED_BACKOFF_S = 0.5
REFUSED = "refused"
# Reason of a refused start: its ticket is not valid for the worker.
TICKET = "ticket"


def decide(
    node: Node, at: Moment, worker: Worker, task: Task, run: int, ticket: str
) -> effects.StartTask:
    """
    Record that a task starts on a worker.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param worker: the worker.
    :param task: the task.
    :param run: number of the run.
    :param ticket: ticket of the advice service, or an empty string.
    :returns: the order, which is to be sent once the record is committed, and for a gang those of
        all members: their records may be in several appends.
    """
    key = task.key
    entry = worker.entry
    record = Started(
        node.ownership.epoch,
        *key,
        run,
        worker.id,
        entry.incarnation,
        entry.address,
        entry.instance,
        _workers.has_just_answered(worker, at.now_s),
    )
    _journal.write(node, at, record)
    worker.orders[key] = Order(run, ticket=ticket)
    count_unsent(node, worker, key, 1)
    job = node.replicated.jobs[key.job]
    log_line(
        node,
        "run.decided",
        job=key.job,
        task=".".join(map(str, key[1:])),
        run=run,
        worker=worker.id,
        age_s=round(at.now_s - job.seen_s, 3),
        free_millicores=_workers.free_resources(node, worker).millicores,
        state_age_s=round(_freshness.state_age_s(node, at), 3),
        config=node.config.version if node.config else None,
    )
    return effects.StartTask(
        worker.id,
        worker.entry.address,
        key,
        run,
        job.spec.payload,
        0,
        fencing_token(node, worker),
        task.checkpoint,
        ticket,
    )


def send_committed(node: Node, at: Moment, orders: list[effects.StartTask]) -> None:
    """
    Send orders whose records were just committed, as far as they are still valid.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param orders: the orders as they were recorded; for a gang, those of all members.
    """
    # A gang of which a member may not start isn't ordered in part.
    for order in orders:
        if _is_of_gang(node, order):
            _withdraw_if_invalid(node, at, order)
    for order in orders:
        send(node, at, order)


def _is_of_gang(node: Node, effect: effects.StartTask) -> bool:
    job = node.replicated.jobs.get(effect.key.job)
    return job is not None and job.spec.steps[effect.key.step].gang


def send(node: Node, at: Moment, effect: effects.StartTask) -> None:
    """
    Send an order whose record is committed, if it is still valid.

    Otherwise the run ends as unsent, and the task may start again as soon as it may. The order is
    queued while the worker has the maximum of unanswered orders.

    :param node: the instance.
    :param at: the time.
    :param effect: the order as it was recorded.
    """
    found = _withdraw_if_invalid(node, at, effect)
    if found is None:
        return
    worker, order = found
    if worker.outstanding >= MAX_OUTSTANDING:
        worker.outbox.append(effect)
        return
    if not worker.outstanding:
        worker.answer_due_s = at.now_s + _workers.ANSWER_TIMEOUT_S
    worker.outstanding += 1
    count_unsent(node, worker, effect.key, -1)
    order.sent_s = at.now_s
    expiry_s = min(
        at.now_s + ORDER_TTL_S,
        _freshness.orders_expire_s(node),
        _evacuation.orders_expire_s(node),
    )
    order.lease_ms = _leases.clock_ms(worker, expiry_s)
    worker.granted_ms = max(worker.granted_ms, order.lease_ms)
    # The next hold renews the lease of the order and waits for the run's exit.
    worker.next_hold_s = min(worker.next_hold_s, max(at.now_s, worker.next_list_s))
    emit(
        node,
        effect._replace(
            lease_ms=order.lease_ms,
            address=worker.entry.address,
            token=fencing_token(node, worker),
            ticket=order.ticket,
        ),
    )


def _withdraw_if_invalid(
    node: Node, at: Moment, effect: effects.StartTask
) -> tuple[Worker, Order] | None:
    """
    Return the worker and the state of an order, or ``None`` if it may not be sent.
    """
    worker = node.workers.get(effect.worker)
    task = runs_on(node, effect.worker).get(effect.key)
    order = worker.orders.get(effect.key) if worker is not None else None
    if worker is None or task is None or order is None or order.run != effect.run:
        return None
    reason = _order_checks.reason_to_withdraw(node, at, worker, task, order)
    if reason:
        _withdraw(node, at, task, reason)
        return None
    return worker, order


def _withdraw(node: Node, at: Moment, task: Task, reason: str) -> None:
    """
    End a run as unsent whose order is recorded and may not be sent. Of a gang, no run is sent any
    more, and those whose orders were sent are stopped, since they would wait for the others.
    """
    log_line(
        node,
        "run.withdrawn",
        job=task.key.job,
        task=".".join(map(str, task.key[1:])),
        run=task.run,
        worker=task.worker,
        reason=reason,
        records_age_s=round(_evacuation.records_age_s(node, at), 3),
    )
    for worker, member in _order_checks.gang_of(node, task):
        if _order_checks.is_unsent(worker, member):
            end_run(node, at, worker, member, UNSENT)
        else:
            send_stop(node, at, worker, member.key, member.run)


def on_answered(node: Node, at: Moment, event: events.StartAnswered) -> None:
    """
    Process the outcome of an order, and send the queued orders that may go out now.

    :param node: the instance.
    :param at: the time.
    :param event: the outcome.
    """
    worker = node.workers.get(event.worker)
    if worker is None:
        return
    worker.outstanding -= 1
    is_awaiting = worker.outstanding > 0
    worker.answer_due_s = at.now_s + _workers.ANSWER_TIMEOUT_S if is_awaiting else NEVER_S
    _apply_answer(node, at, worker, event)
    while worker.outbox and worker.outstanding < MAX_OUTSTANDING:
        send(node, at, worker.outbox.popleft())


def _apply_answer(node: Node, at: Moment, worker: Worker, event: events.StartAnswered) -> None:
    task = runs_on(node, event.worker).get(event.key)
    if task is None or task.run != event.run:
        return
    order = worker.orders.get(event.key)
    if order is None or order.run != event.run or order.answered_s:
        return
    if event.outcome == events.OK:
        order.answered_s = at.now_s
        worker.clock_ms, worker.clock_at_s = event.clock_ms, at.now_s
        worker.started_s.setdefault(event.key, at.now_s)
        note_begun(node, task)
        return
    log_line(
        node,
        "run.not_started",
        job=event.key.job,
        task=".".join(map(str, event.key[1:])),
        run=event.run,
        worker=worker.id,
        outcome=event.outcome,
        reason=event.reason,
    )
    if event.outcome == events.UNKNOWN:
        order.unanswered_s = at.now_s
        _workers.request_lists(node, at, worker)
        return
    if event.reason == TICKET:
        # It may be the ticket of a former incarnation.
        _advice.drop_ticket(node, event.key, worker.id)
        if not order.ticket:
            _policies.require_tickets(node, at, node.replicated.jobs[event.key.job])
    worker.no_starts_until_s = at.now_s + REFUSED_BACKOFF_S
    if event.outcome == events.UNSENT:
        worker.next_hold_s = at.now_s
    end_run(node, at, worker, task, UNSENT if event.outcome == events.UNSENT else REFUSED)


def next_run_number(tasks: list[Task]) -> int:
    """
    Return the number of the next run of tasks that start together.

    :param tasks: the tasks.
    :returns: one more than the highest run number of any of them.
    """
    return 1 + max(task.run for task in tasks)
