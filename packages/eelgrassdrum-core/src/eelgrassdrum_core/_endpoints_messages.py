"""
Peer messages between entry instances about endpoints.
"""

from typing import NamedTuple

from ._wire import register_message


@register_message
class EndpointLeaving(NamedTuple):
    """
    Reports that an endpoint is leaving.

    :param endpoint: id of the endpoint.
    :param incarnation: the incarnation that is leaving.
    """

    endpoint: str
    incarnation: int
