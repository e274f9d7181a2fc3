"""
Effects, events and peer messages about snapshots.
"""

from typing import NamedTuple

from ._snapshots_chunks import SnapshotChunk, StoredChunk
from ._wire import register_message


class ReadSnapshots(NamedTuple):
    """
    Read the snapshot stream.

    :param from_offset: offset of the first chunk to read.
    :param limit: maximum number of chunks.
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
    A read of the snapshot stream succeeded.

    :param chunks: the chunks read, in order.
    :param head: offset of the newest chunk, 0 when there is none.
    :param first: offset of the oldest chunk that is kept.
    """

    chunks: tuple[StoredChunk, ...]
    head: int
    first: int


class SnapshotsTruncated(NamedTuple):
    """
    The snapshot stream no longer holds the requested offset.

    :param first: oldest offset kept.
    :param head: newest offset.
    """

    first: int
    head: int


class SnapshotsUnavailable(NamedTuple):
    """
    A read of the snapshot stream failed.

    :param reason: error reported by the adapter.
    """

    reason: str


class SnapshotChunksAppended(NamedTuple):
    """
    Chunks were appended to the snapshot stream.

    :param first: offset of the first appended chunk.
    """

    first: int


class SnapshotAppendFailed(NamedTuple):
    """
    Chunks were rejected, or the answer was lost; appending them again is idempotent for readers.

    :param reason: error reported by the adapter.
    """

    reason: str


@register_message
class StateAsked(NamedTuple):
    """
    Asks a peer for chunks of its state.

    :param snapshot: id of the snapshot whose chunks were received before, or empty for a new one.
    :param first: number of the first chunk requested.
    :param limit: maximum number of chunks.
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
