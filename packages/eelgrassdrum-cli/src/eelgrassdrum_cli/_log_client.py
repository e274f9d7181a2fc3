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
    A record of the log with its offset.
    """

    offset: int
    record: dict[str, Any]


class Page(msgspec.Struct):
    """
    A range of the stream's records, with the offsets of the stream's first and newest records.
    """

    records: list[LoggedRecord]
    head: int
    first: int = 1


class AppendAnswer(msgspec.Struct):
    """
    The offsets assigned by an append.
    """

    offsets: list[int]
    head: int


class RetainedRange(msgspec.Struct):
    """
    The log's response to a read below its first retained record.
    """

    first: int
    head: int


class AppendResult(NamedTuple):
    """
    The offset of an appended record, or why there is none.

    ``is_settled`` is false when the record may or may not be in the log.
    """

    offset: int | None
    is_settled: bool
    message: str


def read_page(log_url: str, start: int, limit: int = READ_LIMIT_RECORDS) -> Page:
    """
    Read records starting at an offset.

    :param log_url: URL of the log service.
    :param start: the first offset to read.
    :param limit: maximum number of records.
    :returns: the records; those removed by retention are missing.
    :raises NoAnswerError: when the log returns no usable response.
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
    :returns: the record, or ``None`` when the log no longer retains it.
    :raises NoAnswerError: when the log returns no usable response.
    """
    for entry in read_page(log_url, offset, limit=1).records:
        if entry.offset == offset:
            return entry
    return None


def append(log_url: str, record: Record, timeout_s: float) -> AppendResult:
    """
    Append a record, and determine its outcome when a response is lost.

    After an uncertain attempt, the log is read from the head that it had before the first one. Only
    if the record is not found is the append retried, under the same id, so that the fold applies
    it once even if the first attempt arrives late.

    :param log_url: URL of the log service.
    :param record: the record.
    :param timeout_s: how long to retry, in seconds.
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
    Find the offset of a record by its id.

    :param log_url: URL of the log service.
    :param record_id: the id.
    :param start: the offset to search from.
    :returns: the offset of the first such record, or ``None`` when the log holds none.
    :raises NoAnswerError: when the log returns no usable response.
    """
    wanted = record_id._asdict()
    for entry in scan(log_url, start):
        if entry.record.get("id") == wanted:
            return entry.offset
    return None


def scan(log_url: str, start: int = 1) -> Iterator[LoggedRecord]:
    """
    Iterate over the stream up to the head reported by the last read.

    :param log_url: URL of the log service.
    :param start: the offset to read from.
    :returns: each record that the log still retains.
    :raises NoAnswerError: when the log returns no usable response.
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
    Make one attempt, after checking whether an earlier uncertain attempt was committed.
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
        # This refusal does not tell whether an earlier attempt was committed.
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
        return AppendResult(None, True, "the log's limit on appends is exceeded")
    if 400 <= answer.status < 500:
        raise CommandError(ExitCode.NOT_SENT, f"the log refused the record: {answer.status}")
    return AppendResult(None, False, f"the log answered {answer.status}")


def _records_url(log_url: str) -> str:
    return f"{log_url.rstrip('/')}/v1/streams/{CONTROL_STREAM}/records"


def _convert(answer: HttpAnswer, kind: type[Any]) -> Any:
    """
    Convert a response to its type; a malformed one may belong to a call that took effect.
    """
    try:
        return msgspec.convert(answer.content, kind)
    except msgspec.ValidationError as exc:
        raise NoAnswerError(
            f"the log's response cannot be parsed: {exc}", may_have_taken_effect=True
        ) from exc
