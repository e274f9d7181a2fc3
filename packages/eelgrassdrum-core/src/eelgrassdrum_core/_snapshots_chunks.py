"""
Splitting of a snapshot into compressed chunks, and checked reassembly.
"""

import zlib
from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec
import xxhash

CHUNK_BYTES = 256 * 1024
COMPRESSION_LEVEL = 1
MAX_SNAPSHOT_BYTES = 128 * 1024 * 1024


class SnapshotChunk(NamedTuple):
    """
    One part of a snapshot.

    :param snapshot: id of the snapshot.
    :param offset: last offset of the control stream that the snapshot covers.
    :param number: index of this chunk, from 0.
    :param chunks: number of chunks of the snapshot.
    :param total_bytes: size of the complete uncompressed snapshot.
    :param total_checksum: XXH3 of the complete uncompressed snapshot.
    :param checksum: XXH3 of this chunk's data.
    :param data: the compressed data.
    """

    snapshot: str
    offset: int
    number: int
    chunks: int
    total_bytes: int
    total_checksum: int
    checksum: int
    data: bytes


class RawSnapshot(NamedTuple):
    """
    An encoded snapshot that is not split into chunks.

    :param snapshot: its id.
    :param offset: last offset of the control stream that it covers.
    :param checksum: XXH3 of the data.
    :param data: the encoded fold.
    """

    snapshot: str
    offset: int
    checksum: int
    data: bytes


class StoredChunk(NamedTuple):
    """
    A chunk with its offset in the snapshot stream.

    :param offset: offset in the stream, from 1.
    :param chunk: the chunk, or ``None`` when the log holds no valid chunk at the offset.
    """

    offset: int
    chunk: SnapshotChunk | None


class ChunkError(Exception):
    """
    Raised when chunks don't make up a valid snapshot.
    """


def count_chunks(raw: RawSnapshot) -> int:
    """
    Return the number of chunks of a snapshot.

    :param raw: the snapshot.
    :returns: the number, at least 1.
    """
    return max(1, -(-len(raw.data) // CHUNK_BYTES))


def build_chunk(raw: RawSnapshot, number: int) -> SnapshotChunk:
    """
    Build one compressed chunk of a snapshot.

    :param raw: the snapshot.
    :param number: index of the chunk, from 0.
    :returns: the chunk.
    """
    part = raw.data[number * CHUNK_BYTES : (number + 1) * CHUNK_BYTES]
    data = zlib.compress(part, COMPRESSION_LEVEL)
    return SnapshotChunk(
        raw.snapshot,
        raw.offset,
        number,
        count_chunks(raw),
        len(raw.data),
        raw.checksum,
        xxhash.xxh3_64_intdigest(data),
        data,
    )


def is_complete(chunks: Mapping[int, SnapshotChunk]) -> bool:
    """
    Return whether all chunks of a snapshot are present.

    :param chunks: chunks of one snapshot by number.
    :returns: whether none is missing.
    """
    return bool(chunks) and len(chunks) == next(iter(chunks.values())).chunks


def join_chunks(chunks: Mapping[int, SnapshotChunk]) -> RawSnapshot:
    """
    Reassemble a snapshot from its chunks.

    :param chunks: all chunks of one snapshot by number.
    :returns: the snapshot.
    :raises ChunkError: when a chunk is missing, corrupt or belongs to another snapshot.
    """
    if not is_complete(chunks):
        raise ChunkError("chunks are missing")
    ordered = [chunks[number] for number in sorted(chunks)]
    first = ordered[0]
    if any(_snapshot_key(chunk) != _snapshot_key(first) for chunk in ordered):
        raise ChunkError("chunks belong to different snapshots")
    if [chunk.number for chunk in ordered] != list(range(first.chunks)):
        raise ChunkError("chunks are missing")
    data = b"".join(_decompress_chunk(chunk) for chunk in ordered)
    if len(data) != first.total_bytes or xxhash.xxh3_64_intdigest(data) != first.total_checksum:
        raise ChunkError("snapshot does not match its size or checksum")
    return RawSnapshot(first.snapshot, first.offset, first.total_checksum, data)


def chunk_to_json(chunk: SnapshotChunk) -> dict[str, Any]:
    """
    Return the JSON representation of a chunk.

    :param chunk: the chunk.
    :returns: a mapping ready to be encoded.
    """
    built: dict[str, Any] = msgspec.to_builtins(chunk._asdict())
    return built


def chunk_from_json(data: object) -> SnapshotChunk | None:
    """
    Parse the JSON representation of a chunk.

    :param data: a decoded JSON value.
    :returns: the chunk, or ``None`` when the value is not a valid chunk.
    """
    if not isinstance(data, Mapping):
        return None
    try:
        fields = [data[name] for name in SnapshotChunk._fields]
        return msgspec.convert(fields, SnapshotChunk)
    except (msgspec.ValidationError, KeyError):
        return None


def _snapshot_key(chunk: SnapshotChunk) -> tuple[str, int, int, int, int]:
    return (chunk.snapshot, chunk.offset, chunk.chunks, chunk.total_bytes, chunk.total_checksum)


def _decompress_chunk(chunk: SnapshotChunk) -> bytes:
    if xxhash.xxh3_64_intdigest(chunk.data) != chunk.checksum:
        raise ChunkError(f"chunk {chunk.number} does not match its checksum")
    if chunk.total_bytes > MAX_SNAPSHOT_BYTES:
        raise ChunkError("snapshot is too large")
    decompressor = zlib.decompressobj()
    try:
        return decompressor.decompress(chunk.data, CHUNK_BYTES)
    except zlib.error as exc:
        raise ChunkError(f"chunk {chunk.number} cannot be decompressed") from exc
