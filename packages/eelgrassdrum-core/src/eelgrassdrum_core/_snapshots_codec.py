"""
Encodes the fold as a snapshot and reads it back, also between versions of the program.

A program uses a snapshot when it knows all kinds that the maker knew; records of kinds that only
the reader knows come with the snapshot. A snapshot of a newer maker is left alone, because the
part of it that is unknown here would fall behind.
"""

from collections.abc import Mapping

import msgspec
import xxhash

from ._fold import Applier, apply_unknown_records
from ._ids import Sender
from ._snapshots_chunks import RawSnapshot
from ._state import Fold

# Grows when the layout of the fold changes so that older programs must not read it.
FORMAT = 1


class SnapshotHeader(msgspec.Struct):
    """
    What is read first.

    :param format: layout of the fold.
    :param kinds: kinds of records that the maker knew.
    """

    format: int
    kinds: list[str]


class SnapshotBody(SnapshotHeader):
    """
    The whole snapshot.

    :param fold: the folded state.
    """

    fold: Fold


class SnapshotError(Exception):
    """
    A snapshot cannot be used by this program.
    """


_encoder = msgspec.msgpack.Encoder()
_header_decoder = msgspec.msgpack.Decoder(SnapshotHeader)
_body_decoder = msgspec.msgpack.Decoder(SnapshotBody)


def encode_snapshot(fold: Fold, appliers: Mapping[str, Applier], maker: Sender) -> RawSnapshot:
    """
    Encode the fold.

    :param fold: the folded state.
    :param appliers: kinds that this program knows.
    :param maker: this instance.
    :returns: the snapshot.
    """
    data = _encoder.encode(SnapshotBody(FORMAT, sorted(appliers), fold))
    offset = fold.position.next_offset - 1
    snapshot = f"{offset}.{maker.instance}.{maker.incarnation}"
    return RawSnapshot(snapshot, offset, xxhash.xxh3_64_intdigest(data), data)


def decode_snapshot(raw: RawSnapshot, appliers: Mapping[str, Applier]) -> Fold:
    """
    Read a snapshot, and decide about its records that its maker did not know.

    :param raw: the snapshot.
    :param appliers: kinds that this program knows.
    :returns: the folded state.
    :raises SnapshotError: when this program cannot use it.
    """
    try:
        header = _header_decoder.decode(raw.data)
        _check_header(header, appliers)
        fold = _body_decoder.decode(raw.data).fold
    except msgspec.MsgspecError as exc:
        raise SnapshotError(f"undecodable: {exc}") from exc
    if fold.position.next_offset != raw.offset + 1:
        raise SnapshotError("its offset is not the fold's")
    lost = sorted(set(fold.position.unknown.lost) & set(appliers))
    if lost:
        raise SnapshotError(f"its maker dropped records of {', '.join(lost)}")
    apply_unknown_records(fold.position, appliers, fold)
    return fold


def _check_header(header: SnapshotHeader, appliers: Mapping[str, Applier]) -> None:
    if header.format != FORMAT:
        raise SnapshotError(f"format {header.format}")
    newer = sorted(set(header.kinds) - set(appliers))
    if newer:
        raise SnapshotError(f"its maker knew {', '.join(newer)}")
