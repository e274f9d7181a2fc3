"""
Forecast of how much one more instance would be used by a service, from its demand history.

Bursts end before an instance could be moved, so the forecast doesn't predict the next burst but
estimates how often demand exceeds a given size. The history is a histogram of demand whose samples
decay exponentially with age. The fraction of its weight above a size is the expected utilization of
one more instance.
"""

from collections.abc import Sequence

from ._fleet_state import NEVER_S, DemandHistory

HALF_LIFE_S = 1200.0
# Weight of the configured target as a prior, in seconds of samples.
PRIOR_S = 300.0
# Larger demand is clamped to this number of instances, which bounds the histogram.
MAX_DEMAND = 4096
# Number of quantiles in which an entry instance reports its load.
QUANTILE_COUNT = 5


def quantiles_of(counts: Sequence[float], samples: int) -> tuple[float, ...]:
    """
    Summarize samples as quantiles.

    :param counts: the nonzero samples.
    :param samples: number of all samples, including zeros.
    :returns: `QUANTILE_COUNT` quantiles in ascending order, each for an equal share of the time.
    """
    ordered = [0.0] * max(0, samples - len(counts)) + sorted(counts)
    if not ordered:
        return (0.0,) * QUANTILE_COUNT
    indexes = (
        (2 * number + 1) * len(ordered) // (2 * QUANTILE_COUNT) for number in range(QUANTILE_COUNT)
    )
    return tuple(ordered[index] for index in indexes)


def add_samples(history: DemandHistory, quantiles: Sequence[float], now_s: float) -> None:
    """
    Add the demand since the previous call, each quantile for an equal share of the time.

    :param history: the history, modified in place.
    :param quantiles: quantiles of demand in instances, both those in use and those missing.
    :param now_s: current time in seconds.
    """
    elapsed_s = 0.0 if history.updated_s == NEVER_S else now_s - history.updated_s
    history.updated_s = now_s
    decay = 0.5 ** (elapsed_s / HALF_LIFE_S)
    history.weights = [weight * decay for weight in history.weights]
    for instances in quantiles:
        size = min(int(-(-instances // 1)), MAX_DEMAND)
        shortfall = size + 1 - len(history.weights)
        history.weights.extend([0.0] * max(0, shortfall))
        history.weights[size] += elapsed_s / len(quantiles)


def forecast_utilization(history: DemandHistory | None, target: int, max_size: int) -> list[float]:
    """
    Estimate the fraction of time for which each instance of a pool would be used.

    :param history: observed demand, if any.
    :param target: configured size, which dominates the estimate while the history is short.
    :param max_size: number of instances to estimate.
    :returns: fraction of time for the first instance, the second, and so on, in descending order.
    """
    weights = [] if history is None else history.weights
    total = sum(weights) + PRIOR_S
    above = sum(weights[1:])
    fractions = []
    for size in range(1, max_size + 1):
        prior = PRIOR_S if size <= target else 0.0
        fractions.append((above + prior) / total)
        if size < len(weights):
            above -= weights[size]
    return fractions
