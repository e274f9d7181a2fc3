"""
Callers of the harness: a steady stream of requests with seeded choices.
"""

from ._entries import submit
from ._fleet import DEFAULT_TEAMS, OPEN_QUEUE, QUEUE, WORKSPACE, key_text
from ._world import World, later

TIMEOUT_S = 4.0
REPEAT_AFTER_S = (0.0, 0.002, 0.05, 0.5, 2.0, 6.0)


def start_load(world: World, rate: float, seconds: float, repeat_share: float = 0.0) -> None:
    """
    Let callers send requests at random moments to random live entry instances.

    :param world: the world.
    :param rate: mean requests a second.
    :param seconds: for how long.
    :param repeat_share: share of requests that are sent once more, anywhere, whatever became of
        the first exchange.
    """
    until_s = world.now_s + seconds

    def send_next() -> None:
        if world.now_s >= until_s:
            return
        token = send_one(world)
        if token is not None and world.rng.random() < repeat_share:
            delay_s = world.rng.choice(REPEAT_AFTER_S)
            later(world, delay_s, lambda: send_again(world, token))
        later(world, world.rng.expovariate(rate), send_next)

    later(world, world.rng.expovariate(rate), send_next)


def send_one(world: World) -> int | None:
    """
    Send one request of a random team, idempotent or not, keyed or open.

    :param world: the world.
    :returns: the exchange, or ``None`` when no entry instance lives.
    """
    alive = [entry for entry in world.entries.values() if entry.alive]
    if not alive:
        return None
    entry = world.rng.choice(alive)
    request_id = f"r{world.next_token}"
    idempotent = world.rng.random() < 0.5
    if world.rng.random() < 0.1:
        return submit(
            world, entry, OPEN_QUEUE, request_id, idempotent=idempotent, timeout_s=TIMEOUT_S
        )
    team = world.rng.choice(DEFAULT_TEAMS).name
    return submit(
        world,
        entry,
        QUEUE,
        request_id,
        key=key_text(team),
        team=f"{WORKSPACE}/{team}",
        idempotent=idempotent,
        timeout_s=TIMEOUT_S,
    )


def send_again(world: World, token: int, *, marked: bool = True) -> int | None:
    """
    Send an earlier request once more to a random live entry instance.

    :param world: the world.
    :param token: the earlier exchange.
    :param marked: whether the caller says that it is a repeat.
    :returns: the exchange, or ``None`` when no entry instance lives.
    """
    alive = [entry for entry in world.entries.values() if entry.alive]
    if not alive:
        return None
    first = world.submissions[token]
    return submit(
        world,
        world.rng.choice(alive),
        first.queue,
        first.request_id,
        key=key_text(first.team.partition("/")[2]) if first.team else "",
        team=first.team,
        idempotent=first.idempotent,
        timeout_s=TIMEOUT_S,
        repeat=marked,
    )
