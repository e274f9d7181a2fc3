"""
An endpoint's executor over HTTP.
"""

import os
from collections.abc import Callable
from functools import partial
from pathlib import Path

import msgspec

from . import _endpoint as endpoint
from ._http_server import Call, Handler, error_reply, json_reply
from ._timers import CallLater

CRASH_EXIT_CODE = 70
RUN_STATE_HEADER = "X-Run-State"
NOT_RUN = "not_run"

Journal = Callable[[endpoint.RunRecord], None]


class Running(msgspec.Struct, frozen=True):
    """
    One run in progress.
    """

    attempt: str
    holder: str
    team: str


class Health(msgspec.Struct, frozen=True):
    """
    The body of the answer to ``GET /health``.
    """

    id: str
    incarnation: int
    state: str
    slots: int
    running: list[Running]


class Runs(msgspec.Struct, frozen=True):
    """
    The body of the answer to ``GET /runs``.
    """

    runs: list[endpoint.RunRecord]


class ControlAnswer(msgspec.Struct, frozen=True):
    """
    The body of the answer to ``POST /control``.

    :param silenced: how many connections do not answer any more.
    """

    state: str
    silenced: int


def make_endpoint_handler(
    state: endpoint.EndpointState, journal: Journal, call_later: CallLater
) -> Handler:
    """
    Build the endpoint's handler.

    :param state: the endpoint.
    :param journal: is told of each run before it begins.
    :param call_later: ends runs after their service time.
    :returns: the handler.
    """
    routes: dict[tuple[str, str], Callable[[Call], None]] = {
        ("POST", "/run"): partial(handle_run, state, journal, call_later),
        ("GET", "/health"): partial(handle_health, state),
        ("GET", "/runs"): partial(handle_runs, state),
        ("POST", "/control"): partial(handle_control, state),
    }

    def handle(call: Call) -> None:
        route = routes.get((call.method, call.path))
        if route is None:
            call.reply(error_reply(404, "not_found", call.path))
        else:
            route(call)

    return handle


def file_journal(path: Path | None) -> Journal:
    """
    Write each run to a file at once, so that the record outlives a crash.

    :param path: the file, to which one JSON line is added for each run; None for no journal.
    :returns: the journal.
    """
    if path is None:
        return lambda record: None
    fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def write(record: endpoint.RunRecord) -> None:
        os.write(fd, msgspec.json.encode(record) + b"\n")

    return write


def handle_run(
    state: endpoint.EndpointState, journal: Journal, call_later: CallLater, call: Call
) -> None:
    """
    Begin a run, or refuse it before anything ran.

    :param state: the endpoint.
    :param journal: is told of the run.
    :param call_later: ends the run after its service time.
    :param call: the call.
    """
    try:
        req = run_request(call)
    except (KeyError, ValueError) as exc:
        call.reply(error_reply(400, "malformed", str(exc), {RUN_STATE_HEADER: NOT_RUN}))
        return
    try:
        started = endpoint.start_run(state, req)
    except endpoint.RefusedError as exc:
        leaving = {"X-Leaving": "1"} if state.state == "leaving" else {}
        headers = {RUN_STATE_HEADER: NOT_RUN, "X-Attempt-Id": req.attempt_id, **leaving}
        call.reply(error_reply(503, "refused", str(exc), headers))
        return
    journal(state.runs[started.number])
    finish = partial(finish_run, state, started.number, req, call)
    if started.work_s > 0:
        call_later(started.work_s, finish)
    else:
        finish()


def run_request(call: Call) -> endpoint.RunRequest:
    """
    Read a run's headers and body.

    :param call: the call.
    :returns: what to run.
    :raises KeyError: a header is missing.
    :raises ValueError: the service time is not a number.
    """
    headers = call.headers
    work_ms = headers.get("x-work-ms")
    return endpoint.RunRequest(
        request_id=headers["x-request-id"],
        attempt_id=headers["x-attempt-id"],
        holder=headers.get("x-holder", ""),
        team=headers.get("x-team", ""),
        body=call.body,
        work_ms=None if work_ms is None else float(work_ms),
    )


def finish_run(
    state: endpoint.EndpointState, number: int, req: endpoint.RunRequest, call: Call
) -> None:
    """
    End a run and answer its call.

    :param state: the endpoint.
    :param number: the run.
    :param req: what ran.
    :param call: the call.
    """
    headers = {"X-Attempt-Id": req.attempt_id, "X-Request-Id": req.request_id}
    if state.fail_fast:
        endpoint.finish_run(state, number, "failed")
        call.reply(error_reply(500, "failed", "the run failed", headers))
        return
    endpoint.finish_run(state, number, "done")
    call.reply(json_reply(endpoint.run_answer(state, req), 200, headers))


def handle_health(state: endpoint.EndpointState, call: Call) -> None:
    """
    Answer with the endpoint's state and its runs in progress.

    :param state: the endpoint.
    :param call: the call.
    """
    records = [state.runs[number] for number in sorted(state.running)]
    running = [Running(r.attempt_id, r.holder, r.team) for r in records]
    body = Health(state.id, state.incarnation, state.state, state.slots, running)
    call.reply(json_reply(body))


def handle_runs(state: endpoint.EndpointState, call: Call) -> None:
    """
    Answer with every run since the endpoint started.

    :param state: the endpoint.
    :param call: the call.
    """
    call.reply(json_reply(Runs(state.runs)))


def handle_control(state: endpoint.EndpointState, call: Call) -> None:
    """
    Change the endpoint's behaviour.

    :param state: the endpoint.
    :param call: the call.
    """
    control = msgspec.json.decode(call.body, type=endpoint.Control)
    if control.crash:
        os._exit(CRASH_EXIT_CODE)
    endpoint.apply_control(state, control)
    silenced = call.silence_others() if control.silence else 0
    call.reply(json_reply(ControlAnswer(state.state, silenced)))
