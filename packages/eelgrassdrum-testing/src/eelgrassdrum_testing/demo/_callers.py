"""
Callers that send a scenario's requests at their times, through a balancer.
"""

import asyncio
import itertools
import time
from typing import NamedTuple

import msgspec
import xxhash

from .._arrivals import Arrival, arrivals
from .._scenario import Scenario
from . import _http

CALLER_TIMEOUT_S = 12.0
TIMEOUT_MS = 8000
STATUS_OK = 200
ANSWERED = "answered"
NOT_RUN = "not_run"
UNKNOWN = "unknown"
LOST = "lost"


class Outcome(NamedTuple):
    """
    What a caller was told.

    :param arrival: the request.
    :param state: ``answered``, ``not_run``, ``unknown`` or ``lost``.
    :param error: code of the refusal, or what was seen instead of an answer.
    :param is_own: whether an answer is whole and belongs to the request.
    :param done_at_s: seconds since the start.
    """

    arrival: Arrival
    state: str
    error: str
    is_own: bool
    done_at_s: float


class Balancer(msgspec.Struct):
    """
    Entry instances that may be sent callers, in turn.
    """

    addresses: list[str]
    turn: itertools.count = msgspec.field(default_factory=itertools.count)


class CallerState(msgspec.Struct):
    """
    Everything that the callers share.
    """

    client: _http.Client
    balancer: Balancer
    keys: dict[str, str]
    started_at_s: float
    outcomes: list[Outcome] = msgspec.field(default_factory=list)
    sent: int = 0


def choose(balancer: Balancer) -> str:
    """
    Choose an entry instance.

    :param balancer: the entry instances.
    :returns: its address.
    """
    return balancer.addresses[next(balancer.turn) % len(balancer.addresses)]


async def send_all(state: CallerState, scenario: Scenario, seconds: float) -> None:
    """
    Send every request at its time, and wait until each caller was told something.

    :param state: what the callers share.
    :param scenario: the load.
    :param seconds: how long requests keep coming.
    """
    tasks = set()
    for arrival in arrivals(scenario, seconds):
        delay_s = state.started_at_s + arrival.at_s - time.monotonic()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        task = asyncio.create_task(send(state, arrival))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    while tasks:
        await asyncio.wait(set(tasks))


async def send(state: CallerState, arrival: Arrival) -> None:
    """
    Send one request and keep what its caller was told.

    :param state: what the callers share.
    :param arrival: the request.
    """
    state.sent += 1
    team = f"{arrival.workspace}/{arrival.team}"
    headers = {
        "X-Request-Id": arrival.request_id,
        "X-Key": state.keys[team],
        "X-Idempotent": str(int(arrival.idempotent)),
        "X-Urgent": str(int(arrival.urgent)),
        "X-Timeout-Ms": str(TIMEOUT_MS),
    }
    path = f"/v1/queues/{arrival.workspace}/{arrival.service}/requests"
    body = msgspec.json.encode({"work_ms": arrival.work_ms, "request": arrival.request_id})
    try:
        answer = await _http.request(
            state.client,
            choose(state.balancer),
            "POST",
            path,
            headers,
            body,
            CALLER_TIMEOUT_S,
        )
    except _http.NoAnswerError as exc:
        outcome = Outcome(arrival, LOST, str(exc), True, _now_s(state))
    else:
        outcome = _judge(state, arrival, answer, body)
    state.outcomes.append(outcome)


def _judge(state: CallerState, arrival: Arrival, answer: _http.Answer, body: bytes) -> Outcome:
    content = msgspec.json.decode(answer.body)
    if "run_state" in content:
        is_own = answer.headers.get("x-request-id") == arrival.request_id
        return Outcome(arrival, content["run_state"], content["error"], is_own, _now_s(state))
    is_own = (
        answer.status == STATUS_OK
        and content["request_id"] == arrival.request_id
        and content["checksum"] == xxhash.xxh64_hexdigest(body)
    )
    return Outcome(arrival, ANSWERED, "", is_own, _now_s(state))


def _now_s(state: CallerState) -> float:
    return time.monotonic() - state.started_at_s
