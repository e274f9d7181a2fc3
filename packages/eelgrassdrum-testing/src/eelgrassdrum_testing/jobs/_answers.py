"""
The other side of the instances' effects: store, workers, machine service and callers.
"""

import random
from collections.abc import Callable, Mapping
from typing import Any

from eelgrassdrum_core.jobs import effects, events, model

from . import _rules
from ._crashing import CRASHING_TASK_S, plan_crash
from ._store import SILENT, UP, StoredRead
from ._worker import JobWorker
from ._world import (
    LINK_S,
    MOVE_S,
    STOP_S,
    TICK_S,
    TIMEOUT_S,
    Instance,
    World,
    advance_worker,
    advance_workers,
    bring_back,
    cancel,
    fresh_node,
    kill,
    later,
    operator_end,
    return_later,
    send_to,
    tick,
)

# Fraction of the orders without an answer that the machine service carries out, and the longest
# time until it does; shorter than the time that a new owner waits.
CARRIED_OUT_PART = 0.7
# Fraction of the repetitions of these orders that the machine service refuses.
REFUSED_REPEAT_PART = 0.5
LATE_ORDER_S = 3.0
# Bounds of the time after which a worker carries out a call that was held up on the way.
LEAST_LATE_S = 2.0
MOST_LATE_S = 12.0
# Longest time from the acceptance of a job to its prompt cancellation.
PROMPT_CANCEL_S = 1.5


def _reply(world: World, instance: Instance, effect: effects.Reply) -> None:
    kind, job = world.calls.pop(effect.token)
    world.answered[effect.outcome] = world.answered.get(effect.outcome, 0) + 1
    if kind == events.SUBMIT:
        if effect.outcome == effects.ACCEPTED:
            world.judge.accepted.add(job)
            world.judge.accepted_s.setdefault(job, world.now_s)
            world.judge.refused.discard(job)
            _cancel_promptly(world, job)
        elif effect.outcome == effects.UNAVAILABLE and job not in world.judge.accepted:
            world.judge.refused.add(job)
        elif effect.outcome == effects.NOT_ACCEPTED and job not in world.judge.accepted:
            world.judge.refused.add(job)
            return_later(world, job, effect.retry_after_s)
        elif effect.outcome == effects.UNCERTAIN:
            world.judge.accepted.discard(job)
            world.judge.refused.discard(job)
    elif kind == events.CANCEL and effect.outcome in (effects.STATE, effects.NO_SUCH_JOB):
        world.judge.cancel_acked_s.setdefault(job, world.now_s)
    elif kind == events.LOOK_UP and effect.outcome == effects.STATE:
        _judge_shown(world, instance, job, effect.detail)


def _judge_shown(world: World, instance: Instance, job: str, state: str) -> None:
    known_s = instance.node.tail.complete_s
    disturbed_s = max(world.store_disturbed_s, instance.disturbed_s)
    _rules.on_shown(world.judge, world.now_s, job, state, instance.name, known_s, disturbed_s)


def _cancel_promptly(world: World, job: str) -> None:
    """
    Let the caller of a job cancel it soon, perhaps at another instance.
    """
    if not world.prompt_cancel_part or world.rng.random() >= world.prompt_cancel_part:
        return
    name = world.rng.choice(sorted(world.instances))
    delay_s = world.rng.uniform(0.0, PROMPT_CANCEL_S)
    later(world, delay_s, lambda: cancel(world, name, job, "key-a"))


def _store_answers(world: World, instance: Instance) -> str | None:
    """
    Give why the store does not answer an instance, or ``None``.
    """
    store = world.store
    if instance.name in store.refused:
        return "503"
    if store.state == UP:
        return None
    return "timeout" if store.state == SILENT else "503"


