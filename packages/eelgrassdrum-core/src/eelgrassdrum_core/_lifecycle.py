"""
Start, refresh of the instance list, and graceful shutdown of this instance.
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
    Refresh the instance list periodically, and exit once a graceful shutdown is complete.
    """
    if state.now_s - state.list_read_at_s >= state.tuning.list_interval_s:
        state.list_read_at_s = state.now_s
        yield ReadInstances()
    if _allowance_lease.may_exit(state):
        yield Exit()


def on_listed(state: State, event: InstancesListed) -> Iterator[object]:
    """
    Update the endpoints from the instance list.
    """
    _endpoints.update_from_list(state.endpoints, event.instances, state.now_s)
    yield Emit(CapacityChanged())


def on_stop(state: State, event: StopRequested) -> Iterator[object]:
    """
    Begin a graceful shutdown: refuse new requests and finish the accepted ones.
    """
    state.stopping = True
    yield WriteLog("instance.stopping", {"open": len(state.requests.open_tokens)})


HANDLERS: HandlerTable = {
    Started: on_started,
    Ticked: on_tick,
    InstancesListed: on_listed,
    StopRequested: on_stop,
}
