"""
Peer messages by which instances tell each other what they served.
"""

from typing import NamedTuple

from ._wire import register_message


class ServiceRow(NamedTuple):
    """
    One team's use of one service.

    :param service: ``WORKSPACE/SERVICE``.
    :param team: ``WORKSPACE/TEAM``.
    :param served_s: resource-seconds served since the origin started.
    :param waiting: requests that wait for slots.
    """

    service: str
    team: str
    served_s: float
    waiting: int


@register_message
class ServedReported(NamedTuple):
    """
    What one instance served, for the peers of its zone.

    :param sequence: number of the message.
    :param rows: one per service and team.
    """

    sequence: int
    rows: tuple[ServiceRow, ...]


@register_message
class ZoneServedReported(NamedTuple):
    """
    What a whole zone served, for other zones.

    :param zone: the zone.
    :param relay: key of the instance that counts.
    :param sequence: number of the message.
    :param rows: one per service and team.
    """

    zone: str
    relay: str
    sequence: int
    rows: tuple[ServiceRow, ...]
