"""
Upper limits: whether this instance may run one more unit of a team's work.

An instance uses only units that the log assigns to it, only while its lease is valid, and no more
than it has promised to a balancer.
"""

from ._allowance_messages import allowance_subject, holder_key
from ._allowance_state import UncertainAttempt
from ._config import Team
from ._state import State


def revision(state: State, team_name: str) -> int:
    """
    Return the revision of a team's allowances up to which this instance has folded the log.

    :param state: the state.
    :param team_name: ``WORKSPACE/TEAM``.
    :returns: the revision, 0 before the first record.
    """
    return state.fold.position.revisions.get(allowance_subject(team_name), 0)


def held_units(state: State, team: Team) -> int:
    """
    Return this instance's part of the current limit, regardless of its lease.

    :param state: the state.
    :param team: the team.
    :returns: the units held; proportionally fewer when the limit was lowered below the total held.
    """
    allowance = state.fold.allowances.teams.get(team.name)
    if allowance is None:
        return 0
    own = allowance.held.get(holder_key(state.identity.sender), 0)
    total = sum(allowance.held.values())
    free = max(0, team.limit - sum(allowance.recovering.values()))
    return own if total <= free else own * free // total


def usable_units(state: State, team: Team) -> int:
    """
    Return the units of a team that this instance may run now.

    :param state: the state.
    :param team: the team.
    :returns: the units, including those in use; 0 once the lease and the team's grace have expired.
    """
    if state.now_s >= state.limits.lease.until_s + team.grace_s:
        return 0
    return capped_units(state, team)


def capped_units(state: State, team: Team) -> int:
    """
    Return the units of a team that this instance may run while its lease is valid.

    :param state: the state.
    :param team: the team.
    :returns: the units held, capped by a promise made to a balancer at the current revision.
    """
    held = held_units(state, team)
    cap = state.limits.caps.get(team.name)
    if cap is not None and cap.revision == revision(state, team.name):
        return min(held, cap.units)
    return held


def try_acquire_unit(state: State, team: Team) -> bool:
    """
    Acquire one unit if one is available.

    :param state: changed in place.
    :param team: the team.
    :returns: whether a unit was acquired.
    """
    running = state.limits.running.get(team.name, 0)
    if running >= usable_units(state, team):
        return False
    state.limits.running[team.name] = running + 1
    return True


def release_unit(state: State, team_name: str) -> None:
    """
    Release one unit whose work is known to have ended.

    :param state: changed in place.
    :param team_name: ``WORKSPACE/TEAM``.
    """
    running = state.limits.running
    if running.get(team_name, 0) > 0:
        running[team_name] -= 1


def keep_uncertain(state: State, attempt: str, team_name: str, endpoint: str) -> None:
    """
    Keep counting the unit of an attempt whose work may still be running.

    :param state: changed in place.
    :param attempt: id of the attempt.
    :param team_name: ``WORKSPACE/TEAM``.
    :param endpoint: id of the endpoint that it was sent to.
    """
    if state.limits.running.get(team_name, 0) > 0:
        state.limits.recovery.uncertain[attempt] = UncertainAttempt(
            team_name, endpoint, state.now_s
        )
