"""
A small asynchronous HTTP client that keeps its connections.
"""

import asyncio
from collections import defaultdict
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

HEADER_END = b"\r\n\r\n"
IDLE_CONNS = 32


class Answer(NamedTuple):
    """
    A whole answer.

    :param status: HTTP status.
    :param headers: headers, names in lower case.
    :param body: the body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class Conn(NamedTuple):
    """
    One open connection.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Client(msgspec.Struct):
    """
    Idle connections by address.
    """

    idle: defaultdict[str, list[Conn]] = msgspec.field(default_factory=lambda: defaultdict(list))


class NoAnswerError(Exception):
    """
    The request got no whole answer.
    """


async def request(
    client: Client,
    address: str,
    method: str,
    path: str,
    headers: Mapping[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 15.0,
) -> Answer:
    """
    Send one request and wait for its answer.

    :param client: keeps the connections.
    :param address: ``IP:PORT``.
    :param method: HTTP method.
    :param path: path and query.
    :param headers: headers besides those of framing.
    :param body: the body.
    :param timeout_s: seconds to wait.
    :returns: the answer.
    :raises NoAnswerError: there was none.
    """
    conn = None
    try:
        async with asyncio.timeout(timeout_s):
            conn = _take_idle(client, address) or await _open(address)
            conn.writer.write(_encode(address, method, path, headers or {}, body))
            answer = await _read_answer(conn.reader)
    except (OSError, EOFError, TimeoutError, ValueError) as exc:
        if conn is not None:
            conn.writer.close()
        raise NoAnswerError(f"{type(exc).__name__} {exc}") from exc
    if answer.headers.get("connection") == "close" or len(client.idle[address]) >= IDLE_CONNS:
        conn.writer.close()
    else:
        client.idle[address].append(conn)
    return answer


def close(client: Client, address: str | None = None) -> None:
    """
    Close idle connections.

    :param client: keeps the connections.
    :param address: only those to this address; all when left out.
    """
    for name in [address] if address else list(client.idle):
        for conn in client.idle.pop(name, []):
            conn.writer.close()


def _take_idle(client: Client, address: str) -> Conn | None:
    while client.idle[address]:
        conn = client.idle[address].pop()
        if not conn.reader.at_eof() and not conn.writer.is_closing():
            return conn
        conn.writer.close()
    return None


async def _open(address: str) -> Conn:
    host, _, port = address.rpartition(":")
    return Conn(*await asyncio.open_connection(host, int(port)))


def _encode(address: str, method: str, path: str, headers: Mapping[str, str], body: bytes) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    head = (await reader.readuntil(HEADER_END)).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Answer(int(first.split()[1]), headers, body)
