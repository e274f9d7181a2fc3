"""
Recovery of units whose work may still be running.

They stay counted until the endpoints prove that the work has ended: their responses to probes list
the running attempts with their holders. An endpoint that doesn't respond is assumed to run as many
attempts as it has slots.
"""

from collections import Counter
from collections.abc import Iterator

from ._allowance_fold import FencedHolder, rank, registered_keys
from ._allowance_lease import LEASE_S, expiry_wait_s, own_lease
from ._allowance_messages import ALLOWANCE_SETTLED, allowance_subject, holder_key
from ._allowance_state import EndpointObservation
from ._config import ConfigFold
from ._effects import Emit, ProbeEndpoint
from ._events import CapacityChanged, EndpointProbed, InstancesListed, RecordProposed, Ticked
from ._handlers import HandlerTable
from ._limits import held_units, release_unit, revision
from ._state import State

PROBE_EVERY_S = 1.0
PROBE_TIMEOUT_S = 1.0
# Longest time for which an attempt or an earlier probe may still be in transit.
MAX_TRANSIT_S = 3.0
# Number of holders, the settlers, that may free the units of a fenced holder, and the delay between
# their attempts, so that usually only one writes a record.
SETTLE_STAGGER_S = 3.0
SETTLERS = 3
# Grace assumed when the documents that set it are no longer retained.
UNKNOWN_GRACE_S = 86_400.0


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Probe endpoints for evidence, and free units whose work has certainly ended.
    """
    _record_fenced(state)
    if not state.limits.recovery.uncertain and not _is_settler(state):
        state.limits.recovery.observations.clear()
    elif state.now_s - state.limits.recovery.probed_at_s >= PROBE_EVERY_S:
        state.limits.recovery.probed_at_s = state.now_s
        yield from _probe(state)
    if own_lease(state) is not None:
        yield from _settle_own(state)
        yield from _settle_fenced(state)


def on_probed(state: State, event: EndpointProbed) -> Iterator[object]:
    """
    Release the units of this instance's uncertain attempts that the endpoint no longer runs.
    """
    if event.running is None or not event.healthy:
        return
    counts = Counter((item.holder, item.team) for item in event.running)
    recovery = state.limits.recovery
    recovery.observations[event.endpoint] = EndpointObservation(state.now_s, dict(counts))
    running = {item.attempt for item in event.running}
    ended = [
        attempt
        for attempt, item in recovery.uncertain.items()
        if item.endpoint == event.endpoint
        and attempt not in running
        and state.now_s - item.since_s >= MAX_TRANSIT_S
    ]
    for attempt in ended:
        release_unit(state, recovery.uncertain.pop(attempt).team)
    if ended:
        yield Emit(CapacityChanged())


def on_listed(state: State, event: InstancesListed) -> Iterator[object]:
    """
    Release the units of uncertain attempts at endpoints that the platform no longer lists.
    """
    recovery = state.limits.recovery
    listed = {item.id for item in event.instances if item.role == "endpoint"}
    for attempt, item in list(recovery.uncertain.items()):
        if item.endpoint not in listed and state.now_s - item.since_s >= LEASE_S:
            release_unit(state, recovery.uncertain.pop(attempt).team)
    return iter(())


def max_grace_s(config: ConfigFold, team: str, since_offset: int) -> float:
    """
    Return the longest grace of a team in any document that a holder may be using.

    :param config: the folded configuration.
    :param team: ``WORKSPACE/TEAM``.
    :param since_offset: offset up to which the holder has certainly read the log.
    :returns: seconds; `UNKNOWN_GRACE_S` if the documents up to the offset are no longer retained.
    """
    workspace, _, name = team.partition("/")
    revisions = config.documents.get(workspace, [])
    first = max((i for i, item in enumerate(revisions) if item.offset <= since_offset), default=-1)
    if first < 0 and len(revisions) > 1:
        return UNKNOWN_GRACE_S
    graces = [
        float(item.get("grace_s", 0.0))
        for document in revisions[max(first, 0) :]
        for item in document.document.get("teams", [])
        if item["name"] in (name, team)
    ]
    return max(graces, default=0.0)


def _record_fenced(state: State) -> None:
    fenced = state.fold.allowances.fenced
    known = state.limits.recovery.fenced_at_s
    state.limits.recovery.fenced_at_s = {key: known.get(key, state.now_s) for key in fenced}


def _is_settler(state: State) -> bool:
    return any(_settler_rank(state, key) < SETTLERS for key in state.fold.allowances.fenced)


def _settler_rank(state: State, key: str) -> int:
    own_key = holder_key(state.identity.sender)
    order = rank(f"settle {key}", list(registered_keys(state.fold.allowances)))
    return order.index(own_key) if own_key in order else SETTLERS


def _probe(state: State) -> Iterator[object]:
    needed = {item.endpoint for item in state.limits.recovery.uncertain.values()}
    is_settler = _is_settler(state)
    for endpoint in state.endpoints.endpoints.values():
        if is_settler or endpoint.id in needed:
            yield ProbeEndpoint(endpoint.id, endpoint.address, PROBE_TIMEOUT_S)


def _settle_own(state: State) -> Iterator[object]:
    # A holder that was fenced and then re-registered under the same key still counts its earlier
    # work: it starts nothing while more units run than it holds. So only the excess stays in
    # recovery.
    key = holder_key(state.identity.sender)
    for name, allowance in state.fold.allowances.teams.items():
        if key not in allowance.recovering:
            continue
        team = state.fold.config.teams.get(name)
        held = 0 if team is None else held_units(state, team)
        excess = max(0, state.limits.running.get(name, 0) - held)
        yield from _propose_settlement(state, name, key, excess)


def _settle_fenced(state: State) -> Iterator[object]:
    for key, fenced in state.fold.allowances.fenced.items():
        precedence = _settler_rank(state, key)
        if precedence >= SETTLERS:
            continue
        for name, allowance in state.fold.allowances.teams.items():
            if key not in allowance.recovering:
                continue
            from_s = _evidence_from_s(state, key, fenced, name)
            if state.now_s >= from_s + precedence * SETTLE_STAGGER_S:
                yield from _propose_settlement(
                    state, name, key, _possibly_running(state, key, name, from_s)
                )


def _evidence_from_s(state: State, key: str, fenced: FencedHolder, team: str) -> float:
    grace_s = max_grace_s(state.fold.config, team, fenced.renewed_offset)
    wait_s = grace_s if fenced.expired and grace_s == 0 else expiry_wait_s(grace_s)
    return state.limits.recovery.fenced_at_s.get(key, state.now_s) + wait_s + MAX_TRANSIT_S


def _possibly_running(state: State, key: str, team: str, from_s: float) -> int:
    units = 0
    for endpoint in state.endpoints.endpoints.values():
        observation = state.limits.recovery.observations.get(endpoint.id)
        if observation is None or observation.at_s < from_s:
            units += endpoint.slots
        else:
            units += observation.running.get((key, team), 0)
    return units


def _propose_settlement(state: State, team: str, key: str, units: int) -> Iterator[object]:
    recovering = state.fold.allowances.teams[team].recovering[key]
    base = revision(state, team)
    proposed = state.limits.recovery.proposed
    if units >= recovering or proposed.get((team, key)) == base:
        return
    proposed[(team, key)] = base
    body: dict[str, object] = {"team": team, "holder": key, "units": units}
    yield Emit(RecordProposed(ALLOWANCE_SETTLED, allowance_subject(team), base, body))


HANDLERS: HandlerTable = {
    Ticked: on_tick,
    EndpointProbed: on_probed,
    InstancesListed: on_listed,
}
