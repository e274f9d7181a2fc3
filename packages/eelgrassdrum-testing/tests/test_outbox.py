"""
Records of entry instances on their way into the log, with lost answers, caps and replaced writers.
"""

from collections.abc import Iterator
from unittest import mock

from eelgrassdrum_core import KEY_WITHDRAWN, Record, events
from eelgrassdrum_core import _fold as fold
from eelgrassdrum_core import _outbox as outbox
from eelgrassdrum_testing._harness import (
    Entry,
    World,
    advance,
    append,
    deliver,
    later,
    make_fleet,
    pause_entry,
    start_entry,
)

KIND = "test.noted"


def make_world() -> World:
    """
    Give a fleet of one instance in each of three zones.
    """
    return make_fleet(17)


def want(world: World, entry: Entry, number: int, kind: str = KIND) -> None:
    """
    Let an instance want a record.
    """
    body = {"workspace": "show", "key_id": f"k{number}", "number": number}
    base = None if kind == KEY_WITHDRAWN else 0
    subject = f"key/show/k{number}" if kind == KEY_WITHDRAWN else f"note/{number}"
    deliver(world, entry, events.RecordProposed(kind, subject, base, body))


def noted(entry: Entry) -> list[int]:
    """
    Give the numbers of the noted records in the order in which an instance took them.
    """
    kept = entry.state.fold.position.unknown.records
    return [stored.record.body["number"] for stored in kept]


def noted_once(entry: Entry, count: int) -> bool:
    """
    Tell whether an instance took each of the wanted records once, in order.
    """
    return noted(entry) == list(range(count))


def appends(world: World, kind: str = KIND) -> list[Record]:
    """
    Give all appended records of a kind.
    """
    return [record for record in world.log.records if record.kind == kind]


def no_repeats_known() -> Iterator[None]:
    """
    Let the fold take each record for a new one.
    """
    with mock.patch.object(fold, "_is_repeat", lambda mark, record_id: False):
        yield


FIXTURES = {"world": make_world, "no_repeats_known": no_repeats_known}


def test_lost_answers_lose_and_double_nothing(world: World) -> None:
    """
    With most answers lost, each record is taken once and in order, and none is appended again.
    """
    world.log.lose_answers = 0.7
    entry = world.entries["entry-a0"]
    for number in range(60):
        later(world, number * 0.2, lambda number=number: want(world, entry, number))
    advance(world, 60.0)
    assert all(noted_once(other, 60) for other in world.entries.values())
    assert len(appends(world)) == 60


def test_outages_lose_nothing(world: World) -> None:
    """
    Records wanted during outages are taken once and in order after them.
    """
    entry = world.entries["entry-a0"]
    world.log.lose_answers = 0.5
    for number in range(60):
        later(world, number * 0.2, lambda number=number: want(world, entry, number))
    for start in (2, 7):
        later(world, start, lambda: setattr(world.log, "outage", True))
        later(world, start + 3, lambda: setattr(world.log, "outage", False))
    advance(world, 60.0)
    assert all(noted_once(other, 60) for other in world.entries.values())


def test_expired_records_are_dropped_and_others_follow(world: World) -> None:
    """
    Records that outlive their validity in an outage are never appended; the others are taken.
    """
    entry = world.entries["entry-a0"]
    world.log.refuses_appends = True
    for number, valid_s in enumerate((2.0, 60.0, 2.0, 60.0)):
        body = {"number": number}
        event = events.RecordProposed(KIND, f"note/{number}", 0, body, valid_s)
        deliver(world, entry, event)
    advance(world, 5.0)
    world.log.refuses_appends = False
    advance(world, 10.0)
    assert noted(entry) == [1, 3]
    assert entry.state.outbox.lanes["normal"].expires_s == {}


def test_late_copy_of_an_append_is_no_second_record(world: World) -> None:
    """
    A copy that the log takes long after the first changes nothing, also for its writer.
    """
    entry = world.entries["entry-a0"]
    for number in range(3):
        want(world, entry, number)
    advance(world, 2.0)
    append(world, appends(world)[0])
    advance(world, 2.0)
    assert all(noted_once(other, 3) for other in world.entries.values())


def test_check_of_single_records_can_fail(world: World, no_repeats_known: None) -> None:
    """
    A fold that does not know repeats takes the late copy, and the check shows it.
    """
    entry = world.entries["entry-a0"]
    want(world, entry, 0)
    advance(world, 2.0)
    append(world, appends(world)[0])
    advance(world, 2.0)
    assert not noted_once(entry, 1)


def test_withdrawals_go_first(world: World) -> None:
    """
    A withdrawal that is wanted after many other records is in the log before most of them.
    """
    entry = world.entries["entry-a0"]
    for number in range(500):
        want(world, entry, number)
    want(world, entry, 500, KEY_WITHDRAWN)
    advance(world, 1.0)
    assert len(appends(world, KEY_WITHDRAWN)) == 1
    assert len(appends(world)) < 250


def test_appends_are_paced(world: World) -> None:
    """
    However much is wanted at once, all instances together stay below the platform's cap.
    """
    for entry in world.entries.values():
        for number in range(1000):
            want(world, entry, number)
    before = len(appends(world))
    advance(world, 5.0)
    appended = len(appends(world)) - before
    burst = outbox.BATCH_RECORDS * len(world.entries)
    assert 0 < appended <= 5 * outbox.FLEET_RECORDS_PER_S + burst


def test_replaced_writer_is_fenced(world: World) -> None:
    """
    A paused instance that was replaced meanwhile changes nothing afterwards, and stops.
    """
    old = world.entries["entry-a0"]
    want(world, old, 0)
    advance(world, 1.0)
    pause_entry(world, old, 10.0)
    new = start_entry(world, "entry-a0", "a", old.state.tuning)
    old.alive = True
    advance(world, 2.0)
    want(world, new, 1)
    advance(world, 9.0)
    want(world, old, 2)
    advance(world, 5.0)
    assert noted(new) == [0, 1]
    assert old.state.membership.superseded
    assert old.state.stopping or not old.alive


def test_full_outbox_refuses(world: World) -> None:
    """
    More records than the outbox holds are refused at once, and their number is not used up.
    """
    world.log.outage = True
    entry = world.entries["entry-a0"]
    for number in range(outbox.MAX_WAITING_RECORDS + 200):
        want(world, entry, number)
    lane = entry.state.outbox.lanes["normal"]
    assert len(lane.waiting) == outbox.MAX_WAITING_RECORDS
    taken = sum(record.kind == KIND for record in (*lane.in_flight, *lane.waiting))
    world.log.outage = False
    advance(world, 60.0)
    assert noted_once(entry, taken)
