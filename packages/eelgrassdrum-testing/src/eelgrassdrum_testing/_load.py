"""
A closed loop of callers: each sends its next request when the last is answered.
"""

import asyncio
import itertools
import sys
import time

import msgspec

HEADER_END = b"\r\n\r\n"
LENGTH_HEADER = b"content-length:"
GRACE_S = 5.0


class LoadPlan(msgspec.Struct):
    """
    What the callers send.

    :param address: ``IP:PORT`` of the server.
    :param path: path of every request.
    :param conns: callers at a time, each with a connection of its own.
    :param seconds: how long they go on.
    :param body_bytes: length of each body.
    :param headers: headers of every request.
    :param prefix: begins every request id, so that several runs do not clash.
    """

    address: str
    path: str
    conns: int
    seconds: float
    body_bytes: int = 200
    headers: dict[str, str] = {}
    prefix: str = "load"


class LoadResult(msgspec.Struct):
    """
    What the callers got.

    :param statuses: answers by HTTP status; ``closed`` counts connections that ended early.
    :param seconds: how long it took.
    :param latencies_s: seconds that each answer took.
    """

    statuses: dict[str, int]
    seconds: float
    latencies_s: list[float]


class Caller(asyncio.Protocol):
    """
    One caller.
    """

    def __init__(self, plan: LoadPlan, number: int, result: LoadResult, end_s: float) -> None:
        self._plan = plan
        self._number = number
        self._result = result
        self._end_s = end_s
        self._ids = itertools.count(1)
        self._data = b""
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """
        Send the first request.

        :param transport: the connection.
        """
        self._transport = transport
        self._send()

    def data_received(self, data: bytes) -> None:
        """
        Take in an answer; when it is whole, send the next request.

        :param data: what came.
        """
        self._data = self._data + data if self._data else data
        end = self._data.find(HEADER_END)
        if end < 0:
            return
        head = self._data[:end]
        if len(self._data) < end + len(HEADER_END) + content_length(head):
            return
        status = head[9:12].decode()
        self._result.statuses[status] = self._result.statuses.get(status, 0) + 1
        self._result.latencies_s.append(time.monotonic() - self._sent_s)
        self._data = b""
        if time.monotonic() < self._end_s:
            self._send()
        else:
            self._finish()

    def connection_lost(self, exc: Exception | None) -> None:
        """
        Count an early end.

        :param exc: why, if known.
        """
        if not self.done.done():
            self._result.statuses["closed"] = self._result.statuses.get("closed", 0) + 1
            self.done.set_result(None)

    def _finish(self) -> None:
        self.done.set_result(None)
        self._transport.close()

    def _send(self) -> None:
        plan = self._plan
        request_id = f"{plan.prefix}-{self._number}-{next(self._ids)}"
        extra = "".join(f"{name}: {value}\r\n" for name, value in plan.headers.items())
        head = (
            f"POST {plan.path} HTTP/1.1\r\nHost: {plan.address}\r\nX-Request-Id: {request_id}\r\n"
            f"{extra}Content-Length: {plan.body_bytes}\r\n\r\n"
        )
        self._sent_s = time.monotonic()
        self._transport.write(head.encode() + b"x" * plan.body_bytes)


def content_length(head: bytes) -> int:
    """
    Read the length of an answer's body.

    :param head: first line and headers.
    :returns: the length in bytes.
    """
    for line in head.split(b"\r\n"):
        if line.lower().startswith(LENGTH_HEADER):
            return int(line[len(LENGTH_HEADER) :])
    return 0


async def run(plan: LoadPlan) -> LoadResult:
    """
    Send requests for the time planned.

    :param plan: what to send.
    :returns: what came back.
    """
    loop = asyncio.get_running_loop()
    host, _, port = plan.address.rpartition(":")
    result = LoadResult({}, 0.0, [])
    start_s = time.monotonic()
    callers = []
    for number in range(plan.conns):
        caller = Caller(plan, number, result, start_s + plan.seconds)
        await loop.create_connection(lambda caller=caller: caller, host, int(port))
        callers.append(caller)
    await asyncio.wait([caller.done for caller in callers], timeout=plan.seconds + GRACE_S)
    result.seconds = time.monotonic() - start_s
    return result


def main() -> None:
    """
    Read a plan as JSON from the first argument, and print the result as JSON.
    """
    plan = msgspec.json.decode(sys.argv[1], type=LoadPlan)
    result = asyncio.run(run(plan))
    print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
