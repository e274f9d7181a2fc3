"""
Pool of HTTP/1.1 client connections with deadlines.

The circuits HTTP client uses a single connection, sends requests serially, has no timeout, and
polls for a connect to complete. This pool registers non-blocking sockets with the circuits poller
instead, and parses responses with the circuits parser.
"""

import socket
from collections import defaultdict, deque
from functools import partial

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.web.parsers import HttpParser

from ._http_messages import ClientRequest, HttpAnswer, HttpFailure, encode_head
from ._http_parser import (
    BODILESS_STATUSES,
    KIND_RESPONSE,
    MalformedMessageError,
    check_values,
    feed,
    framing,
)
from ._http_state import ClientConn, PoolCounters
from ._sockets import begin_connect, is_open
from ._timers import Scheduler

READ_BYTES = 256 * 1024
DEFAULT_CONNS_PER_ADDRESS = 64
IDLE_CONNS_PER_ADDRESS = 16
MAX_IDLE_S = 60.0


class HttpPool(BaseComponent):
    """
    Sends requests over persistent connections that are reused.

    ``on_done`` of each request is called exactly once: with a complete response, or with a
    failure that says whether any byte of the request may have been sent. After a failure, bytes
    that the peer's kernel has not received yet are discarded.
    """

    channel = "http-pool"

    def init(
        self,
        poller: BasePoller,
        scheduler: Scheduler,
        conns_per_address: int = DEFAULT_CONNS_PER_ADDRESS,
        max_answer_bytes: int = 16 * 1024 * 1024,
        max_buffered_bytes: int = 64 * 1024 * 1024,
        ack_timeout_s: float | None = None,
        **_options: str,
    ) -> None:
        """
        Create an empty pool.

        :param poller: the poller of the event loop.
        :param scheduler: runs the request timeouts.
        :param conns_per_address: maximum number of connections to one address.
        :param max_answer_bytes: maximum size of a response; a larger one fails its request.
        :param max_buffered_bytes: maximum total size of incomplete responses; a request
            whose response exceeds it fails.
        :param ack_timeout_s: time after which a connection is reset if its peer has not
            acknowledged what was sent, also while the process is paused; ``None`` for the default
            of the kernel.
        """
        self.poller = poller
        self.scheduler = scheduler
        self.conns_per_address = conns_per_address
        self.max_answer_bytes = max_answer_bytes
        self.max_buffered_bytes = max_buffered_bytes
        self.ack_timeout_s = ack_timeout_s
        self.buffered_bytes = 0
        self.counters = PoolCounters()
        self._conns: dict[socket.socket, ClientConn] = {}
        self._open_conns: dict[str, int] = defaultdict(int)
        self._idle: dict[str, deque[ClientConn]] = defaultdict(deque)

    def submit(self, req: ClientRequest) -> ClientConn | None:
        """
        Send a request.

        :param req: the request.
        :returns: the connection, for `abort`, or ``None`` if the request has already failed.
        """
        conn = self._reuse_idle(req.address) or self._open(req)
        if conn is None:
            return None
        conn.req = req
        conn.parser = HttpParser(KIND_RESPONSE)
        conn.sent_bytes = 0
        conn.out.append(memoryview(encode_head(req)))
        if req.body:
            conn.out.append(memoryview(req.body))
        conn.submitted_s = self.scheduler.clock()
        conn.deadline = self.scheduler.call_later(req.timeout_s, partial(self._expire, conn))
        limits_s = (req.timeout_s, req.send_within_s)
        conn.send_until_s = conn.submitted_s + min(s for s in limits_s if s is not None)
        if not conn.connecting:
            self._write_pending(conn)
        return conn

    def abort(self, conn: ClientConn, reason: str = "aborted") -> None:
        """
        Fail the request in flight on a connection, and close the connection.

        :param conn: the connection.
        :param reason: reason of the reported failure.
        """
        if conn.req is not None:
            self._fail(conn, reason)

    def close_address(self, address: str) -> None:
        """
        Close the idle connections to an address.

        :param address: ``IP:PORT``.
        """
        for conn in list(self._idle.pop(address, ())):
            self._close(conn)

    def _reuse_idle(self, address: str) -> ClientConn | None:
        idle = self._idle.get(address)
        while idle:
            conn = idle.pop()
            if self._is_usable(conn):
                self.counters.reused += 1
                return conn
            self._close(conn)
        return None

    def _is_usable(self, conn: ClientConn) -> bool:
        is_fresh = self.scheduler.clock() - conn.idle_since_s <= MAX_IDLE_S
        return is_fresh and is_open(conn.sock)

    def _open(self, req: ClientRequest) -> ClientConn | None:
        if self._open_conns[req.address] >= self.conns_per_address:
            self.counters.full += 1
            req.on_done(HttpFailure("pool_full", sent=False))
            return None
        sock = begin_connect(req.address, self.ack_timeout_s)
        if sock is None:
            req.on_done(HttpFailure("connect", sent=False))
            return None
        conn = ClientConn(sock, req.address)
        self._conns[sock] = conn
        self._open_conns[req.address] += 1
        self.counters.opened += 1
        self._register_writer(conn)
        return conn

    @handler("_write")
    def _on_writable(self, sock):
        conn = self._conns.get(sock)
        if conn is None:
            return
        if conn.connecting and not self._finish_connect(conn):
            return
        self._write_pending(conn)

    @handler("_read")
    def _on_readable(self, sock):
        conn = self._conns.get(sock)
        if conn is None:
            return
        if conn.req is None:
            self._close_idle(conn)
            return
        try:
            data = sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self._receive_data(conn, data)
        else:
            self._fail(conn, "closed")

    @handler("_disconnect")
    def _on_hangup(self, sock):
        conn = self._conns.get(sock)
        if conn is None:
            return
        if conn.req is None:
            self._close_idle(conn)
        else:
            self._fail(conn, "connect" if conn.connecting else "closed")

    def _finish_connect(self, conn: ClientConn) -> bool:
        if conn.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._fail(conn, "connect")
            return False
        conn.connecting = False
        self.poller.addReader(self, conn.sock)
        return True

    def _write_pending(self, conn: ClientConn) -> None:
        # After a pause of the process, the poller may report the socket before the timer runs.
        if conn.out and not conn.sent_bytes and self.scheduler.clock() >= conn.send_until_s:
            self._fail(conn, "not_sent_in_time")
            return
        while conn.out:
            try:
                sent = conn.sock.send(conn.out[0])
            except BlockingIOError:
                self._register_writer(conn)
                return
            except OSError:
                self._fail(conn, "closed")
                return
            conn.sent_bytes += sent
            if sent < len(conn.out[0]):
                conn.out[0] = conn.out[0][sent:]
            else:
                conn.out.popleft()
        if conn.writing:
            conn.writing = False
            self.poller.removeWriter(conn.sock)

    def _register_writer(self, conn: ClientConn) -> None:
        if not conn.writing:
            conn.writing = True
            self.poller.addWriter(self, conn.sock)

    def _expire(self, conn: ClientConn) -> None:
        """
        Fail the request in flight, unless its response may go on arriving and does.
        """
        left_s = self._transfer_left_s(conn)
        if left_s > 0:
            conn.deadline = self.scheduler.call_later(left_s, partial(self._expire, conn))
        else:
            self._fail(conn, "timeout")

    def _transfer_left_s(self, conn: ClientConn) -> float:
        transfer = conn.req.transfer
        if transfer is None or not conn.received_bytes:
            return 0.0
        idle_until_s = conn.received_s + transfer.idle_timeout_s
        return min(idle_until_s, conn.submitted_s + transfer.max_s) - self.scheduler.clock()

    def _receive_data(self, conn: ClientConn, data: bytes) -> None:
        is_first = not conn.received_bytes
        conn.received_s = self.scheduler.clock()
        conn.received_bytes += len(data)
        self.buffered_bytes += len(data)
        is_over = self.buffered_bytes > self.max_buffered_bytes
        if is_over or conn.received_bytes > self.max_answer_bytes:
            self._fail(conn, "answer_too_large")
            return
        transfer = conn.req.transfer
        if is_first and transfer is not None and transfer.on_begin is not None:
            transfer.on_begin()
        try:
            feed(conn.parser, data)
            if conn.parser.is_headers_complete():
                self._handle_response(conn)
        except MalformedMessageError:
            self._fail(conn, "malformed")

    def _handle_response(self, conn: ClientConn) -> None:
        parser = conn.parser
        status = parser.get_status_code()
        length = 0 if status in BODILESS_STATUSES else framing(parser).length_bytes
        if length != 0 and not parser.is_message_complete():
            return
        body = parser.recv_body()
        if length is not None and len(body) != length:
            raise MalformedMessageError(400, "more bytes than the answer's length")
        check_values(parser.get_headers())
        answer = HttpAnswer(status, dict(parser.get_headers()), body)
        if conn.req.is_expected is None or conn.req.is_expected(answer):
            self._finish(conn, answer)
            return
        self.counters.mismatched += 1
        self._fail(conn, "mismatched")

    def _finish(self, conn: ClientConn, answer: HttpAnswer) -> None:
        req, conn.req = conn.req, None
        self.scheduler.cancel(conn.deadline)
        self._release_buffer(conn)
        idle = self._idle[conn.address]
        # A response to a partly sent request leaves the connection out of sync.
        reusable = not conn.out and conn.parser.should_keep_alive()
        if reusable and len(idle) < IDLE_CONNS_PER_ADDRESS:
            conn.idle_since_s = self.scheduler.clock()
            idle.append(conn)
        else:
            self._close(conn)
        self.counters.answered += 1
        req.on_done(answer)

    def _fail(self, conn: ClientConn, reason: str) -> None:
        req, conn.req = conn.req, None
        self.counters.discarded_bytes += conn.received_bytes
        self._close(conn)
        if req is None:
            return
        if reason == "timeout":
            # Whatever dropped the state of this connection may have dropped that of idle ones too.
            self.close_address(conn.address)
        self.counters.failed += 1
        req.on_done(HttpFailure(reason, sent=conn.sent_bytes > 0))

    def _release_buffer(self, conn: ClientConn) -> None:
        self.buffered_bytes -= conn.received_bytes
        conn.received_bytes = 0

    def _close_idle(self, conn: ClientConn) -> None:
        idle = self._idle.get(conn.address)
        if idle and conn in idle:
            idle.remove(conn)
        self._close(conn)

    def _close(self, conn: ClientConn) -> None:
        if self._conns.pop(conn.sock, None) is None:
            return
        self.scheduler.cancel(conn.deadline)
        self._release_buffer(conn)
        self._open_conns[conn.address] -= 1
        if not self._open_conns[conn.address]:
            del self._open_conns[conn.address]
            self._idle.pop(conn.address, None)
        self.poller.discard(conn.sock)
        conn.sock.close()
