"""
Renders document templates with the parameters of one workspace.

A template declares its parameters under ``[parameters]`` and references them by placeholders
``"${name}"``. A string that consists of one placeholder is replaced by the parameter's value and
keeps its type; a placeholder inside a longer string is replaced by the value as text.
"""

import re
from collections.abc import Iterator, Mapping
from typing import Any, Literal, NamedTuple, NotRequired

from pydantic import TypeAdapter, ValidationError
from typing_extensions import TypedDict

from ._config_lines import (
    Fault,
    Path,
    Source,
    dotted,
    index_lines,
    line_of,
    parse_toml,
)
from ._config_schema import Document
from ._config_validate import Locate, validate

PARAMETERS = "parameters"
"""Table that declares parameters in a template, and sets them in a parameters file."""

TEMPLATE = "template"
"""Field of a parameters file that names its template."""

_PLACEHOLDER = re.compile(r"\$\{([^}]*)\}")
_TYPES: dict[str, tuple[type, ...]] = {
    "string": (str,),
    "int": (int,),
    "float": (float, int),
    "bool": (bool,),
    "list": (list,),
}
_SCALAR_TYPES = ("string", "int", "float", "bool")


class Declaration(TypedDict):
    """
    The declaration of a parameter in a template.
    """

    type: Literal["string", "int", "float", "bool", "list"]
    default: NotRequired[Any]
    min: NotRequired[float]
    max: NotRequired[float]
    choices: NotRequired[list[Any]]
    description: NotRequired[str]


class Rendering(NamedTuple):
    """
    The result of rendering a template: a document, or the faults that prevent it.
    """

    document: Document | None
    faults: list[Fault]
    locate: Locate


class _ParsedFile(NamedTuple):
    """
    A parsed file with the line numbers of its values.
    """

    file: str
    tree: dict[str, Any]
    lines: dict[Path, int]

    def fault(self, path: Path, message: str) -> Fault:
        """
        Build a fault located in this file.
        """
        return Fault(self.file, line_of(self.lines, path), dotted(path), message)


_DECLARATIONS: TypeAdapter[dict[str, Declaration]] = TypeAdapter(dict[str, Declaration])


def render(source: Source, parameters: Source | None = None) -> Rendering:
    """
    Render and validate a document.

    :param source: a document, or a template with its parameters given or defaulted.
    :param parameters: the parameters file of the workspace.
    :returns: the document with defaults filled in, or the faults in both files.
    """
    parsed = [_parse(item) for item in (source, parameters) if item is not None]
    parse_faults = [item for item in parsed if isinstance(item, Fault)]
    parsed_files = [item for item in parsed if isinstance(item, _ParsedFile)]
    if parse_faults:
        return _rejected(parse_faults)
    template = parsed_files[0]
    parameters_file = parsed_files[1] if len(parsed_files) > 1 else _ParsedFile(source.file, {}, {})
    values, faults = _resolve_parameters(template, parameters_file)
    if faults:
        return _rejected(faults)
    tree = {key: value for key, value in template.tree.items() if key != PARAMETERS}
    origins: dict[Path, str] = {}
    filled = _substitute(tree, values, (), origins)
    locate = _build_locate(template, parameters_file, origins)
    checked = validate(filled, locate)
    if isinstance(checked, list):
        return Rendering(None, checked, locate)
    return Rendering(checked, [], locate)


def _rejected(faults: list[Fault]) -> Rendering:
    return Rendering(None, sorted(faults), lambda path: ("", 0))


def _parse(source: Source) -> _ParsedFile | Fault:
    tree = parse_toml(source)
    if isinstance(tree, Fault):
        return tree
    return _ParsedFile(source.file, tree, index_lines(source.text))


def _resolve_parameters(
    template: _ParsedFile, parameters_file: _ParsedFile
) -> tuple[dict[str, Any], list[Fault]]:
    """
    Resolve the value of each parameter.

    :returns: the values, and all faults in declarations, values and placeholders.
    """
    declared = _read_declarations(template)
    if isinstance(declared, list):
        return {}, declared
    settings = parameters_file.tree.get(PARAMETERS, {})
    if not isinstance(settings, dict):
        return {}, [parameters_file.fault((PARAMETERS,), "not a table")]
    faults = [
        parameters_file.fault((key,), "unknown field")
        for key in parameters_file.tree
        if key not in (TEMPLATE, PARAMETERS)
    ]
    faults += [
        parameters_file.fault(
            (PARAMETERS, name), f"{template.file} does not declare this parameter"
        )
        for name in settings
        if name not in declared
    ]
    values: dict[str, Any] = {}
    for name, declaration in declared.items():
        if name in settings:
            values[name] = settings[name]
            message = _check_value(declaration, settings[name])
            faults += [parameters_file.fault((PARAMETERS, name), message)] if message else []
        elif "default" in declaration:
            values[name] = declaration["default"]
        else:
            faults.append(parameters_file.fault((PARAMETERS, name), "missing parameter"))
    return values, faults + list(_check_placeholders(template, declared))


