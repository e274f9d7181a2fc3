"""
Adapter for the platform's log service.
"""

from collections.abc import Callable
from itertools import pairwise
from typing import Any, NamedTuple

import msgspec

from eelgrassdrum_core import (
    CONTROL_STREAM,
    StoredRecord,
    effects,
    events,
    record_from_json,
    record_to_json,
)

from ._http_messages import ClientRequest, HttpFailure, HttpOutcome
from ._http_pool import HttpPool
from ._timers import Scheduler
from ._urls import BaseUrl

READ_LIMIT = 500
READ_MARGIN_S = 3.0
APPEND_TIMEOUT_S = 5.0
STATUS_OK = 200
STATUS_GONE = 410
STATUS_THROTTLED = 429

Post = Callable[[object], None]


class LogAdapter(NamedTuple):
    """
    Operations on the log.

    :param read: reads the control stream.
    :param append: appends to the control stream.
    """

    read: Callable[[effects.ReadLog], None]
    append: Callable[[effects.AppendRecords], None]


class StoredJson(msgspec.Struct):
    """
    A record in the response to a read.
    """

    offset: int
    record: Any


class ReadJson(msgspec.Struct):
    """
    Response to a read.
    """

    records: list[StoredJson]
    head: int
    first: int = 1


class GoneJson(msgspec.Struct):
    """
    Response to a read of records that the log no longer retains.
    """

    first: int
    head: int


class AppendJson(msgspec.Struct):
    """
    Response to an append.
    """

    offsets: list[int]


def make_log_adapter(base: BaseUrl, pool: HttpPool, scheduler: Scheduler, post: Post) -> LogAdapter:
    """
    Build the adapter on its connection pool.

    :param base: base URL of the log service.
    :param pool: connection pool for it.
    :param scheduler: runs delayed reads and appends.
    :param post: called with each event.
    :returns: the adapter.
    """
    path = f"{base.path}/v1/streams/{CONTROL_STREAM}/records"

    def read(effect: effects.ReadLog) -> None:
        _after(scheduler, effect.delay_s, lambda: send_read(effect))

    def send_read(effect: effects.ReadLog) -> None:
        query = f"?from={effect.from_offset}&limit={READ_LIMIT}&wait={effect.wait_s:g}"
        timeout_s = effect.wait_s + READ_MARGIN_S
        pool.submit(ClientRequest(base.address, "GET", path + query, timeout_s, on_read))

    def on_read(outcome: HttpOutcome) -> None:
        post(_read_event(outcome))

    def append(effect: effects.AppendRecords) -> None:
        _after(scheduler, effect.delay_s, lambda: send_append(effect))

    def send_append(effect: effects.AppendRecords) -> None:
        body = msgspec.json.encode([record_to_json(record) for record in effect.records])
        count = len(effect.records)
        pool.submit(
            ClientRequest(
                base.address,
                "POST",
                path,
                APPEND_TIMEOUT_S,
                lambda outcome: post(_append_event(outcome, count)),
                {"Content-Type": "application/json"},
                body,
            )
        )

    return LogAdapter(read, append)


def _after(scheduler: Scheduler, delay_s: float, action: Callable[[], None]) -> None:
    if delay_s > 0:
        scheduler.call_later(delay_s, action)
    else:
        action()


def _read_event(outcome: HttpOutcome) -> object:
    if isinstance(outcome, HttpFailure):
        return events.LogUnavailable(outcome.reason)
    try:
        if outcome.status == STATUS_GONE:
            gone = msgspec.json.decode(outcome.body, type=GoneJson)
            return events.LogTruncated(gone.first, gone.head)
        if outcome.status != STATUS_OK:
            return events.LogUnavailable(f"status {outcome.status}")
        answer = msgspec.json.decode(outcome.body, type=ReadJson)
    except msgspec.MsgspecError:
        return events.LogUnavailable("malformed answer")
    offsets = [stored.offset for stored in answer.records]
    if any(later != earlier + 1 for earlier, later in pairwise(offsets)):
        return events.LogUnavailable("offsets out of order")
    records = tuple(
        StoredRecord(stored.offset, record_from_json(stored.record)) for stored in answer.records
    )
    return events.LogRead(records, answer.head, answer.first)


def _append_event(outcome: HttpOutcome, count: int) -> object:
    if isinstance(outcome, HttpFailure):
        return events.AppendFailed(outcome.reason, may_have_effect=outcome.sent)
    if outcome.status == STATUS_THROTTLED:
        return events.AppendFailed("throttled", may_have_effect=False)
    if outcome.status != STATUS_OK:
        return events.AppendFailed(f"status {outcome.status}", may_have_effect=True)
    try:
        answer = msgspec.json.decode(outcome.body, type=AppendJson)
    except msgspec.MsgspecError:
        return events.AppendFailed("malformed answer", may_have_effect=True)
    if len(answer.offsets) != count:
        return events.AppendFailed("wrong number of offsets", may_have_effect=True)
    return events.AppendDone(tuple(answer.offsets))
