"""
The snapshot stream of the harness's log service.
"""

from collections.abc import Callable

from eelgrassdrum_core import (
    AppendSnapshotChunks,
    ReadSnapshots,
    SnapshotAppendFailed,
    SnapshotChunk,
    SnapshotChunksAppended,
    SnapshotsRead,
    SnapshotsTruncated,
    SnapshotsUnavailable,
    StoredChunk,
)

from ._log import CALL_TIMEOUT_S, is_refused
from ._world import World, later

Deliver = Callable[[object], None]


def read(world: World, zone: str, effect: ReadSnapshots, deliver: Deliver) -> None:
    """
    Answer a read after its delay.

    :param world: the world.
    :param zone: zone of the reader.
    :param effect: what is read.
    :param deliver: takes the answer.
    """

    def answer() -> None:
        log = world.log
        head = len(log.snapshots)
        if is_refused(world, zone):
            later(world, CALL_TIMEOUT_S, lambda: deliver(SnapshotsUnavailable("timeout")))
        elif effect.from_offset < log.first_snapshot:
            deliver(SnapshotsTruncated(log.first_snapshot, head))
        else:
            last = min(head, effect.from_offset + effect.limit - 1)
            found = tuple(
                StoredChunk(offset, _as_chunk(log.snapshots[offset - 1]))
                for offset in range(effect.from_offset, last + 1)
            )
            deliver(SnapshotsRead(found, head, log.first_snapshot))

    later(world, effect.delay_s + world.log.delay_s, answer)


def append(world: World, zone: str, effect: AppendSnapshotChunks, deliver: Deliver) -> None:
    """
    Append chunks after a delay, and answer unless the answer is lost.

    :param world: the world.
    :param zone: zone of the writer.
    :param effect: what is appended.
    :param deliver: takes the answer.
    """

    def take_effect() -> None:
        if is_refused(world, zone):
            later(world, CALL_TIMEOUT_S, lambda: deliver(SnapshotAppendFailed("timeout")))
            return
        first = len(world.log.snapshots) + 1
        world.log.snapshots.extend(effect.chunks)
        if world.rng.random() < world.log.lose_answers:
            later(world, CALL_TIMEOUT_S, lambda: deliver(SnapshotAppendFailed("closed")))
        else:
            deliver(SnapshotChunksAppended(first))

    later(world, world.log.delay_s, take_effect)


def _as_chunk(stored: object) -> SnapshotChunk | None:
    return stored if isinstance(stored, SnapshotChunk) else None
