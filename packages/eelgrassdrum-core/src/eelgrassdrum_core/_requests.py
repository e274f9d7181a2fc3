"""
Requests that this instance holds, from arrival to response.
"""

import msgspec


class Request(msgspec.Struct):
    """
    An accepted request.

    :param token: token of the open HTTP exchange with the caller.
    :param request_id: request id chosen by the caller.
    :param queue: ``WORKSPACE/QUEUE``.
    :param service: ``WORKSPACE/SERVICE``.
    :param team: ``WORKSPACE/TEAM``.
    :param idempotent: whether the request may safely run more than once.
    :param urgent: whether it is served before the other requests of its team.
    :param arrived_s: time of arrival.
    :param deadline_s: time at which its caller gives up.
    :param start_by_s: latest time at which it may start.
    :param max_run_s: longest time that it may run, in seconds.
    :param size_bytes: length of its body.
    :param tries: attempts made so far, without those that the endpoint refused.
    :param body_hash: hash of its body.
    :param may_have_run: whether it may have run without a response, here or elsewhere.
    :param is_counted: whether its first attempt is already counted for the retry budget.
    :param key: hash of its scope and id, by which instances refer to it in messages.
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
    One attempt to run a request at one endpoint.

    :param id: id of the attempt.
    :param request: the request.
    :param endpoint: id of the endpoint.
    :param started_s: time of dispatch.
    :param incarnation: newest incarnation of the endpoint that was known at dispatch.
    """

    id: str
    request: Request
    endpoint: str
    started_s: float
    incarnation: int = 0
