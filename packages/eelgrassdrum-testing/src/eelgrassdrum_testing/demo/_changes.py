"""
What operators and the platform change while the demonstration runs.
"""

import asyncio
import itertools
import time
from typing import Any

import msgspec

from eelgrassdrum_core import refusals

from .. import _daemon as fleet
from . import _http
from ._callers import Balancer, choose
from ._fleet import ROOT_KEY, Entry, Fleet, list_entry, start_entry, workspace_document

POLL_S = 0.05
BALANCER_CHECK_S = 0.2
EXIT_TIMEOUT_S = 30.0
ROLL_OUT_TIMEOUT_S = 15.0
WITHDRAWN_WATCH_S = 6.0
PROBE_TIMEOUT_MS = 1000
# Codes of refusals that only requests with an accepted key get, and of refusals of the key.
TAKEN_ERRORS = frozenset(
    code.name
    for code in (
        refusals.QUEUE_FULL,
        refusals.RETRIES_SPENT,
        refusals.WAIT_TOO_LONG,
        refusals.LIMIT_REACHED,
        refusals.OUTCOME_UNKNOWN,
        refusals.RUN_TIMEOUT,
        refusals.HELD_ELSEWHERE,
        refusals.UNRESOLVED,
    )
)
REFUSED_ERRORS = frozenset(
    code.name for code in (refusals.KEY_REFUSED, refusals.KEY_UNVERIFIED, refusals.KEY_FORBIDDEN)
)
EXTRA_KEY_ID = "key-extra"
OPERATOR_HEADERS = {"Authorization": f"Bearer {ROOT_KEY}"}


class Changes(msgspec.Struct):
    """
    What came of the changes.

    :param exit_code: of the entry instance that was replaced, ``None`` when it did not end.
    :param replaced_s: seconds from the signal until its replacement was ready and voted.
    :param drained_s: seconds from the signal until the replaced instance had ended.
    :param roll_out_s: seconds from the append until the last entry instance had it in force,
        ``None`` when one never had.
    :param withdrawn_s: seconds from the append until the key was last taken.
    :param withdrawn_tries: requests with the key after its withdrawal whose answer tells whether
        the key was taken; 0 when it was never taken before.
    :param metrics: metrics of entry instances, the replaced one included.
    """

    exit_code: int | None = None
    replaced_s: float | None = None
    drained_s: float | None = None
    roll_out_s: float | None = None
    withdrawn_s: float = 0.0
    withdrawn_tries: int = 0
    metrics: list[dict[str, Any]] = msgspec.field(default_factory=list)


async def watch_readiness(made: Fleet, client: _http.Client, balancer: Balancer) -> None:
    """
    Keep the balancer's list of ready entry instances, as the platform's balancer does.

    Each is checked by itself, so that a slow one doesn't delay what is known of the others.

    :param made: the fleet.
    :param client: keeps the connections.
    :param balancer: changed in place.
    """
    watched: set[str] = set()
    async with asyncio.TaskGroup() as group:
        while True:
            for entry in list(made.entries.values()):
                if entry.process.address not in watched:
                    watched.add(entry.process.address)
                    group.create_task(_watch_one(made, client, balancer, entry))
            await asyncio.sleep(BALANCER_CHECK_S)


async def _watch_one(made: Fleet, client: _http.Client, balancer: Balancer, entry: Entry) -> None:
    address = entry.process.address
    while made.entries.get(entry.id) is entry:
        ready = await is_ready(client, address)
        others = [other for other in balancer.addresses if other != address]
        if not ready:
            balancer.addresses = others
        elif address not in balancer.addresses:
            balancer.addresses = [*others, address]
        await asyncio.sleep(BALANCER_CHECK_S)
    balancer.addresses = [other for other in balancer.addresses if other != address]


async def is_ready(client: _http.Client, address: str) -> bool:
    """
    Ask an entry instance whether it may be sent callers.

    :param client: keeps the connections.
    :param address: ``IP:PORT``.
    :returns: whether it may.
    """
    try:
        answer = await _http.request(client, address, "GET", fleet.READY_PATH)
    except _http.NoAnswerError:
        return False
    return answer.status == fleet.STATUS_OK


async def replace_entry(made: Fleet, client: _http.Client, changes: Changes) -> None:
    """
    Stop the first entry instance gracefully, and start it again under its id once it has ended.

    An instance under another id would wait for claims of the one that leaves, which may have ended.

    :param made: the fleet, changed in place.
    :param client: keeps the connections.
    :param changes: receives the exit code and the time.
    """
    entry = made.entries[next(iter(sorted(made.entries)))]
    await keep_metrics(client, entry.process.address, changes)
    start_s = time.monotonic()
    entry.is_leaving = True
    entry.process.popen.terminate()
    await asyncio.to_thread(list_entry, made, entry, "leaving")
    changes.exit_code = await asyncio.to_thread(entry.process.popen.wait, EXIT_TIMEOUT_S)
    changes.drained_s = time.monotonic() - start_s
    made.replaced.append(made.entries.pop(entry.id))
    new = await asyncio.to_thread(start_entry, made, entry.id, entry.zone)
    while not await is_ready(client, new.process.address):
        await asyncio.sleep(POLL_S)
    await asyncio.to_thread(fleet.wait_voting, new.process)
    changes.replaced_s = time.monotonic() - start_s


