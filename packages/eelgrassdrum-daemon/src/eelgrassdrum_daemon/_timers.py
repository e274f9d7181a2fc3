"""
Scheduler for all timers of the daemon, in a single component.

A circuits `Timer` is a component of its own, and registering one clears the event cache of the
whole tree. With a deadline for each request, that costs more than the request itself.
"""

import heapq
import itertools
import time
from collections.abc import Callable

import msgspec
from circuits import BaseComponent, handler

MIN_CANCELLED_TO_COMPACT = 1024

Action = Callable[[], None]


class Timer(msgspec.Struct, eq=False):
    """
    A scheduled action.

    :param due_s: due time by the scheduler's clock, in seconds.
    :param action: callback, or ``None`` once it ran or was cancelled.
    """

    due_s: float
    action: Action | None


class Scheduler(BaseComponent):
    """
    Runs actions from the event loop when they are due.
    """

    channel = "scheduler"

    def init(self, clock: Callable[[], float] = time.monotonic) -> None:
        """
        Create a scheduler without timers.

        :param clock: returns the current time in seconds.
        """
        self.clock = clock
        self._heap: list[tuple[float, int, Timer]] = []
        self._numbers = itertools.count()
        self._cancelled = 0

    def call_later(self, delay_s: float, action: Action) -> Timer:
        """
        Run an action once after a delay.

        :param delay_s: delay in seconds.
        :param action: callback.
        :returns: the timer, for `cancel`.
        """
        timer = Timer(self.clock() + delay_s, action)
        heapq.heappush(self._heap, (timer.due_s, next(self._numbers), timer))
        return timer

    def repeat(self, interval_s: float, action: Action) -> None:
        """
        Run an action periodically until the process exits.

        :param interval_s: seconds from the end of one run to the next.
        :param action: callback.
        """

        def run() -> None:
            self.call_later(interval_s, run)
            action()

        self.call_later(interval_s, run)

    def cancel(self, timer: Timer | None) -> None:
        """
        Cancel a timer; do nothing if it already ran or was cancelled.

        :param timer: the timer, or ``None``.
        """
        if timer is None or timer.action is None:
            return
        timer.action = None
        self._cancelled += 1
        if self._cancelled > max(MIN_CANCELLED_TO_COMPACT, len(self._heap) // 2):
            self._compact()

    def run_due(self) -> float | None:
        """
        Run every action that is due.

        :returns: seconds until the next action; 0 if any ran, since it may have fired circuits
            events that must not wait for the poller; ``None`` if no action is scheduled.
        """
        now = self.clock()
        has_run = False
        while self._heap:
            due_s, _, timer = self._heap[0]
            if timer.action is not None and due_s > now:
                return 0.0 if has_run else due_s - now
            heapq.heappop(self._heap)
            has_run = self._run(timer) or has_run
        return 0.0 if has_run else None

    def _run(self, timer: Timer) -> bool:
        action, timer.action = timer.action, None
        if action is None:
            self._cancelled -= 1
            return False
        action()
        return True

    def _compact(self) -> None:
        self._heap = [entry for entry in self._heap if entry[2].action is not None]
        heapq.heapify(self._heap)
        self._cancelled = 0

    @handler("generate_events")
    def _on_generate_events(self, event):
        left_s = self.run_due()
        if left_s is not None:
            event.reduce_time_left(left_s)
