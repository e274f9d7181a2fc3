"""
Faults that can be brought about in the harness, by name, each with the way it ends.
"""

from collections.abc import Callable
from itertools import combinations

from eelgrassdrum_core import events

from ._endpoints import crash_endpoint
from ._entries import deliver, kill_entry, pause_entry, start_entry, submit
from ._fleet import (
    DEFAULT_TEAMS,
    QUEUE,
    WORKSPACE,
    fleet_document,
    key_text,
    publish,
    withdraw_key,
)
from ._world import LOG, Entry, FakeEndpoint, World, later

# Seconds after which a fault that can end does so.
FAULT_S = 8.0
PAUSE_S = 6.0
REPLACE_AFTER_S = 1.0

Fault = Callable[[World], None]


def crash_instance(world: World) -> None:
    """
    Kill an entry instance; a replacement of the same address comes a second later.

    :param world: the world.
    """
    entry = _any_entry(world)
    kill_entry(world, entry)
    tuning = entry.state.tuning
    later(world, REPLACE_AFTER_S, lambda: _replace(world, entry, tuning))


def crash_wave(world: World) -> None:
    """
    Kill half of the entry instances at the same moment.

    :param world: the world.
    """
    for _ in range(max(1, len(world.entries) // 2)):
        crash_instance(world)


def pause_instance(world: World) -> None:
    """
    Freeze an entry instance for longer than a lease.

    :param world: the world.
    """
    pause_entry(world, _any_entry(world), PAUSE_S)


def cut_zones(world: World) -> None:
    """
    Cut two zones off from each other.

    :param world: the world.
    """
    zones = _zones(world)
    pair = world.rng.choice(list(combinations(zones, 2)))
    _cut_for_a_time(world, [frozenset(pair)])


def cut_zone_from_all(world: World) -> None:
    """
    Cut one zone off from every other and from the log.

    :param world: the world.
    """
    zones = _zones(world)
    zone = world.rng.choice(zones)
    others = [other for other in (*zones, LOG) if other != zone]
    _cut_for_a_time(world, [frozenset((zone, other)) for other in others])


def cut_zone_from_log(world: World) -> None:
    """
    Cut one zone off from the log only.

    :param world: the world.
    """
    _cut_for_a_time(world, [frozenset((world.rng.choice(_zones(world)), LOG))])


def log_outage(world: World) -> None:
    """
    Let every call of the log fail.

    :param world: the world.
    """
    world.log.outage = True
    later(world, FAULT_S, lambda: setattr(world.log, "outage", False))


def log_slow(world: World) -> None:
    """
    Let every call of the log take half a second.

    :param world: the world.
    """
    world.log.delay_s = 0.5
    later(world, FAULT_S, lambda: setattr(world.log, "delay_s", 0.01))


def lose_append_answers(world: World) -> None:
    """
    Lose most answers of the log after the append took effect.

    :param world: the world.
    """
    world.log.lose_answers = 0.7
    later(world, FAULT_S, lambda: setattr(world.log, "lose_answers", 0.0))


def lossy_network(world: World) -> None:
    """
    Lose a third of the peers' messages, and repeat a third.

    :param world: the world.
    """
    network = world.network
    network.drop, network.repeat = 0.33, 0.33
    later(world, FAULT_S, lambda: setattr(network, "drop", 0.0))
    later(world, FAULT_S, lambda: setattr(network, "repeat", 0.0))


def crash_of_endpoint(world: World) -> None:
    """
    Crash an endpoint with all that runs there.

    :param world: the world.
    """
    crash_endpoint(world, _any_endpoint(world))


def silent_endpoint(world: World) -> None:
    """
    Let an endpoint run attempts without ever answering.

    :param world: the world.
    """
    endpoint = _any_endpoint(world)
    endpoint.silent = True
    later(world, FAULT_S, lambda: setattr(endpoint, "silent", False))


def unreachable_endpoint(world: World) -> None:
    """
    Refuse every new connection to an endpoint.

    :param world: the world.
    """
    endpoint = _any_endpoint(world)
    endpoint.reachable = False
    later(world, FAULT_S, lambda: setattr(endpoint, "reachable", True))


def leaving_endpoint(world: World) -> None:
    """
    Let an endpoint leave; it refuses what comes, and the list says so late.

    :param world: the world.
    """
    endpoint = _any_endpoint(world)
    if endpoint.leaving_since_s is None:
        endpoint.leaving_since_s = world.now_s


def leaving_endpoint_that_accepts(world: World) -> None:
    """
    Let an endpoint leave that still runs what it gets; only its health and the list say so.

    :param world: the world.
    """
    endpoint = _any_endpoint(world)
    endpoint.refuses_leaving = False
    if endpoint.leaving_since_s is None:
        endpoint.leaving_since_s = world.now_s
    world.list_lag_s = 30.0


def failing_endpoint(world: World) -> None:
    """
    Let an endpoint fail all that it gets at once.

    :param world: the world.
    """
    endpoint = _any_endpoint(world)
    endpoint.fail_fast = True
    later(world, FAULT_S, lambda: setattr(endpoint, "fail_fast", False))


def slow_endpoint(world: World) -> None:
    """
    Let an endpoint take thirty times as long as before.

    :param world: the world.
    """
    endpoint = _any_endpoint(world)
    run_s = endpoint.run_s
    endpoint.run_s = run_s * 30
    later(world, FAULT_S, lambda: setattr(endpoint, "run_s", run_s))


def racing_operators(world: World) -> None:
    """
    Publish two documents that build on the same revision.

    :param world: the world.
    """
    base = _document_base(world)
    for limit in (8, 10):
        teams = tuple(team._replace(limit=limit) for team in DEFAULT_TEAMS)
        publish(world, fleet_document(teams, len(world.endpoints)), base)


def publish_next(world: World) -> None:
    """
    Publish the present document once more, as an operator's ordinary change.

    :param world: the world.
    """
    publish(world, fleet_document(DEFAULT_TEAMS, len(world.endpoints)), _document_base(world))


def lower_limit(world: World) -> None:
    """
    Publish a document that lowers every team's limit to a third.

    :param world: the world.
    """
    teams = tuple(team._replace(limit=team.limit // 3) for team in DEFAULT_TEAMS)
    publish(world, fleet_document(teams, len(world.endpoints)), _document_base(world))


def key_withdrawn(world: World) -> None:
    """
    Withdraw the key of a team that is sending.

    :param world: the world.
    """
    withdraw_key(world, "members")


def cancel_wave(world: World) -> None:
    """
    Let every caller of one entry instance go away at the same moment.

    :param world: the world.
    """
    entry = _any_entry(world)
    for token in list(entry.state.requests.open_tokens):
        deliver(world, entry, events.RequestAbandoned(token))


def repeat_elsewhere(world: World) -> None:
    """
    Send the newest requests once more, each at another entry instance.

    :param world: the world.
    """
    for submission in list(world.submissions.values())[-8:]:
        if submission.queue == QUEUE:
            submit(
                world,
                _any_entry(world),
                QUEUE,
                submission.request_id,
                key=key_text(submission.team.partition("/")[2]),
                team=submission.team,
                idempotent=submission.idempotent,
                timeout_s=4.0,
                repeat=True,
            )


def _any_entry(world: World) -> Entry:
    return world.rng.choice([entry for entry in world.entries.values() if entry.alive])


def _any_endpoint(world: World) -> FakeEndpoint:
    return world.rng.choice(list(world.endpoints.values()))


def _zones(world: World) -> list[str]:
    return sorted({entry.zone for entry in world.entries.values()})


def _replace(world: World, entry: Entry, tuning: object) -> None:
    if not world.entries[entry.id].alive:
        start_entry(world, entry.id, entry.zone, tuning)


def _cut_for_a_time(world: World, cuts: list[frozenset[str]]) -> None:
    world.network.cuts.update(cuts)
    later(world, FAULT_S, lambda: world.network.cuts.difference_update(cuts))


def _document_base(world: World) -> int:
    """
    Give the offset of the newest document that some instance has folded.
    """
    subject = f"document/{WORKSPACE}"
    return max(
        entry.state.fold.position.revisions.get(subject, 0) for entry in world.entries.values()
    )


FAULTS: dict[str, Fault] = {
    "instance crashes, is replaced": crash_instance,
    "half of the instances crash": crash_wave,
    "instance pauses past a lease": pause_instance,
    "two zones cut off": cut_zones,
    "zone cut off from everything": cut_zone_from_all,
    "zone cut off from the log": cut_zone_from_log,
    "log out": log_outage,
    "log slow": log_slow,
    "append answers lost": lose_append_answers,
    "peer messages lost and repeated": lossy_network,
    "endpoint crashes": crash_of_endpoint,
    "endpoint goes silent": silent_endpoint,
    "endpoint unreachable": unreachable_endpoint,
    "endpoint leaves": leaving_endpoint,
    "endpoint leaves, still accepts": leaving_endpoint_that_accepts,
    "endpoint fails everything": failing_endpoint,
    "endpoint slow": slow_endpoint,
    "operators race": racing_operators,
    "limit lowered": lower_limit,
    "key withdrawn": key_withdrawn,
    "callers cancel in a wave": cancel_wave,
    "requests repeated elsewhere": repeat_elsewhere,
}
