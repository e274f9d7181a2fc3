"""
Routes of the HTTP server: callers, operators, health and readiness.
"""

from typing import TYPE_CHECKING

from eelgrassdrum_core import effects, refusals

from . import _operator_api
from ._caller_api import QUEUES_PREFIX, read_request
from ._delivery import OpenRequest
from ._server_answers import JSON_HEADERS, encode_json
from ._server_state import Exchange

if TYPE_CHECKING:
    from ._app import App

HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503


def handle_exchange(app: "App", exchange: Exchange) -> None:
    """
    Dispatch a complete request to its handler by path.

    :param app: the entry instance.
    :param exchange: the request.
    """
    path = exchange.req.path
    if path.startswith(QUEUES_PREFIX):
        _handle_caller(app, exchange)
    elif path == HEALTH_PATH:
        _answer_json(app, exchange, STATUS_OK, {"status": "alive"})
    elif path == READY_PATH:
        _answer_ready(app, exchange)
    elif path.startswith(_operator_api.PREFIXES):
        _operator_api.handle(app, exchange)
    else:
        _answer_json(app, exchange, STATUS_NOT_FOUND, {"error": "not_found"})


def _handle_caller(app: "App", exchange: Exchange) -> None:
    event = read_request(exchange)
    if isinstance(event, refusals.Refusal):
        app.execute_effect(effects.Refuse(exchange.token, event))
        return
    request = OpenRequest(event.request_id, event.queue, exchange.body)
    app.open_requests[exchange.token] = request
    app.post(event)


def _answer_ready(app: "App", exchange: Exchange) -> None:
    if is_ready(app):
        _answer_json(app, exchange, STATUS_OK, {"ready": True})
    else:
        _answer_json(app, exchange, STATUS_UNAVAILABLE, {"ready": False})


def is_ready(app: "App") -> bool:
    """
    Return whether the instance is ready for requests of callers.

    :param app: the entry instance.
    :returns: whether its log is caught up and it is not stopping.
    """
    return app.state.log.caught_up and app.stop_state.requested_at_s is None


def _answer_json(app: "App", exchange: Exchange, status: int, value: object) -> None:
    app.server.answer(exchange.token, status, JSON_HEADERS, encode_json(value))
