"""
Reads documents, templates and parameters files from disk and checks them together.
"""

from collections.abc import Sequence
from pathlib import Path

from eelgrassdrum_core.configuration import (
    TEMPLATE,
    Document,
    Fault,
    Rendering,
    Source,
    check_across,
    dotted,
    parse_toml,
    render,
)

from ._errors import InvalidInputError


def load_documents(paths: Sequence[Path]) -> dict[str, Document]:
    """
    Render each file and cross-check the documents.

    :param paths: documents, or parameters files that name their template.
    :returns: the documents by name, in the order of the files.
    :raises InvalidInputError: with every fault of every file.
    """
    renderings = [(str(path), load(path)) for path in paths]
    faults = [fault for _, rendering in renderings for fault in rendering.faults]
    documents: dict[str, Document] = {}
    sources: dict[str, Rendering] = {}
    for file, rendering in renderings:
        document = rendering.document
        if document is None:
            continue
        name = document["name"]
        if name in documents:
            faults.append(Fault(file, 1, "name", f"another file defines the document {name!r} too"))
        documents.setdefault(name, document)
        sources.setdefault(name, rendering)
    for name, path, message in check_across(documents):
        faults.append(Fault(*sources[name].locate(path), dotted(path), message))
    if faults:
        raise InvalidInputError(faults)
    return documents


def load(path: Path) -> Rendering:
    """
    Render one file.

    :param path: a document, or a parameters file that names its template.
    :returns: the rendering.
    """
    source = _read(path)
    if isinstance(source, Fault):
        return _failed_rendering(source)
    tree = parse_toml(source)
    if isinstance(tree, Fault):
        return _failed_rendering(tree)
    if TEMPLATE not in tree:
        return render(source)
    template = _read(path.parent / str(tree[TEMPLATE]))
    if isinstance(template, Fault):
        return _failed_rendering(Fault(str(path), 1, TEMPLATE, template.message))
    return render(template, source)


def _read(path: Path) -> Source | Fault:
    try:
        return Source(str(path), path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        return Fault(str(path), 1, "", f"cannot be read: {exc}")


def _failed_rendering(fault: Fault) -> Rendering:
    return Rendering(None, [fault], lambda path: (fault.file, fault.line))
