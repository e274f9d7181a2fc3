"""
Responses that the daemon itself sends to callers and operators.
"""

import math
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import msgspec
from circuits.web.wrappers import Response

from eelgrassdrum_core import refusals

LARGE_ANSWER_BYTES = 64 * 1024
JSON_HEADERS = {"Content-Type": "application/json"}
ERROR_NAMES = {
    400: "bad_request",
    408: "request_timeout",
    411: "length_required",
    413: "body_too_large",
    415: "compressed_body",
    431: "headers_too_large",
    500: "internal_error",
    503: "overloaded",
    505: "http_version",
}


def encode_json(value: Any) -> bytes:
    """
    Encode a value as JSON.

    :param value: the value.
    :returns: the bytes.
    """
    return msgspec.json.encode(value)


def encode_answer(res: Response, body: bytes) -> bytes | memoryview:
    """
    Encode a complete response.

    :param res: the status and headers.
    :param body: the body.
    :returns: the bytes; a large response as a memoryview, so that the socket server can send a
        part without copying the rest.
    """
    res.body = body
    res.prepare()
    data = b"".join((bytes(res), bytes(res.headers), body))
    return memoryview(data) if len(data) > LARGE_ANSWER_BYTES else data


def encode_error(status: int, message: str, run_state: refusals.RunState) -> bytes:
    """
    Encode the response to an invalid request, after which the connection is closed.

    :param status: HTTP status.
    :param message: human-readable message.
    :param run_state: whether it is certain that the request did not run.
    :returns: the bytes to send.
    """
    body = encode_json(
        {
            "error": ERROR_NAMES.get(status, "bad_request"),
            "message": message,
            "run_state": run_state,
        }
    )
    head = (
        f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


def refusal_headers(refusal: refusals.Refusal, request_id: str) -> Mapping[str, str]:
    """
    Return the headers of a refusal.

    :param refusal: the refusal.
    :param request_id: the caller's id of the request.
    :returns: the headers.
    """
    headers = {
        **JSON_HEADERS,
        "X-Request-Id": request_id,
        "X-Run-State": refusal.code.run_state,
    }
    if refusal.retry_after_s is not None:
        # Retry-After allows whole seconds only; the body has the exact value.
        headers["Retry-After"] = str(math.ceil(refusal.retry_after_s))
    return headers


def refusal_body(refusal: refusals.Refusal, request_id: str) -> bytes:
    """
    Encode the JSON body of a refusal.

    :param refusal: the refusal.
    :param request_id: the caller's id of the request.
    :returns: the bytes.
    """
    message = refusal.code.message
    if refusal.detail:
        message = f"{message}: {refusal.detail}"
    return encode_json(
        {
            "error": refusal.code.name,
            "message": message,
            "run_state": refusal.code.run_state,
            "retry_after_s": refusal.retry_after_s,
            "request_id": request_id,
        }
    )
