"""
Adapter for the platform's instance list.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from eelgrassdrum_core import effects, events

from ._http_messages import ClientRequest, HttpFailure, HttpOutcome
from ._http_pool import HttpPool
from ._urls import BaseUrl

READ_TIMEOUT_S = 3.0
STATUS_OK = 200


class ListJson(msgspec.Struct):
    """
    Response of the instance list; each entry is decoded separately, so a bad one affects no other.
    """

    instances: list[Any]


def make_list_reader(
    base: BaseUrl,
    pool: HttpPool,
    post: Callable[[object], None],
    write_log: Callable[[effects.WriteLog], None],
) -> Callable[[effects.ReadInstances], None]:
    """
    Build the reader on its connection pool.

    :param base: base URL of the instance list.
    :param pool: connection pool for it.
    :param post: called with each event.
    :param write_log: called with a log line for each failed read.
    :returns: function that starts a read of the list unless one is in flight.
    """
    in_flight = False

    def read(_effect: effects.ReadInstances) -> None:
        nonlocal in_flight
        if in_flight:
            return
        in_flight = True
        path = f"{base.path}/v1/instances"
        pool.submit(ClientRequest(base.address, "GET", path, READ_TIMEOUT_S, on_done))

    def on_done(outcome: HttpOutcome) -> None:
        nonlocal in_flight
        in_flight = False
        instances = parse_instances(outcome)
        if instances is None:
            write_log(effects.WriteLog("list.unavailable", {"reason": _reason(outcome)}))
        else:
            post(events.InstancesListed(instances))

    return read


def parse_instances(outcome: HttpOutcome) -> tuple[events.ListedInstance, ...] | None:
    """
    Parse the entries of the list, skipping malformed ones.

    :param outcome: outcome of the request.
    :returns: the entries, or ``None`` without a valid response.
    """
    if isinstance(outcome, HttpFailure) or outcome.status != STATUS_OK:
        return None
    try:
        entries = msgspec.json.decode(outcome.body, type=ListJson).instances
    except msgspec.MsgspecError:
        return None
    parsed = (_parse_entry(entry) for entry in entries)
    return tuple(instance for instance in parsed if instance is not None)


def _parse_entry(entry: Any) -> events.ListedInstance | None:
    try:
        known = {name: entry[name] for name in events.ListedInstance._fields if name in entry}
        filled = events.ListedInstance(**known)
        return msgspec.convert(list(filled), events.ListedInstance)
    except (msgspec.ValidationError, TypeError):
        return None


def _reason(outcome: HttpOutcome) -> str:
    if isinstance(outcome, HttpFailure):
        return outcome.reason
    return f"status {outcome.status} or malformed answer"
