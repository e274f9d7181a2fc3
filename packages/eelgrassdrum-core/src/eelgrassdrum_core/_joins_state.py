"""
State of what is known about request ids: here, and for other instances.
"""

from collections import OrderedDict, deque
from typing import Literal, NamedTuple

import msgspec

from ._refusals import Refusal
from ._requests import Request

Stage = Literal["open", "answered", "failed"]
OPEN: Stage = "open"
ANSWERED: Stage = "answered"
FAILED: Stage = "failed"


class Holder(NamedTuple):
    """
    The entry instance that alone may run a request.

    :param instance: its id.
    :param incarnation: its incarnation.
    """

    instance: str
    incarnation: int


class Claim(msgspec.Struct):
    """
    A voter's promise that only one holder runs a request.

    :param holder: who may run it.
    :param number: the holder's number of the claim.
    :param body_hash: hash of the request's body.
    :param expires_s: time at which the promise ends.
    """

    holder: Holder
    number: int
    body_hash: int
    expires_s: float


class PendingClaim(msgspec.Struct):
    """
    A claim of this instance that is not yet granted.

    :param key: hash of the request's id.
    :param number: this instance's number of the claim.
    :param req: the request.
    :param granted: voters that granted it.
    :param denied: voters that did not.
    :param give_up_s: time at which the request is refused.
    :param resend_s: time at which the voters are asked again.
    """

    key: int
    number: int
    req: Request
    granted: set[str]
    denied: set[str]
    give_up_s: float
    resend_s: float


class KnownRequest(msgspec.Struct):
    """
    One request id that this instance has taken.

    :param body_hash: hash of its body.
    :param idempotent: whether running it twice does no harm.
    :param req: the request while it is open.
    :param tokens: exchanges that wait for its outcome, the one whose body is sent first.
    :param stage: whether it is open, answered, or failed with an unknown outcome.
    :param attempt: attempt whose answer is kept, or empty.
    :param size_bytes: length of the kept answer.
    :param refusal: what the callers were told when it failed.
    :param expires_s: time at which it is forgotten; only ended requests are.
    :param claim: number of this instance's claim, or 0 when there is none.
    """

    body_hash: int
    idempotent: bool
    req: Request | None
    tokens: list[int]
    stage: Stage = OPEN
    attempt: str = ""
    size_bytes: int = 0
    refusal: Refusal | None = None
    expires_s: float = 0.0
    claim: int = 0


class EndedRequest(NamedTuple):
    """
    When to forget a request.

    :param key: hash of its id.
    :param expires_s: time.
    """

    key: int
    expires_s: float


class Roster(NamedTuple):
    """
    Entry instances from which voters are chosen.

    :param members: their ids with their zones, sorted.
    :param until_s: time until which claims made under it may be in force.
    """

    members: tuple[tuple[str, str], ...]
    until_s: float


class JoinState(msgspec.Struct):
    """
    Request ids here, claims in which this instance has a vote, and the voters.

    :param known: request ids that this instance has taken.
    :param by_token: key of the request that each open exchange waits for.
    :param ended: those whose outcome is known, in the order of their end.
    :param kept_answers: attempts whose answers are kept, oldest first.
    :param kept_bytes: length of all kept answers.
    :param claims: claims in which this instance voted.
    :param holders: holders of claims, by id and incarnation.
    :param pending: own claims that are not yet granted, by number.
    :param next_number: number of the next own claim.
    :param rosters: rosters under which claims may be in force; the last one is current.
    :param addresses: peer address of each entry instance.
    :param listed_s: time at which each entry instance was last listed.
    :param first_roster: members known at the start, which recovery asks.
    :param recovery_starts_s: time from which others are asked for their claims.
    :param recovery_ends_s: time after which no claim from before the start is in force.
    :param recovery_asked_s: time at which others were last asked for claims.
    :param next_keys: first key that each instance is to be asked for next.
    :param recovered: instances with whole memories that told all their claims.
    :param starting: incarnations of instances that were recovering themselves, by id.
    :param is_cold_start: whether this instance became whole because all others were starting too.
    :param complete: whether this instance knows each claim that it may have voted for.
    :param swept_s: time at which expired entries were last removed.
    """

    known: dict[int, KnownRequest] = msgspec.field(default_factory=dict)
    by_token: dict[int, int] = msgspec.field(default_factory=dict)
    ended: deque[EndedRequest] = msgspec.field(default_factory=deque)
    kept_answers: OrderedDict[str, int] = msgspec.field(default_factory=OrderedDict)
    kept_bytes: int = 0
    claims: dict[int, Claim] = msgspec.field(default_factory=dict)
    holders: dict[str, dict[int, Holder]] = msgspec.field(default_factory=dict)
    pending: dict[int, PendingClaim] = msgspec.field(default_factory=dict)
    next_number: int = 1
    rosters: list[Roster] = msgspec.field(default_factory=list)
    addresses: dict[str, str] = msgspec.field(default_factory=dict)
    listed_s: dict[str, float] = msgspec.field(default_factory=dict)
    first_roster: tuple[tuple[str, str], ...] = ()
    recovery_starts_s: float = 0.0
    recovery_ends_s: float = 0.0
    recovery_asked_s: float = 0.0
    next_keys: dict[str, int] = msgspec.field(default_factory=dict)
    recovered: set[str] = msgspec.field(default_factory=set)
    starting: dict[str, int] = msgspec.field(default_factory=dict)
    is_cold_start: bool = False
    complete: bool = False
    swept_s: float = 0.0
