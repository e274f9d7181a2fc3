"""
The world: instances, their effects with delays, and what the other side does.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from eelgrassdrum_core.jobs import Identity, Moment, Node, effects, events, model, new_node, reduce
from eelgrassdrum_core.jobs._intake import is_log_fresh

from . import _rules
from ._store import SILENT, UP, JobStore, StoredRead
from ._worker import JobWorker, Run

TICK_S = 0.05
LINK_S = 0.001
TIMEOUT_S = 0.9
STOP_S = 0.3
START_UNIX_MS = 1_700_000_000_000
MOVE_S = 1.5
HEARTBEAT_S = 1.5
KEEP_LINES = 4000
STANDBY = "standby"

BOUNDS = model.Bounds(
    max_lease_s=10.0,
    config_apply_s=2.0,
    config_stale_s=5.0,
    grace_s=6.0,
    stop_s=0.4,
    order_lease_s=3.0,
    early_s=0.25,
    status_s=120.0,
    move_s=MOVE_S,
    upkeep_s=2.0,
)


class Instance(msgspec.Struct, eq=False):
    """
    One process of an instance.

    :param frozen_until_s: it neither runs nor sees time pass before then.
    :param life: number of its process; what was sent to an earlier one is dropped.
    """

    name: str
    zone: str
    node: Node
    life: int = 0
    is_up: bool = True
    frozen_until_s: float = 0.0
    held: deque[object] = msgspec.field(default_factory=deque)
    is_cut_from_workers: bool = False


class World(msgspec.Struct, eq=False):
    """
    Everything.

    :param waves: waves that the operator has asked for.
    :param upkeep: instances ordered down, with time, token and wave.
    :param is_registry_empty: whether the entries of workers have lapsed.
    """

    rng: random.Random
    now_s: float = 0.0
    store: JobStore = msgspec.field(default_factory=JobStore)
    instances: dict[str, Instance] = {}
    workers: dict[str, JobWorker] = {}
    config: model.Config | None = None
    config_log: list[model.Config] = []
    waves: list[model.Wave] = []
    judge: _rules.Judge = msgspec.field(default_factory=_rules.Judge)
    rows: dict[str, model.InstanceRow] = {}
    upkeep: list[tuple[float, str, int, int]] = []
    pending: list[tuple[float, int, Callable[[], None]]] = []
    numbers: Any = msgspec.field(default_factory=lambda: itertools.count())
    lines: deque[Any] = msgspec.field(default_factory=lambda: deque(maxlen=KEEP_LINES))
    calls: dict[int, tuple[str, str]] = {}
    durations: Callable[[model.TaskKey], tuple[float, str]] = lambda _key: (1.0, "done")
    answered: dict[str, int] = {}
    is_registry_empty: bool = False


def make_world(seed: int, instances: int, config: model.Config) -> World:
    """
    Make a world whose instances have just started.

    :param seed: of all that is random.
    :param instances: how many.
    :param config: what the operator has published.
    :returns: the world.
    """
    world = World(random.Random(seed), config=config, config_log=[config])
    for number in range(instances):
        name = f"entry-{number}"
        world.instances[name] = Instance(name, f"zone-{number % 3}", _fresh(world, name, 0))
        _tick(world, name, 0)
    _advance_workers(world)
    return world


def _fresh(world: World, name: str, number: int) -> Node:
    incarnation = START_UNIX_MS + round(world.now_s * 1000) + number
    return new_node(Identity(name, incarnation, "zone"), BOUNDS)


def later(world: World, delay_s: float, action: Callable[[], None]) -> None:
    """
    Run an action after a while.

    :param world: the world.
    :param delay_s: the while.
    :param action: the action.
    """
    heapq.heappush(world.pending, (world.now_s + delay_s, next(world.numbers), action))


def run_until(world: World, until_s: float) -> None:
    """
    Let time pass.

    :param world: the world.
    :param until_s: time of the world.
    """
    while world.pending and world.pending[0][0] <= until_s:
        at_s, _number, action = heapq.heappop(world.pending)
        world.now_s = max(world.now_s, at_s)
        action()
    world.now_s = until_s


def _tick(world: World, name: str, life: int) -> None:
    instance = world.instances[name]
    if instance.life != life or not instance.is_up:
        return
    if world.now_s < instance.frozen_until_s:
        later(world, instance.frozen_until_s - world.now_s, lambda: _tick(world, name, life))
        return
    while instance.held:
        post(world, name, life, instance.held.popleft())
    post(world, name, life, events.Ticked())
    later(world, TICK_S, lambda: _tick(world, name, life))


def post(world: World, name: str, life: int, event: object) -> None:
    """
    Give an event to an instance.

    :param world: the world.
    :param name: the instance.
    :param life: the process that it is for.
    :param event: the event.
    """
    instance = world.instances[name]
    if instance.life != life or not instance.is_up:
        return
    if world.now_s < instance.frozen_until_s:
        instance.held.append(event)
        return
    at = Moment(world.now_s, START_UNIX_MS + round(world.now_s * 1000))
    for effect in reduce(instance.node, at, event):
        _EFFECTS[type(effect)](world, instance, effect)


def kill(world: World, name: str, down_s: float) -> None:
    """
    Kill an instance's process; another starts after a while.

    :param world: the world.
    :param name: the instance.
    :param down_s: the while.
    """
    instance = world.instances[name]
    instance.life += 1
    instance.is_up = False
    life = instance.life

    def start() -> None:
        if instance.life != life:
            return
        instance.node = _fresh(world, name, life)
        instance.is_up = True
        instance.held.clear()
        instance.frozen_until_s = 0.0
        _tick(world, name, life)

    later(world, down_s, start)


def publish(world: World, config: model.Config) -> None:
    """
    Publish a configuration.

    :param world: the world.
    :param config: the configuration.
    """
    world.config = config
    world.config_log.append(config)


def submit(
    world: World, name: str, job: str, key: str, spec: model.JobSpec, path: str = ""
) -> None:
    """
    Hand a job in at an instance.

    :param world: the world.
    :param name: the instance.
    :param job: id of the job.
    :param key: the caller's key.
    :param spec: the job.
    :param path: path of the request, if it is not that of the usual queue.
    """
    world.judge.specs[job] = spec
    assert world.config is not None
    world.judge.workspaces[job] = world.config.workspace_of_key.get(key, "")
    _call(world, name, events.SUBMIT, job, key, spec, path)


def cancel(world: World, name: str, job: str, key: str) -> None:
    """
    Cancel a job at an instance.

    :param world: the world.
    :param name: the instance.
    :param job: id of the job.
    :param key: the caller's key.
    """
    world.judge.cancelled_s[job] = world.now_s
    _call(world, name, events.CANCEL, job, key, None)


def look_up(world: World, name: str, job: str, key: str) -> None:
    """
    Ask an instance for the state of a job.

    :param world: the world.
    :param name: the instance.
    :param job: id of the job.
    :param key: the caller's key.
    """
    _call(world, name, events.LOOK_UP, job, key, None)


def _call(
    world: World,
    name: str,
    kind: str,
    job: str,
    key: str,
    spec: model.JobSpec | None,
    path: str = "",
) -> None:
    token = next(world.numbers)
    world.calls[token] = (kind, job)
    event = events.CallReceived(token, kind, "host", path or f"/q/{job}", key, 3.0, spec)
    post(world, name, world.instances[name].life, event)


def _reply(world: World, instance: Instance, effect: effects.Reply) -> None:
    kind, job = world.calls.pop(effect.token)
    world.answered[effect.outcome] = world.answered.get(effect.outcome, 0) + 1
    if kind == events.SUBMIT:
        if effect.outcome == effects.ACCEPTED:
            world.judge.accepted.add(job)
            world.judge.refused.discard(job)
        elif effect.outcome == effects.UNAVAILABLE and job not in world.judge.accepted:
            world.judge.refused.add(job)
        elif effect.outcome == effects.UNCERTAIN:
            world.judge.accepted.discard(job)
    elif kind == events.LOOK_UP and effect.outcome == effects.STATE:
        is_fresh = is_log_fresh(instance.node, world.now_s)
        _rules.on_shown(world.judge, world.now_s, job, effect.detail, is_fresh)


def _to(world: World, instance: Instance, delay_s: float, event: object) -> None:
    name, life = instance.name, instance.life
    later(world, delay_s, lambda: post(world, name, life, event))


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
        _to(world, instance, delay_s, event)

    if failure == "503":
        answer(events.REFUSED, LINK_S)
        return
    if failure is not None:
        answer(events.UNKNOWN, TIMEOUT_S)
        return
    store = world.store
    is_lost = world.rng.random() < store.lost_part

    def do() -> None:
        outcome = store.append(effect.producer, effect.epoch, effect.seq, effect.records)
        answer(events.UNKNOWN if is_lost else outcome, TIMEOUT_S if is_lost else LINK_S)

    later(world, store.delay_s, do)


def _read_log(world: World, instance: Instance, effect: effects.ReadLog) -> None:
    failure = _store_answers(world, instance)
    if failure is not None:
        _to(world, instance, TIMEOUT_S, events.LogReadFailed(failure))
        return
    sent_s = world.now_s
    store = world.store
    is_answered = [False]

    def answer() -> None:
        if is_answered[0]:
            return
        is_answered[0] = True
        if effect.offset < store.first:
            _to(world, instance, LINK_S, events.LogGap(store.first))
            return
        records = tuple(store.records[effect.offset - store.first :])
        event = events.LogRead(effect.offset, records, store.end, sent_s)
        _to(world, instance, LINK_S, event)

    if effect.offset < store.end or not effect.wait_s:
        later(world, store.delay_s, answer)
    else:
        store.waiting.append(StoredRead(effect.offset, answer))
        later(world, effect.wait_s, answer)


def _read_snapshot(world: World, instance: Instance, _effect: effects.ReadSnapshot) -> None:
    if _store_answers(world, instance) is not None:
        _to(world, instance, TIMEOUT_S, events.LogReadFailed("timeout"))
    else:
        _to(world, instance, world.store.delay_s, events.SnapshotRead(world.store.snapshot))


def _write_snapshot(world: World, instance: Instance, effect: effects.WriteSnapshot) -> None:
    if _store_answers(world, instance) is not None:
        event = events.SnapshotWritten(effect.offset, events.REFUSED)
    else:
        world.store.snapshot = effect.data
        event = events.SnapshotWritten(effect.offset, events.OK)
    _to(world, instance, world.store.delay_s, event)


def _trim(world: World, _instance: Instance, effect: effects.TrimLog) -> None:
    world.store.trim(effect.before)


def _read_operator(world: World, instance: Instance, effect: effects.ReadOperator) -> None:
    failure = _store_answers(world, instance)
    if failure is not None:
        _to(world, instance, TIMEOUT_S, events.OperatorReadFailed(failure))
        return
    known = effect.cursor or 0
    cursor = len(world.config_log) + len(world.waves)
    news = world.config if cursor > known else None
    event = events.OperatorRead(cursor, news, tuple(world.waves), world.now_s)
    _to(world, instance, LINK_S if news else 0.3, event)


def _read_workers(world: World, instance: Instance, _effect: effects.ReadWorkers) -> None:
    failure = _store_answers(world, instance)
    if failure is not None:
        _to(world, instance, TIMEOUT_S, events.WorkersReadFailed(failure))
        return
    entries: dict[str, model.WorkerEntry | None] = {
        worker.id: _entry(world, worker)
        for worker in world.workers.values()
        if worker.is_up and not worker.is_cut and not world.is_registry_empty
    }
    _to(world, instance, 0.1, events.WorkersRead(1, True, entries))


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
    _advance_worker(world, worker)
    return worker


def _advance_worker(world: World, worker: JobWorker) -> None:
    for run in worker.advance(world.now_s):
        if run.how == "done":
            world.judge.ended.add(run.key)


def _advance_workers(world: World) -> None:
    for worker in world.workers.values():
        if worker.is_up:
            _advance_worker(world, worker)
    later(world, TICK_S, lambda: _advance_workers(world))


def _hold(world: World, instance: Instance, effect: effects.Hold) -> None:
    sent_s = world.now_s
    due_s = world.now_s + effect.wait_s

    def poll() -> None:
        worker = _reach(world, instance, effect.worker)
        if worker is None:
            event = events.HoldFailed(effect.worker, "timeout", effect.token)
            _to(world, instance, TIMEOUT_S, event)
            return
        if effect.token < worker.token:
            event = events.HoldFailed(effect.worker, "fence", effect.token)
            _to(world, instance, LINK_S, event)
            return
        _take_hold(world, worker, effect)
        if not worker.ends and world.now_s < due_s:
            later(world, TICK_S, poll)
            return
        answer = events.HoldAnswered(
            worker.id,
            sent_s,
            worker.clock_ms(world.now_s),
            worker.incarnation,
            worker.rows(world.now_s),
            tuple(worker.ends),
        )
        _to(world, instance, LINK_S, answer)

    later(world, LINK_S, poll)


def _take_hold(world: World, worker: JobWorker, effect: effects.Hold) -> None:
    worker.token = effect.token
    for end in worker.ends:
        if end.number <= effect.acked:
            _rules.on_noted(world.judge, world.now_s, end)
    worker.ends = [end for end in worker.ends if end.number > effect.acked]
    if effect.lease_ms is not None:
        worker.lease_ms = max(worker.lease_ms, effect.lease_ms)


def _start(world: World, instance: Instance, effect: effects.StartTask) -> None:
    worker = world.workers.get(effect.worker)
    is_late = worker is not None and world.rng.random() < worker.late_part
    if is_late:
        later(world, world.rng.uniform(2, 12), lambda: _do_start(world, effect))
    if is_late or _reach(world, instance, effect.worker) is None:
        outcome, reason = events.UNKNOWN, "timeout"
        _to(world, instance, TIMEOUT_S, _start_answer(effect, outcome, reason, 0))
        return

    def do() -> None:
        reached = _reach(world, instance, effect.worker)
        if reached is None:
            answer = _start_answer(effect, events.UNKNOWN, "timeout", 0)
            _to(world, instance, TIMEOUT_S, answer)
            return
        reason = _do_start(world, effect)
        outcome = events.REFUSED if reason else events.OK
        clock_ms = reached.clock_ms(world.now_s)
        _to(world, instance, LINK_S, _start_answer(effect, outcome, reason, clock_ms))

    later(world, LINK_S, do)


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
    _advance_worker(world, worker)
    if effect.token < worker.token:
        return "fence"
    worker.token = effect.token
    if worker.clock_ms(world.now_s) > effect.lease_ms:
        return "late"
    worker.lease_ms = max(worker.lease_ms, effect.lease_ms)
    running = worker.runs.get(effect.key)
    if running is not None and running.run == effect.run:
        return ""
    if running is not None or effect.run <= worker.newest_run.get(effect.key, 0):
        return "old"
    step = world.judge.specs[effect.key.job].steps[effect.key.step]
    duration_s, how = world.durations(effect.key)
    if worker.fails_all:
        duration_s, how = 0.05, "failed"
    ends_s = float("inf") if step.lasts else world.now_s + duration_s
    run = Run(effect.key, effect.run, step.room, world.now_s, ends_s, how, step.lasts)
    worker.runs[effect.key] = run
    _rules.on_start(world.judge, world.now_s, world.workers, worker, run)
    return ""


def _stop(world: World, instance: Instance, effect: effects.StopTask) -> None:
    def do() -> None:
        worker = _reach(world, instance, effect.worker)
        if worker is None:
            outcome = events.UNKNOWN
        elif effect.token < worker.token:
            outcome = events.REFUSED
        else:
            outcome = events.OK
            worker.token = effect.token
            running = worker.runs.get(effect.key)
            if running is not None and running.run <= effect.run:
                running.stop_s = running.stop_s or world.now_s + STOP_S
            newest = worker.newest_run.get(effect.key, 0)
            worker.newest_run[effect.key] = max(newest, effect.run)
        delay_s = TIMEOUT_S if outcome == events.UNKNOWN else LINK_S
        event = events.StopAnswered(effect.worker, effect.key, effect.run, outcome)
        _to(world, instance, delay_s, event)

    later(world, LINK_S, do)


def _list_instances(world: World, instance: Instance, _effect: effects.ListInstances) -> None:
    rows = tuple(world.rows.values())
    _to(world, instance, 0.01, events.InstancesListed(rows, world.now_s))


def _order_instance(world: World, instance: Instance, effect: effects.OrderInstance) -> None:
    def do() -> None:
        world.upkeep.append((world.now_s, effect.instance, effect.token, effect.wave))
        row = world.rows[effect.instance]
        for worker in world.workers.values():
            if worker.instance == effect.instance and worker.is_up:
                _rules.on_instance_stopped(world.judge, world.now_s, worker)
                worker.crash()
                worker.is_up = False
        state = "upkeep" if effect.wave >= 0 else "moving"
        world.rows[effect.instance] = row._replace(
            state=state, worker="", pool=effect.pool or row.pool
        )
        pool = effect.pool or row.pool
        later(world, MOVE_S, lambda: _bring_back(world, effect.instance, pool))
        event = events.InstanceOrderAnswered(
            effect.instance, effect.wave, effect.pool, events.OK, ""
        )
        _to(world, instance, LINK_S, event)

    later(world, 0.01, do)


def _bring_back(world: World, instance: str, pool: str) -> None:
    row = world.rows[instance]
    if pool == STANDBY:
        world.rows[instance] = row._replace(state="up", worker="", pool=pool)
        return
    worker_id = f"{instance}-{next(world.numbers)}"
    world.rows[instance] = row._replace(state="up", worker=worker_id, pool=pool)
    world.workers[worker_id] = JobWorker(
        worker_id,
        pool,
        row.zone,
        instance,
        worker_id,
        row.capacity,
        START_UNIX_MS + round(world.now_s * 1000),
        world.now_s,
    )


def add_worker(world: World, number: int, service: str, capacity: model.Room) -> JobWorker:
    """
    Add a worker on an instance of its own.

    :param world: the world.
    :param number: names it.
    :param service: its pool.
    :param capacity: what it has.
    :returns: the worker.
    """
    instance = f"m-{number}"
    worker = JobWorker(
        f"w-{number}",
        service,
        f"zone-{number % 3}",
        instance,
        f"w-{number}",
        capacity,
        START_UNIX_MS,
        world.now_s - 5.0,
        speed=world.rng.choice((1.0, 0.98)),
    )
    world.workers[worker.id] = worker
    world.rows[instance] = model.InstanceRow(
        instance, service, "up", worker.zone, worker.rack, capacity, worker.id
    )
    return worker


def _publish_wave(world: World, instance: Instance, effect: effects.PublishWave) -> None:
    event = events.WaveStatusAnswered(effect.wave, effect.state, events.OK)
    _to(world, instance, LINK_S, event)


def _write_line(world: World, instance: Instance, effect: effects.WriteLine) -> None:
    world.lines.append((round(world.now_s, 3), instance.name, effect.action, effect.fields))


def _ignore(_world: World, _instance: Instance, _effect: object) -> None:
    """
    Nothing on the other side takes note of this.
    """


def _exit(world: World, instance: Instance, _effect: effects.Exit) -> None:
    kill(world, instance.name, 1.0)


_EFFECTS: dict[type, Callable[[World, Instance, Any], None]] = {
    effects.Reply: _reply,
    effects.Append: _append,
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
