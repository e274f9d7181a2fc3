"""
Faults of answers that every platform stand-in can be told to show.
"""

from collections.abc import Callable
from random import Random
from typing import Annotated, TypeVar

import msgspec

from ._http_server import Call, Handler, Reply, error_reply, json_reply
from ._timers import CallLater

RUBBISH = b'\x00\xff{"offsets": [1, 2,'
FAULTS_PATH = "/faults"

Probability = Annotated[float, msgspec.Meta(ge=0, le=1)]


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """
    What goes wrong with answers; a field that a setting leaves out returns to its default.

    :param outage: answer 503 and change nothing.
    :param delay_s: seconds between the effect and its answer.
    :param lose_answers: probability that the connection closes after the effect, unanswered.
    :param rubbish: answer 200 with bytes that are not JSON, after the effect.
    :param seed: seed of the draws.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_answers: Probability = 0.0
    rubbish: bool = False
    seed: int = 0


F = TypeVar("F", bound=Faults)


class FaultState(msgspec.Struct):
    """
    The faults in force and the random numbers that they draw on.
    """

    faults: Faults
    random: Random


def faulty(
    inner: Handler,
    kind: type[F],
    call_later: CallLater,
    changed: Callable[[F], None] = lambda faults: None,
) -> Handler:
    """
    Wrap a handler so that ``POST /faults`` sets what goes wrong with its answers.

    :param inner: the handler without faults.
    :param kind: the stand-in's own kind of faults.
    :param call_later: schedules delayed answers.
    :param changed: is told of each new setting.
    :returns: the handler with faults.
    """
    state = FaultState(kind(), Random(0))

    def set_faults(call: Call) -> None:
        state.faults = msgspec.json.decode(call.body, type=kind)
        state.random = Random(state.faults.seed)
        changed(state.faults)
        call.reply(json_reply(state.faults))

    def handle(call: Call) -> None:
        if (call.method, call.path) == ("POST", FAULTS_PATH):
            set_faults(call)
        elif state.faults.outage:
            later(state.faults, call_later, lambda: call.reply(error_reply(503, "outage")))
        else:
            inner(with_faults(call, state, call_later))

    return handle


def with_faults(call: Call, state: FaultState, call_later: CallLater) -> Call:
    """
    Replace a call's reply function by one that shows the faults in force when it answers.

    :param call: the call.
    :param state: the faults.
    :param call_later: schedules delayed answers.
    :returns: the call to hand to the inner handler.
    """

    def reply(answer: Reply) -> None:
        faults = state.faults
        if state.random.random() < faults.lose_answers:
            later(faults, call_later, call.drop)
        elif faults.rubbish:
            later(faults, call_later, lambda: call.reply(Reply(200, RUBBISH)))
        else:
            later(faults, call_later, lambda: call.reply(answer))

    return call._replace(reply=reply)


def later(faults: Faults, call_later: CallLater, action: Callable[[], None]) -> None:
    """
    Run an action after the delay that the faults ask for.

    :param faults: the faults in force.
    :param call_later: schedules delayed actions.
    :param action: what to run.
    """
    if faults.delay_s > 0:
        call_later(faults.delay_s, action)
    else:
        action()
