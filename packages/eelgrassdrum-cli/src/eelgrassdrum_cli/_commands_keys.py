"""
Commands on keys: grant, withdraw, list, and new keys for operators.
"""

from typing import Any, Literal

import msgspec

from eelgrassdrum_core import KEY_GRANTED, KEY_WITHDRAWN
from eelgrassdrum_core.configuration import (
    ANY_WORKSPACE,
    check_grant,
    decode_grant,
    decode_withdrawal,
)

from ._commands_config import DocumentInForce, print_results
from ._errors import CommandError, ExitCode, InvalidInputError
from ._key_text import new_key
from ._operator_client import get_typed, post_withdrawal
from ._output import print_fields, print_rows
from ._publish import EXIT_CODES, publish
from ._records import key_subject
from ._settings import NO_SETTINGS, Settings


class KeyEntry(msgspec.Struct):
    """
    One key of a workspace.
    """

    key_id: str
    team: str = ""
    queues: list[str] = []
    state: Literal["granted", "withdrawn"] = "granted"
    revision: int | None = None


class KeyList(msgspec.Struct):
    """
    The keys of a workspace.
    """

    keys: list[KeyEntry]


def grant(
    workspace: str,
    team: str,
    /,
    *,
    queue: tuple[str, ...] = (),
    key_id: str = "",
    settings: Settings = NO_SETTINGS,
) -> int:
    """
    Grant a new key to a team, and print it. The key cannot be printed again.

    :param workspace: the team's workspace.
    :param team: the team.
    :param queue: queues that the key is valid for; each keyed queue of the workspace by default.
    :param key_id: the key's id, random by default.
    """
    key = new_key(key_id)
    body: dict[str, Any] = {
        "key_id": key.key_id,
        "workspace": workspace,
        "team": team,
        "digest": key.digest,
        "queues": list(queue),
    }
    _check_grant(settings, body)
    subject = key_subject(workspace, key.key_id)
    # Key ids are never reused, so a grant builds on no earlier record.
    result = publish(settings, KEY_GRANTED, subject, 0, body)
    key_field = {"key": key.text} if result.state != "rejected" else {}
    if settings.output == "json":
        print_fields(settings, {**result._asdict(), **key_field})
    else:
        print_results(settings, [result])
        for text in key_field.values():
            print(f"key: {text}")
    return EXIT_CODES[result.state]


def withdraw(workspace: str, key_id: str, /, *, settings: Settings = NO_SETTINGS) -> int:
    """
    Withdraw a key. A withdrawn key is never valid again, whatever else is published.

    While the log is unavailable, the entry instances withdraw the key and append the
    withdrawal to the log later.

    :param workspace: the key's workspace.
    :param key_id: the key's id.
    """
    body = {"workspace": workspace, "key_id": key_id}
    decoded = decode_withdrawal(body)
    if isinstance(decoded, list):
        raise InvalidInputError(decoded)
    try:
        # Without a base revision, no concurrent change can make a withdrawal stale.
        result = publish(settings, KEY_WITHDRAWN, key_subject(workspace, key_id), None, body)
    except CommandError as exc:
        if exc.code != ExitCode.NOT_SENT:
            raise
        return _withdraw_at_instance(settings, workspace, key_id, exc)
    if result.state == "unknown":
        return _withdraw_at_instance(settings, workspace, key_id, None)
    return print_results(settings, [result])


def _withdraw_at_instance(
    settings: Settings, workspace: str, key_id: str, exc: CommandError | None
) -> int:
    progress = post_withdrawal(settings, workspace, key_id)
    if progress is None:
        if exc is not None:
            raise exc
        raise CommandError(
            ExitCode.UNKNOWN, "the outcome is unknown, and no entry instance accepted it"
        )
    fields = {"state": "withdrawn_ahead_of_log", **msgspec.structs.asdict(progress)}
    print_fields(settings, fields)
    # Not in force everywhere yet: the operator has to handle the unreachable instances.
    return ExitCode.OK if progress.told >= progress.others else ExitCode.UNKNOWN


def list_keys(workspace: str, /, *, settings: Settings = NO_SETTINGS) -> int:
    """
    List the keys of a workspace, granted and withdrawn.

    :param workspace: the workspace.
    """
    found: KeyList = get_typed(settings, f"/keys/{workspace}", KeyList)
    rows = [(key.key_id, key.team, _queues(key), key.state, key.revision) for key in found.keys]
    columns = ("key id", "team", "queues", "state", "revision")
    print_rows(settings, found.keys, columns, rows)
    return ExitCode.OK


def new_operator(
    name: str, /, *, scope: tuple[str, ...] = (ANY_WORKSPACE,), settings: Settings = NO_SETTINGS
) -> int:
    """
    Generate an operator's key, and print it with the entry for the fleet's document.

    Nothing is sent. The key is valid once the document with its digest is published.

    :param name: the operator's name.
    :param scope: workspaces that the operator may act on, ``*`` for each.
    """
    key = new_key(name)
    entry = {"name": name, "scopes": list(scope), "digest": key.digest}
    if settings.output == "json":
        print_fields(settings, {"key": key.text, "operator": entry})
        return ExitCode.OK
    scopes = ", ".join(f'"{item}"' for item in scope)
    print(f'[[operators]]\nname = "{name}"\nscopes = [{scopes}]\ndigest = "{key.digest}"\n')
    print(f"# key: {key.text}")
    return ExitCode.OK


def _queues(key: KeyEntry) -> str:
    if key.state == "withdrawn":
        return ""
    return ", ".join(key.queues) or "each keyed queue"


def _check_grant(settings: Settings, body: dict[str, Any]) -> None:
    """
    Check a grant, also against the document in force if an entry instance responds.
    """
    decoded = decode_grant(body)
    if isinstance(decoded, list):
        raise InvalidInputError(decoded)
    try:
        found: DocumentInForce = get_typed(
            settings, f"/documents/{decoded['workspace']}", DocumentInForce
        )
    except CommandError as exc:
        if exc.code != ExitCode.UNREACHABLE:
            raise
        return
    faults = check_grant(decoded, found.document)  # type: ignore[arg-type]
    if faults:
        raise InvalidInputError(faults)
