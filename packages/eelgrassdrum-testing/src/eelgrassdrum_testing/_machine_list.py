"""
The platform's instances of pools, as state, pure functions and an HTTP handler.
"""

import re
from collections.abc import Callable
from time import monotonic
from typing import Literal

import msgspec

from ._http_server import Call, Handler, error_reply, json_reply

BOOT_S = 1.0
MACHINES_PATH = "/v1/machines"
MACHINE_PATH = re.compile(rf"{MACHINES_PATH}/([\w.-]+)")
ACTION_PATH = re.compile(rf"{MACHINES_PATH}/([\w.-]+)/(drain|reboot|join)")

State = Literal["done", "pending", "refused"]


class Machine(msgspec.Struct):
    """
    One instance of a pool.

    :param is_serving: whether it takes work for its pool.
    :param epoch: highest epoch of any call.
    :param rebooted_epoch: epoch of the call that rebooted it last.
    :param boots: count of reboots.
    :param version: version of the inventory that changed it last.
    """

    id: str
    pool: str
    zone: str
    rack: str
    is_up: bool = True
    is_serving: bool = True
    epoch: int = 0
    rebooted_epoch: int = 0
    boots: int = 0
    booted_at_s: float = 0.0
    booting_until_s: float = 0.0
    version: int = 0


class MachineList(msgspec.Struct):
    """
    All instances of pools.

    :param boot_s: seconds that a reboot takes.
    :param version: grows with each change.
    """

    boot_s: float = BOOT_S
    version: int = 1
    machines: dict[str, Machine] = msgspec.field(default_factory=dict)


class ActionBody(msgspec.Struct):
    """
    The body of a call on one instance.
    """

    epoch: int
    pool: str = ""


class MachineBody(msgspec.Struct):
    """
    The body of a call that adds an instance.
    """

    pool: str
    zone: str
    rack: str


def act(state: MachineList, machine: Machine, action: str, body: ActionBody, now_s: float) -> State:
    """
    Carry out a call on one instance.

    :param state: all instances, changed in place.
    :param machine: the instance.
    :param action: ``drain``, ``reboot`` or ``join``.
    :param body: epoch and pool.
    :param now_s: time in seconds.
    :returns: how far it is.
    """
    if body.epoch < machine.epoch:
        return "refused"
    machine.epoch = body.epoch
    if action == "drain":
        machine.is_serving = False
        return "done"
    if action == "reboot" and body.epoch > machine.rebooted_epoch:
        machine.rebooted_epoch = body.epoch
        machine.boots += 1
        machine.booting_until_s = now_s + state.boot_s
        _change(state, machine, is_up=False)
    if now_s < machine.booting_until_s:
        return "pending"
    _finish_boot(state, machine, now_s)
    if action == "join":
        machine.pool, machine.is_serving = body.pool, True
        _change(state, machine, is_up=True)
    return "done"


def inventory(state: MachineList, shards: list[str], since: int, now_s: float) -> dict[str, object]:
    """
    List what has changed in the pools of some documents.

    :param state: all instances.
    :param shards: names of documents.
    :param since: version that is known, 0 for none.
    :param now_s: time in seconds.
    :returns: the body of the answer.
    """
    for machine in state.machines.values():
        _finish_boot(state, machine, now_s)
    changed = [
        machine
        for machine in state.machines.values()
        if machine.version > since and machine.pool.partition("/")[0] in shards
    ]
    known = {"at_s": now_s, "since": since, "version": state.version, "removed": []}
    return {**known, "instances": changed}


def make_machine_handler(
    otherwise: Handler, boot_s: float = BOOT_S, clock: Callable[[], float] = monotonic
) -> Handler:
    """
    Build a handler of instances of pools.

    :param otherwise: answers all other calls.
    :param boot_s: seconds that a reboot takes.
    :param clock: gives seconds.
    :returns: the handler.
    """
    state = MachineList(boot_s)

    def handle(call: Call) -> None:
        if call.path.startswith(MACHINES_PATH):
            _handle_call(state, clock(), call)
        else:
            otherwise(call)

    return handle


def _handle_call(state: MachineList, now_s: float, call: Call) -> None:
    action = ACTION_PATH.fullmatch(call.path)
    added = MACHINE_PATH.fullmatch(call.path)
    if call.method == "GET" and call.path == MACHINES_PATH:
        shards = call.query.get("shards", "").split(",")
        found = inventory(state, shards, int(call.query.get("since", "0")), now_s)
        call.reply(json_reply(found))
    elif call.method == "PUT" and added is not None:
        _add(state, added[1], msgspec.json.decode(call.body, type=MachineBody))
        call.reply(json_reply({}))
    elif call.method == "POST" and action is not None and action[1] in state.machines:
        body = msgspec.json.decode(call.body, type=ActionBody)
        done = act(state, state.machines[action[1]], action[2], body, now_s)
        call.reply(json_reply({"state": done}))
    else:
        call.reply(error_reply(404, "not_found", call.path))


def _add(state: MachineList, name: str, body: MachineBody) -> None:
    machine = Machine(name, body.pool, body.zone, body.rack)
    state.machines[name] = machine
    _change(state, machine, is_up=True)


def _finish_boot(state: MachineList, machine: Machine, now_s: float) -> None:
    if not machine.is_up and now_s >= machine.booting_until_s:
        machine.booted_at_s = machine.booting_until_s
        _change(state, machine, is_up=True)


def _change(state: MachineList, machine: Machine, *, is_up: bool) -> None:
    state.version += 1
    machine.is_up, machine.version = is_up, state.version
