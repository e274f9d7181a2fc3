"""
The harness's platform for instances of pools: inventory, drain, reboot and join.
"""

from collections import Counter
from collections.abc import Callable

from eelgrassdrum_core import _fleet_messages as messages
from eelgrassdrum_core._fleet_messages import DRAIN, JOIN, REBOOT

from ._entries import EXECUTORS, deliver
from ._platform import Machine, PlannedStop
from ._world import LOG, Entry, World, is_cut, later

CALL_S = 0.02
INVENTORY_EVERY_S = 0.5
# Longest time for which a drained instance's requests go on.
WORK_S = 3.0


def add_machines(world: World, pool: str, count: int, zones: tuple[str, ...]) -> None:
    """
    Add instances to a pool, spread over zones and over two racks in each.

    :param world: the world.
    :param pool: ``WORKSPACE/POOL``.
    :param count: number of instances.
    :param zones: availability zones.
    """
    for number in range(count):
        zone = zones[number % len(zones)]
        rack = f"{zone}-r{number // len(zones) % 2}"
        name = f"{pool.replace('/', '-')}-{number}"
        world.platform.machines[name] = Machine(name, pool, zone, rack)


def fail_machine(world: World, machine: Machine, *, repair_s: float) -> None:
    """
    Let an instance fail, and come back into service by itself.

    :param world: the world.
    :param machine: the instance.
    :param repair_s: seconds until it is back.
    """
    machine.is_up = False
    machine.failed_s = world.now_s
    machine.busy_until_s = 0.0

    def repair() -> None:
        machine.is_up = True

    later(world, repair_s, repair)


def read_fleet(world: World, entry: Entry, effect: messages.ReadInventory) -> None:
    """
    Answer with the inventory as it was a moment ago, unless the zone is cut off.

    :param world: the world.
    :param entry: the reader.
    :param effect: the read.
    """
    inventory = world.platform.inventory
    if inventory and not is_cut(world, entry.zone, LOG):
        answer = _changes(inventory[0], effect)
        later(world, CALL_S, lambda: deliver(world, entry, answer))


def take_inventory(world: World) -> None:
    """
    Note the state of all instances now and again, and drop what is older than the lag.

    :param world: the world.
    """
    platform = world.platform
    platform.inventory.append(_inventory(world))
    shown_s = world.now_s - platform.lag_s
    while len(platform.inventory) > 1 and platform.inventory[1].at_s <= shown_s:
        platform.inventory.pop(0)
    later(world, INVENTORY_EVERY_S, lambda: take_inventory(world))


def drain(world: World, entry: Entry, effect: messages.DrainInstance) -> None:
    """
    Let an instance take no new work, and say whether its requests have ended.

    :param world: the world.
    :param entry: the caller.
    :param effect: the call.
    """

    def act(machine: Machine) -> str:
        if machine.is_serving:
            machine.is_serving = False
            machine.busy_until_s = world.now_s + world.rng.random() * WORK_S
            if machine.is_stuck:
                machine.busy_until_s = float("inf")
            if machine.is_up:
                world.platform.stops.append(_stop(world, machine))
        is_idle = machine.is_up and world.now_s >= machine.busy_until_s
        return messages.DONE if is_idle else messages.PENDING

    _call(world, entry, effect.instance, effect.epoch, DRAIN, act)


def reboot(world: World, entry: Entry, effect: messages.RebootInstance) -> None:
    """
    Reboot an instance once for each epoch, whatever still runs there.

    :param world: the world.
    :param entry: the caller.
    :param effect: the call.
    """

    def act(machine: Machine) -> str:
        if effect.epoch > machine.rebooted_epoch:
            _boot(world, machine, effect.epoch)
        if world.now_s < machine.booting_until_s:
            return messages.PENDING
        if machine.is_bad:
            machine.booting_until_s = world.now_s + world.platform.boot_s
            return messages.FAILED
        machine.is_up = True
        machine.booted_at_s = machine.booting_until_s
        return messages.DONE

    _call(world, entry, effect.instance, effect.epoch, REBOOT, act)


def join(world: World, entry: Entry, effect: messages.JoinPool) -> None:
    """
    Let an instance take work for a pool.

    :param world: the world.
    :param entry: the caller.
    :param effect: the call.
    """

    def act(machine: Machine) -> str:
        machine.pool, machine.is_serving = effect.pool, True
        return messages.DONE

    _call(world, entry, effect.instance, effect.epoch, JOIN, act)


def _call(
    world: World, entry: Entry, name: str, epoch: int, action: str, act: Callable[[Machine], str]
) -> None:
    def arrive() -> None:
        machine = world.platform.machines.get(name)
        if machine is None or is_cut(world, entry.zone, LOG):
            return
        if epoch < machine.epoch:
            state = messages.REFUSED
        else:
            machine.epoch = epoch
            state = act(machine)
        answer = messages.StepReported(name, action, epoch, state)
        if world.rng.random() >= world.log.lose_answers:
            later(world, CALL_S, lambda: deliver(world, entry, answer))

    later(world, CALL_S, arrive)


def _boot(world: World, machine: Machine, epoch: int) -> None:
    if machine.is_serving or world.now_s < machine.busy_until_s:
        world.platform.cut.append(machine.id)
    machine.rebooted_epoch = epoch
    machine.boots += 1
    machine.is_up = False
    machine.booting_until_s = world.now_s + world.platform.boot_s


def _stop(world: World, machine: Machine) -> PlannedStop:
    machines = world.platform.machines.values()
    serving = Counter(item.pool for item in machines if item.is_serving and item.is_up)
    failed: dict[str, tuple[float, ...]] = {}
    for item in machines:
        if item.is_serving and not item.is_up:
            failed[item.pool] = (*failed.get(item.pool, ()), item.failed_s)
    return PlannedStop(world.now_s, machine.id, machine.pool, dict(serving), failed)


def _inventory(world: World) -> messages.InventoryReceived:
    seen = tuple(
        messages.InventoryInstance(
            machine.id, machine.pool, machine.zone, machine.rack, machine.is_up, machine.booted_at_s
        )
        for machine in world.platform.machines.values()
    )
    version = int(world.now_s / INVENTORY_EVERY_S) + 1
    world.platform.known.update(machine.id for machine in seen)
    removed = tuple(sorted(world.platform.known - set(world.platform.machines)))
    return messages.InventoryReceived(0.0, world.now_s, 0, version, seen, removed)


def _changes(
    current: messages.InventoryReceived, effect: messages.ReadInventory
) -> messages.InventoryReceived:
    # Versions are moments here, so all that the inventory holds is given as changed.
    return current._replace(requested_s=effect.requested_s, since=effect.since)


EXECUTORS[messages.ReadInventory] = read_fleet
EXECUTORS[messages.DrainInstance] = drain
EXECUTORS[messages.RebootInstance] = reboot
EXECUTORS[messages.JoinPool] = join
