"""
Records of the job log, and snapshots of the replicated state that they result in.
"""

import zlib

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdrum_core.jobs import ReplicatedState, model
from eelgrassdrum_core.jobs import _fold as fold
from eelgrassdrum_core.jobs import _records as records
from eelgrassdrum_core.jobs import _snapshot as snapshot

WALL_MS = 1_700_000_000_000
SPEC = model.JobSpec(
    "payload",
    (
        model.Step(2, (500, 100, 0), 100),
        model.Step(1, (700, 100, 0), 100, after=(0,)),
    ),
)
JOBS = st.sampled_from(["j1", "j2"])
TASK_POSITION = {"step": st.sampled_from([0, 1, 5]), "index": st.sampled_from([0, 1, 7])}
RECORDS = st.one_of(
    st.builds(
        records.Submitted,
        JOBS,
        st.just("q"),
        st.just("s"),
        st.sampled_from(["a", "b"]),
        st.just(SPEC),
        st.just(WALL_MS),
    ),
    st.builds(records.Cancelled, JOBS, st.just(WALL_MS)),
    st.builds(records.Claimed, st.integers(1, 3), st.just("entry"), st.just(1)),
    st.builds(
        records.Started,
        st.integers(1, 3),
        JOBS,
        st.just(0),
        TASK_POSITION["step"],
        TASK_POSITION["index"],
        st.integers(1, 3),
        st.sampled_from(["w1", "w2"]),
        st.just(1),
    ),
    st.builds(
        records.Ended,
        st.integers(1, 3),
        JOBS,
        st.just(0),
        TASK_POSITION["step"],
        TASK_POSITION["index"],
        st.integers(1, 3),
        st.sampled_from(["done", "failed", "lost"]),
        st.sampled_from(["", "saved"]),
    ),
    st.builds(
        records.Closed,
        st.integers(1, 3),
        JOBS,
        st.sampled_from(["completed", "failed", "cancelled"]),
        st.just(WALL_MS),
    ),
    st.builds(
        records.InstanceOrdered,
        st.integers(1, 3),
        st.just("m1"),
        st.sampled_from([-1, 1]),
        st.just("pool"),
        st.just(WALL_MS),
    ),
    st.builds(
        records.LeaseBounded,
        st.integers(1, 3),
        st.sampled_from(["w1", "w2"]),
        st.integers(1, 2),
        st.integers(1, 10_000),
        st.integers(1, 10_000),
    ),
    st.builds(
        records.LeaseLifted,
        st.integers(1, 3),
        st.sampled_from(["w1", "w2"]),
        st.integers(1, 10_000),
    ),
)


def apply_all(items):
    """
    Apply records to an empty replicated state.
    """
    replicated = ReplicatedState()
    for item in items:
        fold.apply(replicated, item, 10.0, WALL_MS)
        fold.confirm(replicated, item)
        replicated.offset += 1
    return replicated


def recompute_usage(replicated):
    """
    Recompute the usage of workers and workspaces from the tasks.
    """
    load, used = {}, {}
    for job in replicated.jobs.values():
        for steps in job.occurrences.values():
            for state in steps:
                for task in state.tasks:
                    if task.status == "running":
                        need = model.Resources(*state.step.need)
                        resources = load.get(task.worker, model.NO_RESOURCES)
                        load[task.worker] = resources.plus(state.step.resources)
                        used[job.workspace] = used.get(job.workspace, model.NO_RESOURCES).plus(need)
    return load, used


@given(st.lists(RECORDS, max_size=40))
@settings(max_examples=150, deadline=None, derandomize=True)
def test_usage_matches_the_running_tasks(items):
    """
    For any sequence of records, the usage of workers and workspaces is that of the running tasks.
    """
    replicated = apply_all(items)
    load, used = recompute_usage(replicated)
    assert {key: resources for key, resources in replicated.load.items() if any(resources)} == load
    assert {key: resources for key, resources in replicated.used.items() if any(resources)} == used


@given(st.lists(RECORDS, max_size=40))
@settings(max_examples=150, deadline=None, derandomize=True)
def test_a_snapshot_restores_the_replicated_state(items):
    """
    Encoding and decoding a snapshot preserves the replicated state.
    """
    replicated = apply_all(items)
    data = snapshot.encode(replicated, 10.0, WALL_MS)
    restored = snapshot.decode(data, 10.0, WALL_MS)
    assert snapshot.encode(restored, 10.0, WALL_MS) == data
    assert restored.load == {
        key: resources for key, resources in replicated.load.items() if any(resources)
    }
    assert set(restored.open_jobs) == set(replicated.open_jobs)
    assert {q: n for q, n in restored.pending.items() if n} == {
        q: n for q, n in replicated.pending.items() if n
    }


