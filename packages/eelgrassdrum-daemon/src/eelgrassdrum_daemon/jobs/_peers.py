"""
The exchange between instances: callers' records are forwarded to the owner of the log.

It uses HTTP instead of messages over pynng because the sender has to know whether any byte of a
request may have been sent: records that were certainly not sent may be refused to their callers.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from eelgrassdrum_core.jobs import effects, events
from eelgrassdrum_core.jobs.model import Refusal

from .._http_messages import ClientRequest, HttpFailure, HttpOutcome
from .._http_pool import HttpPool
from .._server_state import Exchange

RECORDS_PATH = "/records"
STATUS_BY_OUTCOME = {events.OK: 200, events.REFUSED: 409, events.UNKNOWN: 504}
OUTCOME_BY_STATUS = {status: outcome for outcome, status in STATUS_BY_OUTCOME.items()}
MALFORMED_STATUS = 400
# With these statuses the owner's server states that it hasn't taken the records.
UNTAKEN_STATUSES = frozenset({MALFORMED_STATUS, 413})


class _Records(msgspec.Struct, array_like=True):
    # The former release passes over further fields, and sends none: it handles no refusals.
    epoch: int
    records: tuple[bytes, ...]
    may_refuse: bool = False


class _Answer(msgspec.Struct, array_like=True):
    refused: tuple[Refusal, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Records)
_answer_decoder = msgspec.msgpack.Decoder(_Answer)


def make_record_forwarder(
    pool: HttpPool, post: Callable[[object], None], channel: str
) -> Callable[[effects.Forward], None]:
    """
    Build the function that forwards callers' records to the owner.

    :param pool: connections to the owner.
    :param post: receives the outcome as an `Appended` event.
    :param channel: channel of that event.
    :returns: a function that executes the effect `Forward`.
    """

    def forward(effect: effects.Forward) -> None:
        def on_done(outcome: HttpOutcome) -> None:
            result, detail = to_append_outcome(outcome)
            refused = decode_refusals(outcome)
            if refused is None:
                # Some records may not have been appended, but which ones is unknown.
                result, detail, refused = events.UNKNOWN, "unreadable_answer", ()
            post(events.Appended(channel, effect.seq, result, detail, refused))

        body = _encoder.encode(_Records(effect.epoch, effect.records, effect.may_refuse))
        pool.submit(
            ClientRequest(
                effect.address, "POST", RECORDS_PATH, effect.timeout_s, on_done, body=body
            )
        )

    return forward


def to_append_outcome(outcome: HttpOutcome) -> tuple[str, str]:
    """
    Translate the outcome of a forwarding request to the outcome of an append.

    Without a response the outcome is `UNSENT` if no byte can have been sent, otherwise `UNKNOWN`.

    :param outcome: the owner's response, or the reason why there is none.
    :returns: one of the outcomes of `events`, and its detail.
    """
    if isinstance(outcome, HttpFailure):
        return (events.UNKNOWN if outcome.sent else events.UNSENT), outcome.reason
    if outcome.status in UNTAKEN_STATUSES:
        return events.REFUSED, str(outcome.status)
    return OUTCOME_BY_STATUS.get(outcome.status, events.UNKNOWN), str(outcome.status)


def encode_answer(effect: effects.AnswerPeer) -> tuple[int, bytes]:
    """
    Encode the owner's answer to forwarded records.

    :param effect: the outcome.
    :returns: status and body of the response; the body is empty if no job was refused.
    """
    body = _encoder.encode(_Answer(effect.refused)) if effect.refused else b""
    return STATUS_BY_OUTCOME[effect.outcome], body


def decode_refusals(outcome: HttpOutcome) -> tuple[Refusal, ...] | None:
    """
    Decode the refused jobs in the owner's answer.

    :param outcome: the owner's response, or the reason why there is none.
    :returns: the refused jobs, or ``None`` if the response can't be read.
    """
    if isinstance(outcome, HttpFailure) or outcome.status not in OUTCOME_BY_STATUS:
        return ()
    if not outcome.body:
        return ()
    try:
        return _answer_decoder.decode(outcome.body).refused
    except msgspec.MsgspecError:
        return None


def decode_records(exchange: Exchange) -> Any:
    """
    Decode a request in which another instance forwards records.

    :param exchange: the request.
    :returns: the event, or ``None`` when the request is malformed.
    """
    if exchange.req.method != "POST" or exchange.req.path != RECORDS_PATH:
        return None
    try:
        message = _decoder.decode(exchange.body)
    except msgspec.MsgspecError:
        return None
    return events.PeerRecords(exchange.token, message.epoch, message.records, message.may_refuse)
