"""
Lists the instances of the fleet, drains them and orders their maintenance or move.

An order is written to the log before it is sent, so that a new owner knows which instances may be
down. The machine service may not check fencing tokens. Therefore a new owner waits before it orders
an instance that a previous owner has recently ordered, and an owner sends an order only shortly
after the store has confirmed its ownership.
"""

from . import (
    _candidates,
    _crashes,
    _draining,
    _evacuation,
    _registry,
    _runs,
    effects,
    events,
)
from ._journal import emit_after_commit, is_stalled, write
from ._node import Moment, Node, WaveState, Worker, emit, log_line
from ._records import InstanceDone, InstanceOrdered
from ._replicated_state import InstanceOrder, latest_write_s
from .model import InstanceRow

MAINTENANCE = "maintenance"
MOVE = "move"
# Interval between lists of instances while drains or orders are in progress, and otherwise.
BUSY_LIST_INTERVAL_S = 0.5
IDLE_LIST_INTERVAL_S = 3.0
# Interval between lists of instances and of workers from the time at which an instance should be
# back, and for how long; afterwards `BUSY_LIST_INTERVAL_S` applies again.
RETURN_LIST_INTERVAL_S = 0.1
RETURN_WINDOW_S = 0.6
# Retry delay of an order that was refused or not answered, and of one that was not sent.
ORDER_RETRY_S = 1.0
UNSENT_RETRY_S = 0.2
# Each outstanding order takes a connection.
MAX_OUTSTANDING_ORDERS = 20
# Fraction of the order rate that the machine service accepts; other clients may send orders as
# well.
ORDER_RATE_FRACTION = 0.8
# Orders that the rate allowed but that were not sent may be caught up on for this time.
ORDER_BURST_S = 0.2
# Age of the store's last confirmation of this owner up to which an order may be sent.
MAX_CONFIRMATION_AGE_S = 0.8
# Time from the last confirmation of an owner until all its orders are answered or given up.
MAX_OPEN_ORDER_S = MAX_CONFIRMATION_AGE_S + effects.ORDER_TIMEOUT_S
# Age of a decision from which a move is decided anew instead of being ordered; several times the
# time that a commit takes at a store that does not count as stalled.
MAX_DECISION_AGE_S = 1.5
# Added to the time between orders of two owners, for clock differences and queued packets.
ORDER_MARGIN_S = 0.5
# After this time an instance that was ordered down is up again or listed with its actual state.
RECENT_ORDER_S = 15.0
UP = "up"
DOWN = "down"
# Reasons of a refused order: the instance is not up; it is not one of the wave.
BUSY = "busy"
NOT_IN_WAVE = "wave"


