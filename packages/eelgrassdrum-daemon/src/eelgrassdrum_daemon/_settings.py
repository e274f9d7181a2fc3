"""
Settings of one entry instance, from flags and environment variables.
"""

import ipaddress
import os
import re
import sys
from collections.abc import Callable, Sequence
from typing import Annotated, Any, NamedTuple, NoReturn
from urllib.parse import urlsplit

import cyclopts
from cyclopts import Parameter

ENVIRONMENT_PREFIX = "EELGRASSDRUM_"
EXIT_USAGE = 2
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
MAX_PORT = 65535


class SettingsError(ValueError):
    """
    Raised when a setting is missing or invalid.
    """

    def __init__(self, flag: str, reason: str) -> None:
        super().__init__(f"{flag}: {reason}")
        self.flag = flag
        self.reason = reason


class Settings(NamedTuple):
    """
    Validated settings of an entry instance.

    :param instance: id of the instance.
    :param zone: availability zone of the instance.
    :param listen: ``IP:PORT`` to listen on for callers and operators.
    :param peer_listen: ``IP:PORT`` to listen on for other entry instances.
    :param peer_advertise: ``IP:PORT`` advertised to peers, if it differs from the bound one.
    :param log_url: base URL of the platform's log service.
    :param list_url: base URL of the platform's instance list.
    :param root_digest: SHA-256 of the first operator's secret, in hex.
    :param incarnation: number that increases with each start, or 0 for the time in
        milliseconds.
    :param max_body_bytes: maximum size of a request body, in bytes.
    :param max_buffered_bytes: maximum size of all buffered bodies, in bytes.
    :param read_timeout_s: timeout for receiving a complete request, in seconds.
    :param max_callers: maximum number of open caller connections.
    :param list_interval_s: seconds between two reads of the instance list.
    :param drain_timeout_s: timeout of a graceful shutdown, in seconds.
    :param log_file: file for log lines, or ``-`` for standard error.
    """

    instance: str
    zone: str
    listen: str
    peer_listen: str
    log_url: str
    list_url: str
    peer_advertise: str = ""
    root_digest: str = ""
    incarnation: int = 0
    max_body_bytes: int = 16 * 1024 * 1024
    max_buffered_bytes: int = 96 * 1024 * 1024
    read_timeout_s: float = 10.0
    max_callers: int = 2048
    list_interval_s: float = 1.0
    drain_timeout_s: float = 30.0
    log_file: str = "-"


def _parse_name(text: str) -> str:
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError("needs lower-case letters, digits and hyphens")
    return text


def _parse_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ValueError("needs IP:PORT with an IPv4 number") from None
    if not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"needs a port from 0 to {MAX_PORT}")
    return text


def _parse_url(text: str) -> str:
    parts = urlsplit(text)
    if parts.scheme != "http":
        raise ValueError("needs http://IP:PORT")
    _parse_address(parts.netloc)
    return text.rstrip("/")


def _parse_digest(text: str) -> str:
    if text and not DIGEST_PATTERN.fullmatch(text):
        raise ValueError("needs 64 hexadecimal digits")
    return text


def _number_parser(kind: Callable[[str], Any], low: float, high: float) -> Callable[[str], Any]:
    def parse(text: str) -> Any:
        try:
            value = kind(text)
        except ValueError:
            raise ValueError("needs a number") from None
        if not low <= value <= high:
            raise ValueError(f"needs a number from {low:g} to {high:g}")
        return value

    return parse


PARSERS: dict[str, Callable[[str], Any]] = {
    "instance": _parse_name,
    "zone": _parse_name,
    "listen": _parse_address,
    "peer_listen": _parse_address,
    "log_url": _parse_url,
    "list_url": _parse_url,
    "peer_advertise": _parse_address,
    "root_digest": _parse_digest,
    "incarnation": _number_parser(int, 0, 2**53),
    "max_body_bytes": _number_parser(int, 1, 2**30),
    "max_buffered_bytes": _number_parser(int, 1, 2**36),
    "read_timeout_s": _number_parser(float, 0.01, 3600),
    "max_callers": _number_parser(int, 1, 100_000),
    "list_interval_s": _number_parser(float, 0.05, 3600),
    "drain_timeout_s": _number_parser(float, 0, 3600),
    "log_file": str,
}


