"""
Reducer that passes each event of jobs to its handler.
"""

import traceback
from collections.abc import Callable, Iterable
from typing import Any

from . import (
    _advice,
    _apart,
    _data_racks,
    _fold,
    _forwarding,
    _instances,
    _intake,
    _journal,
    _leases,
    _operator,
    _orders,
    _ownership,
    _pacing,
    _planner,
    _pools,
    _progress,
    _refusals,
    _registry,
    _shutdown,
    _snapshot,
    _stops,
    _tail,
    _waiting,
    _waves,
    _worker_health,
    _workers,
    effects,
    events,
)
from ._node import Moment, Node, log_line
from ._records import LeaseLifted

# Interval at which jobs that ended long ago are dropped.
PRUNE_INTERVAL_S = 5.0
# Lines of a traceback that a log line contains.
TRACEBACK_LINES = 4

Step = Callable[[Node, Moment], None]


def reduce(node: Node, at: Moment, event: object) -> list[Any]:
    """
    Process an event.

    :param node: the instance, changed in place.
    :param at: the time.
    :param event: one of `events`.
    :returns: the effects to carry out, in order.
    """
    node.out = []
    if node.process_start_s < 0:
        node.process_start_s = at.now_s
    _HANDLERS[type(event)](node, at, event)
    _advance(node, at)
    produced, node.out = node.out, []
    return produced


def _advance(node: Node, at: Moment) -> None:
    """
    Run the steps that follow every event: process appended batches, plan, append and read records.
    """
    _run_steps(node, at, (_intake.take_outcomes, _intake.flush, _intake.take_outcomes))
    if node.ownership.is_owner:
        if not node.is_stopping:
            if node.plan_due:
                _run_steps(node, at, (_planner.plan, _waiting.log_if_due))
            _run_steps(node, at, (_workers.send_due_holds,))
        _run_steps(node, at, (_journal.flush,))
    _run_steps(node, at, (_tail.read,))


def _ticked(node: Node, at: Moment, _event: events.Ticked) -> None:
    _run_steps(node, at, _STEPS)
    if node.ownership.is_owner and not node.is_stopping:
        _run_steps(node, at, (_ownership.release_if_unread,))
    if node.ownership.is_owner:
        _run_steps(node, at, _OWNER_STEPS)
        node.plan_due = True
    if at.now_s - node.last_cleanup_s >= PRUNE_INTERVAL_S:
        node.last_cleanup_s = at.now_s
        _run_steps(node, at, (_clean_up,))
    _run_steps(node, at, (_shutdown.advance,))


def _run_steps(node: Node, at: Moment, steps: Iterable[Step]) -> None:
    """
    Run steps one after the other. One that fails is logged, and the others still run.
    """
    for step in steps:
        try:
            step(node, at)
        except Exception as exc:
            log_line(
                node,
                "instance.exception",
                what=f"{step.__module__.rpartition('.')[2]}.{step.__name__}",
                error=type(exc).__name__,
                message=str(exc),
                traceback="".join(traceback.format_exception(exc)[-TRACEBACK_LINES:]),
            )


def _reload_if_wanted(node: Node, at: Moment) -> None:
    if node.ownership.reload_wanted and not node.ownership.is_owner:
        _tail.reload(node, at, "ownership_lost")


def _clean_up(node: Node, at: Moment) -> None:
    _fold.remove_expired(node.replicated, at.now_s, node.bounds.status_s)
    _advice.prune(node)
    _progress.prune(node)
    _data_racks.prune(node)
    _worker_health.prune(node, at)


_STEPS: tuple[Step, ...] = (
    _operator.read,
    _intake.expire,
    _reload_if_wanted,
    _ownership.claim_if_due,
)
_OWNER_STEPS: tuple[Step, ...] = (
    _registry.read_registry,
    _leases.expire_leases,
    _stops.forget_lapsed_runs,
    _stops.send_due_stops,
    _workers.detect_silent_zones,
    _instances.list_instances,
    _waves.advance,
    _pools.advance,
    _instances.drain_instances,
    _snapshot.write_if_due,
    _refusals.log_further,
)


def _appended(node: Node, at: Moment, event: events.Appended) -> None:
    if event.channel == _intake.CHANNEL:
        _intake.on_appended(node, at, event)
    elif event.channel == _ownership.CHANNEL:
        _ownership.on_claim_appended(node, at, event)
    else:
        _owner_appended(node, at, event)


def _owner_appended(node: Node, at: Moment, event: events.Appended) -> None:
    """
    Process the outcome of an append of the owner, which steps down if the append was refused.
    """
    in_flight, confirmed_s = node.journal.in_flight, node.ownership.confirmed_s
    callers = list(in_flight.callers) if in_flight is not None else []
    if not _journal.on_appended(node, at, event):
        _ownership.step_down(node, at, "append_refused", outcome=event.outcome)
        return
    if node.journal.in_flight is None and in_flight is not None:
        lifted = [item.worker for item in in_flight.records if isinstance(item, LeaseLifted)]
        _workers.hold_acknowledged(node, at, [*in_flight.acks, *lifted])
        if event.outcome == events.OK:
            _ownership.note_commit(node, at)
            if _ownership.is_confirmed_again(node, at, confirmed_s):
                _workers.renew_leases(node, at)
            _tail.fold_callers_records(node, at, callers)
        _run_steps(node, at, (_snapshot.write_if_due,))
        # Orders whose records are now committed are checked once more before they are sent.
        produced, node.out = node.out, []
        starts = [effect for effect in produced if isinstance(effect, effects.StartTask)]
        _orders.send_committed(node, at, starts)
        for effect in produced:
            if isinstance(effect, effects.StartTask):
                continue
            if isinstance(effect, effects.OrderInstance):
                _instances.send_order(node, at, effect)
            else:
                node.out.append(effect)


def _hold_answered(node: Node, at: Moment, event: events.HoldAnswered) -> None:
    worker = _workers.on_hold(node, at, event)
    if worker is not None:
        _apart.on_rows(node, at, worker)
        _pacing.on_rows(node, at, worker)
        _progress.on_rows(node, at, worker)


def _call_abandoned(node: Node, _at: Moment, event: events.CallAbandoned) -> None:
    _intake.on_abandoned(node, event.token)


_HANDLERS: dict[type, Callable[[Node, Moment, Any], None]] = {
    events.Ticked: _ticked,
    events.StopAsked: _shutdown.on_stop_requested,
    events.CallReceived: _intake.on_call,
    events.CallAbandoned: _call_abandoned,
    events.LogRead: _tail.on_read,
    events.LogGap: _tail.on_gap,
    events.LogReadFailed: _tail.on_failed,
    events.SnapshotRead: _tail.on_snapshot,
    events.SnapshotWritten: _snapshot.on_written,
    events.Appended: _appended,
    events.PeerRecords: _forwarding.on_received,
    events.OperatorRead: _operator.on_read,
    events.OperatorReadBegan: _operator.on_read_began,
    events.OperatorReadFailed: _operator.on_failed,
    events.WorkersRead: _registry.on_registry,
    events.WorkersReadFailed: _registry.on_registry_failed,
    events.HoldAnswered: _hold_answered,
    events.HoldFailed: _workers.on_hold_failed,
    events.StartAnswered: _orders.on_answered,
    events.StopAnswered: _workers.on_stopped,
    events.PaceAnswered: _pacing.on_throttle_answered,
    events.AdviceAnswered: _advice.on_answered,
    events.InstancesListed: _instances.on_listed,
    events.InstanceOrderAnswered: _instances.on_ordered,
    events.WaveStatusAnswered: _waves.on_published,
}
