"""
Messages between entry instances about request ids.
"""

from typing import NamedTuple

from ._wire import register_message


@register_message
class ClaimWanted(NamedTuple):
    """
    The sender asks for the sole right to run a request.

    :param key: hash of the request's id.
    :param number: the sender's number of the claim.
    :param body_hash: hash of the request's body.
    :param keep_s: seconds for which the claim is to be kept.
    """

    key: int
    number: int
    body_hash: int
    keep_s: float


@register_message
class ClaimVoted(NamedTuple):
    """
    The sender's vote on a claim.

    :param number: the receiver's number of the claim.
    :param granted: whether the sender promises the request to the receiver alone.
    :param holder: instance that the request was promised to before, or empty.
    :param conflict: whether the promised request has another body.
    """

    number: int
    granted: bool
    holder: str = ""
    conflict: bool = False


@register_message
class ClaimReleased(NamedTuple):
    """
    The sender gives up a claim under which nothing ran.

    :param key: hash of the request's id.
    :param number: the sender's number of the claim.
    """

    key: int
    number: int


@register_message
class ClaimsWanted(NamedTuple):
    """
    The sender has just started and asks for the claims that it may have voted for.

    :param from_key: lowest key wanted.
    """

    from_key: int


class ClaimSnapshot(NamedTuple):
    """
    A claim as told to another instance.

    :param key: hash of the request's id.
    :param instance: instance of the holder.
    :param incarnation: incarnation of the holder.
    :param number: the holder's number of the claim.
    :param body_hash: hash of the request's body.
    :param remaining_s: seconds for which the claim is still to be kept.
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
    Some of the sender's claims, in the order of their keys.

    :param from_key: lowest key that was wanted.
    :param next_key: lowest key of the next part, or ``None`` when there is none.
    :param complete: whether the sender's own memory is whole.
    :param cold_start: whether it became whole because all voters, the receiver's incarnation among
        them, were starting together.
    :param claims: the claims.
    """

    from_key: int
    next_key: int | None
    complete: bool
    cold_start: bool
    claims: tuple[ClaimSnapshot, ...]