@given(st.lists(RECORDS, max_size=20))
@settings(max_examples=50, deadline=None, derandomize=True)
def test_records_survive_their_encoding(items):
    """
    Encoding and decoding a record preserves it.
    """
    assert [records.decode_record(data) for data in records.encode_records(items)] == items


@given(st.binary(max_size=60))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_arbitrary_bytes_are_rejected(data):
    """
    Arbitrary bytes are rejected without an exception.
    """
    records.decode_record(data)
    assert snapshot.decode(data, 0.0, 0) is None


def test_a_record_of_an_older_epoch_is_ignored():
    """
    A late record of a former owner is ignored.
    """
    replicated = apply_all(
        [
            records.Submitted("j1", "q", "s", "a", SPEC, WALL_MS),
            records.Claimed(2, "new", 1),
            records.Started(1, "j1", 0, 0, 0, 1, "w1", 1),
        ]
    )
    assert replicated.running == {}


def test_a_lost_run_may_turn_out_to_be_done():
    """
    The latest run counts as done even if it was recorded as lost before it completed.
    """
    replicated = apply_all(
        [
            records.Submitted("j1", "q", "s", "a", SPEC, WALL_MS),
            records.Claimed(1, "entry", 1),
            records.Started(1, "j1", 0, 0, 0, 1, "w1", 1),
            records.Ended(1, "j1", 0, 0, 0, 1, "lost", ""),
            records.Ended(1, "j1", 0, 0, 0, 1, "done", ""),
        ]
    )
    assert replicated.jobs["j1"].occurrences[0][0].unfinished == 1


# Guards against long-running tasks that count as waiting twice and keep their pool too large.
def test_late_completion_of_a_long_running_run_changes_nothing():
    """
    A long-running task whose lost run turns out to have completed waits once for its next run.
    """
    state = ReplicatedState()
    spec = model.JobSpec("payload", (model.Step(1, (500, 100, 0), is_long_running=True),))
    for record in (
        records.Claimed(1, "entry", 1),
        records.Submitted("j1", "q", "s", "a", spec, WALL_MS),
        records.Started(1, "j1", 0, 0, 0, 1, "w1", 1),
        records.Ended(1, "j1", 0, 0, 0, 1, "lost", ""),
        records.Ended(1, "j1", 0, 0, 0, 1, "done", ""),
    ):
        fold.apply(state, record, 0.0, WALL_MS)
    (step,) = state.jobs["j1"].occurrences[0]
    assert step.waiting == 1


# Guards against logs and snapshots of a former release that can't be read after an update.
def test_claims_and_snapshots_without_a_weakness_are_read():
    """
    Claims and snapshots that don't tell the claimant's weakness are read; it counts as unknown.
    """
    former = msgspec.msgpack.encode(["o", 1, "entry", 5, "address"])
    assert records.decode_record(former) == records.Claimed(1, "entry", 5, "address")
    replicated = apply_all([records.Claimed(1, "entry", 5, "address", 0.5)])
    rows = msgspec.msgpack.decode(zlib.decompress(snapshot.encode(replicated, 10.0, WALL_MS)))
    data = zlib.compress(msgspec.msgpack.encode(rows[:-8]))
    restored = snapshot.decode(data, 10.0, WALL_MS)
    assert restored.owner == ("entry", 5)
    assert (restored.owner_weakness, restored.least_weakness) == (None, None)


def test_the_weakness_of_claimants_is_part_of_the_replicated_state():
    """
    The weakness of the latest claimant and the least of all are known, also from a snapshot.
    """
    replicated = apply_all(
        [
            records.Claimed(1, "strong", 1, "", 0.25),
            records.Claimed(2, "weak", 1, "", 0.5),
            records.Claimed(2, "late", 1, "", 0.0),
        ]
    )
    data = snapshot.encode(replicated, 10.0, WALL_MS)
    for state in (replicated, snapshot.decode(data, 10.0, WALL_MS)):
        assert (state.owner_weakness, state.least_weakness) == (0.5, 0.25)


# Guards against an update after which instances can't read what former versions have stored.
def test_a_snapshot_and_a_claim_of_former_versions_can_be_read():
    """
    A snapshot without bounds on leases, and a claim without their announcement, are read.
    """
    replicated = apply_all([records.Claimed(2, "entry", 1)])
    fields = msgspec.msgpack.decode(zlib.decompress(snapshot.encode(replicated, 10.0, WALL_MS)))
    restored = snapshot.decode(zlib.compress(msgspec.msgpack.encode(fields[:-4])), 10.0, WALL_MS)
    assert restored.epoch == 2 and restored.lease_bounds == restored.places == {}
    claim = msgspec.msgpack.encode(["o", 3, "entry", 1, ""])
    assert records.decode_record(claim) == records.Claimed(3, "entry", 1)
