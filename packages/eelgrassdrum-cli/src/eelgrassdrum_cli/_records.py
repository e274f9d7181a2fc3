"""
Builds the records that commands append to the log.
"""

import secrets
import time
from collections.abc import Mapping
from typing import Any

import msgspec

from ._errors import CommandError, ExitCode

_WRITER_SUFFIX_BYTES = 4
_MS_PER_S = 1000


class RecordId(msgspec.Struct, frozen=True):
    """
    Names a record; an append that is repeated under the same id counts once.
    """

    writer: str
    incarnation: int
    sequence: int

    def __str__(self) -> str:
        return f"{self.writer}/{self.incarnation}/{self.sequence}"


class Record(msgspec.Struct, frozen=True):
    """
    One entry of the ``control`` stream.
    """

    id: RecordId
    kind: str
    subject: str
    base: int | None
    body: dict[str, Any]


def new_id(operator: str) -> RecordId:
    """
    Make an id that no other command uses.

    The random part keeps two commands of one operator apart that start in the same millisecond.

    :param operator: name of the operator.
    :returns: the id.
    """
    writer = f"cli-{operator}-{secrets.token_hex(_WRITER_SUFFIX_BYTES)}"
    return RecordId(writer, int(time.time() * _MS_PER_S), 1)


def parse_id(text: str) -> RecordId:
    """
    Read an id as commands print it.

    :param text: ``WRITER/INCARNATION/SEQUENCE``.
    :returns: the id.
    :raises CommandError: when the text is no id.
    """
    parts = text.split("/")
    if len(parts) != 3 or not parts[0] or not (parts[1].isdecimal() and parts[2].isdecimal()):
        raise CommandError(
            ExitCode.USAGE, f"{text!r} is not an id of the form WRITER/INCARNATION/SEQUENCE"
        )
    return RecordId(parts[0], int(parts[1]), int(parts[2]))


def document_subject(name: str) -> str:
    """
    Name the subject of a document.

    :param name: a workspace, or ``fleet``.
    :returns: the subject.
    """
    return f"document/{name}"


def key_subject(workspace: str, key_id: str) -> str:
    """
    Name the subject of a key.

    :param workspace: the key's workspace.
    :param key_id: the key's id.
    :returns: the subject.
    """
    return f"key/{workspace}/{key_id}"


def document_body(
    name: str, document: Mapping[str, Any], author: str, comment: str
) -> dict[str, Any]:
    """
    Build the body of a ``document.published`` record.

    :param name: the document's name.
    :param document: the rendered document.
    :param author: name of the operator.
    :param comment: why it was published.
    :returns: the body.
    """
    return {"name": name, "document": dict(document), "author": author, "comment": comment}
