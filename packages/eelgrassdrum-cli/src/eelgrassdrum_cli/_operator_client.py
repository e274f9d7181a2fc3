"""
Queries entry instances, failing over to the next one when one does not respond.
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

STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_UNAUTHORIZED = 401
STATUS_FORBIDDEN = 403
STATUS_NOT_FOUND = 404


class Outcome(msgspec.Struct, frozen=True):
    """
    The fold's decision on a record.
    """

    state: Literal["accepted", "rejected", "unknown"]
    offset: int | None = None
    reason: str | None = None
    overtaken_by: Any = None


class WithdrawalProgress(msgspec.Struct, frozen=True):
    """
    How many of the other entry instances have acknowledged a withdrawal.
    """

    instance: str
    told: int
    others: int


def get(settings: Settings, path: str, extra_s: float = 0.0) -> Any:
    """
    Query the entry instances in order until one responds.

    :param settings: URLs of the entry instances, and the operator's key.
    :param path: the path below ``/v1/operator``.
    :param extra_s: how long the instance may delay the response (long polling), in seconds.
    :returns: the content of the response.
    :raises CommandError: when the key is refused, nothing is found or no instance responds.
    """
    if not settings.entry_url:
        raise CommandError(ExitCode.UNREACHABLE, "no entry instance is set, see --entry-url")
    failures = []
    is_refused = False
    for entry_url in settings.entry_url:
        url = f"{entry_url.rstrip('/')}/v1/operator{path}"
        try:
            answer = _get_once(settings, url, CALL_TIMEOUT_S + extra_s)
        except NoAnswerError as exc:
            failures.append(str(exc))
            continue
        if answer.status == STATUS_OK and answer.content is not None:
            return answer.content
        _raise_if_final(answer, path)
        # An instance that lags behind the log may not know a new operator yet.
        is_refused = is_refused or answer.status == STATUS_UNAUTHORIZED
        failures.append(f"{url}: answered {answer.status}")
    reason = "; ".join(failures)
    if is_refused:
        raise CommandError(ExitCode.NOT_ALLOWED, f"the operator's key was refused: {reason}")
    raise CommandError(ExitCode.UNREACHABLE, f"no entry instance responded: {reason}")


def _get_once(settings: Settings, url: str, timeout_s: float) -> HttpAnswer:
    headers = {"Authorization": f"Bearer {settings.operator_key}"} if settings.operator_key else {}
    return call("GET", url, timeout_s=timeout_s, headers=headers)


def get_typed(settings: Settings, path: str, kind: type[Any], extra_s: float = 0.0) -> Any:
    """
    Query the entry instances, and convert the response to a type.

    :param settings: URLs of the entry instances, and the operator's key.
    :param path: the path below ``/v1/operator``.
    :param kind: the type.
    :param extra_s: how long the instance may delay the response (long polling), in seconds.
    :returns: a value of the type.
    :raises CommandError: when there is no response or it does not match the type.
    """
    content = get(settings, path, extra_s)
    try:
        return msgspec.convert(content, kind)
    except msgspec.ValidationError as exc:
        message = f"the entry instance's response to {path} cannot be parsed: {exc}"
        raise CommandError(ExitCode.UNREACHABLE, message) from exc


def post_withdrawal(settings: Settings, workspace: str, key_id: str) -> WithdrawalProgress | None:
    """
    Withdraw a key at the first entry instance that accepts it, which works without the log.

    :param settings: URLs of the entry instances, and the operator's key.
    :param workspace: the key's workspace.
    :param key_id: the key's id.
    :returns: how far the withdrawal has spread, or ``None`` when no instance accepted it.
    """
    headers = {"Authorization": f"Bearer {settings.operator_key}"} if settings.operator_key else {}
    path = f"/withdrawals/{quote(workspace, safe='')}/{quote(key_id, safe='')}"
    for entry_url in settings.entry_url:
        url = f"{entry_url.rstrip('/')}/v1/operator{path}?wait={LONG_POLL_S:.1f}"
        try:
            answer = call("POST", url, timeout_s=CALL_TIMEOUT_S + LONG_POLL_S, headers=headers)
            if answer.status == STATUS_OK:
                return msgspec.convert(answer.content, WithdrawalProgress)
        except (NoAnswerError, msgspec.ValidationError):
            continue
    return None


def wait_for_outcome(settings: Settings, record_id: RecordId, timeout_s: float) -> Outcome:
    """
    Wait until the fold has accepted or rejected a record.

    :param settings: URLs of the entry instances, and the operator's key.
    :param record_id: the record's id.
    :param timeout_s: how long to poll, in seconds.
    :returns: the outcome; its state is ``unknown`` when there was none in time.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        wait_s = max(0.0, min(LONG_POLL_S, deadline - time.monotonic()))
        outcome = _fetch_outcome(settings, record_id, wait_s)
        if outcome.state != "unknown" or time.monotonic() >= deadline:
            return outcome
        time.sleep(RETRY_INTERVAL_S)


def _fetch_outcome(settings: Settings, record_id: RecordId, wait_s: float) -> Outcome:
    """
    Query once. Any failure leaves the outcome unknown and becomes its reason.
    """
    writer = quote(record_id.writer, safe="")
    path = f"/outcomes/{writer}/{record_id.incarnation}/{record_id.sequence}?wait={wait_s:.1f}"
    try:
        outcome: Outcome = get_typed(settings, path, Outcome, extra_s=wait_s)
    except CommandError as exc:
        return Outcome("unknown", reason=str(exc))
    if outcome.state == "unknown" and not outcome.reason:
        reason = "the entry instance has not applied the record yet, or no longer keeps its outcome"
        return Outcome("unknown", reason=reason)
    return outcome


def _raise_if_final(answer: HttpAnswer, path: str) -> None:
    """
    Raise for responses that any other entry instance would return as well.
    """
    if answer.status == STATUS_BAD_REQUEST:
        message = answer.content.get("message", "") if isinstance(answer.content, dict) else ""
        raise CommandError(ExitCode.USAGE, f"the call was malformed: {message or path}")
    if answer.status == STATUS_FORBIDDEN:
        raise CommandError(ExitCode.NOT_ALLOWED, f"{path} is outside the scope of your key")
    if answer.status == STATUS_NOT_FOUND:
        raise CommandError(ExitCode.NOT_FOUND, f"nothing found at {path}")