def _append(world: World, instance: Instance, effect: effects.Append) -> None:
    failure = _store_answers(world, instance)

    def answer(outcome: str, delay_s: float) -> None:
        event = events.Appended(effect.channel, effect.seq, outcome)
        send_to(world, instance, delay_s, event)

    if failure == "503":
        answer(events.REFUSED, LINK_S)
        return
    if failure is not None:
        answer(events.UNKNOWN, TIMEOUT_S)
        return
    store = world.store
    is_lost = world.rng.random() < store.lost_part
    done_s = store.begin_append(world.now_s)
    if done_s is None:
        answer(events.REFUSED, LINK_S)
        return
    taken_s = done_s - world.now_s + store.delay_s
    is_late = taken_s > TIMEOUT_S

    def do() -> None:
        outcome = store.append(effect.producer, effect.epoch, effect.seq, effect.records)
        if not is_late:
            answer(events.UNKNOWN if is_lost else outcome, TIMEOUT_S if is_lost else LINK_S)

    if is_late:
        answer(events.UNKNOWN, TIMEOUT_S)
    later(world, taken_s, do)


def _forward(world: World, instance: Instance, effect: effects.Forward) -> None:
    is_answered = [False]

    def answer(outcome: str, refused: tuple[model.Refusal, ...] = ()) -> None:
        if not is_answered[0]:
            is_answered[0] = True
            event = events.Appended("intake", effect.seq, outcome, "", refused)
            send_to(world, instance, LINK_S, event)

    owner = world.instances.get(effect.address)
    later(world, effect.timeout_s, lambda: answer(events.UNKNOWN))
    if owner is None or owner.is_cut_from_peers or instance.is_cut_from_peers:
        return
    if not owner.is_up:
        answer(events.UNSENT)
        return
    token = next(world.numbers)
    world.exchanges[token] = answer
    received = events.PeerRecords(token, effect.epoch, effect.records, effect.may_refuse)
    send_to(world, owner, LINK_S, received)


def _answer_peer(world: World, instance: Instance, effect: effects.AnswerPeer) -> None:
    if not instance.is_cut_from_peers:
        world.exchanges.pop(effect.token)(effect.outcome, effect.refused)


def _read_log(world: World, instance: Instance, effect: effects.ReadLog) -> None:
    failure = "timeout" if instance.is_unread else _store_answers(world, instance)
    if failure is not None:
        send_to(world, instance, TIMEOUT_S, events.LogReadFailed(failure, world.now_s))
        return
    sent_s = world.now_s
    store = world.store
    is_answered = [False]

    def answer() -> None:
        if is_answered[0]:
            return
        is_answered[0] = True
        if effect.offset < store.first:
            gap = events.LogGap(store.first, effect.offset, sent_s)
            send_to(world, instance, LINK_S, gap)
            return
        records = tuple(store.records[effect.offset - store.first :])
        event = events.LogRead(effect.offset, records, store.end, sent_s)
        send_to(world, instance, LINK_S, event)

    if effect.offset < store.end or not effect.wait_s:
        later(world, store.delay_s, answer)
    else:
        store.waiting.append(StoredRead(effect.offset, answer))
        later(world, effect.wait_s, answer)


def _read_snapshot(world: World, instance: Instance, _effect: effects.ReadSnapshot) -> None:
    if _store_answers(world, instance) is not None:
        send_to(world, instance, TIMEOUT_S, events.LogReadFailed("timeout"))
    else:
        send_to(world, instance, world.store.delay_s, events.SnapshotRead(world.store.snapshot))


def _write_snapshot(world: World, instance: Instance, effect: effects.WriteSnapshot) -> None:
    if not world.store.takes_snapshots or _store_answers(world, instance) is not None:
        event = events.SnapshotWritten(effect.offset, events.REFUSED)
    else:
        world.store.snapshot = effect.data
        event = events.SnapshotWritten(effect.offset, events.OK)
    send_to(world, instance, world.store.delay_s, event)


def _trim(world: World, _instance: Instance, effect: effects.TrimLog) -> None:
    world.store.trim(effect.before)


