"""
What the endpoints say about runs: how many of a team run at once, and what ran in all.
"""

import asyncio
from collections import Counter, defaultdict

import msgspec

from .._process import Process
from . import _http

SWEEP_INTERVAL_S = 0.05


class RunningWatch(msgspec.Struct):
    """
    The most that was certainly running at once for each team.

    An attempt that two sweeps in a row saw was running between them. Counting only those gives a
    lower bound that no delay between two endpoints' answers can push up.

    :param most: by ``WORKSPACE/TEAM``.
    :param previous: attempts seen by the last sweep, with their teams.
    :param sweeps: how many sweeps there were.
    """

    most: dict[str, int] = msgspec.field(default_factory=dict)
    previous: dict[str, str] = msgspec.field(default_factory=dict)
    sweeps: int = 0


async def watch_running(
    client: _http.Client, endpoints: list[Process], watch: RunningWatch
) -> None:
    """
    Ask every endpoint what it runs, again and again.

    :param client: keeps the connections.
    :param endpoints: the endpoints.
    :param watch: changed in place.
    """
    while True:
        seen: dict[str, str] = {}
        for listed in await asyncio.gather(*(_running(client, e.address) for e in endpoints)):
            seen.update(listed)
        counts = Counter(team for attempt, team in seen.items() if attempt in watch.previous)
        for team, count in counts.items():
            watch.most[team] = max(watch.most.get(team, 0), count)
        watch.previous = seen
        watch.sweeps += 1
        await asyncio.sleep(SWEEP_INTERVAL_S)


async def read_runs(client: _http.Client, endpoints: list[Process]) -> dict[str, int]:
    """
    Count how often each request was started.

    :param client: keeps the connections.
    :param endpoints: the endpoints.
    :returns: starts by request id.
    """
    starts: defaultdict[str, int] = defaultdict(int)
    for endpoint in endpoints:
        answer = await _http.request(client, endpoint.address, "GET", "/runs")
        for run in msgspec.json.decode(answer.body)["runs"]:
            starts[run[0]] += 1
    return dict(starts)


async def _running(client: _http.Client, address: str) -> dict[str, str]:
    try:
        answer = await _http.request(client, address, "GET", "/health")
    except _http.NoAnswerError:
        return {}
    return {run["attempt"]: run["team"] for run in msgspec.json.decode(answer.body)["running"]}
