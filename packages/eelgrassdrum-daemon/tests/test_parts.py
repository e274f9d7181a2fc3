"""
Unit tests of settings, timers, histograms, stored responses and platform responses.
"""

import eliot
import msgspec

from eelgrassdrum_core import effects, events
from eelgrassdrum_daemon import _answers, _metrics
from eelgrassdrum_daemon._endpoint_adapter import _attempt_event, _probe_event
from eelgrassdrum_daemon._http_messages import HttpAnswer, HttpFailure
from eelgrassdrum_daemon._list_adapter import parse_instances
from eelgrassdrum_daemon._log_adapter import _append_event, _read_event
from eelgrassdrum_daemon._logging import make_writer
from eelgrassdrum_daemon._settings import parse_settings
from eelgrassdrum_daemon._timers import Scheduler

GOOD = {
    "instance": "e1",
    "zone": "a",
    "listen": "127.0.0.1:0",
    "peer-listen": "127.0.0.1:0",
    "log-url": "http://127.0.0.1:1",
    "list-url": "http://127.0.0.1:2",
}


def answer(status: int, value: object, **headers: str) -> HttpAnswer:
    named = {name.replace("_", "-"): text for name, text in headers.items()}
    body = value if isinstance(value, bytes) else msgspec.json.encode(value)
    return HttpAnswer(status, named, body)


def faults_of(arguments: list[str]) -> set[str]:
    try:
        parse_settings(arguments)
    except ExceptionGroup as group:
        return {exc.flag for exc in group.exceptions}
    return set()


def test_every_fault_of_the_settings_is_named() -> None:
    """
    All invalid settings are reported at once, each with its flag.
    """
    assert faults_of([f"--{name}={text}" for name, text in GOOD.items()]) == set()
    bad = ["--zone", "A b", "--listen", "here:1", "--read-timeout-s", "soon", "--root-digest", "x"]
    assert faults_of(bad) == {
        "--instance",
        "--zone",
        "--listen",
        "--peer-listen",
        "--log-url",
        "--list-url",
        "--read-timeout-s",
        "--root-digest",
    }


def test_timers_run_in_order_and_cancelled_ones_do_not() -> None:
    """
    Timers run when due, earliest first; a cancelled timer never runs.
    """
    now = [0.0]
    scheduler = Scheduler(lambda: now[0])
    ran: list[str] = []
    scheduler.call_later(2.0, lambda: ran.append("second"))
    scheduler.call_later(1.0, lambda: ran.append("first"))
    scheduler.cancel(scheduler.call_later(1.5, lambda: ran.append("never")))
    assert scheduler.run_due() == 1.0
    now[0] = 1.0
    assert scheduler.run_due() == 0.0
    assert (ran, scheduler.run_due()) == (["first"], 1.0)
    now[0] = 3.0
    scheduler.run_due()
    assert (ran, scheduler.run_due()) == (["first", "second"], None)


def test_many_cancelled_timers_take_no_memory() -> None:
    """
    Cancelled timers do not accumulate in the schedule.
    """
    scheduler = Scheduler(lambda: 0.0)
    for _ in range(20_000):
        scheduler.cancel(scheduler.call_later(30.0, lambda: None))
    assert len(scheduler._heap) < 5_000


def test_histograms_of_two_instances_add_up() -> None:
    """
    Merged histograms hold the values of both instances, within the configured precision.
    """
    summaries = []
    for run_s in (0.010, 0.100):
        state = _metrics.MetricsState()
        for _ in range(50):
            _metrics.record_latencies(
                state, effects.ObserveLatency("show/scores", "show/judges", 0, run_s)
            )
        summaries.append(_metrics.summarize(state.teams["show/judges"].run))
    merged = _metrics.merge([summary.encoded for summary in summaries])
    assert merged.get_total_count() == 100
    assert abs(merged.get_value_at_percentile(99) * _metrics.UNIT_S - 0.1) < 0.002


