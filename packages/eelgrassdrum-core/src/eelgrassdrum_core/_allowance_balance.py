"""
Balancing of a team's allowances among their holders.

An allowance is the part of a team's upper limit that one holder may use; its units are concurrent
requests. A few holders, chosen by rendezvous hashing, are the balancers of a team; each acts only
when those before it don't. A balancer allocates free units, and moves units that their holders
have ceded: promised not to use while the allowance has the revision that the record builds on.
Therefore a record may be lost, repeated or overtaken without two holders using the same unit.
"""

from collections.abc import Iterator, Mapping

from . import _allowance_demand as demand
from ._allowance_fold import TeamAllowance
from ._allowance_lease import own_lease
from ._allowance_messages import (
    ALLOWANCE_MOVED,
    CessionAsked,
    DemandReported,
    TeamUnits,
    UnitsCeded,
    allowance_subject,
    holder_key,
)
from ._allowance_state import TeamBalance
from ._config import Team
from ._effects import Emit
from ._events import PeerReceived, RecordProposed, Ticked
from ._handlers import HandlerTable
from ._limits import revision
from ._state import State

# Age up to which the last report of a holder is valid.
REPORT_VALID_S = 6.0
BALANCE_EVERY_S = 0.2
# Minimum time between two records of one team.
MOVE_EVERY_S = 1.0
# Time to wait for holders to cede units, and time after which they are asked again.
CESSION_WAIT_S = 0.2
CESSION_RETRY_S = 1.0
# Delay per position in the order of balancers, so that each acts only if those before it don't.
TAKEOVER_DELAY_S = 1.5
# Delay before free units without demand are allocated.
ALLOCATE_SPARE_AFTER_S = 1.0
# Rate and burst of this instance's allowance records.
RECORDS_PER_S = 2.0
RECORDS_BURST = 10.0


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Report this instance's demand, and balance the teams for which it is a balancer.
    """
    if own_lease(state) is None or state.limits.lease.released:
        return
    demand.refresh_holders(state)
    yield from demand.report(state)
    elapsed_s = state.now_s - state.limits.balance.balanced_at_s
    if elapsed_s < BALANCE_EVERY_S:
        return
    _refill_tokens(state, elapsed_s)
    if not state.log.available or state.limits.lease.until_s <= state.now_s:
        return
    names = {*state.limits.balance.teams, *_unallocated_teams(state)}
    for name in sorted(names):
        team = state.fold.config.teams.get(name)
        order = demand.balancers(state, name)
        own_key = holder_key(state.identity.sender)
        if team is not None and own_key in order:
            yield from _balance(state, team, order.index(own_key))


def on_peer(state: State, event: PeerReceived) -> Iterator[object]:
    """
    Process demand reports, cession requests and promises of other holders.
    """
    message = event.message
    if isinstance(message, DemandReported):
        demand.take_report(state, holder_key(event.sender), message.rows)
    elif isinstance(message, CessionAsked):
        yield from demand.answer_cession(state, event.sender, message)
    elif isinstance(message, UnitsCeded):
        _record_promises(state, holder_key(event.sender), message.rows)


def split_max_min(demands: Mapping[str, int], units: int) -> dict[str, int]:
    """
    Split units by max-min fairness: the smallest part that is below its demand is maximized.

    :param demands: units demanded by key.
    :param units: units to split.
    :returns: units by key; their sum is at most `units`.
    """
    parts = dict.fromkeys(demands, 0)
    remaining = max(0, units)
    unsatisfied = sorted(
        (key for key, want in demands.items() if want > 0), key=lambda k: demands[k]
    )
    for index, key in enumerate(unsatisfied):
        parts[key] = min(demands[key], -(-remaining // (len(unsatisfied) - index)))
        remaining -= parts[key]
    return parts


def _refill_tokens(state: State, elapsed_s: float) -> None:
    balance = state.limits.balance
    balance.balanced_at_s = state.now_s
    balance.tokens = min(RECORDS_BURST, balance.tokens + elapsed_s * RECORDS_PER_S)


def _unallocated_teams(state: State) -> list[str]:
    teams = state.fold.allowances.teams
    names = []
    for name, team in state.fold.config.teams.items():
        allowance = teams.get(name)
        if allowance is None or _unallocated_units(team, allowance) > 0:
            names.append(name)
    return names


def _unallocated_units(team: Team, allowance: TeamAllowance) -> int:
    return team.limit - sum(allowance.held.values()) - sum(allowance.recovering.values())


def _balance(state: State, team: Team, precedence: int) -> Iterator[object]:
    """
    Move a team's allowances towards their targets once they have been unbalanced for long enough
    for this balancer's position in the order.
    """
    view = state.limits.balance.teams.setdefault(team.name, TeamBalance())
    allowance = state.fold.allowances.teams.get(team.name, TeamAllowance())
    demands = _demand_by_holder(state, view)
    held = _usable_units_by_holder(state, team, view, allowance)
    targets = _target_allowances(team, allowance, demands)
    gains = {
        key: targets[key] - held[key]
        for key in targets
        if targets[key] > held[key] and demands[key] > held[key]
    }
    unallocated = _unallocated_units(team, allowance)
    if not gains and unallocated <= 0:
        view.unbalanced_since_s = None
        return
    if view.unbalanced_since_s is None:
        view.unbalanced_since_s = state.now_s
    wait_s = precedence * TAKEOVER_DELAY_S + (0.0 if gains else ALLOCATE_SPARE_AFTER_S)
    if (
        state.now_s - view.unbalanced_since_s < wait_s
        or state.now_s - view.moved_at_s < MOVE_EVERY_S
    ):
        return
    if gains and sum(gains.values()) > unallocated and _awaits_promises(state, team, view, targets):
        yield from _request_cessions(state, team, view, targets)
        if _awaits_promises(state, team, view, targets):
            return
    is_capped = any(held[key] < allowance.held.get(key, 0) for key in gains)
    yield from _propose_move(state, team, view, targets, is_capped)


def _demand_by_holder(state: State, view: TeamBalance) -> dict[str, int]:
    demands = {}
    for key in state.limits.balance.holders:
        report = view.demands.get(key)
        is_valid = report is not None and state.now_s - report.at_s < REPORT_VALID_S
        demands[key] = report.row.units if report is not None and is_valid else 0
    view.demands = {key: report for key, report in view.demands.items() if key in demands}
    return demands


def _usable_units_by_holder(
    state: State, team: Team, view: TeamBalance, allowance: TeamAllowance
) -> dict[str, int]:
    """
    Return the units that each holder can use: its allowance, or less if it reported at the current
    revision that it may use less.
    """
    current = revision(state, team.name)
    usable = {}
    for key in state.limits.balance.holders:
        usable[key] = allowance.held.get(key, 0)
        report = view.demands.get(key)
        if report is not None and report.row.revision == current:
            usable[key] = min(usable[key], report.row.usable)
    return usable


def _target_allowances(
    team: Team, allowance: TeamAllowance, demands: dict[str, int]
) -> dict[str, int]:
    """
    Return the allowance that each holder should have: its max-min fair share of the demand, and an
    equal share of the units that nobody demands.
    """
    units = team.limit - sum(allowance.recovering.values())
    satisfied = split_max_min(demands, units)
    spare = units - sum(satisfied.values())
    base, extra = divmod(max(0, spare), max(1, len(demands)))
    # The remainder of the division goes to the holders with the largest demand.
    order = sorted(demands, key=lambda key: (-demands[key], key))
    return {key: satisfied[key] + base + (index < extra) for index, key in enumerate(order)}


def _holders_above_target(state: State, team: Team, targets: Mapping[str, int]) -> list[str]:
    allowance = state.fold.allowances.teams.get(team.name, TeamAllowance())
    return [key for key, units in allowance.held.items() if units > targets.get(key, 0)]


def _awaits_promises(
    state: State, team: Team, view: TeamBalance, targets: Mapping[str, int]
) -> bool:
    """
    Return whether to wait before moving units, because holders above their target have not been
    asked at the current revision, or may still answer in time.
    """
    if view.asked_revision != revision(state, team.name):
        return True
    all_promised = all(key in view.ceded for key in _holders_above_target(state, team, targets))
    return not all_promised and state.now_s - view.asked_at_s < CESSION_WAIT_S


def _request_cessions(
    state: State, team: Team, view: TeamBalance, targets: Mapping[str, int]
) -> Iterator[object]:
    current = revision(state, team.name)
    is_new = view.asked_revision != current
    if not is_new and state.now_s - view.asked_at_s < CESSION_RETRY_S:
        return
    if is_new:
        view.ceded = {}
    view.asked_revision = current
    view.asked_at_s = state.now_s
    own_key = holder_key(state.identity.sender)
    for key in _holders_above_target(state, team, targets):
        row = TeamUnits(team.name, current, targets.get(key, 0))
        if key == own_key:
            _record_promises(state, own_key, demand.cede(state, (row,)))
        else:
            yield from demand.send(state, key, CessionAsked((row,)))


def _record_promises(state: State, key: str, rows: tuple[TeamUnits, ...]) -> None:
    for row in rows:
        view = state.limits.balance.teams.get(row.team)
        if view is not None and view.asked_revision == row.revision:
            view.ceded[key] = min(row.units, view.ceded.get(key, row.units))


def _propose_move(
    state: State, team: Team, view: TeamBalance, targets: Mapping[str, int], is_capped: bool
) -> Iterator[object]:
    current = revision(state, team.name)
    allowance = state.fold.allowances.teams.get(team.name, TeamAllowance())
    ceded = view.ceded if view.asked_revision == current else {}
    changes = _allowance_changes(team, allowance, targets, ceded)
    # A record without changes is still useful when a holder that should gain has ceded units: the
    # record starts a new revision, at which the holder may use its whole allowance again.
    if state.limits.balance.tokens < 1.0 or (not changes and not is_capped):
        return
    state.limits.balance.tokens -= 1.0
    view.moved_at_s = state.now_s
    view.unbalanced_since_s = None
    body: dict[str, object] = {"team": team.name, "held": changes}
    yield Emit(RecordProposed(ALLOWANCE_MOVED, allowance_subject(team.name), current, body))


def _allowance_changes(
    team: Team, allowance: TeamAllowance, targets: Mapping[str, int], ceded: Mapping[str, int]
) -> dict[str, int]:
    """
    Return the new allowances of the holders whose allowance changes. Only free and ceded units are
    allocated.
    """
    held = allowance.held
    new = {key: min(units, ceded.get(key, units)) for key, units in held.items()}
    available = team.limit - sum(new.values()) - sum(allowance.recovering.values())
    gains = {key: max(0, units - new.get(key, 0)) for key, units in targets.items()}
    for key, units in split_max_min(gains, available).items():
        new[key] = new.get(key, 0) + units
    return {key: units for key, units in new.items() if units != held.get(key, 0)}


HANDLERS: HandlerTable = {Ticked: on_tick, PeerReceived: on_peer}
