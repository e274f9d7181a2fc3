"""
Votes on claims of request ids, and recovery of granted claims after a start.

Granted claims are kept in memory only. An instance that has just started may have granted claims
before, so it does not vote until peers have reported all claims that it may have granted. It asks
them only after the claims that were pending at its start are decided.
"""

from bisect import bisect_left
from collections.abc import Iterator

from . import _joins_voters
from ._effects import SendPeer, WriteLog
from ._events import InstancesListed, PeerReceived, Ticked
from ._handlers import HandlerTable
from ._ids import Sender
from ._joins_messages import (
    ClaimReleased,
    ClaimSnapshot,
    ClaimsTold,
    ClaimsWanted,
    ClaimVoted,
    ClaimWanted,
)
from ._joins_state import Claim, Holder, JoinState
from ._state import State

CLAIMS_PER_MESSAGE = 500
RECOVERY_INTERVAL_S = 0.5
SWEEP_INTERVAL_S = 5.0


def on_listed(state: State, event: InstancesListed) -> Iterator[object]:
    """
    Update the voters from the instance list.
    """
    _joins_voters.update_rosters(state, event.instances)
    yield from _check_recovered(state)


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Continue the recovery, and remove what has expired.
    """
    joins = state.joins
    yield from _check_recovered(state)
    if not joins.complete and joins.recovery_starts_s <= state.now_s and joins.rosters:
        yield from _request_claims(state)
    if state.now_s - joins.swept_s >= SWEEP_INTERVAL_S:
        joins.swept_s = state.now_s
        _joins_voters.drop_expired_rosters(state)
        for key in [k for k, claim in joins.claims.items() if claim.expires_s <= state.now_s]:
            del joins.claims[key]
        joins.holders = {}


def on_peer(state: State, event: PeerReceived) -> Iterator[object]:
    """
    Vote on a claim, release one, or exchange claims during recovery.
    """
    message = event.message
    address = state.joins.addresses.get(event.sender.instance, "")
    if isinstance(message, ClaimWanted) and state.joins.complete and address:
        yield SendPeer(address, vote(state, event.sender, message))
    elif isinstance(message, ClaimReleased):
        release(state.joins, event.sender, message)
    elif isinstance(message, ClaimsWanted) and address:
        yield SendPeer(address, _build_claims_reply(state, event.sender, message.from_key))
    elif isinstance(message, ClaimsTold):
        yield from _merge_claims(state, event.sender, message)


def vote(state: State, sender: Sender, wanted: ClaimWanted) -> ClaimVoted:
    """
    Grant an instance's claim, unless another instance holds it.

    :param state: the claims are changed in place.
    :param sender: the instance that claims the request.
    :param wanted: its claim.
    :returns: the vote.
    """
    claims = state.joins.claims
    holder = _intern_holder(state.joins, Holder(sender.instance, sender.incarnation))
    current = claims.get(wanted.key)
    if current is not None and current.expires_s > state.now_s and current.holder != holder:
        conflict = current.body_hash != wanted.body_hash
        return ClaimVoted(wanted.number, False, current.holder.instance, conflict)
    expires_s = state.now_s + min(wanted.keep_s, _joins_voters.MAX_CLAIM_S)
    claims[wanted.key] = Claim(holder, wanted.number, wanted.body_hash, expires_s)
    return ClaimVoted(wanted.number, True)


def release(joins: JoinState, sender: Sender, released: ClaimReleased) -> None:
    """
    Remove a claim whose holder has not run the request.

    :param joins: the claims are changed in place.
    :param sender: the holder.
    :param released: identifies the claim.
    """
    claim = joins.claims.get(released.key)
    if claim is None or claim.number != released.number:
        return
    if claim.holder == Holder(sender.instance, sender.incarnation):
        del joins.claims[released.key]


def _intern_holder(joins: JoinState, holder: Holder) -> Holder:
    # Saves memory: all claims of a holder share one object.
    return joins.holders.setdefault(holder.instance, {}).setdefault(holder.incarnation, holder)


def _check_recovered(state: State) -> Iterator[object]:
    joins = state.joins
    if joins.complete or not joins.rosters:
        return
    others = _joins_voters.co_voters(joins, state.identity.sender.instance)
    # When all other voters are starting too, no instance is left that could know older claims.
    is_cold_start = others <= joins.starting.keys() and not joins.recovered & others
    if is_cold_start or others <= joins.recovered or joins.recovery_ends_s <= state.now_s:
        joins.complete = True
        joins.is_cold_start = is_cold_start
        yield WriteLog("claims.recovered", {"claims": len(joins.claims)})


def _request_claims(state: State) -> Iterator[object]:
    joins = state.joins
    if state.now_s - joins.recovery_asked_s < RECOVERY_INTERVAL_S:
        return
    joins.recovery_asked_s = state.now_s
    others = _joins_voters.co_voters(joins, state.identity.sender.instance)
    for instance in sorted(others - joins.recovered):
        if instance in joins.addresses:
            from_key = joins.next_keys.get(instance, 0)
            yield SendPeer(joins.addresses[instance], ClaimsWanted(from_key))


def _build_claims_reply(state: State, asker: Sender, from_key: int) -> ClaimsTold:
    claims = state.joins.claims
    keys = sorted(claims)
    start = bisect_left(keys, from_key)
    end = start + CLAIMS_PER_MESSAGE
    page = tuple(
        ClaimSnapshot(
            key, *claim.holder, claim.number, claim.body_hash, claim.expires_s - state.now_s
        )
        for key, claim in ((key, claims[key]) for key in keys[start:end])
    )
    next_key = keys[end] if end < len(keys) else None
    joins = state.joins
    cold_start = joins.is_cold_start and joins.starting.get(asker.instance) == asker.incarnation
    return ClaimsTold(from_key, next_key, joins.complete, cold_start, page)


def _merge_claims(state: State, sender: Sender, reply: ClaimsTold) -> Iterator[object]:
    joins = state.joins
    address = joins.addresses.get(sender.instance)
    # An instance that is not in the list yet is asked again once it is listed.
    if (
        joins.complete
        or address is None
        or reply.from_key != joins.next_keys.get(sender.instance, 0)
    ):
        return
    for claim in reply.claims:
        if claim.remaining_s > 0 and claim.key not in joins.claims:
            holder = _intern_holder(joins, Holder(claim.instance, claim.incarnation))
            expires_s = state.now_s + claim.remaining_s
            joins.claims[claim.key] = Claim(holder, claim.number, claim.body_hash, expires_s)
    if reply.next_key is not None:
        joins.next_keys[sender.instance] = reply.next_key
        yield SendPeer(address, ClaimsWanted(reply.next_key))
        return
    joins.next_keys[sender.instance] = 0
    if reply.complete and not reply.cold_start:
        joins.recovered.add(sender.instance)
    else:
        joins.starting[sender.instance] = sender.incarnation
    yield from _check_recovered(state)


HANDLERS: HandlerTable = {InstancesListed: on_listed, Ticked: on_tick, PeerReceived: on_peer}
