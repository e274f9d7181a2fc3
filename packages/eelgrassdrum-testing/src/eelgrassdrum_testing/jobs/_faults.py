"""
Faults that a schedule brings about.
"""

from collections.abc import Callable

from eelgrassdrum_core.jobs import events, model

from ._store import REFUSING, SILENT, UP
from ._world import World, cancel, kill, later, post, publish

# Workers that are left at least, so that all work still has room.
LEAST_WORKERS = 4


def _owner(world: World) -> str:
    owners = [
        name
        for name, instance in world.instances.items()
        if instance.is_up and instance.node.ownership.is_owner
    ]
    return owners[0] if owners else world.rng.choice(sorted(world.instances))


def _kill_owner(world: World) -> None:
    kill(world, _owner(world), world.rng.uniform(0.3, 4.0))


def _kill_any(world: World) -> None:
    kill(world, world.rng.choice(sorted(world.instances)), world.rng.uniform(0.3, 4.0))


def _kill_all(world: World) -> None:
    for name in world.instances:
        kill(world, name, world.rng.uniform(0.5, 1.5))


def _freeze_owner(world: World) -> None:
    instance = world.instances[_owner(world)]
    instance.frozen_until_s = world.now_s + world.rng.uniform(0.5, 5.0)


def _stop_owner(world: World) -> None:
    name = _owner(world)
    post(world, name, world.instances[name].life, events.StopAsked())


def _store_state(state: str) -> Callable[[World], None]:
    def strike(world: World) -> None:
        world.store.state = state

        def restore() -> None:
            world.store.state = UP

        later(world, world.rng.uniform(0.5, 6.0), restore)

    return strike


def _store_refuses_owner(world: World) -> None:
    name = _owner(world)
    world.store.refused.add(name)
    later(world, world.rng.uniform(2.0, 9.0), lambda: world.store.refused.discard(name))


def _store_loses(world: World) -> None:
    world.store.lost_part = 0.35

    def restore() -> None:
        world.store.lost_part = 0.0

    later(world, 4.0, restore)


def _store_slow(world: World) -> None:
    world.store.delay_s = 0.24

    def restore() -> None:
        world.store.delay_s = 0.004

    later(world, 4.0, restore)


def _pick_workers(world: World, part: float) -> list[str]:
    up = [worker.id for worker in world.workers.values() if worker.is_up]
    return world.rng.sample(up, max(1, round(len(up) * part))) if up else []


def _cut_workers(world: World) -> None:
    names = _pick_workers(world, 0.4)
    for name in names:
        world.workers[name].is_cut = True

    def heal() -> None:
        for name in names:
            world.workers[name].is_cut = False

    later(world, world.rng.uniform(1.0, 14.0), heal)


def _cut_owner_from_workers(world: World) -> None:
    instance = world.instances[_owner(world)]
    instance.is_cut_from_workers = True

    def heal() -> None:
        instance.is_cut_from_workers = False

    later(world, world.rng.uniform(1.0, 12.0), heal)


def _cut_peers(world: World) -> None:
    names = world.rng.sample(sorted(world.instances), k=2)
    for name in names:
        world.instances[name].is_cut_from_peers = True

    def heal() -> None:
        for name in names:
            world.instances[name].is_cut_from_peers = False

    later(world, world.rng.uniform(1.0, 8.0), heal)


def _crash_workers(world: World) -> None:
    names = _pick_workers(world, 0.25)
    for name in names:
        worker = world.workers[name]
        worker.crash()
        worker.is_up = False

    def restart() -> None:
        for name in names:
            worker = world.workers[name]
            if world.rows[worker.instance].worker != name:
                continue
            worker.is_up = True
            worker.incarnation += round(world.now_s * 1000)
            worker.born_s = world.now_s

    later(world, world.rng.uniform(0.5, 8.0), restart)


def _worker_gone(world: World) -> None:
    up = [worker.id for worker in world.workers.values() if worker.is_up]
    if len(up) < LEAST_WORKERS:
        return
    worker = world.workers[world.rng.choice(up)]
    worker.crash()
    worker.is_up = False
    if world.rng.random() < 0.5:
        del world.rows[worker.instance]


