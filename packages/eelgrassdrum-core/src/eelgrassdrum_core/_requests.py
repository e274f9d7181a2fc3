"""
The requests that this instance holds, from arrival to answer.
"""

import msgspec


class Request(msgspec.Struct):
    """
    One accepted request.

    :param token: the open exchange with the caller.
    :param request_id: the caller's id.
    :param queue: ``WORKSPACE/QUEUE``.
    :param service: ``WORKSPACE/SERVICE``.
    :param team: ``WORKSPACE/TEAM``.
    :param idempotent: whether running it twice does no harm.
    :param urgent: whether it goes before others of its team.
    :param arrived_s: time of arrival.
    :param deadline_s: time at which its caller gives up.
    :param start_by_s: time until which it must have started.
    :param max_run_s: seconds that it may run.
    :param size_bytes: length of its body.
    :param tries: attempts made so far.
    :param body_hash: hash of its body.
    :param may_have_run: whether it may have run without an answer, here or elsewhere.
    :param is_counted: whether its first attempt is counted for the retry budget.
    :param key: hash of its team and id, under which instances speak of it.
    """

    token: int
    request_id: str
    queue: str
    service: str
    team: str
    idempotent: bool
    urgent: bool
    arrived_s: float
    deadline_s: float
    start_by_s: float
    max_run_s: float
    size_bytes: int
    tries: int = 0
    body_hash: int = 0
    may_have_run: bool = False
    is_counted: bool = False
    key: int = 0


class Attempt(msgspec.Struct):
    """
    One try to run a request at one endpoint.

    :param id: id of the attempt.
    :param request: the request.
    :param endpoint: id of the endpoint.
    :param started_s: time of dispatch.
    """

    id: str
    request: Request
    endpoint: str
    started_s: float
