"""
Tests of fair queueing within one instance, and of the accounting of virtual time.
"""

from eelgrassdrum_core import _fair, _fair_accounts, _fair_eviction
from eelgrassdrum_core._fair_state import FairState
from eelgrassdrum_core._requests import Request

SERVICE = "show/judging"
RUN_S = 1.0


def request(token: int, team: str, *, urgent: bool = False) -> Request:
    """
    Build a request of a team.
    """
    return Request(
        token, f"r{token}", "show/scores", SERVICE, team, False, urgent, 0.0, 9.0, 9.0, 9.0, 10
    )


def fill(fair: FairState, team: str, count: int, now_s: float = 0.0) -> None:
    """
    Add requests of a team to its queue.
    """
    for token in range(count):
        _fair.push(fair, request(token, team), now_s)


def run_next(fair: FairState, shares: dict[str, float], run_s: float, now_s: float) -> str:
    """
    Start the next request in fair order and end it after the given run time; return its team.
    """
    req = _fair.pop(fair, SERVICE, lambda req: True)
    assert req is not None
    _fair_accounts.open_charge(fair, "attempt", req, shares[req.team], now_s)
    _fair_accounts.close_charge(fair, "attempt", now_s + run_s, ran=True)
    return req.team


def virtual_s(fair: FairState, team: str) -> float:
    """
    Return a team's virtual time.
    """
    return fair.services[SERVICE].teams[team].virtual_s


FIXTURES = {"fair": FairState}


def test_starts_follow_shares(fair: FairState) -> None:
    """
    While both teams wait, a team with twice the share is served twice as often.
    """
    shares = {"x": 2.0, "y": 1.0}
    fill(fair, "x", 40)
    fill(fair, "y", 40)
    served = [run_next(fair, shares, RUN_S, 0.0) for _ in range(30)]
    assert abs(served.count("x") - 20) <= 1


def test_long_requests_count_for_more(fair: FairState) -> None:
    """
    A team whose requests run four times as long starts a quarter as many.
    """
    fill(fair, "long", 60)
    fill(fair, "short", 60)
    served = []
    for _ in range(50):
        team = "long" if virtual_s(fair, "long") <= virtual_s(fair, "short") else "short"
        served.append(
            run_next(fair, {"long": 1.0, "short": 1.0}, 4.0 if team == "long" else 1.0, 0)
        )
    assert abs(served.count("long") - 10) <= 2


def test_running_work_is_charged_as_it_runs(fair: FairState) -> None:
    """
    An attempt is charged an estimate, then the elapsed time if longer, and finally its run time.
    """
    fill(fair, "x", 1)
    req = _fair.pop(fair, SERVICE, lambda req: True)
    assert req is not None
    _fair_accounts.open_charge(fair, "a", req, 1.0, 0.0)
    assert virtual_s(fair, "x") == _fair_accounts.INITIAL_ESTIMATE_S
    _fair_accounts.accrue(fair, 5.0)
    assert virtual_s(fair, "x") == 5.0
    _fair_accounts.close_charge(fair, "a", 6.0, ran=True)
    assert virtual_s(fair, "x") == 6.0
    fill(fair, "x", 1)
    _fair_accounts.open_charge(fair, "b", request(1, "x"), 1.0, 6.0)
    assert virtual_s(fair, "x") == 12.0
    _fair_accounts.close_charge(fair, "b", 7.0, ran=False)
    assert virtual_s(fair, "x") == 6.0


def test_idle_team_gets_no_credit(fair: FairState) -> None:
    """
    A team that was idle is neither credited nor charged for the idle time.
    """
    fill(fair, "busy", 50)
    fill(fair, "away", 1)
    run_next(fair, {"busy": 1.0, "away": 1.0}, RUN_S, 0.0)
    run_next(fair, {"busy": 1.0, "away": 1.0}, RUN_S, 0.0)
    for step in range(20):
        run_next(fair, {"busy": 1.0}, RUN_S, float(step))
        service = fair.services[SERVICE]
        _fair_accounts.advance_virtual_time(service, step + 1.0, lambda name, team: name == "busy")
    fill(fair, "away", 1, now_s=30.0)
    assert abs(virtual_s(fair, "away") - virtual_s(fair, "busy")) <= RUN_S


def test_earlier_use_is_forgotten_without_a_queue(fair: FairState) -> None:
    """
    When no team waits, earlier use no longer counts.
    """
    fill(fair, "x", 1)
    fill(fair, "y", 1)
    run_next(fair, {"x": 1.0, "y": 1.0}, 100.0, 0.0)
    _fair_accounts.advance_virtual_time(fair.services[SERVICE], 200.0, lambda name, team: False)
    assert virtual_s(fair, "x") == virtual_s(fair, "y")


def test_changed_share_counts_from_now(fair: FairState) -> None:
    """
    A changed share applies to later charges only.
    """
    fill(fair, "x", 2)
    run_next(fair, {"x": 1.0}, 4.0, 0.0)
    run_next(fair, {"x": 4.0}, 4.0, 4.0)
    assert virtual_s(fair, "x") == 5.0


def test_urgent_goes_first_in_its_team_only(fair: FairState) -> None:
    """
    Urgent requests are served before others of their team, but don't increase its share.
    """
    fill(fair, "x", 3)
    fill(fair, "y", 3)
    _fair.push(fair, request(9, "x", urgent=True), 0.0)
    first = _fair.pop(fair, SERVICE, lambda req: req.team == "x")
    assert first is not None
    assert first.token == 9
    _fair_accounts.open_charge(fair, "a", first, 1.0, 0.0)
    _fair.push(fair, request(10, "x", urgent=True), 0.0)
    second = _fair.pop(fair, SERVICE, lambda req: True)
    assert second is not None
    assert second.team == "y"


def test_team_ahead_leaves_slots_to_others(fair: FairState) -> None:
    """
    Requests of a team above the ceiling don't start, except in a slot offered by another instance.
    """
    fill(fair, "x", 2)
    fair.services[SERVICE].teams["x"].virtual_s = 2.0
    fair.services[SERVICE].ceiling_s = 1.0
    assert _fair.pop(fair, SERVICE, lambda req: True) is None
    assert _fair.pop(fair, SERVICE, lambda req: True, ignore_ceiling=True) is not None


def test_full_queue_evicts_from_the_largest_team(fair: FairState) -> None:
    """
    A full queue evicts the newest request of the largest team in favour of a smaller team.
    """
    fill(fair, "flood", 10)
    fill(fair, "small", 2)
    excess = _fair_eviction.evict_newest_excess(fair, SERVICE, "show/scores", "small")
    assert excess is not None
    assert (excess.team, excess.token) == ("flood", 9)
    assert fair.queued["show/scores"] == 11
    assert _fair_eviction.evict_newest_excess(fair, SERVICE, "show/scores", "flood") is None


def test_tried_requests_are_not_evicted(fair: FairState) -> None:
    """
    A request that was already tried is never evicted, because it may have run.
    """
    fill(fair, "flood", 10)
    for req in fair.services[SERVICE].teams["flood"].normal:
        req.tries = 1
    assert _fair_eviction.evict_newest_excess(fair, SERVICE, "show/scores", "small") is None
