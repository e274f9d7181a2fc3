"""
The callers' API: converts HTTP requests to events and builds the headers of responses.
"""

import re
from typing import Any

import xxhash
from circuits.web.headers import Headers

from eelgrassdrum_core import Credential, events, parse_credential, refusals

from ._endpoint_adapter import ATTEMPT_HEADER
from ._http_messages import HttpAnswer
from ._server_state import Exchange

QUEUES_PREFIX = "/v1/queues/"
PATH_PATTERN = re.compile(r"/v1/queues/([a-z0-9-]{1,63})/([a-z0-9-]{1,63})/requests")
REQUEST_ID_HEADER = "X-Request-Id"
REQUEST_ID_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")
MAX_TIMEOUT_MS = 3_600_000
BEARER = "bearer"
# Hop-by-hop headers, and headers that the server sets itself.
DROPPED_HEADERS = frozenset(
    {
        "Connection",
        "Content-Length",
        "Date",
        "Keep-Alive",
        "Server",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    }
)


class BadHeaderError(Exception):
    """
    Raised when a header of a caller's request is missing or invalid.
    """


def read_request(exchange: Exchange) -> events.RequestReceived | refusals.Refusal:
    """
    Parse a caller's request.

    :param exchange: the complete request.
    :returns: the event, or a refusal if the request is malformed.
    """
    headers = exchange.req.headers
    match = PATH_PATTERN.fullmatch(exchange.req.path)
    if match is None:
        return refusals.Refusal(
            refusals.BAD_REQUEST, detail="the path is not /v1/queues/WORKSPACE/QUEUE/requests"
        )
    if exchange.req.method != "POST":
        return refusals.Refusal(refusals.BAD_REQUEST, detail="the method is not POST")
    try:
        return events.RequestReceived(
            token=exchange.token,
            request_id=_parse_request_id(headers),
            queue=f"{match[1]}/{match[2]}",
            credential=read_credential(headers),
            idempotent=_parse_flag(headers, "X-Idempotent"),
            urgent=_parse_flag(headers, "X-Urgent"),
            timeout_s=_parse_timeout_s(headers),
            size_bytes=len(exchange.body),
            body_hash=xxhash.xxh3_64_intdigest(exchange.body),
            repeat=_parse_flag(headers, "X-Repeat"),
        )
    except BadHeaderError as exc:
        return refusals.Refusal(refusals.BAD_REQUEST, detail=str(exc))


def read_credential(headers: Headers) -> Credential | None:
    """
    Parse the key from the headers of a request.

    :param headers: the request's headers.
    :returns: the credential, or ``None`` if the request has no key.
    :raises BadHeaderError: if the key is malformed or the scheme is not Bearer.
    """
    text = headers.get("X-Key")
    if text is None:
        scheme, _, text = headers.get("Authorization", "").partition(" ")
        if not scheme:
            return None
        if scheme.lower() != BEARER:
            raise BadHeaderError("Authorization takes Bearer only")
    credential = parse_credential(text.strip())
    if credential is None:
        raise BadHeaderError("the key is not of the form egd_KEYID_SECRET")
    return credential


def forwarded_headers(answer: HttpAnswer, request_id: str, attempt: str) -> dict[str, str]:
    """
    Return the headers with which an endpoint's answer is forwarded to the caller.

    :param answer: the endpoint's answer.
    :param request_id: the caller's id of the request.
    :param attempt: id of the attempt.
    :returns: the headers.
    """
    headers = {name: value for name, value in answer.headers.items() if name not in DROPPED_HEADERS}
    headers[REQUEST_ID_HEADER] = request_id
    headers[ATTEMPT_HEADER] = attempt
    return headers


def _parse_request_id(headers: Any) -> str:
    text = headers.get(REQUEST_ID_HEADER)
    if text is None:
        raise BadHeaderError("X-Request-Id is missing")
    if not REQUEST_ID_PATTERN.fullmatch(text):
        raise BadHeaderError("X-Request-Id needs 1 to 128 visible ASCII characters")
    return text


def _parse_flag(headers: Any, name: str) -> bool:
    text = headers.get(name, "0")
    if text not in ("0", "1"):
        raise BadHeaderError(f"{name} takes 0 or 1")
    return text == "1"


def _parse_timeout_s(headers: Any) -> float | None:
    text = headers.get("X-Timeout-Ms")
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and 0 < int(text[:9]) <= MAX_TIMEOUT_MS):
        raise BadHeaderError(f"X-Timeout-Ms takes 1 to {MAX_TIMEOUT_MS}")
    return int(text) / 1000
