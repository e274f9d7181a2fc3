"""
Tests of the path of a request through the reducer.
"""

from eelgrassdrum_core import (
    DOCUMENT_PUBLISHED,
    KEY_GRANTED,
    KEY_WITHDRAWN,
    Credential,
    Identity,
    Record,
    RecordId,
    Sender,
    State,
    StoredRecord,
    Tuning,
    digest_secret,
    effects,
    events,
    new_state,
    parse_credential,
    reduce,
    refusals,
)

KEY_TEXT = "egd_k1_s3cret"
DOCUMENT = {
    "services": [{"name": "judging", "executors": 1, "max_unavailable": 0}],
    "queues": [
        {
            "name": "scores",
            "service": "judging",
            "access": "keyed",
            "max_queued": 2,
            "max_bytes": 1000,
            "max_wait_s": 5.0,
            "max_run_s": 10.0,
        }
    ],
    "teams": [{"name": "judges", "share": 1.0, "limit": 2}],
}
GRANT = {
    "workspace": "show",
    "key_id": "k1",
    "team": "judges",
    "digest": digest_secret("s3cret"),
    "queues": [],
}
ALLOWANCE = {"team": "show/judges", "held": {"entry-a1:1": 2}}


def record(sequence: int, kind: str, subject: str, base: int | None, body: dict) -> StoredRecord:
    """
    Build a stored record whose offset equals its sequence number.
    """
    return StoredRecord(
        sequence, Record(RecordId("operator", 1, sequence), kind, subject, base, body)
    )


def own_record(offset: int, kind: str, subject: str, body: dict) -> StoredRecord:
    """
    Build a stored record written by the instance under test, the first of its subject.
    """
    return StoredRecord(offset, Record(RecordId("entry-a1", 1, offset), kind, subject, 0, body))


def make_state() -> State:
    """
    Return an instance with a queue, a key, the team's whole limit and one endpoint with one slot.
    """
    identity = Identity(Sender("entry-a1", 1, "a"), "127.0.0.1:1", "127.0.0.1:2")
    state = new_state(identity, Tuning(entry_instances=1))
    published = {"name": "show", "document": DOCUMENT, "author": "op", "comment": ""}
    records = (
        record(1, DOCUMENT_PUBLISHED, "document/show", 0, published),
        record(2, KEY_GRANTED, "key/show/k1", 0, GRANT),
        own_record(3, "holder.renewed", "holder/entry-a1", {"zone": "a", "sent_s": 1.0}),
        own_record(4, "allowance.moved", "allowance/show/judges", ALLOWANCE),
    )
    reduce(state, 1.0, events.LogRead(records, 4))
    endpoint = events.ListedInstance("ep-1", "endpoint", "127.0.0.1:9", "a", service="show/judging")
    reduce(state, 1.0, events.InstancesListed((endpoint,)))
    return state


def submit(token: int, credential: Credential | None, **changes: object) -> events.RequestReceived:
    """
    Build the event of a request to the queue.
    """
    request = events.RequestReceived(
        token, f"r{token}", "show/scores", credential, False, False, 2.0, 10
    )
    return request._replace(**changes)


def effects_of_type(kind: type, produced: list[object]) -> list:
    """
    Return the effects of one type.
    """
    return [effect for effect in produced if isinstance(effect, kind)]


FIXTURES = {"state": make_state, "credential": lambda: parse_credential(KEY_TEXT)}


def test_answer_reaches_its_caller(state: State, credential: Credential) -> None:
    """
    A request with a granted key is dispatched, and the response is sent to its own exchange.
    """
    _, produced = reduce(state, 2.0, submit(7, credential))
    [dispatch] = effects_of_type(effects.Dispatch, produced)
    assert (dispatch.token, dispatch.endpoint, dispatch.team) == (7, "ep-1", "show/judges")
    _, produced = reduce(state, 2.5, events.AttemptAnswered(dispatch.attempt, 200, 5))
    assert effects_of_type(effects.Reply, produced) == [effects.Reply(7, dispatch.attempt)]
    assert state.requests.open_tokens == {}


