"""
Callbacks that run after a delay on the event loop.
"""

import heapq
import itertools
from collections.abc import Callable
from time import monotonic
from typing import Any, NamedTuple

from circuits import BaseComponent, handler

Callback = Callable[[], None]
CallLater = Callable[[float, Callback], None]


class Due(NamedTuple):
    """
    One callback and the time at which it runs.
    """

    at_s: float
    sequence: int
    callback: Callback


class Timers(BaseComponent):
    """
    Keeps callbacks in a heap, so that an idle callback costs nothing on each turn of the loop.
    """

    def __init__(self) -> None:
        """
        Start with no callbacks.
        """
        super().__init__()
        self._due: list[Due] = []
        self._sequence = itertools.count()

    def call_later(self, delay_s: float, callback: Callback) -> None:
        """
        Schedule a callback on the event loop's thread.

        :param delay_s: seconds from now.
        :param callback: what to run.
        """
        heapq.heappush(self._due, Due(monotonic() + delay_s, next(self._sequence), callback))

    @handler("generate_events")
    def _on_generate_events(self, event: Any) -> None:
        now_s = monotonic()
        while self._due and self._due[0].at_s <= now_s:
            heapq.heappop(self._due).callback()
            event.reduce_time_left(0)
        if self._due:
            event.reduce_time_left(max(0.0, self._due[0].at_s - monotonic()))
