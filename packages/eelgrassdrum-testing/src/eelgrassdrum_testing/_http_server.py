"""
An HTTP server on circuits.web whose handlers may answer later, or never.
"""

import json
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

import msgspec
from circuits import BaseComponent, handler
from circuits.net.events import close
from circuits.net.sockets import TCPServer
from circuits.web.events import response
from circuits.web.http import HTTP

from ._timers import CallLater, Timers

LOOPBACK = "127.0.0.1"
JSON_TYPE = "application/json"

Headers = Mapping[str, str]
NO_HEADERS: Headers = MappingProxyType({})


class Reply(NamedTuple):
    """
    An answer: status, body and further headers.
    """

    status: int
    body: bytes = b""
    headers: Headers = NO_HEADERS


class Call(NamedTuple):
    """
    One request, the functions that end it, of which one is called once, and one more.

    :param reply: answers the request.
    :param drop: closes its connection unanswered.
    :param silence_others: stops every other open connection from answering for good, and tells
        how many are silent.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    reply: Callable[[Reply], None]
    drop: Callable[[], None]
    silence_others: Callable[[], int]


class ErrorBody(msgspec.Struct):
    """
    The body of an answer that refuses a request.
    """

    error: str
    message: str = ""


Handler = Callable[[Call], None]
MakeHandler = Callable[[CallLater], Handler]


def json_reply(body: object, status: int = 200, headers: Headers = NO_HEADERS) -> Reply:
    """
    Encode an answer.

    :param body: anything that msgspec encodes.
    :param status: HTTP status.
    :param headers: further headers.
    :returns: the answer.
    """
    return Reply(status, msgspec.json.encode(body), headers)


def error_reply(status: int, error: str, message: str = "", headers: Headers = NO_HEADERS) -> Reply:
    """
    Encode a refusal.

    :param status: HTTP status.
    :param error: the reason's name.
    :param message: the reason in words.
    :param headers: further headers.
    :returns: the answer.
    """
    return json_reply(ErrorBody(error, message), status, headers)


class HttpServer(BaseComponent):
    """
    Listens on loopback, turns circuits.web requests into calls and writes their answers.
    """

    channel = "web"
    secure = False
    display_banner = False

    def __init__(self, port: int, make_handler: MakeHandler) -> None:
        """
        Bind the port.

        :param port: TCP port, 0 for one that the system chooses.
        :param make_handler: builds the handler of all calls.
        """
        super().__init__()
        self._open: set[Any] = set()
        self._silent: set[Any] = set()
        self._timers = Timers().register(self)
        self._handler = make_handler(self._timers.call_later)
        self._tcp = TCPServer((LOOPBACK, port), channel=self.channel).register(self)
        self.http = HTTP(self, channel=self.channel).register(self)

    @property
    def host(self) -> str:
        """
        The address that the server listens on.
        """
        return LOOPBACK

    @property
    def port(self) -> int:
        """
        The port that the server listens on.
        """
        return self._tcp.port

    @handler("connect")
    def _on_connect(self, sock: Any, *peer: Any) -> None:
        self._open.add(sock)

    @handler("disconnect")
    def _on_disconnect(self, sock: Any) -> None:
        self._open.discard(sock)
        self._silent.discard(sock)

    @handler("read", priority=10)
    def _on_read(self, event: Any, sock: Any, data: bytes) -> None:
        if sock in self._silent:
            event.stop()

    @handler("request")
    def _on_request(self, req: Any, res: Any) -> bool:
        call = self._make_call(req, res)
        try:
            self._handler(call)
        except msgspec.MsgspecError as exc:
            call.reply(error_reply(400, "malformed", str(exc)))
        return True

    def _make_call(self, req: Any, res: Any) -> Call:
        def reply(answer: Reply) -> None:
            self._reply(res, answer)

        def drop() -> None:
            if req.sock in self._open:
                self.fire(close(req.sock))

        def silence_others() -> int:
            self._silent |= self._open - {req.sock}
            return len(self._silent)

        headers = {name.lower(): value for name, value in req.headers.items()}
        return Call(
            method=req.method,
            path=req.path,
            query=dict(parse_qsl(req.qs)),
            headers=headers,
            body=req.body.getvalue(),
            reply=reply,
            drop=drop,
            silence_others=silence_others,
        )

    def _reply(self, res: Any, answer: Reply) -> None:
        sock = res.request.sock
        if sock not in self._open or sock in self._silent:
            return
        res.status = answer.status
        res.headers["Content-Type"] = JSON_TYPE
        for name, value in answer.headers.items():
            res.headers[name] = value
        res.body = answer.body
        self.fire(response(res))


def serve(port: int, make_handler: MakeHandler) -> None:
    """
    Run a server until the process is told to stop; print its address as one JSON line.

    :param port: TCP port, 0 for one that the system chooses.
    :param make_handler: builds the handler of all calls.
    """
    server = HttpServer(port, make_handler)
    print(json.dumps({"ready": True, "address": f"{LOOPBACK}:{server.port}"}), flush=True)
    server.run()
