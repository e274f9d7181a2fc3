"""
Works off maintenance waves: empties instances, orders them down, and waits until they are back.

An order stands in the log before it is sent, so a new owner knows which instances may be down. The
machine service may not check tokens, so a new owner waits before it gives orders, and an owner
gives none unless the store has just confirmed it.
"""

from . import _book, _planner, _runs, _workers, effects, events
from ._book import Job, StepState, Task, occurrence_of
from ._node import Moment, Node, WaveState, Worker, emit, log_line
from ._journal import follow_with, write
from ._records import InstanceDone, InstanceOrdered, WaveClosed
from .model import InstanceRow, Room

MAINTENANCE = "maintenance"
MOVE = "move"
# The list of instances is read this often while orders are out, and otherwise.
BUSY_LIST_S = 0.5
IDLE_LIST_S = 3.0
# An order that was refused or not answered is tried again after this.
ORDER_RETRY_S = 1.0
# An order is sent only this long after the store last confirmed the owner.
CONFIRMED_S = 0.8
# Added to the time between orders of two owners, for clocks and queued packets.
ORDER_MARGIN_S = 0.5
# Load of a pool above which its instances wait for their turn, while the wave has time.
BUSY_POOL = 0.6
# Time to empty an instance and to have it back, beyond its maintenance; as short tasks take.
EMPTYING_S = 2.5
# Part of a wave's time after which load does not hold it up any more.
URGENT_PART = 0.5
# An order that a former owner recorded this long ago is over, even with a clock that jumped.
RECENT_ORDER_S = 15.0
UP = "up"


