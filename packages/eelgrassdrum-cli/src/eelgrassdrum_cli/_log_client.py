"""
Reads and appends records through the platform's log service.
"""

import time
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

from eelgrassdrum_core import CONTROL_STREAM, Record, RecordId, record_to_json

from ._errors import CommandError, ExitCode
from ._http import HttpAnswer, NoAnswerError, call

CALL_TIMEOUT_S = 3.0
READ_LIMIT_RECORDS = 500
RETRY_INTERVAL_S = 0.2


class LoggedRecord(msgspec.Struct):
    """
    A record and its offset.
    """

    offset: int
    record: dict[str, Any]


class Page(msgspec.Struct):
    """
    A part of the stream, with the offsets of its first and newest records.
    """

    records: list[LoggedRecord]
    head: int
    first: int = 1


class AppendAnswer(msgspec.Struct):
    """
    The offsets that an append was given.
    """

    offsets: list[int]
    head: int


class RetainedRange(msgspec.Struct):
    """
    What the log tells about a read below its first record.
    """

    first: int
    head: int


class AppendResult(NamedTuple):
    """
    The offset of an append, or why it has none.

    ``is_settled`` is false when the record may or may not be in the log.
    """

    offset: int | None
    is_settled: bool
    message: str


def read_page(log_url: str, start: int, limit: int = READ_LIMIT_RECORDS) -> Page:
    """
    Read records from an offset on.

    :param log_url: URL of the log service.
    :param start: the first offset wanted.
    :param limit: at most so many records.
    :returns: the records; those that were dropped by retention are left out.
    :raises NoAnswerError: when the log gives no usable answer.
    """
    url = f"{_records_url(log_url)}?from={start}&limit={limit}&wait=0"
    answer = call("GET", url, timeout_s=CALL_TIMEOUT_S)
    if answer.status == 410:
        retained = _convert(answer, RetainedRange)
        return Page([], retained.head, retained.first)
    if answer.status != 200:
        raise NoAnswerError(
            f"the log answered {answer.status} to a read", may_have_taken_effect=False
        )
    page: Page = _convert(answer, Page)
    return page


def read_record(log_url: str, offset: int) -> LoggedRecord | None:
    """
    Read one record.

    :param log_url: URL of the log service.
    :param offset: the record's offset.
    :returns: the record, or ``None`` when the log no longer holds it.
    :raises NoAnswerError: when the log gives no usable answer.
    """
    for entry in read_page(log_url, offset, limit=1).records:
        if entry.offset == offset:
            return entry
    return None


def append(log_url: str, record: Record, timeout_s: float) -> AppendResult:
    """
    Append a record, and find out what became of it when an answer is lost.

    The log is read from where it ended before the append. Only when it holds no such record is
    the append repeated, under the same id, so that the fold counts it once even when the first
    one arrives late.

    :param log_url: URL of the log service.
    :param record: the record.
    :param timeout_s: for how long to try, in seconds.
    :returns: the offset, or why there is none.
    :raises CommandError: when nothing was sent.
    """
    try:
        head_before = read_page(log_url, 1, limit=1).head
    except NoAnswerError as exc:
        raise CommandError(ExitCode.NOT_SENT, f"nothing was sent: {exc}") from exc
    deadline = time.monotonic() + timeout_s
    may_be_logged = False
    while True:
        result = _try_append(log_url, record, head_before, may_be_logged)
        may_be_logged = may_be_logged or not result.is_settled
        if result.offset is not None or time.monotonic() >= deadline:
            return result._replace(is_settled=result.offset is not None or not may_be_logged)
        time.sleep(RETRY_INTERVAL_S)


def find_offset(log_url: str, record_id: RecordId, start: int = 1) -> int | None:
    """
    Look for a record by its id.

    :param log_url: URL of the log service.
    :param record_id: the id.
    :param start: the offset to look from.
    :returns: the offset of the first such record, or ``None`` when the log holds none.
    :raises NoAnswerError: when the log gives no usable answer.
    """
    wanted = record_id._asdict()
    for entry in scan(log_url, start):
        if entry.record.get("id") == wanted:
            return entry.offset
    return None


def scan(log_url: str, start: int = 1) -> Iterator[LoggedRecord]:
    """
    Read the stream up to the head that it has at the end of the reading.

    :param log_url: URL of the log service.
    :param start: the offset to read from.
    :returns: each record that the log still holds.
    :raises NoAnswerError: when the log gives no usable answer.
    """
    while True:
        page = read_page(log_url, start)
        yield from page.records
        next_start = page.records[-1].offset + 1 if page.records else max(start, page.first)
        if next_start > page.head or (next_start == start and not page.records):
            return
        start = next_start


def _try_append(
    log_url: str, record: Record, head_before: int, may_be_logged: bool
) -> AppendResult:
    """
    Make one attempt, after a look at what became of the attempts before it.
    """
    try:
        if may_be_logged:
            offset = find_offset(log_url, record.id, head_before + 1)
            if offset is not None:
                return AppendResult(offset, True, "")
        return _post(log_url, record)
    except NoAnswerError as exc:
        return AppendResult(None, not exc.may_have_taken_effect, str(exc))
    except CommandError as exc:
        # The refusal says nothing about an attempt before it.
        if not may_be_logged:
            raise
        return AppendResult(None, True, str(exc))


def _post(log_url: str, record: Record) -> AppendResult:
    content = [record_to_json(record)]
    answer = call("POST", _records_url(log_url), timeout_s=CALL_TIMEOUT_S, content=content)
    if answer.status == 200:
        offsets = _convert(answer, AppendAnswer).offsets
        if len(offsets) == 1:
            return AppendResult(offsets[0], True, "")
    if answer.status == 429:
        return AppendResult(None, True, "the log is over its cap on appends")
    if 400 <= answer.status < 500:
        raise CommandError(ExitCode.NOT_SENT, f"the log refused the record: {answer.status}")
    return AppendResult(None, False, f"the log answered {answer.status}")


def _records_url(log_url: str) -> str:
    return f"{log_url.rstrip('/')}/v1/streams/{CONTROL_STREAM}/records"


def _convert(answer: HttpAnswer, kind: type[Any]) -> Any:
    """
    Give an answer its type; one that does not fit may belong to a call that took effect.
    """
    try:
        return msgspec.convert(answer.content, kind)
    except msgspec.ValidationError as exc:
        raise NoAnswerError(
            f"the log's answer cannot be read: {exc}", may_have_taken_effect=True
        ) from exc
