"""
State of the in-memory harness: several reducers, fakes at their interfaces, and virtual time.
"""

import random
from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from typing import NamedTuple

import msgspec

from eelgrassdrum_core import Record, State, refusals

from ._platform import Platform

LOG = "log"


class Run(NamedTuple):
    """
    One start of a request at an endpoint.

    :param attempt: id of the attempt.
    :param request_id: the caller's id.
    :param team: team that it ran for.
    :param holder: entry instance that sent it.
    :param endpoint: where it ran.
    :param started_s: virtual time.
    :param sent_s: virtual time of the dispatch.
    :param token: the exchange whose body was sent.
    :param limit: largest limit of the team that was in force anywhere at the dispatch, or ``None``
        if it isn't known.
    """

    attempt: str
    request_id: str
    team: str
    holder: str
    endpoint: str
    started_s: float
    sent_s: float
    token: int = 0
    limit: int | None = None


class Submission(NamedTuple):
    """
    One exchange that a caller opened.

    :param token: the exchange.
    :param instance: entry instance that took it.
    :param request_id: the caller's id.
    :param queue: ``WORKSPACE/QUEUE``.
    :param team: team of the key that was presented, or empty.
    :param key_id: the key, or empty.
    :param idempotent: as said by the caller.
    :param at_s: virtual time.
    """

    token: int
    instance: str
    request_id: str
    queue: str
    team: str
    key_id: str
    idempotent: bool
    at_s: float


class Outcome(NamedTuple):
    """
    What a caller was told.

    :param token: the exchange.
    :param answer: request id in the answer's body, or ``None`` for a refusal.
    :param refusal: the refusal, or ``None``.
    :param at_s: virtual time.
    """

    token: int
    answer: str | None
    refusal: refusals.Refusal | None
    at_s: float


class Entry(msgspec.Struct):
    """
    One entry instance.

    :param state: its reducer's state.
    :param alive: whether its process exists.
    :param paused_until_s: virtual time until which it takes no event in.
    :param held: events that came while it was paused.
    """

    id: str
    zone: str
    state: State
    alive: bool = True
    paused_until_s: float = 0.0
    held: list[object] = msgspec.field(default_factory=list)


class FakeEndpoint(msgspec.Struct):
    """
    One endpoint.

    :param running: attempts running there, with their runs.
    :param answers: request id that each attempt's answer carries.
    :param leaving_since_s: when it began to leave, or ``None``.
    :param refuses_leaving: whether it refuses attempts once it is leaving.
    :param silent: whether attempts get no answer although they run.
    :param fail_fast: whether it answers every attempt with status 500 at once.
    :param reachable: whether connections can be opened.
    """

    id: str
    service: str
    zone: str
    slots: int
    run_s: float
    running: dict[str, Run] = msgspec.field(default_factory=dict)
    leaving_since_s: float | None = None
    refuses_leaving: bool = True
    silent: bool = False
    fail_fast: bool = False
    reachable: bool = True
    incarnation: int = 1


class FakeLog(msgspec.Struct):
    """
    The platform's log.

    :param records: record of each offset, from 1.
    :param first: oldest offset kept.
    :param snapshots: chunk of each offset of the snapshot stream, from 1.
    :param first_snapshot: oldest chunk kept.
    :param outage: whether every call fails.
    :param refuses_appends: whether appends fail without effect while reads are answered.
    :param delay_s: seconds that each call takes.
    :param lose_answers: share of appends whose answer is lost after the effect.
    :param waiters: long polls to answer at the next append.
    """

    records: list[Record] = msgspec.field(default_factory=list)
    snapshots: list[object] = msgspec.field(default_factory=list)
    first_snapshot: int = 1
    first: int = 1
    outage: bool = False
    refuses_appends: bool = False
    delay_s: float = 0.01
    lose_answers: float = 0.0
    waiters: list[Callable[[], None]] = msgspec.field(default_factory=list)
    appended: int = 0


class Network(msgspec.Struct):
    """
    What happens between instances.

    :param delay_s: seconds that a message takes.
    :param drop: share of peer messages lost.
    :param repeat: share of peer messages that come twice.
    :param cuts: pairs of zones (or a zone and the log) that are cut off from each other.
    :param sent_bytes: bytes of messages sent, by instance.
    :param received_bytes: bytes of messages received, by instance.
    """

    delay_s: float = 0.001
    drop: float = 0.0
    repeat: float = 0.0
    cuts: set[frozenset[str]] = msgspec.field(default_factory=set)
    peer_messages: int = 0
    peer_bytes: int = 0
    sent_bytes: Counter[str] = msgspec.field(default_factory=Counter)
    received_bytes: Counter[str] = msgspec.field(default_factory=Counter)


class World(msgspec.Struct):
    """
    Everything that a test drives.

    :param run_s_by_team: mean seconds that a request runs, for teams unlike the others.
    :param withdrawn_s: virtual time of each key's withdrawal, by the key's id.
    """

    rng: random.Random
    now_s: float = 0.0
    tick_s: float = 0.1
    list_lag_s: float = 2.0
    log: FakeLog = msgspec.field(default_factory=FakeLog)
    network: Network = msgspec.field(default_factory=Network)
    entries: dict[str, Entry] = msgspec.field(default_factory=dict)
    endpoints: dict[str, FakeEndpoint] = msgspec.field(default_factory=dict)
    platform: Platform = msgspec.field(default_factory=Platform)
    submissions: dict[int, Submission] = msgspec.field(default_factory=dict)
    outcomes: list[Outcome] = msgspec.field(default_factory=list)
    runs: list[Run] = msgspec.field(default_factory=list)
    refused: int = 0
    probes: int = 0
    listings: list[tuple[float, tuple[object, ...]]] = msgspec.field(default_factory=list)
    agenda: list[tuple[float, int, Callable[[], None]]] = msgspec.field(default_factory=list)
    withdrawn_s: dict[str, float] = msgspec.field(default_factory=dict)
    next_token: int = 1
    run_s_by_team: dict[str, float] = msgspec.field(default_factory=dict)
    next_entry: int = 0
    log_lines: list[tuple[str, str, dict[str, object]]] = msgspec.field(default_factory=list)


def later(world: World, delay_s: float, action: Callable[[], None]) -> None:
    """
    Do something after some virtual time.

    :param world: the world.
    :param delay_s: seconds from now.
    :param action: what to do.
    """
    world.next_entry += 1
    heappush(world.agenda, (world.now_s + delay_s, world.next_entry, action))


def advance(world: World, seconds: float) -> None:
    """
    Let virtual time pass, doing all that falls due.

    :param world: the world.
    :param seconds: how long.
    """
    until_s = world.now_s + seconds
    while world.agenda and world.agenda[0][0] <= until_s:
        at_s, _, action = heappop(world.agenda)
        world.now_s = at_s
        action()
    world.now_s = until_s


def largest_limit(world: World, team: str) -> int | None:
    """
    Return the largest limit of a team that is in force at any instance.

    :param world: the world.
    :param team: the team.
    :returns: the limit, or ``None`` if no instance knows the team.
    """
    configs = [entry.state.fold.config for entry in world.entries.values()]
    limits = [config.teams[team].limit for config in configs if team in config.teams]
    return max(limits, default=None)


def is_cut(world: World, left: str, right: str) -> bool:
    """
    Tell whether two zones, or a zone and the log, are cut off from each other.

    :param world: the world.
    :param left: a zone.
    :param right: another zone, or `LOG`.
    :returns: whether nothing passes between them.
    """
    return frozenset((left, right)) in world.network.cuts
