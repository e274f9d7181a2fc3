"""
State of creating snapshots and of starting from one.
"""

from typing import Literal

import msgspec

from ._log_state import NEVER_S
from ._snapshots_chunks import RawSnapshot, SnapshotChunk

Phase = Literal["new", "seeking", "whole"]
NEW: Phase = "new"
SEEKING: Phase = "seeking"
WHOLE: Phase = "whole"


class SnapshotSearch(msgspec.Struct):
    """
    The search for a usable snapshot.

    :param since_s: time at which it started.
    :param from_log: chunks read from the log, by snapshot and number.
    :param window_first: offset of the first requested chunk, or 0 before the head is known.
    :param window_last: offset of the last requested chunk.
    :param first: offset of the oldest chunk that the log keeps.
    :param log_failed: whether a read of the snapshot stream has failed.
    :param rejected: ids of snapshots that are unusable.
    :param from_peer: chunks from the peer that was asked, by number.
    :param peer: instance that was asked, or empty.
    :param peer_snapshot: id of the snapshot that the peer sends, or empty.
    :param peer_requested_s: time of the last request to the peer or the last chunk from it.
    :param peer_failures: number of peers that did not supply a usable state.
    """

    since_s: float = NEVER_S
    from_log: dict[str, dict[int, SnapshotChunk]] = msgspec.field(default_factory=dict)
    window_first: int = 0
    window_last: int = 0
    first: int = 1
    log_failed: bool = False
    rejected: set[str] = msgspec.field(default_factory=set)
    from_peer: dict[int, SnapshotChunk] = msgspec.field(default_factory=dict)
    peer: str = ""
    peer_snapshot: str = ""
    peer_requested_s: float = NEVER_S
    peer_failures: int = 0


class SnapshotUpload(msgspec.Struct):
    """
    A snapshot that is being appended to the snapshot stream.

    :param raw: the snapshot.
    :param next_number: number of the first chunk that is not yet appended.
    :param in_flight: chunks whose append is pending.
    :param not_before_s: time before which nothing is appended.
    :param failures: consecutive failed appends.
    """

    raw: RawSnapshot
    next_number: int = 0
    in_flight: tuple[SnapshotChunk, ...] = ()
    not_before_s: float = NEVER_S
    failures: int = 0


class SharedSnapshot(msgspec.Struct):
    """
    A snapshot that is kept for requests of peers.

    :param made_s: time at which it was built.
    :param raw: the snapshot, or ``None``.
    """

    made_s: float = NEVER_S
    raw: RawSnapshot | None = None


class SnapshotState(msgspec.Struct):
    """
    Snapshots at this instance.

    :param phase: progress of the start from a snapshot.
    :param search: the current search.
    :param reading: whether a read of the snapshot stream is pending or scheduled.
    :param search_count: searches since the fold last caught up.
    :param upload: the snapshot that is being appended, or ``None``.
    :param shared_snapshot: the snapshot that is kept for peers.
    :param seen_s: time at which the newest announcement was observed here.
    :param seen_offset: offset of that announcement.
    :param due_since_s: time since when a new snapshot is due, or -1.
    """

    phase: Phase = NEW
    search: SnapshotSearch = msgspec.field(default_factory=SnapshotSearch)
    reading: bool = False
    search_count: int = 0
    upload: SnapshotUpload | None = None
    shared_snapshot: SharedSnapshot = msgspec.field(default_factory=SharedSnapshot)
    seen_s: float = NEVER_S
    seen_offset: int = 0
    due_since_s: float = NEVER_S
