"""
Messages between entry instances about claims of request ids.
"""

from typing import NamedTuple

from ._wire import register_message


@register_message
class ClaimWanted(NamedTuple):
    """
    The sender asks for the exclusive right to run a request.

    :param key: hash of the request's id.
    :param number: the sender's number for the claim.
    :param body_hash: hash of the request's body.
    :param keep_s: seconds for which the voter has to keep the claim.
    """

    key: int
    number: int
    body_hash: int
    keep_s: float


@register_message
class ClaimVoted(NamedTuple):
    """
    The sender's vote on a claim.

    :param number: the receiver's number for the claim.
    :param granted: whether the sender grants the receiver the exclusive right.
    :param holder: instance that already holds the claim, or empty.
    :param conflict: whether the request of that instance has another body.
    """

    number: int
    granted: bool
    holder: str = ""
    conflict: bool = False


@register_message
class ClaimReleased(NamedTuple):
    """
    The sender releases a claim under which nothing ran.

    :param key: hash of the request's id.
    :param number: the sender's number for the claim.
    """

    key: int
    number: int


@register_message
class ClaimsWanted(NamedTuple):
    """
    The sender has just started and asks for the claims that it may have granted before.

    :param from_key: lowest key requested.
    """

    from_key: int


class ClaimSnapshot(NamedTuple):
    """
    A claim as reported to another instance.

    :param key: hash of the request's id.
    :param instance: id of the holder.
    :param incarnation: incarnation of the holder.
    :param number: the holder's number for the claim.
    :param body_hash: hash of the request's body.
    :param remaining_s: seconds until the claim expires.
    """

    key: int
    instance: str
    incarnation: int
    number: int
    body_hash: int
    remaining_s: float


@register_message
class ClaimsTold(NamedTuple):
    """
    One page of the sender's claims, in the order of their keys.

    :param from_key: lowest key that was requested.
    :param next_key: lowest key of the next page, or ``None`` after the last one.
    :param complete: whether the sender knows each claim that it may have granted.
    :param cold_start: whether the sender counts as complete only because all voters were starting
        at the same time, among them the receiver's current incarnation.
    :param claims: the claims.
    """

    from_key: int
    next_key: int | None
    complete: bool
    cold_start: bool
    claims: tuple[ClaimSnapshot, ...]
