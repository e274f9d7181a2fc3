"""
Generated fault schedules: a small fleet under load, faults at random moments, every rule checked.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

from ._harness import FAULTS, World, advance, later, make_fleet, start_load
from ._invariants import check_final, check_running

LOAD_S = 12.0
RATE = 30.0
REPEAT_SHARE = 0.15
CHECK_EVERY_S = 0.25
# After the load has ended, every exchange must end within its caller's timeout.
DRAIN_S = 12.0


class ScheduleResult(NamedTuple):
    """
    What one schedule showed.

    :param seed: its seed.
    :param faults: names of its faults with their virtual times.
    :param violations: rules broken, each once.
    :param answered: exchanges answered.
    :param refused: exchanges refused.
    :param runs: requests started at endpoints.
    """

    seed: int
    faults: tuple[tuple[float, str], ...]
    violations: tuple[str, ...]
    answered: int
    refused: int
    runs: int


def run_schedule(seed: int, fault_names: tuple[str, ...] | None = None) -> ScheduleResult:
    """
    Run one schedule.

    :param seed: seed of every choice in it.
    :param fault_names: faults to bring about; chosen by the seed when ``None``.
    :returns: what it showed.
    """
    rng = random.Random(seed)
    names = fault_names or tuple(rng.sample(sorted(FAULTS), rng.choice((1, 2, 2, 3))))
    world = make_fleet(seed)
    planned = tuple((round(rng.uniform(0.5, LOAD_S * 0.6), 2), name) for name in names)
    for at_s, name in planned:
        later(world, at_s, _strike(world, name))
    start_load(world, RATE, LOAD_S, REPEAT_SHARE)
    violations = watch(world, LOAD_S + DRAIN_S)
    violations.update(dict.fromkeys(check_final(world)))
    answered = sum(outcome.answer is not None for outcome in world.outcomes)
    return ScheduleResult(
        seed,
        planned,
        tuple(violations),
        answered,
        len(world.outcomes) - answered,
        len(world.runs),
    )


def watch(world: World, seconds: float) -> dict[str, None]:
    """
    Let time pass and check the rules again and again.

    :param world: the world.
    :param seconds: virtual seconds.
    :returns: violations in the order in which they were seen, each once.
    """
    violations: dict[str, None] = {}
    for _ in range(round(seconds / CHECK_EVERY_S)):
        advance(world, CHECK_EVERY_S)
        violations.update(dict.fromkeys(check_running(world)))
    return violations


def _strike(world: World, name: str) -> Callable[[], None]:
    return lambda: FAULTS[name](world)
