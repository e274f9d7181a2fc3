"""
The entry instance: passes events to the reducer and executes the effects it returns.
"""

import os
import time
import traceback
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from eelgrassdrum_core import (
    Identity,
    Sender,
    Tuning,
    decode_message,
    effects,
    encode_message,
    events,
    new_state,
    reduce,
)

from . import _answers, _delivery, _metrics, _shutdown
from ._endpoint_adapter import make_endpoint_adapter
from ._http_pool import HttpPool
from ._http_server import HttpServer
from ._list_adapter import make_list_reader
from ._log_adapter import make_log_adapter
from ._logging import Write
from ._machine_adapter import make_machine_effects
from ._peers import Peers
from ._recent import RecentRequests
from ._routes import handle_exchange
from ._server_answers import encode_json
from ._server_state import ServerLimits
from ._settings import Settings
from ._snapshot_adapter import snapshot_effects
from ._timers import Scheduler
from ._urls import parse_base_url

TICK_INTERVAL_S = 0.1
HOUSEKEEPING_INTERVAL_S = 10.0
SEED_BYTES = 8
TRACEBACK_LINES = 8
CONTROL_CONNS = 4
PROBE_CONNS = 2


class App(BaseComponent):
    """
    Event loop component of one entry instance: owns its sockets, timers and core state.
    """

    channel = "app"

    def init(self, settings: Settings, write: Write) -> None:
        """
        Open the sockets and build the initial state; nothing is sent before the event loop runs.

        :param settings: settings of the instance.
        :param write: writes a line of the structured log.
        """
        self.settings = settings
        self.write = write
        self.metrics = _metrics.MetricsState()
        self.answers = _answers.AnswerStore()
        self.recent = RecentRequests()
        self.open_requests: dict[int, _delivery.OpenRequest] = {}
        self.stop_state = _shutdown.StopState()
        self.waiting_calls = 0
        self._pending: deque[object] = deque()
        self._reducing = False
        self._open_sockets()
        self.state = new_state(self._identity(), self._tuning())
        self._effects = self._build_effect_table()

    def post(self, event: object) -> None:
        """
        Queue an event, then reduce it and execute its effects.

        An event posted while another is being reduced is processed after it.

        :param event: one of the core's events.
        """
        self._pending.append(event)
        if self._reducing:
            return
        self._reducing = True
        try:
            while self._pending:
                self._reduce(self._pending.popleft())
        finally:
            self._reducing = False

    def execute_effect(self, effect: object) -> None:
        """
        Execute one effect.

        :param effect: one of the core's effects.
        """
        self._effects[type(effect)](effect)

    def counters(self) -> dict[str, Any]:
        """
        Return the counters of every component.

        :returns: plain data by component name.
        """
        parts = {
            "attempts": self.attempts.counters,
            "probes": self.probes.counters,
            "control": self.control.counters,
            "server": self.server.counters,
            "peers": self.peers.counters,
        }
        return {
            **{name: msgspec.structs.asdict(part) for name, part in parts.items()},
            "outcomes": self.recent.counts,
            "answers_evicted": self.answers.evicted,
            "open_requests": len(self.open_requests),
            "buffered_bytes": self.server.buffered_bytes,
        }

    def _reduce(self, event: object) -> None:
        self.state, produced = reduce(self.state, self.scheduler.clock(), event)
        for effect in produced:
            self._execute_safely(effect)

    def _execute_safely(self, effect: object) -> None:
        # A failing effect must not prevent the other effects of its event from being executed.
        try:
            self.execute_effect(effect)
        except Exception as exc:
            self._write_exception(exc)
            if isinstance(effect, effects.Dispatch):
                self.post(events.AttemptFailed(effect.attempt, sent=True, reason="internal"))

    def _write_exception(self, exc: BaseException) -> None:
        lines = traceback.format_exception(exc)
        self.write(
            "instance.exception",
            error=type(exc).__name__,
            message=str(exc),
            traceback="".join(lines[-TRACEBACK_LINES:]),
        )

    def _open_sockets(self) -> None:
        settings = self.settings
        poller = EPoll().register(self)
        scheduler = self.scheduler = Scheduler().register(self)
        self.attempts = HttpPool(poller, scheduler, channel="attempts").register(self)
        self.probes = HttpPool(poller, scheduler, PROBE_CONNS, channel="probes").register(self)
        self.control = HttpPool(poller, scheduler, CONTROL_CONNS, channel="control").register(self)
        host, _, port = settings.listen.rpartition(":")
        limits = ServerLimits(
            settings.max_body_bytes,
            settings.max_buffered_bytes,
            settings.read_timeout_s,
            settings.max_callers,
        )
        self.server = HttpServer(
            (host, int(port)),
            scheduler,
            limits,
            partial(handle_exchange, self),
            self._on_abandoned,
        ).register(self)
        self.peers = Peers(
            settings.peer_listen, poller, scheduler.clock, self._on_peer_message
        ).register(self)

    def _identity(self) -> Identity:
        settings = self.settings
        incarnation = settings.incarnation or time.time_ns() // 1_000_000
        sender = Sender(settings.instance, incarnation, settings.zone)
        advertised = settings.peer_advertise or self.peers.address
        return Identity(sender, self.server.address, advertised)

    def _tuning(self) -> Tuning:
        return Tuning(list_interval_s=self.settings.list_interval_s)

    def _build_effect_table(self) -> dict[type, Callable[[Any], None]]:
        settings = self.settings
        endpoints = make_endpoint_adapter(
            self.attempts, self.probes, self.post, partial(_answers.store_answer, self.answers)
        )
        log_url = parse_base_url(settings.log_url)
        log = make_log_adapter(log_url, self.control, self.scheduler, self.post)
        list_base = parse_base_url(settings.list_url)
        read_list = make_list_reader(list_base, self.control, self.post, self._write_log)
        return {
            effects.Dispatch: partial(_delivery.dispatch, self, endpoints.dispatch),
            effects.Reply: partial(_delivery.reply, self),
            effects.Refuse: partial(_delivery.refuse, self),
            effects.DropAnswer: self._drop_answer,
            effects.ReadLog: log.read,
            effects.AppendRecords: log.append,
            **snapshot_effects(log_url, self.control, self.scheduler, self.post),
            effects.ReadInstances: read_list,
            effects.ProbeEndpoint: endpoints.probe,
            effects.SendPeer: self._send_peer,
            effects.WriteLog: self._write_log,
            effects.ObserveLatency: partial(_metrics.record_latencies, self.metrics),
            effects.Exit: partial(_shutdown.on_exit, self),
            **make_machine_effects(list_base, self.control, self.post, self._write_log),
        }

    def _drop_answer(self, effect: effects.DropAnswer) -> None:
        _answers.remove_answer(self.answers, effect.attempt)

    def _send_peer(self, effect: effects.SendPeer) -> None:
        data = encode_message(self.state.identity.sender, effect.message)
        self.peers.send(effect.address, data)

    def _write_log(self, effect: effects.WriteLog) -> None:
        self.write(effect.action, **effect.fields)

    def _on_abandoned(self, token: int) -> None:
        self.open_requests.pop(token, None)
        self.post(events.RequestAbandoned(token))

    def _on_peer_message(self, data: bytes) -> None:
        event = decode_message(data)
        if event is None:
            self.peers.counters.malformed += 1
        else:
            self.post(event)

    @handler("started", channel="*")
    def _on_started(self, *_args):
        addresses = {"address": self.server.address, "peer_address": self.peers.address}
        self.write(
            "instance.started", **addresses, incarnation=self.state.identity.sender.incarnation
        )
        print(encode_json({"ready": True, **addresses}).decode(), flush=True)
        self.post(events.Started(int.from_bytes(os.urandom(SEED_BYTES))))
        self.scheduler.repeat(TICK_INTERVAL_S, partial(self.post, events.Ticked()))
        self.scheduler.repeat(HOUSEKEEPING_INTERVAL_S, self.peers.close_unused)

    @handler("signal", channel="*", priority=100)
    def _on_signal(self, event, signo, _stack):
        # The default handlers of circuits would close the listening socket and end the process.
        event.stop()
        _shutdown.on_signal(self, signo)

    @handler("exception", channel="*")
    def _on_exception(self, _type, value, _traceback, handler=None, fevent=None):
        self._write_exception(value)
