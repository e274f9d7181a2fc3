"""
HTTP server on circuits.web with asynchronous responses.

The socket server, the parser and the response class come from circuits. Its `HTTP` component is
not used, because it limits neither the size of a request nor the time to read it, decompresses
bodies without a limit, keeps the parser of a closed connection, and mixes up pipelined requests.
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
    Reads requests, passes them to a callback, and writes responses when they are ready.
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
        Start listening.

        :param bind: address and port; port 0 selects a free port.
        :param scheduler: runs the timeouts.
        :param limits: resource limits of the server.
        :param on_request: called with each complete request.
        :param on_abandoned: called with the token of an exchange whose client disconnected.
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
        Send the response of an exchange, unless its client has disconnected.

        :param token: token of the exchange.
        :param status: HTTP status.
        :param headers: headers besides the framing headers.
        :param body: the complete body.
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
        # A response is never rejected for lack of memory, but its size counts against the limit
        # for new requests.
        conn.held_bytes = len(data)
        self.buffered_bytes += len(data)
        self._write(conn, data)
        if res.close:
            self.fire(close(conn.sock))

    @property
    def conn_count(self) -> int:
        """
        Number of open client connections.
        """
        return len(self._conns)

    def close_after_answers(self) -> None:
        """
        Close each connection after its next response.
        """
        self._is_closing = True
        for conn in self._conns.values():
            conn.close_after = True

    def stop_listening(self) -> None:
        """
        Stop accepting connections, and close the idle ones.
        """
        self.close_after_answers()
        listener = self._tcp._sock
        if listener is not None and not self._has_stopped_listening:
            self._has_stopped_listening = True
            self._tcp._poller.discard(listener)
            # An event for a pending client connection may already be queued.
            self.scheduler.call_later(FLUSH_POLL_S, partial(self._tcp._close, listener))
        for conn in list(self._conns.values()):
            if conn.token is None and conn.parser is None:
                # The `close` event lets buffered data be sent first.
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
            # A pipelined request is not run: the connection closes after the pending response, and
            # the client may retry the request.
            conn.close_after = True
            return
        try:
            self._receive_data(conn, data)
        except MalformedMessageError as exc:
            self.counters.malformed += 1
            self._reject(conn, exc.status, exc.reason)
        except Exception:
            # The request may have been dispatched before the error occurred.
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
        # Lingering close: remaining input is read and discarded for a while, because closing at
        # once would reset the connection, and the client could lose the response.
        conn.deadline = self._schedule_close(LINGER_S, conn)
        self.scheduler.call_later(FLUSH_POLL_S, partial(self._half_close, conn))

    def _write(self, conn: ServerConn, data: bytes | memoryview) -> None:
        # The socket may be closed while its disconnect event is still queued. Writing to it would
        # leave it registered with the poller forever.
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
        # The `close` event would wait forever for a client that does not read its responses.
        self._tcp._close(conn.sock)
