"""
Identifiers of instances and records, and credentials of callers.
"""

import hashlib
import hmac
from typing import NamedTuple

KEY_PREFIX = "egd"


class Sender(NamedTuple):
    """
    The instance that sent a message or an attempt.

    :param instance: id of the instance.
    :param incarnation: number that increases with each start of the instance.
    :param zone: availability zone.
    """

    instance: str
    incarnation: int
    zone: str


class RecordId(NamedTuple):
    """
    Id of a record; retries of its append use the same id.

    :param writer: id of the instance or operator that wrote it.
    :param incarnation: incarnation of the writer.
    :param sequence: sequence number of the writer's records in this incarnation, from 1.
    """

    writer: str
    incarnation: int
    sequence: int


class Credential(NamedTuple):
    """
    A key presented by a caller, with the digest of its secret in place of the secret.

    :param key_id: id of the key.
    :param digest: SHA-256 of the secret, in hex.
    """

    key_id: str
    digest: str


def digest_secret(secret: str) -> str:
    """
    Return the digest that the log stores for a secret.

    :param secret: the secret text.
    :returns: SHA-256 in hex.
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def parse_credential(text: str) -> Credential | None:
    """
    Parse a key of the form ``egd_KEYID_SECRET``.

    :param text: the text presented by the caller.
    :returns: the credential, or ``None`` if the text is not a key.
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