def advance(node: Node, at: Moment) -> None:
    """
    Take the next steps of every wave.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    _list_instances(node, at)
    for number in sorted(node.waves):
        state = node.waves[number]
        _publish(node, at, state)
        if number not in node.book.closed_waves:
            _advance_wave(node, at, state)
    _empty_instances(node, at)


def _list_instances(node: Node, at: Moment) -> None:
    fleet = node.fleet
    is_busy = bool(fleet.emptying or fleet.down or _has_doubts(node))
    interval_s = BUSY_LIST_S if is_busy else IDLE_LIST_S
    if not fleet.is_listing and at.now_s - fleet.listed_s >= interval_s:
        fleet.is_listing = True
        fleet.listed_s = at.now_s
        emit(node, effects.ListInstances())


def _has_doubts(node: Node) -> bool:
    return any(worker.is_failing for worker in node.workers.values())


def on_listed(node: Node, at: Moment, event: events.InstancesListed) -> None:
    """
    Take the list of instances.

    :param node: the instance.
    :param at: the time.
    :param event: the list.
    """
    fleet = node.fleet
    fleet.is_listing = False
    if event.rows is None or not node.ownership.is_owner:
        return
    fleet.rows = {row.instance: row for row in event.rows}
    fleet.rows_s = event.sent_s
    for instance, since_s in list(fleet.down.items()):
        row = fleet.rows.get(instance)
        if row is None or (row.state == UP and event.sent_s > since_s):
            del fleet.down[instance]
            fleet.emptying.pop(instance, None)
            fleet.pool_of.pop(instance, None)
            log_line(node, "instance.back", instance=instance, is_listed=row is not None)
    _end_stopped(node, at)
    node.plan_due = True


def _end_stopped(node: Node, at: Moment) -> None:
    for worker in node.workers.values():
        if not worker.is_failing or worker.is_over:
            continue
        row = node.fleet.rows.get(worker.entry.instance)
        # Only what a list says that was asked for after the worker fell silent counts.
        if row is None or node.fleet.rows_s < worker.failing_since_s:
            continue
        if row.worker and row.worker != worker.id:
            _workers.end_life(node, at, worker, "instance_has_another_worker")
        elif row.state != UP:
            _runs.lose_all(node, at, worker, f"instance_{row.state}")


def _publish(node: Node, at: Moment, state: WaveState) -> None:
    is_closed = state.wave.number in node.book.closed_waves
    wanted = "completed" if is_closed else "running"
    if state.published == wanted or at.now_s < state.asked_s:
        return
    state.asked_s = at.now_s + ORDER_RETRY_S
    emit(node, effects.PublishWave(state.wave.number, wanted))


def on_published(node: Node, at: Moment, event: events.WaveStatusAnswered) -> None:
    """
    Take note that the state of a wave is published.

    :param node: the instance.
    :param at: the time.
    :param event: the outcome.
    """
    state = node.waves.get(event.wave)
    if state is None:
        return
    if event.outcome == events.OK:
        state.published = event.state
    log_line(
        node, "wave.published", wave=event.wave, state=event.state, outcome=event.outcome
    )


def _left(node: Node, state: WaveState) -> list[InstanceRow]:
    """
    Give the instances of a wave that are still there and not maintained yet.
    """
    done = node.book.maintained.get(state.wave.number, set())
    rows = (node.fleet.rows.get(name) for name in state.wave.instances if name not in done)
    return [row for row in rows if row is not None]


def _advance_wave(node: Node, at: Moment, state: WaveState) -> None:
    fleet = node.fleet
    if not fleet.rows:
        return
    wave = state.wave
    left = _left(node, state)
    if not left:
        if not any(name in fleet.down for name in wave.instances):
            write(node, at, WaveClosed(node.ownership.epoch, wave.number))
            log_line(
                node,
                "wave.completed",
                wave=wave.number,
                took_s=round(at.now_s - state.seen_s, 2),
            )
        return
    in_work = sum(name in fleet.emptying or name in fleet.down for name in wave.instances)
    for row in sorted(left, key=lambda row: _busyness(node, row)):
        if in_work >= wave.max_down:
            return
        if row.instance in fleet.emptying or row.state != UP:
            continue
        if not _may_empty(node, at, state, row, len(left)):
            continue
        fleet.emptying[row.instance] = MAINTENANCE
        fleet.wave_of[row.instance] = wave.number
        in_work += 1
        log_line(
            node,
            "instance.emptying",
            instance=row.instance,
            wave=wave.number,
            pool=row.pool,
            left=len(left),
        )


def _busyness(node: Node, row: InstanceRow) -> tuple[float, int]:
    worker = node.workers.get(row.worker)
    if worker is None:
        return (0.0, 0)
    return (pool_load(node, row.pool), len(_runs.runs_on(node, worker.id)))


def pool_load(node: Node, pool: str) -> float:
    """
    Give the part of a pool's processors that is in use.

    :param node: the instance.
    :param pool: the pool.
    :returns: 0 to 1; 1 for a pool without workers.
    """
    have = need = 0
    for worker in node.workers.values():
        if worker.entry.service == pool and worker.is_listed:
            have += worker.entry.capacity.millicores
            need += node.book.load.get(worker.id, Room()).millicores
    return need / have if have else 1.0


def _may_empty(node: Node, at: Moment, state: WaveState, row: InstanceRow, left: int) -> bool:
    if not row.worker or row.worker not in node.workers:
        return True
    wave = state.wave
    each_s = node.bounds.upkeep_s + EMPTYING_S
    need_s = each_s * left / max(1, wave.max_down)
    left_s = state.seen_s + wave.duration_s - at.now_s
    is_urgent = need_s > left_s * URGENT_PART
    return is_urgent or pool_load(node, row.pool) < BUSY_POOL


def _empty_instances(node: Node, at: Moment) -> None:
    workers = {worker.entry.instance: worker for worker in node.workers.values()}
    for instance, reason in list(node.fleet.emptying.items()):
        if instance in node.fleet.down or instance in node.fleet.in_flight:
            continue
        worker = workers.get(instance)
        if worker is not None and worker.is_listed:
            move_lasting(node, at, worker)
            if _planner.is_busy(node, worker):
                continue
        is_time = at.now_s >= node.fleet.retry_s.get(instance, 0.0)
        if is_time and _is_free_of_former(node, at, instance):
            _order(node, at, instance, reason)


def _is_free_of_former(node: Node, at: Moment, instance: str) -> bool:
    """
    Tell whether no former owner has given the instance an order lately, or still may.
    """
    order = node.book.orders.get(instance)
    if order is None or order.epoch == node.ownership.epoch:
        return True
    # An order that is not known to be done may have been sent until this owner's claim.
    since_s = order.seen_s if order.is_done else max(order.seen_s, node.ownership.claimed_s)
    return at.now_s - since_s > node.bounds.order_lease_s + ORDER_MARGIN_S


def _order(node: Node, at: Moment, instance: str, reason: str) -> None:
    wave, pool = -1, ""
    if reason == MAINTENANCE:
        wave = node.fleet.wave_of[instance]
    else:
        pool = node.fleet.pool_of[instance]
    node.fleet.in_flight[instance] = at.now_s
    epoch = node.ownership.epoch
    write(node, at, InstanceOrdered(epoch, instance, wave, pool, at.wall_ms))
    follow_with(node, effects.OrderInstance(instance, wave, pool, epoch))
    log_line(node, "instance.order", instance=instance, wave=wave, pool=pool, epoch=epoch)


def is_order_allowed(node: Node, at: Moment) -> bool:
    """
    Tell whether the store has confirmed this owner recently enough for an order.

    :param node: the instance.
    :param at: the time.
    :returns: whether an order may be sent now.
    """
    return node.ownership.is_owner and at.now_s - node.ownership.confirmed_s <= CONFIRMED_S


def send_order(node: Node, at: Moment, effect: effects.OrderInstance) -> None:
    """
    Send an order whose record stands in the log, if it still may be sent.

    :param node: the instance.
    :param at: the time.
    :param effect: the order.
    """
    if is_order_allowed(node, at):
        emit(node, effect)
        return
    node.fleet.in_flight.pop(effect.instance, None)
    log_line(node, "instance.order_too_late", instance=effect.instance)


def on_ordered(node: Node, at: Moment, event: events.InstanceOrderAnswered) -> None:
    """
    Take the outcome of an order.

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
        for worker in node.workers.values():
            if worker.entry.instance == event.instance:
                _workers.end_life(node, at, worker, "instance_ordered_down")
        write(node, at, InstanceDone(node.ownership.epoch, event.instance, event.wave))
        return
    if event.outcome == events.UNKNOWN:
        # It may be down already; the next try is answered as done if it was.
        fleet.retry_s[event.instance] = at.now_s + ORDER_RETRY_S
        return
    fleet.retry_s[event.instance] = at.now_s + ORDER_RETRY_S
    if event.reason == "wave" or event.wave < 0:
        fleet.emptying.pop(event.instance, None)
        fleet.pool_of.pop(event.instance, None)


