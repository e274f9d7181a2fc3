"""
What instances say to one another: records of callers, handed to the owner of the log.

HTTP is used rather than messages over pynng, since the sender has to know whether any byte of a
request may have been sent: records that certainly were not may be refused to their caller.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from eelgrassdrum_core.jobs import effects, events

from .._http_messages import ClientRequest, HttpFailure, HttpOutcome
from .._http_pool import HttpPool
from .._server_state import Exchange

RECORDS_PATH = "/records"
STATUS_BY_OUTCOME = {events.OK: 200, events.REFUSED: 409, events.UNKNOWN: 504}
OUTCOME_BY_STATUS = {status: outcome for outcome, status in STATUS_BY_OUTCOME.items()}
MALFORMED_STATUS = 400


class _Records(msgspec.Struct, array_like=True):
    epoch: int
    records: tuple[bytes, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Records)


def make_record_forwarder(
    pool: HttpPool, post: Callable[[object], None], channel: str
) -> Callable[[effects.Forward], None]:
    """
    Give the function that sends records of callers to the owner.

    :param pool: sends the requests.
    :param post: takes the outcome, as an append of the channel.
    :param channel: whose records they are.
    :returns: the function.
    """

    def forward(effect: effects.Forward) -> None:
        def on_done(outcome: HttpOutcome) -> None:
            post(events.Appended(channel, effect.seq, *to_append_outcome(outcome)))

        body = _encoder.encode(_Records(effect.epoch, effect.records))
        pool.submit(
            ClientRequest(
                effect.address, "POST", RECORDS_PATH, effect.timeout_s, on_done, body=body
            )
        )

    return forward


def to_append_outcome(outcome: HttpOutcome) -> tuple[str, str]:
    """
    Say what became of forwarded records.

    :param outcome: the owner's answer, or why there is none.
    :returns: one of the outcomes of `events`, and its detail.
    """
    if isinstance(outcome, HttpFailure):
        return (events.UNKNOWN if outcome.sent else events.REFUSED), outcome.reason
    if outcome.status == MALFORMED_STATUS:
        return events.REFUSED, str(outcome.status)
    return OUTCOME_BY_STATUS.get(outcome.status, events.UNKNOWN), str(outcome.status)


def decode_records(exchange: Exchange) -> Any:
    """
    Read records that another instance sends.

    :param exchange: its request.
    :returns: the event, or ``None`` when the request is malformed.
    """
    if exchange.req.method != "POST" or exchange.req.path != RECORDS_PATH:
        return None
    try:
        message = _decoder.decode(exchange.body)
    except msgspec.MsgspecError:
        return None
    return events.PeerRecords(exchange.token, message.epoch, message.records)
