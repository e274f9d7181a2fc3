"""
Chunks of a snapshot: cut, checked and joined.
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
    :param offset: last offset of the control stream that is folded into it.
    :param number: place of this chunk, from 0.
    :param chunks: count of the snapshot's chunks.
    :param total_bytes: length of the whole snapshot.
    :param total_checksum: XXH3 of the whole snapshot.
    :param checksum: XXH3 of this chunk's data.
    :param data: the part, compressed.
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
    An encoded snapshot that is ready to be cut.

    :param snapshot: its id.
    :param offset: last offset folded into it.
    :param checksum: XXH3 of the data.
    :param data: the encoded fold.
    """

    snapshot: str
    offset: int
    checksum: int
    data: bytes


class StoredChunk(NamedTuple):
    """
    A chunk at its place in the snapshot stream.

    :param offset: place in the stream, from 1.
    :param chunk: the chunk, or ``None`` when what is there is not one.
    """

    offset: int
    chunk: SnapshotChunk | None


class ChunkError(Exception):
    """
    Chunks do not give a whole snapshot.
    """


def count_chunks(raw: RawSnapshot) -> int:
    """
    Give the number of chunks of a snapshot.

    :param raw: the snapshot.
    :returns: the count, at least 1.
    """
    return max(1, -(-len(raw.data) // CHUNK_BYTES))


def build_chunk(raw: RawSnapshot, number: int) -> SnapshotChunk:
    """
    Cut and compress one chunk.

    :param raw: the snapshot.
    :param number: place of the chunk, from 0.
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
    Tell whether all chunks of a snapshot are there.

    :param chunks: chunks of one snapshot by number.
    :returns: whether they are.
    """
    return bool(chunks) and len(chunks) == next(iter(chunks.values())).chunks


def join_chunks(chunks: Mapping[int, SnapshotChunk]) -> RawSnapshot:
    """
    Check the chunks and join them.

    :param chunks: all chunks of one snapshot by number.
    :returns: the snapshot.
    :raises ChunkError: when a chunk is missing, corrupt or does not belong to the others.
    """
    if not is_complete(chunks):
        raise ChunkError("chunks are missing")
    ordered = [chunks[number] for number in sorted(chunks)]
    first = ordered[0]
    if any(_snapshot_key(chunk) != _snapshot_key(first) for chunk in ordered):
        raise ChunkError("chunks of different snapshots")
    if [chunk.number for chunk in ordered] != list(range(first.chunks)):
        raise ChunkError("chunks are missing")
    data = b"".join(_decompress_chunk(chunk) for chunk in ordered)
    if len(data) != first.total_bytes or xxhash.xxh3_64_intdigest(data) != first.total_checksum:
        raise ChunkError("the whole does not match its checksum")
    return RawSnapshot(first.snapshot, first.offset, first.total_checksum, data)


def chunk_to_json(chunk: SnapshotChunk) -> dict[str, Any]:
    """
    Give the JSON form of a chunk.

    :param chunk: the chunk.
    :returns: a mapping ready to be encoded.
    """
    built: dict[str, Any] = msgspec.to_builtins(chunk._asdict())
    return built


def chunk_from_json(data: object) -> SnapshotChunk | None:
    """
    Read the JSON form of a chunk.

    :param data: a decoded JSON value.
    :returns: the chunk, or ``None`` when the value is none.
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
        raise ChunkError("the snapshot is too large")
    decompressor = zlib.decompressobj()
    try:
        return decompressor.decompress(chunk.data, CHUNK_BYTES)
    except zlib.error as exc:
        raise ChunkError(f"chunk {chunk.number} cannot be opened") from exc
