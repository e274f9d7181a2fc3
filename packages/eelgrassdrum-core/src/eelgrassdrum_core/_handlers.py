"""
Types of the tables that the reducer is composed of.
"""

from collections.abc import Callable, Iterable, Mapping

# Takes the state and one event, changes its own slice, and gives effects.
Handler = Callable[..., Iterable[object]]
HandlerTable = Mapping[type, Handler]