def list_instances(node: Node, at: Moment) -> None:
    """
    Request the list of instances from the machine service if a new one is due.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    fleet = node.fleet
    interval_s = IDLE_LIST_INTERVAL_S
    if _is_return_due(node, at):
        interval_s = RETURN_LIST_INTERVAL_S
        _read_registry_soon(node)
    elif (
        fleet.draining
        or fleet.down
        or _has_unreachable_workers(node)
        or _has_unlisted_instances(node)
    ):
        interval_s = BUSY_LIST_INTERVAL_S
    if not fleet.is_listing and at.now_s - fleet.listed_s >= interval_s:
        fleet.is_listing = True
        fleet.listed_s = at.now_s
        emit(node, effects.ListInstances())


def _read_registry_soon(node: Node) -> None:
    """
    Bring the next read of the registry forward, unless the latest one failed.
    """
    registry = node.registry
    if registry.next_read_s <= registry.last_success_s + _registry.REGISTRY_INTERVAL_S:
        soon_s = registry.last_success_s + RETURN_LIST_INTERVAL_S
        registry.next_read_s = min(registry.next_read_s, soon_s)


def _is_return_due(node: Node, at: Moment) -> bool:
    """
    Return whether an instance should be back from its move or maintenance about now.
    """
    fleet = node.fleet
    for instance, since_s in fleet.down.items():
        is_move = instance in fleet.pool_of
        due_s = since_s + (node.bounds.move_s if is_move else node.bounds.upkeep_s)
        if due_s <= at.now_s < due_s + RETURN_WINDOW_S:
            return True
    return False


def _has_unreachable_workers(node: Node) -> bool:
    return any(worker.is_failing for worker in node.workers.values())


def _has_unlisted_instances(node: Node) -> bool:
    """
    Return whether a wave names instances that the latest list may be too old to have.
    """
    return any(
        state.seen_s > node.fleet.rows_s and not node.fleet.rows.keys() >= set(state.wave.instances)
        for number, state in node.waves.items()
        if number not in node.replicated.closed_waves
    )


def unmaintained_instances(node: Node, state: WaveState) -> list[str]:
    """
    Return the instances of a wave that are not maintained yet and not known to be gone.

    :param node: the instance, which owns the log.
    :param state: the wave.
    :returns: their names, in the order of the wave.
    """
    maintained = node.replicated.maintained.get(state.wave.number, set())
    return [
        name
        for name in state.wave.instances
        if name not in maintained and not _is_gone(node, state, name)
    ]


def _is_gone(node: Node, state: WaveState, instance: str) -> bool:
    """
    Return whether an instance of a wave has left the fleet.

    It may have joined just before the wave was published, so only a list that was requested
    afterwards is evidence, unless a worker on the instance has answered since.
    """
    fleet = node.fleet
    if fleet.rows_s < state.seen_s or instance in fleet.rows:
        return False
    return not any(w.is_held and w.clock_at_s > fleet.rows_s for w in _workers_on(node, instance))


def on_listed(node: Node, at: Moment, event: events.InstancesListed) -> None:
    """
    Process the list of instances.

    :param node: the instance.
    :param at: the time.
    :param event: the list.
    """
    fleet = node.fleet
    if node.ownership.is_owner and event.sent_s < node.ownership.claimed_s:
        # Requested during a former ownership, it may lack instances that are in use since.
        log_line(node, "instances.outdated_list", age_s=round(at.now_s - event.sent_s, 3))
        return
    fleet.is_listing = False
    if event.rows is None or not node.ownership.is_owner:
        return
    fleet.rows = {row.instance: row for row in event.rows}
    fleet.rows_s = event.sent_s
    for instance, since_s in list(fleet.down.items()):
        row = fleet.rows.get(instance)
        if event.sent_s > since_s and (row is None or row.state == UP):
            del fleet.down[instance]
            fleet.draining.pop(instance, None)
            fleet.pool_of.pop(instance, None)
            fleet.refused.pop(instance, None)
            log_line(node, "instance.back", instance=instance, is_listed=row is not None)
            if row is not None:
                _end_replaced_workers(node, at, row)
    _drop_unlisted(node)
    _settle_moves(node, at)
    _close_refused(node, at)
    _resume_workers(node)
    _end_stopped_workers(node, at)
    node.plan_due = True


def _drop_unlisted(node: Node) -> None:
    """
    Cancel the drains of instances that are no longer listed, which would block the rest of their
    wave.
    """
    fleet = node.fleet
    for instance in fleet.draining.keys() - fleet.rows.keys():
        reason = fleet.draining.pop(instance)
        fleet.pool_of.pop(instance, None)
        fleet.refused.pop(instance, None)
        log_line(node, "instance.gone", instance=instance, emptied_for=reason)


def _settle_moves(node: Node, at: Moment) -> None:
    """
    Use instances again whose moves were not answered but which the list shows done, so that their
    orders need not be sent again.
    """
    fleet = node.fleet
    for instance, pool in list(fleet.pool_of.items()):
        row, order = fleet.rows.get(instance), node.replicated.orders.get(instance)
        is_open = instance not in fleet.in_flight and instance not in fleet.down
        if row is None or order is None or not is_open or instance in fleet.moved:
            continue
        is_this_move = not order.is_done and order.wave < 0 and order.pool == pool
        is_done = row.state == UP and row.pool == pool
        # Only a list that was requested after the order was recorded is evidence.
        if not (is_this_move and is_done and fleet.rows_s > order.seen_s):
            continue
        log_line(node, "instance.moved", instance=instance, pool=pool)
        _end_former_workers(node, at, instance)
        _end_replaced_workers(node, at, row)
        fleet.draining.pop(instance, None)
        del fleet.pool_of[instance]
        fleet.unanswered.pop(instance, None)
        fleet.refused.pop(instance, None)
        fleet.moved.add(instance)
    _record_moved(node, at)


def _close_refused(node: Node, at: Moment) -> None:
    """
    Give up refused orders whose instances the list shows up, once no attempt that had no answer can
    be carried out any more.
    """
    fleet = node.fleet
    for instance, refused_s in list(fleet.refused.items()):
        row = fleet.rows.get(instance)
        is_open = instance not in fleet.in_flight and instance not in fleet.down
        if row is None or row.state != UP or not is_open:
            continue
        late_s = owner_gap_s(node)
        last_s = fleet.unanswered.get(instance, refused_s - late_s) + late_s
        # Only a list that was requested afterwards shows that none was carried out.
        if fleet.rows_s > max(refused_s, last_s):
            _give_up(node, at, instance)


def _give_up(node: Node, at: Moment, instance: str) -> None:
    """
    Use an instance again whose order was not and will not be carried out.
    """
    fleet = node.fleet
    reason = fleet.draining.pop(instance, None)
    pool = fleet.pool_of.pop(instance, "")
    fleet.unanswered.pop(instance, None)
    fleet.refused.pop(instance, None)
    order = node.replicated.orders.get(instance)
    if order is not None and not order.is_done and order.wave < 0:
        write(node, at, InstanceDone(node.ownership.epoch, instance, -1))
    log_line(node, "instance.order_given_up", instance=instance, pool=pool, reason=reason)


def _record_moved(node: Node, at: Moment) -> None:
    """
    Record moves as done that a list showed done. While a previous owner may still send the order,
    it stays open, so that no other order for the instance is sent.
    """
    for instance in list(node.fleet.moved):
        if former_order_expired(node, at, instance):
            node.fleet.moved.discard(instance)
            write(node, at, InstanceDone(node.ownership.epoch, instance, -1))


def _resume_workers(node: Node) -> None:
    """
    Use ended workers again that a list, requested after their end, shows on an instance that is up.
    """
    for row in node.fleet.rows.values():
        worker = node.workers.get(row.worker)
        if worker is None or not worker.has_ended or row.state != UP:
            continue
        if node.fleet.rows_s > worker.ended_s:
            _registry.resume_incarnation(node, worker)


def _end_replaced_workers(node: Node, at: Moment, row: InstanceRow) -> None:
    """
    End the workers that an instance no longer has after an order, and call those that it may have.
    """
    for worker in _workers_on(node, row.instance):
        if worker.id == row.worker:
            continue
        if row.worker or row.pool != worker.entry.service:
            _registry.end_incarnation(node, at, worker, "instance_has_another_worker")
        else:
            worker.next_hold_s = min(worker.next_hold_s, at.now_s)


def _end_stopped_workers(node: Node, at: Moment) -> None:
    """
    End unreachable workers, or record their runs as lost, if a list shows that their instances are
    gone, not up or in use by another worker.
    """
    for worker in node.workers.values():
        if not worker.is_failing or worker.has_ended:
            continue
        row = node.fleet.rows.get(worker.entry.instance)
        # Only a list that was requested after the worker became unreachable is evidence.
        if node.fleet.rows_s < worker.failing_since_s or not worker.entry.instance:
            continue
        if row is None:
            if not worker.is_listed:
                _registry.end_incarnation(node, at, worker, "instance_gone")
        elif row.worker and row.worker != worker.id:
            has_crashed = not _crashes.is_end_planned(node, worker)
            reason = "instance_has_another_worker"
            _registry.end_incarnation(node, at, worker, reason, has_crashed)
        elif row.state == DOWN and not _crashes.is_end_planned(node, worker):
            _crashes.end_all_crashed(node, at, worker, "instance_down")
        elif row.state != UP:
            _runs.mark_all_lost(node, at, worker, f"instance_{row.state}")


def drain_instances(node: Node, at: Moment) -> None:
    """
    Continue draining instances, and order those that are empty.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    for worker in node.workers.values():
        if worker.entry.is_draining and worker.is_listed and not worker.is_failing:
            _draining.drain_long_running(node, at, worker)
    if node.registry.last_success_s <= node.ownership.claimed_s:
        # The registry has not been read since the claim, so the workers on the instances are
        # unknown.
        return
    _record_moved(node, at)
    _use_answering_instances(node)
    if not may_decide(node, at):
        return
    for instance, reason in list(node.fleet.draining.items()):
        if instance in node.fleet.down or instance in node.fleet.in_flight:
            continue
        if instance in node.fleet.refused and instance not in node.fleet.unanswered:
            # It is not up. The demand may have changed once it is.
            continue
        for worker in _workers_on(node, instance):
            if worker.is_held and not worker.is_failing:
                _draining.drain_long_running(node, at, worker)
        if _may_have_runs(node, instance):
            continue
        is_retry_due = at.now_s >= node.fleet.retry_s.get(instance, 0.0)
        if (
            is_retry_due
            and _within_order_limits(node, at)
            and former_order_expired(node, at, instance)
        ):
            _order_instance(node, at, instance, reason)