def test_kept_answers_are_bounded() -> None:
    """
    The oldest responses are evicted first, by bytes and count, and eviction frees their bytes.
    """
    store = _answers.AnswerStore(max_bytes=100, max_answers=3)
    for number in range(5):
        _answers.store_answer(store, f"a{number}", HttpAnswer(200, {}, b"x" * 10))
    assert list(store.answers) == ["a2", "a3", "a4"]
    _answers.store_answer(store, "big", HttpAnswer(200, {}, b"x" * 95))
    assert list(store.answers) == ["big"]
    _answers.remove_answer(store, "big")
    assert (store.held_bytes, store.evicted) == (0, 5)


def test_reads_of_the_log_become_events() -> None:
    """
    Records, a truncated stream, malformed data and offset gaps are distinguished.
    """
    junk = {"records": [{"offset": 4, "record": 7}], "head": 9, "first": 2}
    assert _read_event(answer(200, junk)) == events.LogRead((events.StoredRecord(4, None),), 9, 2)
    assert _read_event(answer(410, {"first": 5, "head": 9})) == events.LogTruncated(5, 9)
    gap = {"records": [{"offset": 1, "record": {}}, {"offset": 3, "record": {}}], "head": 3}
    for bad in (answer(200, b"\x00rubbish"), answer(200, gap), answer(200, []), answer(503, {})):
        assert isinstance(_read_event(bad), events.LogUnavailable)
    assert isinstance(_read_event(HttpFailure("timeout", True)), events.LogUnavailable)


def test_appends_say_whether_they_may_have_an_effect() -> None:
    """
    Only a rejection over the cap and a request that was never sent certainly had no effect.
    """
    assert _append_event(answer(200, {"offsets": [7, 8], "head": 8}), 2) == events.AppendDone(
        (7, 8)
    )
    for harmless in (answer(429, {}), HttpFailure("connect", False)):
        assert _append_event(harmless, 1).may_have_effect is False
    for doubtful in (
        answer(503, {}),
        answer(200, b"rubbish"),
        answer(200, {"offsets": [], "head": 8}),
        HttpFailure("closed", True),
    ):
        assert _append_event(doubtful, 1).may_have_effect is True


def test_only_a_refusal_by_name_counts_as_not_run() -> None:
    """
    A 503 is a response without the not_run header, and a rejection with it.
    """
    refusal = answer(503, {}, X_Run_State="not_run", X_Leaving="1")
    assert _attempt_event("a1", refusal) == events.AttemptRefused("a1", True)
    assert _attempt_event("a1", answer(503, b"")) == events.AttemptAnswered("a1", 503, 0)
    assert _attempt_event("a1", HttpFailure("closed", True)) == events.AttemptFailed(
        "a1", True, "closed"
    )


def test_probe_of_another_endpoint_is_unhealthy() -> None:
    """
    A health response from another endpoint at a reused address is not taken for the first's.
    """
    health = {"id": "ep-1", "incarnation": 2, "state": "leaving", "slots": 4, "running": []}
    probed = _probe_event("ep-1", answer(200, health))
    assert (probed.healthy, probed.leaving, probed.running) == (True, True, ())
    assert not _probe_event("ep-2", answer(200, health)).healthy
    assert not _probe_event("ep-1", answer(200, b"rubbish")).healthy


def test_malformed_instance_entry_is_skipped() -> None:
    """
    Malformed entries are skipped, and unknown fields are ignored.
    """
    entries = [
        {"id": "ep-1", "role": "endpoint", "address": "127.0.0.1:1", "zone": "a", "new": 1},
        {"id": "ep-2", "role": "endpoint", "address": "127.0.0.1:2", "zone": "a", "slots": "many"},
        {"id": "ep-3"},
        7,
    ]
    [listed] = parse_instances(answer(200, {"instances": entries}))
    assert listed.id == "ep-1"
    assert parse_instances(answer(200, b"rubbish")) is None


def test_log_fields_do_not_clash_with_line_fields() -> None:
    """
    A log line about another instance keeps its name apart from the writer's.
    """
    lines: list[dict] = []
    eliot.add_destinations(lines.append)
    try:
        make_writer("entry-a1", "a")("member.dead", instance="entry-b1", zone="b")
    finally:
        eliot.remove_destination(lines.append)
    [line] = [line for line in lines if line["message_type"] == "member.dead"]
    assert (line["instance"], line["zone"]) == ("entry-a1", "a")
    assert line["fields"] == {"instance": "entry-b1", "zone": "b"}
