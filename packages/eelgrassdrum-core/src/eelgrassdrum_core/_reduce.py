"""
The reducer: one function over all events, composed from one table of handlers per domain.
"""

from collections import defaultdict, deque
from collections.abc import Iterable

from . import (
    _admission,
    _allowance_balance,
    _allowance_lease,
    _allowance_recovery,
    _catch_up,
    _controllers,
    _dispatch,
    _endpoints_health,
    _fair_exchange,
    _fair_offers,
    _fleet_view,
    _freshness,
    _freshness_withdrawals,
    _joins,
    _joins_claims,
    _joins_votes,
    _lifecycle,
    _log_follower,
    _maintenance,
    _membership_handlers,
    _moves,
    _outbox,
    _overload,
    _pools_control,
    _snapshots_maker,
    _snapshots_search,
)
from ._effects import Emit
from ._handlers import Handler, HandlerTable
from ._state import State

# Domains in the order in which their handlers are called for an event.
DOMAINS: tuple[HandlerTable, ...] = (
    _log_follower.HANDLERS,
    _outbox.HANDLERS,
    _membership_handlers.HANDLERS,
    _snapshots_search.HANDLERS,
    _snapshots_maker.HANDLERS,
    _catch_up.HANDLERS,
    _freshness.HANDLERS,
    _freshness_withdrawals.HANDLERS,
    _allowance_lease.HANDLERS,
    _allowance_recovery.HANDLERS,
    _allowance_balance.HANDLERS,
    _lifecycle.HANDLERS,
    _fair_exchange.HANDLERS,
    _fair_offers.HANDLERS,
    _endpoints_health.HANDLERS,
    _overload.HANDLERS,
    _joins_votes.HANDLERS,
    _joins_claims.HANDLERS,
    _joins.HANDLERS,
    _admission.HANDLERS,
    _dispatch.HANDLERS,
    _fleet_view.HANDLERS,
    _controllers.HANDLERS,
    _moves.HANDLERS,
    _pools_control.HANDLERS,
    _maintenance.HANDLERS,
)


def _merge(domains: Iterable[HandlerTable]) -> dict[type, tuple[Handler, ...]]:
    merged: defaultdict[type, list[Handler]] = defaultdict(list)
    for domain in domains:
        for event_type, handler in domain.items():
            merged[event_type].append(handler)
    return {event_type: tuple(handlers) for event_type, handlers in merged.items()}


HANDLERS = _merge(DOMAINS)


def reduce(state: State, now_s: float, event: object) -> tuple[State, list[object]]:
    """
    Process an event, and the events emitted while processing it.

    :param state: the state, changed in place.
    :param now_s: monotonic time in seconds; a time before the last one is replaced by the last one.
    :param event: an instance of one of the event types.
    :returns: the state, and the effects in the order in which they must be carried out.
    """
    state.now_s = max(state.now_s, now_s)
    effects: list[object] = []
    pending = deque([event])
    while pending:
        current = pending.popleft()
        for handler in HANDLERS.get(type(current), ()):
            for effect in handler(state, current):
                if isinstance(effect, Emit):
                    pending.append(effect.event)
                else:
                    effects.append(effect)
    return state, effects
