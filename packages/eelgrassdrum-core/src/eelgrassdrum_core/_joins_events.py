"""
Events about request ids that the reducer tells itself.
"""

from typing import NamedTuple

from ._refusals import Refusal
from ._requests import Request


class RequestClaimed(NamedTuple):
    """
    This instance alone may run a request.

    :param req: the request.
    """

    req: Request


class ClaimLost(NamedTuple):
    """
    This instance may not run a request.

    :param req: the request.
    :param refusal: what its callers are told.
    """

    req: Request
    refusal: Refusal
