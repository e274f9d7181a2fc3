"""
Exchange of each team's use and waiting requests, so that fair queueing spans all entry instances.

Each instance reports to the peers in its zone what it served each team and how many requests wait.
One instance of the zone, its relay, reports the sums to an instance of each other zone, which
forwards them to its own peers. The reports contain totals, so a lost one is made up by the next.
"""

from collections.abc import Iterator

from ._allowance_messages import holder_key
from ._effects import Emit, SendPeer
from ._events import CapacityChanged, PeerReceived, Ticked
from ._fair import count_waiting
from ._fair_accounts import (
    accrue,
    add_remote_usage,
    advance_virtual_time,
    get_team_queue,
    mark_active,
)
from ._fair_messages import ServedReported, ServiceRow, ZoneServedReported
from ._fair_state import FairExchange, RemoteSource, ServiceQueue, TeamQueue
from ._handlers import HandlerTable
from ._membership import members, relayed_zones, zone_peers
from ._membership_state import DEAD
from ._state import State

SEND_EVERY_S = 0.1
RELAY_EVERY_S = 0.1
# Maximum rate of rows sent within the zone, and of rows sent to other zones; if there are more
# rows, reports are sent less often.
ROWS_PER_S = 400.0
# Age up to which the last report of a source is valid: the larger of a fixed time and a multiple
# of the interval between its reports.
SOURCE_VALID_S = 1.5
SOURCE_VALID_INTERVALS = 3.0
# Time after its last demand for which a team is reported.
ROW_VALID_S = 3.0
# Lead over a team that waits elsewhere at which slots are left to that team, as the time in which
# the service's virtual time grows by that much.
SLACK_S = 0.05
# Time after which slots are no longer left to a waiting team whose virtual time doesn't grow, and
# time for which the ceiling is then off.
HOLD_MAX_S = 2.0
CEILING_OFF_S = 5.0

