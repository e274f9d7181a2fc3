"""
The interface between an instance and the platform on which it runs.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from eelgrassdrum_core.jobs import effects, events

from .._server_state import Exchange


class Ports(NamedTuple):
    """
    The functions of a platform's adapter.

    :param effects: functions that execute an effect, by its type; they post the outcome as events.
    :param to_call: decodes a caller's request; ``None`` when its method is not supported.
    :param encode_reply: returns status, headers and body of a response.
    :param reload: reloads the settings and returns what changed.
    """

    effects: dict[type, Callable[[Any], None]]
    to_call: Callable[[Exchange], events.CallReceived | None]
    encode_reply: Callable[[effects.Reply], tuple[int, dict[str, str], bytes]]
    reload: Callable[[], dict[str, Any]]
