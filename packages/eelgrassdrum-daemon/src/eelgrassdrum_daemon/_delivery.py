"""
Answers and refusals on their way to callers, and bodies on their way to endpoints.
"""

import time
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from eelgrassdrum_core import effects, events, refusals

from ._caller_api import relayed_headers
from ._recent import EndedRequest, record_ended_request
from ._server_answers import refusal_body, refusal_headers

if TYPE_CHECKING:
    from ._app import App

RUN_STATE_DONE = "done"


class OpenRequest(NamedTuple):
    """
    A caller's request that waits for its answer.

    :param request_id: the caller's id.
    :param queue: ``WORKSPACE/QUEUE``.
    :param body: its body.
    """

    request_id: str
    queue: str
    body: bytes


NOT_OPEN = OpenRequest("", "", b"")


def dispatch(
    app: "App", send: Callable[[effects.Dispatch, bytes], None], effect: effects.Dispatch
) -> None:
    """
    Send a request's body to an endpoint.

    :param app: the entry instance.
    :param send: sends an attempt.
    :param effect: what to send.
    """
    request = app.open_requests.get(effect.token)
    if request is None:
        app.post(events.AttemptFailed(effect.attempt, sent=False, reason="caller_gone"))
    else:
        send(effect, request.body)


def reply(app: "App", effect: effects.Reply) -> None:
    """
    Give an endpoint's answer to its caller.

    :param app: the entry instance.
    :param effect: which answer goes to which caller.
    """
    answer = app.answers.answers.get(effect.attempt)
    if answer is None:
        refusal = refusals.Refusal(refusals.OUTCOME_UNKNOWN, detail="the answer is no longer held")
        refuse(app, effects.Refuse(effect.token, refusal))
        return
    request = app.open_requests.pop(effect.token, NOT_OPEN)
    headers = relayed_headers(answer, request.request_id, effect.attempt)
    app.server.answer(effect.token, answer.status, headers, answer.body)
    ended = EndedRequest(
        request.request_id,
        request.queue,
        "answered",
        answer.status,
        effect.attempt,
        "",
        RUN_STATE_DONE,
        "",
        time.time(),
    )
    record_ended_request(app.recent, ended)


def refuse(app: "App", effect: effects.Refuse) -> None:
    """
    Refuse a caller's request.

    :param app: the entry instance.
    :param effect: which request, and why.
    """
    request = app.open_requests.pop(effect.token, NOT_OPEN)
    refusal = effect.refusal
    app.server.answer(
        effect.token,
        refusal.code.status,
        refusal_headers(refusal, request.request_id),
        refusal_body(refusal, request.request_id),
    )
    ended = EndedRequest(
        request.request_id,
        request.queue,
        "refused",
        refusal.code.status,
        "",
        refusal.code.name,
        refusal.code.run_state,
        f"{refusal.code.message} {refusal.detail}".strip(),
        time.time(),
    )
    record_ended_request(app.recent, ended)


def refuse_all(app: "App", refusal: refusals.Refusal) -> None:
    """
    Refuse every request that waits for its answer.

    :param app: the entry instance.
    :param refusal: why.
    """
    for token in list(app.open_requests):
        refuse(app, effects.Refuse(token, refusal))
