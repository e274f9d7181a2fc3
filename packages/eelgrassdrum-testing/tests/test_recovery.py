"""
Starting from snapshots and from peers, and snapshots made in time, over several instances.
"""

from unittest import mock

from eelgrassdrum_core import KEY_GRANTED, Tuning, _snapshots_maker, refusals
from eelgrassdrum_core import _snapshots_codec as codec
from eelgrassdrum_testing._harness import (
    LOG,
    QUEUE,
    Entry,
    World,
    advance,
    key_text,
    kill_entry,
    make_fleet,
    operator_append,
    start_entry,
    submit,
)

TUNING = Tuning(entry_instances=6, snapshot_interval_s=1e6, snapshot_records=50)


def grant_many(world: World, first: int, count: int) -> None:
    """
    Append records that are large enough for several chunks.
    """
    for number in range(first, first + count):
        body = {
            "workspace": "show",
            "key_id": f"k{number}",
            "team": "judges",
            "digest": f"{number:064x}",
            "queues": [],
        }
        operator_append(world, KEY_GRANTED, f"key/show/k{number}", 0, body)


def make_world() -> World:
    """
    Give a fleet of three zones with two entry instances in each, and no snapshot yet.
    """
    return make_fleet(5, entries_per_zone=2, tuning=TUNING)


def make_snapshot_world() -> World:
    """
    Give a fleet whose log has dropped what the newest snapshot holds.
    """
    world = make_fleet(5, entries_per_zone=2, tuning=TUNING)
    with mock.patch("eelgrassdrum_core._snapshots_chunks.CHUNK_BYTES", 4096):
        grant_many(world, 0, 60)
        advance(world, 30.0)
    drop_folded(world)
    return world


def drop_folded(world: World) -> None:
    """
    Let the log drop every record that the newest snapshot holds.
    """
    world.log.first = world.entries["entry-a0"].state.fold.snapshots.offset + 1


def start_new(world: World, zone: str = "b") -> Entry:
    """
    Start one more instance.
    """
    return start_entry(world, f"entry-{zone}9", zone, TUNING)


def lines(world: World, entry: Entry, action: str) -> int:
    """
    Count an instance's log lines of one kind.
    """
    return sum(line[:2] == (entry.id, action) for line in world.log_lines)


def seconds_until_whole(world: World, entry: Entry, at_most_s: float = 20.0) -> float:
    """
    Let time pass until an instance is ready.
    """
    began_s = world.now_s
    while not entry.state.log.caught_up:
        advance(world, 0.1)
        assert world.now_s - began_s < at_most_s, "never whole"
    return world.now_s - began_s


def is_like_others(world: World, entry: Entry) -> bool:
    """
    Tell whether an instance's fold equals that of another.
    """
    return entry.state.fold == world.entries["entry-a0"].state.fold


def refusal_of(world: World, entry: Entry) -> str:
    """
    Give the code with which an instance refuses a request at once.
    """
    token = submit(world, entry, QUEUE, "early", key=key_text("judges"), team="show/judges")
    [outcome] = [outcome for outcome in world.outcomes if outcome.token == token]
    assert outcome.refusal is not None
    return outcome.refusal.code.name


FIXTURES = {"world": make_world, "snapshots": make_snapshot_world}


def test_one_instance_makes_the_snapshot(snapshots: World) -> None:
    """
    When enough records have come, one instance makes a snapshot of several chunks for all.
    """
    made = [line[0] for line in snapshots.log_lines if line[1] == "snapshot.made"]
    assert len(made) == 1
    assert len(snapshots.log.snapshots) > 1
    assert all(entry.state.fold.snapshots.offset > 60 for entry in snapshots.entries.values())


def test_next_instance_takes_over(world: World) -> None:
    """
    When the chosen instance has just died, another one makes the snapshot.
    """
    [chosen] = [e for e in world.entries.values() if _snapshots_maker._own_rank(e.state) == 0]
    kill_entry(world, chosen)
    grant_many(world, 0, 60)
    advance(world, 40.0)
    made = [line[0] for line in world.log_lines if line[1] == "snapshot.made"]
    assert len(made) == 1
    assert made != [chosen.id]


def test_new_instance_starts_from_snapshot_and_tail(snapshots: World) -> None:
    """
    With the records of the snapshot dropped, a new instance has the same fold as the others.
    """
    grant_many(snapshots, 60, 10)
    entry = start_new(snapshots)
    assert refusal_of(snapshots, entry) == refusals.NOT_READY.name
    assert seconds_until_whole(snapshots, entry) <= 5.0
    advance(snapshots, 1.0)
    assert is_like_others(snapshots, entry)


