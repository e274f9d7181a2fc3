"""
State of overload control.
"""

import msgspec


class ServiceLoad(msgspec.Struct):
    """
    Requests waiting for one service, and the rate at which they are processed.

    :param waiting: waiting requests by team.
    :param total: waiting requests of all teams.
    :param ended: attempts that ended since the last sample.
    :param sampled_at_s: time of the last sample.
    :param busy: whether requests were waiting the whole time since the last sample.
    :param rate: requests completed per second while others were waiting, or 0 if unknown.
    :param run_s: moving average of the run time of a request, in seconds.
    """

    waiting: dict[str, int] = msgspec.field(default_factory=dict)
    total: int = 0
    ended: int = 0
    sampled_at_s: float = 0.0
    busy: bool = False
    rate: float = 0.0
    run_s: float = 0.0


class RetryBudget(msgspec.Struct):
    """
    Token bucket of the retries of a queue.

    :param tokens: retries available; may be fractional.
    :param first_attempts: first attempts made.
    :param retries: retries made.
    """

    tokens: float
    first_attempts: int = 0
    retries: int = 0


class OverloadState(msgspec.Struct):
    """
    Load by service, retry budgets by queue, and the total length of the bodies held.
    """

    services: dict[str, ServiceLoad] = msgspec.field(default_factory=dict)
    budgets: dict[str, RetryBudget] = msgspec.field(default_factory=dict)
    held_bytes: int = 0
    peak_held_bytes: int = 0