def _use_answering_instances(node: Node) -> None:
    """
    Use instances again that a previous owner ordered, once a worker there answers. The order was
    recorded as done before this owner's claim, so a worker that answers this owner came after it.
    """
    fleet = node.fleet
    for instance in list(fleet.down):
        order = node.replicated.orders.get(instance)
        if order is None or not order.is_done or order.epoch == node.ownership.epoch:
            continue
        workers = _workers_on(node, instance)
        if any(worker.is_held and not worker.is_failing for worker in workers):
            del fleet.down[instance]
            fleet.draining.pop(instance, None)
            log_line(node, "instance.answers", instance=instance)


def _within_order_limits(node: Node, at: Moment) -> bool:
    """
    Return whether the limits of outstanding orders and of the order rate allow one more order.
    """
    fleet = node.fleet
    return len(fleet.in_flight) < MAX_OUTSTANDING_ORDERS and at.now_s >= fleet.next_order_s


def _workers_on(node: Node, instance: str) -> list[Worker]:
    return [
        worker
        for worker in node.workers.values()
        if worker.entry.instance == instance and not worker.has_ended
    ]


def _may_have_runs(node: Node, instance: str) -> bool:
    """
    Return whether anything may run on an instance, also if its worker is no longer listed: registry
    entries expire while the store is unavailable.
    """
    row = node.fleet.rows.get(instance)
    if row is not None and row.worker and row.worker in node.replicated.running:
        return True
    return any(
        _candidates.is_busy(node, worker) or not (worker.is_held or worker.is_failing)
        for worker in _workers_on(node, instance)
    )


