"""
Claims of this instance: the exclusive right to run a non-idempotent request.
"""

from collections.abc import Iterator

from . import _joins_voters, _joins_votes, _refusals
from ._effects import Emit, SendPeer
from ._events import PeerReceived, Ticked
from ._handlers import HandlerTable
from ._joins_events import ClaimFailed, RequestClaimed
from ._joins_messages import ClaimReleased, ClaimVoted, ClaimWanted
from ._joins_state import PendingClaim
from ._refusals import Refusal
from ._requests import Request
from ._state import State

# Time after the caller's deadline for which an outcome is kept.
OUTCOME_RETENTION_S = 60.0
RESEND_S = 0.2
# Delay after which callers may retry: when another instance holds the claim, and when too few
# voters answered.
HELD_RETRY_S = 1.0
UNRESOLVED_RETRY_S = 2.0


def request_claim(state: State, req: Request) -> Iterator[object]:
    """
    Ask the voters of a request id for the exclusive right to run the request.

    :param state: the pending claims are changed in place.
    :param req: the request.
    :returns: effects; `RequestClaimed` or `ClaimFailed` is emitted by one of them or later.
    """
    joins = state.joins
    number = joins.next_number
    joins.next_number += 1
    give_up_s = state.now_s + _joins_voters.CLAIM_TIMEOUT_S
    pending = PendingClaim(req.key, number, req, set(), set(), give_up_s, state.now_s + RESEND_S)
    joins.pending[number] = pending
    joins.known[req.key].claim = number
    yield from _request_votes(state, pending)


def release_claim(state: State, key: int, number: int) -> Iterator[object]:
    """
    Release a claim under which nothing ran.

    :param state: the claims are changed in place.
    :param key: hash of the request's id.
    :param number: this instance's number for the claim.
    :returns: messages to the voters.
    """
    state.joins.pending.pop(number, None)
    released = ClaimReleased(key, number)
    _joins_votes.release(state.joins, state.identity.sender, released)
    for instance in _other_voters(state, key):
        yield SendPeer(state.joins.addresses[instance], released)


def on_peer(state: State, event: PeerReceived) -> Iterator[object]:
    """
    Count a vote on a pending claim.
    """
    if not isinstance(event.message, ClaimVoted):
        return
    pending = state.joins.pending.get(event.message.number)
    if pending is None:
        return
    yield from _count_vote(state, pending, event.sender.instance, event.message)


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Resend pending claims to the voters that haven't granted them, and fail those that timed out.
    """
    for pending in list(state.joins.pending.values()):
        if pending.give_up_s <= state.now_s:
            refusal = Refusal(_refusals.UNRESOLVED, UNRESOLVED_RETRY_S)
            yield from _fail_claim(state, pending, refusal)
        elif pending.resend_s <= state.now_s:
            pending.resend_s = state.now_s + RESEND_S
            yield from _request_votes(state, pending)


def _request_votes(state: State, pending: PendingClaim) -> Iterator[object]:
    req = pending.req
    keep_s = max(0.0, req.deadline_s - state.now_s) + OUTCOME_RETENTION_S
    wanted = ClaimWanted(pending.key, pending.number, req.body_hash, keep_s)
    own = state.identity.sender
    if state.joins.complete and own.instance in _joins_voters.all_voters(state.joins, pending.key):
        own_vote = _joins_votes.vote(state, own, wanted)
        yield from _count_vote(state, pending, own.instance, own_vote)
    if pending.number not in state.joins.pending:
        return
    for instance in _other_voters(state, pending.key):
        if instance not in pending.granted:
            yield SendPeer(state.joins.addresses[instance], wanted)


def _count_vote(
    state: State, pending: PendingClaim, voter: str, voted: ClaimVoted
) -> Iterator[object]:
    # If this process was suspended, voters may since have restarted and lost the votes counted
    # here, so a late majority does not count.
    if pending.give_up_s <= state.now_s:
        return
    (pending.granted if voted.granted else pending.denied).add(voter)
    not_denied = _joins_voters.all_voters(state.joins, pending.key) - pending.denied
    if not _joins_voters.has_majority(state.joins, pending.key, not_denied):
        yield from _fail_claim(state, pending, _denial_refusal(voted))
    elif _joins_voters.has_majority(state.joins, pending.key, pending.granted):
        del state.joins.pending[pending.number]
        yield Emit(RequestClaimed(pending.req))


def _fail_claim(state: State, pending: PendingClaim, refusal: Refusal) -> Iterator[object]:
    yield from release_claim(state, pending.key, pending.number)
    yield Emit(ClaimFailed(pending.req, refusal))


def _denial_refusal(voted: ClaimVoted) -> Refusal:
    if voted.conflict:
        return Refusal(_refusals.REQUEST_CONFLICT)
    return Refusal(_refusals.HELD_ELSEWHERE, HELD_RETRY_S, f"held by {voted.holder}")


def _other_voters(state: State, key: int) -> list[str]:
    voters = _joins_voters.all_voters(state.joins, key) - {state.identity.sender.instance}
    return sorted(instance for instance in voters if instance in state.joins.addresses)


HANDLERS: HandlerTable = {PeerReceived: on_peer, Ticked: on_tick}
