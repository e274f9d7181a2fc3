"""
Retry budgets: retries are at most a set share of a queue's first attempts.
"""

from ._overload_state import OverloadState, RetryBudget

RETRY_SHARE = 0.1
# A queue may save up this many retries, so that a quiet queue can get over a lost endpoint.
MAX_SAVED_RETRIES = 10.0


def record_first_attempt(overload: OverloadState, queue: str) -> None:
    """
    Note the first attempt of a request.

    :param overload: changed in place.
    :param queue: ``WORKSPACE/QUEUE``.
    """
    budget = _budget(overload, queue)
    budget.first_attempts += 1
    budget.tokens = min(MAX_SAVED_RETRIES, budget.tokens + RETRY_SHARE)


def try_acquire_retry(overload: OverloadState, queue: str) -> bool:
    """
    Take one retry from a queue's budget.

    :param overload: changed in place.
    :param queue: ``WORKSPACE/QUEUE``.
    :returns: whether the budget had one left.
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
