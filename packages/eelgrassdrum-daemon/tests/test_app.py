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


class Made(NamedTuple):
    """
    An entry instance whose event loop is not started, and the names of its log events.
    """

    app: _app.App
    lines: list[str]


def make_app():
    lines: list[str] = []
    app = _app.App(SETTINGS, lambda action, **_fields: lines.append(action))
    yield Made(app, lines)
    app.peers.close()
    app.server._tcp._sock.close()


FIXTURES = {"made": make_app}


def test_failing_effect_keeps_no_other_from_being_carried_out(made: Made) -> None:
    """
    When one effect of an event raises, the effects after it are executed and the error is logged.
    """
    produced = [effects.WriteLog("first", {}), effects.Exit(), effects.WriteLog("last", {})]
    made.app._effects[effects.Exit] = lambda _effect: 1 / 0
    for effect in produced:
        made.app._carry_out_safely(effect)
    assert made.lines == ["first", "instance.exception", "last"]


def test_failing_dispatch_ends_its_attempt(made: Made) -> None:
    """
    An attempt whose dispatch raises fails as one that may have been sent.
    """
    posted: list[object] = []
    made.app.post = posted.append
    made.app._effects[effects.Dispatch] = lambda _effect: 1 / 0
    made.app._carry_out_safely(DISPATCH)
    assert posted == [events.AttemptFailed("a1", sent=True, reason="internal")]


def test_dispatch_for_a_caller_that_left_sends_nothing(made: Made) -> None:
    """
    When the caller has disconnected and its body was dropped, the attempt fails as not sent.
    """
    posted: list[object] = []
    made.app.post = posted.append
    made.app.carry_out(DISPATCH)
    assert posted == [events.AttemptFailed("a1", sent=False, reason="caller_gone")]


def test_every_effect_of_the_core_can_be_carried_out(made: Made) -> None:
    """
    The table has an entry for each effect type but `Emit`, which the reducer handles itself.
    """
    known = {
        kind
        for kind in vars(effects).values()
        if isinstance(kind, type) and kind.__module__ == effects.__name__
    }
    assert known - set(made.app._effects) == {effects.Emit, effects.Identity}
