"""
Adapter for the platform's API for instances of pools: inventory, drain, reboot and join.
"""

from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

import msgspec

from eelgrassdrum_core import _fleet_messages as messages
from eelgrassdrum_core import effects

from ._http_messages import ClientRequest, HttpFailure, HttpOutcome
from ._http_pool import HttpPool
from ._urls import BaseUrl

READ_TIMEOUT_S = 3.0
CALL_TIMEOUT_S = 3.0
STATUS_OK = 200

Post = Callable[[object], None]
WriteLine = Callable[[effects.WriteLog], None]


class InventoryJson(msgspec.Struct):
    """
    Response to an inventory read; a malformed entry is skipped and affects no other.
    """

    at_s: float
    since: int
    version: int
    instances: list[Any]
    removed: list[str] = []


class StepJson(msgspec.Struct):
    """
    Response to a call on one instance.
    """

    state: str


class Call(NamedTuple):
    """
    A call on one instance.

    :param action: ``drain``, ``reboot`` or ``join``.
    :param fields: fields of the request body besides the epoch.
    """

    instance: str
    action: str
    epoch: int
    fields: dict[str, Any]


def make_machine_effects(
    base: BaseUrl, pool: HttpPool, post: Post, write_line: WriteLine
) -> dict[type, Callable[[Any], None]]:
    """
    Build the adapter on its connection pool.

    :param base: base URL of the platform's instance list.
    :param pool: connection pool for it.
    :param post: called with each event.
    :param write_line: called with one log line for each series of failed reads.
    :returns: handler of each effect type.
    """
    is_failing = False

    def read(effect: messages.ReadInventory) -> None:
        query = urlencode({"shards": ",".join(effect.shards), "since": effect.since})
        path = f"{base.path}/v1/machines?{query}"
        on_done = lambda outcome: on_read(effect, outcome)  # noqa: E731
        pool.submit(ClientRequest(base.address, "GET", path, READ_TIMEOUT_S, on_done))

    def on_read(effect: messages.ReadInventory, outcome: HttpOutcome) -> None:
        nonlocal is_failing
        event = parse_inventory(effect, outcome)
        if event is not None:
            post(event)
        elif not is_failing:
            write_line(effects.WriteLog("inventory.unavailable", {}))
        is_failing = event is None

    def send(call: Call) -> None:
        path = f"{base.path}/v1/machines/{quote(call.instance, safe='')}/{call.action}"
        body = msgspec.json.encode({"epoch": call.epoch, **call.fields})
        on_done = lambda outcome: on_called(call, outcome)  # noqa: E731
        headers = {"Content-Type": "application/json"}
        pool.submit(
            ClientRequest(base.address, "POST", path, CALL_TIMEOUT_S, on_done, headers, body)
        )

    def on_called(call: Call, outcome: HttpOutcome) -> None:
        event = parse_step(call, outcome)
        if event is not None:
            post(event)

    return {
        messages.ReadInventory: read,
        messages.DrainInstance: lambda e: send(Call(e.instance, messages.DRAIN, e.epoch, {})),
        messages.RebootInstance: lambda e: send(Call(e.instance, messages.REBOOT, e.epoch, {})),
        messages.JoinPool: lambda e: send(
            Call(e.instance, messages.JOIN, e.epoch, {"pool": e.pool})
        ),
    }


def parse_inventory(
    effect: messages.ReadInventory, outcome: HttpOutcome
) -> messages.InventoryReceived | None:
    """
    Parse the response to an inventory read.

    :param effect: the read.
    :param outcome: outcome of the request.
    :returns: the event, or ``None`` without a valid response.
    """
    found = _decode(outcome, InventoryJson)
    if found is None:
        return None
    parsed = (_parse_instance(item) for item in found.instances)
    return messages.InventoryReceived(
        effect.requested_s,
        found.at_s,
        found.since,
        found.version,
        tuple(item for item in parsed if item is not None),
        tuple(found.removed),
    )


def parse_step(call: Call, outcome: HttpOutcome) -> messages.StepReported | None:
    """
    Parse the response to a call on an instance.

    :param call: the call.
    :param outcome: outcome of the request.
    :returns: the event, or ``None`` when the outcome is unknown and the call will be repeated.
    """
    found = _decode(outcome, StepJson)
    known = (messages.DONE, messages.PENDING, messages.REFUSED, messages.FAILED)
    if found is None or found.state not in known:
        return None
    return messages.StepReported(call.instance, call.action, call.epoch, found.state)


def _parse_instance(item: Any) -> messages.InventoryInstance | None:
    try:
        fields = [item[name] for name in messages.InventoryInstance._fields]
        return msgspec.convert(fields, messages.InventoryInstance)
    except (msgspec.ValidationError, KeyError, TypeError):
        return None


def _decode(outcome: HttpOutcome, answer_type: type) -> Any:
    if isinstance(outcome, HttpFailure) or outcome.status != STATUS_OK:
        return None
    try:
        return msgspec.json.decode(outcome.body, type=answer_type)
    except msgspec.MsgspecError:
        return None
