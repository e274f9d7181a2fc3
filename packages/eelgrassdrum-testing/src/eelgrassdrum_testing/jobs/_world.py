"""
The world in virtual time: its instances, workers and callers.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import msgspec

from eelgrassdrum_core.jobs import Identity, Moment, Node, events, model, new_node, reduce

from . import _rules
from ._store import UP, JobStore
from ._worker import JobWorker

TICK_S = 0.05
LINK_S = 0.001
TIMEOUT_S = 0.9
STOP_S = 0.3
START_UNIX_MS = 1_700_000_000_000
MOVE_S = 1.5
KEEP_LINES = 4000
STANDBY = "standby"
# A store that takes longer for an answer is disturbed.
USUAL_DELAY_S = 0.1
# Times that a caller comes again after its job was refused for load, and the time that it has.
MAX_RETURNS = 4
CALLER_WAIT_S = 3.0

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
    cancel_s=_rules.CANCEL_S,
    contact_s=_rules.CONTACT_S,
    evacuate_s=_rules.EVACUATE_S,
)


class Instance(msgspec.Struct, eq=False):
    """
    One process of an instance.

    :param frozen_until_s: it neither runs nor sees time pass before then.
    :param life: number of its process; what was sent to an earlier one is dropped.
    :param is_removed: whether it never starts again.
    :param disturbed_s: when it was last disturbed.
    :param is_unread: whether its reads of the log get no answer.
    """

    name: str
    zone: str
    node: Node
    life: int = 0
    is_up: bool = True
    frozen_until_s: float = 0.0
    held: deque[object] = msgspec.field(default_factory=deque)
    is_cut_from_workers: bool = False
    is_cut_from_peers: bool = False
    is_removed: bool = False
    disturbed_s: float = -1e9
    is_unread: bool = False


class Submission(NamedTuple):
    """
    A job that a caller hands in.

    :param key: the caller's key.
    :param path: path of the request.
    :param since_s: time of the first attempt.
    """

    key: str
    spec: model.JobSpec
    path: str
    since_s: float


class World(msgspec.Struct, eq=False):
    """
    Everything.

    :param waves: waves that the operator has asked for.
    :param zone_requests: what the operator has asked for availability zones, oldest first.
    :param upkeep: instances ordered down, with time, token and wave.
    :param is_registry_empty: whether the entries of workers have lapsed.
    :param is_registry_unreadable: whether reads of the registry are refused.
    :param lost_order_part: part of the orders for instances that get no answer.
    :param unanswered_orders: instance, wave and pool of the orders that got no answer.
    :param are_machines_cut: whether the machine service answers nobody.
    :param exchanges: takes the answer to records that an instance sent to another, by token.
    :param prompt_cancel_part: part of the jobs that are cancelled soon after their acceptance.
    :param store_disturbed_s: when the store was last disturbed.
    :param disturbed_s: when the store, an instance or a worker was last disturbed.
    :param weakness: fraction of the owner's load that an instance can't carry, by instance.
    :param submissions: what callers handed in, by job.
    :param refused_s: when each job was refused for load, by job.
    :param crash_after_s: seconds from the start of a task to the crash of its worker, by task.
    :param crashes_by_tasks: how often a task has crashed its worker.
    :param bounds: bounds of instances that start.
    :param ends_page: most ends that a worker lists at a time.
    :param effects: carries out the effects of an instance, by type.
    :param operator_unreadable: instances whose reads of the operator's records are refused.
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
    exchanges: dict[int, Callable[[str, tuple[model.Refusal, ...]], None]] = {}
    durations: Callable[[model.TaskKey], tuple[float, str]] = lambda _key: (1.0, "done")
    answered: dict[str, int] = {}
    is_registry_empty: bool = False
    is_registry_unreadable: bool = False
    lost_order_part: float = 0.0
    unanswered_orders: set[tuple[str, int, str]] = set()
    are_machines_cut: bool = False
    prompt_cancel_part: float = 0.0
    store_disturbed_s: float = -1e9
    disturbed_s: float = -1e9
    weakness: Mapping[str, float] = {}
    submissions: dict[str, Submission] = {}
    refused_s: dict[str, list[float]] = {}
    crash_after_s: dict[model.TaskKey, float] = {}
    crashes_by_tasks: int = 0
    bounds: model.Bounds = BOUNDS
    ends_page: int = 500
    effects: dict[type, Callable[["World", Instance, Any], None]] = {}
    zone_requests: list[model.ZoneRequest] = []
    operator_unreadable: set[str] = set()


