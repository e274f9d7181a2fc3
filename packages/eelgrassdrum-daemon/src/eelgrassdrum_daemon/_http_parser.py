"""
Wrapper of the circuits HTTP parser that enforces strict message framing.
"""

from typing import NamedTuple

from circuits.web.headers import Headers
from circuits.web.parsers import HttpParser
from circuits.web.parsers.http import INVALID_CHUNK

KIND_REQUEST = 0
KIND_RESPONSE = 1
BODILESS_STATUSES = frozenset({204, 304})
UNSAFE_CHARACTERS = frozenset("\r\n\0")
MISSING_TERMINATOR = "chunk missing terminator"


class MalformedMessageError(Exception):
    """
    Raised when received bytes are not an acceptable HTTP message.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class Framing(NamedTuple):
    """
    How the end of a message body is determined.

    :param length_bytes: the declared length, or ``None`` for a chunked body.
    """

    length_bytes: int | None


def feed(parser: HttpParser, data: bytes) -> None:
    """
    Feed received bytes to a parser.

    :param parser: the parser.
    :param data: the bytes.
    :raises MalformedMessageError: if the bytes are not valid HTTP.
    """
    try:
        parser.execute(data, len(data))
    except Exception as exc:  # The parser raises errors of many types on malformed input.
        raise MalformedMessageError(400, "unreadable message") from exc
    if parser.errno is None:
        return
    # The parser reports a chunk whose end has not arrived yet as an error, but keeps its data.
    if parser.errno == INVALID_CHUNK and parser.errstr.startswith(MISSING_TERMINATOR):
        parser.errno = None
        return
    raise MalformedMessageError(400, "malformed first line, header or chunk")


def framing(parser: HttpParser) -> Framing:
    """
    Return the body framing of a message whose headers are complete.

    :param parser: the parser.
    :returns: the framing.
    :raises MalformedMessageError: if the framing is missing, malformed or ambiguous.
    """
    headers = parser.get_headers()
    length = headers.get("Content-Length")
    coding = headers.get("Transfer-Encoding")
    if coding is not None:
        if length is not None or coding.lower() != "chunked":
            raise MalformedMessageError(400, "ambiguous message length")
        return Framing(None)
    if length is None:
        raise MalformedMessageError(411, "the message has no length")
    if not (length.isascii() and length.isdigit()):
        raise MalformedMessageError(400, "malformed Content-Length")
    return Framing(int(length))


def check_values(headers: Headers) -> None:
    """
    Check that header values can be forwarded safely.

    The parser decodes escapes, so a value may contain a line break that was escaped when sent.

    :param headers: the parsed headers.
    :raises MalformedMessageError: if a value contains an unsafe or non-ASCII character.
    """
    for _, value in headers.items():
        if not UNSAFE_CHARACTERS.isdisjoint(value) or not value.isascii():
            raise MalformedMessageError(400, "a header holds a character that cannot be passed on")
