"""
State of overload control.
"""

import msgspec


class ServiceLoad(msgspec.Struct):
    """
    What waits for one service, and how fast it is worked off.

    :param waiting: waiting requests by team.
    :param total: waiting requests of all teams.
    :param ended: attempts that have ended since the last sample.
    :param sampled_at_s: time of the last sample.
    :param busy: whether requests have waited since then.
    :param rate: requests worked off in a second while some waited, or 0 when not known.
    :param run_s: mean time that a request runs.
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
    Retries that a queue may still make.

    :param tokens: count of retries, with fractions.
    :param first_attempts: first attempts made.
    :param retries: retries made.
    """

    tokens: float
    first_attempts: int = 0
    retries: int = 0


class OverloadState(msgspec.Struct):
    """
    Load by service, retry budgets by queue, and the length of all bodies held.
    """

    services: dict[str, ServiceLoad] = msgspec.field(default_factory=dict)
    budgets: dict[str, RetryBudget] = msgspec.field(default_factory=dict)
    held_bytes: int = 0
    peak_held_bytes: int = 0
