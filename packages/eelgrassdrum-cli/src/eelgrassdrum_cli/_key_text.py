"""
Generates keys. The log only ever holds the digest of a key's secret.
"""

import secrets
from typing import NamedTuple

from eelgrassdrum_core import KEY_PREFIX, digest_secret

_KEY_ID_BYTES = 5
_SECRET_BYTES = 32


class NewKey(NamedTuple):
    """
    A newly generated key: the text for its holder, and the digest for the log.
    """

    key_id: str
    text: str
    digest: str


def new_key(key_id: str = "") -> NewKey:
    """
    Generate a key from the operating system's random number generator.

    :param key_id: the id; random when empty.
    :returns: the key.
    """
    key_id = key_id or secrets.token_hex(_KEY_ID_BYTES)
    secret = secrets.token_hex(_SECRET_BYTES)
    digest = digest_secret(secret)
    return NewKey(key_id, f"{KEY_PREFIX}_{key_id}_{secret}", digest)
