"""
Decisions of eelgrassdrum: typed events, state, the reducer and typed effects.
"""

from . import _effects as effects
from . import _events as events
from . import _refusals as refusals
from ._config import Queue, Service, Team
from ._config_schema import FLEET
from ._effects import Identity
from ._fold import REASON_FENCED, Decision, Verdict, fold_record
from ._freshness import keyed_work_allowed, proof_age_s
from ._freshness_withdrawals import KeyWithdrawalAsked, told_instances
from ._ids import KEY_PREFIX, Credential, RecordId, Sender, digest_secret, parse_credential
from ._membership import is_relay, members, reachable_zones, zone_peers
from ._membership_aggregates import fleet_number, register_aggregate, zone_number
from ._membership_state import Member
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
from ._snapshots_chunks import SnapshotChunk, StoredChunk, chunk_from_json, chunk_to_json
from ._snapshots_messages import (
    AppendSnapshotChunks,
    ReadSnapshots,
    SnapshotAppendFailed,
    SnapshotChunksAppended,
    SnapshotsRead,
    SnapshotsTruncated,
    SnapshotsUnavailable,
)
from ._state import State, Tuning, new_state
from ._wire import decode_message, encode_message

__all__ = [
    "CONTROL_STREAM",
    "DOCUMENT_PUBLISHED",
    "FLEET",
    "KEY_GRANTED",
    "KEY_PREFIX",
    "KEY_WITHDRAWN",
    "REASON_FENCED",
    "SNAPSHOT_STREAM",
    "AppendSnapshotChunks",
    "Credential",
    "Decision",
    "Identity",
    "KeyWithdrawalAsked",
    "Member",
    "Queue",
    "ReadSnapshots",
    "Record",
    "RecordId",
    "Sender",
    "Service",
    "SnapshotAppendFailed",
    "SnapshotChunk",
    "SnapshotChunksAppended",
    "SnapshotsRead",
    "SnapshotsTruncated",
    "SnapshotsUnavailable",
    "State",
    "StoredChunk",
    "StoredRecord",
    "Team",
    "Tuning",
    "Verdict",
    "chunk_from_json",
    "chunk_to_json",
    "decode_message",
    "digest_secret",
    "effects",
    "encode_message",
    "events",
    "fleet_number",
    "fold_record",
    "is_relay",
    "keyed_work_allowed",
    "members",
    "new_state",
    "parse_credential",
    "proof_age_s",
    "reachable_zones",
    "record_from_json",
    "record_to_json",
    "reduce",
    "refusals",
    "register_aggregate",
    "told_instances",
    "zone_number",
    "zone_peers",
]
