"""
Dispatch: sends waiting requests to endpoints and handles the outcomes of the attempts.
"""

from collections.abc import Callable, Iterator

from . import (
    _endpoints,
    _endpoints_health,
    _fair,
    _fair_accounts,
    _joins,
    _limits,
    _overload,
    _refusals,
    _retries,
)
from ._config import Team
from ._effects import Dispatch, DropAnswer, Emit, ObserveLatency, WriteLog
from ._endpoints_state import Endpoint
from ._events import (
    AttemptAnswered,
    AttemptFailed,
    AttemptRefused,
    CapacityChanged,
    RequestAbandoned,
    Ticked,
)
from ._fair_offers import SlotReceived, SlotReleased
from ._handlers import HandlerTable
from ._overload import OPEN_SHARE
from ._refusals import Refusal
from ._requests import Attempt, Request
from ._state import State

MIN_ATTEMPT_TIMEOUT_S = 0.001
MIN_FAILED_STATUS = 500


def on_capacity(state: State, event: CapacityChanged) -> Iterator[object]:
    """
    Start the waiting requests for which an endpoint and a unit of the upper limit are available.
    """
    services = list(state.fair.services) if event.service is None else [event.service]
    for service in services:
        yield from _dispatch_waiting(state, service)


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Refuse requests that can't start in time any more, and check for free capacity.
    """
    for req in _remove_waiting(state, lambda req: req.start_by_s <= state.now_s):
        wait_s = _overload.predict_wait(state, req.service, req.team)
        refusal = Refusal(_refusals.WAIT_TOO_LONG, _overload.retry_after(state, wait_s))
        yield from _refuse(state, req, refusal)
    yield Emit(CapacityChanged())


def on_answered(state: State, event: AttemptAnswered) -> Iterator[object]:
    """
    Forward the response to the callers of this attempt's request, or drop it.
    """
    attempt = _end_attempt(state, event.attempt)
    if attempt is None:
        yield WriteLog("answer.unmatched", {"attempt": event.attempt})
        yield DropAnswer(event.attempt)
        return
    req = attempt.request
    _limits.release_unit(state, req.team)
    yield from _record_completion(state, attempt)
    _overload.add_held_bytes(state, -req.size_bytes)
    failed = event.status >= MIN_FAILED_STATUS
    run_s = state.now_s - attempt.started_s
    mean_run_s = _overload.service_load(state, req.service).run_s
    _endpoints_health.note_answer(state, attempt.endpoint, failed, run_s, mean_run_s)
    yield from _joins.answer(state, req, event.attempt, event.status, event.size_bytes)
    yield Emit(CapacityChanged())
    endpoint = state.endpoints.endpoints.get(attempt.endpoint)
    if endpoint is not None:
        yield Emit(SlotReleased(req.service, endpoint.id, endpoint.in_flight))


def on_refused(state: State, event: AttemptRefused) -> Iterator[object]:
    """
    Requeue a request that the endpoint refused before running it.
    """
    attempt = _end_attempt(state, event.attempt)
    if attempt is None:
        return
    endpoint = state.endpoints.endpoints.get(attempt.endpoint)
    # The refusal names no incarnation; an older one may have sent it.
    is_current = endpoint is not None and endpoint.incarnation == attempt.incarnation
    if event.leaving and is_current:
        yield from _endpoints_health.note_leaving(state, attempt.endpoint)
    elif endpoint is not None:
        endpoint.retry_at_s = max(endpoint.retry_at_s, state.now_s + state.tuning.refused_pause_s)
    _limits.release_unit(state, attempt.request.team)
    _fair_accounts.close_charge(state.fair, attempt.id, state.now_s, ran=False)
    # A refusal by a full endpoint doesn't count as a try; the endpoint is skipped for
    # `refused_pause_s` instead.
    req = attempt.request
    req.tries -= 1
    yield from _requeue(state, req)
    yield Emit(CapacityChanged(req.service))


def on_failed(state: State, event: AttemptFailed) -> Iterator[object]:
    """
    Retry the request when that is safe; otherwise report that its outcome is unknown.
    """
    attempt = _end_attempt(state, event.attempt)
    if attempt is None:
        return
    if not event.sent:
        _endpoints_health.note_unreachable(state, attempt.endpoint)
        _limits.release_unit(state, attempt.request.team)
        _fair_accounts.close_charge(state.fair, attempt.id, state.now_s, ran=False)
        yield from _retry(state, attempt)
        return
    yield from _endpoints_health.note_timeout(state, attempt.endpoint)
    req = attempt.request
    req.may_have_run = True
    _overload.record_completion(state, req, state.now_s - attempt.started_s)
    _fair_accounts.close_charge(state.fair, attempt.id, state.now_s, ran=True)
    _limits.keep_uncertain(state, attempt.id, req.team, attempt.endpoint)
    if req.idempotent and req.tries < state.tuning.max_tries and req.start_by_s > state.now_s:
        yield from _retry(state, attempt)
        return
    code = _refusals.RUN_TIMEOUT if event.reason == "timeout" else _refusals.OUTCOME_UNKNOWN
    yield from _refuse(state, req, Refusal(code, None, event.reason))
    yield Emit(CapacityChanged(req.service))


def on_slot_received(state: State, event: SlotReceived) -> Iterator[object]:
    """
    Use a slot that another instance offered to this one, without regard to waiting teams elsewhere.
    """
    endpoint = state.endpoints.endpoints.get(event.endpoint)
    if endpoint is None or endpoint.in_flight >= endpoint.slots:
        return
    if not _endpoints.is_usable(endpoint, state.identity.sender.zone, state.now_s):
        return
    req = _fair.pop(
        state.fair, event.service, lambda req: _may_start(state, req), ignore_ceiling=True
    )
    if req is not None:
        _overload.count_waiting(state, req, -1)
        yield _start(state, req, endpoint)


def on_abandoned(state: State, event: RequestAbandoned) -> Iterator[object]:
    """
    Remove a waiting request whose caller has disconnected; a running attempt is not cancelled.
    """
    req = _joins.remove_exchange(state, event.token)
    if req is None or any(a.request is req for a in state.requests.attempts.values()):
        return
    _remove_waiting(state, lambda waiting: waiting is req)
    yield from _release_request(state, req)


def _dispatch_waiting(state: State, service: str) -> Iterator[object]:
    while True:
        endpoint = _endpoints.choose_endpoint(state, service)
        if endpoint is None:
            return
        req = _fair.pop(state.fair, service, lambda req: _may_start(state, req))
        if req is None:
            return
        _overload.count_waiting(state, req, -1)
        yield _start(state, req, endpoint)


def _may_start(state: State, req: Request) -> bool:
    # After a pause of the process this time may have passed before a tick could refuse the request.
    if req.start_by_s <= state.now_s:
        return False
    team = state.fold.config.teams.get(req.team)
    if team is None:
        return req.team.endswith("/open")
    return _limits.try_acquire_unit(state, team)


def _start(state: State, req: Request, endpoint: Endpoint) -> Dispatch:
    sender = state.identity.sender
    attempt_id = f"{sender.instance}.{sender.incarnation}.{state.requests.next_attempt}"
    state.requests.next_attempt += 1
    req.tries += 1
    if not req.is_counted:
        req.is_counted = True
        _retries.record_first_attempt(state.overload, req.queue)
    endpoint.in_flight += 1
    endpoint.last_attempt_s = state.now_s
    state.requests.attempts[attempt_id] = Attempt(
        attempt_id, req, endpoint.id, state.now_s, endpoint.incarnation
    )
    team: Team | None = state.fold.config.teams.get(req.team)
    share = OPEN_SHARE if team is None else team.share
    _fair_accounts.open_charge(state.fair, attempt_id, req, share, state.now_s)
    return Dispatch(
        attempt_id,
        req.token,
        endpoint.id,
        endpoint.address,
        max(MIN_ATTEMPT_TIMEOUT_S, min(req.deadline_s - state.now_s, req.max_run_s)),
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


def _record_completion(state: State, attempt: Attempt) -> Iterator[object]:
    req = attempt.request
    run_s = state.now_s - attempt.started_s
    _overload.record_completion(state, req, run_s)
    _fair_accounts.close_charge(state.fair, attempt.id, state.now_s, ran=True)
    yield ObserveLatency(req.queue, req.team, attempt.started_s - req.arrived_s, run_s)


def _retry(state: State, attempt: Attempt) -> Iterator[object]:
    if _retries.try_acquire_retry(state.overload, attempt.request.queue):
        yield from _requeue(state, attempt.request)
    else:
        yield from _refuse_retry(state, attempt.request)
    yield Emit(CapacityChanged(attempt.request.service))


def _refuse_retry(state: State, req: Request) -> Iterator[object]:
    wait_s = _overload.predict_wait(state, req.service, req.team)
    refusal = Refusal(_refusals.RETRIES_SPENT, _overload.retry_after(state, wait_s))
    yield from _refuse(state, req, refusal)


def _requeue(state: State, req: Request) -> Iterator[object]:
    if not _joins.has_waiting_callers(state, req):
        yield from _release_request(state, req)
        return
    _overload.count_waiting(state, req, 1)
    _fair.push(state.fair, req, state.now_s, at_front=True)


def _remove_waiting(state: State, condition: Callable[[Request], bool]) -> list[Request]:
    removed = _fair.remove_where(state.fair, condition)
    for req in removed:
        _overload.count_waiting(state, req, -1)
    return removed


def _release_request(state: State, req: Request) -> Iterator[object]:
    _overload.add_held_bytes(state, -req.size_bytes)
    yield from _joins.discard_not_run(state, req)


def _refuse(state: State, req: Request, refusal: Refusal) -> Iterator[object]:
    _overload.add_held_bytes(state, -req.size_bytes)
    reported = _refusals.for_repeat(refusal) if req.may_have_run else refusal
    yield from _joins.refuse(state, req, reported)


HANDLERS: HandlerTable = {
    CapacityChanged: on_capacity,
    Ticked: on_tick,
    AttemptAnswered: on_answered,
    AttemptRefused: on_refused,
    AttemptFailed: on_failed,
    RequestAbandoned: on_abandoned,
    SlotReceived: on_slot_received,
}
