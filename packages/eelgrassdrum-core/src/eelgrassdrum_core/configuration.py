"""
Public API of the configuration format: documents, templates and checks, for programs that write
configuration records.
"""

from ._config_checks import check_across
from ._config_lines import Fault, Path, Source, dotted, parse_toml
from ._config_schema import ANY_WORKSPACE, FLEET, NAME_PATTERN, Document
from ._config_template import TEMPLATE, Rendering, render
from ._config_validate import (
    check_grant,
    decode_document,
    decode_grant,
    decode_withdrawal,
)

__all__ = [
    "ANY_WORKSPACE",
    "FLEET",
    "NAME_PATTERN",
    "TEMPLATE",
    "Document",
    "Fault",
    "Path",
    "Rendering",
    "Source",
    "check_across",
    "check_grant",
    "decode_document",
    "decode_grant",
    "decode_withdrawal",
    "dotted",
    "parse_toml",
    "render",
]
