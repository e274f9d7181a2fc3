"""
Fair shares over several entry instances.
"""

from collections.abc import Callable
from unittest.mock import patch

from eelgrassdrum_core import _fair_accounts, _fair_exchange, effects, events, reduce
from eelgrassdrum_core._fair_messages import ServedReported, ServiceRow
from eelgrassdrum_core._ids import Sender
from eelgrassdrum_testing._harness import (
    QUEUE,
    SERVICE,
    TeamPlan,
    World,
    advance,
    deliver,
    key_text,
    kill_entry,
    make_fleet,
    submit,
)

STEP_S = 0.05
TEAMS = (TeamPlan("many", 1.0, 99), TeamPlan("one", 1.0, 99))
# Instances that each team's callers meet.
HOMES = {"many": ("entry-a0", "entry-b0", "entry-b1", "entry-c0"), "one": ("entry-a1",)}


def make_world() -> World:
    """
    Give a fleet of six entry instances and six endpoints.
    """
    return make_fleet(9, entries_per_zone=2, slots=2, run_s=0.2, teams=TEAMS)


def overload(world: World, seconds: float) -> dict[str, float]:
    """
    Keep requests of both teams waiting; give each team's slot-seconds.
    """
    used = dict.fromkeys(HOMES, 0.0)
    for _ in range(round(seconds / STEP_S)):
        for team, names in HOMES.items():
            for name in names:
                entry = world.entries[name]
                for _ in range(10 - entry.state.fair.queued.get(QUEUE, 0)):
                    request_id = f"r{world.next_token}"
                    submit(world, entry, QUEUE, request_id, key=key_text(team), team=f"show/{team}")
        advance(world, STEP_S)
        for endpoint in world.endpoints.values():
            for run in endpoint.running.values():
                used[run.team.removeprefix("show/")] += STEP_S
    return used


def balance(used: dict[str, float]) -> float:
    """
    Give the smaller use divided by the larger.
    """
    return min(used.values()) / max(used.values())


FIXTURES: dict[str, Callable[[], object]] = {"world": make_world}


def test_team_at_one_instance_gets_its_share(world: World) -> None:
    """
    A team whose callers meet one instance is served as much as one that meets four.
    """
    overload(world, 5.0)
    assert balance(overload(world, 10.0)) > 0.9


def test_share_check_sees_a_missing_exchange(world: World) -> None:
    """
    Without aggregates of other instances the same check fails.
    """
    with patch.object(_fair_exchange, "_take", lambda *args, **kwargs: None):
        overload(world, 5.0)
        assert balance(overload(world, 10.0)) < 0.8


def test_slots_stay_in_use(world: World) -> None:
    """
    While requests wait, at least nine of ten slots are busy.
    """
    overload(world, 5.0)
    slots = sum(endpoint.slots for endpoint in world.endpoints.values())
    assert sum(overload(world, 10.0).values()) > 0.9 * slots * 10.0


def test_repeated_and_late_reports_count_once(world: World) -> None:
    """
    Totals that come twice or out of order are counted once.
    """
    entry = world.entries["entry-a0"]
    sender = Sender("entry-a1", 1, "a")

    def report(sequence: int, served_s: float) -> None:
        rows = (ServiceRow(SERVICE, "show/one", served_s, 1),)
        deliver(world, entry, events.PeerReceived(sender, ServedReported(sequence, rows)))

    report(1001, 50.0)
    account_s = entry.state.fair.services[SERVICE].teams["show/one"].virtual_s
    for sequence, served_s in ((1003, 54.0), (1002, 52.0), (1003, 54.0)):
        report(sequence, served_s)
    after_s = entry.state.fair.services[SERVICE].teams["show/one"].virtual_s
    assert after_s - account_s == 4.0


def starts_beside_a_mute_instance(world: World) -> int:
    """
    Let an instance say that requests wait there and use no slot; count starts at another.
    """
    entry = world.entries["entry-a0"]
    kill_entry(world, world.entries["entry-a1"])
    rows = (ServiceRow(SERVICE, "show/one", 0.0, 1000),)
    for sequence in range(400):
        message = ServedReported(10_000 + sequence, rows)
        deliver(world, entry, events.PeerReceived(Sender("entry-a1", 1, "a"), message))
        if entry.state.fair.queued.get(QUEUE, 0) < 5:
            name = f"r{world.next_token}"
            submit(world, entry, QUEUE, name, key=key_text("many"), team="show/many")
        advance(world, STEP_S)
    return len(world.runs)


def test_slots_are_not_left_to_a_mute_instance() -> None:
    """
    Slots that are left free and not used are taken again; without that many stay unused.
    """
    started = starts_beside_a_mute_instance(make_world())
    with patch.object(_fair_exchange, "HOLD_MAX_S", 1e9):
        stuck = starts_beside_a_mute_instance(make_world())
    assert started > 1.5 * stuck


def test_told_rows_are_bounded(world: World) -> None:
    """
    With hundreds of active teams an instance tells fewer rows a second than the bound, and some.
    """
    entry = world.entries["entry-a0"]
    teams = [f"show/t{number}" for number in range(300)]
    told = 0
    for _ in range(100):
        world.now_s += world.tick_s
        for name in teams:
            team = _fair_accounts.get_team_queue(entry.state.fair, SERVICE, name)
            team.active_at_s = world.now_s
        _, produced = reduce(entry.state, world.now_s, events.Ticked())
        messages = [effect.message for effect in produced if isinstance(effect, effects.SendPeer)]
        told += sum(len(message.rows) for message in messages if hasattr(message, "rows"))
    seconds = 100 * world.tick_s
    # Rows to the zone and rows to other zones each have the bound, and a first burst is free.
    assert 0 < told <= 2 * _fair_exchange.ROWS_PER_S * seconds + 4 * len(teams)
