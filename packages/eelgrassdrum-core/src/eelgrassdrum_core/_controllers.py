"""
Controllers: which entry instance plans and carries out the moves of a shard.

A shard is one document's pools. Rendezvous hashing over the entry instances that write to the log
picks its controller, which claims it with a record; the claim's revision fences earlier ones.
Renewed leases of allowances show who writes to the log, so that controllers need no heartbeats.
"""

from collections.abc import Iterator
from typing import Any

from ._allowance_fold import rank
from ._allowance_messages import HOLDER_RENEWED
from ._effects import Emit
from ._events import LogUnavailable, RecordFolded, RecordProposed, Ticked
from ._fleet_messages import CONTROLLER_CLAIMED, controller_subject
from ._fleet_state import NEVER_S, AskedRecord
from ._handlers import HandlerTable
from ._pools import Claim, shards
from ._state import State

CHECK_EVERY_S = 0.5
# Longer than two renewals of a lease.
SILENT_AFTER_S = 25.0
# After the log was out, every instance gets time for a renewal before shards are taken over.
LOG_BACK_S = 15.0
# A first choice takes an idle shard over from a live controller after this time.
PREFERRED_AFTER_S = 60.0
ASK_AGAIN_S = 5.0


def owned_shards(state: State) -> list[str]:
    """
    Give the shards that this instance controls, as far as it has folded the log.

    :param state: the state.
    :returns: names of documents.
    """
    sender = state.identity.sender
    return [
        shard
        for shard, claim in sorted(state.fold.pools.claims.items())
        if (claim.instance, claim.incarnation) == (sender.instance, sender.incarnation)
    ]


def claim_of(state: State, shard: str) -> int:
    """
    Give the offset of the claim on a shard.

    :param state: the state.
    :param shard: name of the document.
    :returns: the offset, 0 when nobody has claimed it.
    """
    claim = state.fold.pools.claims.get(shard)
    return 0 if claim is None else claim.offset


def ask_record(state: State, kind: str, subject: str, body: dict[str, Any]) -> Iterator[object]:
    """
    Ask for a record once for each revision of its subject, and again when nothing came of it.

    Nothing is asked while the log is out, so that no decision waits there until it is outdated.

    :param state: the state.
    :param kind: kind of the record.
    :param subject: what it changes.
    :param body: its fields.
    :returns: the effects.
    """
    if not state.log.available:
        return
    base = state.fold.position.revisions.get(subject, 0)
    asked = state.fleet.asked.get(subject)
    if asked is not None and asked.base == base and state.now_s - asked.at_s < ASK_AGAIN_S:
        return
    state.fleet.asked[subject] = AskedRecord(base, state.now_s)
    yield Emit(RecordProposed(kind, subject, base, body))


def on_folded(state: State, event: RecordFolded) -> Iterator[object]:
    """
    Note who writes to the log.
    """
    if event.accepted and event.record.kind == HOLDER_RENEWED:
        state.fleet.renewed_s[event.record.id.writer] = state.now_s
    state.fleet.asked.pop(event.record.subject, None)
    yield from ()


def on_log_lost(state: State, event: LogUnavailable) -> Iterator[object]:
    """
    Note that nobody's renewals can be seen now.
    """
    state.fleet.log_lost_s = state.now_s
    yield from ()


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Claim the shards that this instance should control.
    """
    fleet = state.fleet
    if state.now_s - fleet.checked_s < CHECK_EVERY_S:
        return
    fleet.checked_s = state.now_s
    if state.stopping or not state.log.available or not state.log.caught_up:
        return
    candidates = _candidates(state)
    for shard in shards(state.fold):
        if _should_claim(state, shard, candidates):
            subject = controller_subject(shard)
            yield from ask_record(state, CONTROLLER_CLAIMED, subject, {"shard": shard})


def _candidates(state: State) -> list[str]:
    since_s = state.now_s - SILENT_AFTER_S
    renewed_s = state.fleet.renewed_s
    holders = state.fold.allowances.holders
    return [name for name in holders if renewed_s.get(name, NEVER_S) >= since_s]


def _should_claim(state: State, shard: str, candidates: list[str]) -> bool:
    own = state.identity.sender
    lease = state.fold.allowances.holders.get(own.instance)
    if lease is None or lease.incarnation != own.incarnation:
        return False
    order = rank(f"controller/{shard}", candidates)
    if not order or order[0] != own.instance:
        state.fleet.preferred_since_s.pop(shard, None)
        return False
    since_s = state.fleet.preferred_since_s.setdefault(shard, state.now_s)
    claim = state.fold.pools.claims.get(shard)
    if claim is None:
        return True
    if (claim.instance, claim.incarnation) == (own.instance, own.incarnation):
        return False
    if _is_gone(state, claim, candidates):
        return state.now_s - state.fleet.log_lost_s >= LOG_BACK_S
    return state.now_s - since_s >= PREFERRED_AFTER_S and not _is_moving(state, shard)


def _is_gone(state: State, claim: Claim, candidates: list[str]) -> bool:
    lease = state.fold.allowances.holders.get(claim.instance)
    if lease is None or lease.incarnation != claim.incarnation:
        return True
    return claim.instance not in candidates


def _is_moving(state: State, shard: str) -> bool:
    pools = state.fold.pools
    return any(pools.instances[name].pool.startswith(f"{shard}/") for name in pools.moving)


HANDLERS: HandlerTable = {
    RecordFolded: on_folded,
    LogUnavailable: on_log_lost,
    Ticked: on_tick,
}