def _read_operator(world: World, instance: Instance, effect: effects.ReadOperator) -> None:
    is_refused = instance.name in world.operator_unreadable
    failure = "refused" if is_refused else _store_answers(world, instance)
    if failure is not None:
        event = events.OperatorReadFailed(failure, sent_s=world.now_s)
        send_to(world, instance, TIMEOUT_S, event)
        return
    known = effect.cursor or 0
    cursor = operator_end(world)
    news = world.config if cursor > known else None
    is_full = effect.cursor is None
    requests = tuple(item for item in world.zone_requests if item.offset >= known)
    if is_full:
        newest = {item.zone: item for item in requests}
        requests = tuple(item for item in newest.values() if item.is_evacuated)
    waves = tuple(world.waves)
    read = events.OperatorRead(cursor, news, waves, world.now_s, 0, requests, is_full)
    send_to(world, instance, 0.3 if effect.wait_s and not news else LINK_S, read)


def _read_workers(world: World, instance: Instance, _effect: effects.ReadWorkers) -> None:
    failure = "refused" if world.is_registry_unreadable else _store_answers(world, instance)
    if failure is not None:
        event = events.WorkersReadFailed(failure, sent_s=world.now_s)
        send_to(world, instance, TIMEOUT_S, event)
        return
    entries: dict[str, model.WorkerEntry | None] = {
        worker.id: _entry(world, worker)
        for worker in world.workers.values()
        if worker.is_up and not worker.is_cut and not world.is_registry_empty
    }
    send_to(world, instance, 0.1, events.WorkersRead(1, True, entries, world.now_s))


def _entry(world: World, worker: JobWorker) -> model.WorkerEntry:
    return model.WorkerEntry(
        worker.id,
        worker.incarnation,
        worker.address,
        worker.service,
        worker.zone,
        worker.instance,
        worker.rack,
        frozenset({"a", worker.rack}),
        worker.capacity,
        worker.is_draining,
        worker.clock_ms(world.now_s),
    )


def _reach(world: World, instance: Instance, worker_id: str) -> JobWorker | None:
    worker = world.workers.get(worker_id)
    if worker is None or not worker.is_up or worker.is_cut or instance.is_cut_from_workers:
        return None
    if worker.unheard_part and world.rng.random() < worker.unheard_part:
        return None
    advance_worker(world, worker)
    return worker


def _is_closed(world: World, instance: Instance, worker_id: str) -> bool:
    """
    Give whether calls of an instance to a worker fail at once.
    """
    worker = world.workers.get(worker_id)
    if worker is None or worker.is_cut or instance.is_cut_from_workers:
        return False
    return worker.is_closed


def _hold(world: World, instance: Instance, effect: effects.Hold) -> None:
    sent_s = world.now_s
    due_s = world.now_s + effect.wait_s

    def fail() -> None:
        is_closed = _is_closed(world, instance, effect.worker)
        reason, delay_s = ("closed", LINK_S) if is_closed else ("timeout", TIMEOUT_S)
        event = events.HoldFailed(effect.worker, reason, effect.token, sent_s)
        send_to(world, instance, delay_s, event)

    if _is_held_up(world, effect.worker):
        _carry_out_late(world, lambda: _take_late_hold(world, effect))
        fail()
        return

    def poll() -> None:
        worker = _reach(world, instance, effect.worker)
        if worker is None:
            fail()
            return
        if effect.token < worker.token:
            event = events.HoldFailed(effect.worker, "fence", effect.token, sent_s)
            send_to(world, instance, LINK_S, event)
            return
        _take_hold(world, worker, effect)
        if not worker.ends and world.now_s < due_s:
            later(world, TICK_S, poll)
            return
        if _is_answer_lost(world, worker):
            fail()
            return
        answer = events.HoldAnswered(
            worker.id,
            effect.token,
            sent_s,
            worker.clock_ms(world.now_s),
            worker.incarnation,
            worker.rows(world.now_s),
            tuple(worker.ends[: world.ends_page]),
            len(worker.ends) < world.ends_page,
        )
        send_to(world, instance, LINK_S, answer)

    later(world, LINK_S, poll)


