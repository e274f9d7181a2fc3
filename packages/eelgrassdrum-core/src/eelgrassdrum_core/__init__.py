"""
Decisions of eelgrassdrum: typed events, state, the reducer and typed effects.
"""

from . import _effects as effects
from . import _events as events
from . import _refusals as refusals
from ._config import FLEET, Queue, Service, Team
from ._effects import Identity
from ._fold import Decision
from ._ids import Credential, RecordId, Sender, digest_secret, parse_credential
from ._records import (
    CONTROL_STREAM,
    DOCUMENT_PUBLISHED,
    KEY_GRANTED,
    KEY_WITHDRAWN,
    SNAPSHOT_STREAM,
    Record,
    StoredRecord,
    record_from_json,
    record_to_json,
)
from ._reduce import reduce
from ._state import State, Tuning, new_state
from ._wire import decode_message, encode_message

__all__ = [
    "CONTROL_STREAM",
    "DOCUMENT_PUBLISHED",
    "FLEET",
    "KEY_GRANTED",
    "KEY_WITHDRAWN",
    "SNAPSHOT_STREAM",
    "Credential",
    "Decision",
    "Identity",
    "Queue",
    "Record",
    "RecordId",
    "Sender",
    "Service",
    "State",
    "StoredRecord",
    "Team",
    "Tuning",
    "decode_message",
    "digest_secret",
    "effects",
    "encode_message",
    "events",
    "new_state",
    "parse_credential",
    "record_from_json",
    "record_to_json",
    "reduce",
    "refusals",
]
