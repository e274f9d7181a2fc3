"""
The event loop of an instance: passes events to the reducer of jobs and executes its effects.
"""

import os
import signal
import time
import traceback
from collections import deque
from functools import partial

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from eelgrassdrum_core.jobs import (
    INTAKE_CHANNEL,
    Identity,
    Moment,
    effects,
    events,
    is_config_too_old,
    model,
    new_node,
    reduce,
)

from .._http_pool import HttpPool
from .._http_server import HttpServer
from .._server_state import Exchange, ServerLimits
from .._timers import Scheduler
from . import _metrics, _peers
from ._logging import Write
from ._ports import Ports

TICK_INTERVAL_S = 0.05
# An instance whose last successful read of the store is older than this can't accept jobs; it
# reports not ready, so that callers are routed to other instances. The limit covers a long poll of
# 0.5 s and a slow store's response time of 0.25 s.
READINESS_MAX_AGE_S = 1.5
# Connections to the store: long-polling reads, appends, and reads at short intervals until the
# first of them times out while the store doesn't respond.
STORE_CONNS = 16
# Connections to one worker: one long poll for completions of runs, the others for orders.
WORKER_CONNS = 8
CONTROL_CONNS = 24
# Connections to the owner; an instance sends one batch at a time.
PEER_CONNS = 4
# Orders to workers and for instances are small, so their bytes are acknowledged at once unless they
# are held up. A new owner waits longer than this before it orders instances.
ORDER_ACK_TIMEOUT_S = 1.5
MAX_CALLER_BODY_BYTES = 256 * 1024
MAX_BUFFERED_BYTES = 32 * 1024 * 1024
READ_TIMEOUT_S = 10.0
MAX_CALLER_CONNS = 3_000
TRACEBACK_LINES = 8