def _is_held_up(world: World, worker_id: str) -> bool:
    """
    Draw whether a stop or a hold is held up on its way to a worker.
    """
    worker = world.workers.get(worker_id)
    part = worker.late_call_part if worker is not None else 0.0
    return bool(part) and world.rng.random() < part


def _is_answer_lost(world: World, worker: JobWorker) -> bool:
    """
    Draw whether the answer of a worker is lost.
    """
    return bool(worker.lost_part) and world.rng.random() < worker.lost_part


def _carry_out_late(world: World, action: Callable[[], None]) -> None:
    later(world, world.rng.uniform(LEAST_LATE_S, MOST_LATE_S), action)


def _take_late_hold(world: World, effect: effects.Hold) -> None:
    """
    Carry out a hold that was held up, whatever has become of its worker meanwhile.
    """
    worker = world.workers.get(effect.worker)
    if worker is None or not worker.is_up:
        return
    advance_worker(world, worker)
    if effect.token >= worker.token:
        _take_hold(world, worker, effect)


def _take_hold(world: World, worker: JobWorker, effect: effects.Hold) -> None:
    worker.token = effect.token
    for end in worker.ends:
        if end.number <= effect.acked and end.number not in worker.lapsed:
            _rules.on_noted(world.judge, world.now_s, end)
    worker.ends = [end for end in worker.ends if end.number > effect.acked]
    if effect.lease_ms is not None:
        worker.lease_ms = max(worker.lease_ms, effect.lease_ms)


def _start(world: World, instance: Instance, effect: effects.StartTask) -> None:
    worker = world.workers.get(effect.worker)
    is_late = worker is not None and world.rng.random() < worker.late_part
    if is_late:
        _carry_out_late(world, lambda: _start_late(world, effect))
    if is_late or _reach(world, instance, effect.worker) is None:
        if not is_late and _is_closed(world, instance, effect.worker):
            answer = _start_answer(effect, events.UNSENT, "connect", 0)
            send_to(world, instance, LINK_S, answer)
            return
        outcome, reason = events.UNKNOWN, "timeout"
        send_to(world, instance, TIMEOUT_S, _start_answer(effect, outcome, reason, 0))
        return

    def fail() -> None:
        is_closed = _is_closed(world, instance, effect.worker)
        reason, delay_s = ("closed", LINK_S) if is_closed else ("timeout", TIMEOUT_S)
        send_to(world, instance, delay_s, _start_answer(effect, events.UNKNOWN, reason, 0))

    def do() -> None:
        reached = _reach(world, instance, effect.worker)
        if reached is None:
            fail()
            return
        reason = _do_start(world, effect)
        if not reached.is_up:
            fail()
            return
        if _is_answer_lost(world, reached):
            answer = _start_answer(effect, events.UNKNOWN, "timeout", 0)
            send_to(world, instance, TIMEOUT_S, answer)
            return
        outcome = events.REFUSED if reason else events.OK
        clock_ms = reached.clock_ms(world.now_s)
        send_to(world, instance, LINK_S, _start_answer(effect, outcome, reason, clock_ms))

    later(world, LINK_S, do)


def _start_late(world: World, effect: effects.StartTask) -> None:
    """
    Carry out a start that was held up.
    """
    worker = world.workers[effect.worker]
    former = worker.runs.get(effect.key)
    _do_start(world, effect)
    run = worker.runs.get(effect.key)
    if run is not None and run is not former:
        run.is_late = True


def _start_answer(
    effect: effects.StartTask, outcome: str, reason: str, clock_ms: int
) -> events.StartAnswered:
    return events.StartAnswered(effect.worker, effect.key, effect.run, outcome, reason, clock_ms)