def former_order_expired(node: Node, at: Moment, instance: str) -> bool:
    """
    Return whether no order of a previous owner for the instance is recent or may still be sent.

    :param node: the instance.
    :param at: the time.
    :param instance: the instance to order.
    :returns: whether this owner may order it.
    """
    order = node.replicated.orders.get(instance)
    if order is None or order.epoch == node.ownership.epoch:
        return True
    age_s = min_age_s(node, at, order)
    if not order.is_done:
        # The previous owner may have sent it at any time up to this owner's claim.
        age_s = min(age_s, at.now_s - node.ownership.claimed_s)
    return age_s > owner_gap_s(node)


def owner_gap_s(node: Node) -> float:
    """
    Return the minimum time between orders of two owners for the same instance.

    :param node: the instance.
    :returns: seconds; at least until an order of the previous owner has been given up.
    """
    return max(node.bounds.order_lease_s, MAX_OPEN_ORDER_S) + ORDER_MARGIN_S


def min_age_s(node: Node, at: Moment, order: InstanceOrder) -> float:
    """
    Return the least time that has passed since an order was given, independent of wall clocks.

    :param node: the instance.
    :param at: the time.
    :param order: the order.
    :returns: age in seconds.
    """
    return at.now_s - latest_write_s(node.replicated, order)


