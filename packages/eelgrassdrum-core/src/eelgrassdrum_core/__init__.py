"""
Decision logic of eelgrassdrum: typed events, state, the reducer and typed effects.

Names are imported lazily, on first access, so that a program that uses only one part, such as
`eelgrassdrum_core.jobs`, does not load the others.
"""

from importlib import import_module
from typing import Any

# Public names of private modules that are exposed as a whole.
_MODULE_ALIASES = {
    "effects": "_effects",
    "events": "_events",
    "refusals": "_refusals",
}
# Names exposed from each private module.
_NAMES_OF_MODULE: dict[str, tuple[str, ...]] = {
    "_config": ("Queue", "Service", "Team"),
    "_config_schema": ("FLEET",),
    "_effects": ("Identity",),
    "_fold": ("Decision", "REASON_FENCED", "Verdict", "fold_record"),
    "_freshness": ("keyed_work_allowed", "proof_age_s"),
    "_freshness_withdrawals": ("KeyWithdrawalAsked", "told_instances"),
    "_ids": ("Credential", "KEY_PREFIX", "RecordId", "Sender", "digest_secret", "parse_credential"),
    "_membership": ("is_relay", "members", "reachable_zones", "zone_peers"),
    "_membership_aggregates": ("fleet_number", "register_aggregate", "zone_number"),
    "_membership_state": ("Member",),
    "_records": (
        "CONTROL_STREAM",
        "DOCUMENT_PUBLISHED",
        "KEY_GRANTED",
        "KEY_WITHDRAWN",
        "Record",
        "SNAPSHOT_STREAM",
        "StoredRecord",
        "record_from_json",
        "record_to_json",
    ),
    "_reduce": ("reduce",),
    "_snapshots_chunks": ("SnapshotChunk", "StoredChunk", "chunk_from_json", "chunk_to_json"),
    "_snapshots_messages": (
        "AppendSnapshotChunks",
        "ReadSnapshots",
        "SnapshotAppendFailed",
        "SnapshotChunksAppended",
        "SnapshotsRead",
        "SnapshotsTruncated",
        "SnapshotsUnavailable",
    ),
    "_state": ("State", "Tuning", "new_state"),
    "_wire": ("decode_message", "encode_message"),
}
_MODULE_OF_NAME = {name: module for module, names in _NAMES_OF_MODULE.items() for name in names}

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


def __getattr__(name: str) -> Any:
    if name in _MODULE_ALIASES:
        return import_module(f".{_MODULE_ALIASES[name]}", __name__)
    if name in _MODULE_OF_NAME:
        return getattr(import_module(f".{_MODULE_OF_NAME[name]}", __name__), name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")


def __dir__() -> list[str]:
    return sorted(__all__)
