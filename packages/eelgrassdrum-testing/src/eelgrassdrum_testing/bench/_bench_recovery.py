"""
How soon a new instance is ready at full size, in processor time of this machine.
"""

from collections.abc import Callable, Iterator
from time import perf_counter

import msgspec

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
    record_from_json,
    record_to_json,
    reduce,
)
from eelgrassdrum_core._log_follower import APPLIERS
from eelgrassdrum_core._snapshots_chunks import build_chunk, count_chunks
from eelgrassdrum_core._snapshots_codec import encode_snapshot

from .._full_state import CHANGES_PER_DAY, FleetSize, make_log
from ._measure import Bench, Measure, measure

SEED = 20
READY_BOUND_S = 5.0
TAIL_RECORDS = CHANGES_PER_DAY // 24
READ_RECORDS = 500


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
        msgspec.json.encode(chunk_to_json(build_chunk(raw, number)))
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


BENCHES: dict[str, Bench] = {"state_new_instance": new_instance}
