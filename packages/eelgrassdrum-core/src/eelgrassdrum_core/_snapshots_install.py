"""
Replaces the fold by a snapshot.
"""

from collections.abc import Iterator

from ._effects import Emit, WriteLog
from ._log_follower import APPLIERS
from ._log_state import FoldReplaced, LogTail
from ._snapshots_chunks import RawSnapshot
from ._snapshots_codec import decode_snapshot
from ._state import State


def install(state: State, raw: RawSnapshot) -> Iterator[object]:
    """
    Replace the fold if the snapshot is newer.

    :param state: the state.
    :param raw: the snapshot.
    :returns: effects that notify the domains.
    :raises SnapshotError: when this version cannot use it.
    """
    fold = decode_snapshot(raw, APPLIERS)
    if fold.position.next_offset <= state.fold.position.next_offset:
        return
    state.fold = fold
    state.tail = LogTail()
    state.snapshots.seen_s = state.now_s
    state.snapshots.seen_offset = fold.snapshots.announced
    fields = {"snapshot": raw.snapshot, "size_bytes": len(raw.data)}
    yield WriteLog("snapshot.installed", fields)
    yield Emit(FoldReplaced())