def _order_instance(node: Node, at: Moment, instance: str, reason: str) -> None:
    """
    Record an order for an instance, and send it once the record is committed.
    """
    wave, pool = -1, ""
    if reason == MAINTENANCE:
        wave = node.fleet.wave_of[instance]
    else:
        pool = node.fleet.pool_of[instance]
    node.fleet.in_flight[instance] = at.now_s
    if instance not in node.fleet.unanswered:
        node.fleet.former_workers[instance] = {
            worker.id: worker.entry.incarnation for worker in _workers_on(node, instance)
        }
    earliest_s = max(node.fleet.next_order_s, at.now_s - ORDER_BURST_S)
    node.fleet.next_order_s = earliest_s + 1 / (ORDER_RATE_FRACTION * node.bounds.orders_per_s)
    epoch = node.ownership.epoch
    write(node, at, InstanceOrdered(epoch, instance, wave, pool, at.wall_ms))
    emit_after_commit(node, effects.OrderInstance(instance, wave, pool, epoch))
    log_line(node, "instance.order", instance=instance, wave=wave, pool=pool, epoch=epoch)


def may_decide(node: Node, at: Moment) -> bool:
    """
    Return whether the store responds well enough to decide about instances.

    An order can only be sent once its record is committed. While that takes too long, the demand
    is not known either, and what is decided then would be carried out much later.

    :param node: the instance.
    :param at: the time.
    :returns: whether drains and orders may be decided now.
    """
    return is_order_allowed(node, at) and not is_stalled(node, at.now_s)


def is_order_allowed(node: Node, at: Moment) -> bool:
    """
    Return whether the store has confirmed this owner recently enough to send an order.

    :param node: the instance.
    :param at: the time.
    :returns: whether an order may be sent now.
    """
    return (
        node.ownership.is_owner and at.now_s - node.ownership.confirmed_s <= MAX_CONFIRMATION_AGE_S
    )


def send_order(node: Node, at: Moment, effect: effects.OrderInstance) -> None:
    """
    Send an order whose record is committed, unless the confirmation of this owner is too old.

    A move that was decided too long ago is withdrawn, and so is one that would bring an instance of
    an evacuated availability zone into a pool. The sizes of the pools are decided anew.

    :param node: the instance.
    :param at: the time.
    :param effect: the order.
    """
    fleet = node.fleet
    age_s = at.now_s - fleet.in_flight.get(effect.instance, at.now_s)
    is_move = effect.wave < 0
    is_outdated = age_s > MAX_DECISION_AGE_S or _brings_evacuated(node, effect)
    if is_move and is_outdated and effect.instance not in fleet.unanswered:
        _withdraw(node, at, effect, age_s)
        return
    if is_order_allowed(node, at):
        emit(node, effect)
        return
    fleet.in_flight.pop(effect.instance, None)
    log_line(node, "instance.order_too_late", instance=effect.instance)


def _brings_evacuated(node: Node, effect: effects.OrderInstance) -> bool:
    """
    Return whether a move would bring an instance of an evacuated availability zone into a pool.
    """
    row = node.fleet.rows.get(effect.instance)
    service = node.config.services.get(effect.pool) if node.config is not None else None
    if row is None or service is None or service.is_standby:
        return False
    return _evacuation.is_evacuated(node, row.zone)


