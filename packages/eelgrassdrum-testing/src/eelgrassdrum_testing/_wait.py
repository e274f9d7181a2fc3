"""
Waits for a condition that another process brings about.
"""

from collections.abc import Callable
from time import monotonic, sleep

WAIT_S = 20.0
POLL_S = 0.01


def wait_until(condition: Callable[[], bool], timeout_s: float = WAIT_S) -> None:
    """
    Poll a condition until it holds.

    :param condition: what to wait for.
    :param timeout_s: seconds to wait at most.
    :raises TimeoutError: it did not come to hold.
    """
    end_s = monotonic() + timeout_s
    while not condition():
        if monotonic() > end_s:
            raise TimeoutError(f"condition did not hold within {timeout_s:g} s")
        sleep(POLL_S)
