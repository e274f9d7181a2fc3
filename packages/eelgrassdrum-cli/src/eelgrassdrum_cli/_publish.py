"""
Appends one record and waits for its outcome.
"""

import re
import time
from typing import Any, NamedTuple

import msgspec

from eelgrassdrum_core import REASON_FENCED, Record, RecordId
from eelgrassdrum_core.configuration import NAME_PATTERN

from ._errors import CommandError, ExitCode
from ._http import NoAnswerError
from ._log_client import append, read_page, read_record, scan
from ._operator_client import Outcome, get_typed, wait_for_outcome
from ._records import format_id, new_id
from ._settings import Settings

MAX_ATTEMPTS = 3


class SubjectOffsets(msgspec.Struct):
    """
    Offset of the last accepted record of each subject.
    """

    subjects: dict[str, int]


class PublishResult(NamedTuple):
    """
    The outcome of a record; ``overtaken_by`` describes the record that was accepted before it.
    """

    id: str
    subject: str
    state: str
    revision: int | None
    reason: str | None
    overtaken_by: Any


EXIT_CODES = {
    "accepted": ExitCode.OK,
    "rejected": ExitCode.REJECTED,
    "unknown": ExitCode.UNKNOWN,
}


def publish(
    settings: Settings,
    kind: str,
    subject: str,
    base: int | None,
    body: dict[str, Any],
    record_id: RecordId | None = None,
) -> PublishResult:
    """
    Append a record and wait until the fold has decided on it.

    :param settings: URLs of the log and the entry instances, and the operator.
    :param kind: the record's kind.
    :param subject: the subject that it changes.
    :param base: the revision of the subject that it builds on, or ``None`` for no check.
    :param body: its body.
    :param record_id: the id of an earlier attempt, which makes a retry idempotent.
    :returns: the outcome.
    :raises CommandError: when nothing was sent.
    """
    require(settings.log_url, "--log-url")
    if not re.fullmatch(NAME_PATTERN, settings.operator):
        message = "--operator must be set, in lower-case letters, digits and hyphens"
        raise CommandError(ExitCode.USAGE, message)
    for _ in range(MAX_ATTEMPTS):
        record = Record(record_id or new_id(settings.operator), kind, subject, base, body)
        result = _publish_once(settings, record)
        # Fenced: another command used the same writer with a newer incarnation. The record took
        # no effect, so it is safe to retry under a new id.
        if result.reason != REASON_FENCED or record_id is not None:
            break
    return result


def _publish_once(settings: Settings, record: Record) -> PublishResult:
    started = time.monotonic()
    appended = append(settings.log_url, record, settings.timeout_s)
    if appended.offset is None:
        if appended.is_settled:
            raise CommandError(ExitCode.NOT_SENT, f"nothing was appended: {appended.message}")
        return _result(settings, record, Outcome("unknown", reason=appended.message))
    left_s = max(0.0, settings.timeout_s - (time.monotonic() - started))
    return _result(settings, record, wait_for_outcome(settings, record.id, left_s))


def require(value: object, flag: str) -> None:
    """
    Check that a setting is present.

    :param value: the setting.
    :param flag: the flag that sets it.
    :raises CommandError: when it is empty.
    """
    if not value:
        raise CommandError(ExitCode.USAGE, f"{flag} is not set")


def current_base(settings: Settings, subject: str) -> int:
    """
    Return the revision that a new record of a subject has to build on.

    Before the first entry instance is up, a log from which nothing was removed is sufficient: a
    subject that it never contained has no revision.

    :param settings: URLs of the log and the entry instances, and the operator.
    :param subject: the subject.
    :returns: the offset of its last accepted record, 0 for none.
    :raises CommandError: when it cannot be determined.
    """
    try:
        found: SubjectOffsets = get_typed(settings, f"/subjects?prefix={subject}", SubjectOffsets)
        return found.subjects.get(subject, 0)
    except CommandError as exc:
        if exc.code != ExitCode.UNREACHABLE or not _was_never_logged(settings, subject):
            raise
        return 0


def _was_never_logged(settings: Settings, subject: str) -> bool:
    """
    Return whether the log is untruncated and has never contained the subject.
    """
    try:
        if read_page(settings.log_url, 1, limit=1).first > 1:
            return False
        return all(entry.record.get("subject") != subject for entry in scan(settings.log_url))
    except NoAnswerError:
        return False


def _result(settings: Settings, record: Record, outcome: Outcome) -> PublishResult:
    overtaken_by = outcome.overtaken_by
    if isinstance(overtaken_by, int) and overtaken_by:
        overtaken_by = _describe(settings, overtaken_by)
    return PublishResult(
        format_id(record.id),
        record.subject,
        outcome.state,
        outcome.offset if outcome.state == "accepted" else None,
        outcome.reason,
        overtaken_by,
    )


def _describe(settings: Settings, offset: int) -> dict[str, Any]:
    """
    Describe the record at an offset: its author and writer, if the log still retains it.
    """
    try:
        entry = read_record(settings.log_url, offset)
    except NoAnswerError:
        entry = None
    if entry is None:
        return {"offset": offset}
    body = entry.record.get("body")
    author = body.get("author") if isinstance(body, dict) else None
    writer = entry.record.get("id", {}).get("writer")
    return {"offset": offset, "author": author, "writer": writer}
