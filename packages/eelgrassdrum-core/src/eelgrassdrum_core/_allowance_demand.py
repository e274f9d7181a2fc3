"""
This instance's demand for units of teams, and its reports to their balancers.
"""

from collections.abc import Iterator

from ._allowance_fold import rank, registered_keys
from ._allowance_messages import (
    CessionAsked,
    DemandReported,
    TeamDemand,
    TeamUnits,
    UnitsCeded,
    holder_key,
)
from ._allowance_state import HolderDemand, TeamBalance, UsageCap
from ._effects import SendPeer
from ._ids import Sender
from ._limits import capped_units, held_units, revision
from ._state import State

REPORT_EVERY_S = 0.2
# Interval of reports about a satisfied demand, when it changes and when it doesn't.
CHANGE_EVERY_S = 0.5
REFRESH_S = 2.0
# Half-life of the exponential decay of peak demand.
PEAK_HALF_LIFE_S = 0.4
# Peaks below this many units are dropped.
MIN_PEAK = 0.5
# Number of holders that may balance a team.
BALANCERS = 3


def balancers(state: State, team: str) -> list[str]:
    """
    Return the holders that may balance a team, in order of precedence.

    :param state: the state.
    :param team: ``WORKSPACE/TEAM``.
    :returns: keys of the holders.
    """
    balance = state.limits.balance
    if team not in balance.ranks:
        balance.ranks[team] = rank(team, list(balance.holders))[:BALANCERS]
    return balance.ranks[team]


def refresh_holders(state: State) -> None:
    """
    Update the holders from the fold, and discard the choice of balancers when they change.

    :param state: changed in place.
    """
    balance = state.limits.balance
    keys = tuple(registered_keys(state.fold.allowances))
    if keys != balance.holders:
        balance.holders = keys
        balance.ranks.clear()


def waiting_units(state: State) -> dict[str, int]:
    """
    Return the number of requests that wait at this instance.

    :param state: the state.
    :returns: requests by team.
    """
    waiting: dict[str, int] = {}
    for service in state.fair.services.values():
        for name, team in service.teams.items():
            units = len(team.urgent) + len(team.normal)
            if units:
                waiting[name] = waiting.get(name, 0) + units
    return waiting


def report(state: State) -> Iterator[object]:
    """
    Report this instance's demand to the balancers of each team.

    :param state: the state.
    :returns: effects.
    """
    balance = state.limits.balance
    elapsed_s = state.now_s - balance.reported_at_s
    if elapsed_s < REPORT_EVERY_S:
        return
    balance.reported_at_s = state.now_s
    demand = _measure(state, elapsed_s)
    rows = [row for row in demand if _should_report(state, row)]
    by_balancer: dict[str, list[TeamDemand]] = {}
    for row in rows:
        balance.reported[row.team] = HolderDemand(row, state.now_s)
        for key in balancers(state, row.team):
            by_balancer.setdefault(key, []).append(row)
    own_key = holder_key(state.identity.sender)
    for key, team_rows in by_balancer.items():
        if key == own_key:
            take_report(state, own_key, tuple(team_rows))
        else:
            yield from send(state, key, DemandReported(tuple(team_rows)))


def take_report(state: State, key: str, rows: tuple[TeamDemand, ...]) -> None:
    """
    Store the demand reported by a holder.

    :param state: changed in place.
    :param key: key of the holder.
    :param rows: its demand by team.
    """
    views = state.limits.balance.teams
    for row in rows:
        view = views.setdefault(row.team, TeamBalance())
        view.demands[key] = HolderDemand(row, state.now_s)


def cede(state: State, rows: tuple[TeamUnits, ...]) -> tuple[TeamUnits, ...]:
    """
    Promise to use at most the requested units of each team while its revision is current.

    :param state: changed in place.
    :param rows: the units that this instance is asked not to exceed.
    :returns: the promises; more units than requested where running work uses more.
    """
    promises = []
    for row in rows:
        team = state.fold.config.teams.get(row.team)
        if team is None or row.revision != revision(state, row.team):
            continue
        cap = state.limits.caps.get(row.team)
        units = row.units
        if cap is not None and cap.revision == row.revision:
            units = min(units, cap.units)
        state.limits.caps[row.team] = UsageCap(row.revision, units)
        needed = max(units, state.limits.running.get(row.team, 0))
        promises.append(TeamUnits(row.team, row.revision, needed))
    return tuple(promises)


def answer_cession(state: State, sender: Sender, asked: CessionAsked) -> Iterator[object]:
    """
    Respond to a balancer's cession request with promises.

    :param state: changed in place.
    :param sender: the balancer.
    :param asked: its request.
    :returns: effects.
    """
    promises = cede(state, asked.rows)
    if promises:
        yield from send(state, holder_key(sender), UnitsCeded(promises))


def send(state: State, key: str, message: object) -> Iterator[object]:
    """
    Send a message to a holder; dropped if its address is unknown.

    :param state: the state.
    :param key: key of the holder.
    :param message: the message.
    :returns: effects.
    """
    peer = state.membership.peers.get(key.rpartition(":")[0])
    if peer is not None:
        yield SendPeer(peer.peer_address, message)


def _measure(state: State, elapsed_s: float) -> list[TeamDemand]:
    waiting = waiting_units(state)
    running = state.limits.running
    peaks = state.limits.balance.peaks
    decay = 0.5 ** (elapsed_s / PEAK_HALF_LIFE_S)
    rows = []
    for name in sorted({*waiting, *running, *peaks}):
        team = state.fold.config.teams.get(name)
        units = waiting.get(name, 0) + running.get(name, 0)
        held = 0 if team is None else held_units(state, team)
        peaks[name] = max(units, min(peaks.get(name, 0.0), held) * decay)
        if peaks[name] < MIN_PEAK:
            del peaks[name]
        if team is not None:
            recent = min(round(peaks.get(name, 0.0)), held)
            usable = capped_units(state, team)
            rows.append(TeamDemand(name, revision(state, name), max(units, recent), usable))
    return rows


def _should_report(state: State, row: TeamDemand) -> bool:
    last = state.limits.balance.reported.get(row.team)
    if last is None:
        return row.units > 0
    age_s = state.now_s - last.at_s
    if row.units > row.usable or last.row.units > last.row.usable:
        return row != last.row or age_s >= REFRESH_S / 2
    if row != last.row and age_s >= CHANGE_EVERY_S:
        return True
    return age_s >= REFRESH_S and (row.units > 0 or last.row.units > 0)
