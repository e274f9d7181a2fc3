"""
Graceful shutdown of an entry instance.

After the first signal the instance reports that it is not ready, refuses new requests as not run,
and completes the running ones. Load balancers and callers with open connections get time to
react, because closing a connection would cut off a request that is in transit.
"""

import os
import signal
from functools import partial
from typing import TYPE_CHECKING

import msgspec

from eelgrassdrum_core import effects, events, refusals

from ._delivery import refuse_all

if TYPE_CHECKING:
    from ._app import App

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
NOTICE_S = 1.0
EXIT_POLL_S = 0.05
EXIT_LINGER_S = 2.0
FORCED_EXIT_STATUS = 1


class StopState(msgspec.Struct):
    """
    Progress of the shutdown.

    :param requested_at_s: time of the first signal, or ``None`` before it.
    :param exit_by_s: deadline after which the process exits even with connections open.
    """

    requested_at_s: float | None = None
    exit_by_s: float | None = None


def on_signal(app: "App", signo: int) -> None:
    """
    Start the graceful shutdown at the first signal and exit immediately at the second.

    :param app: the entry instance.
    :param signo: signal number.
    """
    if signo not in STOP_SIGNALS:
        return
    if app.stop_state.requested_at_s is not None:
        app.write("instance.stopped_at_once")
        raise SystemExit(FORCED_EXIT_STATUS)
    app.stop_state.requested_at_s = app.scheduler.clock()
    app.server.close_after_answers()
    app.post(events.StopRequested())
    app.scheduler.call_later(app.settings.drain_timeout_s, partial(_end_drain, app))


def on_exit(app: "App", _effect: effects.Exit) -> None:
    """
    Start the exit once the notice period is over; the core repeats the effect with each tick.

    :param app: the entry instance.
    """
    requested_at_s = app.stop_state.requested_at_s
    if requested_at_s is not None and app.scheduler.clock() - requested_at_s >= NOTICE_S:
        _begin_exit(app)


def _end_drain(app: "App") -> None:
    app.write("instance.drain_timeout", open=len(app.open_requests))
    refuse_all(app, refusals.Refusal(refusals.OUTCOME_UNKNOWN, detail="the instance had to stop"))
    _begin_exit(app)


def _begin_exit(app: "App") -> None:
    if app.stop_state.exit_by_s is None:
        app.stop_state.exit_by_s = app.scheduler.clock() + EXIT_LINGER_S
        app.server.stop_listening()
        _exit_when_flushed(app)


def _exit_when_flushed(app: "App") -> None:
    exit_by_s = app.stop_state.exit_by_s
    if app.server.conn_count and exit_by_s is not None and app.scheduler.clock() < exit_by_s:
        app.scheduler.call_later(EXIT_POLL_S, partial(_exit_when_flushed, app))
        return
    app.write("instance.left")
    app.peers.close()
    raise SystemExit(os.EX_OK)
