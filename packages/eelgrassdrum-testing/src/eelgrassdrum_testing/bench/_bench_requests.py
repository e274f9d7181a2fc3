"""
At most once: what a claim costs, and what repeats find over generated schedules.
"""

import tracemalloc
from collections.abc import Iterator

from .._harness import QUEUE, World, advance, key_text, submit
from .._schedules import run_schedule
from ._fleet_load import make_world, mean
from ._measure import Bench, Measure, measure

SEED = 7
REQUESTS = 200
INTERVAL_S = 0.05
KNOWN_IDS = 3000
SCHEDULES = range(30_001, 30_101)
RULES = ("at_most_once", "not_run_is_true", "own_answer_only")
MS_PER_S = 1000.0
MAX_EXTRA_MS = 5.0
# What MAX_KNOWN ids may take, of the 256 MB that a daemon has.
MAX_ID_BYTES = 2000


def claims() -> Iterator[Measure]:
    """
    Compare requests that need a claim with requests that need none, at a low load.
    """
    plain_s, plain_messages, plain_bytes = _send_all(idempotent=True)
    claimed_s, messages, sent_bytes = _send_all(idempotent=False)
    yield measure("claim_answer_time", claimed_s * MS_PER_S, "ms", baseline=plain_s * MS_PER_S)
    extra_ms = (claimed_s - plain_s) * MS_PER_S
    yield measure("claim_extra_time", extra_ms, "ms", at_most=MAX_EXTRA_MS)
    yield measure("claim_messages", (messages - plain_messages) / REQUESTS, "messages/request")
    yield measure("claim_bytes", (sent_bytes - plain_bytes) / REQUESTS, "bytes/request")


def memory() -> Iterator[Measure]:
    """
    Give the memory that one known id takes at its holder and its voters together.
    """
    world = make_world(SEED)
    entry = world.entries["entry-a0"]
    tracemalloc.start()
    before = _core_bytes()
    for number in range(KNOWN_IDS):
        send(world, entry.id, f"m{number}", idempotent=False)
        advance(world, INTERVAL_S)
    advance(world, 1.0)
    after = _core_bytes()
    tracemalloc.stop()
    known = len(entry.state.joins.known)
    yield measure("known_ids", known, "ids")
    yield measure("known_id_memory", (after - before) / known, "bytes", at_most=MAX_ID_BYTES)


def schedules() -> Iterator[Measure]:
    """
    Run generated schedules in which 15% of the requests are repeated anywhere.
    """
    results = [run_schedule(seed) for seed in SCHEDULES]
    for rule in RULES:
        broken = sum(any(text.startswith(rule) for text in r.violations) for r in results)
        yield measure(f"schedules_breaking_{rule}", broken, "schedules", at_most=0)
    answered = sum(result.answered for result in results)
    refused = sum(result.refused for result in results)
    yield measure("schedules_answered_part", answered / (answered + refused), "1")


def send(world: World, entry_id: str, request_id: str, *, idempotent: bool) -> int:
    """
    Send one request.

    :param world: the fleet.
    :param entry_id: the entry instance.
    :param request_id: the caller's id.
    :param idempotent: whether it needs no claim.
    :returns: the exchange.
    """
    return submit(
        world,
        world.entries[entry_id],
        QUEUE,
        request_id,
        key=key_text("judges"),
        team="show/judges",
        idempotent=idempotent,
        timeout_s=4.0,
    )


def _core_bytes() -> int:
    snapshot = tracemalloc.take_snapshot()
    modules = ("*eelgrassdrum_core/_joins*", "*eelgrassdrum_core/_wire.py")
    core = snapshot.filter_traces([tracemalloc.Filter(True, name) for name in modules])
    return sum(item.size for item in core.statistics("filename"))


def _send_all(*, idempotent: bool) -> tuple[float, int, int]:
    world = make_world(SEED)
    messages, sent_bytes = world.network.peer_messages, world.network.peer_bytes
    names = sorted(world.entries)
    for number in range(REQUESTS):
        send(world, names[number % len(names)], f"r{number}", idempotent=idempotent)
        advance(world, INTERVAL_S)
    advance(world, 1.0)
    waits_s = [
        o.at_s - world.submissions[o.token].at_s for o in world.outcomes if o.answer is not None
    ]
    return (
        mean(waits_s),
        world.network.peer_messages - messages,
        world.network.peer_bytes - sent_bytes,
    )


BENCHES: dict[str, Bench] = {
    "requests_claims": claims,
    "requests_memory": memory,
    "requests_schedules": schedules,
}
