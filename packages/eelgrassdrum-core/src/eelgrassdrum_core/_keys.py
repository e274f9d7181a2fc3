"""
Keys: which are granted, which are withdrawn, and what a presented one opens.
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

    :param workspace: the workspace it belongs to.
    :param team: ``WORKSPACE/TEAM`` that its requests count for.
    :param digest: SHA-256 of its secret, in hex.
    :param queues: ``WORKSPACE/QUEUE`` names that it opens; empty for all of its workspace.
    :param offset: where it was granted.
    """

    workspace: str
    team: str
    digest: str
    queues: tuple[str, ...]
    offset: int


class KeyFold(msgspec.Struct):
    """
    Keys as decided by the log.

    A withdrawn key's name stays taken, so a late grant can't bring it back.
    """

    granted: dict[str, Key] = msgspec.field(default_factory=dict)
    withdrawn: dict[str, int] = msgspec.field(default_factory=dict)


def key_name(workspace: str, key_id: str) -> str:
    """
    Give a key's full name.

    :param workspace: its workspace.
    :param key_id: its id.
    :returns: ``WORKSPACE/KEYID``.
    """
    return f"{workspace}/{key_id}"


def apply_grant(keys: KeyFold, offset: int, record: Record) -> str:
    """
    Grant a key.

    :param keys: changed in place.
    :param offset: the record's place in the log.
    :param record: a ``key.granted`` record.
    :returns: a reason to reject it, or an empty text.
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
    Withdraw a key for good.

    :param keys: changed in place.
    :param offset: the record's place in the log.
    :param record: a ``key.withdrawn`` record.
    :returns: a reason to reject it, or an empty text.
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
    Look up what a presented key opens.

    :param keys: the folded keys.
    :param queue: the queue that the request is for.
    :param credential: what the caller presented.
    :returns: the key, or why it is refused.
    """
    key = keys.granted.get(key_name(queue.workspace, credential.key_id))
    if key is None or not digests_match(key.digest, credential.digest):
        return KEY_REFUSED
    if key.queues and queue.name not in key.queues:
        return KEY_FORBIDDEN
    return key


APPLIERS = {KEY_GRANTED: apply_grant, KEY_WITHDRAWN: apply_withdrawal}
