"""
An endpoint's executor as state and pure functions over it.
"""

import math
from random import Random
from typing import Literal, NamedTuple

import msgspec
import xxhash

WORK_MS_MEDIAN = 5.0
WORK_SIGMA = 0.5
WORK_HINT_BYTES = 65_536
MS_PER_S = 1000.0

RunState = Literal["running", "done", "failed"]


class RunRecord(NamedTuple):
    """
    One run as ``GET /runs`` shows it.
    """

    request_id: str
    attempt_id: str
    holder: str
    team: str
    state: RunState


class RunRequest(NamedTuple):
    """
    What a caller asks an executor to run.

    :param work_ms: service time in milliseconds, None for one from the default distribution.
    """

    request_id: str
    attempt_id: str
    holder: str
    team: str
    body: bytes
    work_ms: float | None = None


class Control(msgspec.Struct, forbid_unknown_fields=True):
    """
    A change of the endpoint's behaviour; a field that is left out stays as it is.

    :param leave: refuse new runs and finish the others.
    :param silence: every open connection stops answering for good.
    :param fail_fast: fail each run at once.
    :param slow_factor: multiplies each service time.
    :param crash: end the process without an answer.
    """

    leave: bool | None = None
    silence: bool = False
    fail_fast: bool | None = None
    slow_factor: float | None = None
    crash: bool = False


class EndpointState(msgspec.Struct, kw_only=True):
    """
    An endpoint: its settings, the runs that it started and those of them that go on.

    :param running: numbers of the runs in progress, which index ``runs``.
    """

    id: str
    incarnation: int
    slots: int
    random: Random
    work_ms_median: float = WORK_MS_MEDIAN
    state: Literal["live", "leaving"] = "live"
    fail_fast: bool = False
    slow_factor: float = 1.0
    runs: list[RunRecord] = msgspec.field(default_factory=list)
    running: set[int] = msgspec.field(default_factory=set)


class WorkHint(msgspec.Struct):
    """
    What a request's JSON body may ask of the executor.

    :param work_ms: service time in milliseconds.
    :param answer_bytes: bytes of padding in the answer.
    """

    work_ms: float | None = None
    answer_bytes: int = 0


class RunAnswer(msgspec.Struct, frozen=True):
    """
    The body of the answer to a run.

    :param checksum: XXH64 of the request's body, in hex.
    :param bytes: length of the request's body.
    """

    request_id: str
    attempt_id: str
    checksum: str
    bytes: int
    endpoint: str
    incarnation: int
    padding: str = ""


class Started(NamedTuple):
    """
    A run that has begun.

    :param number: its index in the record of runs.
    :param work_s: seconds until it ends.
    """

    number: int
    work_s: float


class RefusedError(Exception):
    """
    The endpoint did not run a request, because it is full or leaving.
    """


def start_run(state: EndpointState, req: RunRequest) -> Started:
    """
    Begin a run.

    :param state: the endpoint, changed in place.
    :param req: what to run.
    :returns: the run and its service time.
    :raises RefusedError: nothing ran.
    """
    if state.state == "leaving":
        raise RefusedError("leaving")
    if len(state.running) >= state.slots:
        raise RefusedError("full")
    number = len(state.runs)
    record = RunRecord(req.request_id, req.attempt_id, req.holder, req.team, "running")
    state.runs.append(record)
    state.running.add(number)
    return Started(number, service_time_s(state, req))


def service_time_s(state: EndpointState, req: RunRequest) -> float:
    """
    Choose how long a run takes.

    :param state: the endpoint, whose random numbers may be drawn on.
    :param req: what to run.
    :returns: seconds.
    """
    if state.fail_fast:
        return 0.0
    work_ms = req.work_ms
    if work_ms is None:
        work_ms = work_hint(req.body).work_ms
    if work_ms is None:
        work_ms = state.random.lognormvariate(math.log(state.work_ms_median), WORK_SIGMA)
    return work_ms * state.slow_factor / MS_PER_S


def work_hint(body: bytes) -> WorkHint:
    """
    Read what a body asks of the executor; other bodies ask nothing.

    :param body: the request's body.
    :returns: the hint.
    """
    if not body.startswith(b"{") or len(body) > WORK_HINT_BYTES:
        return WorkHint()
    try:
        return msgspec.json.decode(body, type=WorkHint)
    except msgspec.MsgspecError:
        return WorkHint()


def finish_run(state: EndpointState, number: int, outcome: RunState) -> None:
    """
    End a run and free its slot.

    :param state: the endpoint, changed in place.
    :param number: the run.
    :param outcome: how it ended.
    """
    state.running.remove(number)
    state.runs[number] = state.runs[number]._replace(state=outcome)


def run_answer(state: EndpointState, req: RunRequest) -> RunAnswer:
    """
    Make the answer to a finished run.

    :param state: the endpoint.
    :param req: what ran.
    :returns: the answer, which tells what the executor received.
    """
    return RunAnswer(
        request_id=req.request_id,
        attempt_id=req.attempt_id,
        checksum=xxhash.xxh64_hexdigest(req.body),
        bytes=len(req.body),
        endpoint=state.id,
        incarnation=state.incarnation,
        padding="x" * work_hint(req.body).answer_bytes,
    )


def apply_control(state: EndpointState, control: Control) -> None:
    """
    Change the endpoint's behaviour.

    :param state: the endpoint, changed in place.
    :param control: what changes.
    """
    if control.leave is not None:
        state.state = "leaving" if control.leave else "live"
    if control.fail_fast is not None:
        state.fail_fast = control.fail_fast
    if control.slow_factor is not None:
        state.slow_factor = control.slow_factor
