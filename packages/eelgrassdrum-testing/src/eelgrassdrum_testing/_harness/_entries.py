"""
Entry instances of the harness: start, pause, kill, deliver events, carry out effects.
"""

from collections.abc import Callable

import xxhash

from eelgrassdrum_core import (
    Identity,
    Sender,
    Tuning,
    decode_message,
    effects,
    encode_message,
    events,
    new_state,
    parse_credential,
    reduce,
)

from . import _endpoints, _log, _snapshots
from ._world import Entry, Outcome, Submission, World, is_cut, later

Executor = Callable[[World, Entry, object], None]


def start_entry(world: World, entry_id: str, zone: str, tuning: Tuning | None = None) -> Entry:
    """
    Start an entry instance, or its replacement with a newer incarnation.

    :param world: the world.
    :param entry_id: its id, which is its address too.
    :param zone: its availability zone.
    :param tuning: settings of its decisions.
    :returns: the instance.
    """
    old = world.entries.get(entry_id)
    incarnation = 1 if old is None else old.state.identity.sender.incarnation + 1
    if old is not None:
        old.alive = False
    identity = Identity(Sender(entry_id, incarnation, zone), entry_id, entry_id)
    entry = Entry(entry_id, zone, new_state(identity, tuning or Tuning()))
    world.entries[entry_id] = entry
    deliver(world, entry, events.Started(world.rng.randrange(1 << 32)))
    _tick(world, entry)
    return entry


def kill_entry(world: World, entry: Entry) -> None:
    """
    End an entry instance without warning.

    :param world: the world.
    :param entry: the instance.
    """
    entry.alive = False


def pause_entry(world: World, entry: Entry, seconds: float) -> None:
    """
    Freeze an entry instance; what comes meanwhile is taken in afterwards, late.

    :param world: the world.
    :param entry: the instance.
    :param seconds: how long.
    """
    entry.paused_until_s = max(entry.paused_until_s, world.now_s + seconds)
    later(world, seconds, lambda: _resume(world, entry))


def deliver(world: World, entry: Entry, event: object) -> None:
    """
    Reduce an event at an instance and carry out its effects.

    :param world: the world.
    :param entry: the instance.
    :param event: the event.
    """
    if not entry.alive:
        return
    if entry.paused_until_s > world.now_s:
        entry.held.append(event)
        return
    _, produced = reduce(entry.state, world.now_s, event)
    for effect in produced:
        EXECUTORS[type(effect)](world, entry, effect)


def submit(
    world: World,
    entry: Entry,
    queue: str,
    request_id: str,
    *,
    key: str = "",
    team: str = "",
    idempotent: bool = False,
    urgent: bool = False,
    timeout_s: float | None = None,
    size_bytes: int = 100,
    repeat: bool = False,
    body_hash: int | None = None,
) -> int:
    """
    Send a caller's request to an instance.

    :param world: the world.
    :param entry: the instance.
    :param queue: ``WORKSPACE/QUEUE``.
    :param request_id: the caller's id.
    :param key: text of the key presented, or empty.
    :param team: team that the key belongs to, for the checks.
    :param idempotent: whether running it twice does no harm.
    :param urgent: whether it goes before others of its team.
    :param timeout_s: seconds that the caller waits.
    :param size_bytes: length of the body.
    :param repeat: whether the caller says that it has sent the request before.
    :param body_hash: hash of the body; follows from the request id when ``None``.
    :returns: the exchange.
    """
    token = world.next_token
    world.next_token += 1
    credential = parse_credential(key) if key else None
    key_id = credential.key_id if credential else ""
    world.submissions[token] = Submission(
        token, entry.id, request_id, queue, team, key_id, idempotent, world.now_s
    )
    if body_hash is None:
        body_hash = xxhash.xxh32_intdigest(f"{queue} {request_id}".encode())
    event = events.RequestReceived(
        token,
        request_id,
        queue,
        credential,
        idempotent,
        urgent,
        timeout_s,
        size_bytes,
        body_hash,
        repeat,
    )
    deliver(world, entry, event)
    return token


