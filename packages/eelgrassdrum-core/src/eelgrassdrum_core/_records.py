"""
Records of the platform's log, and their JSON representation.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec

from ._ids import RecordId

CONTROL_STREAM = "control"
SNAPSHOT_STREAM = "snapshots"

DOCUMENT_PUBLISHED = "document.published"
KEY_GRANTED = "key.granted"
KEY_WITHDRAWN = "key.withdrawn"

# Kinds that only ever remove something, so that their order relative to other records doesn't
# matter.
MONOTONE_KINDS = frozenset({KEY_WITHDRAWN})


class Record(NamedTuple):
    """
    One record of the control stream.

    :param id: id of the record, the same in each repeated append.
    :param kind: type of the change, such as ``key.granted``.
    :param subject: object that it changes, such as ``key/gartenschau/k7``.
    :param base: offset of the subject's last accepted record that the writer knew, or ``None`` for
        no check.
    :param body: fields specific to the kind.
    """

    id: RecordId
    kind: str
    subject: str
    base: int | None
    body: dict[str, Any]


class StoredRecord(NamedTuple):
    """
    A record with its offset in the log.

    :param offset: offset in the stream, from 1.
    :param record: the record, or ``None`` when the log holds no valid record at the offset.
    """

    offset: int
    record: Record | None


class RecordJson(msgspec.Struct):
    """
    The JSON representation of a record.
    """

    id: dict[str, Any]
    kind: str
    subject: str
    base: int | None
    body: dict[str, Any]


def record_to_json(record: Record) -> dict[str, Any]:
    """
    Return the JSON representation of a record.

    :param record: the record.
    :returns: a mapping ready to be encoded.
    """
    return {**record._asdict(), "id": record.id._asdict()}


def record_from_json(data: object) -> Record | None:
    """
    Parse the JSON representation of a record.

    :param data: a decoded JSON value.
    :returns: the record, or ``None`` when the value is not a valid record.
    """
    try:
        raw = msgspec.convert(data, RecordJson)
        record_id = msgspec.convert(_id_fields(raw.id), RecordId)
    except (msgspec.ValidationError, KeyError):
        return None
    return Record(record_id, raw.kind, raw.subject, raw.base, raw.body)


def _id_fields(data: Mapping[str, Any]) -> list[Any]:
    return [data[name] for name in RecordId._fields]
