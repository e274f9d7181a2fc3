"""
Records of the platform's log, and their JSON form.
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

# Kinds that only ever take something away, so that their order against others does not matter.
MONOTONE_KINDS = frozenset({KEY_WITHDRAWN})


class Record(NamedTuple):
    """
    One record of the control stream.

    :param id: the record's id, equal in every repeat of its append.
    :param kind: what the record means, such as ``key.granted``.
    :param subject: what it changes, such as ``key/gartenschau/k7``.
    :param base: offset of the subject's last accepted record that the writer had seen, or
        ``None`` for no check.
    :param body: fields that belong to the kind.
    """

    id: RecordId
    kind: str
    subject: str
    base: int | None
    body: dict[str, Any]


class StoredRecord(NamedTuple):
    """
    A record at its place in the log.

    :param offset: place in the stream, from 1.
    :param record: the record, or ``None`` when what the log holds there is not one.
    """

    offset: int
    record: Record | None


class RecordJson(msgspec.Struct):
    """
    The JSON form of a record.
    """

    id: dict[str, Any]
    kind: str
    subject: str
    base: int | None
    body: dict[str, Any]


def record_to_json(record: Record) -> dict[str, Any]:
    """
    Give the JSON form of a record.

    :param record: the record.
    :returns: a mapping ready to be encoded.
    """
    return {**record._asdict(), "id": record.id._asdict()}


def record_from_json(data: object) -> Record | None:
    """
    Read the JSON form of a record.

    :param data: a decoded JSON value.
    :returns: the record, or ``None`` when the value is no record.
    """
    try:
        raw = msgspec.convert(data, RecordJson)
        record_id = msgspec.convert(_id_fields(raw.id), RecordId)
    except (msgspec.ValidationError, KeyError):
        return None
    return Record(record_id, raw.kind, raw.subject, raw.base, raw.body)


def _id_fields(data: Mapping[str, Any]) -> list[Any]:
    return [data[name] for name in RecordId._fields]
