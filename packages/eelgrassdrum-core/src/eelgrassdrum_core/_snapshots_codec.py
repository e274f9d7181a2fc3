"""
Encodes the fold, the state built from the log's records, as a snapshot and decodes it, also across
versions of the program.

A version accepts a snapshot if it knows all record kinds that the builder knew. Records of kinds
that only the reader knows are kept unapplied in the snapshot, and the reader applies them. A
snapshot of a newer builder is rejected, because this version can't apply later records of the kinds
that it doesn't know, so their state would become stale.
"""

from collections.abc import Mapping

import msgspec
import xxhash

from ._fold import Applier, apply_unknown_records
from ._ids import Sender
from ._snapshots_chunks import RawSnapshot
from ._state import Fold

# Incremented when the layout of the fold changes incompatibly.
FORMAT = 1


class SnapshotHeader(msgspec.Struct):
    """
    Start of a snapshot, which is decoded first.

    :param format: version of the layout of the fold.
    :param kinds: record kinds that the builder knew.
    """

    format: int
    kinds: list[str]


class SnapshotBody(SnapshotHeader):
    """
    The complete snapshot.

    :param fold: the folded state.
    """

    fold: Fold


class SnapshotError(Exception):
    """
    Raised when this version of the program cannot use a snapshot.
    """


_encoder = msgspec.msgpack.Encoder()
_header_decoder = msgspec.msgpack.Decoder(SnapshotHeader)
_body_decoder = msgspec.msgpack.Decoder(SnapshotBody)


def encode_snapshot(fold: Fold, appliers: Mapping[str, Applier], builder: Sender) -> RawSnapshot:
    """
    Encode the fold as a snapshot.

    :param fold: the folded state.
    :param appliers: appliers of the record kinds that this version knows.
    :param builder: this instance.
    :returns: the snapshot.
    """
    data = _encoder.encode(SnapshotBody(FORMAT, sorted(appliers), fold))
    offset = fold.position.next_offset - 1
    snapshot = f"{offset}.{builder.instance}.{builder.incarnation}"
    return RawSnapshot(snapshot, offset, xxhash.xxh3_64_intdigest(data), data)


def decode_snapshot(raw: RawSnapshot, appliers: Mapping[str, Applier]) -> Fold:
    """
    Decode a snapshot, and apply its records of kinds that the builder did not know.

    :param raw: the snapshot.
    :param appliers: appliers of the record kinds that this version knows.
    :returns: the folded state.
    :raises SnapshotError: when this version cannot use it.
    """
    try:
        header = _header_decoder.decode(raw.data)
        _check_header(header, appliers)
        fold = _body_decoder.decode(raw.data).fold
    except msgspec.MsgspecError as exc:
        raise SnapshotError(f"cannot decode snapshot: {exc}") from exc
    if fold.position.next_offset != raw.offset + 1:
        raise SnapshotError("offset of the snapshot differs from the offset of its fold")
    lost = sorted(set(fold.position.unknown.lost) & set(appliers))
    if lost:
        raise SnapshotError(f"builder has dropped records of kinds {', '.join(lost)}")
    apply_unknown_records(fold.position, appliers, fold)
    return fold


def _check_header(header: SnapshotHeader, appliers: Mapping[str, Applier]) -> None:
    if header.format != FORMAT:
        raise SnapshotError(f"unsupported format {header.format}")
    newer = sorted(set(header.kinds) - set(appliers))
    if newer:
        raise SnapshotError(
            f"builder knew record kinds unknown to this version: {', '.join(newer)}"
        )