def _read_declarations(template: _ParsedFile) -> dict[str, Declaration] | list[Fault]:
    try:
        declared = _DECLARATIONS.validate_python(
            template.tree.get(PARAMETERS, {}), strict=True, extra="forbid"
        )
    except ValidationError as exc:
        errors = exc.errors(include_url=False, include_context=False, include_input=False)
        return [template.fault((PARAMETERS, *error["loc"]), error["msg"]) for error in errors]
    faults = []
    for name, declaration in declared.items():
        if "default" not in declaration:
            continue
        message = _check_value(declaration, declaration["default"])
        if message:
            faults.append(template.fault((PARAMETERS, name, "default"), message))
    return faults or declared


def _check_value(declaration: Declaration, value: Any) -> str:
    """
    Check a value against the declaration of its parameter.

    :returns: the error message, or an empty string when the value is valid.
    """
    kind = declaration["type"]
    is_bool = isinstance(value, bool)
    if not isinstance(value, _TYPES[kind]) or (is_bool and kind != "bool"):
        return f"{value!r} is not of the type {kind}"
    if "choices" in declaration and value not in declaration["choices"]:
        return f"{value!r} is not one of {declaration['choices']}"
    measure: Any = len(value) if isinstance(value, str | list) else value
    if "min" in declaration and measure < declaration["min"]:
        return f"{value!r} is less than the minimum of {declaration['min']}"
    if "max" in declaration and measure > declaration["max"]:
        return f"{value!r} is greater than the maximum of {declaration['max']}"
    return ""


def _check_placeholders(
    template: _ParsedFile, declared: Mapping[str, Declaration]
) -> Iterator[Fault]:
    for path, text in _iter_strings(template.tree, ()):
        if path[:1] == (PARAMETERS,):
            continue
        for name in _PLACEHOLDER.findall(text):
            if name not in declared:
                yield template.fault(path, f"undeclared parameter {name!r}")
            elif declared[name]["type"] not in _SCALAR_TYPES and not _PLACEHOLDER.fullmatch(text):
                yield template.fault(path, f"list parameter {name!r} cannot be part of a string")


def _iter_strings(value: Any, path: Path) -> Iterator[tuple[Path, str]]:
    if isinstance(value, str):
        yield path, value
    elif isinstance(value, dict):
        for key, item in value.items():
            yield from _iter_strings(item, (*path, key))
    elif isinstance(value, list):
        for position, item in enumerate(value):
            yield from _iter_strings(item, (*path, position))


def _substitute(value: Any, values: dict[str, Any], path: Path, origins: dict[Path, str]) -> Any:
    """
    Replace placeholders, and record in ``origins`` the paths whose value is a parameter's value.
    """
    if isinstance(value, dict):
        return {
            key: _substitute(item, values, (*path, key), origins) for key, item in value.items()
        }
    if isinstance(value, list):
        return [
            _substitute(item, values, (*path, position), origins)
            for position, item in enumerate(value)
        ]
    if not isinstance(value, str):
        return value
    full_match = _PLACEHOLDER.fullmatch(value)
    if full_match:
        origins[path] = full_match[1]
        return values[full_match[1]]
    return _PLACEHOLDER.sub(lambda match: _format_value(values[match[1]]), value)


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def _build_locate(
    template: _ParsedFile, parameters_file: _ParsedFile, origins: dict[Path, str]
) -> Locate:
    """
    Build a function that maps a path of the rendered document to the file and line that set it.
    """

    def locate(path: Path) -> tuple[str, int]:
        for end in range(len(path), 0, -1):
            name = origins.get(path[:end])
            if name is None:
                continue
            origin: Path = (PARAMETERS, name, *path[end:])
            if name in parameters_file.tree.get(PARAMETERS, {}):
                return parameters_file.file, line_of(parameters_file.lines, origin)
            return template.file, line_of(template.lines, (PARAMETERS, name, "default"))
        return template.file, line_of(template.lines, path)

    return locate
