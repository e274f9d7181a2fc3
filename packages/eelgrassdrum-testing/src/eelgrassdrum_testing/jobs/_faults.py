"""
Faults that a schedule brings about.
"""

from collections.abc import Callable
from functools import partial

from eelgrassdrum_core.jobs import events, model

from ._crashing import hand_in_crashing_jobs
from ._store import REFUSING, SILENT, UP
from ._world import (
    World,
    cancel,
    crash,
    disturb,
    evacuate,
    kill,
    later,
    post,
    publish,
    remove,
)

# Time from which an owner reads nothing until jobs are cancelled.
MISSED_CANCELS_S = 0.5
# Workers that are left at least, so that all work still has room.
LEAST_WORKERS = 4
# Time for which calls to workers are held up before these restart, and fraction of these calls.
REBORN_AFTER_S = 1.5
REBORN_LATE_PART = 0.5
# Instances that are left at least, so that the log finds an owner.
LEAST_INSTANCES = 3
# How long zones are evacuated, and part of these times that are interrupted.
EVACUATED_S = (6.0, 11.0)
BREAK_PART = 0.3


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
    _restart_workers(world, 1)


def _crash_workers_and_set_clocks_back(world: World) -> None:
    """
    Crash workers that start again at an earlier time of day than before.
    """
    _restart_workers(world, -1)


def _restart_workers(world: World, direction: int) -> None:
    names = _pick_workers(world, 0.25)
    for name in names:
        worker = world.workers[name]
        crash(world, worker)
        worker.is_up = False
    disturb(world)

    def restart() -> None:
        disturb(world)
        for name in names:
            worker = world.workers[name]
            if world.rows[worker.instance].worker != name:
                continue
            worker.is_up = True
            worker.incarnation += direction * round(world.now_s * 1000)
            worker.born_s = world.now_s

    later(world, world.rng.uniform(0.5, 8.0), restart)


def _worker_gone(world: World) -> None:
    up = [worker.id for worker in world.workers.values() if worker.is_up]
    if len(up) < LEAST_WORKERS:
        return
    worker = world.workers[world.rng.choice(up)]
    crash(world, worker)
    worker.is_up = False
    disturb(world)
    if world.rng.random() < 0.5:
        del world.rows[worker.instance]


def _entries_lapse(world: World) -> None:
    world.is_registry_empty = True

    def restore() -> None:
        world.is_registry_empty = False

    later(world, 2.0, restore)


def _shrink_workers(world: World) -> None:
    names = _pick_workers(world, 0.6)
    for name in names:
        world.workers[name].shrink(world.now_s, world.rng.uniform(0.0, 0.5))

    def restore() -> None:
        for name in names:
            world.workers[name].grow()

    later(world, world.rng.uniform(6.0, 12.0), restore)


def _operator_unreadable(world: World) -> None:
    """
    Refuse the owner's reads of the operator's records while the log answers.
    """
    name = _owner(world)
    world.operator_unreadable.add(name)
    later(world, world.rng.uniform(6.0, 12.0), lambda: world.operator_unreadable.discard(name))


def _registry_unreadable(world: World) -> None:
    """
    Refuse all reads of the registry while the log answers.
    """
    world.is_registry_unreadable = True

    def restore() -> None:
        world.is_registry_unreadable = False

    later(world, world.rng.uniform(6.0, 9.0), restore)


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


def _late_calls(world: World) -> None:
    _hold_up_calls(world, 5.0)


def _hold_up_calls(world: World, for_s: float) -> None:
    names = _pick_workers(world, 0.5)
    for name in names:
        world.workers[name].late_part = world.workers[name].late_call_part = 0.3

    def heal() -> None:
        for name in names:
            world.workers[name].late_part = world.workers[name].late_call_part = 0.0

    later(world, for_s, heal)


def _worker_answers_lost(world: World) -> None:
    names = _pick_workers(world, 0.7)
    for name in names:
        world.workers[name].lost_part = 0.5

    def heal() -> None:
        for name in names:
            world.workers[name].lost_part = 0.0

    later(world, world.rng.uniform(2.0, 5.0), heal)


def _remove_owner(world: World) -> None:
    _hold_up_calls(world, 2.0)

    def strike() -> None:
        left = [name for name in world.instances if not world.instances[name].is_removed]
        owner = _owner(world)
        if len(left) > LEAST_INSTANCES and owner in left:
            remove(world, owner)
            disturb(world)

    later(world, 1.0, strike)


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


def _remove_queues(world: World) -> None:
    """
    Remove all queues for some time.
    """
    former = world.config
    assert former is not None
    publish(world, former._replace(version=former.version + 3, queues={}))

    def come_back() -> None:
        version = world.config.version + 3 if world.config is not None else 0
        publish(world, former._replace(version=version))

    later(world, world.rng.uniform(2.0, 6.0), come_back)


