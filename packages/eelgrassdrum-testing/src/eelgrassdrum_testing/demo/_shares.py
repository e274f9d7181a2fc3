"""
What each team got, and how near that comes to its share.
"""

from collections import defaultdict
from typing import NamedTuple

from .._scenario import Scenario
from ._callers import ANSWERED, Outcome
from ._fleet import all_teams, share_of

MS_PER_S = 1000.0
EPSILON_S = 1e-9


class TeamUse(NamedTuple):
    """
    What one team asked for and got.

    :param share: weight when the fleet is full.
    :param asked_s: service time of all its requests.
    :param got_s: service time of its answered requests.
    :param refused: requests that were not answered.
    """

    share: float
    asked_s: float
    got_s: float
    refused: int


def team_use(scenario: Scenario, outcomes: list[Outcome]) -> dict[str, TeamUse]:
    """
    Sum up what each team asked for and got.

    :param scenario: the customers.
    :param outcomes: what the callers were told.
    :returns: by ``WORKSPACE/TEAM``.
    """
    found = {}
    for name, workspace, team in all_teams(scenario):
        own = [outcome for outcome in outcomes if team_of(outcome) == name]
        answered = [outcome for outcome in own if outcome.state == ANSWERED]
        found[name] = TeamUse(
            share_of(workspace, team),
            sum(outcome.arrival.work_ms for outcome in own) / MS_PER_S,
            sum(outcome.arrival.work_ms for outcome in answered) / MS_PER_S,
            len(own) - len(answered),
        )
    return found


def team_of(outcome: Outcome) -> str:
    """
    Give the full name of a request's team.

    :param outcome: what became of the request.
    :returns: ``WORKSPACE/TEAM``.
    """
    return f"{outcome.arrival.workspace}/{outcome.arrival.team}"


def distance_to_share(scenario: Scenario, outcomes: list[Outcome]) -> float | None:
    """
    Compare what teams got during bursts with the exact weighted max-min share of the same total.

    :param scenario: the customers and the bursts.
    :param outcomes: what the callers were told.
    :returns: part of the work that went to other teams than the exact share gives it to, from 0
        to 1, or ``None`` when nothing was answered in a burst.
    """
    shares = {name: share_of(workspace, team) for name, workspace, team in all_teams(scenario)}
    asked: defaultdict[tuple[int, str], defaultdict[str, float]] = defaultdict(
        lambda: defaultdict(float)
    )
    got: defaultdict[tuple[int, str], defaultdict[str, float]] = defaultdict(
        lambda: defaultdict(float)
    )
    for outcome in outcomes:
        window = int(outcome.arrival.at_s // scenario.load.burst_s)
        bursting = scenario.services[window % len(scenario.services)]
        if outcome.arrival.service != bursting:
            continue
        key = (window, bursting)
        work_s = outcome.arrival.work_ms / MS_PER_S
        asked[key][team_of(outcome)] += work_s
        if outcome.state == ANSWERED:
            got[key][team_of(outcome)] += work_s
    total_s = sum(sum(window.values()) for window in got.values())
    if not total_s:
        return None
    missed_s = 0.0
    for key, window in got.items():
        exact = water_fill(sum(window.values()), asked[key], shares)
        missed_s += sum(max(0.0, exact[team] - window[team]) for team in exact)
    return missed_s / total_s


def water_fill(
    total: float, demands: dict[str, float], shares: dict[str, float]
) -> dict[str, float]:
    """
    Give the exact weighted max-min shares of a total.

    :param total: what is shared out; at most the sum of the demands.
    :param demands: most that each can use.
    :param shares: weights.
    :returns: what each gets.
    """
    given = dict.fromkeys(demands, 0.0)
    open_names = {name for name, demand in demands.items() if demand > 0}
    left = total
    while open_names and left > EPSILON_S:
        weight = sum(shares[name] for name in open_names)
        level = min(left / weight, *((demands[n] - given[n]) / shares[n] for n in open_names))
        for name in open_names:
            given[name] += level * shares[name]
        left -= level * weight
        open_names = {n for n in open_names if demands[n] - given[n] > EPSILON_S}
    return given
