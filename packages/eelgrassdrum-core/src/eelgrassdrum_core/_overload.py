"""
Overload control: a request that can't start in time is refused on arrival.

The wait is predicted from the rate at which the service has processed its queue. A team's wait is
predicted from its own waiting requests and its weighted fraction of the rate, so that a burst of
one team doesn't cause another team's requests to be refused.
"""

from collections.abc import Iterator

from . import _refusals
from ._config import Queue
from ._events import Ticked
from ._handlers import HandlerTable
from ._overload_state import ServiceLoad
from ._refusals import Refusal
from ._requests import Request
from ._state import State

# Weights of new samples in the moving averages; the rate follows a change in about a second.
RATE_WEIGHT = 0.2
RUN_WEIGHT = 0.05
SAMPLE_S = 0.1
# Time left for an attempt before its caller's deadline, as a multiple of the mean run time.
RUN_MARGIN = 2.0
MIN_RETRY_S = 0.1
MAX_RETRY_S = 30.0
RETRY_JITTER = 0.5
# Share of all callers on an open queue that are served without a key.
OPEN_SHARE = 1.0


def service_load(state: State, service: str) -> ServiceLoad:
    """
    Return the load of a service.

    :param state: changed in place; an entry is added for a new service.
    :param service: ``WORKSPACE/SERVICE``.
    :returns: the load.
    """
    load = state.overload.services.get(service)
    if load is None:
        load = state.overload.services[service] = ServiceLoad(sampled_at_s=state.now_s)
    return load


def add_held_bytes(state: State, size_bytes: int) -> None:
    """
    Add to the total length of the bodies held, and update its maximum.

    :param state: changed in place.
    :param size_bytes: length of a body; negative when the body is released.
    """
    overload = state.overload
    overload.held_bytes += size_bytes
    overload.peak_held_bytes = max(overload.peak_held_bytes, overload.held_bytes)


def count_waiting(state: State, req: Request, step: int) -> None:
    """
    Count a request that starts or stops waiting.

    :param state: changed in place.
    :param req: the request.
    :param step: 1 when it starts waiting, -1 when it stops.
    """
    load = service_load(state, req.service)
    load.total += step
    remaining = load.waiting.get(req.team, 0) + step
    if remaining:
        load.waiting[req.team] = remaining
    else:
        del load.waiting[req.team]
    if load.total == 0:
        load.busy = False


def record_completion(state: State, req: Request, run_s: float) -> None:
    """
    Record that an attempt has run and ended.

    :param state: changed in place.
    :param req: its request.
    :param run_s: seconds that it ran.
    """
    load = service_load(state, req.service)
    load.ended += 1
    weight = RUN_WEIGHT if load.run_s else 1.0
    load.run_s += weight * (run_s - load.run_s)


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Sample the rate of each service that had waiting requests the whole time since the last sample.
    """
    for load in state.overload.services.values():
        elapsed_s = state.now_s - load.sampled_at_s
        if elapsed_s < SAMPLE_S / 2:
            continue
        if load.busy:
            sample = load.ended / elapsed_s
            load.rate += (RATE_WEIGHT if load.rate else 1.0) * (sample - load.rate)
        load.ended = 0
        load.sampled_at_s = state.now_s
        load.busy = load.total > 0
    return iter(())


def predict_wait(state: State, service: str, team: str) -> float:
    """
    Predict how long a new request of a team would wait.

    :param state: the state.
    :param service: ``WORKSPACE/SERVICE``.
    :param team: ``WORKSPACE/TEAM``.
    :returns: seconds; 0 if the rate is unknown.
    """
    load = service_load(state, service)
    if load.total == 0 or load.rate <= 0:
        return 0.0
    own = load.waiting.get(team, 0) / (load.rate * _weight_fraction(state, load, team))
    return min(load.total / load.rate, own)


def start_limit(state: State, queue: Queue, timeout_s: float) -> float:
    """
    Return the latest time at which a new request may start.

    It is bounded by the longest wait of the queue and by the time that the response needs before
    the caller's timeout, but leaves at least half of the timeout for waiting.

    :param state: the state.
    :param queue: its queue.
    :param timeout_s: seconds that its caller waits.
    :returns: the time.
    """
    run_s = service_load(state, queue.service).run_s
    return state.now_s + min(queue.max_wait_s, max(timeout_s / 2, timeout_s - RUN_MARGIN * run_s))


def check(
    state: State, queue: Queue, team: str, size_bytes: int, timeout_s: float
) -> Refusal | None:
    """
    Return a refusal if the current load rules out a new request.

    :param state: the state.
    :param queue: its queue.
    :param team: its team.
    :param size_bytes: length of its body.
    :param timeout_s: seconds that its caller waits.
    :returns: the refusal, or ``None``.
    """
    queued = state.fair.queued.get(queue.name, 0)
    queued_bytes = state.fair.queued_bytes.get(queue.name, 0) + size_bytes
    wait_s = predict_wait(state, queue.service, team)
    if size_bytes > queue.max_bytes:
        return Refusal(_refusals.BODY_TOO_LARGE)
    if state.overload.held_bytes + size_bytes > state.tuning.max_held_bytes:
        return Refusal(_refusals.OVERLOADED, retry_after(state, wait_s))
    if queued_bytes > queue.max_bytes or _is_full(state, queue, team, queued):
        return Refusal(_refusals.QUEUE_FULL, retry_after(state, wait_s))
    allowed_s = start_limit(state, queue, timeout_s) - state.now_s
    if wait_s > allowed_s:
        return Refusal(_refusals.WAIT_TOO_LONG, retry_after(state, wait_s - allowed_s))
    return None


def retry_after(state: State, wait_s: float) -> float:
    """
    Return the delay after which a retry is useful, with jitter to avoid simultaneous retries.

    :param state: the state, for its random number generator.
    :param wait_s: seconds after which capacity is expected.
    :returns: seconds.
    """
    base_s = min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)
    return round(base_s * (1 + RETRY_JITTER * state.rng.random()), 3)


def team_share(state: State, team_name: str) -> float:
    """
    Return a team's weight in fair queueing.

    :param state: the state.
    :param team_name: ``WORKSPACE/TEAM``.
    :returns: its share, or `OPEN_SHARE` for callers without a key.
    """
    team = state.fold.config.teams.get(team_name)
    return OPEN_SHARE if team is None else team.share


def _is_full(state: State, queue: Queue, team: str, queued: int) -> bool:
    if queued >= queue.max_queued:
        return True
    if 2 * queued < queue.max_queued:
        return False
    # The second half of the queue is reserved for teams below their weighted fraction of the queue.
    load = service_load(state, queue.service)
    return load.waiting.get(team, 0) >= queue.max_queued * _weight_fraction(state, load, team)


def _weight_fraction(state: State, load: ServiceLoad, team: str) -> float:
    active = {*load.waiting, team}
    shares = {name: team_share(state, name) for name in active}
    return shares[team] / sum(shares.values())


HANDLERS: HandlerTable = {Ticked: on_tick}
