"""
Events about request ids that the reducer emits to itself.
"""

from typing import NamedTuple

from ._refusals import Refusal
from ._requests import Request


class RequestClaimed(NamedTuple):
    """
    This instance has the exclusive right to run a request.

    :param req: the request.
    """

    req: Request


class ClaimFailed(NamedTuple):
    """
    The voters denied this instance the right to run a request, or didn't grant it in time.

    :param req: the request.
    :param refusal: the refusal to send to its callers.
    """

    req: Request
    refusal: Refusal
