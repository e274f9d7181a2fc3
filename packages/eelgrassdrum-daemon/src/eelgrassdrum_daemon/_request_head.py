"""
First line and headers of a client's request.
"""

import socket

from circuits.web.http import HTTP
from circuits.web.parsers import HttpParser
from circuits.web.wrappers import Request

from ._http_parser import MalformedMessageError, framing

VERSIONS = ((1, 0), (1, 1))


def check_head(parser: HttpParser, max_body_bytes: int) -> int:
    """
    Check a request whose headers are complete.

    :param parser: the parser that has read them.
    :param max_body_bytes: largest body taken.
    :returns: length of the body in bytes.
    :raises MalformedMessageError: when the request cannot be taken.
    """
    headers = parser.get_headers()
    # The parser decodes escapes, so a value can hold a line break that was not one when sent.
    if any("\r" in value or "\n" in value for _, value in headers.items()):
        raise MalformedMessageError(400, "a header holds a line break")
    if parser.get_version() not in VERSIONS:
        raise MalformedMessageError(505, "only HTTP/1.0 and HTTP/1.1 are spoken")
    if "Content-Encoding" in headers:
        raise MalformedMessageError(415, "compressed bodies are not taken")
    if "Content-Length" not in headers and "Transfer-Encoding" not in headers:
        return 0
    length = framing(parser).length_bytes
    if length is None:
        raise MalformedMessageError(411, "the body needs a Content-Length")
    if length > max_body_bytes:
        raise MalformedMessageError(413, "the body is larger than allowed")
    return length


def build_request(sock: socket.socket, parser: HttpParser, server: HTTP) -> Request:
    """
    Make the circuits request of a parsed message.

    :param sock: the client's connection.
    :param parser: the parser that has read it.
    :param server: gives the server's own address.
    :returns: the request.
    :raises OSError: when the client is gone.
    :raises ValueError: when the host or the path cannot be read.
    """
    return Request(
        sock,
        parser.get_method(),
        "http",
        parser.get_path(),
        parser.get_version(),
        parser.get_query_string(),
        headers=parser.get_headers(),
        server=server,
    )
