"""
Types of the handler tables from which the reducer is composed.
"""

from collections.abc import Callable, Iterable, Mapping

# Called with the state and an event; changes its domain's part of the state and returns effects.
Handler = Callable[..., Iterable[object]]
HandlerTable = Mapping[type, Handler]
