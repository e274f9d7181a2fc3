"""
Tests of the adapter for the platform's API for instances of pools.
"""

import msgspec

from eelgrassdrum_core import _fleet_messages as messages
from eelgrassdrum_daemon._http_messages import ClientRequest, HttpAnswer, HttpFailure
from eelgrassdrum_daemon._machine_adapter import make_machine_effects
from eelgrassdrum_daemon._urls import parse_base_url

INSTANCE = {
    "id": "i1",
    "pool": "fleet/judging",
    "zone": "a",
    "rack": "a-r1",
    "is_up": True,
    "booted_at_s": 5.0,
}
INVENTORY = {"at_s": 9.0, "since": 3, "version": 4, "instances": [INSTANCE], "removed": ["i2"]}


class Calls(msgspec.Struct):
    """
    Records the requests, events and log lines of the adapter.
    """

    sent: list[ClientRequest] = msgspec.field(default_factory=list)
    posted: list[object] = msgspec.field(default_factory=list)
    lines: list[object] = msgspec.field(default_factory=list)

    def submit(self, req: ClientRequest) -> None:
        """
        Record a request instead of sending it.
        """
        self.sent.append(req)

    def execute(self, effect: object, answer: object) -> None:
        """
        Execute an effect and complete its request with an outcome.
        """
        base = parse_base_url("http://127.0.0.1:2")
        table = make_machine_effects(base, self, self.posted.append, self.lines.append)
        table[type(effect)](effect)
        self.sent[-1].on_done(answer)


FIXTURES = {"calls": Calls}


def answer(data: object) -> HttpAnswer:
    """
    Build a successful response with JSON data.
    """
    return HttpAnswer(200, {}, msgspec.json.encode(data))


def test_the_inventory_is_read_by_changes(calls: Calls) -> None:
    """A read sends the known version, and the valid entries of its response become an event."""
    found = {**INVENTORY, "instances": [{"id": "broken"}, INSTANCE]}
    calls.execute(messages.ReadInventory(7.0, ("fleet",), 3), answer(found))
    assert calls.sent[0].path == "/v1/machines?shards=fleet&since=3"
    [event] = calls.posted
    assert event.instances == (messages.InventoryInstance(**INSTANCE),)
    assert (event.requested_s, event.since, event.version, event.removed) == (7.0, 3, 4, ("i2",))


def test_a_call_carries_its_epoch(calls: Calls) -> None:
    """A join sends pool and epoch, and the state that the platform returns is reported."""
    calls.execute(messages.JoinPool("i1", "fleet/judging", 12), answer({"state": "refused"}))
    assert calls.sent[0].path == "/v1/machines/i1/join"
    assert msgspec.json.decode(calls.sent[0].body) == {"epoch": 12, "pool": "fleet/judging"}
    assert calls.posted == [messages.StepReported("i1", "join", 12, "refused")]


def test_unreadable_answers_say_nothing(calls: Calls) -> None:
    """Lost, malformed and unknown responses post no event, so that the call is retried."""
    bad = (HttpFailure("timeout", True), HttpAnswer(200, {}, b"x"), answer({"state": "maybe"}))
    for outcome in bad:
        calls.execute(messages.DrainInstance("i1", 3), outcome)
        calls.execute(messages.ReadInventory(0.0, (), 0), outcome)
    assert calls.posted == []
    assert len(calls.lines) == len(bad)
