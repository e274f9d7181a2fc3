"""
The entry instance, which turns sockets, timers and the log into events.
"""

from ._main import main

__all__ = ["main"]
