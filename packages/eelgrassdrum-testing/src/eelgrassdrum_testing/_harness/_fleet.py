"""
A small fleet for tests: one workspace, two teams, one service, entry instances in each zone.
"""

import random
from typing import NamedTuple

from eelgrassdrum_core import (
    DOCUMENT_PUBLISHED,
    KEY_GRANTED,
    KEY_WITHDRAWN,
    KeyWithdrawalAsked,
    Tuning,
    digest_secret,
)

from ._endpoints import add_endpoint
from ._entries import deliver, start_entry
from ._log import operator_append
from ._world import World, advance

WORKSPACE = "show"
SERVICE = "show/judging"
QUEUE = "show/scores"
OPEN_QUEUE = "show/results"


class TeamPlan(NamedTuple):
    """
    A team of the test fleet.

    :param name: its name in the workspace.
    :param share: its weight.
    :param limit: its upper limit in units.
    :param grace_s: seconds that its keys go on when cut off.
    """

    name: str
    share: float
    limit: int
    grace_s: float = 0.0


DEFAULT_TEAMS = (TeamPlan("judges", 2.0, 12), TeamPlan("members", 1.0, 12))


def key_text(team: str) -> str:
    """
    Give the text of a team's key.

    :param team: the team's name in the workspace.
    :returns: what its callers present.
    """
    return f"egd_{team}-key_secret-{team}"


def fleet_document(
    teams: tuple[TeamPlan, ...] = DEFAULT_TEAMS, executors: int = 6
) -> dict[str, object]:
    """
    Give the workspace's document.

    :param teams: its teams.
    :param executors: endpoints of its service.
    :returns: the rendered document.
    """
    bounds = {"max_queued": 200, "max_bytes": 1_000_000, "max_wait_s": 5.0, "max_run_s": 5.0}
    return {
        "services": [{"name": "judging", "executors": executors, "max_unavailable": 1}],
        "queues": [
            {"name": "scores", "service": "judging", "access": "keyed", **bounds},
            {"name": "results", "service": "judging", "access": "open", **bounds},
        ],
        "teams": [team._asdict() for team in teams],
    }


def publish(world: World, document: dict[str, object], base: int) -> int:
    """
    Publish the workspace's document.

    :param world: the world.
    :param document: the rendered document.
    :param base: offset of the document that it builds on.
    :returns: its offset.
    """
    body = {"name": WORKSPACE, "document": document, "author": "op", "comment": ""}
    return operator_append(world, DOCUMENT_PUBLISHED, f"document/{WORKSPACE}", base, body)


def grant_key(world: World, team: str) -> int:
    """
    Grant a team its key.

    :param world: the world.
    :param team: the team's name in the workspace.
    :returns: the record's offset.
    """
    body = {
        "workspace": WORKSPACE,
        "key_id": f"{team}-key",
        "team": team,
        "digest": digest_secret(f"secret-{team}"),
        "queues": [],
    }
    return operator_append(world, KEY_GRANTED, f"key/{WORKSPACE}/{team}-key", 0, body)


def withdraw_key(world: World, team: str) -> int:
    """
    Withdraw a team's key as the operators' client does: by the log, or with the log out at an
    entry instance.

    :param world: the world.
    :param team: the team's name in the workspace.
    :returns: the record's offset, 0 when it did not go by the log.
    """
    key_id = f"{team}-key"
    world.withdrawn_s.setdefault(key_id, world.now_s)
    if world.log.outage:
        entry = next(e for e in world.entries.values() if e.alive and e.paused_until_s == 0)
        deliver(world, entry, KeyWithdrawalAsked(WORKSPACE, key_id))
        return 0
    body = {"workspace": WORKSPACE, "key_id": key_id}
    return operator_append(world, KEY_WITHDRAWN, f"key/{WORKSPACE}/{key_id}", None, body)


def make_fleet(
    seed: int,
    *,
    zones: tuple[str, ...] = ("a", "b", "c"),
    entries_per_zone: int = 1,
    endpoints_per_zone: int = 2,
    slots: int = 2,
    run_s: float = 0.1,
    teams: tuple[TeamPlan, ...] = DEFAULT_TEAMS,
    tuning: Tuning | None = None,
    settle_s: float = 3.0,
) -> World:
    """
    Start a fleet and let it come to rest.

    :param seed: seed of every random choice.
    :param zones: availability zones.
    :param entries_per_zone: entry instances in each zone.
    :param endpoints_per_zone: endpoints in each zone.
    :param slots: requests that an endpoint runs at once.
    :param run_s: mean seconds that a request runs.
    :param teams: teams of the workspace.
    :param tuning: settings of the decisions.
    :param settle_s: virtual seconds to let pass.
    :returns: the world.
    """
    world = World(random.Random(seed))
    document = fleet_document(teams, len(zones) * endpoints_per_zone)
    publish(world, document, 0)
    for team in teams:
        grant_key(world, team.name)
    for zone in zones:
        for number in range(endpoints_per_zone):
            add_endpoint(world, f"ep-{zone}{number}", SERVICE, zone, slots=slots, run_s=run_s)
    chosen = tuning or Tuning(entry_instances=len(zones) * entries_per_zone)
    for zone in zones:
        for number in range(entries_per_zone):
            start_entry(world, f"entry-{zone}{number}", zone, chosen)
    advance(world, settle_s)
    return world
