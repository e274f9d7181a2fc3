"""
How soon changes are in force, how soon a new instance is ready, and what that costs the log.

Times between instances are virtual: the harness gives the delays of the network and of the log.
Times of decoding and folding are those of this machine.
"""

from collections.abc import Callable, Iterator
from time import perf_counter

import msgspec
import numpy as np

from eelgrassdrum_core import (
    Identity,
    Sender,
    SnapshotsRead,
    State,
    StoredChunk,
    StoredRecord,
    Tuning,
    chunk_from_json,
    chunk_to_json,
    events,
    new_state,
    proof_age_s,
    record_from_json,
    record_to_json,
    reduce,
)
from eelgrassdrum_core._log_follower import APPLIERS
from eelgrassdrum_core._snapshots_chunks import count_chunks, cut_chunk
from eelgrassdrum_core._snapshots_codec import encode_snapshot

from .._full_state import CHANGES_PER_DAY, FleetSize, make_log
from .._harness import (
    LOG,
    WORKSPACE,
    World,
    advance,
    fleet_document,
    make_fleet,
    publish,
    withdraw_key,
)
from ._measure import Bench, Measure, measure

SEED = 20
ENTRIES_PER_ZONE = 3
STEP_S = 0.05
CHANGES = 40
WAIT_S = 20.0
IN_FORCE_BOUND_S = 9.0
WITHDRAWAL_BOUND_S = 5.0
READY_BOUND_S = 5.0
TAIL_RECORDS = CHANGES_PER_DAY // 24
READ_RECORDS = 500


def config_in_force() -> Iterator[Measure]:
    """
    Time from a document's place in the log until an instance has it in force.

    :returns: the 99th percentile over changes and instances, healthy and with faults.
    """
    healthy = float(np.percentile(_roll_out(_leave_healthy), 99))
    hindered = float(np.percentile(_roll_out(_slow_and_relayed), 99))
    yield measure("config_in_force_p99", healthy, "s", at_most=2.0)
    yield measure("config_in_force_slow_relayed_p99", hindered, "s", at_most=IN_FORCE_BOUND_S)


def key_withdrawn() -> Iterator[Measure]:
    """
    Time from a withdrawal until the last instance refuses the key.

    :returns: the longest time over seeds, healthy, relayed and with the log out.
    """
    cases = {
        "": _leave_healthy,
        "_slow_relayed": _slow_and_relayed,
        "_log_out": _take_log_out,
    }
    for suffix, hinder in cases.items():
        slowest = max(_withdraw(SEED + number, hinder) for number in range(5))
        yield measure(f"key_withdrawn{suffix}_max", slowest, "s", at_most=WITHDRAWAL_BOUND_S)


def freshness() -> Iterator[Measure]:
    """
    Age of the newest proof of freshness against the bound on it.

    :returns: the oldest age seen in each condition, and the time until a cut-off zone stops.
    """
    bound_s = Tuning().key_freshness_s
    cases = {
        "": _leave_healthy,
        "_slow_relayed": _slow_and_relayed,
        "_log_out": _take_log_out,
        "_log_out_tenth_lost": _lose_messages,
    }
    for suffix, hinder in cases.items():
        world = _make_world(SEED)
        hinder(world)
        yield measure(f"proof_age{suffix}_max", _oldest_proof(world), "s", at_most=bound_s)
    world = _make_world(SEED)
    _cut_off(world, "c")
    yield measure("cut_off_zone_stops", _seconds_until_stopped(world), "s", at_most=5.0)


def new_instance() -> Iterator[Measure]:
    """
    Processor time from the first byte of the log to a whole fold, at full size.

    :returns: the time from a snapshot and an hour's tail, against the replay of everything.
    """
    records = list(make_log(FleetSize()))
    encoded = [msgspec.json.encode(_to_json(stored)) for stored in records]
    replayed, replay_s = _timed(lambda: _replay(encoded))
    raw = encode_snapshot(replayed.fold, APPLIERS, replayed.identity.sender)
    chunks = [
        msgspec.json.encode(chunk_to_json(cut_chunk(raw, number)))
        for number in range(count_chunks(raw))
    ]
    tail = [_tail_record(replayed, number) for number in range(TAIL_RECORDS)]
    started, start_s = _timed(lambda: _start_from(chunks, tail))
    if started.fold.position.next_offset != replayed.fold.position.next_offset + TAIL_RECORDS:
        raise RuntimeError("the started instance is not whole")
    yield measure("new_instance_ready", start_s, "s", at_most=READY_BOUND_S)
    yield measure("new_instance_against_replay", start_s, "s", baseline=replay_s, at_most=0.5)
    yield measure("fold_rate", len(records) / replay_s, "records/s", at_least=1000)
    yield measure("snapshot_size", sum(map(len, chunks)) / 1e6, "MB", at_most=8.0)


def log_appends() -> Iterator[Measure]:
    """
    Records that the system itself appends, beside those of the operators.

    :returns: records for each change of configuration, and records a second at rest.
    """
    world = _make_world(SEED)
    before = world.log.appended
    _publish_many(world, CHANGES)
    own = world.log.appended - before - CHANGES
    yield measure("appends_per_change", own / CHANGES, "records", at_most=1.0)
    before = world.log.appended
    advance(world, 60.0)
    yield measure("appends_at_rest", (world.log.appended - before) / 60.0, "records/s", at_most=5.0)


