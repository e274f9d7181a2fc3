"""
Callers in threads, each sending one request after the other and noting what it was told.
"""

import contextlib
import http.client
import threading
from collections.abc import Callable, Iterator
from time import sleep
from typing import NamedTuple

import msgspec

from ._http_client import call

TIMEOUT_S = 4.0
PAUSE_S = 0.02
STATUS_OK = 200


class Told(NamedTuple):
    """
    What one request was told.

    :param request_id: its id.
    :param status: HTTP status, or 0 when the connection broke.
    :param error: code of a refusal, or empty.
    :param run_state: ``not_run``, ``unknown`` or, with an answer, ``ran``.
    :param answered_for: request id in the answer's body, or empty.
    """

    request_id: str
    status: int
    error: str
    run_state: str
    answered_for: str


class Callers(msgspec.Struct, eq=False):
    """
    What all callers were told, and whether they go on.
    """

    told: list[Told] = msgspec.field(default_factory=list)
    stopped: threading.Event = msgspec.field(default_factory=threading.Event)


def send_request(
    address: str, path: str, request_id: str, key: str, *, idempotent: bool = False
) -> Told:
    """
    Send one request.

    :param address: ``IP:PORT`` of an entry instance.
    :param path: path of the queue.
    :param request_id: id of the request.
    :param key: text of the key, or empty.
    :param idempotent: whether running it twice does no harm.
    :returns: what it was told; a broken connection counts as unknown.
    """
    headers = {
        "X-Request-Id": request_id,
        "X-Timeout-Ms": str(int(TIMEOUT_S * 1000)),
        "X-Idempotent": str(int(idempotent)),
    }
    if key:
        headers["X-Key"] = key
    try:
        answer = call(address, "POST", path, request_id.encode(), headers, TIMEOUT_S + 2.0)
    except (OSError, http.client.HTTPException):
        return Told(request_id, 0, "connection", "unknown", "")
    body = answer.json()
    if answer.status == STATUS_OK:
        return Told(request_id, answer.status, "", "ran", body["request_id"])
    return Told(request_id, answer.status, body["error"], body["run_state"], "")


@contextlib.contextmanager
def calling(addresses: Callable[[], list[str]], path: str, key: str) -> Iterator[Callers]:
    """
    Let two callers for each entry instance send requests until the block ends.

    :param addresses: gives the entry instances that are called now.
    :param path: path of the queue.
    :param key: text of the key.
    :returns: what they were told so far.
    """
    callers = Callers()
    threads = [
        threading.Thread(target=_run, args=(callers, addresses, number, path, key), daemon=True)
        for number in range(2 * len(addresses()))
    ]
    for thread in threads:
        thread.start()
    try:
        yield callers
    finally:
        callers.stopped.set()
        for thread in threads:
            thread.join(TIMEOUT_S * 3)


def _run(
    callers: Callers, addresses: Callable[[], list[str]], number: int, path: str, key: str
) -> None:
    sent = 0
    while not callers.stopped.is_set():
        now = addresses()
        sent += 1
        address = now[(number + sent) % len(now)]
        callers.told.append(send_request(address, path, f"c{number}-{sent}", key))
        sleep(PAUSE_S)
