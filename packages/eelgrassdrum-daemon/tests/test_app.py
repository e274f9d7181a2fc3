"""
Tests of event handling and effect execution in the entry instance, without its event loop.
"""

from typing import NamedTuple

from eelgrassdrum_core import effects, events
from eelgrassdrum_daemon import _app
from eelgrassdrum_daemon._settings import Settings

SETTINGS = Settings(
    "entry-a1", "a", "127.0.0.1:0", "127.0.0.1:0", "http://127.0.0.1:1", "http://127.0.0.1:1"
)
DISPATCH = effects.Dispatch("a1", 1, "ep", "127.0.0.1:1", 1.0, "r", "t", "q", "h")


class IdleApp(NamedTuple):
    """
    An entry instance whose event loop is not started, and the names of its log events.
    """

    app: _app.App
    lines: list[str]


def make_app():
    lines: list[str] = []
    app = _app.App(SETTINGS, lambda action, **_fields: lines.append(action))
    yield IdleApp(app, lines)
    app.peers.close()
    app.server._tcp._sock.close()


FIXTURES = {"idle": make_app}


def test_failing_effect_does_not_stop_the_others(idle: IdleApp) -> None:
    """
    When one effect of an event raises, the effects after it are executed and the error is logged.
    """
    produced = [effects.WriteLog("first", {}), effects.Exit(), effects.WriteLog("last", {})]
    idle.app._effects[effects.Exit] = lambda _effect: 1 / 0
    for effect in produced:
        idle.app._execute_safely(effect)
    assert idle.lines == ["first", "instance.exception", "last"]


def test_failing_dispatch_ends_its_attempt(idle: IdleApp) -> None:
    """
    An attempt whose dispatch raises fails as one that may have been sent.
    """
    posted: list[object] = []
    idle.app.post = posted.append
    idle.app._effects[effects.Dispatch] = lambda _effect: 1 / 0
    idle.app._execute_safely(DISPATCH)
    assert posted == [events.AttemptFailed("a1", sent=True, reason="internal")]


def test_dispatch_for_a_caller_that_left_sends_nothing(idle: IdleApp) -> None:
    """
    When the caller has disconnected and its body was dropped, the attempt fails as not sent.
    """
    posted: list[object] = []
    idle.app.post = posted.append
    idle.app.execute_effect(DISPATCH)
    assert posted == [events.AttemptFailed("a1", sent=False, reason="caller_gone")]


def test_every_effect_of_the_core_can_be_executed(idle: IdleApp) -> None:
    """
    The table has an entry for each effect type but `Emit`, which the reducer handles itself.
    """
    known = {
        kind
        for kind in vars(effects).values()
        if isinstance(kind, type) and kind.__module__ == effects.__name__
    }
    assert known - set(idle.app._effects) == {effects.Emit, effects.Identity}
