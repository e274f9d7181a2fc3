"""
Base URLs of the platform's services.
"""

from typing import NamedTuple
from urllib.parse import urlsplit


class BaseUrl(NamedTuple):
    """
    Where a service of the platform is.

    :param address: ``IP:PORT``.
    :param path: path before the service's own, without a slash at the end.
    """

    address: str
    path: str


def parse_base_url(url: str) -> BaseUrl:
    """
    Split a validated URL.

    :param url: such as ``http://127.0.0.1:8000``.
    :returns: its parts.
    """
    parts = urlsplit(url)
    return BaseUrl(parts.netloc, parts.path.rstrip("/"))
