"""
Tests of the log service over HTTP: long polls and faults of its answers.
"""

import http.client
from concurrent.futures import ThreadPoolExecutor

import msgspec

from eelgrassdrum_testing._http_client import call
from eelgrassdrum_testing._process import processes, standin_command

CONTROL = "/v1/streams/control/records"


def log_address():
    with processes() as start:
        yield start("log", standin_command("log", appends_per_s=20, retention_records=5)).address


FIXTURES = {"address": log_address}


def append(address, *names):
    return call(address, "POST", CONTROL, [{"name": name} for name in names])


def names_from(address, offset):
    answer = call(address, "GET", f"{CONTROL}?from={offset}").json()
    return [record["record"]["name"] for record in answer["records"]]


def test_append_read_and_retention_over_http(address):
    """What was appended is read back, and dropped records answer 410 with the bounds."""
    assert append(address, "a", "b").json() == {"offsets": [1, 2], "head": 2}
    assert names_from(address, 2) == ["b"]
    append(address, "c", "d", "e", "f")
    answer = call(address, "GET", f"{CONTROL}?from=1")
    assert (answer.status, answer.json()) == (410, {"first": 2, "head": 6})
    assert call(address, "GET", "/v1/streams/other/records").status == 404
    assert call(address, "GET", f"{CONTROL}?from=x").status == 400
    assert call(address, "POST", CONTROL, b"no json").status == 400


def test_a_long_poll_waits_without_holding_up_others(address):
    """Other callers are answered during a long poll, and an append ends it."""
    with ThreadPoolExecutor(1) as pool:
        poll = pool.submit(call, address, "GET", f"{CONTROL}?from=1&wait=20")
        assert call(address, "GET", f"{CONTROL}?from=1").json()["records"] == []
        assert not poll.done()
        append(address, "a")
        assert poll.result().json()["records"][0]["offset"] == 1


def test_a_long_poll_ends_empty_when_its_time_is_over(address):
    """Without records the answer comes at the end of the wait."""
    answer = call(address, "GET", f"{CONTROL}?from=1&wait=0.1").json()
    assert answer == {"records": [], "head": 0, "first": 1}


def test_an_outage_refuses_all_calls_and_waiting_ones(address):
    """During an outage everything answers 503 and nothing is appended."""
    with ThreadPoolExecutor(1) as pool:
        poll = pool.submit(call, address, "GET", f"{CONTROL}?from=1&wait=20")
        assert names_from(address, 1) == []
        call(address, "POST", "/faults", {"outage": True})
        assert poll.result().status == 503
    assert append(address, "a").status == 503
    call(address, "POST", "/faults", {})
    assert names_from(address, 1) == []


def test_a_lost_answer_comes_after_the_effect(address):
    """The connection closes unanswered, and the record is there."""
    call(address, "POST", "/faults", {"lose_answers": 1.0})
    try:
        append(address, "a")
    except (http.client.HTTPException, ConnectionError):
        lost = True
    else:
        lost = False
    assert lost
    call(address, "POST", "/faults", {})
    assert names_from(address, 1) == ["a"]


def test_rubbish_answers_do_not_decode_though_the_append_took_effect(address):
    """A rubbish answer has status 200 and is no JSON."""
    call(address, "POST", "/faults", {"rubbish": True})
    answer = append(address, "a")
    try:
        answer.json()
    except (msgspec.DecodeError, UnicodeDecodeError):
        decoded = False
    else:
        decoded = True
    assert (answer.status, decoded) == (200, False)
    call(address, "POST", "/faults", {})
    assert names_from(address, 1) == ["a"]


def test_a_slow_service_takes_effect_before_its_answer(address):
    """A caller that gives up on a slow answer finds its record appended."""
    call(address, "POST", "/faults", {"delay_s": 20.0})
    try:
        call(address, "POST", CONTROL, [{"name": "a"}], timeout_s=0.3)
    except TimeoutError:
        timed_out = True
    else:
        timed_out = False
    assert timed_out
    call(address, "POST", "/faults", {})
    assert names_from(address, 1) == ["a"]


def test_over_the_cap_the_answer_is_429_with_a_time_to_come_back(address):
    """Once the second's worth is used up, appends are refused until there is room."""
    append(address, *"abcdefghijklmnopqrst")
    answers = [append(address, *"abcdefghijklmnopqrst") for _ in range(2)]
    assert {answer.status for answer in answers} == {429}
    assert float(answers[0].headers["retry-after"]) > 0
    assert append(address, *["a"] * 21).status == 413
