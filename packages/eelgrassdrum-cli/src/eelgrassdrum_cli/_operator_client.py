"""
Asks entry instances, trying the next one when one does not answer.
"""

import time
from typing import Any, Literal
from urllib.parse import quote

import msgspec

from eelgrassdrum_core import RecordId

from ._errors import CommandError, ExitCode
from ._http import HttpAnswer, NoAnswerError, call
from ._settings import Settings

CALL_TIMEOUT_S = 3.0
LONG_POLL_S = 2.0
RETRY_INTERVAL_S = 0.2


class Outcome(msgspec.Struct, frozen=True):
    """
    What the fold made of a record.
    """

    state: Literal["accepted", "rejected", "unknown"]
    offset: int | None = None
    reason: str | None = None
    overtaken_by: Any = None


def get(settings: Settings, path: str, extra_s: float = 0.0) -> Any:
    """
    Ask the entry instances in turn until one answers.

    :param settings: where they are, and the operator's key.
    :param path: the path below ``/v1/operator``.
    :param extra_s: how long the instance may hold the answer back, in seconds.
    :returns: the content of the answer.
    :raises CommandError: when the key is refused, nothing is found or no instance answers.
    """
    if not settings.entry_url:
        raise CommandError(ExitCode.UNREACHABLE, "no entry instance is set, see --entry-url")
    failures = []
    for entry_url in settings.entry_url:
        url = f"{entry_url.rstrip('/')}/v1/operator{path}"
        try:
            answer = call(
                "GET",
                url,
                timeout_s=CALL_TIMEOUT_S + extra_s,
                headers={"Authorization": f"Bearer {settings.operator_key}"},
            )
        except NoAnswerError as exc:
            failures.append(str(exc))
            continue
        if answer.status == 200 and answer.content is not None:
            return answer.content
        _raise_if_final(answer, path)
        failures.append(f"{url}: answered {answer.status}")
    raise CommandError(
        ExitCode.UNREACHABLE, f"no entry instance gave an answer: {'; '.join(failures)}"
    )


def get_typed(settings: Settings, path: str, kind: type[Any], extra_s: float = 0.0) -> Any:
    """
    Ask the entry instances, and give the answer its type.

    :param settings: where they are, and the operator's key.
    :param path: the path below ``/v1/operator``.
    :param kind: the type.
    :param extra_s: how long the instance may hold the answer back, in seconds.
    :returns: a value of the type.
    :raises CommandError: when there is no answer or it does not fit the type.
    """
    content = get(settings, path, extra_s)
    try:
        return msgspec.convert(content, kind)
    except msgspec.ValidationError as exc:
        message = f"the entry instance's answer to {path} cannot be read: {exc}"
        raise CommandError(ExitCode.UNREACHABLE, message) from exc


def wait_for_outcome(settings: Settings, record_id: RecordId, timeout_s: float) -> Outcome:
    """
    Wait until the fold has accepted or rejected a record.

    :param settings: where the entry instances are.
    :param record_id: the record's id.
    :param timeout_s: for how long to ask, in seconds.
    :returns: the outcome; its state is ``unknown`` when none was learnt in time.
    :raises CommandError: when the operator's key is refused.
    """
    deadline = time.monotonic() + timeout_s
    reason = ""
    while True:
        wait_s = max(0.0, min(LONG_POLL_S, deadline - time.monotonic()))
        try:
            outcome = _ask_outcome(settings, record_id, wait_s)
            if outcome.state != "unknown":
                return outcome
            reason = outcome.reason or "the entry instance has not folded the record yet"
        except CommandError as exc:
            if exc.code not in (ExitCode.UNREACHABLE, ExitCode.NOT_FOUND):
                raise
            reason = str(exc)
        if time.monotonic() >= deadline:
            return Outcome("unknown", reason=reason)
        time.sleep(RETRY_INTERVAL_S)


def _ask_outcome(settings: Settings, record_id: RecordId, wait_s: float) -> Outcome:
    writer = quote(record_id.writer, safe="")
    path = f"/outcomes/{writer}/{record_id.incarnation}/{record_id.sequence}?wait={wait_s:.1f}"
    outcome: Outcome = get_typed(settings, path, Outcome, extra_s=wait_s)
    return outcome


def _raise_if_final(answer: HttpAnswer, path: str) -> None:
    """
    Raise for answers that another entry instance would give as well.
    """
    if answer.status in (401, 403):
        raise CommandError(ExitCode.NOT_ALLOWED, f"the operator's key is not allowed to see {path}")
    if answer.status == 404:
        raise CommandError(ExitCode.NOT_FOUND, f"nothing found at {path}")
