"""
Admission: whether a request that has arrived is taken, and for which team.
"""

from collections.abc import Iterator

from . import _endpoints, _fair, _freshness, _refusals
from ._config import Queue
from ._effects import Emit, Refuse
from ._events import CapacityChanged, RequestReceived
from ._handlers import HandlerTable
from ._keys import find_key, key_name
from ._refusals import Refusal, RefusalCode
from ._requests import Request
from ._state import State

# Team name of callers without a key on a queue that is open to all.
OPEN_TEAM = "open"
QUEUE_FULL_RETRY_S = 0.5
NO_ENDPOINT_RETRY_S = 1.0
NOT_READY_RETRY_S = 1.0
STOPPING_RETRY_S = 0.1


def on_request(state: State, event: RequestReceived) -> Iterator[object]:
    """
    Queue the request, or refuse it at once.
    """
    refusal = _refuse_instance(state)
    if refusal is not None:
        yield Refuse(event.token, refusal)
        return
    queue = state.fold.config.queues.get(event.queue)
    if queue is None:
        yield Refuse(event.token, Refusal(_refusals.UNKNOWN_QUEUE))
        return
    team = _find_team(state, queue, event)
    if isinstance(team, RefusalCode):
        yield Refuse(event.token, Refusal(team))
        return
    if event.credential is not None and not _may_take_key(state, team):
        if queue.keyed:
            yield Refuse(event.token, _freshness.refuse_unverified(state))
            return
        team = f"{queue.workspace}/{OPEN_TEAM}"
    refusal = _refuse_load(state, queue, event)
    if refusal is not None:
        yield Refuse(event.token, refusal)
        return
    req = _make_request(state, queue, team, event)
    state.requests.open_tokens[event.token] = req.request_id
    _fair.push(state.fair, req, state.now_s)
    yield Emit(CapacityChanged(queue.service))


def _refuse_instance(state: State) -> Refusal | None:
    if state.stopping:
        return Refusal(_refusals.STOPPING, STOPPING_RETRY_S)
    if not state.log.caught_up:
        return Refusal(_refusals.NOT_READY, NOT_READY_RETRY_S)
    return None


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


def _may_take_key(state: State, team: str) -> bool:
    return _freshness.keyed_work_allowed(state, state.fold.config.teams[team])


def _refuse_load(state: State, queue: Queue, event: RequestReceived) -> Refusal | None:
    if not _endpoints.has_any(state.endpoints, queue.service):
        return Refusal(_refusals.NO_ENDPOINT, NO_ENDPOINT_RETRY_S)
    queued = state.fair.queued.get(queue.name, 0)
    queued_bytes = state.fair.queued_bytes.get(queue.name, 0) + event.size_bytes
    if event.size_bytes > queue.max_bytes:
        return Refusal(_refusals.BODY_TOO_LARGE)
    if queued >= queue.max_queued or queued_bytes > queue.max_bytes:
        return Refusal(_refusals.QUEUE_FULL, QUEUE_FULL_RETRY_S)
    return None


def _make_request(state: State, queue: Queue, team: str, event: RequestReceived) -> Request:
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
        start_by_s=min(deadline_s, state.now_s + queue.max_wait_s),
        max_run_s=queue.max_run_s,
        size_bytes=event.size_bytes,
        body_hash=event.body_hash,
    )


HANDLERS: HandlerTable = {RequestReceived: on_request}
