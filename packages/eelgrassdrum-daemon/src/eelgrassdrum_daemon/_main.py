"""
The binary `eelgrassdrumd`.
"""

import sys

from ._app import App
from ._logging import make_writer, open_log
from ._settings import load_or_exit


def main() -> None:
    """
    Serve until asked to stop.
    """
    settings = load_or_exit(sys.argv[1:])
    with open_log(settings.log_file):
        App(settings, make_writer(settings.instance, settings.zone)).run()
