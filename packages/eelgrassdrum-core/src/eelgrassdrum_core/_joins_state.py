"""
State of the request ids known here and of the claims granted to entry instances.
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
    The entry instance with the exclusive right to run a request.

    :param instance: its id.
    :param incarnation: its incarnation.
    """

    instance: str
    incarnation: int


class Claim(msgspec.Struct):
    """
    A voter's grant of the exclusive right to run a request.

    :param holder: the instance that may run it.
    :param number: the holder's number for the claim.
    :param body_hash: hash of the request's body.
    :param expires_s: time at which the grant expires.
    """

    holder: Holder
    number: int
    body_hash: int
    expires_s: float


class PendingClaim(msgspec.Struct):
    """
    A claim of this instance that is not yet granted.

    :param key: hash of the request's id.
    :param number: this instance's number for the claim.
    :param req: the request.
    :param granted: voters that have granted it.
    :param denied: voters that have denied it.
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
    One request id that this instance has accepted.

    :param body_hash: hash of its body.
    :param idempotent: whether running it twice does no harm.
    :param req: the request while it is open.
    :param tokens: exchanges that wait for its outcome; the body of the first one is sent.
    :param stage: whether it is open, answered, or failed with an unknown outcome.
    :param attempt: id of the attempt whose answer is kept, or empty.
    :param size_bytes: size of the kept answer.
    :param refusal: the refusal that the callers got when it failed.
    :param expires_s: time at which it is removed, if it has ended.
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
    When to remove an ended request.

    :param key: hash of its id.
    :param expires_s: time at which it is removed.
    """

    key: int
    expires_s: float


class Roster(NamedTuple):
    """
    Entry instances from which voters are chosen.

    :param members: ids and zones of the instances, sorted.
    :param until_s: time until which claims granted under it may be in force.
    """

    members: tuple[tuple[str, str], ...]
    until_s: float


class JoinState(msgspec.Struct):
    """
    Request ids known here, claims on which this instance has voted, and the voters.

    :param known: request ids that this instance has accepted, by hash.
    :param by_token: key of the request that each open exchange waits for.
    :param ended: requests whose outcome is known, in the order in which they ended.
    :param kept_answers: key of the request by attempt whose answer is kept, oldest first.
    :param kept_bytes: total size of the kept answers.
    :param claims: claims that this instance has granted, by key.
    :param holders: interned holders of claims, by id and incarnation.
    :param pending: claims of this instance that are not yet granted, by number.
    :param next_number: number of this instance's next claim.
    :param rosters: rosters under which claims may be in force; the last one is the current one.
    :param addresses: peer address of each entry instance.
    :param listed_s: time at which each entry instance last was in the instance list.
    :param first_roster: members of the first roster, of which recovery asks the co-voters.
    :param recovery_starts_s: time from which peers are asked for their claims.
    :param recovery_ends_s: time after which no claim from before the start is still in force.
    :param recovery_asked_s: time at which peers were last asked for their claims.
    :param next_keys: first key to request next from each instance.
    :param recovered: instances that know all their claims and have reported all of them.
    :param starting: incarnations of instances that were themselves recovering, by id.
    :param is_cold_start: whether recovery ended because all other voters were starting too.
    :param complete: whether this instance knows each claim that it may have granted.
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
