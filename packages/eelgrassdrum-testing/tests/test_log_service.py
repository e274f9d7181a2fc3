"""
Tests of the log service's functions, in virtual time.
"""

from eelgrassdrum_testing import _log_service as log


def small_log():
    return log.new_log(log.LogConfig(appends_per_s=4, retention_records=3, retention_age_s=10.0))


FIXTURES = {"state": small_log}


def raised(kind, function, *args):
    try:
        function(*args)
    except kind as exc:
        return exc
    raise AssertionError(f"{kind.__name__} was not raised")


def test_offsets_start_at_one_and_grow_by_one_in_each_stream(state):
    """Offsets count up from one, and streams do not share them."""
    assert log.append(state, "control", ["a", "b"], 0.0) == log.Appended([1, 2], 2)
    assert log.append(state, "control", ["c"], 0.0) == log.Appended([3], 3)
    assert log.append(state, "snapshots", ["s"], 0.0) == log.Appended([1], 1)


def test_read_gives_records_from_an_offset_up_to_the_limit(state):
    """A read begins at its offset, stops at its limit, and is empty past the head."""
    log.append(state, "control", ["a", "b", "c"], 0.0)
    result = log.read(state, "control", 2, 1, 0.0)
    assert result == log.ReadResult([log.ReadRecord(2, "b")], 3, 1)
    assert log.read(state, "control", 4, 10, 0.0).records == []


def test_retention_by_count_drops_the_oldest_and_says_where_to_begin(state):
    """A read of a dropped record fails with the bounds of what is left."""
    log.append(state, "control", ["a", "b", "c"], 0.0)
    log.append(state, "control", ["d"], 0.0)
    exc = raised(log.RecordsDroppedError, log.read, state, "control", 1, 10, 0.0)
    assert (exc.first, exc.head) == (2, 4)
    assert [r.record for r in log.read(state, "control", 2, 10, 0.0).records] == ["b", "c", "d"]


def test_retention_by_age_keeps_offsets_growing(state):
    """Records past their age go, and the next record still gets the next offset."""
    log.append(state, "control", ["a"], 0.0)
    assert log.read(state, "control", 1, 10, 10.0).first == 1
    exc = raised(log.RecordsDroppedError, log.read, state, "control", 1, 10, 10.5)
    assert (exc.first, exc.head) == (2, 1)
    assert log.append(state, "control", ["b"], 11.0).offsets == [2]


def test_appends_over_the_cap_change_nothing_and_fit_after_the_time_told(state):
    """A refused append leaves no record, and the time to come back is exact."""
    log.append(state, "control", ["a", "b", "c"], 0.0)
    exc = raised(log.RateLimitedError, log.append, state, "control", ["d", "e"], 0.0)
    assert exc.retry_after_s == 0.25
    assert state.streams["control"].head == 3
    assert log.append(state, "control", ["d", "e"], 0.25).offsets == [4, 5]


def test_a_batch_that_never_fits_is_refused_as_too_large(state):
    """An append of more than a second's worth is not told to come back."""
    raised(log.BatchTooLargeError, log.append, state, "control", ["a"] * 5, 100.0)
    assert state.streams["control"].head == 0