def fresh_node(world: World, name: str, number: int) -> Node:
    """
    Make the state of a process that has just started.

    :param world: the world.
    :param name: the instance.
    :param number: tells processes of one time apart.
    """
    incarnation = START_UNIX_MS + round(world.now_s * 1000) + number
    weakness = world.weakness.get(name, 0.0)
    return new_node(Identity(name, incarnation, "zone", weakness, name), world.bounds)


def keep_history(world: World, keep_s: float) -> None:
    """
    Let the store drop records of the log once they have reached an age, and tell all instances.

    :param world: the world, before time has passed.
    :param keep_s: the age.
    """
    world.bounds = world.bounds._replace(log_retention_s=keep_s)
    for instance in world.instances.values():
        instance.node.bounds = world.bounds
    _drop_expired(world, keep_s)


def _drop_expired(world: World, keep_s: float) -> None:
    end = world.store.end
    later(world, keep_s, lambda: world.store.trim(end))
    later(world, TICK_S, lambda: _drop_expired(world, keep_s))


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


def tick(world: World, name: str, life: int) -> None:
    """
    Let an instance take note of the time, again and again.

    :param world: the world.
    :param name: the instance.
    :param life: the process.
    """
    instance = world.instances[name]
    if instance.life != life or not instance.is_up:
        return
    if world.now_s < instance.frozen_until_s:
        later(world, instance.frozen_until_s - world.now_s, lambda: tick(world, name, life))
        return
    while instance.held:
        post(world, name, life, instance.held.popleft())
    post(world, name, life, events.Ticked())
    later(world, TICK_S, lambda: tick(world, name, life))


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
        world.effects[type(effect)](world, instance, effect)


def kill(world: World, name: str, down_s: float) -> None:
    """
    Kill an instance's process; another starts after a while.

    :param world: the world.
    :param name: the instance.
    :param down_s: the while.
    """
    instance = world.instances[name]
    if instance.is_removed:
        return
    instance.life += 1
    instance.is_up = False
    life = instance.life

    def start() -> None:
        if instance.life != life or instance.is_removed:
            return
        instance.node = fresh_node(world, name, life)
        instance.is_up = True
        instance.held.clear()
        instance.frozen_until_s = 0.0
        tick(world, name, life)

    later(world, down_s, start)


def remove(world: World, name: str) -> None:
    """
    Kill an instance's process and start none there again.

    :param world: the world.
    :param name: the instance.
    """
    instance = world.instances[name]
    instance.is_removed = True
    instance.is_up = False


def publish(world: World, config: model.Config) -> None:
    """
    Publish a configuration.

    :param world: the world.
    :param config: the configuration.
    """
    world.config = config
    world.config_log.append(config)


def operator_end(world: World) -> int:
    """
    Return the offset after the newest record of the operator.

    :param world: the world.
    :returns: the offset.
    """
    return len(world.config_log) + len(world.waves) + len(world.zone_requests)


def evacuate(world: World, zone: str, is_evacuated: bool = True) -> None:
    """
    Evacuate an availability zone, or take that back.

    :param world: the world.
    :param zone: the zone.
    :param is_evacuated: whether nothing more may start there.
    """
    world.zone_requests.append(model.ZoneRequest(zone, operator_end(world), is_evacuated))
    if is_evacuated:
        world.judge.evacuated_s.setdefault(zone, world.now_s)
    else:
        world.judge.evacuated_s.pop(zone, None)


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
    world.submissions.setdefault(job, Submission(key, spec, path, world.now_s))
    _call(world, name, events.SUBMIT, job, key, spec, path)


