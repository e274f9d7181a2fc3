"""
Adapter for endpoints: attempts and health probes over HTTP.
"""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import msgspec

from eelgrassdrum_core import effects, events

from ._http_messages import ClientRequest, HttpAnswer, HttpFailure, HttpOutcome
from ._http_pool import HttpPool

RUN_PATH = "/run"
HEALTH_PATH = "/health"
ATTEMPT_HEADER = "X-Attempt-Id"
RUN_STATE_HEADER = "X-Run-State"
LEAVING_HEADER = "X-Leaving"
STATUS_UNAVAILABLE = 503
STATUS_OK = 200

Post = Callable[[object], None]


class EndpointAdapter(NamedTuple):
    """
    Operations on endpoints.

    :param dispatch: sends an attempt with its request body.
    :param probe: sends a health probe to an endpoint.
    """

    dispatch: Callable[[effects.Dispatch, bytes], None]
    probe: Callable[[effects.ProbeEndpoint], None]


class RunningJson(msgspec.Struct):
    """
    A running attempt in an endpoint's health response.
    """

    attempt: str
    holder: str
    team: str = ""


class HealthJson(msgspec.Struct):
    """
    Health response of an endpoint.
    """

    id: str
    state: str
    incarnation: int = 0
    running: list[RunningJson] | None = None


def make_endpoint_adapter(
    attempts: HttpPool,
    probes: HttpPool,
    post: Post,
    keep_answer: Callable[[str, HttpAnswer], None],
) -> EndpointAdapter:
    """
    Build the adapter on its connection pools.

    :param attempts: connection pool for attempts.
    :param probes: connection pool for probes; separate, so that a probe shows only that the
        endpoint is alive and nothing about the connection of an attempt.
    :param post: called with each event.
    :param keep_answer: stores the response to an attempt until the core decides about it.
    :returns: the adapter.
    """

    def dispatch(effect: effects.Dispatch, body: bytes) -> None:
        attempts.submit(_attempt_request(effect, body, on_done=partial(on_attempt_done, effect)))

    def on_attempt_done(effect: effects.Dispatch, outcome: HttpOutcome) -> None:
        if isinstance(outcome, HttpAnswer) and not _is_refusal(outcome):
            keep_answer(effect.attempt, outcome)
        post(_attempt_event(effect.attempt, outcome))

    def probe(effect: effects.ProbeEndpoint) -> None:
        on_done = partial(on_probe_done, effect)
        probes.submit(ClientRequest(effect.address, "GET", HEALTH_PATH, effect.timeout_s, on_done))

    def on_probe_done(effect: effects.ProbeEndpoint, outcome: HttpOutcome) -> None:
        post(_probe_event(effect.endpoint, outcome))

    return EndpointAdapter(dispatch, probe)


def _attempt_request(
    effect: effects.Dispatch, body: bytes, on_done: Callable[[HttpOutcome], None]
) -> ClientRequest:
    headers = {
        ATTEMPT_HEADER: effect.attempt,
        "X-Request-Id": effect.request_id,
        "X-Team": effect.team,
        "X-Queue": effect.queue,
        "X-Holder": effect.holder,
        "X-Timeout-Ms": str(int(effect.timeout_s * 1000)),
    }
    return ClientRequest(
        effect.address,
        "POST",
        RUN_PATH,
        effect.timeout_s,
        on_done,
        headers,
        body,
        is_expected=lambda answer: answer.headers.get(ATTEMPT_HEADER) == effect.attempt,
    )


def _is_refusal(answer: HttpAnswer) -> bool:
    return answer.status == STATUS_UNAVAILABLE and answer.headers.get(RUN_STATE_HEADER) == "not_run"


def _attempt_event(attempt: str, outcome: HttpOutcome) -> object:
    if isinstance(outcome, HttpFailure):
        return events.AttemptFailed(attempt, outcome.sent, outcome.reason)
    if _is_refusal(outcome):
        return events.AttemptRefused(attempt, outcome.headers.get(LEAVING_HEADER) == "1")
    return events.AttemptAnswered(attempt, outcome.status, len(outcome.body))


def _probe_event(endpoint: str, outcome: HttpOutcome) -> events.EndpointProbed:
    if isinstance(outcome, HttpFailure) or outcome.status != STATUS_OK:
        return events.EndpointProbed(endpoint, healthy=False)
    try:
        health = msgspec.json.decode(outcome.body, type=HealthJson)
    except msgspec.MsgspecError:
        return events.EndpointProbed(endpoint, healthy=False)
    # The address may have been reassigned to another endpoint.
    if health.id != endpoint:
        return events.EndpointProbed(endpoint, healthy=False)
    running = None
    if health.running is not None:
        running = tuple(events.RunningAttempt(r.attempt, r.holder, r.team) for r in health.running)
    return events.EndpointProbed(
        endpoint,
        healthy=True,
        leaving=health.state == "leaving",
        incarnation=health.incarnation,
        running=running,
    )
