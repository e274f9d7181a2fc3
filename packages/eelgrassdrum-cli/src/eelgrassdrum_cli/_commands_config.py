"""
Commands on configuration: render, validate, diff, publish, history and rollback.
"""

from pathlib import Path
from typing import Any

import msgspec

from eelgrassdrum_core import DOCUMENT_PUBLISHED
from eelgrassdrum_core.configuration import Document

from ._compare import compare
from ._errors import CommandError, ExitCode
from ._http import NoAnswerError
from ._log_client import read_record
from ._operator_client import get_typed
from ._output import print_fields, print_json, print_rows
from ._publish import EXIT_CODES, PublishResult, current_base, publish
from ._records import document_body, document_subject, parse_id
from ._settings import NO_SETTINGS, Settings
from ._sources import load_documents


class Revision(msgspec.Struct):
    """
    One revision in the history of a document.
    """

    revision: int
    author: str = ""
    comment: str = ""
    document: dict[str, Any] | None = None


class DocumentInForce(msgspec.Struct):
    """
    The document in force and its earlier revisions.
    """

    revision: int
    document: dict[str, Any]
    author: str = ""
    comment: str = ""
    history: list[Revision] = []


def render(files: list[Path], /, *, settings: Settings = NO_SETTINGS) -> int:
    """
    Print documents as they would be published, with parameters and defaults filled in.

    :param files: documents, or parameters files that name their template.
    """
    documents = load_documents(files)
    print_json(list(documents.values()))
    return ExitCode.OK


def validate(files: list[Path], /, *, settings: Settings = NO_SETTINGS) -> int:
    """
    Check documents individually and against each other; report every fault with file and line.

    :param files: documents, or parameters files that name their template.
    """
    documents = load_documents(files)
    rows = [(name, "valid") for name in documents]
    print_rows(
        settings, [{"name": name, "valid": True} for name in documents], _VALIDATION_COLUMNS, rows
    )
    return ExitCode.OK


_VALIDATION_COLUMNS = ("document", "result")


def diff(files: list[Path], /, *, settings: Settings = NO_SETTINGS) -> int:
    """
    Compare documents with those in force; exits with 9 when they differ.

    :param files: documents, or parameters files that name their template.
    """
    changes = []
    for name, document in load_documents(files).items():
        current = _fetch_in_force(settings, name)
        before = current.document if current else {}
        revision = current.revision if current else 0
        changes += [
            {"document": name, "revision": revision, **change._asdict()}
            for change in compare(before, document)
        ]
    columns = ("document", "revision", "action", "path", "before", "after")
    print_rows(settings, changes, columns, [list(change.values()) for change in changes])
    return ExitCode.DIFFERENT if changes else ExitCode.OK


def publish_documents(
    files: list[Path],
    /,
    *,
    comment: str = "",
    base: int | None = None,
    repeat: str = "",
    settings: Settings = NO_SETTINGS,
) -> int:
    """
    Publish documents in order, waiting until each is accepted or rejected.

    :param files: documents, or parameters files that name their template.
    :param comment: why they are published; goes into the history.
    :param base: the revision that the one document builds on; the one in force by default.
    :param repeat: the id of an earlier attempt with an unknown outcome; only one takes effect.
    """
    documents = load_documents(files)
    if len(documents) > 1 and (base is not None or repeat):
        raise CommandError(ExitCode.USAGE, "--base and --repeat can be used with one document only")
    if repeat and base is None:
        raise CommandError(ExitCode.USAGE, "--repeat needs the --base of the earlier attempt")
    results = []
    for name, document in documents.items():
        results.append(_publish_one(settings, name, document, comment, base, repeat))
        if results[-1].state != "accepted":
            break
    return print_results(settings, results)


def history(name: str, /, *, settings: Settings = NO_SETTINGS) -> int:
    """
    List the revisions of a document, newest first.

    :param name: a workspace, or ``fleet``.
    """
    current = _require_in_force(settings, name)
    revisions = _revisions(current)
    rows = [(item.revision, item.author, item.comment) for item in revisions]
    content = [
        {"revision": item.revision, "author": item.author, "comment": item.comment}
        for item in revisions
    ]
    print_rows(settings, content, ("revision", "author", "comment"), rows)
    return ExitCode.OK


def rollback(name: str, /, *, to: int, comment: str = "", settings: Settings = NO_SETTINGS) -> int:
    """
    Publish an earlier revision of a document again, as a new revision.

    :param name: a workspace, or ``fleet``.
    :param to: the earlier revision, see ``history``.
    :param comment: why it is rolled back.
    """
    current = _require_in_force(settings, name)
    document = _load_revision(settings, name, current, to)
    body = document_body(name, document, settings.operator, comment or f"rollback to revision {to}")
    subject = document_subject(name)
    result = publish(settings, DOCUMENT_PUBLISHED, subject, current.revision, body)
    return print_results(settings, [result])


def print_results(settings: Settings, results: list[PublishResult]) -> int:
    """
    Print the outcomes of records.

    :param settings: selects the output format.
    :param results: one for each record.
    :returns: the exit code of the last one.
    """
    if settings.output == "json":
        print_json([result._asdict() for result in results])
    else:
        for result in results:
            print_fields(settings, result._asdict())
            if result.state == "unknown":
                print(f"ask again: eelgrassdrum outcome {result.id}")
    return EXIT_CODES[results[-1].state]


def _publish_one(
    settings: Settings, name: str, document: Document, comment: str, base: int | None, repeat: str
) -> PublishResult:
    subject = document_subject(name)
    if base is None:
        base = current_base(settings, subject)
    record_id = parse_id(repeat) if repeat else None
    body = document_body(name, document, settings.operator, comment)
    return publish(settings, DOCUMENT_PUBLISHED, subject, base, body, record_id)


def _fetch_in_force(settings: Settings, name: str) -> DocumentInForce | None:
    try:
        found: DocumentInForce = get_typed(settings, f"/documents/{name}", DocumentInForce)
    except CommandError as exc:
        if exc.code == ExitCode.NOT_FOUND:
            return None
        raise
    return found


def _require_in_force(settings: Settings, name: str) -> DocumentInForce:
    current = _fetch_in_force(settings, name)
    if current is None:
        raise CommandError(ExitCode.NOT_FOUND, f"no document {name!r} is in force")
    return current


def _revisions(current: DocumentInForce) -> list[Revision]:
    """
    Return each revision once, newest first.
    """
    found = {item.revision: item for item in current.history}
    newest = Revision(current.revision, current.author, current.comment, current.document)
    found.setdefault(current.revision, newest)
    return [found[revision] for revision in sorted(found, reverse=True)]


def _load_revision(
    settings: Settings, name: str, current: DocumentInForce, revision: int
) -> dict[str, Any]:
    """
    Return the document of a revision from the history, or else from the log.
    """
    listed = [item for item in _revisions(current) if item.revision == revision]
    if not listed:
        raise CommandError(ExitCode.NOT_FOUND, f"{name!r} never had the revision {revision}")
    if listed[0].document is not None:
        return listed[0].document
    try:
        entry = read_record(settings.log_url, revision)
    except NoAnswerError as exc:
        raise CommandError(ExitCode.UNREACHABLE, str(exc)) from exc
    if entry is None:
        raise CommandError(ExitCode.NOT_FOUND, f"the log no longer retains revision {revision}")
    document: dict[str, Any] = entry.record["body"]["document"]
    return document