def test_corrupt_chunk_is_skipped_for_an_older_snapshot(snapshots: World) -> None:
    """
    A newer snapshot with one corrupt chunk is left alone, with a log line.
    """
    grant_many(snapshots, 60, 60)
    older = len(snapshots.log.snapshots)
    advance(snapshots, 30.0)
    assert len(snapshots.log.snapshots) > older
    broken = snapshots.log.snapshots[older]
    snapshots.log.snapshots[older] = broken._replace(data=broken.data[:-1] + b"?")
    entry = start_new(snapshots)
    seconds_until_whole(snapshots, entry)
    advance(snapshots, 2.0)
    assert lines(snapshots, entry, "snapshot.skipped") == 1
    assert is_like_others(snapshots, entry)


def test_partial_and_foreign_chunks_are_skipped(snapshots: World) -> None:
    """
    A snapshot whose maker died half way, and things that are no chunks, do no harm.
    """
    last = snapshots.log.snapshots[-1]
    snapshots.log.snapshots += [last._replace(snapshot="partial", offset=10**6, number=0), "?"]
    entry = start_new(snapshots)
    seconds_until_whole(snapshots, entry)
    advance(snapshots, 1.0)
    assert is_like_others(snapshots, entry)


def test_search_goes_back_past_many_chunks(snapshots: World) -> None:
    """
    The newest whole snapshot is found behind more chunks of partial ones than one read gives.
    """
    last = snapshots.log.snapshots[-1]
    junk = [last._replace(snapshot=f"partial{n}", offset=10**6 + n) for n in range(100)]
    snapshots.log.snapshots += junk
    entry = start_new(snapshots)
    seconds_until_whole(snapshots, entry)
    advance(snapshots, 1.0)
    assert is_like_others(snapshots, entry)


def test_without_log_the_state_comes_from_a_peer(snapshots: World) -> None:
    """
    With the log out, a new instance takes a peer's state with its offset, and is ready.
    """
    snapshots.log.outage = True
    advance(snapshots, 5.0)
    entry = start_new(snapshots)
    assert seconds_until_whole(snapshots, entry) <= 5.0
    assert is_like_others(snapshots, entry)
    snapshots.log.outage = False
    grant_many(snapshots, 200, 5)
    advance(snapshots, 5.0)
    assert is_like_others(snapshots, entry)


def test_without_snapshots_the_state_comes_from_a_peer(snapshots: World) -> None:
    """
    When the log has dropped records and holds no snapshot, a peer's state still helps.
    """
    snapshots.log.snapshots.clear()
    entry = start_new(snapshots)
    assert refusal_of(snapshots, entry) == refusals.NOT_READY.name
    seconds_until_whole(snapshots, entry)
    advance(snapshots, 1.0)
    assert is_like_others(snapshots, entry)


def test_alone_without_log_it_is_never_ready(snapshots: World) -> None:
    """
    An instance that finds neither log nor peers says that it is not ready, for as long as it lasts.
    """
    for entry in list(snapshots.entries.values()):
        kill_entry(snapshots, entry)
    snapshots.log.outage = True
    entry = start_new(snapshots)
    advance(snapshots, 60.0)
    assert refusal_of(snapshots, entry) == refusals.NOT_READY.name


def test_peer_that_dies_in_the_transfer_is_replaced(snapshots: World) -> None:
    """
    When the asked peer dies half way, another one is asked from the start.
    """
    snapshots.log.outage = True
    advance(snapshots, 2.0)
    entry = start_new(snapshots)
    with mock.patch("eelgrassdrum_core._snapshots_chunks.CHUNK_BYTES", 1024):
        while not entry.state.snapshots.search.from_peer:
            advance(snapshots, 0.001)
        kill_entry(snapshots, snapshots.entries[entry.state.snapshots.search.peer])
        assert not entry.state.log.caught_up
        seconds_until_whole(snapshots, entry)
    assert entry.state.snapshots.search.peer == ""


def test_fallen_behind_instance_recovers(snapshots: World) -> None:
    """
    An instance whose next record was dropped while it was cut off takes a snapshot.
    """
    entry = snapshots.entries["entry-c0"]
    cuts = {frozenset(("c", other)) for other in ("a", "b", LOG)}
    snapshots.network.cuts |= cuts
    grant_many(snapshots, 60, 60)
    advance(snapshots, 40.0)
    drop_folded(snapshots)
    snapshots.network.cuts -= cuts
    advance(snapshots, 20.0)
    assert entry.state.log.caught_up
    assert is_like_others(snapshots, entry)


def test_newer_makers_snapshot_is_left_alone(snapshots: World) -> None:
    """
    A snapshot whose maker knew more kinds of records is skipped, and an older one is used.
    """
    grant_many(snapshots, 60, 60)
    encode = codec.encode_snapshot

    def encode_newer(fold: object, appliers: dict, maker: object) -> object:
        return encode(fold, {**appliers, "newer.kind": None}, maker)

    with mock.patch("eelgrassdrum_core._snapshots_maker.encode_snapshot", encode_newer):
        advance(snapshots, 30.0)
    entry = start_new(snapshots)
    seconds_until_whole(snapshots, entry)
    advance(snapshots, 2.0)
    assert lines(snapshots, entry, "snapshot.skipped") == 1
    assert is_like_others(snapshots, entry)
