"""
Renders templates of documents with the parameters of one workspace.

A template declares its parameters under ``[parameters]`` and uses them as ``"${name}"``. A string
that is nothing but one use takes the parameter's value with its type; a use inside a longer string
is replaced by the value's text.
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
"""The table of a template that declares parameters, and of a parameters file that sets them."""

TEMPLATE = "template"
"""The field of a parameters file that names its template."""

_USE = re.compile(r"\$\{([^}]*)\}")
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
    A parameter as its template declares it.
    """

    type: Literal["string", "int", "float", "bool", "list"]
    default: NotRequired[Any]
    min: NotRequired[float]
    max: NotRequired[float]
    choices: NotRequired[list[Any]]
    description: NotRequired[str]


class Rendering(NamedTuple):
    """
    The outcome of a rendering: a document, or the faults that refuse it.
    """

    document: Document | None
    faults: list[Fault]
    locate: Locate


class _Text(NamedTuple):
    """
    A parsed file with the lines of its values.
    """

    file: str
    tree: dict[str, Any]
    lines: dict[Path, int]

    def fault(self, path: Path, message: str) -> Fault:
        """
        Make a fault that stands in this file.
        """
        return Fault(self.file, line_of(self.lines, path), dotted(path), message)


_DECLARATIONS: TypeAdapter[dict[str, Declaration]] = TypeAdapter(dict[str, Declaration])


def render(source: Source, parameters: Source | None = None) -> Rendering:
    """
    Render and check a document.

    :param source: a document, or a template when parameters are given or all have defaults.
    :param parameters: the parameters file of the workspace.
    :returns: the document with defaults filled in, or every fault of both files.
    """
    parsed = [_parse(item) for item in (source, parameters) if item is not None]
    broken = [item for item in parsed if isinstance(item, Fault)]
    texts = [item for item in parsed if isinstance(item, _Text)]
    if broken:
        return _refused(broken)
    template = texts[0]
    given = texts[1] if len(texts) > 1 else _Text(source.file, {}, {})
    values, faults = _values(template, given)
    if faults:
        return _refused(faults)
    tree = {key: value for key, value in template.tree.items() if key != PARAMETERS}
    origins: dict[Path, str] = {}
    filled = _substitute(tree, values, (), origins)
    locate = _locator(template, given, origins)
    checked = validate(filled, locate)
    if isinstance(checked, list):
        return Rendering(None, checked, locate)
    return Rendering(checked, [], locate)


def _refused(faults: list[Fault]) -> Rendering:
    return Rendering(None, sorted(faults), lambda path: ("", 0))


def _parse(source: Source) -> _Text | Fault:
    tree = parse_toml(source)
    if isinstance(tree, Fault):
        return tree
    return _Text(source.file, tree, index_lines(source.text))


def _values(template: _Text, given: _Text) -> tuple[dict[str, Any], list[Fault]]:
    """
    Work out the value of each parameter.

    :returns: the values, and every fault of the declarations, the values and the uses.
    """
    declared = _declarations(template)
    if isinstance(declared, list):
        return {}, declared
    settings = given.tree.get(PARAMETERS, {})
    if not isinstance(settings, dict):
        return {}, [given.fault((PARAMETERS,), "not a table")]
    faults = [
        given.fault((key,), "unknown field")
        for key in given.tree
        if key not in (TEMPLATE, PARAMETERS)
    ]
    faults += [
        given.fault((PARAMETERS, name), f"{template.file} declares no such parameter")
        for name in settings
        if name not in declared
    ]
    values: dict[str, Any] = {}
    for name, declaration in declared.items():
        if name in settings:
            values[name] = settings[name]
            message = _refusal(declaration, settings[name])
            faults += [given.fault((PARAMETERS, name), message)] if message else []
        elif "default" in declaration:
            values[name] = declaration["default"]
        else:
            faults.append(given.fault((PARAMETERS, name), "missing parameter"))
    return values, faults + list(_unknown_uses(template, declared))


def _declarations(template: _Text) -> dict[str, Declaration] | list[Fault]:
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
        message = _refusal(declaration, declaration["default"])
        if message:
            faults.append(template.fault((PARAMETERS, name, "default"), message))
    return faults or declared


def _refusal(declaration: Declaration, value: Any) -> str:
    """
    Check a value against its declaration.

    :returns: why it is refused, or an empty string.
    """
    kind = declaration["type"]
    is_bool = isinstance(value, bool)
    if not isinstance(value, _TYPES[kind]) or (is_bool and kind != "bool"):
        return f"{value!r} is not of the type {kind}"
    if "choices" in declaration and value not in declaration["choices"]:
        return f"{value!r} is none of {declaration['choices']}"
    measure: Any = len(value) if isinstance(value, str | list) else value
    if "min" in declaration and measure < declaration["min"]:
        return f"{value!r} is below the minimum of {declaration['min']}"
    if "max" in declaration and measure > declaration["max"]:
        return f"{value!r} is above the maximum of {declaration['max']}"
    return ""


def _unknown_uses(template: _Text, declared: Mapping[str, Declaration]) -> Iterator[Fault]:
    for path, text in _strings(template.tree, ()):
        if path[:1] == (PARAMETERS,):
            continue
        for name in _USE.findall(text):
            if name not in declared:
                yield template.fault(path, f"uses the undeclared parameter {name!r}")
            elif declared[name]["type"] not in _SCALAR_TYPES and not _USE.fullmatch(text):
                yield template.fault(path, f"the list {name!r} cannot be part of a string")


def _strings(value: Any, path: Path) -> Iterator[tuple[Path, str]]:
    if isinstance(value, str):
        yield path, value
    elif isinstance(value, dict):
        for key, item in value.items():
            yield from _strings(item, (*path, key))
    elif isinstance(value, list):
        for position, item in enumerate(value):
            yield from _strings(item, (*path, position))


def _substitute(value: Any, values: dict[str, Any], path: Path, origins: dict[Path, str]) -> Any:
    """
    Replace uses of parameters, and note which paths came whole from a parameter.
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
    whole = _USE.fullmatch(value)
    if whole:
        origins[path] = whole[1]
        return values[whole[1]]
    return _USE.sub(lambda use: _as_text(values[use[1]]), value)


def _as_text(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def _locator(template: _Text, given: _Text, origins: dict[Path, str]) -> Locate:
    """
    Make a function that finds values of the rendered document in the file that set them.
    """

    def locate(path: Path) -> tuple[str, int]:
        for end in range(len(path), 0, -1):
            name = origins.get(path[:end])
            if name is None:
                continue
            origin: Path = (PARAMETERS, name, *path[end:])
            if name in given.tree.get(PARAMETERS, {}):
                return given.file, line_of(given.lines, origin)
            return template.file, line_of(template.lines, (PARAMETERS, name, "default"))
        return template.file, line_of(template.lines, path)

    return locate
