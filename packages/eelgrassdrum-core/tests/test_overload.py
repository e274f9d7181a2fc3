"""
Tests of overload control: predicted waits, queue bounds and retry budgets.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdrum_core import Identity, Sender, State, Tuning, new_state, refusals
from eelgrassdrum_core import _overload as overload
from eelgrassdrum_core import _retries as retries
from eelgrassdrum_core._config import Queue
from eelgrassdrum_core._endpoints_state import Endpoint
from eelgrassdrum_core._overload_state import OverloadState, ServiceLoad

SERVICE = "show/judging"
ENDPOINTS = [Endpoint(f"ep-{n}", SERVICE, f"ep-{n}", "a", slots) for n, slots in enumerate((4, 2))]
SLOTS = 6
FIXED = settings(derandomize=True, database=None, deadline=None)
COUNTS = st.dictionaries(st.sampled_from("abcd"), st.integers(0, 300), max_size=4)


def make_state() -> State:
    """
    Return the state of an instance whose service completes ten requests per second.
    """
    identity = Identity(Sender("entry-a1", 1, "a"), "127.0.0.1:1", "127.0.0.1:2")
    state = new_state(identity, Tuning(max_held_bytes=1000))
    load = ServiceLoad({"show/flood": 40}, total=40, rate=10.0, run_s=0.1)
    state.overload.services[SERVICE] = load
    return state


def make_queue() -> Queue:
    """
    Return a queue of the service.
    """
    return Queue("show/scores", "show", SERVICE, True, 100, 10_000, 3.0, 5.0)


FIXTURES = {"state": make_state, "queue": make_queue}


def test_a_request_that_cannot_start_in_time_is_refused_at_once(state: State, queue: Queue) -> None:
    """
    A request predicted to wait too long is refused as not run, with a delay before a retry.
    """
    refusal = overload.check(state, queue, "show/flood", 10, 30.0)
    assert refusal.code == refusals.WAIT_TOO_LONG
    assert refusal.code.run_state == refusals.NOT_RUN
    assert 1.0 <= refusal.retry_after_s <= 1.5


def test_retry_times_are_spread(state: State, queue: Queue) -> None:
    """
    Callers refused at the same time get different retry delays.
    """
    delays = {overload.check(state, queue, "show/flood", 10, 30.0).retry_after_s for _ in range(20)}
    assert len(delays) > 15


def test_one_team_does_not_get_another_refused(state: State, queue: Queue) -> None:
    """
    A request of a team with nothing waiting is accepted while another team floods the queue.
    """
    assert overload.check(state, queue, "show/calm", 10, 30.0) is None


def test_bodies_are_bounded(state: State, queue: Queue) -> None:
    """
    A request whose body would exceed the instance's bound on held bytes is refused as not run.
    """
    overload.add_held_bytes(state, 995)
    refusal = overload.check(state, queue, "show/calm", 10, 30.0)
    assert refusal.code == refusals.OVERLOADED


def test_second_half_of_a_queue_is_kept_for_small_teams(state: State, queue: Queue) -> None:
    """
    In a queue over half full, a team above its fraction is refused while a smaller one is not.
    """
    state.fair.queued[queue.name] = 60
    state.overload.services[SERVICE].waiting = {"show/flood": 60, "show/calm": 1}
    state.overload.services[SERVICE].rate = 1000.0
    assert overload.check(state, queue, "show/flood", 10, 30.0).code == refusals.QUEUE_FULL
    assert overload.check(state, queue, "show/calm", 10, 30.0) is None


@FIXED
@given(st.lists(st.booleans(), max_size=400))
def test_retries_stay_within_their_budget(steps: list[bool]) -> None:
    """
    In any sequence, retries are at most their share of first attempts plus the saved retries.
    """
    state = OverloadState()
    firsts = taken = 0
    for is_first in steps:
        if is_first:
            retries.record_first_attempt(state, "q")
            firsts += 1
        else:
            taken += retries.try_acquire_retry(state, "q")
        assert taken <= retries.RETRY_SHARE * firsts + retries.MAX_SAVED_RETRIES + 1e-6
