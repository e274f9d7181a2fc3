"""
The operators' API.
"""

from typing import TYPE_CHECKING

from ._server_answers import JSON_HEADERS, encode_json
from ._server_state import Exchange

if TYPE_CHECKING:
    from ._app import App

PREFIXES = ("/v1/operator/", "/metrics")
STATUS_UNAVAILABLE = 503


def handle(app: "App", exchange: Exchange) -> None:
    """
    Answer an operator's call.

    :param app: the entry instance.
    :param exchange: the request.
    """
    app.server.answer(
        exchange.token, STATUS_UNAVAILABLE, JSON_HEADERS, encode_json({"error": "not_available"})
    )
