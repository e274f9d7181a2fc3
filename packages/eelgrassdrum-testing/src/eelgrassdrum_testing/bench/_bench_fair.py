"""
Fair shares over the fleet: distance to the exact water-filling share.

The exact share is worked out at every sample from all that runs and waits anywhere, and from what
was refused a moment ago, so that refusing a team's requests does not make its share smaller. The
baselines are serving in the order of arrival, and fair queueing without aggregates of others.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import NamedTuple
from unittest.mock import patch

from eelgrassdrum_core import _fair, _fair_exchange
from eelgrassdrum_core._fair import FairState
from eelgrassdrum_core._requests import Request
from eelgrassdrum_testing._harness import (
    QUEUE,
    SERVICE,
    TeamPlan,
    World,
    advance,
    key_text,
    make_fleet,
    submit,
)

from ._measure import Bench, Measure, measure

STEP_S = 0.05
# Time between two samples, well below the shortest run time.
SAMPLE_S = 0.01
SAMPLES_PER_STEP = 5
WINDOW_S = 10.0
WARM_UP_S = 20.0
RUN_S = 70.0
SEEDS = (1, 2, 3)
# Time for which a refused request counts as wanting a slot.
REFUSED_WANT_S = 1.0
SLOTS = 4
ALL_SLOTS = 24
NO_LIMIT = 999
TEAMS = (
    TeamPlan("even", 1.0, NO_LIMIT),
    TeamPlan("double", 2.0, NO_LIMIT),
    TeamPlan("tiny", 1.0, NO_LIMIT),
    TeamPlan("huge", 1.0, NO_LIMIT),
    TeamPlan("flood", 1.0, NO_LIMIT),
)
SHARES = {f"show/{team.name}": team.share for team in TEAMS}
TOTAL_SHARE = sum(SHARES.values())
MEAN_RUN_S = {"even": 0.2, "double": 0.2, "tiny": 0.05, "huge": 1.0, "flood": 0.2}
# Entry instances that a team's callers meet.
HOMES = {
    "even": slice(0, 2),
    "double": slice(2, 5),
    "tiny": slice(0, 9),
    "huge": slice(7, 9),
    "flood": slice(0, 9),
}
# Arrivals in steady overload, as a multiple of what a team's share could run.
OVERLOAD = 1.5
FLOOD = 4.5
# Bursts in turn: mean arrivals, their multiple in a burst and in a trough, and a burst's length.
MEAN_LOAD = 0.8
BURST = 5.0
TROUGH = 0.05
BURST_S = 5.0
# Windows in which a team's share is smaller than this say nothing about closeness.
SMALL_SLOT_S = 12.0
MAX_STEADY = 0.05
MAX_BURST = 0.10

Rates = Callable[[float, int], float]


class Closeness(NamedTuple):
    """
    How near the teams came to their exact shares.

    :param worst: largest distance of any team in any window, as a part of its share.
    :param use: slot-seconds used, as a part of what could be used.
    :param bytes_per_s: peer traffic of an instance.
    """

    worst: float
    use: float
    bytes_per_s: float


def water_fill(
    demand: dict[str, float], shares: dict[str, float], slots: float
) -> dict[str, float]:
    """
    Give the weighted max-min fair split of slots.

    :param demand: slots that each team could use.
    :param shares: weights.
    :param slots: slots to split.
    :returns: slots by team.
    """
    parts = dict.fromkeys(demand, 0.0)
    left = float(slots)
    for team in sorted(demand, key=lambda name: demand[name] / shares[name]):
        weight = sum(shares[name] for name in demand if parts[name] == 0.0)
        parts[team] = min(demand[team], left * shares[team] / weight)
        left -= parts[team]
        if parts[team] == 0.0:
            # Nothing wanted, so nothing of the rest either.
            shares = {**shares, team: 0.0}
    return parts


def steady(now_s: float, index: int) -> float:
    """
    Give a team's arrivals in steady overload.

    :param now_s: time.
    :param index: place of the team.
    :returns: multiple of what its share could run.
    """
    return FLOOD if TEAMS[index].name == "flood" else OVERLOAD


def bursts(now_s: float, index: int) -> float:
    """
    Give a team's arrivals when the teams burst in turn.

    :param now_s: time.
    :param index: place of the team.
    :returns: multiple of what its share could run.
    """
    in_burst = int(now_s / BURST_S) % len(TEAMS) == index
    return MEAN_LOAD * (BURST if in_burst else TROUGH)


def arrive(world: World, rng: random.Random, start_s: float, rates: Rates) -> None:
    """
    Submit one step's requests.

    :param world: the world.
    :param rng: chooses counts and instances.
    :param start_s: time at which the load began.
    :param rates: arrivals by time and team.
    """
    names = list(world.entries)
    for index, team in enumerate(TEAMS):
        slots = ALL_SLOTS * team.share / TOTAL_SHARE
        mean = rates(world.now_s - start_s, index) * slots / MEAN_RUN_S[team.name] * STEP_S
        count = int(mean) + (rng.random() < mean % 1.0)
        for _ in range(count):
            entry = world.entries[rng.choice(names[HOMES[team.name]])]
            request_id = f"{entry.zone}.{world.next_token}"
            key = key_text(team.name)
            submit(world, entry, QUEUE, request_id, key=key, team=f"show/{team.name}")


def count_running(world: World) -> Counter[str]:
    """
    Count what runs anywhere.

    :param world: the world.
    :returns: units by team.
    """
    return Counter(run.team for e in world.endpoints.values() for run in e.running.values())


def count_demand(world: World, running: Counter[str]) -> dict[str, float]:
    """
    Count what runs and waits anywhere, and what was refused lately.

    :param world: the world.
    :param running: running units by team.
    :returns: units by team.
    """
    demand = {team: float(running[team]) for team in SHARES}
    for outcome in reversed(world.outcomes):
        if outcome.at_s < world.now_s - REFUSED_WANT_S:
            break
        if outcome.refusal is not None:
            demand[world.submissions[outcome.token].team] += 1.0
    for entry in world.entries.values():
        service = entry.state.fair.services.get(SERVICE)
        for name, team in service.teams.items() if service else ():
            demand[name] += _fair.count_waiting(team)
    return demand


def measure_closeness(seed: int, rates: Rates) -> Closeness:
    """
    Run a load and compare use with the exact shares, window by window.

    :param seed: seed of the world and the load.
    :param rates: arrivals by time and team.
    :returns: the closeness.
    """
    rng = random.Random(seed)
    world = make_fleet(seed, entries_per_zone=3, slots=SLOTS, run_s=0.2, teams=TEAMS)
    world.run_s_by_team = {f"show/{team}": mean_s for team, mean_s in MEAN_RUN_S.items()}
    start_s = world.now_s
    used: Counter[str] = Counter()
    exact: Counter[str] = Counter()
    worst = all_used = all_exact = 0.0
    for step in range(1, round(RUN_S / STEP_S) + 1):
        arrive(world, rng, start_s, rates)
        if step * STEP_S <= WARM_UP_S:
            advance(world, STEP_S)
            continue
        for _ in range(SAMPLES_PER_STEP):
            advance(world, SAMPLE_S)
            running = count_running(world)
            used.update(running)
            exact.update(water_fill(count_demand(world, running), SHARES, ALL_SLOTS))
        if step % round(WINDOW_S / STEP_S) == 0:
            worst = max(worst, _worst_distance(used, exact))
            all_used += sum(used.values())
            all_exact += sum(exact.values())
            used.clear()
            exact.clear()
    traffic = world.network.peer_bytes / len(world.entries) / world.now_s
    return Closeness(worst, all_used / all_exact, traffic)


def _worst_distance(used: Counter[str], exact: Counter[str]) -> float:
    distances = [
        abs(used[team] - share) / share
        for team, share in exact.items()
        if share * SAMPLE_S >= SMALL_SLOT_S
    ]
    return max(distances, default=0.0)


def pop_first(
    fair: FairState,
    service_name: str,
    may_start: Callable[[Request], bool],
    *,
    ignore_ceiling: bool = False,
) -> Request | None:
    """
    Take the request that came first, whatever its team.

    :param fair: changed in place.
    :param service_name: ``WORKSPACE/SERVICE``.
    :param may_start: whether a request may start now.
    :param ignore_ceiling: has no meaning here.
    :returns: the request, or ``None``.
    """
    service = fair.services.get(service_name)
    lines = [
        team.urgent or team.normal
        for team in (service.teams.values() if service else ())
        if _fair.is_waiting(team)
    ]
    first = min(lines, key=lambda line: line[0].arrived_s, default=None)
    if first is None or not may_start(first[0]):
        return None
    req = first[0]
    _fair.remove_where(fair, lambda other: other is req)
    return req


@contextmanager
def arrival_order() -> Iterator[None]:
    """
    Serve in the order of arrival at each instance.
    """
    with patch.object(_fair, "pop", pop_first):
        yield


@contextmanager
def local_only() -> Iterator[None]:
    """
    Queue fairly at each instance without aggregates of others.
    """
    with patch.object(_fair_exchange, "_take", lambda *args, **kwargs: None):
        yield


def bench_load(name: str, rates: Rates, bound: float) -> Iterable[Measure]:
    """
    Measure the closeness under one load, beside the baselines.

    :param name: name of the load.
    :param rates: arrivals by time and team.
    :param bound: largest distance allowed.
    :returns: measures.
    """
    results = [measure_closeness(seed, rates) for seed in SEEDS]
    worst = max(result.worst for result in results)
    yield measure(f"fair_distance_{name}", worst, "share", at_most=bound)
    yield measure(f"fair_use_{name}", min(r.use for r in results), "share", at_least=0.95)
    yield measure(
        f"fair_peer_traffic_{name}", max(r.bytes_per_s for r in results), "bytes/s", at_most=26_000
    )
    for baseline, context in (("fifo", arrival_order), ("local_only", local_only)):
        with context():
            other = measure_closeness(SEEDS[0], rates)
        yield measure(
            f"fair_distance_{name}_against_{baseline}",
            results[0].worst,
            "share",
            baseline=other.worst,
            at_most=1.0,
        )


BENCHES: dict[str, Bench] = {
    "fair_steady": lambda: bench_load("steady", steady, MAX_STEADY),
    "fair_bursts": lambda: bench_load("bursts", bursts, MAX_BURST),
}
