"""
An endpoint that answers at once, so that a bench measures what is before it.
"""

import asyncio
import sys

import msgspec

HEADER_END = b"\r\n\r\n"
ATTEMPT_HEADER = b"x-attempt-id:"
LENGTH_HEADER = b"content-length:"
HEALTH_BODY = b'{"id":"%s","incarnation":1,"state":"live","slots":64,"running":[]}'


class NullEndpoint(asyncio.Protocol):
    """
    One connection: reads whole requests and echoes their bodies.
    """

    def __init__(self, instance: str) -> None:
        self._data = b""
        self._health = HEALTH_BODY % instance.encode()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """
        Keep the transport.

        :param transport: the connection.
        """
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """
        Answer every request that is whole.

        :param data: what came.
        """
        self._data += data
        while (end := self._data.find(HEADER_END)) >= 0:
            head = self._data[:end]
            size = end + len(HEADER_END) + int(find_header(head, LENGTH_HEADER) or 0)
            if len(self._data) < size:
                return
            body = self._data[end + len(HEADER_END) : size]
            self._data = self._data[size:]
            self._answer(head, self._health if head.startswith(b"GET /health") else body)

    def _answer(self, head: bytes, body: bytes) -> None:
        attempt = find_header(head, ATTEMPT_HEADER)
        self._transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nX-Attempt-Id: %s\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (attempt, len(body), body)
        )


def find_header(head: bytes, name: bytes) -> bytes:
    """
    Find a header's value.

    :param head: first line and headers.
    :param name: the name in lower case, with its colon.
    :returns: the value, or nothing.
    """
    for line in head.split(b"\r\n"):
        if line.lower().startswith(name):
            return line[len(name) :].strip()
    return b""


async def serve(instance: str) -> None:
    """
    Serve until stopped.

    :param instance: id of the endpoint.
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: NullEndpoint(instance), "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    print(msgspec.json.encode({"ready": True, "address": f"{host}:{port}"}).decode(), flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1]))