def _make_world(seed: int) -> World:
    return make_fleet(seed, entries_per_zone=ENTRIES_PER_ZONE, settle_s=8.0)


def _leave_healthy(world: World) -> None:
    """
    Bring about no fault.
    """


def _slow_and_relayed(world: World) -> None:
    world.log.delay_s = 0.5
    world.network.cuts |= {frozenset(("c", LOG)), frozenset(("c", "a"))}
    advance(world, 10.0)


def _take_log_out(world: World) -> None:
    world.log.outage = True
    advance(world, 10.0)


def _lose_messages(world: World) -> None:
    world.log.outage = True
    world.network.drop = 0.1
    advance(world, 10.0)


def _cut_off(world: World, zone: str) -> None:
    others = {entry.zone for entry in world.entries.values()} - {zone}
    world.network.cuts |= {frozenset((zone, other)) for other in (*others, LOG)}


def _roll_out(hinder: Callable[[World], None]) -> list[float]:
    world = _make_world(SEED)
    hinder(world)
    return _publish_many(world, CHANGES)


def _publish_many(world: World, count: int) -> list[float]:
    times = []
    for _ in range(count):
        subject = f"document/{WORKSPACE}"
        entries = list(world.entries.values())
        base = max(entry.state.fold.position.revisions.get(subject, 0) for entry in entries)
        began_s = world.now_s
        offset = publish(world, fleet_document(), base)
        waiting = set(world.entries)
        while waiting and world.now_s - began_s < WAIT_S:
            advance(world, STEP_S)
            done = {n for n in waiting if _has_in_force(world, n, subject, offset)}
            times += [world.now_s - began_s] * len(done)
            waiting -= done
        times += [WAIT_S] * len(waiting)
        advance(world, world.rng.random())
    return times


def _has_in_force(world: World, entry: str, subject: str, offset: int) -> bool:
    return world.entries[entry].state.fold.position.revisions.get(subject, 0) >= offset


def _withdraw(seed: int, hinder: Callable[[World], None]) -> float:
    world = _make_world(seed)
    hinder(world)
    began_s = world.now_s
    withdraw_key(world, "members")
    name = f"{WORKSPACE}/members-key"
    while world.now_s - began_s < WAIT_S:
        advance(world, STEP_S)
        states = [entry.state for entry in world.entries.values()]
        if all(name in s.freshness.withdrawn or name in s.fold.keys.withdrawn for s in states):
            break
    return world.now_s - began_s


def _oldest_proof(world: World) -> float:
    ages = []
    for _ in range(600):
        advance(world, STEP_S)
        ages += [proof_age_s(entry.state) for entry in world.entries.values()]
    return max(ages)


def _seconds_until_stopped(world: World) -> float:
    began_s = world.now_s
    bound_s = Tuning().key_freshness_s
    cut = [entry.state for entry in world.entries.values() if entry.zone == "c"]
    while any(proof_age_s(state) <= bound_s for state in cut) and world.now_s - began_s < WAIT_S:
        advance(world, STEP_S)
    return world.now_s - began_s


def _timed(action: Callable[[], State]) -> tuple[State, float]:
    began_s = perf_counter()
    state = action()
    return state, perf_counter() - began_s


def _new_state() -> State:
    identity = Identity(Sender("entry-new", 1, "a"), "entry-new", "entry-new")
    return new_state(identity, Tuning())


def _replay(encoded: list[bytes]) -> State:
    state = _new_state()
    for first in range(0, len(encoded), READ_RECORDS):
        stored = tuple(_from_json(data) for data in encoded[first : first + READ_RECORDS])
        reduce(state, 0.0, events.LogRead(stored, len(encoded)))
    return state


def _start_from(chunks: list[bytes], tail: list[bytes]) -> State:
    state = _new_state()
    reduce(state, 0.0, events.Started(SEED))
    reduce(state, 0.0, SnapshotsRead((), len(chunks), 1))
    stored = tuple(
        StoredChunk(number, chunk_from_json(msgspec.json.decode(data)))
        for number, data in enumerate(chunks, 1)
    )
    reduce(state, 0.0, SnapshotsRead(stored, len(chunks), 1))
    for first in range(0, len(tail), READ_RECORDS):
        records = tuple(_from_json(data) for data in tail[first : first + READ_RECORDS])
        reduce(state, 0.0, events.LogRead(records, records[-1].offset))
    return state


def _to_json(stored: StoredRecord) -> dict[str, object]:
    record = None if stored.record is None else record_to_json(stored.record)
    return {"offset": stored.offset, "record": record}


def _from_json(data: bytes) -> StoredRecord:
    item = msgspec.json.decode(data)
    return StoredRecord(item["offset"], record_from_json(item["record"]))


def _tail_record(state: State, number: int) -> bytes:
    log = make_log(FleetSize(changes=0))
    first = next(log).record
    offset = state.fold.position.next_offset + number
    if first is None:
        raise RuntimeError("the log begins with no record")
    revisions = state.fold.position.revisions
    base = revisions[first.subject] if number == 0 else offset - 1
    record_id = first.id._replace(writer="operator-2", sequence=number + 1)
    record = first._replace(id=record_id, base=base)
    return msgspec.json.encode(_to_json(StoredRecord(offset, record)))


BENCHES: dict[str, Bench] = {
    "state_config_in_force": config_in_force,
    "state_key_withdrawn": key_withdrawn,
    "state_freshness": freshness,
    "state_new_instance": new_instance,
    "state_log_appends": log_appends,
}
