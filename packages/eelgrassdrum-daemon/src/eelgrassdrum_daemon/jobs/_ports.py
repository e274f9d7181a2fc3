"""
What an instance needs of the platform that it runs on.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from eelgrassdrum_core.jobs import effects, events

from .._server_state import Exchange


class Ports(NamedTuple):
    """
    The functions of an adapter.

    :param effects: carries out an effect, by the type of the effect; what comes of it is posted.
    :param to_call: reads a caller's request; ``None`` when its method is not spoken.
    :param encode_reply: gives status, headers and body of an answer.
    :param reload: takes the settings anew, and says what changed.
    """

    effects: dict[type, Callable[[Any], None]]
    to_call: Callable[[Exchange], events.CallReceived | None]
    encode_reply: Callable[[effects.Reply], tuple[int, dict[str, str], bytes]]
    reload: Callable[[], dict[str, Any]]
