"""
The entry instance: tells the reducer what happens and carries out its effects.
"""

import os
import signal
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

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
    refusals,
)

from . import _answers, _metrics
from ._caller_api import relayed_headers
from ._endpoint_adapter import make_endpoint_adapter
from ._http_pool import HttpPool
from ._http_server import HttpServer
from ._list_adapter import make_list_reader
from ._log_adapter import make_log_adapter
from ._logging import Write
from ._peers import Peers
from ._routes import handle_exchange
from ._server_answers import encode_json, refusal_body, refusal_headers
from ._server_state import ServerLimits
from ._settings import Settings
from ._timers import Scheduler
from ._urls import parse_base_url

TICK_INTERVAL_S = 0.1
HOUSEKEEPING_INTERVAL_S = 10.0
# Balancers and callers with open connections learn in this time that the instance stops.
STOP_NOTICE_S = 1.0
EXIT_POLL_S = 0.05
EXIT_LINGER_S = 2.0
EXIT_FORCED = 1
SEED_BYTES = 8
CONTROL_CONNS = 4
PROBE_CONNS = 2


class App(BaseComponent):
    """
    One entry instance.
    """

    channel = "app"

    def init(self, settings: Settings, write: Write) -> None:
        """
        Open the sockets; nothing is sent before the event loop runs.

        :param settings: what the instance is told from outside.
        :param write: writes a line of the structured log.
        """
        self.settings = settings
        self.write = write
        self.metrics = _metrics.MetricsState()
        self.answers = _answers.AnswerStore()
        self.bodies: dict[int, bytes] = {}
        self.request_ids: dict[int, str] = {}
        self.stop_requested_at_s: float | None = None
        self._pending: deque[object] = deque()
        self._reducing = False
        self._exit_at_s: float | None = None
        self._open_sockets()
        self.state = new_state(self._identity(), self._tuning())
        self._effects = self._effect_table()

    def post(self, event: object) -> None:
        """
        Reduce an event and carry out its effects, after those that are being reduced already.

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

    def carry_out(self, effect: object) -> None:
        """
        Carry out one effect.

        :param effect: one of the core's effects.
        """
        self._effects[type(effect)](effect)

    def _reduce(self, event: object) -> None:
        self.state, produced = reduce(self.state, self.scheduler.clock(), event)
        for effect in produced:
            self.carry_out(effect)

    def _open_sockets(self) -> None:
        settings = self.settings
        poller = EPoll().register(self)
        self.scheduler = Scheduler().register(self)
        self.attempts = HttpPool(poller, self.scheduler, channel="attempts").register(self)
        self.probes = HttpPool(poller, self.scheduler, PROBE_CONNS, channel="probes").register(self)
        self.control = HttpPool(poller, self.scheduler, CONTROL_CONNS, channel="control").register(
            self
        )
        host, _, port = settings.listen.rpartition(":")
        limits = ServerLimits(
            settings.max_body_bytes,
            settings.max_buffered_bytes,
            settings.read_timeout_s,
            settings.max_callers,
        )
        self.server = HttpServer(
            (host, int(port)),
            self.scheduler,
            limits,
            partial(handle_exchange, self),
            self._on_abandoned,
        ).register(self)
        self.peers = Peers(
            settings.peer_listen, poller, self.scheduler.clock, self._on_peer_message
        ).register(self)

    def _identity(self) -> Identity:
        settings = self.settings
        incarnation = settings.incarnation or time.time_ns() // 1_000_000
        sender = Sender(settings.instance, incarnation, settings.zone)
        return Identity(sender, self.server.address, self.peers.address)

    def _tuning(self) -> Tuning:
        return Tuning(list_interval_s=self.settings.list_interval_s)

    def _effect_table(self) -> dict[type, Callable[[Any], None]]:
        endpoints = make_endpoint_adapter(
            self.attempts, self.probes, self.post, partial(_answers.keep, self.answers)
        )
        log = make_log_adapter(
            parse_base_url(self.settings.log_url), self.control, self.scheduler, self.post
        )
        read_list = make_list_reader(
            parse_base_url(self.settings.list_url), self.control, self.post, self._write_log
        )
        return {
            effects.Dispatch: partial(self._dispatch, endpoints.dispatch),
            effects.Reply: self._reply,
            effects.Refuse: self._refuse,
            effects.DropAnswer: self._drop_answer,
            effects.ReadLog: log.read,
            effects.AppendRecords: log.append,
            effects.ReadInstances: read_list,
            effects.ProbeEndpoint: endpoints.probe,
            effects.SendPeer: self._send_peer,
            effects.WriteLog: self._write_log,
            effects.ObserveLatency: partial(_metrics.observe, self.metrics),
            effects.Leave: self._leave,
        }

    def _dispatch(
        self, send: Callable[[effects.Dispatch, bytes], None], effect: effects.Dispatch
    ) -> None:
        body = self.bodies.get(effect.token)
        if body is None:
            self.post(events.AttemptFailed(effect.attempt, sent=False, reason="caller_gone"))
        else:
            send(effect, body)

    def _reply(self, effect: effects.Reply) -> None:
        answer = self.answers.answers.get(effect.attempt)
        if answer is None:
            refusal = refusals.Refusal(
                refusals.OUTCOME_UNKNOWN, detail="the answer is no longer held"
            )
            self._refuse(effects.Refuse(effect.token, refusal))
            return
        request_id = self._forget(effect.token)
        headers = relayed_headers(answer, request_id, effect.attempt)
        self.server.answer(effect.token, answer.status, headers, answer.body)

    def _refuse(self, effect: effects.Refuse) -> None:
        request_id = self._forget(effect.token)
        self.server.answer(
            effect.token,
            effect.refusal.code.status,
            refusal_headers(effect.refusal, request_id),
            refusal_body(effect.refusal, request_id),
        )

    def _forget(self, token: int) -> str:
        self.bodies.pop(token, None)
        return self.request_ids.pop(token, "")

    def _drop_answer(self, effect: effects.DropAnswer) -> None:
        _answers.drop(self.answers, effect.attempt)

    def _send_peer(self, effect: effects.SendPeer) -> None:
        data = encode_message(self.state.identity.sender, effect.message)
        self.peers.send(effect.address, data)

    def _write_log(self, effect: effects.WriteLog) -> None:
        self.write(effect.action, **effect.fields)

    def _on_abandoned(self, token: int) -> None:
        self._forget(token)
        self.post(events.RequestAbandoned(token))

    def _on_peer_message(self, data: bytes) -> None:
        event = decode_message(data)
        if event is None:
            self.peers.counters.malformed += 1
        else:
            self.post(event)

    @handler("started", channel="*")
    def _on_started(self, *_args):
        self._print_ready()
        self.write(
            "instance.started",
            address=self.server.address,
            peer_address=self.peers.address,
            incarnation=self.state.identity.sender.incarnation,
        )
        self.post(events.Started(int.from_bytes(os.urandom(SEED_BYTES))))
        self.scheduler.repeat(TICK_INTERVAL_S, partial(self.post, events.Ticked()))
        self.scheduler.repeat(HOUSEKEEPING_INTERVAL_S, self.peers.close_unused)

    def _print_ready(self) -> None:
        line = {
            "ready": True,
            "address": self.server.address,
            "peer_address": self.peers.address,
        }
        print(encode_json(line).decode(), flush=True)

    @handler("signal", channel="*", priority=100)
    def _on_signal(self, event, signo, _stack):
        event.stop()
        if signo not in (signal.SIGTERM, signal.SIGINT):
            return
        if self.stop_requested_at_s is not None:
            raise SystemExit(EXIT_FORCED)
        self.stop_requested_at_s = self.scheduler.clock()
        self.server.close_after_answers()
        self.post(events.StopRequested())
        self.scheduler.call_later(self.settings.drain_timeout_s, self._end_drain)

    def _end_drain(self) -> None:
        refusal = refusals.Refusal(refusals.OUTCOME_UNKNOWN, detail="the instance had to stop")
        for token in list(self.request_ids):
            self._refuse(effects.Refuse(token, refusal))
        self.write("instance.drain_timeout")
        self._begin_exit()

    def _leave(self, _effect: effects.Leave) -> None:
        stopped_at_s = self.stop_requested_at_s
        if stopped_at_s is None or self.scheduler.clock() - stopped_at_s < STOP_NOTICE_S:
            return
        self._begin_exit()

    def _begin_exit(self) -> None:
        if self._exit_at_s is None:
            self._exit_at_s = self.scheduler.clock() + EXIT_LINGER_S
            self.server.stop_listening()
            self._exit_when_flushed()

    def _exit_when_flushed(self) -> None:
        if self.server.conn_count and self.scheduler.clock() < self._exit_at_s:
            self.scheduler.call_later(EXIT_POLL_S, self._exit_when_flushed)
            return
        self.write("instance.left")
        self.peers.close()
        raise SystemExit(os.EX_OK)

    @handler("exception", channel="*")
    def _on_exception(self, error_type, value, traceback, handler=None, fevent=None):
        self.write(
            "instance.exception",
            error=error_type.__name__,
            message=str(value),
            traceback="".join(traceback) if isinstance(traceback, list) else "",
        )
