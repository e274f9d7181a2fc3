"""
Names of instances, records and credentials.
"""

import hashlib
import hmac
from typing import NamedTuple

KEY_PREFIX = "egd"


class Sender(NamedTuple):
    """
    The instance that a message or an attempt comes from.

    :param instance: id of the instance.
    :param incarnation: number that grows each time the instance starts anew.
    :param zone: availability zone.
    """

    instance: str
    incarnation: int
    zone: str


class RecordId(NamedTuple):
    """
    Id of one record, the same for every repeat of its append.

    :param writer: id of the instance or operator that wrote it.
    :param incarnation: incarnation of the writer.
    :param sequence: count of the writer's records in this incarnation, from 1.
    """

    writer: str
    incarnation: int
    sequence: int


class Credential(NamedTuple):
    """
    A key as presented by a caller, without its secret.

    :param key_id: id of the key.
    :param digest: SHA-256 of the secret, in hex.
    """

    key_id: str
    digest: str


def digest_secret(secret: str) -> str:
    """
    Give the digest under which a secret is known to the log.

    :param secret: the secret text.
    :returns: SHA-256 in hex.
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def parse_credential(text: str) -> Credential | None:
    """
    Read a key's text, ``egd_KEYID_SECRET``.

    :param text: what the caller presented.
    :returns: the credential, or ``None`` when the text is no key.
    """
    prefix, _, rest = text.partition("_")
    key_id, separator, secret = rest.partition("_")
    if prefix != KEY_PREFIX or not separator or not key_id or not secret:
        return None
    return Credential(key_id, digest_secret(secret))


def digests_match(left: str, right: str) -> bool:
    """
    Compare two digests in constant time.

    :param left: a digest in hex.
    :param right: a digest in hex.
    :returns: whether they are equal.
    """
    return hmac.compare_digest(left.encode(), right.encode())