def flag_of(field: str) -> str:
    """
    Return the command-line flag of a setting.

    :param field: name of a field of `Settings`.
    :returns: the flag, such as ``--log-url``.
    """
    return "--" + field.replace("_", "-")


def validate(texts: dict[str, str]) -> Settings:
    """
    Parse and validate the text of each setting.

    :param texts: text of each given setting, by field name.
    :returns: the settings.
    :raises ExceptionGroup: with a `SettingsError` for each missing or invalid setting.
    """
    values: dict[str, Any] = {}
    errors: list[SettingsError] = []
    for field, parse in PARSERS.items():
        if field not in texts:
            if field not in Settings._field_defaults:
                errors.append(SettingsError(flag_of(field), "is missing"))
            continue
        try:
            values[field] = parse(texts[field])
        except ValueError as exc:
            errors.append(SettingsError(flag_of(field), str(exc)))
    if errors:
        raise ExceptionGroup("the settings cannot be used", errors)
    return Settings(**values)


def _option(help_text: str) -> Any:
    return Annotated[str | None, Parameter(help=help_text)]


def _collect(
    *,
    instance: _option("id of this entry instance") = None,
    zone: _option("its availability zone") = None,
    listen: _option("IP:PORT for callers and operators") = None,
    peer_listen: _option("IP:PORT for other entry instances") = None,
    peer_advertise: _option("IP:PORT that other instances are told, when not the bound one") = None,
    log_url: _option("http://IP:PORT of the platform's log") = None,
    list_url: _option("http://IP:PORT of the list of instances") = None,
    root_digest: _option("SHA-256 of the first operator's secret, in hex") = None,
    incarnation: _option("number that grows with each start; 0 takes the time") = None,
    max_body_bytes: _option("largest body of a request, in bytes") = None,
    max_buffered_bytes: _option("bodies held in all, in bytes") = None,
    read_timeout_s: _option("seconds for a whole request to arrive") = None,
    max_callers: _option("most open connections of callers") = None,
    list_interval_s: _option("seconds between two reads of the list") = None,
    drain_timeout_s: _option("seconds that a graceful stop may take") = None,
    log_file: _option("file for the log's lines, - for standard error") = None,
) -> dict[str, str]:
    """
    Serve callers and operators as one entry instance.

    Every flag can be given as an environment variable too, such as EELGRASSDRUM_LOG_URL.
    """
    return {name: text for name, text in locals().items() if text is not None}


def parse_settings(arguments: Sequence[str]) -> Settings | None:
    """
    Read the settings from flags and environment variables; flags take precedence.

    :param arguments: the command line without the program's name.
    :returns: the settings, or ``None`` if only help was requested.
    :raises ExceptionGroup: with a `SettingsError` for each missing or invalid setting.
    """
    app = cyclopts.App(
        name="eelgrassdrumd",
        config=cyclopts.config.Env(ENVIRONMENT_PREFIX, command=False),
        result_action="return_value",
        version_flags=[],
    )
    app.default(_collect)
    try:
        texts = app(arguments, exit_on_error=False, print_error=False)
    except cyclopts.CycloptsError as exc:
        fault = SettingsError("flags", " ".join(str(exc).split()))
        raise ExceptionGroup("the settings cannot be used", [fault]) from None
    return None if texts is None else validate(texts)


def load_or_exit(arguments: Sequence[str]) -> Settings:
    """
    Read the settings, or print every error to standard error and exit.

    :param arguments: the command line without the program's name.
    :returns: the settings.
    """
    try:
        settings = parse_settings(arguments)
    except ExceptionGroup as group:
        _exit_with(group)
    if settings is None:
        sys.exit(os.EX_OK)
    return settings


def _exit_with(group: ExceptionGroup) -> NoReturn:
    for exc in group.exceptions:
        print(f"eelgrassdrumd: {exc}", file=sys.stderr)
    sys.exit(EXIT_USAGE)