def move_lasting(node: Node, at: Moment, worker: Worker) -> None:
    """
    Stop tasks that last on a worker, as far as their steps can do without them for a while and
    there is room for them elsewhere.

    :param node: the instance.
    :param at: the time.
    :param worker: the worker.
    """
    for task in list(_runs.runs_on(node, worker.id).values()):
        job = node.book.jobs[task.key.job]
        step = job.spec.steps[task.key.step]
        if not step.lasts or task.key in worker.stops or job.state in _book.FINAL_STATES:
            continue
        state = occurrence_of(job, task.key.occurrence)[task.key.step]
        if not may_take_away(node, state):
            continue
        if not _has_room_elsewhere(node, at, job, state, worker):
            continue
        log_line(
            node,
            "run.moved_away",
            job=job.id,
            task=".".join(map(str, task.key[1:])),
            run=task.run,
            worker=worker.id,
        )
        _runs.send_stop(node, at, worker, task.key, task.run)


def may_take_away(node: Node, state: StepState) -> bool:
    """
    Tell whether planned work may take one more task of a step that lasts away.

    :param node: the instance.
    :param state: the step.
    :returns: whether its budget allows it.
    """
    away = sum(not is_at_work(node, task) for task in state.tasks)
    return away < state.step.max_unavailable


def is_at_work(node: Node, task: Task) -> bool:
    """
    Tell whether a task that lasts was at work when its worker last answered, and is not being
    stopped.

    :param node: the instance.
    :param task: the task.
    :returns: whether it works.
    """
    worker = node.workers.get(task.worker)
    if task.status != _book.RUNNING or worker is None or worker.is_failing:
        return False
    row = worker.rows.get(task.key)
    is_up = row is not None and row.run == task.run and row.percent >= 100
    return is_up and task.key not in worker.stops


def _has_room_elsewhere(
    node: Node, at: Moment, job: Job, state: StepState, worker: Worker
) -> bool:
    step = state.step
    seats = _planner.seat_counts(state)
    for other in node.workers.values():
        if other is worker or other.entry.service != worker.entry.service:
            continue
        if not _planner.takes_work(node, at, other):
            continue
        if step.label and step.label not in other.entry.labels:
            continue
        if step.max_per_worker and seats[other.id] >= step.max_per_worker:
            continue
        if step.room.fits(_workers.free_room(node, other)):
            return True
    return False


def take_over(node: Node, at: Moment) -> None:
    """
    Go on with the orders of a former owner: those that may not have been carried out are sent
    again, and their instances stay empty until then.

    :param node: the instance, which has just come to own the log.
    :param at: the time.
    """
    for instance, order in node.book.orders.items():
        if order.is_done:
            continue
        if order.wave >= 0:
            node.fleet.emptying[instance] = MAINTENANCE
            node.fleet.wave_of[instance] = order.wave
        else:
            node.fleet.emptying[instance] = MOVE
            node.fleet.pool_of[instance] = order.pool
    # Any instance that was ordered a moment ago may be down still.
    for instance, order in node.book.orders.items():
        recent_s = (at.wall_ms - order.at_ms) / 1000
        if order.is_done and recent_s < RECENT_ORDER_S:
            node.fleet.down[instance] = at.now_s
            node.fleet.emptying[instance] = MAINTENANCE

