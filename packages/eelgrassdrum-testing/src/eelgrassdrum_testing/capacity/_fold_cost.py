"""
Memory and processor time of the folded state.
"""

import tracemalloc
from collections.abc import Iterator
from time import process_time

from eelgrassdrum_core import Sender, fold_record
from eelgrassdrum_core._log_follower import APPLIERS
from eelgrassdrum_core._snapshots_chunks import build_chunk, count_chunks, join_chunks
from eelgrassdrum_core._snapshots_codec import decode_snapshot, encode_snapshot
from eelgrassdrum_core._state import Fold

from .._full_state import CHANGES_PER_DAY, FleetSize, make_log
from ._fit import Estimate, fit_line

SHARES = (0.125, 0.25, 0.5, 1.0)
DAY_S = 86_400
SNAPSHOT_INTERVAL_S = 600.0
MAKER = Sender("entry-a1", 1, "a")
MEMORY_BUDGET_MB = 256.0
CPU_BUDGET = 0.04
START_BUDGET_S = 5.0
STEP_BUDGET_S = 0.25
CHANGES = "changes a day"
CORE = "share of a core"


def estimate_fold() -> Iterator[Estimate]:
    """
    Measure the fold at parts of the full size, all counts in proportion, and at the full size.

    :returns: the figures of the entry instance and of the snapshot's maker.
    """
    runs = [_measure(share) for share in SHARES]
    changes = [CHANGES_PER_DAY * share for share in SHARES]
    entry, maker = "entry instance", "elected snapshotter"
    for role, quantity, unit, key, divisor, budget in (
        (entry, "fold in memory", "MB", "memory_mb", 1.0, MEMORY_BUDGET_MB),
        (entry, "processor for folding", CORE, "fold_s", DAY_S, CPU_BUDGET),
        (entry, "start from a snapshot", "s", "decode_s", 1.0, START_BUDGET_S),
        (maker, "snapshot appended", "MB", "chunks_mb", 1.0, None),
        (maker, "bytes while elected", "KB/s", "chunks_mb", SNAPSHOT_INTERVAL_S / 1000, 26.0),
        (maker, "processor while elected", CORE, "encode_s", SNAPSHOT_INTERVAL_S, CPU_BUDGET),
        (maker, "longest step of encoding", "s", "encode_step_s", 1.0, STEP_BUDGET_S),
    ):
        figures = [run[key] / divisor for run in runs]
        slope = fit_line(changes, figures, CHANGES_PER_DAY).slope
        yield Estimate(
            role, quantity, unit, slope, CHANGES, CHANGES_PER_DAY, figures[-1], None, budget
        )


def _measure(share: float) -> dict[str, float]:
    size = FleetSize(*(int(count * share) for count in FleetSize()))
    records = list(make_log(size))
    fold = Fold()
    began_s = process_time()
    for stored in records:
        fold_record(fold.position, APPLIERS, fold, stored)
    fold_s = process_time() - began_s
    set_up = len(records) - size.changes
    began_s = process_time()
    raw = encode_snapshot(fold, APPLIERS, MAKER)
    encode_step_s = process_time() - began_s
    chunks = {number: build_chunk(raw, number) for number in range(count_chunks(raw))}
    encode_s = process_time() - began_s
    began_s = process_time()
    decode_snapshot(join_chunks(chunks), APPLIERS)
    decode_s = process_time() - began_s
    tracemalloc.start()
    held = decode_snapshot(join_chunks(chunks), APPLIERS)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if held.position.next_offset != len(records) + 1:
        raise RuntimeError("the fold is not whole")
    return {
        "fold_s": fold_s * size.changes / (size.changes + set_up),
        "memory_mb": memory_bytes / 1e6,
        "encode_s": encode_s,
        "encode_step_s": encode_step_s,
        "decode_s": decode_s,
        "chunks_mb": sum(len(chunk.data) for chunk in chunks.values()) * 4 / 3 / 1e6,
    }
