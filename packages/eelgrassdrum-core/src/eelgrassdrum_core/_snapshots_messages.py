"""
Effects, events and messages about snapshots.
"""

from typing import NamedTuple

from ._snapshots_chunks import SnapshotChunk, StoredChunk
from ._wire import register_message


class ReadSnapshots(NamedTuple):
    """
    Read the snapshot stream.

    :param from_offset: first chunk wanted.
    :param limit: most chunks wanted.
    :param delay_s: seconds to wait before reading.
    """

    from_offset: int
    limit: int
    delay_s: float = 0.0


class AppendSnapshotChunks(NamedTuple):
    """
    Append chunks to the snapshot stream.

    :param chunks: the chunks, in order.
    """

    chunks: tuple[SnapshotChunk, ...]


class SnapshotsRead(NamedTuple):
    """
    A read of the snapshot stream was answered.

    :param chunks: the chunks read, in order.
    :param head: offset of the newest chunk, 0 when there is none.
    :param first: offset of the oldest chunk that is kept.
    """

    chunks: tuple[StoredChunk, ...]
    head: int
    first: int


class SnapshotsTruncated(NamedTuple):
    """
    The snapshot stream no longer keeps the offset that was asked for.

    :param first: oldest offset kept.
    :param head: newest offset.
    """

    first: int
    head: int


class SnapshotsUnavailable(NamedTuple):
    """
    A read of the snapshot stream failed.

    :param reason: what the adapter saw.
    """

    reason: str


class SnapshotChunksAppended(NamedTuple):
    """
    The log has taken chunks.

    :param first: offset of the first of them.
    """

    first: int


class SnapshotAppendFailed(NamedTuple):
    """
    Chunks were refused, or the answer was lost; appending them again does no harm.

    :param reason: what the adapter saw.
    """

    reason: str


@register_message
class StateAsked(NamedTuple):
    """
    Asks a peer for chunks of its state.

    :param snapshot: the snapshot begun with, or empty for a new one.
    :param first: number of the first chunk wanted.
    :param limit: most chunks wanted.
    """

    snapshot: str
    first: int
    limit: int


@register_message
class StateGiven(NamedTuple):
    """
    A chunk of a peer's state.

    :param chunk: the chunk.
    """

    chunk: SnapshotChunk
