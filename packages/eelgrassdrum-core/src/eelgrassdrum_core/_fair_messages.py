"""
Peer messages by which instances report each team's use of services.
"""

from typing import NamedTuple

from ._wire import register_message


class ServiceRow(NamedTuple):
    """
    A team's use of a service.

    :param service: ``WORKSPACE/SERVICE``.
    :param team: ``WORKSPACE/TEAM``.
    :param served_s: total resource-seconds served since the origin of the report started.
    :param waiting: number of requests waiting for slots.
    """

    service: str
    team: str
    served_s: float
    waiting: int


@register_message
class ServedReported(NamedTuple):
    """
    Report of one instance to the peers in its zone.

    :param sequence: sequence number of the report.
    :param rows: one per service and team.
    """

    sequence: int
    rows: tuple[ServiceRow, ...]


@register_message
class ZoneServedReported(NamedTuple):
    """
    Report of a whole zone to other zones.

    :param zone: the reporting zone.
    :param relay: key of the instance that computes the sums.
    :param sequence: sequence number of the report.
    :param rows: one per service and team.
    """

    zone: str
    relay: str
    sequence: int
    rows: tuple[ServiceRow, ...]