def _do_start(world: World, effect: effects.StartTask) -> str:
    """
    Carry out a start, and give the reason when it is refused.
    """
    worker = world.workers.get(effect.worker)
    if worker is None or not worker.is_up:
        return "gone"
    advance_worker(world, worker)
    if effect.token < worker.token:
        return "fence"
    worker.token = effect.token
    if worker.clock_ms(world.now_s) > effect.lease_ms:
        return "late"
    worker.lease_ms = max(worker.lease_ms, effect.lease_ms)
    running = worker.runs.get(effect.key)
    if running is not None and running.run == effect.run:
        return ""
    if running is not None and effect.run > running.run:
        _rules.on_second_start(world.judge, world.now_s, worker, running)
    if running is not None or effect.run <= worker.newest_run.get(effect.key, 0):
        return "old"
    step = world.judge.specs[effect.key.job].steps[effect.key.step]
    duration_s, how = world.durations(effect.key)
    if step.data_rack and step.data_rack != worker.rack:
        duration_s *= world.bounds.remote_slowdown
    if effect.key in world.crash_after_s:
        duration_s = CRASHING_TASK_S
    if worker.fails_all:
        duration_s, how = 0.05, "failed"
    if worker.fails_part and world.rng.random() < worker.fails_part:
        how = "failed"
    run = worker.begin(effect.key, effect.run, step, world.now_s, duration_s, how)
    _rules.on_start(world.judge, world.now_s, world.workers, worker, run)
    plan_crash(world, worker, run)
    return ""


def _stop(world: World, instance: Instance, effect: effects.StopTask) -> None:
    def answer(outcome: str) -> None:
        delay_s = TIMEOUT_S if outcome == events.UNKNOWN else LINK_S
        event = events.StopAnswered(effect.worker, effect.key, effect.run, outcome)
        send_to(world, instance, delay_s, event)

    if _is_held_up(world, effect.worker):
        _carry_out_late(world, lambda: _stop_late(world, effect))
        answer(events.UNKNOWN)
        return

    def do() -> None:
        worker = _reach(world, instance, effect.worker)
        outcome = events.UNKNOWN if worker is None else _do_stop(world, worker, effect)
        if worker is not None and _is_answer_lost(world, worker):
            outcome = events.UNKNOWN
        answer(outcome)

    later(world, LINK_S, do)


def _do_stop(world: World, worker: JobWorker, effect: effects.StopTask) -> str:
    """
    Carry out a stop, and give the outcome.
    """
    if effect.token < worker.token:
        return events.REFUSED
    worker.token = effect.token
    running = worker.runs.get(effect.key)
    if running is not None and running.run <= effect.run:
        running.stop_s = running.stop_s or world.now_s + STOP_S
    newest = worker.newest_run.get(effect.key, 0)
    worker.newest_run[effect.key] = max(newest, effect.run)
    return events.OK


def _stop_late(world: World, effect: effects.StopTask) -> None:
    """
    Carry out a stop that was held up, whatever has become of its worker meanwhile.
    """
    worker = world.workers.get(effect.worker)
    if worker is not None and worker.is_up:
        advance_worker(world, worker)
        _do_stop(world, worker, effect)


def _list_instances(world: World, instance: Instance, _effect: effects.ListInstances) -> None:
    if world.are_machines_cut:
        send_to(world, instance, TIMEOUT_S, events.InstancesListed(None, world.now_s))
        return
    rows = tuple(world.rows.values())
    send_to(world, instance, 0.01, events.InstancesListed(rows, world.now_s))


def _order_instance(world: World, instance: Instance, effect: effects.OrderInstance) -> None:
    def answer(outcome: str, reason: str, delay_s: float) -> None:
        event = events.InstanceOrderAnswered(
            effect.instance, effect.wave, effect.pool, outcome, reason
        )
        send_to(world, instance, delay_s, event)

    if world.are_machines_cut:
        answer(events.UNKNOWN, "timeout", TIMEOUT_S)
        return
    order = (effect.instance, effect.wave, effect.pool)
    is_repeated = order in world.unanswered_orders
    if world.lost_order_part and is_repeated and world.rng.random() < REFUSED_REPEAT_PART:
        later(world, 0.01, lambda: answer(events.REFUSED, "429", LINK_S))
        return
    if world.lost_order_part and world.rng.random() < world.lost_order_part:
        world.unanswered_orders.add(order)
        if world.rng.random() < CARRIED_OUT_PART:
            delay_s = world.rng.uniform(0.01, LATE_ORDER_S)
            later(world, delay_s, lambda: _carry_out_order(world, effect))
        answer(events.UNKNOWN, "timeout", TIMEOUT_S)
        return
    later(world, 0.01, lambda: answer(*_carry_out_order(world, effect), LINK_S))


