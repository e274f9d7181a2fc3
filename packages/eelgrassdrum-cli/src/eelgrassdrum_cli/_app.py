"""
Assembles the commands into the command-line application.
"""

import sys
from collections.abc import Sequence

from cyclopts import App, ArgumentCollection, CycloptsError, Parameter, config

from . import (
    _commands_config,
    _commands_day,
    _commands_fleet,
    _commands_keys,
    _commands_maintenance,
    _commands_moves,
    _commands_neighbours,
    _commands_trace,
)
from ._errors import CommandError, ExitCode
from ._output import print_error
from ._settings import ENVIRONMENT_PREFIX, Settings

_ENVIRONMENT = config.Env(ENVIRONMENT_PREFIX, command=False)


def make_app() -> App:
    """
    Build the command-line application.

    :returns: the application with all commands registered.
    """
    app = App(
        name="eelgrassdrum",
        help="Configure and watch a fleet that eelgrassdrum manages.",
        config=_from_environment,
        default_parameter=Parameter(negative_iterable=()),
        version_flags=["--version"],
    )
    app.command(_commands_config.render)
    app.command(_commands_config.validate)
    app.command(_commands_config.diff)
    app.command(_commands_config.publish_documents, name="publish")
    app.command(_commands_config.history)
    app.command(_commands_config.rollback)
    app.command(_make_keys_app())
    app.command(_commands_fleet.outcome)
    app.command(_commands_fleet.drain)
    app.command(_commands_moves.move)
    app.command(_make_maintenance_app())
    app.command(_commands_fleet.pools)
    app.command(_commands_fleet.teams)
    app.command(_commands_fleet.status)
    app.command(_commands_fleet.explain)
    app.command(_commands_trace.trace)
    app.command(_commands_day.day)
    app.command(_commands_neighbours.neighbours)
    app.register_install_completion_command(name="--install-completion")
    return app


def _from_environment(app: App, commands: tuple[str, ...], arguments: ArgumentCollection) -> None:
    """
    Read the common settings from environment variables, but no command's own parameters.
    """
    settings = [item for item in arguments if item.field_info.name in Settings._fields]
    _ENVIRONMENT(app, commands, ArgumentCollection(settings))  # type: ignore[no-untyped-call]


def _make_keys_app() -> App:
    keys = App(name="keys", help="Grant, withdraw and list keys.")
    keys.command(_commands_keys.grant)
    keys.command(_commands_keys.withdraw)
    keys.command(_commands_keys.list_keys, name="list")
    keys.command(_commands_keys.new_operator, name="new-operator")
    return keys


def _make_maintenance_app() -> App:
    maintenance = App(name="maintenance", help="Plan, begin, watch and stop maintenance rounds.")
    for command in ("plan", "start", "pause", "resume", "abort", "status"):
        maintenance.command(getattr(_commands_maintenance, command))
    return maintenance


def run(arguments: Sequence[str]) -> int:
    """
    Run one command.

    :param arguments: the command-line arguments without the program's name.
    :returns: the exit code, see `ExitCode`.
    """
    try:
        code = make_app()(
            list(arguments), exit_on_error=False, print_error=True, result_action="return_value"
        )
    except CycloptsError:
        return ExitCode.USAGE
    except CommandError as exc:
        print_error(exc)
        return exc.code
    return int(code or ExitCode.OK)


def main() -> None:
    """
    Run the command given by the process's arguments and exit with its code.
    """
    sys.exit(run(sys.argv[1:]))