def _withdraw(node: Node, at: Moment, effect: effects.OrderInstance, age_s: float) -> None:
    """
    Withdraw the order of a move, which was recorded but never sent.
    """
    fleet = node.fleet
    for pending in (fleet.in_flight, fleet.draining, fleet.pool_of):
        pending.pop(effect.instance, None)
    # Until this record is committed, a new owner would send the order, which does no harm.
    write(node, at, InstanceDone(node.ownership.epoch, effect.instance, effect.wave))
    log_line(
        node,
        "instance.order_withdrawn",
        instance=effect.instance,
        pool=effect.pool,
        age_s=round(age_s, 3),
    )


def on_ordered(node: Node, at: Moment, event: events.InstanceOrderAnswered) -> None:
    """
    Process the outcome of an order.

    :param node: the instance.
    :param at: the time.
    :param event: the outcome.
    """
    fleet = node.fleet
    fleet.in_flight.pop(event.instance, None)
    log_line(
        node,
        "instance.ordered",
        instance=event.instance,
        wave=event.wave,
        pool=event.pool,
        outcome=event.outcome,
        reason=event.reason,
    )
    if not node.ownership.is_owner:
        return
    if event.outcome == events.OK:
        fleet.down[event.instance] = at.now_s
        fleet.unanswered.pop(event.instance, None)
        fleet.refused.pop(event.instance, None)
        _end_former_workers(node, at, event.instance)
        write(node, at, InstanceDone(node.ownership.epoch, event.instance, event.wave))
        return
    if event.outcome == events.UNKNOWN:
        # The instance may be down already; in that case the retry is answered as done.
        fleet.unanswered[event.instance] = at.now_s
        fleet.retry_s[event.instance] = at.now_s + ORDER_RETRY_S
        return
    is_unsent = event.outcome == events.UNSENT
    fleet.retry_s[event.instance] = at.now_s + (UNSENT_RETRY_S if is_unsent else ORDER_RETRY_S)
    is_wanted = event.wave >= 0 and event.reason != NOT_IN_WAVE
    if is_wanted:
        return
    if event.instance in fleet.unanswered or event.reason == BUSY:
        # A refusal says nothing about an earlier attempt that had no answer.
        fleet.refused[event.instance] = at.now_s
    else:
        _give_up(node, at, event.instance)


def _end_former_workers(node: Node, at: Moment, instance: str) -> None:
    """
    End the workers that were on an instance before its order was first recorded.

    The service also answers OK if the order was carried out earlier. The instance may then have its
    new worker already; only a list of the instances shows which of the others has ended.
    """
    for worker_id, incarnation in node.fleet.former_workers.pop(instance, {}).items():
        worker = node.workers.get(worker_id)
        if worker is not None and worker.entry.incarnation == incarnation:
            _registry.end_incarnation(node, at, worker, "instance_ordered_down")


def resume_orders(node: Node, at: Moment) -> None:
    """
    Resume the orders of a previous owner.

    Orders that may not have been carried out are sent again, and their instances stay drained until
    then.

    :param node: the instance, which has just become the owner of the log.
    :param at: the time.
    """
    for instance, order in node.replicated.orders.items():
        if order.is_done:
            continue
        node.fleet.unanswered[instance] = at.now_s
        if order.wave >= 0:
            node.fleet.draining[instance] = MAINTENANCE
            node.fleet.wave_of[instance] = order.wave
        else:
            node.fleet.draining[instance] = MOVE
            node.fleet.pool_of[instance] = order.pool
    # Any instance that was ordered recently may still be down.
    for instance, order in node.replicated.orders.items():
        if order.is_done and min_age_s(node, at, order) < RECENT_ORDER_S:
            node.fleet.down[instance] = at.now_s
            node.fleet.draining[instance] = MAINTENANCE
