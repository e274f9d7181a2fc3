"""
The circuits HTTP parser, with the framing that the daemon insists on.
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
    What came over the connection is no HTTP message that can be taken.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class Framing(NamedTuple):
    """
    How the end of a message's body is found.

    :param length_bytes: its declared length, or ``None`` when it is chunked.
    """

    length_bytes: int | None


def feed(parser: HttpParser, data: bytes) -> None:
    """
    Give received bytes to a parser.

    :param parser: the parser.
    :param data: the bytes.
    :raises MalformedMessageError: when they are no HTTP.
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
    Read how a message whose headers are complete says where it ends.

    :param parser: the parser.
    :returns: the framing.
    :raises MalformedMessageError: when it does not say so, or contradicts itself.
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
    Check that no header's value breaks the message that it is passed on in.

    The parser decodes escapes, so a value can hold a line break that was not one when sent.

    :param headers: the parsed headers.
    :raises MalformedMessageError: when one does.
    """
    for _, value in headers.items():
        if not UNSAFE_CHARACTERS.isdisjoint(value) or not value.isascii():
            raise MalformedMessageError(400, "a header holds a character that cannot be passed on")
