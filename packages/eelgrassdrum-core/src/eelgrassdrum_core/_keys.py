"""
Access keys: granted and withdrawn keys, and authorization of a presented key.
"""

from typing import NamedTuple

import msgspec

from ._config import Queue, qualify
from ._ids import Credential, digests_match
from ._records import KEY_GRANTED, KEY_WITHDRAWN, Record
from ._refusals import KEY_FORBIDDEN, KEY_REFUSED, RefusalCode

REASON_INVALID_KEY = "invalid_key"
REASON_WITHDRAWN = "withdrawn"


class Key(NamedTuple):
    """
    A granted key.

    :param workspace: workspace that the key belongs to.
    :param team: ``WORKSPACE/TEAM`` that its requests are attributed to.
    :param digest: SHA-256 of its secret, in hex.
    :param queues: ``WORKSPACE/QUEUE`` names that it may access; empty for all queues of its
        workspace.
    :param offset: offset of the grant in the log.
    """

    workspace: str
    team: str
    digest: str
    queues: tuple[str, ...]
    offset: int


class KeyFold(msgspec.Struct):
    """
    Keys granted and withdrawn by the log.

    The name of a withdrawn key can't be reused, so that a late grant can't reactivate it.
    """

    granted: dict[str, Key] = msgspec.field(default_factory=dict)
    withdrawn: dict[str, int] = msgspec.field(default_factory=dict)


def key_name(workspace: str, key_id: str) -> str:
    """
    Return the qualified name of a key.

    :param workspace: workspace that the key belongs to.
    :param key_id: id of the key in its workspace.
    :returns: ``WORKSPACE/KEYID``.
    """
    return f"{workspace}/{key_id}"


def apply_grant(keys: KeyFold, offset: int, record: Record) -> str:
    """
    Apply the grant of a key.

    :param keys: changed in place.
    :param offset: offset of the record in the log.
    :param record: a ``key.granted`` record.
    :returns: the reason for rejection, or an empty string when the record is accepted.
    """
    body = record.body
    try:
        workspace = str(body["workspace"])
        name = key_name(workspace, body["key_id"])
        queues = tuple(qualify(workspace, queue) for queue in body.get("queues", []))
        key = Key(workspace, qualify(workspace, body["team"]), body["digest"], queues, offset)
    except (KeyError, TypeError):
        return REASON_INVALID_KEY
    if record.subject != f"key/{name}" or not key.team.startswith(f"{workspace}/"):
        return REASON_INVALID_KEY
    if name in keys.withdrawn:
        return REASON_WITHDRAWN
    keys.granted[name] = key
    return ""


def apply_withdrawal(keys: KeyFold, offset: int, record: Record) -> str:
    """
    Apply the permanent withdrawal of a key.

    :param keys: changed in place.
    :param offset: offset of the record in the log.
    :param record: a ``key.withdrawn`` record.
    :returns: the reason for rejection, or an empty string when the record is accepted.
    """
    try:
        name = key_name(record.body["workspace"], record.body["key_id"])
    except KeyError:
        return REASON_INVALID_KEY
    if record.subject != f"key/{name}":
        return REASON_INVALID_KEY
    keys.withdrawn.setdefault(name, offset)
    keys.granted.pop(name, None)
    return ""


def find_key(keys: KeyFold, queue: Queue, credential: Credential) -> Key | RefusalCode:
    """
    Look up the key that authorizes a request to a queue.

    :param keys: keys granted and withdrawn by the log.
    :param queue: queue that the request is addressed to.
    :param credential: credential presented by the caller.
    :returns: the key, or the code of the refusal.
    """
    key = keys.granted.get(key_name(queue.workspace, credential.key_id))
    if key is None or not digests_match(key.digest, credential.digest):
        return KEY_REFUSED
    if key.queues and queue.name not in key.queues:
        return KEY_FORBIDDEN
    return key


APPLIERS = {KEY_GRANTED: apply_grant, KEY_WITHDRAWN: apply_withdrawal}
