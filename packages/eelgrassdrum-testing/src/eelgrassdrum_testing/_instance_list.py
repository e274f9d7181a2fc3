"""
The platform's lagging list of instances, as state, pure functions and an HTTP handler.
"""

import re
from collections import deque
from collections.abc import Callable
from functools import partial
from time import monotonic
from typing import Literal, NamedTuple

import msgspec
from msgspec import UNSET, UnsetType

from ._faults import Faults, faulty
from ._http_server import Call, Handler, error_reply, json_reply
from ._timers import CallLater

LAG_S = 2.0
LIST_PATH = "/v1/instances"
INSTANCE_PATH = re.compile(rf"{LIST_PATH}/([\w.-]+)")


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """
    One instance as the platform lists it; fields that do not apply to its role are unset.
    """

    id: str
    role: Literal["entry", "endpoint", "worker"]
    address: str
    zone: str
    state: Literal["live", "leaving"] = "live"
    incarnation: int = 1
    peer_address: str | UnsetType = UNSET
    rack: str | UnsetType = UNSET
    service: str | UnsetType = UNSET
    slots: int | UnsetType = UNSET
    cores: int | UnsetType = UNSET
    memory_gb: int | UnsetType = UNSET
    accelerators: int | UnsetType = UNSET


class Change(NamedTuple):
    """
    A change that readers see once the lag has passed; ``instance`` is None for a removal.
    """

    at_s: float
    id: str
    instance: Instance | None


class ListState(msgspec.Struct):
    """
    What readers see, and the changes that they do not see yet.
    """

    lag_s: float = LAG_S
    visible: dict[str, Instance] = msgspec.field(default_factory=dict)
    pending: deque[Change] = msgspec.field(default_factory=deque)


class Instances(msgspec.Struct, frozen=True):
    """
    The body of the list's answer.
    """

    instances: list[Instance]


class ListFaults(Faults):
    """
    Faults of the list.

    :param lag_s: seconds by which answers are old from now on, unchanged when left out.
    """

    lag_s: float | None = None


def put_instance(state: ListState, instance: Instance, now_s: float) -> None:
    """
    Add an instance or replace the one of the same id.

    :param state: the list, changed in place.
    :param instance: the instance.
    :param now_s: time in seconds.
    """
    state.pending.append(Change(now_s, instance.id, instance))


def remove_instance(state: ListState, instance_id: str, now_s: float) -> None:
    """
    Remove an instance; removing one that is not listed changes nothing.

    :param state: the list, changed in place.
    :param instance_id: its id.
    :param now_s: time in seconds.
    """
    state.pending.append(Change(now_s, instance_id, None))


def list_instances(state: ListState, now_s: float) -> list[Instance]:
    """
    List the instances as they were one lag ago.

    :param state: the list; changes older than the lag become visible.
    :param now_s: time in seconds.
    :returns: the instances by id.
    """
    while state.pending and state.pending[0].at_s <= now_s - state.lag_s:
        change = state.pending.popleft()
        if change.instance is None:
            state.visible.pop(change.id, None)
        else:
            state.visible[change.id] = change.instance
    return [state.visible[key] for key in sorted(state.visible)]


def make_list_handler(
    lag_s: float, call_later: CallLater, clock: Callable[[], float] = monotonic
) -> Handler:
    """
    Build the list's handler.

    :param lag_s: seconds by which answers are old.
    :param call_later: schedules delayed answers.
    :param clock: gives seconds.
    :returns: the handler, with faults.
    """
    state = ListState(lag_s)

    def changed(faults: ListFaults) -> None:
        if faults.lag_s is not None:
            state.lag_s = faults.lag_s

    return faulty(partial(handle_call, state, clock), ListFaults, call_later, changed)


def handle_call(state: ListState, clock: Callable[[], float], call: Call) -> None:
    """
    Answer one call.

    :param state: the list.
    :param clock: gives seconds.
    :param call: the call.
    """
    match = INSTANCE_PATH.fullmatch(call.path)
    if call.method == "GET" and call.path == LIST_PATH:
        call.reply(json_reply(Instances(list_instances(state, clock()))))
    elif call.method == "PUT" and match is not None:
        handle_put(state, match[1], clock(), call)
    elif call.method == "DELETE" and match is not None:
        remove_instance(state, match[1], clock())
        call.reply(json_reply({}))
    else:
        call.reply(error_reply(404, "not_found", call.path))


def handle_put(state: ListState, instance_id: str, now_s: float, call: Call) -> None:
    """
    Add or replace the instance in a call's body.

    :param state: the list.
    :param instance_id: the id in the call's path.
    :param now_s: time in seconds.
    :param call: the call.
    """
    instance = msgspec.json.decode(call.body, type=Instance)
    if instance.id != instance_id:
        call.reply(error_reply(400, "malformed", f"{instance.id} is not {instance_id}"))
        return
    put_instance(state, instance, now_s)
    call.reply(json_reply(instance))