def _cancel_some(world: World) -> None:
    for job in world.rng.sample(sorted(world.judge.accepted), k=min(3, len(world.judge.accepted))):
        cancel(world, world.rng.choice(sorted(world.instances)), job, "key-a")


def _cancel_promptly(world: World) -> None:
    world.prompt_cancel_part = 0.5

    def cease() -> None:
        world.prompt_cancel_part = 0.0

    later(world, 6.0, cease)


def _owner_misses_cancels(world: World) -> None:
    instance = world.instances[_owner(world)]
    instance.is_unread = instance.is_cut_from_peers = True

    def heal() -> None:
        instance.is_unread = instance.is_cut_from_peers = False

    def cancel_open_jobs() -> None:
        others = [name for name in sorted(world.instances) if name != instance.name]
        for job in sorted(instance.node.replicated.open_jobs):
            if job in world.judge.accepted:
                cancel(world, world.rng.choice(others), job, "key-a")

    later(world, world.rng.uniform(4.0, 9.0), heal)
    later(world, MISSED_CANCELS_S, cancel_open_jobs)


def _reborn_workers(world: World) -> None:
    """
    Restart workers behind a cut, while the calls that were sent before are still on their way.
    """
    names = _pick_workers(world, 0.4)
    for name in names:
        world.workers[name].late_part = REBORN_LATE_PART
        world.workers[name].late_call_part = REBORN_LATE_PART

    def restart() -> None:
        for name in names:
            worker = world.workers[name]
            worker.is_cut = True
            if worker.is_up:
                crash(world, worker)
                worker.incarnation += round(world.now_s * 1000)
                worker.born_s = world.now_s

    def heal() -> None:
        for name in names:
            worker = world.workers[name]
            worker.is_cut = False
            worker.late_part = worker.late_call_part = 0.0

    later(world, REBORN_AFTER_S, restart)
    later(world, REBORN_AFTER_S + world.rng.uniform(2.0, 6.0), heal)


def _evacuate_zone(world: World) -> None:
    _evacuate(world, [world.rng.choice(_zones(world))])


def _evacuate_all_zones(world: World) -> None:
    _evacuate(world, _zones(world))


def _zones(world: World) -> list[str]:
    return sorted({worker.zone for worker in world.workers.values()})


def _evacuate(world: World, zones: list[str]) -> None:
    """
    Evacuate zones for longer than the bound, with a short break at times.
    """
    for zone in zones:
        evacuate(world, zone)
        lasts_s = world.rng.uniform(*EVACUATED_S)
        later(world, lasts_s, partial(evacuate, world, zone, False))
        if world.rng.random() < BREAK_PART:
            break_s = world.rng.uniform(0.0, lasts_s)
            later(world, break_s, partial(evacuate, world, zone, False))
            later(world, break_s + world.rng.uniform(0.0, 1.0), partial(evacuate, world, zone))
            later(world, lasts_s + 1.0, partial(evacuate, world, zone, False))


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
    "worker_fails_all": _worker_fails_all,
    "workers_stall": _workers_at_speed(0.3, 0.0),
    "workers_slow": _workers_at_speed(0.3, 0.15),
    "config_change": _lower_limits,
    "cancel_some": _cancel_some,
    "cancel_promptly": _cancel_promptly,
    "late_calls": _late_calls,
    "worker_answers_lost": _worker_answers_lost,
    "remove_owner": _remove_owner,
    "owner_misses_cancels": _owner_misses_cancels,
}
# Faults that a schedule may name and that none draws, so that recorded seeds draw as before.
NAMED_FAULTS: dict[str, Callable[[World], None]] = {
    **FAULTS,
    "lossy_workers": _lossy_workers,
    "shrink_workers": _shrink_workers,
    "registry_unreadable": _registry_unreadable,
    # An order that is held up may start a task in a worker's next incarnation, although the task
    # has run elsewhere meanwhile; an order can't name the incarnation that it is for.
    "reborn_workers": _reborn_workers,
    "set_clocks_back": _crash_workers_and_set_clocks_back,
    "remove_queues": _remove_queues,
    "crashing_jobs": hand_in_crashing_jobs,
    "operator_unreadable": _operator_unreadable,
    "evacuate_zone": _evacuate_zone,
    "evacuate_all_zones": _evacuate_all_zones,
}
# Faults that the seeds recorded before the others were added were drawn from.
FORMER_FAULTS = FAULTS.keys() - {
    "cancel_promptly",
    "late_calls",
    "owner_misses_cancels",
    "remove_owner",
    "worker_answers_lost",
}
