"""
Dispatch: sends waiting requests to endpoints, and settles what comes back.
"""

from collections.abc import Iterator

from . import _endpoints, _fair, _fair_accounts, _limits, _refusals
from ._config import Team
from ._effects import Dispatch, DropAnswer, Emit, ObserveLatency, Refuse, Reply, WriteLog
from ._endpoints import Endpoint
from ._events import (
    AttemptAnswered,
    AttemptFailed,
    AttemptRefused,
    CapacityChanged,
    RequestAbandoned,
    Ticked,
)
from ._fair_offers import SlotGained, SlotReleased
from ._handlers import HandlerTable
from ._refusals import Refusal
from ._requests import Attempt, Request
from ._state import State

WAIT_RETRY_S = 1.0
# Share of callers on an open queue that came without a key.
OPEN_SHARE = 1.0


def on_capacity(state: State, event: CapacityChanged) -> Iterator[object]:
    """
    Start what can start now.
    """
    services = list(state.fair.services) if event.service is None else [event.service]
    for service in services:
        yield from _pump(state, service)


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Refuse what has waited too long, and look for free capacity.
    """
    for req in _fair.remove_where(state.fair, lambda req: req.start_by_s <= state.now_s):
        yield from _refuse(state, req, Refusal(_refusals.WAIT_TOO_LONG, WAIT_RETRY_S))
    yield Emit(CapacityChanged())


def on_answered(state: State, event: AttemptAnswered) -> Iterator[object]:
    """
    Give the answer to the caller of this attempt's request, or drop it.
    """
    attempt = _end_attempt(state, event.attempt)
    if attempt is None:
        yield WriteLog("answer.unmatched", {"attempt": event.attempt})
        yield DropAnswer(event.attempt)
        return
    req = attempt.request
    _limits.give_back(state, req.team)
    yield from _account(state, attempt)
    if attempt.abandoned:
        yield DropAnswer(event.attempt)
    else:
        state.requests.open_tokens.pop(req.token, None)
        yield Reply(req.token, event.attempt)
    yield Emit(CapacityChanged())
    endpoint = state.endpoints.endpoints.get(attempt.endpoint)
    if endpoint is not None:
        yield Emit(SlotReleased(req.service, endpoint.id, endpoint.in_flight))


def on_refused(state: State, event: AttemptRefused) -> Iterator[object]:
    """
    Queue the request again: the endpoint ran nothing.
    """
    attempt = _end_attempt(state, event.attempt)
    if attempt is None:
        return
    endpoint = state.endpoints.endpoints.get(attempt.endpoint)
    if endpoint is not None:
        endpoint.leaving = endpoint.leaving or event.leaving
        endpoint.retry_at_s = state.now_s + state.tuning.refused_pause_s
    _limits.give_back(state, attempt.request.team)
    _fair_accounts.close_charge(state.fair, attempt.id, state.now_s, ran=False)
    yield from _requeue(state, attempt)


def on_failed(state: State, event: AttemptFailed) -> Iterator[object]:
    """
    Try again when that is safe, else say that the outcome is unknown.
    """
    attempt = _end_attempt(state, event.attempt)
    if attempt is None:
        return
    endpoint = state.endpoints.endpoints.get(attempt.endpoint)
    if endpoint is not None:
        endpoint.retry_at_s = state.now_s + state.tuning.refused_pause_s
    if not event.sent:
        _limits.give_back(state, attempt.request.team)
        _fair_accounts.close_charge(state.fair, attempt.id, state.now_s, ran=False)
        yield from _requeue(state, attempt)
        return
    req = attempt.request
    _fair_accounts.close_charge(state.fair, attempt.id, state.now_s, ran=True)
    _limits.linger(state, attempt.id, req.team, attempt.endpoint)
    if req.idempotent and req.tries < state.tuning.max_tries and req.start_by_s > state.now_s:
        yield from _requeue(state, attempt)
        return
    code = _refusals.RUN_TIMEOUT if event.reason == "timeout" else _refusals.OUTCOME_UNKNOWN
    if not attempt.abandoned:
        yield from _refuse(state, req, Refusal(code, None, event.reason))
    yield Emit(CapacityChanged(req.service))


def on_gained(state: State, event: SlotGained) -> Iterator[object]:
    """
    Use a slot that another instance left to this one, whatever waits elsewhere.
    """
    endpoint = state.endpoints.endpoints.get(event.endpoint)
    if endpoint is None or endpoint.leaving or endpoint.in_flight >= endpoint.slots:
        return
    req = _fair.pop(
        state.fair, event.service, lambda req: _take_unit(state, req), ignore_ceiling=True
    )
    if req is not None:
        yield _start(state, req, endpoint)


def on_abandoned(state: State, event: RequestAbandoned) -> Iterator[object]:
    """
    Forget a waiting request; let a running one end on its own.
    """
    _fair.remove_where(state.fair, lambda req: req.token == event.token)
    state.requests.open_tokens.pop(event.token, None)
    for attempt in state.requests.attempts.values():
        if attempt.request.token == event.token:
            attempt.abandoned = True
    return iter(())


def _pump(state: State, service: str) -> Iterator[object]:
    while True:
        sender = state.identity.sender
        endpoint = _endpoints.choose(state.endpoints, service, sender.zone, state.now_s)
        if endpoint is None:
            return
        req = _fair.pop(state.fair, service, lambda req: _take_unit(state, req))
        if req is None:
            return
        yield _start(state, req, endpoint)


def _take_unit(state: State, req: Request) -> bool:
    team = state.fold.config.teams.get(req.team)
    if team is None:
        return req.team.endswith("/open")
    return _limits.try_take(state, team)


def _start(state: State, req: Request, endpoint: Endpoint) -> Dispatch:
    sender = state.identity.sender
    attempt_id = f"{sender.instance}.{sender.incarnation}.{state.requests.next_attempt}"
    state.requests.next_attempt += 1
    req.tries += 1
    endpoint.in_flight += 1
    state.requests.attempts[attempt_id] = Attempt(attempt_id, req, endpoint.id, state.now_s)
    team: Team | None = state.fold.config.teams.get(req.team)
    share = OPEN_SHARE if team is None else team.share
    _fair_accounts.open_charge(state.fair, attempt_id, req, share, state.now_s)
    return Dispatch(
        attempt_id,
        req.token,
        endpoint.id,
        endpoint.address,
        max(0.001, min(req.deadline_s - state.now_s, req.max_run_s)),
        req.request_id,
        req.team,
        req.queue,
        f"{sender.instance}:{sender.incarnation}",
    )


def _end_attempt(state: State, attempt_id: str) -> Attempt | None:
    attempt = state.requests.attempts.pop(attempt_id, None)
    if attempt is None:
        return None
    endpoint = state.endpoints.endpoints.get(attempt.endpoint)
    if endpoint is not None:
        endpoint.in_flight -= 1
    return attempt


def _account(state: State, attempt: Attempt) -> Iterator[object]:
    req = attempt.request
    run_s = state.now_s - attempt.started_s
    _fair_accounts.close_charge(state.fair, attempt.id, state.now_s, ran=True)
    yield ObserveLatency(req.queue, req.team, attempt.started_s - req.arrived_s, run_s)


def _requeue(state: State, attempt: Attempt) -> Iterator[object]:
    if not attempt.abandoned:
        _fair.push(state.fair, attempt.request, state.now_s, first=True)
    yield Emit(CapacityChanged(attempt.request.service))


def _refuse(state: State, req: Request, refusal: Refusal) -> Iterator[object]:
    state.requests.open_tokens.pop(req.token, None)
    yield Refuse(req.token, refusal)


HANDLERS: HandlerTable = {
    CapacityChanged: on_capacity,
    Ticked: on_tick,
    AttemptAnswered: on_answered,
    AttemptRefused: on_refused,
    AttemptFailed: on_failed,
    RequestAbandoned: on_abandoned,
    SlotGained: on_gained,
}
