"""
Upper limits under faults: a team never has more running than its limit.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from unittest.mock import patch

from eelgrassdrum_core import (
    _allowance_demand,
    _allowance_fold,
    _allowance_lease,
    _allowance_recovery,
    _freshness,
    _limits,
    events,
)
from eelgrassdrum_core._allowance_messages import TeamUnits
from eelgrassdrum_testing._harness import (
    LOG,
    QUEUE,
    Entry,
    Run,
    TeamPlan,
    World,
    advance,
    deliver,
    fleet_document,
    key_text,
    kill_entry,
    largest_limit,
    later,
    make_fleet,
    pause_entry,
    publish,
    start_entry,
    submit,
)
from eelgrassdrum_testing._invariants import limit_holds
from eelgrassdrum_testing._schedules import run_schedule

JUDGES = "show/judges"
LIMIT = 12
LOWER_LIMIT = 4
STEP_S = 0.05
TEAMS = (TeamPlan("judges", 1.0, LIMIT),)


def make_world() -> World:
    """
    Give a fleet of six entry instances with room for more than the team's limit.
    """
    return make_fleet(5, entries_per_zone=2, slots=8, run_s=0.5, teams=TEAMS)


def drive(world: World, seconds: float, names: list[str], limit: int = LIMIT) -> list[int]:
    """
    Keep a queue at some instances; give each count of running units that passed the limit.
    """
    passed = []
    until_s = world.now_s + seconds
    while world.now_s < until_s:
        for name in names:
            entry = world.entries[name]
            if entry.alive and entry.state.fair.queued.get(QUEUE, 0) < 20:
                request_id = f"{entry.zone}.{world.next_token}"
                submit(world, entry, QUEUE, request_id, key=key_text("judges"), team=JUDGES)
        advance(world, STEP_S)
        if running(world) > limit:
            passed.append(running(world))
    return passed


def running(world: World) -> int:
    """
    Count the team's units over all endpoints.
    """
    counts = Counter(run.team for e in world.endpoints.values() for run in e.running.values())
    return counts[JUDGES]


def entry_of(world: World, name: str) -> Entry:
    """
    Give an entry instance.
    """
    return world.entries[name]


def cut_off(world: World, zone: str) -> None:
    """
    Cut a zone off from all others and from the log.
    """
    others = {"a", "b", "c", LOG} - {zone}
    world.network.cuts.update(frozenset((zone, other)) for other in others)


def kill_holders(world: World) -> list[int]:
    """
    Kill two holders while their work runs long, replace one, and go on at others.
    """
    for endpoint in world.endpoints.values():
        endpoint.run_s = 60.0
    passed = drive(world, 3.0, ["entry-a0", "entry-b0"])
    kill_entry(world, entry_of(world, "entry-a0"))
    start_entry(world, "entry-b0", "b")
    return passed + drive(world, 100.0, ["entry-b0", "entry-c0", "entry-c1"])


def pause_holder(world: World) -> list[int]:
    """
    Pause a holder past its lease while requests wait for it, and resume it.
    """
    with patch.object(_freshness, "keyed_work_allowed", lambda state, team: True):
        passed = drive(world, 3.0, ["entry-a0", "entry-a1"])
        pause_entry(world, entry_of(world, "entry-a0"), 60.0)
        return passed + drive(world, 70.0, ["entry-a0", "entry-b0"])


def outlive_lease(world: World) -> list[int]:
    """
    Cut a holder off from the log and lose all extensions, so that only its lease stops it.
    """
    with patch.object(_allowance_lease, "_grant_extension", lambda *args: iter(())):
        passed = drive(world, 3.0, ["entry-a0", "entry-b0"])
        world.network.cuts.add(frozenset(("a", LOG)))
        return passed + drive(world, 80.0, ["entry-a0", "entry-b0"])


def lose_outcomes(world: World) -> list[int]:
    """
    Let endpoints run on after their attempts have timed out.
    """
    for endpoint in world.endpoints.values():
        endpoint.run_s = 20.0
    return drive(world, 40.0, list(world.entries))


def shift_demand(world: World) -> list[int]:
    """
    Move the demand from zone to zone, with an overlap.
    """
    passed = []
    for names in (["entry-a0", "entry-b0"], ["entry-b0", "entry-c0"], ["entry-c0", "entry-a1"]):
        passed += drive(world, 6.0, names)
    return passed


def return_while_cut(world: World) -> list[int]:
    """
    Cut off a zone that has long work, let its lease lapse, and join it again.
    """
    passed = drive(world, 3.0, ["entry-a0", "entry-b0"])
    cut_off(world, "a")
    later(world, 60.0, world.network.cuts.clear)
    return passed + drive(world, 75.0, ["entry-a0", "entry-b0"])


def forget_recovery(
    allowances: _allowance_fold.AllowanceFold, instance: str, offset: int, *, expired: bool
) -> None:
    """
    Free a former holder's units at once, as the fold must not.
    """
    lease = allowances.holders.pop(instance)
    for team in allowances.teams.values():
        team.held.pop(f"{instance}:{lease.incarnation}", None)


def keep_no_promise(state: object, rows: tuple[TeamUnits, ...]) -> tuple[TeamUnits, ...]:
    """
    Promise units and use them all the same.
    """
    return rows


# Each mutation breaks one mechanism in a scenario in which the limit otherwise holds.
MUTATIONS: dict[str, tuple[Callable[[World], list[int]], object, str, Callable]] = {
    "former holders are forgotten": (kill_holders, _allowance_fold, "_fence", forget_recovery),
    "recovery asks no endpoint": (
        kill_holders,
        _allowance_recovery,
        "_possibly_running",
        lambda *_: 0,
    ),
    "lost outcomes free units": (
        lose_outcomes,
        _limits,
        "keep_uncertain",
        lambda state, attempt, team, endpoint: _limits.release_unit(state, team),
    ),
    "promises are not kept": (shift_demand, _allowance_demand, "cede", keep_no_promise),
}

FIXTURES = {"world": make_world}


def scenarios() -> Iterator[Callable[[World], list[int]]]:
    """
    Give each scenario.
    """
    yield from (kill_holders, pause_holder, outlive_lease)
    yield from (lose_outcomes, shift_demand, return_while_cut)


def test_limit_holds_in_every_scenario() -> None:
    """
    No fault scenario lets the team pass its limit, and in each some of its work runs.
    """
    for scenario in scenarios():
        world = make_world()
        assert scenario(world) == [], scenario.__name__
        assert world.runs, scenario.__name__


def test_each_broken_mechanism_is_seen() -> None:
    """
    Breaking any one mechanism makes the team pass its limit in a scenario meant for it.
    """
    for name, (scenario, module, attribute, broken) in MUTATIONS.items():
        with patch.object(module, attribute, broken):
            assert scenario(make_world()) != [], name


def test_units_follow_demand(world: World) -> None:
    """
    Five seconds after all demand has moved to two other instances, they run the whole limit.
    """
    drive(world, 5.0, ["entry-a0", "entry-a1"])
    advance(world, 5.0)
    drive(world, 5.0, ["entry-c0", "entry-c1"])
    held = entry_of(world, "entry-c0").state.fold.allowances.teams[JUDGES].held
    assert held["entry-c0:1"] + held["entry-c1:1"] == LIMIT
    assert running(world) >= LIMIT - 1


def test_dead_holder_units_come_back(world: World) -> None:
    """
    The units of a dead holder are used again once its lease and its work have ended.
    """
    drive(world, 3.0, ["entry-a0"])
    kill_entry(world, entry_of(world, "entry-a0"))
    drive(world, 50.0, ["entry-b0"])
    allowance = entry_of(world, "entry-b0").state.fold.allowances.teams[JUDGES]
    assert (allowance.held, allowance.recovering) == ({"entry-b0:1": LIMIT}, {})


def test_first_event_after_a_pause_starts_nothing(world: World) -> None:
    """
    A request that is the first event after a pause past the lease isn't dispatched.
    """
    entry = entry_of(world, "entry-a0")
    world.network.cuts.add(frozenset(("a", LOG)))
    entry.paused_until_s = world.now_s + 60.0
    advance(world, 60.0)
    entry.held.clear()
    before = len(world.runs)
    submit(world, entry, QUEUE, "late", key=key_text("judges"), team=JUDGES)
    advance(world, 0.05)
    assert len(world.runs) == before


def test_leases_outlast_a_log_outage(world: World) -> None:
    """
    With the log out for minutes and the zones in touch, holders go on with what they hold.
    """
    drive(world, 5.0, ["entry-a0", "entry-b0"])
    world.log.outage = True
    assert drive(world, 180.0, ["entry-a0", "entry-b0"]) == []
    assert running(world) >= LIMIT - 1


def test_isolated_zone_stops_and_its_units_are_used(world: World) -> None:
    """
    A zone cut off from everything stops after its lease; others then use its units but for what
    endpoints there may run.
    """
    drive(world, 5.0, ["entry-a0", "entry-b0"])
    cut_off(world, "a")
    assert drive(world, 60.0, ["entry-a0", "entry-b0"]) == []
    entry = entry_of(world, "entry-a0")
    assert _limits.usable_units(entry.state, entry.state.fold.config.teams[JUDGES]) == 0
    assert "entry-a0" not in entry_of(world, "entry-b0").state.fold.allowances.holders


def test_lowered_limit_holds_while_a_zone_is_cut(world: World) -> None:
    """
    A limit lowered while a zone is cut off is in force everywhere once the zone's lease ended.
    """
    drive(world, 5.0, ["entry-a0", "entry-b0"])
    cut_off(world, "a")
    publish(world, fleet_document((TeamPlan("judges", 1.0, 4),)), 1)
    drive(world, 33.0, ["entry-a0", "entry-b0"])
    assert drive(world, 40.0, ["entry-a0", "entry-b0"], limit=4) == []
    world.network.cuts.clear()
    assert drive(world, 20.0, ["entry-a0", "entry-b0"], limit=4) == []
    assert running(world) >= 3


def lower_under_load(world: World) -> list[str]:
    """
    Lower the limit while the team uses all of it; give what the rule finds at any step.
    """
    drive(world, 5.0, ["entry-a0", "entry-b0"])
    assert running(world) > LOWER_LIMIT
    publish(world, fleet_document((TeamPlan("judges", 1.0, LOWER_LIMIT),)), 1)
    found: list[str] = []
    is_over = False
    until_s = world.now_s + 5.0
    while world.now_s < until_s:
        drive(world, STEP_S, ["entry-a0", "entry-b0"])
        found += limit_holds(world)
        is_over = is_over or running(world) > (largest_limit(world, JUDGES) or 0)
    assert is_over
    return found


# Guards against a check that counts work sent before a lower limit was in force.
def test_work_sent_before_a_lower_limit_may_go_on(world: World) -> None:
    """
    Work that was sent within the limit then in force may go on under a lower one.
    """
    assert lower_under_load(world) == []
    result = run_schedule(102409)
    assert result.violations == (), result.violations


def test_lowered_limits_are_checked(world: World) -> None:
    """
    Mutation: holders go on with units beyond the lowered limit, and the check shows it.
    """

    def all_held(state, team):
        allowance = state.fold.allowances.teams.get(team.name)
        own = _limits.holder_key(state.identity.sender)
        return allowance.held.get(own, 0) if allowance is not None else 0

    with patch.object(_limits, "held_units", all_held):
        assert lower_under_load(world) != []


def test_each_start_beyond_the_limit_of_its_time_is_found(world: World) -> None:
    """
    One start more than the limit that was in force at its dispatch breaks the rule, also beside
    work that was sent under a higher limit.
    """
    endpoint = world.endpoints["ep-a0"]
    former = [Run(str(n), "x", JUDGES, "", "ep-a0", 1, 1, 0, LIMIT + 3) for n in range(LIMIT + 3)]
    endpoint.running = {run.attempt: run for run in former}
    assert list(limit_holds(world)) == []
    for limit in (LIMIT, LIMIT + 3, None):
        late = Run("late", "x", JUDGES, "", "ep-a0", 2, 2, 0, limit)
        endpoint.running = {run.attempt: run for run in (late, *former)}
        assert len(list(limit_holds(world))) == 1, limit


def test_leaver_hands_back(world: World) -> None:
    """
    An instance that stops gracefully hands its units back before it ends.
    """
    entry = entry_of(world, "entry-a0")
    deliver(world, entry, events.StopRequested())
    advance(world, 3.0)
    fold = entry_of(world, "entry-b0").state.fold.allowances
    assert not entry.alive
    assert "entry-a0" not in fold.holders
    assert "entry-a0:1" not in fold.teams[JUDGES].held
    assert sum(fold.teams[JUDGES].held.values()) == LIMIT
