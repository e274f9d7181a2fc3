"""
The fault matrix: every fault at every step of the system's work, every rule checked.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from itertools import combinations
from typing import NamedTuple

from ._harness import FAULTS, World, advance, make_fleet, publish_next, send_one, start_load
from ._invariants import FINAL_CHECKS, RUNNING_CHECKS, check_final
from ._schedules import DRAIN_S, LOAD_S, RATE, watch

# Resolution with which a step is looked for, and the longest search, in virtual seconds.
SEARCH_STEP_S = 0.003
SEARCH_S = 4.0
# Requests sent at once, more than the fleet's slots, so that some wait.
BURST = 40
# Delay of the second fault of a pair.
SECOND_AFTER_S = 1.5


class Trial(NamedTuple):
    """
    One fault, or two, at one step.

    :param faults: names of the faults.
    :param step: name of the step.
    :param seed: seed of every choice.
    """

    faults: tuple[str, ...]
    step: str
    seed: int


class TrialResult(NamedTuple):
    """
    What a trial showed.

    :param trial: the trial.
    :param reached: whether the step came, so that the fault was brought about.
    :param violations: rules broken, each once.
    """

    trial: Trial
    reached: bool
    violations: tuple[str, ...]


def request_waits(world: World) -> bool:
    """
    Tell whether a request is queued at some instance.

    :param world: the world.
    :returns: whether there is one.
    """
    return any(any(entry.state.fair.queued.values()) for entry in world.entries.values())


def attempt_in_flight(world: World) -> bool:
    """
    Tell whether an attempt was sent and has not arrived, or its answer is on its way.

    :param world: the world.
    :returns: whether there is one.
    """
    running = sum(len(endpoint.running) for endpoint in world.endpoints.values())
    sent = sum(len(entry.state.requests.attempts) for entry in world.entries.values())
    return sent > running


def attempt_running(world: World) -> bool:
    """
    Tell whether at least two attempts run at endpoints.

    :param world: the world.
    :returns: whether they do.
    """
    return sum(len(endpoint.running) for endpoint in world.endpoints.values()) >= 2


def append_in_flight(world: World) -> bool:
    """
    Tell whether an instance waits for the answer to an append.

    :param world: the world.
    :returns: whether one does.
    """
    return any(entry.state.outbox.sending for entry in world.entries.values())


def claim_pending(world: World) -> bool:
    """
    Tell whether an instance waits for votes on a request id.

    :param world: the world.
    :returns: whether one does.
    """
    return any(entry.state.joins.pending for entry in world.entries.values())


def record_half_folded(world: World) -> bool:
    """
    Tell whether the newest record has been folded by some instances only.

    :param world: the world.
    :returns: whether it has.
    """
    folded = {entry.state.fold.position.next_offset for entry in world.entries.values()}
    return len(folded) > 1


def record_not_folded(world: World) -> bool:
    """
    Tell whether the newest record has been folded by no instance yet.

    :param world: the world.
    :returns: whether it has not.
    """
    newest = len(world.log.records)
    return all(e.state.fold.position.next_offset <= newest for e in world.entries.values())


STEPS: dict[str, Callable[[World], bool]] = {
    "a claim on an id is pending": claim_pending,
    "a request waits": request_waits,
    "an attempt or its answer is on the way": attempt_in_flight,
    "attempts run": attempt_running,
    "an append is in flight": append_in_flight,
    "a record is folded nowhere": record_not_folded,
    "a record is folded by some": record_half_folded,
}


def run_trial(trial: Trial) -> TrialResult:
    """
    Bring a fault about at its step, then serve on and check every rule.

    :param trial: the trial.
    :returns: what it showed.
    """
    world = make_fleet(trial.seed)
    start_load(world, RATE, LOAD_S)
    reached = _search(world, STEPS[trial.step])
    if not reached:
        return TrialResult(trial, False, ())
    violations: dict[str, None] = {}
    for name in trial.faults:
        FAULTS[name](world)
        violations.update(watch(world, SECOND_AFTER_S))
    violations.update(watch(world, LOAD_S + DRAIN_S))
    violations.update(dict.fromkeys(check_final(world)))
    return TrialResult(trial, True, tuple(violations))


def _search(world: World, step: Callable[[World], bool]) -> bool:
    publish_next(world)
    for _ in range(BURST):
        send_one(world)
    for _ in range(round(SEARCH_S / SEARCH_STEP_S)):
        if step(world):
            return True
        advance(world, SEARCH_STEP_S)
    return False


def single_trials(seeds: int) -> Iterator[Trial]:
    """
    Give every fault at every step.

    :param seeds: trials of each.
    :returns: the trials.
    """
    for fault in FAULTS:
        for step in STEPS:
            for seed in range(seeds):
                yield Trial((fault,), step, seed)


def pair_trials(seeds: int) -> Iterator[Trial]:
    """
    Give every pair of faults, the steps taken in turn.

    :param seeds: trials of each.
    :returns: the trials.
    """
    steps = list(STEPS)
    for number, pair in enumerate(combinations(FAULTS, 2)):
        for seed in range(seeds):
            yield Trial(pair, steps[(number + seed) % len(steps)], seed)


def run_trials(trials: Iterable[Trial], processes: int) -> list[TrialResult]:
    """
    Run trials side by side.

    :param trials: the trials.
    :param processes: processes to use; 1 runs them here.
    :returns: their results, in order.
    """
    if processes == 1:
        return [run_trial(trial) for trial in trials]
    with ProcessPoolExecutor(processes) as pool:
        return list(pool.map(run_trial, trials, chunksize=8))


def render(singles: list[TrialResult], pairs: list[TrialResult]) -> str:
    """
    Give the page of the fault matrix.

    :param singles: results of single faults.
    :param pairs: results of pairs.
    :returns: Markdown.
    """
    rules = list({**RUNNING_CHECKS, **FINAL_CHECKS})
    lines = [
        "# Fault matrix",
        "",
        "Made by `make fault-matrix`. A cell reads violations/tries: how often the rule broke,",
        "and in how many runs the fault struck at that step. `-` means that the step was never",
        "reached in the run, so nothing is known of that cell. The rules are the functions of",
        "`_invariants.py`; each is shown able to fail by a test.",
        "",
        "| fault | step | " + " | ".join(rules) + " |",
        "|---|---|" + "---|" * len(rules),
    ]
    lines.extend(_rows(singles, rules))
    lines.extend(["", "## Two faults together", ""])
    lines.append("| rule | violations | tries |")
    lines.append("|---|---|---|")
    tried = sum(result.reached for result in pairs)
    broken = Counter(rule for result in pairs for rule in _broken(result))
    lines.extend(f"| {rule} | {broken[rule]} | {tried} |" for rule in rules)
    return "\n".join(lines) + "\n"


def _rows(results: list[TrialResult], rules: list[str]) -> Iterator[str]:
    cells: dict[tuple[str, str], list[TrialResult]] = {}
    for result in results:
        cells.setdefault((result.trial.faults[0], result.trial.step), []).append(result)
    for (fault, step), cell in cells.items():
        tried = sum(result.reached for result in cell)
        broken = Counter(rule for result in cell for rule in _broken(result))
        counts = [f"{broken[rule]}/{tried}" if tried else "-" for rule in rules]
        yield f"| {fault} | {step} | " + " | ".join(counts) + " |"


def _broken(result: TrialResult) -> set[str]:
    return {text.partition(":")[0] for text in result.violations}
