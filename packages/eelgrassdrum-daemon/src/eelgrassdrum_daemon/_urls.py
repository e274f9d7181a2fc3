"""
Base URLs of the platform's services.
"""

from typing import NamedTuple
from urllib.parse import urlsplit


class BaseUrl(NamedTuple):
    """
    Location of a service of the platform.

    :param address: ``IP:PORT``.
    :param path: path prefix of the service, without a trailing slash.
    """

    address: str
    path: str


def parse_base_url(url: str) -> BaseUrl:
    """
    Parse a validated base URL.

    :param url: such as ``http://127.0.0.1:8000``.
    :returns: the address and the path prefix.
    """
    parts = urlsplit(url)
    return BaseUrl(parts.netloc, parts.path.rstrip("/"))
