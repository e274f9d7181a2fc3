"""
The log service over HTTP, with long polls that hold up nobody else.
"""

import re
from collections.abc import Callable
from functools import partial
from time import monotonic

import msgspec

from . import _log_service as log
from ._faults import Faults, faulty
from ._http_server import Call, Handler, Reply, error_reply, json_reply
from ._timers import CallLater

RECORDS_PATH = re.compile(r"/v1/streams/(\w+)/records")
WAIT_LIMIT_S = 30.0


class Bounds(msgspec.Struct, frozen=True):
    """
    The body of the answer to a read of dropped records.
    """

    first: int
    head: int


class Read(msgspec.Struct, eq=False):
    """
    A read, which stays open until records come or its time is over.
    """

    call: Call
    stream: str
    start: int
    limit: int
    wait_s: float


class LogServer(msgspec.Struct):
    """
    The log, its clock and the reads that wait for records.
    """

    log: log.LogState
    clock: Callable[[], float]
    call_later: CallLater
    waiting: list[Read] = msgspec.field(default_factory=list)


def make_log_handler(
    cfg: log.LogConfig, call_later: CallLater, clock: Callable[[], float] = monotonic
) -> Handler:
    """
    Build the log service's handler.

    :param cfg: limits of the service.
    :param call_later: schedules delayed answers.
    :param clock: gives seconds.
    :returns: the handler, with faults.
    """
    server = LogServer(log.new_log(cfg, clock()), clock, call_later)
    inner = partial(handle_call, server)
    return faulty(inner, Faults, call_later, partial(end_reads, server))


def handle_call(server: LogServer, call: Call) -> None:
    """
    Answer one call, now or when records come.

    :param server: the service.
    :param call: the call.
    """
    match = RECORDS_PATH.fullmatch(call.path)
    if match is None or match[1] not in log.STREAMS:
        call.reply(error_reply(404, "not_found", call.path))
    elif call.method == "POST":
        handle_append(server, match[1], call)
    elif call.method == "GET":
        handle_read(server, match[1], call)
    else:
        call.reply(error_reply(405, "method", call.method))


def handle_append(server: LogServer, stream: str, call: Call) -> None:
    """
    Append the records of a call's body and wake the reads that wait for them.

    :param server: the service.
    :param stream: name of the stream.
    :param call: the call.
    """
    records = msgspec.json.decode(call.body, type=list[dict[str, object]])
    call.reply(append_reply(server, stream, records))
    waiting = [read for read in server.waiting if read.stream == stream]
    server.waiting = [read for read in server.waiting if read.stream != stream]
    for read in waiting:
        answer_or_wait(server, read)


def append_reply(server: LogServer, stream: str, records: list[dict[str, object]]) -> Reply:
    """
    Append records and encode the outcome.

    :param server: the service.
    :param stream: name of the stream.
    :param records: what to append.
    :returns: the answer.
    """
    try:
        return json_reply(log.append(server.log, stream, records, server.clock()))
    except log.RateLimitedError as exc:
        retry_after = f"{exc.retry_after_s:.3f}"
        return error_reply(429, "rate_limited", str(exc), {"Retry-After": retry_after})
    except log.BatchTooLargeError as exc:
        return error_reply(413, "batch_too_large", str(exc))


def handle_read(server: LogServer, stream: str, call: Call) -> None:
    """
    Read records, and hold the call open while there are none and it may wait.

    :param server: the service.
    :param stream: name of the stream.
    :param call: the call.
    """
    try:
        start = int(call.query.get("from", "1"))
        limit = int(call.query.get("limit", str(log.READ_LIMIT_RECORDS)))
        wait_s = float(call.query.get("wait", "0"))
    except ValueError as exc:
        call.reply(error_reply(400, "malformed", str(exc)))
        return
    if start < 1 or limit < 1:
        call.reply(error_reply(400, "malformed", "from and limit are at least 1"))
        return
    read = Read(call, stream, start, limit, min(wait_s, WAIT_LIMIT_S))
    if answer_or_wait(server, read):
        return
    server.call_later(read.wait_s, partial(end_read, server, read))


def answer_or_wait(server: LogServer, read: Read) -> bool:
    """
    Answer a read if it has records or may not wait, else keep it among those that wait.

    :param server: the service.
    :param read: the read.
    :returns: whether it was answered.
    """
    try:
        result = log.read(server.log, read.stream, read.start, read.limit, server.clock())
    except log.RecordsDroppedError as exc:
        read.call.reply(json_reply(Bounds(exc.first, exc.head), 410))
        return True
    if not result.records and read.wait_s > 0:
        server.waiting.append(read)
        return False
    read.call.reply(json_reply(result))
    return True


def end_read(server: LogServer, read: Read) -> None:
    """
    Answer a read whose time is over, unless it was answered before.

    :param server: the service.
    :param read: the read.
    """
    if read in server.waiting:
        server.waiting.remove(read)
        read.wait_s = 0.0
        answer_or_wait(server, read)


def end_reads(server: LogServer, faults: Faults) -> None:
    """
    Refuse every waiting read when an outage begins.

    :param server: the service.
    :param faults: the faults in force from now on.
    """
    if not faults.outage:
        return
    waiting, server.waiting = server.waiting, []
    for read in waiting:
        read.call.reply(error_reply(503, "outage"))
