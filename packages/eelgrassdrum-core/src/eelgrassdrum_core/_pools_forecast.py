"""
What one more instance is worth to a service, from the history of its demand.

A burst is over before an instance could be moved for it, so the question is not when the next burst
comes but how often the demand exceeds a size. The history weighs samples by age; its excess above a
size is the part of one more instance that would be used.
"""

from collections.abc import Sequence

from ._fleet_state import NEVER_S, DemandHistory

HALF_LIFE_S = 1200.0
# Weight in seconds of the configured target, until samples outweigh it.
PRIOR_S = 300.0
# Larger demands count as this many instances.
MAX_DEMAND = 4096
# Quantiles by which an entry instance sums up its load.
QUANTILE_COUNT = 5


def quantiles_of(counts: Sequence[float], samples: int) -> tuple[float, ...]:
    """
    Sum up samples as quantiles.

    :param counts: the samples that were not nothing.
    :param samples: number of all samples.
    :returns: `QUANTILE_COUNT` quantiles in ascending order, each for an equal share of the time.
    """
    ordered = [0.0] * max(0, samples - len(counts)) + sorted(counts)
    if not ordered:
        return (0.0,) * QUANTILE_COUNT
    places = (
        (2 * number + 1) * len(ordered) // (2 * QUANTILE_COUNT) for number in range(QUANTILE_COUNT)
    )
    return tuple(ordered[place] for place in places)


def add_samples(history: DemandHistory, quantiles: Sequence[float], now_s: float) -> None:
    """
    Note the demand that held since the last samples, each level for an equal part of the time.

    :param history: changed in place.
    :param quantiles: demand in instances, those in use and those that are missing.
    :param now_s: time.
    """
    since_s = 0.0 if history.updated_s == NEVER_S else now_s - history.updated_s
    history.updated_s = now_s
    factor = 0.5 ** (since_s / HALF_LIFE_S)
    history.weights = [weight * factor for weight in history.weights]
    for instances in quantiles:
        size = min(int(-(-instances // 1)), MAX_DEMAND)
        missing = size + 1 - len(history.weights)
        history.weights.extend([0.0] * max(0, missing))
        history.weights[size] += since_s / len(quantiles)


def forecast_utilization(history: DemandHistory | None, target: int, largest: int) -> list[float]:
    """
    Give the part of the time for which each instance of a pool would be used.

    :param history: demand that was seen, if any.
    :param target: size that the configuration asks for, believed while little was seen.
    :param largest: number of instances to look at.
    :returns: part of the time for the first instance, the second, and so on; never growing.
    """
    weights = [] if history is None else history.weights
    total = sum(weights) + PRIOR_S
    above = sum(weights[1:])
    parts = []
    for size in range(1, largest + 1):
        prior = PRIOR_S if size <= target else 0.0
        parts.append((above + prior) / total)
        if size < len(weights):
            above -= weights[size]
    return parts