def test_second_answer_is_dropped(state: State, credential: Credential) -> None:
    """
    A duplicate response of an attempt is dropped.
    """
    _, produced = reduce(state, 2.0, submit(7, credential))
    [dispatch] = effects_of_type(effects.Dispatch, produced)
    answer = events.AttemptAnswered(dispatch.attempt, 200, 5)
    reduce(state, 2.5, answer)
    _, produced = reduce(state, 2.6, answer)
    assert effects_of_type(effects.Reply, produced) == []
    assert effects_of_type(effects.DropAnswer, produced) == [effects.DropAnswer(dispatch.attempt)]


def test_withdrawn_key_is_refused(state: State, credential: Credential) -> None:
    """
    A withdrawn key is refused, also when a later record grants it again.
    """
    body = {"workspace": "show", "key_id": "k1"}
    records = (
        record(5, KEY_WITHDRAWN, "key/show/k1", None, body),
        record(6, KEY_GRANTED, "key/show/k1", 5, GRANT),
    )
    reduce(state, 2.0, events.LogRead(records, 6))
    _, produced = reduce(state, 2.0, submit(7, credential))
    [refuse] = effects_of_type(effects.Refuse, produced)
    assert refuse.refusal.code == refusals.KEY_REFUSED


def test_non_idempotent_attempt_is_not_sent_again(state: State, credential: Credential) -> None:
    """
    If bytes were sent and no response arrived, the outcome is reported to the caller as unknown.
    """
    _, produced = reduce(state, 2.0, submit(7, credential))
    [dispatch] = effects_of_type(effects.Dispatch, produced)
    _, produced = reduce(state, 2.1, events.AttemptFailed(dispatch.attempt, True, "closed"))
    [refuse] = effects_of_type(effects.Refuse, produced)
    assert refuse.refusal.code.run_state == refusals.UNKNOWN
    assert effects_of_type(effects.Dispatch, produced) == []


def test_unsent_attempt_is_tried_again(state: State, credential: Credential) -> None:
    """
    If no byte was sent, the request is dispatched again as a new attempt.
    """
    _, produced = reduce(state, 2.0, submit(7, credential))
    [first] = effects_of_type(effects.Dispatch, produced)
    reduce(state, 2.1, events.AttemptFailed(first.attempt, False, "connect"))
    _, produced = reduce(state, 3.0, events.Ticked())
    [second] = effects_of_type(effects.Dispatch, produced)
    assert second.token == 7
    assert second.attempt != first.attempt


def test_stale_writer_loses(state: State) -> None:
    """
    Of two documents that build on the same revision, only the first in the log is accepted.
    """
    published = {"name": "show", "document": DOCUMENT, "author": "op", "comment": ""}
    records = (
        record(5, DOCUMENT_PUBLISHED, "document/show", 1, {**published, "comment": "first"}),
        record(6, DOCUMENT_PUBLISHED, "document/show", 1, {**published, "comment": "second"}),
    )
    reduce(state, 2.0, events.LogRead(records, 6))
    assert state.fold.config.documents["show"][-1].comment == "first"
    decision = state.fold.position.decisions[RecordId("operator", 1, 6)]
    assert (decision.accepted, decision.overtaken_by) == (False, 5)


# Guards against a refusal that was decided by a former incarnation and took its successor out of
# use for good, in the whole zone.
def test_refusal_of_a_former_incarnation_says_nothing_about_the_next(
    state: State, credential: Credential
) -> None:
    """
    A refusal of an attempt that was sent to an older incarnation doesn't make the newer one leave.
    """
    _, produced = reduce(state, 2.0, submit(7, credential))
    [dispatch] = effects_of_type(effects.Dispatch, produced)
    listed = events.ListedInstance("ep-1", "endpoint", "127.0.0.1:9", "a", service="show/judging")
    reduce(state, 2.1, events.InstancesListed((listed._replace(incarnation=1),)))
    _, produced = reduce(state, 2.2, events.AttemptRefused(dispatch.attempt, True))
    assert effects_of_type(effects.WriteLog, produced) == []
    assert not state.endpoints.endpoints["ep-1"].leaving
    _, produced = reduce(state, 3.0, events.Ticked())
    assert len(effects_of_type(effects.Dispatch, produced)) == 1
