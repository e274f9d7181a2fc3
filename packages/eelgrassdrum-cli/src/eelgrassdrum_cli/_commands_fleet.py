"""
Commands on the running fleet: status, pools, teams, explain, outcome and drain.
"""

from typing import Any
from urllib.parse import quote

from ._commands_config import print_results
from ._errors import CommandError, ExitCode
from ._operator_client import get, wait_for_outcome
from ._output import print_fields, print_rows
from ._publish import EXIT_CODES, current_base, publish
from ._records import parse_id
from ._refusal_advice import explain_code
from ._settings import NO_SETTINGS, Settings

DRAIN_REQUESTED = "instance.drain_requested"


def status(*, settings: Settings = NO_SETTINGS) -> int:
    """
    Show the state of the fleet as one entry instance sees it.
    """
    print_fields(settings, _status(settings))
    return ExitCode.OK


def teams(*, settings: Settings = NO_SETTINGS) -> int:
    """
    List the teams with their shares, limits and current usage.
    """
    _print_status_section(settings, "teams")
    return ExitCode.OK


def pools(*, settings: Settings = NO_SETTINGS) -> int:
    """
    List the pools with their sizes and instances.
    """
    _print_status_section(settings, "pools")
    return ExitCode.OK


def explain(request_id: str, /, *, settings: Settings = NO_SETTINGS) -> int:
    """
    Show what is known about a request or the refusal of one.

    :param request_id: the request's id, or the code of a refusal.
    """
    known = explain_code(request_id)
    if known is not None:
        print_fields(settings, known._asdict())
        return ExitCode.OK
    content = get(settings, f"/explain/{quote(request_id, safe='')}")
    print_fields(settings, content)
    return ExitCode.OK


def outcome(record_id: str, /, *, settings: Settings = NO_SETTINGS) -> int:
    """
    Query the outcome of a record that was reported as unknown. Sends nothing to the log.

    :param record_id: the id that was printed, WRITER/INCARNATION/SEQUENCE.
    """
    found = wait_for_outcome(settings, parse_id(record_id), settings.timeout_s)
    fields = {
        "id": record_id,
        "state": found.state,
        "revision": found.offset,
        "reason": found.reason,
        "overtaken_by": found.overtaken_by,
    }
    print_fields(settings, fields)
    return EXIT_CODES[found.state]


def drain(instance: str, /, *, comment: str = "", settings: Settings = NO_SETTINGS) -> int:
    """
    Request that an instance finishes its work and leaves its pool.

    :param instance: the instance's id.
    :param comment: why.
    """
    subject = f"instance/{instance}"
    body = {"instance": instance, "author": settings.operator, "comment": comment}
    base = current_base(settings, subject)
    result = publish(settings, DRAIN_REQUESTED, subject, base, body)
    return print_results(settings, [result])


def _status(settings: Settings) -> dict[str, Any]:
    content = get(settings, "/status")
    if not isinstance(content, dict):
        raise CommandError(ExitCode.UNREACHABLE, "the entry instance's status cannot be parsed")
    return content


def _print_status_section(settings: Settings, section: str) -> None:
    """
    Print one list of the status; its columns are the fields that the entry instance returns.
    """
    found = _status(settings)
    if section not in found:
        raise CommandError(ExitCode.NOT_FOUND, f"the entry instance's status has no {section}")
    entries = found[section]
    if not isinstance(entries, list) or not all(isinstance(entry, dict) for entry in entries):
        raise CommandError(ExitCode.UNREACHABLE, "the entry instance's status cannot be parsed")
    columns = list(dict.fromkeys(key for entry in entries for key in entry))
    rows = [[entry.get(column) for column in columns] for entry in entries]
    print_rows(settings, entries, columns, rows)
