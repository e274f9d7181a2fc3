"""
Admission control: whether an incoming request is accepted, and for which team.
"""

from collections.abc import Iterator

from . import (
    _endpoints,
    _fair,
    _fair_eviction,
    _freshness,
    _joins,
    _joins_claims,
    _membership,
    _overload,
    _refusals,
)
from ._config import Queue
from ._effects import Emit, Refuse
from ._events import CapacityChanged, RequestReceived
from ._handlers import HandlerTable
from ._joins_events import ClaimFailed, RequestClaimed
from ._joins_voters import hash_request
from ._keys import find_key, key_name
from ._refusals import Refusal, RefusalCode
from ._requests import Request
from ._state import State

# Name of the team that requests without an accepted key count for, on queues that need no key.
OPEN_TEAM = "open"
NO_ENDPOINT_RETRY_S = 1.0
NOT_READY_RETRY_S = 1.0
STOPPING_RETRY_S = 0.1
MAX_UNNOTICED_PAUSE_S = 0.25


def on_request(state: State, event: RequestReceived) -> Iterator[object]:
    """
    Accept the request, attach it to an earlier one with the same id, or refuse it immediately.
    """
    if not state.log.caught_up:
        yield _refuse(state, event, Refusal(_refusals.NOT_READY, NOT_READY_RETRY_S))
        return
    queue = state.fold.config.queues.get(event.queue)
    if queue is None:
        yield _refuse(state, event, Refusal(_refusals.UNKNOWN_QUEUE))
        return
    team = _find_team(state, queue, event)
    if isinstance(team, RefusalCode):
        yield _refuse(state, event, Refusal(team))
        return
    if event.credential is not None and not _may_accept_key(state, team):
        if queue.keyed:
            yield _refuse(state, event, _freshness.unverified_refusal(state))
            return
        team = f"{queue.workspace}/{OPEN_TEAM}"
    key = hash_request(_request_scope(queue, team, event), event.request_id)
    known = state.joins.known.get(key)
    if known is not None:
        yield from _joins.join_duplicate(state, known, event)
        return
    yield from _evict_for(state, queue, team, event)
    refusal = _refuse_load(state, queue, team, event)
    if refusal is not None:
        yield _refuse(state, event, refusal)
        return
    yield from _accept(state, _make_request(state, queue, team, key, event))


def on_claimed(state: State, event: RequestClaimed) -> Iterator[object]:
    """
    Queue a request that this instance has claimed exclusively, or that needs no claim.
    """
    _overload.count_waiting(state, event.req, 1)
    _fair.push(state.fair, event.req, state.now_s)
    yield Emit(CapacityChanged(event.req.service))


def on_claim_lost(state: State, event: ClaimFailed) -> Iterator[object]:
    """
    Refuse a request whose claim was lost, because another instance may have run it.
    """
    known = state.joins.known.get(event.req.key)
    if known is None or known.req is not event.req:
        return
    _overload.add_held_bytes(state, -event.req.size_bytes)
    yield from _joins.refuse_unclaimed(state, event.req, event.refusal)


def _accept(state: State, req: Request) -> Iterator[object]:
    _overload.add_held_bytes(state, req.size_bytes)
    _joins.add_known(state, req)
    if req.idempotent:
        yield Emit(RequestClaimed(req))
    else:
        yield from _joins_claims.request_claim(state, req)


def _refuse(state: State, event: RequestReceived, refusal: Refusal) -> Refuse:
    # While this process was paused, the request may have waited here unprocessed, and a retry of it
    # may have run at another instance.
    is_late = _membership.pause_s(state) > MAX_UNNOTICED_PAUSE_S
    reported = _refusals.for_repeat(refusal) if event.repeat or is_late else refusal
    return Refuse(event.token, reported)


def _find_team(state: State, queue: Queue, event: RequestReceived) -> str | RefusalCode:
    if event.credential is None:
        if queue.keyed:
            return _refusals.KEY_REQUIRED
        return f"{queue.workspace}/{OPEN_TEAM}"
    if _freshness.is_withdrawn(state, key_name(queue.workspace, event.credential.key_id)):
        return _refusals.KEY_REFUSED
    key = find_key(state.fold.keys, queue, event.credential)
    if isinstance(key, RefusalCode):
        return key
    if key.team not in state.fold.config.teams:
        return _refusals.KEY_FORBIDDEN
    return key.team


def _request_scope(queue: Queue, team: str, event: RequestReceived) -> str:
    # Request ids are deduplicated across instances, so their scope must be the same on each. On an
    # open queue it can't be the team: one instance may accept a key and another may not.
    if queue.keyed or event.credential is None:
        return team
    return f"{queue.workspace} {event.credential.digest}"


def _may_accept_key(state: State, team: str) -> bool:
    return _freshness.keyed_work_allowed(state, state.fold.config.teams[team])


def _evict_for(state: State, queue: Queue, team: str, event: RequestReceived) -> Iterator[object]:
    refusal = _refuse_load(state, queue, team, event)
    if refusal is None or refusal.code != _refusals.QUEUE_FULL:
        return
    excess = _fair_eviction.evict_newest_excess(state.fair, queue.service, queue.name, team)
    if excess is not None:
        _overload.count_waiting(state, excess, -1)
        _overload.add_held_bytes(state, -excess.size_bytes)
        yield from _joins.refuse(state, excess, refusal)


def _refuse_load(state: State, queue: Queue, team: str, event: RequestReceived) -> Refusal | None:
    if state.stopping:
        return Refusal(_refusals.STOPPING, STOPPING_RETRY_S)
    if not _endpoints.has_any(state.endpoints, queue.service):
        return Refusal(_refusals.NO_ENDPOINT, NO_ENDPOINT_RETRY_S)
    if _joins.is_full(state):
        return Refusal(_refusals.OVERLOADED, _overload.retry_after(state, NOT_READY_RETRY_S))
    timeout_s = event.timeout_s or state.tuning.default_timeout_s
    return _overload.check(state, queue, team, event.size_bytes, timeout_s)


def _make_request(
    state: State, queue: Queue, team: str, key: int, event: RequestReceived
) -> Request:
    timeout_s = event.timeout_s or state.tuning.default_timeout_s
    deadline_s = state.now_s + timeout_s
    return Request(
        token=event.token,
        request_id=event.request_id,
        queue=queue.name,
        service=queue.service,
        team=team,
        idempotent=event.idempotent,
        urgent=event.urgent,
        arrived_s=state.now_s,
        deadline_s=deadline_s,
        start_by_s=_overload.start_limit(state, queue, timeout_s),
        max_run_s=queue.max_run_s,
        size_bytes=event.size_bytes,
        body_hash=event.body_hash,
        # Idempotent requests are not claimed, so a retry may be running at another instance.
        may_have_run=event.idempotent,
        key=key,
    )


HANDLERS: HandlerTable = {
    RequestReceived: on_request,
    RequestClaimed: on_claimed,
    ClaimFailed: on_claim_lost,
}