def _resume(world: World, entry: Entry) -> None:
    if entry.paused_until_s > world.now_s:
        return
    held = entry.held
    entry.held = []
    for event in held:
        deliver(world, entry, event)


def _tick(world: World, entry: Entry) -> None:
    if not entry.alive:
        return
    if entry.paused_until_s <= world.now_s:
        deliver(world, entry, events.Ticked())
    later(world, world.tick_s, lambda: _tick(world, entry))


def _reply(world: World, entry: Entry, effect: effects.Reply) -> None:
    answer = _endpoints.answer_of(effect.attempt, world)
    world.outcomes.append(Outcome(effect.token, answer, None, world.now_s))


def _refuse(world: World, entry: Entry, effect: effects.Refuse) -> None:
    world.outcomes.append(Outcome(effect.token, None, effect.refusal, world.now_s))


def _read_instances(world: World, entry: Entry, effect: effects.ReadInstances) -> None:
    def answer() -> None:
        deliver(world, entry, events.InstancesListed(_endpoints.lagging_list(world)))

    # Read when the answer is made, so that instances that start together see each other.
    later(world, 0.01, answer)


def _send_peer(world: World, entry: Entry, effect: effects.SendPeer) -> None:
    data = encode_message(entry.state.identity.sender, effect.message)
    world.network.peer_messages += 1
    world.network.peer_bytes += len(data)
    world.network.sent_bytes[entry.id] += len(data)
    copies = 1 + (world.rng.random() < world.network.repeat)
    for _ in range(copies):
        if world.rng.random() >= world.network.drop:
            delay_s = world.network.delay_s * (1 + world.rng.random())
            later(world, delay_s, lambda: _receive_peer(world, entry.zone, effect.address, data))


def _receive_peer(world: World, from_zone: str, address: str, data: bytes) -> None:
    target = world.entries.get(address)
    if target is None or is_cut(world, from_zone, target.zone):
        return
    world.network.received_bytes[address] += len(data)
    event = decode_message(data)
    if event is not None:
        deliver(world, target, event)


def _write_log(world: World, entry: Entry, effect: effects.WriteLog) -> None:
    world.log_lines.append((entry.id, effect.action, effect.fields))


def _leave(world: World, entry: Entry, effect: effects.Exit) -> None:
    entry.alive = False


def _ignore(world: World, entry: Entry, effect: object) -> None:
    """
    Carry out nothing: the effect only matters to the process around the reducer.
    """


# How each effect is carried out. Domains with effects of their own add to it.
EXECUTORS: dict[type, Executor] = {
    effects.Dispatch: lambda world, entry, effect: _endpoints.attempt(
        world, entry.zone, effect, lambda event: deliver(world, entry, event)
    ),
    effects.Reply: _reply,
    effects.Refuse: _refuse,
    effects.DropAnswer: _ignore,
    effects.ReadLog: lambda world, entry, effect: _log.read(
        world, entry.zone, effect, lambda event: deliver(world, entry, event)
    ),
    effects.AppendRecords: lambda world, entry, effect: _log.append_later(
        world, entry.zone, effect, lambda event: deliver(world, entry, event)
    ),
    _snapshots.ReadSnapshots: lambda world, entry, effect: _snapshots.read(
        world, entry.zone, effect, lambda event: deliver(world, entry, event)
    ),
    _snapshots.AppendSnapshotChunks: lambda world, entry, effect: _snapshots.append(
        world, entry.zone, effect, lambda event: deliver(world, entry, event)
    ),
    effects.ReadInstances: _read_instances,
    effects.ProbeEndpoint: lambda world, entry, effect: _endpoints.probe(
        world, entry.zone, effect, lambda event: deliver(world, entry, event)
    ),
    effects.SendPeer: _send_peer,
    effects.WriteLog: _write_log,
    effects.ObserveLatency: _ignore,
    effects.Exit: _leave,
}
