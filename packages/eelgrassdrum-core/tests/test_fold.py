"""
Tests of the fold: determinism, upgrades between versions, concurrent writers and snapshots.
"""

from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdrum_core import Record, RecordId, Sender, StoredRecord, fold_record
from eelgrassdrum_core import _fold as fold_module
from eelgrassdrum_core._fold import LogPosition, apply_unknown_records
from eelgrassdrum_core._log_follower import APPLIERS
from eelgrassdrum_core._snapshots_chunks import ChunkError, build_chunk, join_chunks
from eelgrassdrum_core._snapshots_codec import SnapshotError, decode_snapshot, encode_snapshot
from eelgrassdrum_core._state import Fold

MAKER = Sender("a1", 1, "a")
WRITERS = ("op-1", "op-2", "op-3")


def apply_value(values: dict[str, int], offset: int, record: Record) -> str:
    """
    Apply a record of the kinds that exist only in these tests.
    """
    if record.body["value"] < 0:
        return "negative"
    values[record.subject] = record.body["value"]
    return ""


NEWER = {"old": apply_value, "new": apply_value}
OLDER = {"old": apply_value}

record_lists = st.lists(
    st.builds(
        lambda writer, incarnation, sequence, kind, subject, base, value: Record(
            RecordId(writer, incarnation, sequence),
            kind,
            f"{kind}/{subject}",
            base,
            {"value": value},
        ),
        st.sampled_from(WRITERS),
        st.integers(1, 2),
        st.integers(1, 6),
        st.sampled_from(("old", "new")),
        st.sampled_from("xy"),
        st.integers(0, 12),
        st.integers(-1, 5),
    ),
    max_size=25,
)


def fold_all(
    position: LogPosition, appliers: dict[str, Any], values: dict[str, int], records: list[Record]
) -> None:
    """
    Fold records from the next offset of the position.
    """
    for record in records:
        fold_record(position, appliers, values, StoredRecord(position.next_offset, record))


def round_trip(value: Any) -> Any:
    """
    Return a copy of a value, made by encoding and decoding it as in a snapshot.
    """
    return msgspec.msgpack.decode(msgspec.msgpack.encode(value), type=type(value))


@settings(max_examples=200, derandomize=True, deadline=None, report_multiple_bugs=False)
@given(record_lists, st.integers(0, 25))
def check_upgrade(records: list[Record], split: int) -> None:
    """
    Fold with an older version up to the split, continue with a newer one, and compare.
    """
    direct, direct_values = LogPosition(), {}
    fold_all(direct, NEWER, direct_values, records)
    upgraded, values = LogPosition(), {}
    fold_all(upgraded, OLDER, values, records[:split])
    upgraded = round_trip(upgraded)
    apply_unknown_records(upgraded, NEWER, values)
    fold_all(upgraded, NEWER, values, records[split:])
    assert values == direct_values
    assert upgraded.revisions == direct.revisions
    assert upgraded.decisions == direct.decisions


def test_upgrade_gives_the_same_fold() -> None:
    """
    A newer version that starts from an older version's fold gets the same fold as from the log.
    """
    check_upgrade()


def test_upgrade_check_can_fail() -> None:
    """
    The upgrade check fails when records of unknown kinds are not retained.
    """
    original = fold_module._retain_unknown
    fold_module._retain_unknown = lambda unknown, stored: None
    try:
        check_upgrade()
    except AssertionError:
        return
    finally:
        fold_module._retain_unknown = original
    raise AssertionError("the check did not fail")


@settings(max_examples=200, derandomize=True, deadline=None)
@given(record_lists)
def check_no_lost_update(records: list[Record]) -> None:
    """
    Check that each accepted record builds on the previously accepted one of its subject.
    """
    position, values = LogPosition(), {}
    last: dict[str, int] = {}
    for record in records:
        decision = fold_record(position, NEWER, values, StoredRecord(position.next_offset, record))
        assert decision is not None
        if decision.accepted:
            assert record.base == last.get(record.subject, 0)
            last[record.subject] = decision.offset


def test_concurrent_writers_lose_no_update() -> None:
    """
    Of concurrent updates of a subject only one is accepted, so no update is lost.
    """
    check_no_lost_update()


def test_unknown_records_are_bounded() -> None:
    """
    Beyond the limit the oldest unknown records are dropped and counted by kind in ``lost``.
    """
    position, values = LogPosition(), {}
    count = fold_module.UNKNOWN_RECORDS_KEPT + 10
    for number in range(1, count + 1):
        record = Record(RecordId("w", 1, number), "new", f"new/{number}", 0, {"value": 1})
        fold_all(position, OLDER, values, [record])
    assert len(position.unknown.records) == fold_module.UNKNOWN_RECORDS_KEPT
    assert position.unknown.lost == {"new": 10}
    assert position.unknown.total_bytes == sum(position.unknown.sizes)


def test_snapshot_gives_the_fold_back() -> None:
    """
    The fold of all domains survives encoding, splitting into chunks and reassembly.
    """
    folded = make_fold()
    raw = encode_snapshot(folded, APPLIERS, MAKER)
    chunks = {0: build_chunk(raw, 0)}
    assert decode_snapshot(join_chunks(chunks), APPLIERS) == folded


def test_damaged_snapshots_are_refused() -> None:
    """
    Corrupt or missing chunks raise `ChunkError`; a wrong offset or layout raises `SnapshotError`.
    """
    raw = encode_snapshot(make_fold(), APPLIERS, MAKER)
    chunk = build_chunk(raw, 0)
    damaged = (
        {0: chunk._replace(data=chunk.data[:-1] + bytes([chunk.data[-1] ^ 1]))},
        {0: chunk._replace(total_checksum=chunk.total_checksum + 1)},
        {1: chunk._replace(number=1)},
        {0: chunk._replace(chunks=2)},
    )
    assert [does_raise(ChunkError, lambda c=c: join_chunks(c)) for c in damaged] == [True] * 4
    newer = raw._replace(data=raw.data.replace(b"format\x01", b"format\x02"))
    unreadable = (raw._replace(offset=raw.offset + 1), newer, raw._replace(data=b"\xc1"))
    refused = [
        does_raise(SnapshotError, lambda r=r: decode_snapshot(r, APPLIERS)) for r in unreadable
    ]
    assert refused == [True] * 3


def does_raise(error: type[Exception], action: Any) -> bool:
    """
    Return whether an action raises the given error.
    """
    try:
        action()
    except error:
        return True
    return False


def make_fold() -> Fold:
    """
    Build a fold with a key, a withdrawn key, a rejected record and a record of an unknown kind.
    """
    folded = Fold()
    grant = {"workspace": "show", "team": "t", "digest": "0" * 64, "queues": []}
    records = [
        Record(RecordId("op", 1, 1), "key.granted", "key/show/k1", 0, {**grant, "key_id": "k1"}),
        Record(RecordId("op", 1, 2), "key.granted", "key/show/k2", 9, {**grant, "key_id": "k2"}),
        Record(
            RecordId("op", 1, 3),
            "key.withdrawn",
            "key/show/k3",
            None,
            {"workspace": "show", "key_id": "k3"},
        ),
        Record(RecordId("op", 1, 4), "newer.kind", "newer/1", 0, {"value": 1}),
    ]
    for record in records:
        stored = StoredRecord(folded.position.next_offset, record)
        fold_record(folded.position, APPLIERS, folded, stored)
    return folded
