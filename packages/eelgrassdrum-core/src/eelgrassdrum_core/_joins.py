"""
Deduplication of requests by id: a repeat joins the first request and waits for its outcome, or gets
the outcome that was kept.
"""

from collections.abc import Iterator

from . import _joins_claims, _refusals
from ._effects import DropAnswer, Refuse, Reply
from ._events import RequestReceived, Ticked
from ._handlers import HandlerTable
from ._joins_state import ANSWERED, FAILED, OPEN, EndedRequest, KnownRequest
from ._refusals import Refusal
from ._requests import Request
from ._state import State

# Limits per instance on the request ids and answers that are kept for repeats.
MAX_KNOWN = 50_000
MAX_KEPT_BYTES = 16 * 1024 * 1024
FAILED_STATUS = 500
OUTCOME_GONE = Refusal(_refusals.OUTCOME_UNKNOWN, None, "it has run; its answer is kept no more")


def is_full(state: State) -> bool:
    """
    Return whether the table of known request ids is full.

    :param state: the state.
    :returns: whether the table is full.
    """
    return len(state.joins.known) >= MAX_KNOWN


def join_duplicate(state: State, known: KnownRequest, event: RequestReceived) -> Iterator[object]:
    """
    Answer a repeated request, or let it wait for the outcome of the first one.

    :param state: the open exchanges are changed in place.
    :param known: what is known of the request id.
    :param event: the repeat.
    :returns: effects.
    """
    if known.body_hash != event.body_hash:
        yield Refuse(event.token, Refusal(_refusals.REQUEST_CONFLICT))
    elif known.stage == OPEN:
        if not known.tokens and known.req is not None:
            # The first caller has disconnected, so the repeat supplies the body.
            known.req.token = event.token
        _add_token(state, known, event.token, event.request_id)
    elif known.attempt:
        yield Reply(event.token, known.attempt)
    else:
        yield Refuse(event.token, known.refusal or OUTCOME_GONE)


def add_known(state: State, req: Request) -> KnownRequest:
    """
    Add a request that this instance has accepted to the known requests.

    :param state: the known requests are changed in place.
    :param req: the request.
    :returns: its entry.
    """
    known = KnownRequest(req.body_hash, req.idempotent, req, [])
    state.joins.known[req.key] = known
    _add_token(state, known, req.token, req.request_id)
    return known


def remove_exchange(state: State, token: int) -> Request | None:
    """
    Remove an exchange whose caller has disconnected.

    :param state: the known requests are changed in place.
    :param token: the exchange.
    :returns: its request when no other caller waits for it, otherwise ``None``.
    """
    state.requests.open_tokens.pop(token, None)
    key = state.joins.by_token.pop(token, None)
    if key is None:
        return None
    known = state.joins.known[key]
    known.tokens.remove(token)
    if known.tokens and known.req is not None:
        known.req.token = known.tokens[0]
        return None
    return known.req


def has_waiting_callers(state: State, req: Request) -> bool:
    """
    Return whether any caller still waits for a request.

    :param state: the state.
    :param req: an open request.
    :returns: whether one does.
    """
    return bool(state.joins.known[req.key].tokens)


def answer(
    state: State, req: Request, attempt: str, status: int, size_bytes: int
) -> Iterator[object]:
    """
    Send an answer to all exchanges of a request, and keep it for repeats.

    :param state: the known requests are changed in place.
    :param req: the request.
    :param attempt: id of the attempt that was answered.
    :param status: HTTP status of the answer.
    :param size_bytes: size of the answer.
    :returns: effects.
    """
    known = state.joins.known[req.key]
    for token in _close(state, req, known):
        yield Reply(token, attempt)
    if req.idempotent and status >= FAILED_STATUS:
        del state.joins.known[req.key]
        yield DropAnswer(attempt)
        return
    known.stage = ANSWERED
    known.attempt = attempt
    known.size_bytes = size_bytes
    state.joins.kept_answers[attempt] = req.key
    state.joins.kept_bytes += size_bytes
    while state.joins.kept_bytes > MAX_KEPT_BYTES:
        yield _drop_answer(state, next(iter(state.joins.kept_answers)))


def refuse(state: State, req: Request, refusal: Refusal) -> Iterator[object]:
    """
    Refuse all exchanges of a request.

    :param state: the known requests are changed in place.
    :param req: the request.
    :param refusal: the reason; when it states that nothing ran, the claim is released and any
        instance may accept the request again.
    :returns: effects.
    """
    known = state.joins.known[req.key]
    for token in _close(state, req, known):
        yield Refuse(token, refusal)
    if refusal.code.run_state == _refusals.NOT_RUN:
        yield from discard_not_run(state, req)
    elif req.idempotent:
        del state.joins.known[req.key]
    else:
        known.stage = FAILED
        known.refusal = refusal._replace(retry_after_s=None)


def refuse_unclaimed(state: State, req: Request, refusal: Refusal) -> Iterator[object]:
    """
    Refuse all exchanges of a request whose claim was not granted, and remove the request.

    :param state: the known requests are changed in place.
    :param req: the request.
    :param refusal: the reason.
    :returns: effects.
    """
    for token in _close(state, req, state.joins.known[req.key]):
        yield Refuse(token, refusal)
    del state.joins.known[req.key]


def discard_not_run(state: State, req: Request) -> Iterator[object]:
    """
    Remove a request that certainly did not run, and release its claim.

    :param state: the known requests are changed in place.
    :param req: the request.
    :returns: effects.
    """
    known = state.joins.known.pop(req.key)
    if known.claim:
        yield from _joins_claims.release_claim(state, req.key, known.claim)


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Remove ended requests whose retention has expired.
    """
    ended = state.joins.ended
    while ended and ended[0].expires_s <= state.now_s:
        key = ended.popleft().key
        known = state.joins.known.get(key)
        if known is None or known.stage == OPEN or known.expires_s > state.now_s:
            continue
        if known.attempt:
            yield _drop_answer(state, known.attempt)
        state.joins.known.pop(key, None)


def _add_token(state: State, known: KnownRequest, token: int, request_id: str) -> None:
    req = known.req
    known.tokens.append(token)
    state.requests.open_tokens[token] = request_id
    if req is not None:
        state.joins.by_token[token] = req.key


def _close(state: State, req: Request, known: KnownRequest) -> list[int]:
    """
    Close all exchanges of a request, schedule the removal of its entry, and return their tokens.
    """
    tokens = known.tokens
    known.tokens = []
    known.req = None
    for token in tokens:
        state.joins.by_token.pop(token, None)
        state.requests.open_tokens.pop(token, None)
    # Expires with the claim: an earlier removal would let the request run again, and a later one
    # keeps it for longer than needed.
    known.expires_s = max(state.now_s, req.deadline_s) + _joins_claims.OUTCOME_RETENTION_S
    state.joins.ended.append(EndedRequest(req.key, known.expires_s))
    return tokens


def _drop_answer(state: State, attempt: str) -> DropAnswer:
    """
    Discard a kept answer. Only a non-idempotent request stays known, so that a repeat is refused.
    """
    key = state.joins.kept_answers.pop(attempt)
    known = state.joins.known[key]
    state.joins.kept_bytes -= known.size_bytes
    known.attempt = ""
    if known.idempotent:
        del state.joins.known[key]
    return DropAnswer(attempt)


HANDLERS: HandlerTable = {Ticked: on_tick}
