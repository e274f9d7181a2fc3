"""
Overload: goodput far beyond capacity, memory, retries, and ways to share slots.

Upstream propagation is modelled by reading every caller in the order of arrival and refusing
nobody: what is not yet read waits until its caller gives up.
"""

from collections.abc import Iterator
from unittest.mock import patch

from eelgrassdrum_core import _endpoints as endpoints
from eelgrassdrum_core import _membership as membership
from eelgrassdrum_core import _overload as overload
from eelgrassdrum_core import _retries as retries
from eelgrassdrum_core._endpoints_state import Endpoint
from eelgrassdrum_core._state import State

from .._harness import World
from ._fleet_load import CAPACITY_PER_S, LoadResult, quantile, run_load
from ._measure import Bench, Measure, measure

SEED = 5
SECONDS = 5.0
ONCE = 0.9 * CAPACITY_PER_S
TENFOLD = 10 * ONCE
MEMORY_BYTES = 20_000


def goodput() -> Iterator[Measure]:
    """
    Compare ten times the load with one, and early refusal with upstream propagation.
    """
    once = run_load(SEED, ONCE, SECONDS)
    tenfold = run_load(SEED, TENFOLD, SECONDS)
    unread = _run_unread()
    yield measure("overload_goodput_1x", once.goodput_per_s, "requests/s", at_least=0.9 * ONCE)
    yield measure(
        "overload_goodput_10x",
        tenfold.goodput_per_s,
        "requests/s",
        baseline=once.goodput_per_s,
        at_least=0.9,
    )
    yield measure(
        "overload_goodput_10x_against_upstream_propagation",
        tenfold.goodput_per_s,
        "requests/s",
        baseline=unread.goodput_per_s,
        at_least=1.0,
    )
    yield measure(
        "overload_refusal_time_10x", tenfold.refusal_s, "s", baseline=unread.refusal_s, at_most=0.5
    )
    yield measure("overload_answer_p99_10x", quantile(tenfold.waits_s, 0.99), "s", at_most=4.0)


def slots() -> Iterator[Measure]:
    """
    Compare the free use of slots with equal parts of them, at 0.9 of capacity.
    """
    free = run_load(SEED, ONCE, SECONDS)
    with patch.object(endpoints, "_max_in_flight", _room_of_equal_parts):
        equal = run_load(SEED, ONCE, SECONDS)
    yield measure(
        "slots_goodput_against_equal",
        free.goodput_per_s,
        "requests/s",
        baseline=equal.goodput_per_s,
        at_least=1.0,
    )
    yield measure(
        "slots_p99_against_equal",
        quantile(free.waits_s, 0.99),
        "s",
        baseline=quantile(equal.waits_s, 0.99),
    )
    yield measure("slots_refused_attempts_equal", equal.refused_attempts, "attempts")
    yield measure("slots_refused_attempts", free.refused_attempts, "attempts")


def bounds() -> Iterator[Measure]:
    """
    Print what bounds memory and retries.
    """
    small = run_load(SEED, TENFOLD, SECONDS / 2, max_held_bytes=MEMORY_BYTES // 10)
    held = max(entry.state.overload.peak_held_bytes for entry in small.world.entries.values())
    yield measure("overload_most_body_bytes", held, "bytes", at_most=MEMORY_BYTES // 10)
    broken = run_load(SEED, ONCE / 2, SECONDS, _break_endpoints)
    budgets = [
        budget
        for entry in broken.world.entries.values()
        for budget in entry.state.overload.budgets.values()
    ]
    firsts = sum(budget.first_attempts for budget in budgets)
    done = sum(budget.retries for budget in budgets)
    allowed = retries.RETRY_SHARE * firsts + retries.MAX_SAVED_RETRIES * len(budgets)
    yield measure("overload_first_attempts", firsts, "attempts")
    yield measure("overload_retries", done, "attempts", baseline=allowed, at_most=1.0)


def _run_unread() -> LoadResult:
    with (
        patch.object(overload, "check", lambda *_: None),
        patch.object(overload, "start_limit", lambda state, _, timeout_s: state.now_s + timeout_s),
    ):
        return run_load(SEED, TENFOLD, SECONDS)


_max_in_flight = endpoints._max_in_flight


def _room_of_equal_parts(state: State, endpoint: Endpoint, own_zone: str, oldest_s: float) -> int:
    instances = 1 + len(membership.zone_peers(state))
    part = max(1, endpoint.slots // instances)
    return min(part, _max_in_flight(state, endpoint, own_zone, oldest_s))


def _break_endpoints(world: World) -> None:
    for endpoint in list(world.endpoints.values())[::2]:
        endpoint.reachable = False


BENCHES: dict[str, Bench] = {
    "overload_goodput": goodput,
    "overload_slots": slots,
    "overload_bounds": bounds,
}