# Prefix of sources that are whole zones; ids of instances never start with it.
ZONE_SOURCE_PREFIX = "zone "


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Update the virtual times, and send reports that are due.
    """
    accrue(state.fair, state.now_s)
    for name, service in state.fair.services.items():
        _update_service(state, name, service)
    exchange = state.fair.exchange
    if state.now_s >= exchange.send_at_s:
        yield from _report_to_zone(state)
    if state.now_s >= exchange.relay_at_s:
        yield from _report_to_other_zones(state)


def on_peer(state: State, event: PeerReceived) -> Iterator[object]:
    """
    Process a report of a peer or of another zone.
    """
    message = event.message
    own = state.identity.sender
    if isinstance(message, ServedReported) and event.sender.zone == own.zone:
        name = event.sender.instance
        _take(state, name, holder_key(event.sender), message.sequence, message.rows, is_peer=True)
        yield Emit(CapacityChanged())
    elif isinstance(message, ZoneServedReported) and message.zone != own.zone:
        _take(
            state,
            f"{ZONE_SOURCE_PREFIX}{message.zone}",
            message.relay,
            message.sequence,
            message.rows,
            is_peer=False,
        )
        if event.sender.zone != own.zone:
            yield from _send_to_zone(state, message)
        yield Emit(CapacityChanged())


def remote_waiting(state: State, service: str, team: str) -> int:
    """
    Return the number of a team's requests that wait for a service at other instances.

    :param state: the state.
    :param service: ``WORKSPACE/SERVICE``.
    :param team: ``WORKSPACE/TEAM``.
    :returns: their number according to the last valid reports.
    """
    return sum(
        source.waiting.get((service, team), 0)
        for source in state.fair.exchange.sources.values()
        if is_valid(state, source)
    )


def is_valid(state: State, source: RemoteSource) -> bool:
    """
    Return whether the last report of a source is recent enough to count.

    :param state: the state.
    :param source: another instance or zone.
    :returns: whether it is.
    """
    valid_s = max(SOURCE_VALID_S, SOURCE_VALID_INTERVALS * source.interval_s)
    return state.now_s - source.at_s < valid_s


def update_ceiling(state: State, service_name: str) -> None:
    """
    Set the virtual time above which teams leave slots to teams that wait at other instances.

    :param state: changed in place.
    :param service_name: ``WORKSPACE/SERVICE``.
    """
    service = state.fair.services[service_name]
    remote = {team: remote_waiting(state, service_name, team) for team in service.teams}
    _set_ceiling(state, service, remote)


def _update_service(state: State, name: str, service: ServiceQueue) -> None:
    remote = {team: remote_waiting(state, name, team) for team in service.teams}
    running = {charge.team for charge in state.fair.charges.values() if charge.service == name}
    for team_name, team in service.teams.items():
        config = state.fold.config.teams.get(team_name)
        if config is not None:
            team.share = config.share
        if count_waiting(team) or remote[team_name] or team_name in running:
            mark_active(service, team, state.now_s)

    def is_waiting(team_name: str, team: TeamQueue) -> bool:
        return remote[team_name] > 0 or (count_waiting(team) > 0 and not team.is_blocked)

    advance_virtual_time(service, state.now_s, is_waiting)
    _set_ceiling(state, service, remote)


def _set_ceiling(state: State, service: ServiceQueue, remote: dict[str, int]) -> None:
    service.ceiling_s = float("inf")
    waiting_virtual_s = [
        service.teams[name].virtual_s for name, waiting in remote.items() if waiting > 0
    ]
    if not waiting_virtual_s or state.now_s < service.ceiling_off_until_s:
        service.ceiling_since_s = state.now_s
        return
    lowest_s = min(waiting_virtual_s)
    if lowest_s != service.ceiling_team_s:
        service.ceiling_team_s = lowest_s
        service.ceiling_since_s = state.now_s
    if state.now_s - service.ceiling_since_s > HOLD_MAX_S:
        service.ceiling_off_until_s = state.now_s + CEILING_OFF_S
        return
    service.ceiling_s = lowest_s + SLACK_S * service.rate


def _own_rows(state: State) -> dict[tuple[str, str], ServiceRow]:
    rows = {}
    for name, service in state.fair.services.items():
        for team_name, team in service.teams.items():
            if state.now_s - team.active_at_s <= ROW_VALID_S:
                waiting = 0 if team.is_blocked else count_waiting(team)
                row = ServiceRow(name, team_name, round(team.served_s, 3), waiting)
                rows[(name, team_name)] = row
    return rows


def _zone_rows(state: State) -> tuple[ServiceRow, ...]:
    exchange = state.fair.exchange
    rows = []
    for (service, team), row in _own_rows(state).items():
        served_s = row.served_s + exchange.zone_served.get((service, team), 0.0)
        waiting = row.waiting + sum(
            source.waiting.get((service, team), 0)
            for name, source in exchange.sources.items()
            if not name.startswith(ZONE_SOURCE_PREFIX) and is_valid(state, source)
        )
        rows.append(ServiceRow(service, team, round(served_s, 3), waiting))
    return tuple(rows)


def _report_to_zone(state: State) -> Iterator[object]:
    rows = tuple(_own_rows(state).values())
    if not rows:
        return
    sent_rows = len(rows) * len(zone_peers(state))
    state.fair.exchange.send_at_s = state.now_s + max(SEND_EVERY_S, sent_rows / ROWS_PER_S)
    state.fair.exchange.sequence += 1
    yield from _send_to_zone(state, ServedReported(state.fair.exchange.sequence, rows))


def _send_to_zone(state: State, message: object) -> Iterator[object]:
    for member in zone_peers(state):
        yield SendPeer(member.peer_address, message)


def _report_to_other_zones(state: State) -> Iterator[object]:
    zones = relayed_zones(state)
    rows = _zone_rows(state) if zones else ()
    if not rows:
        return
    sent_rows = len(rows) * len(zones)
    state.fair.exchange.relay_at_s = state.now_s + max(RELAY_EVERY_S, sent_rows / ROWS_PER_S)
    own = state.identity.sender
    sequence = state.fair.exchange.sequence
    message = ZoneServedReported(own.zone, holder_key(own), sequence, rows)
    others = [member for member in members(state) if member.state != DEAD]
    for zone in zones:
        addresses = [member.peer_address for member in others if member.zone == zone]
        if addresses:
            # Receivers alternate, so that an unreachable instance loses only some of the reports.
            yield SendPeer(addresses[sequence // 2 % len(addresses)], message)


def _take(
    state: State,
    name: str,
    origin: str,
    sequence: int,
    rows: tuple[ServiceRow, ...],
    *,
    is_peer: bool,
) -> None:
    exchange = state.fair.exchange
    source = exchange.sources.get(name)
    is_replaced = source is not None and (is_peer or not is_valid(state, source))
    if source is None or (source.origin != origin and is_replaced):
        source = exchange.sources[name] = RemoteSource(origin, sequence - 1, state.now_s)
    if source.origin != origin or sequence <= source.sequence:
        return
    source.sequence = sequence
    source.interval_s = state.now_s - source.at_s
    source.at_s = state.now_s
    source.waiting = {(row.service, row.team): row.waiting for row in rows if row.waiting > 0}
    for row in rows:
        _add_row(state, exchange, source, row, is_peer)
    for service in {row.service for row in rows}:
        update_ceiling(state, service)


def _add_row(
    state: State, exchange: FairExchange, source: RemoteSource, row: ServiceRow, is_peer: bool
) -> None:
    key = (row.service, row.team)
    # Use before the first report about this team from this source is not counted.
    step_s = row.served_s - source.served.get(key, row.served_s)
    source.served[key] = row.served_s
    team = get_team_queue(state.fair, row.service, row.team)
    if step_s > 0 or row.waiting > 0:
        mark_active(state.fair.services[row.service], team, state.now_s)
    add_remote_usage(state.fair, row.service, row.team, step_s)
    if is_peer:
        exchange.zone_served[key] = exchange.zone_served.get(key, 0.0) + step_s


HANDLERS: HandlerTable = {
    Ticked: on_tick,
    PeerReceived: on_peer,
}
