"""
Builds the records that commands append to the log.
"""

import secrets
import time
from collections.abc import Mapping
from typing import Any

from eelgrassdrum_core import RecordId

from ._errors import CommandError, ExitCode

_WRITERS_PER_OPERATOR = 64
_NS_PER_MS = 1_000_000
_RANDOM_BITS = 20


def new_id(operator: str) -> RecordId:
    """
    Create an id that no other command uses.

    Instances keep state for each writer, so a command picks one of a fixed number of writers of its
    operator. Its incarnation is unique by a timestamp and random bits.

    :param operator: name of the operator.
    :returns: the id.
    """
    writer = f"cli-{operator}-{secrets.randbelow(_WRITERS_PER_OPERATOR)}"
    now_ms = time.time_ns() // _NS_PER_MS
    incarnation = (now_ms << _RANDOM_BITS) | secrets.randbits(_RANDOM_BITS)
    return RecordId(writer, incarnation, 1)


def format_id(record_id: RecordId) -> str:
    """
    Format an id as commands print it.

    :param record_id: the id.
    :returns: ``WRITER/INCARNATION/SEQUENCE``.
    """
    return f"{record_id.writer}/{record_id.incarnation}/{record_id.sequence}"


def parse_id(text: str) -> RecordId:
    """
    Parse an id as commands print it.

    :param text: ``WRITER/INCARNATION/SEQUENCE``.
    :returns: the id.
    :raises CommandError: when the text is not an id.
    """
    parts = text.split("/")
    if len(parts) != 3 or not parts[0] or not (parts[1].isdecimal() and parts[2].isdecimal()):
        raise CommandError(
            ExitCode.USAGE, f"{text!r} is not an id of the form WRITER/INCARNATION/SEQUENCE"
        )
    return RecordId(parts[0], int(parts[1]), int(parts[2]))


def document_subject(name: str) -> str:
    """
    Return the subject of a document.

    :param name: a workspace, or ``fleet``.
    :returns: the subject.
    """
    return f"document/{name}"


def key_subject(workspace: str, key_id: str) -> str:
    """
    Return the subject of a key.

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
