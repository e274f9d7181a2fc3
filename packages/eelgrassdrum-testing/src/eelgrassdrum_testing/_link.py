"""
A network path between two processes that a test can cut, silence and heal.

A path forwards TCP bytes to its target. Cut, it refuses new connections and resets those that
are open. Silent, it keeps what is open without carrying a byte any more, while connections that
are opened later work.
"""

import asyncio
import contextlib
import threading
from collections.abc import Iterator

import msgspec

CHUNK_BYTES = 64 * 1024
START_TIMEOUT_S = 10.0


class Link(msgspec.Struct, eq=False):
    """
    One path.

    :param target: ``IP:PORT`` that it leads to; while it is empty, connections are reset.
    :param address: ``IP:PORT`` at which it takes connections.
    :param is_cut: whether nothing passes.
    :param generation: times that it was silenced; connections of earlier generations are silent.
    """

    target: str
    address: str = ""
    is_cut: bool = False
    generation: int = 0
    loop: asyncio.AbstractEventLoop | None = None
    writers: set[asyncio.StreamWriter] = msgspec.field(default_factory=set)


@contextlib.contextmanager
def open_link(target: str = "") -> Iterator[Link]:
    """
    Open a path, and close it at the end.

    :param target: ``IP:PORT`` that it leads to; empty when `Link.target` is set later.
    :returns: the path.
    """
    link = Link(target)
    started = threading.Event()
    thread = threading.Thread(target=_serve, args=(link, started), daemon=True)
    thread.start()
    if not started.wait(START_TIMEOUT_S) or link.loop is None:
        raise TimeoutError("the path did not open")
    try:
        yield link
    finally:
        link.loop.call_soon_threadsafe(link.loop.stop)
        thread.join(START_TIMEOUT_S)


def cut(link: Link) -> None:
    """
    Let nothing pass, and reset what is open.

    :param link: the path.
    """
    link.is_cut = True
    _in_loop(link, lambda: [writer.transport.abort() for writer in list(link.writers)])


def silence(link: Link) -> None:
    """
    Carry nothing more over connections that are open now.

    :param link: the path.
    """
    link.generation += 1


def heal(link: Link) -> None:
    """
    Let new connections pass again.

    :param link: the path.
    """
    link.is_cut = False


def _in_loop(link: Link, action: object) -> None:
    if link.loop is not None:
        link.loop.call_soon_threadsafe(action)


def _serve(link: Link, started: threading.Event) -> None:
    loop = asyncio.new_event_loop()
    server = loop.run_until_complete(
        asyncio.start_server(lambda r, w: _forward(link, r, w), "127.0.0.1", 0)
    )
    host, port = server.sockets[0].getsockname()
    link.address = f"{host}:{port}"
    link.loop = loop
    started.set()
    loop.run_forever()
    server.close()
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()


async def _forward(link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    if link.is_cut or not link.target:
        writer.transport.abort()
        return
    host, _, port = link.target.rpartition(":")
    try:
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
    except OSError:
        writer.transport.abort()
        return
    link.writers.update((writer, far_writer))
    generation = link.generation
    try:
        await asyncio.gather(
            _carry(link, generation, reader, far_writer),
            _carry(link, generation, far_reader, writer),
        )
    finally:
        link.writers.difference_update((writer, far_writer))


async def _carry(
    link: Link, generation: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(CHUNK_BYTES):
            if link.generation == generation:
                writer.write(data)
                await writer.drain()
    if link.generation == generation:
        writer.close()