def boot_clock() -> float:
    """
    Return the time of a monotonic clock that also advances while the machine is suspended.

    :returns: seconds since boot.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class JobApp(BaseComponent):
    """
    The event loop of one instance that schedules jobs.
    """

    channel = "jobs"

    def init(
        self,
        instance: str,
        zone: str,
        bounds: model.Bounds,
        front: str,
        ready: str,
        metrics: str,
        write: Write,
        weakness: float = 0.0,
        peers: str = "",
    ) -> None:
        """
        Open the listening sockets; nothing is sent until the event loop runs.

        :param instance: id of this instance.
        :param zone: its availability zone.
        :param bounds: time limits and rates that the platform guarantees or requires.
        :param front: listening address for callers, as ``host:port``.
        :param ready: listening address for readiness probes of the load balancer.
        :param metrics: listening address for scrapers.
        :param write: writes a line of the structured log.
        :param weakness: 0 when this instance can carry the owner's load, up to 1 when it can't.
        :param peers: listening address for other instances; empty for none.
        """
        self.write = write
        self.clock = boot_clock
        self.metrics = _metrics.JobMetrics()
        incarnation = time.time_ns() // 1_000_000
        identity = Identity(instance, incarnation, zone, weakness, peers)
        self.node = new_node(identity, bounds)
        self._pending_events: deque[object] = deque()
        self._is_reducing = False
        self._ports: Ports | None = None
        self._open_sockets(front, ready, metrics, peers)

    def _open_sockets(self, front: str, ready: str, metrics: str, peers: str) -> None:
        poller = EPoll().register(self)
        scheduler = self.scheduler = Scheduler(self.clock).register(self)
        make_pool = partial(HttpPool, poller, scheduler)
        self.store_pool = make_pool(STORE_CONNS, channel="store").register(self)
        make_order_pool = partial(make_pool, ack_timeout_s=ORDER_ACK_TIMEOUT_S)
        self.worker_pool = make_order_pool(WORKER_CONNS, channel="workers").register(self)
        self.control_pool = make_order_pool(CONTROL_CONNS, channel="control").register(self)
        self.peer_pool = make_pool(PEER_CONNS, channel="peer-calls").register(self)
        limits = ServerLimits(
            MAX_CALLER_BODY_BYTES, MAX_BUFFERED_BYTES, READ_TIMEOUT_S, MAX_CALLER_CONNS
        )
        start_server = partial(self._start_server, scheduler, limits)
        self.front = start_server(front, "front", self._on_call, self._on_abandoned)
        self.ready = start_server(ready, "ready", self._on_readiness_probe, _ignore_abandoned)
        self.scrapes = start_server(metrics, "metrics", self._on_scrape, _ignore_abandoned)
        self.peers = (
            start_server(peers, "peers", self._on_peer_request, _ignore_abandoned)
            if peers
            else None
        )

    def _start_server(
        self, scheduler, limits, address, channel, on_request, on_abandoned
    ) -> HttpServer:
        host, _, port = address.rpartition(":")
        server = HttpServer(
            (host, int(port)), scheduler, limits, on_request, on_abandoned, channel=channel
        )
        return server.register(self)

    def connect(self, ports: Ports) -> None:
        """
        Set the platform's functions, which execute effects and read requests.

        :param ports: functions of the platform's adapter.
        """
        self._ports = ports
        self._effects = {
            **ports.effects,
            effects.Reply: self._reply,
            effects.WriteLine: self._write_line,
            effects.Exit: self._exit,
            effects.Forward: _peers.make_record_forwarder(
                self.peer_pool, self.post, INTAKE_CHANNEL
            ),
            effects.AnswerPeer: self._answer_peer,
        }

    def post(self, event: object) -> None:
        """
        Reduce an event and execute its effects.

        An event that is posted while another one is being reduced is queued after it.

        :param event: one of the core's events.
        """
        self._pending_events.append(event)
        if self._is_reducing:
            return
        self._is_reducing = True
        try:
            while self._pending_events:
                self._reduce(self._pending_events.popleft())
        finally:
            self._is_reducing = False

    def _now(self) -> Moment:
        return Moment(self.clock(), time.time_ns() // 1_000_000)

    def _reduce(self, event: object) -> None:
        now = self._now()
        try:
            produced = reduce(self.node, now, event)
        except Exception as exc:
            # Effects that were produced before the exception still have to be executed.
            self._log_exception(exc, type(event).__name__)
            produced, self.node.out = self.node.out, []
        for effect in produced:
            try:
                self._effects[type(effect)](effect)
            except Exception as exc:
                self._log_exception(exc, type(effect).__name__)

    def _log_exception(self, exc: BaseException, what: str) -> None:
        lines = traceback.format_exception(exc)
        self.write(
            "instance.exception",
            what=what,
            error=type(exc).__name__,
            message=str(exc),
            traceback="".join(lines[-TRACEBACK_LINES:]),
        )

    def _on_call(self, exchange: Exchange) -> None:
        call = self._ports.to_call(exchange)
        if call is None:
            self.front.answer(exchange.token, 405, {}, b"")
            return
        self.post(call)

    def _on_peer_request(self, exchange: Exchange) -> None:
        event = _peers.decode_records(exchange)
        if event is None:
            self.peers.answer(exchange.token, _peers.MALFORMED_STATUS, {}, b"")
            return
        self.post(event)

    def _answer_peer(self, effect: effects.AnswerPeer) -> None:
        status, body = _peers.encode_answer(effect)
        self.peers.answer(effect.token, status, {}, body)

    def _on_abandoned(self, token: int) -> None:
        self.post(events.CallAbandoned(token))

    def _reply(self, reply: effects.Reply) -> None:
        status, headers, body = self._ports.encode_reply(reply)
        _metrics.count(self.metrics, "calls", reply.outcome)
        self.front.answer(reply.token, status, headers, body)

    def _write_line(self, line: effects.WriteLine) -> None:
        _metrics.count_log_line(self.metrics, line)
        self.write(line.action, **line.fields)

    def _exit(self, _effect: effects.Exit) -> None:
        self.write("instance.stopped", open_calls=len(self.front.exchanges))
        os._exit(0)

    def is_ready(self) -> bool:
        """
        Return whether the load balancer should route callers to this instance.

        :returns: whether it can accept calls.
        """
        node, now_s = self.node, self.clock()
        age_s = now_s - node.tail.last_success_s
        is_incomplete = node.tail.needs_snapshot or node.tail.is_incomplete
        is_loaded = node.config is not None and not is_incomplete
        is_recent = age_s < READINESS_MAX_AGE_S and not is_config_too_old(node, now_s)
        return is_loaded and not node.is_stopping and is_recent

    def _on_readiness_probe(self, exchange: Exchange) -> None:
        status = 200 if self.is_ready() else 503
        self.ready.answer(exchange.token, status, {}, b"")

    def render_metrics(self) -> bytes:
        """
        Render the metrics of this instance as text.

        :returns: one line per value, in UTF-8.
        """
        discarded_bytes = self.store_pool.counters.discarded_bytes
        _metrics.set_count(self.metrics, "store_discarded_bytes", discarded_bytes)
        return _metrics.render(self.metrics, self.node, self._now())

    def _on_scrape(self, exchange: Exchange) -> None:
        body = self.render_metrics()
        self.scrapes.answer(exchange.token, 200, {"Content-Type": "text/plain"}, body)

    @handler("started", channel="*")
    def _on_started(self, *_args):
        signal.signal(signal.SIGHUP, lambda *_: self._reload())
        identity = self.node.identity
        self.write(
            "instance.started",
            incarnation=identity.incarnation,
            front=self.front.address,
            ready=self.ready.address,
        )
        # The settings may have changed since they were read.
        self._reload()
        self.post(events.Ticked())
        self.scheduler.repeat(TICK_INTERVAL_S, partial(self.post, events.Ticked()))

    def _reload(self) -> None:
        self.write("instance.reloaded", **self._ports.reload())

    @handler("signal", channel="*", priority=100)
    def _on_signal(self, event, signo, _stack):
        # Default handlers of circuits would close the listening sockets and end the process.
        event.stop()
        if signo in (signal.SIGTERM, signal.SIGINT):
            self.front.close_after_answers()
            self.post(events.StopAsked())

    @handler("exception", channel="*")
    def _on_exception(self, _type, value, _traceback, handler=None, fevent=None):
        self._log_exception(value, str(fevent))


def _ignore_abandoned(_token: int) -> None:
    """
    Ignore a scraper, load balancer or peer that closed its connection; there is no state to clean
    up.
    """


def run_app(app: JobApp) -> None:
    """
    Run an instance until it is requested to stop.

    :param app: the instance.
    """
    app.run()
