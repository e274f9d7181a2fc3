"""
HTTP API for operators.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import parse_qs, unquote

from eelgrassdrum_core import RecordId

from . import _metrics
from . import _operator_views as views
from . import _operator_withdrawal as withdrawal
from ._caller_api import BadHeaderError, read_credential
from ._operator_fleet import view_maintenance
from ._operator_scope import Scope, find_scope, sees_all, sees_name, sees_subject, sees_workspace
from ._server_answers import JSON_HEADERS, encode_json
from ._server_state import Exchange

if TYPE_CHECKING:
    from ._app import App

OPERATOR_PREFIX = "/v1/operator/"
METRICS_PATH = "/metrics"
PREFIXES = (OPERATOR_PREFIX, METRICS_PATH)
MAX_WAIT_S = 10.0
MAX_WAITING_CALLS = 64
OUTCOME_POLL_S = 0.05

STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_UNAUTHORIZED = 401
STATUS_FORBIDDEN = 403
STATUS_NOT_FOUND = 404
STATUS_METHOD_NOT_ALLOWED = 405


class Call(NamedTuple):
    """
    An authenticated operator call.

    :param app: the entry instance.
    :param token: token of the HTTP exchange.
    :param scope: scope of the operator's key.
    :param parts: path segments after the route's name.
    :param query: query parameters; the last value of each.
    """

    app: "App"
    token: int
    scope: Scope
    parts: list[str]
    query: dict[str, str]


def handle(app: "App", exchange: Exchange) -> None:
    """
    Authenticate an operator's call and dispatch it to its route.

    :param app: the entry instance.
    :param exchange: the request.
    """
    if exchange.req.method not in ROUTES:
        _answer(app, exchange.token, STATUS_METHOD_NOT_ALLOWED, {"error": "method_not_allowed"})
        return
    try:
        credential = read_credential(exchange.req.headers)
    except BadHeaderError as exc:
        _answer(
            app, exchange.token, STATUS_BAD_REQUEST, {"error": "bad_request", "message": str(exc)}
        )
        return
    scope = find_scope(app.state, app.settings.root_digest, credential)
    if scope is None:
        _answer(app, exchange.token, STATUS_UNAUTHORIZED, {"error": "operator_key_required"})
        return
    name, parts = _split(exchange.req.path)
    query = {key: values[-1] for key, values in parse_qs(exchange.req.qs).items()}
    route = ROUTES[exchange.req.method].get(name, _answer_not_found)
    route(Call(app, exchange.token, scope, parts, query))


def _split(path: str) -> tuple[str, list[str]]:
    if path == METRICS_PATH:
        return "metrics", []
    name, *parts = [unquote(part) for part in path.removeprefix(OPERATOR_PREFIX).split("/")]
    return name, parts


def _answer(app: "App", token: int, status: int, value: Any) -> None:
    app.server.answer(token, status, JSON_HEADERS, encode_json(value))


def _answer_ok(call: Call, value: Any) -> None:
    _answer(call.app, call.token, STATUS_OK, value)


def _answer_not_found(call: Call) -> None:
    _answer(call.app, call.token, STATUS_NOT_FOUND, {"error": "not_found"})


def _answer_forbidden(call: Call) -> None:
    _answer(call.app, call.token, STATUS_FORBIDDEN, {"error": "outside_scope"})


def _answer_status(call: Call) -> None:
    _answer_ok(call, views.view_status(call.app.state, call.scope))


def _answer_documents(call: Call) -> None:
    if not call.parts:
        _answer_ok(call, {"documents": views.view_documents(call.app.state, call.scope)})
        return
    name = call.parts[0]
    if not sees_workspace(call.scope, name):
        _answer_forbidden(call)
        return
    document = views.view_document(call.app.state, name)
    if document is None:
        _answer_not_found(call)
    else:
        _answer_ok(call, document)


def _answer_subjects(call: Call) -> None:
    _answer_ok(call, views.view_subjects(call.app.state, call.scope, call.query.get("prefix", "")))


def _answer_keys(call: Call) -> None:
    if len(call.parts) != 1:
        _answer_not_found(call)
    elif not sees_workspace(call.scope, call.parts[0]):
        _answer_forbidden(call)
    else:
        _answer_ok(call, {"keys": views.view_keys(call.app.state, call.parts[0])})


def _answer_outcome(call: Call) -> None:
    record_id = _read_record_id(call.parts)
    wait_s = _read_wait_s(call.query.get("wait", "0"))
    if record_id is None or wait_s is None:
        _answer(call.app, call.token, STATUS_BAD_REQUEST, {"error": "bad_request"})
        return
    if call.app.waiting_calls >= MAX_WAITING_CALLS:
        wait_s = 0.0
    _await_outcome(call, record_id, call.app.scheduler.clock() + wait_s)


def _await_outcome(call: Call, record_id: RecordId, deadline_s: float) -> None:
    app = call.app
    decision = views.find_decision(app.state, record_id)
    if decision is not None and not sees_subject(call.scope, decision.subject):
        _answer_forbidden(call)
        return
    if decision is not None or app.scheduler.clock() >= deadline_s:
        _answer_ok(call, views.view_outcome(decision))
        return

    def check_again() -> None:
        app.waiting_calls -= 1
        _await_outcome(call, record_id, deadline_s)

    app.waiting_calls += 1
    app.scheduler.call_later(OUTCOME_POLL_S, check_again)


def _withdraw(call: Call) -> None:
    wait_s = _read_wait_s(call.query.get("wait", "0"))
    if len(call.parts) != 2 or wait_s is None:
        _answer(call.app, call.token, STATUS_BAD_REQUEST, {"error": "bad_request"})
    elif not sees_workspace(call.scope, call.parts[0]):
        _answer_forbidden(call)
    else:
        withdrawal.withdraw(call.app, *call.parts)
        _await_propagation(call, call.app.scheduler.clock() + wait_s)


def _await_propagation(call: Call, deadline_s: float) -> None:
    app = call.app
    is_over = app.scheduler.clock() >= deadline_s or app.waiting_calls >= MAX_WAITING_CALLS
    if is_over or withdrawal.is_propagated(app.state):
        _answer_ok(call, withdrawal.view_propagation(app.state))
        return

    def check_again() -> None:
        app.waiting_calls -= 1
        _await_propagation(call, deadline_s)

    app.waiting_calls += 1
    app.scheduler.call_later(OUTCOME_POLL_S, check_again)


def _read_record_id(parts: list[str]) -> RecordId | None:
    if len(parts) != 3 or not (parts[1].isdecimal() and parts[2].isdecimal()):
        return None
    return RecordId(parts[0], int(parts[1]), int(parts[2]))


def _read_wait_s(text: str) -> float | None:
    try:
        wait_s = float(text)
    except ValueError:
        return None
    return min(wait_s, MAX_WAIT_S) if wait_s >= 0 else None


def _answer_explain(call: Call) -> None:
    name = "/".join(call.parts)
    ended = call.app.recent.by_id.get(name)
    if ended is not None and sees_name(call.scope, ended.queue):
        _answer_ok(call, ended._asdict())
        return
    refusal = views.view_refusal(name)
    if refusal is None:
        _answer_not_found(call)
    else:
        _answer_ok(call, refusal)


def _answer_metrics(call: Call) -> None:
    shown: dict[str, Any] = _metrics.snapshot(
        call.app.metrics, lambda name: sees_name(call.scope, name)
    )
    if sees_all(call.scope):
        shown["counters"] = call.app.counters()
    _answer_ok(call, shown)


def _answer_maintenance(call: Call) -> None:
    if len(call.parts) != 1:
        _answer_not_found(call)
    elif not sees_workspace(call.scope, call.parts[0]):
        _answer_forbidden(call)
    else:
        found = view_maintenance(call.app.state, call.parts[0])
        _answer_not_found(call) if found is None else _answer_ok(call, found)


# Handlers by HTTP method and route name.
ROUTES: dict[str, dict[str, Callable[[Call], None]]] = {
    "GET": {
        "status": _answer_status,
        "documents": _answer_documents,
        "subjects": _answer_subjects,
        "keys": _answer_keys,
        "outcomes": _answer_outcome,
        "explain": _answer_explain,
        "metrics": _answer_metrics,
        "maintenance": _answer_maintenance,
    },
    "POST": {"withdrawals": _withdraw},
}
