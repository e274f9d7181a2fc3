"""
Adapter for the snapshot stream of the platform's log service.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from eelgrassdrum_core import (
    SNAPSHOT_STREAM,
    AppendSnapshotChunks,
    ReadSnapshots,
    SnapshotAppendFailed,
    SnapshotChunksAppended,
    SnapshotsRead,
    SnapshotsTruncated,
    SnapshotsUnavailable,
    StoredChunk,
    chunk_from_json,
    chunk_to_json,
)

from ._http_messages import ClientRequest, HttpFailure, HttpOutcome
from ._http_pool import HttpPool
from ._log_adapter import (
    STATUS_GONE,
    STATUS_OK,
    AppendJson,
    GoneJson,
    Post,
    ReadJson,
)
from ._timers import Scheduler
from ._urls import BaseUrl

TIMEOUT_S = 10.0


def snapshot_effects(
    base: BaseUrl, pool: HttpPool, scheduler: Scheduler, post: Post
) -> dict[type, Callable[[Any], None]]:
    """
    Build the effect handlers on their connection pool.

    :param base: base URL of the log service.
    :param pool: connection pool for it.
    :param scheduler: runs delayed reads.
    :param post: called with each event.
    :returns: handler of each effect type.
    """
    path = f"{base.path}/v1/streams/{SNAPSHOT_STREAM}/records"

    def read(effect: ReadSnapshots) -> None:
        if effect.delay_s > 0:
            scheduler.call_later(effect.delay_s, lambda: send_read(effect))
        else:
            send_read(effect)

    def send_read(effect: ReadSnapshots) -> None:
        query = f"?from={effect.from_offset}&limit={effect.limit}&wait=0"
        pool.submit(ClientRequest(base.address, "GET", path + query, TIMEOUT_S, on_read))

    def on_read(outcome: HttpOutcome) -> None:
        post(_read_event(outcome))

    def append(effect: AppendSnapshotChunks) -> None:
        body = msgspec.json.encode([chunk_to_json(chunk) for chunk in effect.chunks])
        headers = {"Content-Type": "application/json"}
        pool.submit(
            ClientRequest(base.address, "POST", path, TIMEOUT_S, on_appended, headers, body)
        )

    def on_appended(outcome: HttpOutcome) -> None:
        post(_append_event(outcome))

    return {ReadSnapshots: read, AppendSnapshotChunks: append}


def _read_event(outcome: HttpOutcome) -> object:
    if isinstance(outcome, HttpFailure):
        return SnapshotsUnavailable(outcome.reason)
    try:
        if outcome.status == STATUS_GONE:
            gone = msgspec.json.decode(outcome.body, type=GoneJson)
            return SnapshotsTruncated(gone.first, gone.head)
        if outcome.status != STATUS_OK:
            return SnapshotsUnavailable(f"status {outcome.status}")
        answer = msgspec.json.decode(outcome.body, type=ReadJson)
    except msgspec.MsgspecError:
        return SnapshotsUnavailable("malformed answer")
    chunks = tuple(
        StoredChunk(stored.offset, chunk_from_json(stored.record)) for stored in answer.records
    )
    return SnapshotsRead(chunks, answer.head, answer.first)


def _append_event(outcome: HttpOutcome) -> object:
    if isinstance(outcome, HttpFailure):
        return SnapshotAppendFailed(outcome.reason)
    if outcome.status != STATUS_OK:
        return SnapshotAppendFailed(f"status {outcome.status}")
    try:
        offsets = msgspec.json.decode(outcome.body, type=AppendJson).offsets
    except msgspec.MsgspecError:
        return SnapshotAppendFailed("malformed answer")
    return SnapshotChunksAppended(offsets[0]) if offsets else SnapshotAppendFailed("no offsets")
