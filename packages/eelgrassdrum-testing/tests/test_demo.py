"""
The demonstration: when it sends its load, how it replaces an instance, and what it judges.
"""

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Iterator
from time import sleep

import msgspec

from eelgrassdrum_core import refusals
from eelgrassdrum_testing import _daemon, _process
from eelgrassdrum_testing._scenario import GARTENSCHAU
from eelgrassdrum_testing.demo import _changes, _fleet, _http
from eelgrassdrum_testing.demo._callers import Balancer

ONE_ZONE = GARTENSCHAU._replace(zones=("a",), services=("entries",), executors=1, entries=3)
LAST = "entry-a3"
LOOPBACK = "127.0.0.1"
WAIT_S = 10.0
POLL_S = 0.01


def make_fleet() -> Iterator[_fleet.Fleet]:
    """
    Start a small fleet of the demonstration in one zone, its last instance after the others.
    """
    with _process.processes() as start:

        def start_in_turn(name: str, command: list[str]) -> _process.Process:
            if name == LAST:
                sleep(2 * _fleet.LIST_LAG_S)
            return start(name, command)

        yield _fleet.start_fleet(ONE_ZONE, start_in_turn)


FIXTURES = {"made": make_fleet}


def votes(entry: _fleet.Entry) -> bool:
    """
    Tell whether an entry instance has recovered its claims by now.
    """
    return any(_daemon.VOTING_EVENT in line for line in list(entry.process.output))


def refused(code: refusals.RefusalCode) -> _http.Answer:
    """
    Make the answer to a refused request.
    """
    body = msgspec.json.encode({"error": code.name, "run_state": code.run_state})
    return _http.Answer(code.status, {}, body)


def entry_at(name: str, address: str) -> _fleet.Entry:
    """
    Make an entry instance at an address, without a process.
    """
    return _fleet.Entry(name, "a", _process.Process(name, address, None, deque()), "")


# Guards against requests that are told "unresolved" because the load comes before the votes.
def test_every_instance_votes_before_the_load(made: _fleet.Fleet) -> None:
    """
    Once the fleet is started, each entry instance votes on claims.
    """
    assert [entry.id for entry in made.entries.values() if not votes(entry)] == []


# Guards against a replacement that waits 300 s for claims of the instance that has left.
def test_replacement_keeps_the_id_and_votes(made: _fleet.Fleet) -> None:
    """
    A replaced entry instance ends with 0, and the new one has its id and votes.
    """
    before = dict(made.entries)
    changes = _changes.Changes()
    asyncio.run(_changes.replace_entry(made, _http.Client(), changes))
    assert changes.exit_code == 0
    assert made.entries.keys() == before.keys()
    [replaced] = made.replaced
    assert replaced is before[replaced.id]
    assert made.entries[replaced.id] is not replaced
    assert votes(made.entries[replaced.id])


# Guards against callers that are sent to an instance that has left, since another one is slow.
def test_slow_instance_does_not_hold_up_the_balancer() -> None:
    """
    An instance that stops being ready gets no more callers while another doesn't answer.
    """
    balancer = Balancer([])

    async def play(silent: str) -> None:
        is_ready = True

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(EOFError, asyncio.CancelledError):
                while await reader.readuntil(b"\r\n\r\n"):
                    status = "200 OK" if is_ready else "503 Service Unavailable"
                    writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())

        server = await asyncio.start_server(answer, LOOPBACK, 0)
        leaving = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
        entries = [entry_at("a1", leaving), entry_at("a2", silent)]
        made = _fleet.Fleet(ONE_ZONE, None, None, None, {entry.id: entry for entry in entries})
        balancer.addresses = [silent]
        watching = asyncio.create_task(_changes.watch_readiness(made, _http.Client(), balancer))
        async with asyncio.timeout(WAIT_S):
            while leaving not in balancer.addresses:
                await asyncio.sleep(POLL_S)
            is_ready = False
            while leaving in balancer.addresses:
                await asyncio.sleep(POLL_S)
        watching.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watching
        server.close()

    with socket.create_server((LOOPBACK, 0)) as sock:
        asyncio.run(play(f"{LOOPBACK}:{sock.getsockname()[1]}"))


# Guards against a withdrawal that isn't judged, since no probe was served under load.
def test_refusal_for_load_shows_that_the_key_was_taken() -> None:
    """
    A key counts as taken if its request is refused only after it was accepted, and as unknown if
    the refusal may come from before.
    """
    found = {code.name: _changes.is_key_taken(refused(code)) for code in refusals.ALL_CODES}
    assert {name for name, is_taken in found.items() if is_taken is False} == {
        "key_refused",
        "key_unverified",
        "key_forbidden",
    }
    assert {name for name, is_taken in found.items() if is_taken} == {
        "queue_full",
        "retries_spent",
        "wait_too_long",
        "limit_reached",
        "outcome_unknown",
        "run_timeout",
        "held_elsewhere",
        "unresolved",
    }
    assert _changes.is_key_taken(_http.Answer(_daemon.STATUS_OK, {}, b"{}"))
