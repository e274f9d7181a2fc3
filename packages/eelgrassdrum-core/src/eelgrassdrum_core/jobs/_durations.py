"""
Estimates how long tasks take, from declared durations and from those that were seen.

Declared durations are good on some queues and off by a factor of ten on others. So each instance
learns from the log, for each step of a queue, how long its tasks took, and by how much this and
the declared durations were off. The estimate weighs both by their errors. All of it is computed
with logarithms: an estimate that is half as long and one that is twice as long are off by as much.

Gangs, long-running tasks and backfill are left out: the end of a gang is that of all its members,
and the others have no duration of their own.
"""

import math
from functools import lru_cache

from ._replicated_state import Job, LearnedDuration, ReplicatedState
from .model import Step

# Log time in which the weight of a former end halves; demand turns within some tens of seconds.
HALF_LIFE_S = 10.0
# Most ends that the average counts, so that a busy queue is followed within as many ends.
MAX_ENDS = 50.0
# Ends from which what was learned counts as half certain.
HALF_CERTAIN_ENDS = 4.0
# Furthest that a single end moves the average, as a logarithm and in multiples of the usual error:
# a worker that is odd by more counts as if it were odd by this much.
MAX_DEVIATION = math.log(2)
MAX_DEVIATION_ERRORS = 2.0
# Error of an average that has not been compared with an end.
FIRST_ERROR = 1.0
# Error below which neither kind of duration counts as better.
MIN_ERROR = 0.05
# Steps of a queue beyond these, and queues with steps beyond these in all, are not remembered.
MAX_STEPS = 8
MAX_LEARNED = 4_096
# Part of what is remembered that is dropped at once when it gets too much.
DROPPED_PART = 1 / 8
# Digits that are kept, so that processors which round differently compute the same.
DIGITS = 6
MS_PER_S = 1000


def expected_s(replicated: ReplicatedState, job: Job, step_index: int) -> float:
    """
    Return the expected duration of a task.

    :param replicated: the replicated state.
    :param job: the job of the task.
    :param step_index: number of its step.
    :returns: seconds on a worker that is neither slow nor far from the data.
    """
    step = job.spec.steps[step_index]
    learned = replicated.durations.get((job.queue, step_index))
    if learned is None or not is_learnable(step):
        return step.estimate_ms / MS_PER_S
    if not step.estimate_ms:
        return math.exp(learned.ln_s)
    factor, exponent = _blend(learned, replicated.log_s)
    return float(factor * (step.estimate_ms / MS_PER_S) ** exponent)


@lru_cache(maxsize=MAX_LEARNED)
def _blend(learned: LearnedDuration, log_s: float) -> tuple[float, float]:
    """
    Return the factor and the exponent that turn a declared duration into the expected one.

    A backlog asks for the same step many times between two ends.
    """
    part = _learned_part(learned, log_s)
    return math.exp(part * learned.ln_s), 1 - part


def learned_part(replicated: ReplicatedState, learned: LearnedDuration) -> float:
    """
    Return how much of an estimate comes from what was learned; the rest is as declared.

    :param replicated: the replicated state.
    :param learned: what was learned of the step.
    :returns: the part, from 0 to 1; it fades while no task of the step ends.
    """
    return _learned_part(learned, replicated.log_s)


def _learned_part(learned: LearnedDuration, log_s: float) -> float:
    ends = learned.ends * _decay(learned, log_s)
    declared = max(MIN_ERROR, learned.declared_error) ** 2
    average = max(MIN_ERROR, learned.error) ** 2
    return ends / (ends + HALF_CERTAIN_ENDS) * declared / (declared + average)


def is_learnable(step: Step) -> bool:
    """
    Return whether the tasks of a step have a duration that can be learned.

    :param step: the step.
    :returns: whether they run by themselves and end.
    """
    return not (step.gang or step.is_long_running or step.is_backfill)


def learn(replicated: ReplicatedState, job: Job, step_index: int, ran_ms: int) -> None:
    """
    Learn from the end of a run that was done.

    :param replicated: the replicated state, modified in place.
    :param job: the job of the task.
    :param step_index: number of its step.
    :param ran_ms: how long it ran, or 0 if that says nothing about its step.
    """
    step = job.spec.steps[step_index]
    if ran_ms <= 0 or step_index >= MAX_STEPS or not is_learnable(step):
        return
    key = (job.queue, step_index)
    ln_s = math.log(ran_ms / MS_PER_S)
    former = replicated.durations.get(key)
    if former is None:
        _drop_oldest(replicated)
        error = _declared_error(step, ln_s, FIRST_ERROR)
        replicated.durations[key] = _rounded(
            LearnedDuration(ln_s, 1.0, FIRST_ERROR, error, replicated.log_s)
        )
        return
    ends = min(MAX_ENDS, former.ends * _decay(former, replicated.log_s) + 1.0)
    deviation = ln_s - former.ln_s
    largest = max(MAX_DEVIATION, MAX_DEVIATION_ERRORS * former.error)
    moved = max(-largest, min(largest, deviation))
    declared_error = _declared_error(step, ln_s, former.declared_error)
    replicated.durations[key] = _rounded(
        LearnedDuration(
            former.ln_s + moved / ends,
            ends,
            former.error + (abs(deviation) - former.error) / ends,
            former.declared_error + (declared_error - former.declared_error) / ends,
            replicated.log_s,
        )
    )


def _declared_error(step: Step, ln_s: float, unknown: float) -> float:
    """
    Return by how much the declared duration was off, or the given value if there is none.
    """
    return abs(ln_s - math.log(step.estimate_ms / MS_PER_S)) if step.estimate_ms else unknown


def _decay(learned: LearnedDuration, log_s: float) -> float:
    age_s = max(0.0, log_s - learned.at_log_s)
    return float(0.5 ** (age_s / HALF_LIFE_S))


def _rounded(learned: LearnedDuration) -> LearnedDuration:
    return LearnedDuration(*(round(value, DIGITS) for value in learned))


def _drop_oldest(replicated: ReplicatedState) -> None:
    """
    Make room for another step by forgetting those of which no task has ended for longest.
    """
    durations = replicated.durations
    if len(durations) < MAX_LEARNED:
        return
    oldest = sorted(durations, key=lambda key: (durations[key].at_log_s, key))
    for key in oldest[: round(DROPPED_PART * MAX_LEARNED)]:
        del durations[key]
