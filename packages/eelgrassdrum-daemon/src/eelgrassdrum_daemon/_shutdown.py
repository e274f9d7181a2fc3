"""
The graceful stop of an entry instance.

After the first signal the instance says that it is not ready, refuses new requests as not run, and
finishes what runs. Balancers and callers with open connections get some time to notice, because a
request that is on its way to a closing connection would be cut.
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
EXIT_FORCED = 1


class StopState(msgspec.Struct):
    """
    How far the stop has come.

    :param requested_at_s: time of the first signal.
    :param exit_by_s: time at which the process ends whatever is still open.
    """

    requested_at_s: float | None = None
    exit_by_s: float | None = None


def on_signal(app: "App", signo: int) -> None:
    """
    Begin to stop at the first signal, end the process at the second.

    :param app: the entry instance.
    :param signo: number of the signal.
    """
    if signo not in STOP_SIGNALS:
        return
    if app.stop_state.requested_at_s is not None:
        app.write("instance.stopped_at_once")
        raise SystemExit(EXIT_FORCED)
    app.stop_state.requested_at_s = app.scheduler.clock()
    app.server.close_after_answers()
    app.post(events.StopRequested())
    app.scheduler.call_later(app.settings.drain_timeout_s, partial(_end_drain, app))


def on_leave(app: "App", _effect: effects.Exit) -> None:
    """
    End the process once the time to notice is over; the core asks again with each tick.

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