def _carry_out_order(world: World, effect: effects.OrderInstance) -> tuple[str, str]:
    """
    Carry out an order for an instance, unless that is already done, and give the outcome and its
    reason.
    """
    row = world.rows.get(effect.instance)
    if row is None:
        return events.REFUSED, "400"
    if row.state != "up":
        return events.REFUSED, "busy"
    if _is_order_done(world, effect, row):
        return events.OK, ""
    world.upkeep.append((world.now_s, effect.instance, effect.token, effect.wave))
    for worker in world.workers.values():
        if worker.instance == effect.instance and worker.is_up:
            _rules.on_instance_stopped(world.judge, world.now_s, worker)
            worker.crash()
            worker.is_up = False
    state = "upkeep" if effect.wave >= 0 else "moving"
    pool = effect.pool or row.pool
    world.rows[effect.instance] = row._replace(state=state, worker="", pool=pool)
    later(world, MOVE_S, lambda: bring_back(world, effect.instance, pool))
    return events.OK, ""


def _is_order_done(world: World, effect: effects.OrderInstance, row: model.InstanceRow) -> bool:
    if effect.wave < 0:
        return row.pool == effect.pool
    return any(
        (instance, wave) == (effect.instance, effect.wave)
        for _at_s, instance, _token, wave in world.upkeep
    )


def _publish_wave(world: World, instance: Instance, effect: effects.PublishWave) -> None:
    event = events.WaveStatusAnswered(effect.wave, effect.state, events.OK)
    send_to(world, instance, LINK_S, event)


def _write_line(world: World, instance: Instance, effect: effects.WriteLine) -> None:
    world.lines.append((round(world.now_s, 3), instance.name, effect.action, effect.fields))


def _ignore(_world: World, _instance: Instance, _effect: object) -> None:
    """
    Nothing on the other side takes note of this.
    """


def _exit(world: World, instance: Instance, _effect: effects.Exit) -> None:
    kill(world, instance.name, 1.0)


EFFECTS: dict[type, Callable[[World, Instance, Any], None]] = {
    effects.Reply: _reply,
    effects.Append: _append,
    effects.Forward: _forward,
    effects.AnswerPeer: _answer_peer,
    effects.ReadLog: _read_log,
    effects.ReadSnapshot: _read_snapshot,
    effects.WriteSnapshot: _write_snapshot,
    effects.TrimLog: _trim,
    effects.ReadOperator: _read_operator,
    effects.ReadWorkers: _read_workers,
    effects.Hold: _hold,
    effects.StartTask: _start,
    effects.StopTask: _stop,
    effects.PaceTask: _ignore,
    effects.Advise: _ignore,
    effects.ListInstances: _list_instances,
    effects.OrderInstance: _order_instance,
    effects.PublishWave: _publish_wave,
    effects.WriteLine: _write_line,
    effects.Exit: _exit,
}


def make_world(
    seed: int, instances: int, config: model.Config, weakness: Mapping[str, float] | None = None
) -> World:
    """
    Make a world whose instances have just started.

    :param seed: of all that is random.
    :param instances: how many.
    :param config: what the operator has published.
    :param weakness: fraction of the owner's load that an instance can't carry, by instance.
    :returns: the world.
    """
    world = World(
        random.Random(seed),
        config=config,
        config_log=[config],
        weakness=weakness or {},
        effects=EFFECTS,
    )
    for number in range(instances):
        name = f"entry-{number}"
        world.instances[name] = Instance(name, f"zone-{number % 3}", fresh_node(world, name, 0))
        tick(world, name, 0)
    advance_workers(world)
    return world
