"""
State of making snapshots and of starting from one.
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

    :param since_s: time at which it began.
    :param from_log: chunks read from the log, by snapshot and number.
    :param window_first: offset of the first chunk asked for, or 0 before the head is known.
    :param window_last: offset of the last chunk asked for.
    :param first: oldest chunk that the log keeps.
    :param log_failed: whether a read of the snapshot stream has failed.
    :param rejected: snapshots that were found unusable.
    :param from_peer: chunks from the peer that was asked, by number.
    :param peer: instance that was asked, or empty.
    :param peer_snapshot: snapshot that the peer gives, or empty.
    :param peer_requested_s: time of the last question.
    :param peer_failures: questions without an answer.
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
    The snapshot that is being appended.

    :param raw: the snapshot.
    :param next_number: first chunk not yet appended.
    :param in_flight: chunks whose append is awaited.
    :param not_before_s: time before which nothing is appended.
    :param failures: failed appends in a row.
    """

    raw: RawSnapshot
    next_number: int = 0
    in_flight: tuple[SnapshotChunk, ...] = ()
    not_before_s: float = NEVER_S
    failures: int = 0


class SharedSnapshot(msgspec.Struct):
    """
    The snapshot that is kept ready for peers.

    :param made_s: time of making.
    :param raw: the snapshot, or ``None``.
    """

    made_s: float = NEVER_S
    raw: RawSnapshot | None = None


class SnapshotState(msgspec.Struct):
    """
    Snapshots at this instance.

    :param phase: how far the start has come.
    :param search: the search, while it goes on.
    :param reading: whether a read of the snapshot stream is awaited or scheduled.
    :param search_count: searches since the fold was last whole.
    :param upload: the snapshot that is being appended, or ``None``.
    :param shared_snapshot: the snapshot for peers.
    :param seen_s: time at which the newest announcement was folded here.
    :param seen_offset: offset of that announcement.
    :param due_since_s: time since which a new snapshot is due, or -1.
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
