"""
The sizes of both fleets as data.
"""

from typing import NamedTuple

SPARE_POOL = "spare"


class Team(NamedTuple):
    """
    A team of a workspace.

    :param weight: its part of its workspace's requests and share.
    """

    id: str
    weight: float


class Workspace(NamedTuple):
    """
    A workspace.

    :param weight: its part of the fleet's requests and share.
    """

    id: str
    weight: float
    teams: tuple[Team, ...]


class WorkerShape(NamedTuple):
    """
    What each worker has.
    """

    cores: int
    memory_gb: int
    accelerators: int = 0


class Load(NamedTuple):
    """
    How requests come in.

    :param utilization: mean share of a service's slots that is busy.
    :param work_ms: median service time in milliseconds.
    :param burst_s: seconds that each service's burst lasts; the services burst in turn.
    :param burst_factor: rate of a burst as a multiple of the mean.
    :param trough_factor: rate between bursts as a multiple of the mean.
    :param idempotent: share of requests that may run more than once.
    :param urgent: share of requests that are urgent.
    """

    utilization: float = 0.4
    work_ms: float = 80.0
    burst_s: float = 3.0
    burst_factor: float = 5.0
    trough_factor: float = 0.05
    idempotent: float = 0.3
    urgent: float = 0.05


class Scenario(NamedTuple):
    """
    A fleet, its customers and its load.

    :param zone_rtt_ms: round trip between two availability zones, in milliseconds.
    :param executors: executors of each service, each on an endpoint of its own.
    :param slots: requests that each executor runs at a time.
    :param entries: entry instances.
    """

    name: str
    seed: int
    zones: tuple[str, ...]
    zone_rtt_ms: float
    services: tuple[str, ...]
    executors: int
    entries: int
    workers: int
    workers_per_rack: int
    worker: WorkerShape
    workspaces: tuple[Workspace, ...]
    slots: int = 4
    load: Load = Load()


def workspace(name: str, weight: float) -> Workspace:
    """
    Make a workspace with one larger and one smaller team.

    :param name: its id.
    :param weight: its part of the fleet.
    :returns: the workspace.
    """
    return Workspace(name, weight, (Team(f"{name}-1", 0.7), Team(f"{name}-2", 0.3)))


GARTENSCHAU = Scenario(
    name="gartenschau",
    seed=1,
    zones=("a", "b", "c"),
    zone_rtt_ms=0.5,
    services=("entries", "judging", "bench-cards", "results", "members"),
    executors=6,
    entries=9,
    workers=30,
    workers_per_rack=4,
    worker=WorkerShape(cores=32, memory_gb=128),
    workspaces=(
        workspace("tulln", 0.35),
        workspace("graz", 0.30),
        workspace("linz", 0.15),
        workspace("wels", 0.08),
        workspace("steyr", 0.07),
        workspace("krems", 0.05),
    ),
)

CONSORTIUM = Scenario(
    name="consortium",
    seed=2,
    zones=("a", "b", "c", "d"),
    zone_rtt_ms=1.0,
    services=("closures", "detours", "paving", "notices", "dispatch"),
    executors=8,
    entries=8,
    workers=40,
    workers_per_rack=4,
    worker=WorkerShape(cores=64, memory_gb=256),
    workspaces=(
        workspace("granite", 0.28),
        workspace("corridor", 0.26),
        workspace("northway", 0.24),
        workspace("lakeside", 0.10),
        workspace("transit", 0.07),
        workspace("highway", 0.05),
    ),
)

SCENARIOS = {scenario.name: scenario for scenario in (GARTENSCHAU, CONSORTIUM)}