def return_later(world: World, job: str, retry_after_s: float | None) -> None:
    """
    Let the caller of a job that was refused for load come again at any instance that is up, as
    often as callers do and while it has time.

    :param world: the world.
    :param job: id of the job.
    :param retry_after_s: delay that the caller was told; without one it doesn't come again.
    """
    refused_s = world.refused_s.setdefault(job, [])
    refused_s.append(world.now_s)
    key, spec, path, since_s = world.submissions[job]
    if retry_after_s is None or len(refused_s) > MAX_RETURNS:
        return
    if world.now_s + retry_after_s >= since_s + CALLER_WAIT_S:
        return

    def come() -> None:
        up = sorted(name for name, instance in world.instances.items() if instance.is_up)
        if up:
            left_s = since_s + CALLER_WAIT_S - world.now_s
            name = world.rng.choice(up)
            _call(world, name, events.SUBMIT, job, key, spec, path, left_s)

    later(world, retry_after_s, come)


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
    wait_s: float = CALLER_WAIT_S,
) -> None:
    token = next(world.numbers)
    world.calls[token] = (kind, job)
    event = events.CallReceived(token, kind, "host", path or f"/q/{job}", key, wait_s, spec)
    post(world, name, world.instances[name].life, event)


def send_to(world: World, instance: Instance, delay_s: float, event: object) -> None:
    """
    Give an event to an instance after a while.

    :param world: the world.
    :param instance: the instance.
    :param delay_s: the while.
    :param event: the event.
    """
    name, life = instance.name, instance.life
    later(world, delay_s, lambda: post(world, name, life, event))


def advance_worker(world: World, worker: JobWorker) -> None:
    """
    End the runs of a worker whose time has come.

    :param world: the world.
    :param worker: the worker.
    """
    for run in worker.advance(world.now_s):
        if run.how == "done":
            world.judge.ended.add(run.key)


def advance_workers(world: World) -> None:
    """
    The same for all workers, again and again.

    :param world: the world.
    """
    _note_disturbances(world)
    for worker in world.workers.values():
        if worker.is_up:
            advance_worker(world, worker)
            _rules.on_running(world.judge, world.now_s, worker, world.disturbed_s)
    later(world, TICK_S, lambda: advance_workers(world))


def _note_disturbances(world: World) -> None:
    """
    Note when the store, each instance and the workers were last disturbed.
    """
    store = world.store
    if store.state != UP or store.refused or store.lost_part or store.delay_s > USUAL_DELAY_S:
        world.store_disturbed_s = world.now_s
    for instance in world.instances.values():
        if not instance.is_removed and _is_disturbed(world, instance):
            instance.disturbed_s = world.now_s
    instances_s = max(instance.disturbed_s for instance in world.instances.values())
    world.disturbed_s = max(world.disturbed_s, world.store_disturbed_s, instances_s)
    if world.is_registry_empty or any(map(_is_worker_disturbed, world.workers.values())):
        world.disturbed_s = world.now_s


def _is_disturbed(world: World, instance: Instance) -> bool:
    is_running = instance.is_up and world.now_s >= instance.frozen_until_s
    is_cut = instance.is_cut_from_workers or instance.is_cut_from_peers
    return not is_running or instance.node.is_stopping or is_cut


def _is_worker_disturbed(worker: JobWorker) -> bool:
    return worker.is_cut or max(worker.late_part, worker.late_call_part, worker.lost_part) > 0


def disturb(world: World) -> None:
    """
    Note that something has just been disturbed that shows no other sign of it.

    :param world: the world.
    """
    world.disturbed_s = world.now_s


def add_worker(world: World, number: int, service: str, capacity: model.Resources) -> JobWorker:
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


def crash(world: World, worker: JobWorker) -> None:
    """
    Let a worker lose everything at once, with no order to do so.

    :param world: the world.
    :param worker: the worker.
    """
    _rules.on_crash(world.judge, worker)
    worker.crash()


def bring_back(world: World, instance: str, pool: str, address: str = "") -> None:
    """
    Bring an instance up in a pool, with a new worker unless it is on standby.

    :param world: the world.
    :param instance: the instance.
    :param pool: the pool.
    :param address: address of the worker, if it isn't an own one.
    """
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
        address or worker_id,
        row.capacity,
        START_UNIX_MS + round(world.now_s * 1000),
        world.now_s,
    )
