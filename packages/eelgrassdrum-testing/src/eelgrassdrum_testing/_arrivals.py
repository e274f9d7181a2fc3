"""
The requests of a scenario over time, drawn with a seed.
"""

import heapq
import math
from collections.abc import Iterator
from random import Random
from typing import NamedTuple

from ._scenario import Scenario

WORK_SIGMA = 0.5
MS_PER_S = 1000.0


class Arrival(NamedTuple):
    """
    One request.

    :param at_s: seconds since the start.
    :param work_ms: service time in milliseconds.
    """

    at_s: float
    request_id: str
    workspace: str
    team: str
    service: str
    work_ms: float
    idempotent: bool
    urgent: bool


def capacity_per_s(scenario: Scenario) -> float:
    """
    Work out what one service's executors can run.

    :param scenario: the fleet.
    :returns: requests a second at the mean service time.
    """
    mean_ms = scenario.load.work_ms * math.exp(WORK_SIGMA**2 / 2)
    return scenario.executors * scenario.slots * MS_PER_S / mean_ms


def rate_per_s(scenario: Scenario, service: str, at_s: float) -> float:
    """
    Tell how fast a service's requests come in at a time.

    :param scenario: the fleet.
    :param service: the service.
    :param at_s: seconds since the start.
    :returns: requests a second.
    """
    load = scenario.load
    mean = capacity_per_s(scenario) * load.utilization
    turn = int(at_s // load.burst_s) % len(scenario.services)
    bursting = scenario.services[turn] == service
    return mean * (load.burst_factor if bursting else load.trough_factor)


def arrivals(scenario: Scenario, duration_s: float, seed: int | None = None) -> Iterator[Arrival]:
    """
    Draw the requests of all services, in order of time.

    :param scenario: the fleet.
    :param duration_s: seconds to draw for.
    :param seed: seed of the draws, the scenario's own when left out.
    :returns: the requests.
    """
    base = scenario.seed if seed is None else seed
    streams = [
        service_arrivals(scenario, service, duration_s, Random(f"{base}/{service}"))
        for service in scenario.services
    ]
    return heapq.merge(*streams)


def service_arrivals(
    scenario: Scenario, service: str, duration_s: float, random: Random
) -> Iterator[Arrival]:
    """
    Draw one service's requests as a Poisson process, by thinning one at the burst's rate.

    :param scenario: the fleet.
    :param service: the service.
    :param duration_s: seconds to draw for.
    :param random: the draws.
    :returns: the requests in order of time.
    """
    peak = capacity_per_s(scenario) * scenario.load.utilization * scenario.load.burst_factor
    at_s = random.expovariate(peak)
    number = 0
    while at_s < duration_s:
        if random.random() * peak < rate_per_s(scenario, service, at_s):
            number += 1
            yield draw_arrival(scenario, service, at_s, f"{service}-{number}", random)
        at_s += random.expovariate(peak)


def draw_arrival(
    scenario: Scenario, service: str, at_s: float, request_id: str, random: Random
) -> Arrival:
    """
    Draw who sends a request and what it is like.

    :param scenario: the fleet.
    :param service: the service.
    :param at_s: seconds since the start.
    :param request_id: the request's id.
    :param random: the draws.
    :returns: the request.
    """
    load = scenario.load
    workspaces = scenario.workspaces
    sender = random.choices(workspaces, [entry.weight for entry in workspaces])[0]
    team = random.choices(sender.teams, [entry.weight for entry in sender.teams])[0]
    return Arrival(
        at_s=at_s,
        request_id=request_id,
        workspace=sender.id,
        team=team.id,
        service=service,
        work_ms=random.lognormvariate(math.log(load.work_ms), WORK_SIGMA),
        idempotent=random.random() < load.idempotent,
        urgent=random.random() < load.urgent,
    )
