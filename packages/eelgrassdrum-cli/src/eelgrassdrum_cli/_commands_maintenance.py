"""
Commands on maintenance rounds: plan, start, pause, resume, abort and status.
"""

from typing import Any

import msgspec

from eelgrassdrum_core._fleet_messages import MAINTENANCE_ORDERED, maintenance_subject
from eelgrassdrum_core._maintenance_fold import ABORT, PAUSE, RESUME, START, Round
from eelgrassdrum_core._waves_planner import WaveView
from eelgrassdrum_core._waves_preview import PlannedWave, preview

from ._commands_config import print_results
from ._errors import ExitCode
from ._operator_client import get_typed
from ._output import print_fields, print_rows
from ._publish import current_base, publish
from ._settings import NO_SETTINGS, Settings

DEFAULT_STOP_S = 300.0


class MaintenanceStatus(msgspec.Struct):
    """
    The maintenance status of a document, as reported by an entry instance.
    """

    round: Round
    controller: str
    has_inventory: bool
    instances: int
    due: int
    overdue: int
    under_way: list[str]
    stuck: list[str]
    view: WaveView


def plan(
    document: str,
    /,
    *,
    due_only: bool = False,
    stop_s: float = DEFAULT_STOP_S,
    settings: Settings = NO_SETTINGS,
) -> int:
    """
    Show the waves that a round would have, without starting one.

    :param document: the fleet or a workspace.
    :param due_only: include only the instances that are due now, instead of every instance.
    :param stop_s: expected time that one instance is out of service, in seconds.
    """
    found = _read_status(settings, document)
    waves = preview(found.view if due_only else _all_due(found.view))
    columns = ("wave", "starts after s", "margin", "instances", "moves")
    rows = [_row(number, wave, stop_s) for number, wave in enumerate(waves)]
    print_rows(settings, [dict(zip(columns, row, strict=True)) for row in rows], columns, rows)
    return ExitCode.OK


def status(document: str, /, *, settings: Settings = NO_SETTINGS) -> int:
    """
    Show a round: whether it is paused and why, and what is due, overdue and under way.

    :param document: the fleet or a workspace.
    """
    found = _read_status(settings, document)
    current = found.round
    fields = {
        "state": "paused" if current.is_paused else "running" if found.due else "idle",
        "round": current.offset or None,
        "last_order_by": current.author,
        "reason": current.reason,
        "controller": found.controller,
        "has_inventory": found.has_inventory,
        "instances": found.instances,
        "due": found.due,
        "overdue": found.overdue,
        "under_way": found.under_way,
        "stuck": found.stuck,
    }
    print_fields(settings, fields)
    return ExitCode.OK


def start(document: str, /, *, reason: str = "", settings: Settings = NO_SETTINGS) -> int:
    """
    Start a round that reboots each instance of the document's pools once.

    :param document: the fleet or a workspace.
    :param reason: why.
    """
    return _order(settings, document, START, reason)


def pause(document: str, /, *, reason: str = "", settings: Settings = NO_SETTINGS) -> int:
    """
    Stop no further instances. Those out of service still return.

    :param document: the fleet or a workspace.
    :param reason: why.
    """
    return _order(settings, document, PAUSE, reason)


def resume(document: str, /, *, reason: str = "", settings: Settings = NO_SETTINGS) -> int:
    """
    Continue after a pause, accepting the present failures.

    :param document: the fleet or a workspace.
    :param reason: why.
    """
    return _order(settings, document, RESUME, reason)


def abort(document: str, /, *, reason: str = "", settings: Settings = NO_SETTINGS) -> int:
    """
    End a round early. Drains in progress are canceled.

    :param document: the fleet or a workspace.
    :param reason: why.
    """
    return _order(settings, document, ABORT, reason)


def _order(settings: Settings, document: str, action: str, reason: str) -> int:
    subject = maintenance_subject(document)
    body = {
        "shard": document,
        "action": action,
        "author": settings.operator,
        "reason": reason,
    }
    base = current_base(settings, subject)
    return print_results(settings, [publish(settings, MAINTENANCE_ORDERED, subject, base, body)])


def _read_status(settings: Settings, document: str) -> MaintenanceStatus:
    found: MaintenanceStatus = get_typed(settings, f"/maintenance/{document}", MaintenanceStatus)
    return found


def _all_due(view: WaveView) -> WaveView:
    pools = [
        pool._replace(instances=tuple(item._replace(is_due=True) for item in pool.instances))
        for pool in view.pools
    ]
    return view._replace(pools=tuple(pools))


def _row(number: int, wave: PlannedWave, stop_s: float) -> tuple[Any, ...]:
    moves = sum(stop.origin != stop.target for stop in wave.stops)
    instances = [stop.instance for stop in wave.stops]
    return number + 1, number * stop_s, wave.margin, instances, moves