def _entries_lapse(world: World) -> None:
    world.is_registry_empty = True

    def restore() -> None:
        world.is_registry_empty = False

    later(world, 2.0, restore)


def _wave(world: World) -> None:
    names = tuple(world.rng.sample(sorted(world.rows), k=max(1, len(world.rows) // 2)))
    world.waves.append(model.Wave(len(world.waves) + 1, names, 12.0, 1))


def _instance_orders_lost(world: World) -> None:
    world.lost_order_part = 0.5

    def restore() -> None:
        world.lost_order_part = 0.0

    later(world, world.rng.uniform(3.0, 9.0), restore)


def _machines_cut(world: World) -> None:
    world.are_machines_cut = True

    def restore() -> None:
        world.are_machines_cut = False

    later(world, world.rng.uniform(1.0, 6.0), restore)


def _late_orders(world: World) -> None:
    names = _pick_workers(world, 0.5)
    for name in names:
        world.workers[name].late_part = 0.3

    def heal() -> None:
        for name in names:
            world.workers[name].late_part = 0.0

    later(world, 5.0, heal)


def _lossy_workers(world: World) -> None:
    names = _pick_workers(world, 0.5)
    for name in names:
        world.workers[name].unheard_part = 0.5

    def heal() -> None:
        for name in names:
            world.workers[name].unheard_part = 0.0

    later(world, world.rng.uniform(3.0, 9.0), heal)


def _worker_fails_all(world: World) -> None:
    names = _pick_workers(world, 0.1)
    for name in names:
        world.workers[name].fails_all = True

    def heal() -> None:
        for name in names:
            world.workers[name].fails_all = False

    later(world, 4.0, heal)


def _workers_at_speed(part: float, speed: float) -> Callable[[World], None]:
    def strike(world: World) -> None:
        names = _pick_workers(world, part)
        for name in names:
            world.workers[name].set_work_speed(world.now_s, speed)

        def heal() -> None:
            for name in names:
                world.workers[name].set_work_speed(world.now_s, 1.0)

        later(world, world.rng.uniform(3.0, 7.0), heal)

    return strike


def _lower_limits(world: World) -> None:
    assert world.config is not None
    # The rule counts the highest limit that may be in force, so only a raise is judged at once.
    publish(world, world.config._replace(version=world.config.version + 3))


def _cancel_some(world: World) -> None:
    for job in world.rng.sample(sorted(world.judge.accepted), k=min(3, len(world.judge.accepted))):
        cancel(world, world.rng.choice(sorted(world.instances)), job, "key-a")


FAULTS: dict[str, Callable[[World], None]] = {
    "kill_owner": _kill_owner,
    "kill_any": _kill_any,
    "kill_all": _kill_all,
    "freeze_owner": _freeze_owner,
    "stop_owner": _stop_owner,
    "store_down": _store_state(REFUSING),
    "store_silent": _store_state(SILENT),
    "store_refuses_owner": _store_refuses_owner,
    "store_loses_answers": _store_loses,
    "store_slow": _store_slow,
    "cut_workers": _cut_workers,
    "cut_owner_from_workers": _cut_owner_from_workers,
    "cut_peers": _cut_peers,
    "crash_workers": _crash_workers,
    "worker_gone": _worker_gone,
    "entries_lapse": _entries_lapse,
    "wave": _wave,
    "instance_orders_lost": _instance_orders_lost,
    "machines_cut": _machines_cut,
    "late_orders": _late_orders,
    "lossy_workers": _lossy_workers,
    "worker_fails_all": _worker_fails_all,
    "workers_stall": _workers_at_speed(0.3, 0.0),
    "workers_slow": _workers_at_speed(0.3, 0.15),
    "config_change": _lower_limits,
    "cancel_some": _cancel_some,
}

# Faults that a schedule draws. The others would change what recorded seeds draw.
DRAWN_FAULTS = sorted(FAULTS.keys() - {"lossy_workers"})
