"""
Choice of the controller of a shard, the entry instance that plans and executes its moves.

A shard consists of the pools of one document. Rendezvous hashing over the entry instances that can
write to the log selects its controller, which claims the shard with a record. The offset of the
claim is the fencing token against earlier claims. Renewals of allowance leases show which instances
can write to the log, so controllers need no heartbeats of their own.
"""

from collections.abc import Iterator
from typing import Any

from ._allowance_fold import rank
from ._allowance_messages import HOLDER_RENEWED
from ._effects import Emit
from ._events import LogUnavailable, RecordFolded, RecordProposed, Ticked
from ._fleet_messages import CONTROLLER_CLAIMED, controller_subject
from ._fleet_state import NEVER_S, ProposedRecord
from ._handlers import HandlerTable
from ._pools import Claim, shards
from ._state import State

CHECK_EVERY_S = 0.5
# Longer than two renewal intervals of a lease.
RENEWAL_TIMEOUT_S = 25.0
# After an outage of the log, every instance has this time for a renewal before takeovers begin.
LOG_RECOVERY_S = 15.0
# The preferred instance takes over an idle shard from a live controller after this time.
PREFERRED_TAKEOVER_S = 60.0
PROPOSE_AGAIN_S = 5.0


def owned_shards(state: State) -> list[str]:
    """
    Return the shards that this instance controls, according to the log as far as it is folded.

    :param state: state of this entry instance.
    :returns: sorted names of the documents.
    """
    sender = state.identity.sender
    return [
        shard
        for shard, claim in sorted(state.fold.pools.claims.items())
        if (claim.instance, claim.incarnation) == (sender.instance, sender.incarnation)
    ]


def claim_of(state: State, shard: str) -> int:
    """
    Return the offset of the current claim on a shard.

    :param state: state of this entry instance.
    :param shard: name of the document.
    :returns: the offset, 0 for an unclaimed shard.
    """
    claim = state.fold.pools.claims.get(shard)
    return 0 if claim is None else claim.offset


def propose_record(state: State, kind: str, subject: str, body: dict[str, Any]) -> Iterator[object]:
    """
    Propose a record once per revision of its subject, and retry after `PROPOSE_AGAIN_S` without a
    result.

    Nothing is proposed while the log is unavailable, and what could not be appended until a retry
    is due is not appended any more, so that no stale decision is appended later.

    :param state: state of this entry instance.
    :param kind: kind of the record.
    :param subject: subject of the record.
    :param body: fields of the record.
    :returns: the effects.
    """
    if not state.log.available:
        return
    base = state.fold.position.revisions.get(subject, 0)
    proposed = state.fleet.proposed.get(subject)
    if (
        proposed is not None
        and proposed.base == base
        and state.now_s - proposed.at_s < PROPOSE_AGAIN_S
    ):
        return
    state.fleet.proposed[subject] = ProposedRecord(base, state.now_s)
    yield Emit(RecordProposed(kind, subject, base, body, PROPOSE_AGAIN_S))


def on_folded(state: State, event: RecordFolded) -> Iterator[object]:
    """
    Track which instances renew their leases, and drop the pending proposal for the subject.
    """
    if event.accepted and event.record.kind == HOLDER_RENEWED:
        state.fleet.renewed_s[event.record.id.writer] = state.now_s
    state.fleet.proposed.pop(event.record.subject, None)
    yield from ()


def on_log_unavailable(state: State, event: LogUnavailable) -> Iterator[object]:
    """
    Record the time, because renewals can't be observed while the log is unavailable.
    """
    state.fleet.log_unavailable_s = state.now_s
    yield from ()


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Claim the shards that this instance should control.
    """
    fleet = state.fleet
    if state.now_s - fleet.claims_checked_s < CHECK_EVERY_S:
        return
    fleet.claims_checked_s = state.now_s
    if state.stopping or not state.log.available or not state.log.caught_up:
        return
    candidates = _candidates(state)
    for shard in shards(state.fold):
        if _should_claim(state, shard, candidates):
            subject = controller_subject(shard)
            yield from propose_record(state, CONTROLLER_CLAIMED, subject, {"shard": shard})


def _candidates(state: State) -> list[str]:
    since_s = state.now_s - RENEWAL_TIMEOUT_S
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
    if _is_claim_expired(state, claim, candidates):
        return state.now_s - state.fleet.log_unavailable_s >= LOG_RECOVERY_S
    return state.now_s - since_s >= PREFERRED_TAKEOVER_S and not _is_moving(state, shard)


def _is_claim_expired(state: State, claim: Claim, candidates: list[str]) -> bool:
    lease = state.fold.allowances.holders.get(claim.instance)
    if lease is None or lease.incarnation != claim.incarnation:
        return True
    return claim.instance not in candidates


def _is_moving(state: State, shard: str) -> bool:
    pools = state.fold.pools
    return any(pools.instances[name].pool.startswith(f"{shard}/") for name in pools.moving)


HANDLERS: HandlerTable = {
    RecordFolded: on_folded,
    LogUnavailable: on_log_unavailable,
    Ticked: on_tick,
}
