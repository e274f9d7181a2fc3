"""
Retry budgets: the retries of a queue are limited to a fraction of its first attempts.
"""

from ._overload_state import OverloadState, RetryBudget

RETRY_SHARE = 0.1
# Size of the token bucket; it lets a queue with little traffic survive the loss of an endpoint.
MAX_SAVED_RETRIES = 10.0


def record_first_attempt(overload: OverloadState, queue: str) -> None:
    """
    Count the first attempt of a request, which adds to the queue's retry budget.

    :param overload: changed in place.
    :param queue: ``WORKSPACE/QUEUE``.
    """
    budget = _budget(overload, queue)
    budget.first_attempts += 1
    budget.tokens = min(MAX_SAVED_RETRIES, budget.tokens + RETRY_SHARE)


def try_acquire_retry(overload: OverloadState, queue: str) -> bool:
    """
    Acquire one retry from a queue's budget.

    :param overload: changed in place.
    :param queue: ``WORKSPACE/QUEUE``.
    :returns: whether a retry was left.
    """
    budget = _budget(overload, queue)
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    budget.retries += 1
    return True


def _budget(overload: OverloadState, queue: str) -> RetryBudget:
    budget = overload.budgets.get(queue)
    if budget is None:
        budget = overload.budgets[queue] = RetryBudget(MAX_SAVED_RETRIES)
    return budget
