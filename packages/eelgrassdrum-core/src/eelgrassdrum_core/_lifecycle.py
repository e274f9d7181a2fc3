"""
Start, list refresh and graceful stop of this instance.
"""

from collections.abc import Iterator

from . import _allowance_lease, _endpoints
from ._effects import Emit, Exit, ReadInstances, WriteLog
from ._events import CapacityChanged, InstancesListed, Started, StopRequested, Ticked
from ._handlers import HandlerTable
from ._state import State


def on_started(state: State, event: Started) -> Iterator[object]:
    """
    Read the instance list for the first time.
    """
    state.list_read_at_s = state.now_s
    yield ReadInstances()


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Read the list again when it is time, and leave when nothing is left to do.
    """
    if state.now_s - state.list_read_at_s >= state.tuning.list_interval_s:
        state.list_read_at_s = state.now_s
        yield ReadInstances()
    if _allowance_lease.may_exit(state):
        yield Exit()


def on_listed(state: State, event: InstancesListed) -> Iterator[object]:
    """
    Take over the list.
    """
    _endpoints.update_from_list(state.endpoints, event.instances, state.now_s)
    yield Emit(CapacityChanged())


def on_stop(state: State, event: StopRequested) -> Iterator[object]:
    """
    Take no new requests; what was accepted is finished first.
    """
    state.stopping = True
    yield WriteLog("instance.stopping", {"open": len(state.requests.open_tokens)})


HANDLERS: HandlerTable = {
    Started: on_started,
    Ticked: on_tick,
    InstancesListed: on_listed,
    StopRequested: on_stop,
}
