"""
Entry point of the `eelgrassdrumd` program.
"""

import sys

from ._app import App
from ._logging import make_writer, open_log
from ._settings import load_or_exit


def main() -> None:
    """
    Run the entry instance until it is asked to stop.
    """
    settings = load_or_exit(sys.argv[1:])
    with open_log(settings.log_file):
        App(settings, make_writer(settings.instance, settings.zone)).run()