async def publish_one(made: Fleet, client: _http.Client, changes: Changes) -> None:
    """
    Publish a workspace's document again and time until every entry instance has it in force.

    :param made: the fleet.
    :param client: keeps the connections.
    :param changes: receives the time.
    """
    workspace = made.scenario.workspaces[0]
    document = workspace_document(made.scenario, workspace)
    revision = await asyncio.to_thread(fleet.publish, made.writer, workspace.id, document)
    start_s = time.monotonic()
    path = f"/v1/operator/documents/{workspace.id}"
    # An instance that leaves takes no callers, so what it has in force matters to nobody.
    staying = [entry for entry in made.entries.values() if not entry.is_leaving]
    waiting = {entry.process.address for entry in staying}
    while waiting and time.monotonic() - start_s < ROLL_OUT_TIMEOUT_S:
        for address in sorted(waiting):
            if await _revision(client, address, path) >= revision:
                waiting.discard(address)
        await asyncio.sleep(POLL_S)
    changes.roll_out_s = None if waiting else time.monotonic() - start_s


async def withdraw_one(
    made: Fleet, client: _http.Client, balancer: Balancer, changes: Changes
) -> None:
    """
    Grant a key, withdraw it, and keep presenting it to every entry instance in turn.

    :param made: the fleet.
    :param client: keeps the connections.
    :param balancer: the entry instances.
    :param changes: receives the time at which it was last taken.
    """
    workspace = made.scenario.workspaces[-1]
    team = workspace.teams[0]
    key = await asyncio.to_thread(
        fleet.grant_key, made.writer, workspace.id, team.id, EXTRA_KEY_ID, "t0day"
    )
    path = f"/v1/queues/{workspace.id}/{made.scenario.services[-1]}/requests"
    granted_s = time.monotonic()
    for number in itertools.count():
        if await _is_taken(client, choose(balancer), path, key, f"granted-{number}"):
            break
        if time.monotonic() - granted_s > ROLL_OUT_TIMEOUT_S:
            return
        await asyncio.sleep(POLL_S)
    await asyncio.to_thread(fleet.withdraw_key, made.writer, workspace.id, EXTRA_KEY_ID)
    start_s = time.monotonic()
    numbers = itertools.count(1)
    while time.monotonic() - start_s < WITHDRAWN_WATCH_S:
        sent_s = time.monotonic()
        is_taken = await _is_taken(
            client, choose(balancer), path, key, f"withdrawn-{next(numbers)}"
        )
        changes.withdrawn_tries += is_taken is not None
        if is_taken:
            changes.withdrawn_s = sent_s - start_s
        await asyncio.sleep(POLL_S)


async def keep_metrics(client: _http.Client, address: str, changes: Changes) -> None:
    """
    Keep an entry instance's histograms and counters.

    :param client: keeps the connections.
    :param address: ``IP:PORT``.
    :param changes: receives them.
    """
    answer = await _http.request(client, address, "GET", "/metrics", OPERATOR_HEADERS)
    changes.metrics.append(msgspec.json.decode(answer.body))


async def _revision(client: _http.Client, address: str, path: str) -> int:
    try:
        answer = await _http.request(client, address, "GET", path, OPERATOR_HEADERS)
    except _http.NoAnswerError:
        return 0
    return msgspec.json.decode(answer.body).get("revision", 0)


async def _is_taken(
    client: _http.Client, address: str, path: str, key: str, name: str
) -> bool | None:
    headers = {"X-Request-Id": f"probe-{name}", "X-Key": key, "X-Timeout-Ms": str(PROBE_TIMEOUT_MS)}
    try:
        answer = await _http.request(client, address, "POST", path, headers, b'{"work_ms": 1}')
    except _http.NoAnswerError:
        return None
    return is_key_taken(answer)


def is_key_taken(answer: _http.Answer) -> bool | None:
    """
    Tell from an answer whether the entry instance has taken the request's key.

    :param answer: the answer to a request with a key.
    :returns: whether it has, or ``None`` when the answer doesn't tell.
    """
    if answer.status == fleet.STATUS_OK:
        return True
    error = msgspec.json.decode(answer.body).get("error")
    if error in TAKEN_ERRORS:
        return True
    return False if error in REFUSED_ERRORS else None
