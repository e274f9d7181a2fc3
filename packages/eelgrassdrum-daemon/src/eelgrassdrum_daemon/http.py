"""
HTTP on circuits: a client connection pool with timeouts, and a server with asynchronous responses.
"""

from ._http_messages import ClientRequest, HttpAnswer, HttpFailure, HttpOutcome, Transfer
from ._http_pool import HttpPool
from ._http_server import HttpServer
from ._server_state import Exchange, ServerLimits
from ._timers import Scheduler

__all__ = [
    "ClientRequest",
    "Exchange",
    "HttpAnswer",
    "HttpFailure",
    "HttpOutcome",
    "HttpPool",
    "HttpServer",
    "Scheduler",
    "ServerLimits",
    "Transfer",
]
