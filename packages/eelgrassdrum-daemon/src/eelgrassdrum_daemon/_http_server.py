"""
HTTP server on circuits.web whose answers may be given later.

The socket server, the parser and the form of answers are those of circuits. Its `HTTP` component
is not used, because its reader sets no limit on size or time, unpacks compressed bodies without
bound, keeps the parser of a connection that closed, and mixes up pipelined requests.
"""

import contextlib
import itertools
import socket
from collections.abc import Callable, Mapping
from functools import partial

from circuits import BaseComponent, handler
from circuits.net.events import close
from circuits.net.sockets import TCPServer
from circuits.web.parsers import HttpParser
from circuits.web.wrappers import Response

from eelgrassdrum_core import refusals

from ._http_parser import KIND_REQUEST, MalformedMessageError, feed
from ._request_head import build_request, check_head
from ._server_answers import encode_answer, encode_error
from ._server_state import Exchange, ServerConn, ServerCounters, ServerLimits
from ._timers import Scheduler, Timer

READ_BYTES = 64 * 1024
MAX_HEADER_BYTES = 16 * 1024
IDLE_TIMEOUT_S = 120.0
LINGER_S = 0.5
FLUSH_POLL_S = 0.02
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CHANNEL = "web"


class HttpServer(BaseComponent):
    """
    Reads requests, hands them on, and writes the answers whenever they come.
    """

    channel = CHANNEL

    def init(
        self,
        bind: tuple[str, int],
        scheduler: Scheduler,
        limits: ServerLimits,
        on_request: Callable[[Exchange], None],
        on_abandoned: Callable[[int], None],
        **_options: str,
    ) -> None:
        """
        Listen.

        :param bind: address and port; port 0 lets the system choose.
        :param scheduler: runs the deadlines.
        :param limits: what a client may take up.
        :param on_request: called with each whole request.
        :param on_abandoned: called with the token of an exchange whose client is gone.
        :param _options: the channel; servers of one process need different ones.
        """
        self.scheduler = scheduler
        self.limits = limits
        self.on_request = on_request
        self.on_abandoned = on_abandoned
        self.counters = ServerCounters()
        self.exchanges: dict[int, Exchange] = {}
        self.buffered_bytes = 0
        self._is_closing = False
        self._has_stopped_listening = False
        self._conns: dict[socket.socket, ServerConn] = {}
        self._tokens = itertools.count(1)
        self._tcp = TCPServer(bind, channel=self.channel, bufsize=READ_BYTES).register(self)

    @property
    def address(self) -> str:
        """
        ``IP:PORT`` that the server listens on.
        """
        return f"{self._tcp.host}:{self._tcp.port}"

    def answer(
        self, token: int, status: int, headers: Mapping[str, str], body: bytes | str
    ) -> None:
        """
        Answer an exchange; does nothing when its client is gone.

        :param token: the exchange.
        :param status: HTTP status.
        :param headers: headers besides those of framing.
        :param body: the whole body.
        """
        exchange = self.exchanges.pop(token, None)
        if exchange is None:
            return
        conn = self._conns[exchange.req.sock]
        conn.token = None
        self._release_buffer(conn)
        res = exchange.res
        res.status = status
        res.close = res.close or conn.close_after
        for name, value in headers.items():
            res.headers[name] = value
        conn.closing = res.close
        conn.deadline = self._schedule_close(IDLE_TIMEOUT_S, conn)
        data = encode_answer(res, body)
        # An answer is never refused for want of memory; what it takes up holds back new requests.
        conn.held_bytes = len(data)
        self.buffered_bytes += len(data)
        self._write(conn, data)
        if res.close:
            self.fire(close(conn.sock))

    @property
    def conn_count(self) -> int:
        """
        Open connections of clients.
        """
        return len(self._conns)

    def close_after_answers(self) -> None:
        """
        Close each connection after its next answer.
        """
        self._is_closing = True
        for conn in self._conns.values():
            conn.close_after = True

    def stop_listening(self) -> None:
        """
        Take no new connections, and close those that wait for no answer.
        """
        self.close_after_answers()
        listener = self._tcp._sock
        if listener is not None and not self._has_stopped_listening:
            self._has_stopped_listening = True
            self._tcp._poller.discard(listener)
            # An event that says that a client waits may be queued already.
            self.scheduler.call_later(FLUSH_POLL_S, partial(self._tcp._close, listener))
        for conn in list(self._conns.values()):
            if conn.token is None and conn.parser is None:
                # What was written but not yet sent goes out first.
                self.fire(close(conn.sock))

    @handler("connect")
    def _on_connect(self, sock, *_peer):
        if len(self._conns) >= self.limits.max_conns:
            self.fire(close(sock))
            return
        self.counters.accepted += 1
        conn = self._conns[sock] = ServerConn(sock, close_after=self._is_closing)
        conn.deadline = self._schedule_close(IDLE_TIMEOUT_S, conn)

    @handler("disconnect")
    def _on_disconnect(self, sock):
        conn = self._conns.pop(sock, None)
        if conn is None:
            return
        self.scheduler.cancel(conn.deadline)
        self._release_buffer(conn)
        if conn.token is not None and self.exchanges.pop(conn.token, None):
            self.counters.abandoned += 1
            self.on_abandoned(conn.token)

    @handler("_write", priority=-1)
    def _on_written(self, sock):
        conn = self._conns.get(sock)
        is_quiet = conn is not None and conn.token is None and conn.parser is None
        if is_quiet and not self._tcp._buffers.get(sock):
            self._release_buffer(conn)

    @handler("read")
    def _on_read(self, sock, data):
        conn = self._conns.get(sock)
        if conn is None or conn.closing:
            return
        if conn.token is not None:
            # A pipelined request is not run: the client sees the connection close after the
            # answer that it waits for, and may send the request again.
            conn.close_after = True
            return
        try:
            self._receive_data(conn, data)
        except MalformedMessageError as exc:
            self.counters.malformed += 1
            self._reject(conn, exc.status, exc.reason)
        except Exception:
            # The request may have been dispatched before the fault showed.
            self._reject(conn, 500, "internal error", refusals.UNKNOWN)
            raise

    def _receive_data(self, conn: ServerConn, data: bytes) -> None:
        if conn.parser is None:
            self._begin_request(conn)
        conn.received_bytes += len(data)
        self._reserve_buffer(conn, len(data))
        feed(conn.parser, data)
        if not conn.parser.is_headers_complete():
            if conn.received_bytes > MAX_HEADER_BYTES:
                raise MalformedMessageError(431, "the headers are too long")
            return
        if conn.length_bytes is None:
            self._process_head(conn)
        if conn.length_bytes == 0 or conn.parser.is_message_complete():
            self._finish_request(conn)

    def _reserve_buffer(self, conn: ServerConn, size_bytes: int) -> None:
        if self.buffered_bytes + size_bytes > self.limits.max_buffered_bytes:
            raise MalformedMessageError(503, "this instance is out of memory for bodies")
        conn.held_bytes += size_bytes
        self.buffered_bytes += size_bytes

    def _release_buffer(self, conn: ServerConn) -> None:
        self.buffered_bytes -= conn.held_bytes
        conn.held_bytes = 0

    def _begin_request(self, conn: ServerConn) -> None:
        conn.parser = HttpParser(KIND_REQUEST)
        conn.received_bytes = 0
        conn.length_bytes = None
        self.scheduler.cancel(conn.deadline)
        expire = partial(self._expire_read, conn)
        conn.deadline = self.scheduler.call_later(self.limits.read_timeout_s, expire)

    def _process_head(self, conn: ServerConn) -> None:
        conn.length_bytes = check_head(conn.parser, self.limits.max_body_bytes)
        wants_continue = conn.parser.get_headers().get("Expect", "").lower() == "100-continue"
        if conn.length_bytes and wants_continue:
            self._write(conn, CONTINUE)

    def _finish_request(self, conn: ServerConn) -> None:
        parser, conn.parser = conn.parser, None
        body = parser.recv_body()
        if len(body) != conn.length_bytes:
            raise MalformedMessageError(400, "more bytes than the request's length")
        req = build_request(conn.sock, parser, self._tcp)
        res = Response(req)
        res.close = not parser.should_keep_alive()
        self.scheduler.cancel(conn.deadline)
        exchange = Exchange(next(self._tokens), req, res, body)
        conn.token = exchange.token
        self.exchanges[exchange.token] = exchange
        self.counters.received += 1
        self.on_request(exchange)

    def _schedule_close(self, delay_s: float, conn: ServerConn) -> Timer:
        self.scheduler.cancel(conn.deadline)
        return self.scheduler.call_later(delay_s, partial(self._close, conn))

    def _expire_read(self, conn: ServerConn) -> None:
        self.counters.timed_out += 1
        self._reject(conn, 408, "the request did not arrive in time")

    def _reject(
        self,
        conn: ServerConn,
        status: int,
        reason: str,
        run_state: refusals.RunState = refusals.NOT_RUN,
    ) -> None:
        conn.parser = None
        conn.closing = True
        self._release_buffer(conn)
        self._write(conn, encode_error(status, reason, run_state))
        # What the client still sends is read and dropped for a while: closing at once would
        # reset the connection, and the client could lose the answer.
        conn.deadline = self._schedule_close(LINGER_S, conn)
        self.scheduler.call_later(FLUSH_POLL_S, partial(self._half_close, conn))

    def _write(self, conn: ServerConn, data: bytes | memoryview) -> None:
        # The socket may be closed while the event that says so is still queued. Writing to it
        # would leave it in the poller's lists for good.
        if conn.sock.fileno() >= 0:
            self._tcp.write(conn.sock, data)

    def _half_close(self, conn: ServerConn) -> None:
        if conn.sock not in self._conns:
            return
        if self._tcp._buffers.get(conn.sock):
            self.scheduler.call_later(FLUSH_POLL_S, partial(self._half_close, conn))
            return
        with contextlib.suppress(OSError):
            conn.sock.shutdown(socket.SHUT_WR)

    def _close(self, conn: ServerConn) -> None:
        conn.closing = True
        # Firing `close` would wait for a client that never reads what was written to it.
        self._tcp._close(conn.sock)
