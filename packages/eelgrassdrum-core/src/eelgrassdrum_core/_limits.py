"""
Upper limits: how many units of a team this instance may run.

Each entry instance holds an equal part of a team's limit, fixed by the number of entry instances
in the settings, so that the sum never passes the limit whatever is lost or cut off.
"""

import msgspec

from ._config import Team


class LimitState(msgspec.Struct):
    """
    Units in use at this instance, by team.
    """

    running: dict[str, int] = msgspec.field(default_factory=dict)


def allowance(team: Team, entry_instances: int) -> int:
    """
    Give the units that one entry instance may run for a team.

    :param team: the team.
    :param entry_instances: entry instances of the fleet.
    :returns: the equal part, rounded down.
    """
    return team.limit // entry_instances


def try_take(limits: LimitState, team: Team, entry_instances: int) -> bool:
    """
    Take one unit when the allowance has one left.

    :param limits: changed in place.
    :param team: the team.
    :param entry_instances: entry instances of the fleet.
    :returns: whether a unit was taken.
    """
    running = limits.running.get(team.name, 0)
    if running >= allowance(team, entry_instances):
        return False
    limits.running[team.name] = running + 1
    return True


def give_back(limits: LimitState, team_name: str) -> None:
    """
    Return one unit whose work is known to have ended.

    :param limits: changed in place.
    :param team_name: ``WORKSPACE/TEAM``.
    """
    limits.running[team_name] -= 1
