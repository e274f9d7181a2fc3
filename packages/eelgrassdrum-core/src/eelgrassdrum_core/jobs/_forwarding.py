"""
Forwards callers' records to the owner, which appends them together with its own records.

A partition of the store processes one append at a time. If many instances appended on their own, a
slow store would fall behind and the owner's records would queue among theirs. If the owner doesn't
respond, an instance appends directly. Callers' records are idempotent, so duplicates in the log are
harmless.
"""

from typing import NamedTuple

from . import _journal, _refusals, effects, events
from ._node import CallerRecords, Moment, Node, emit, log_line
from ._records import Cancelled, Submitted, decode_record

# Timeout of a forwarded batch: two appends to the slowest store observed, 0.4 s each, and the same
# again for the owner's own work.
TIMEOUT_S = 1.6
# Time after which an owner that can be reached has given back records that wait for its append,
# which it does after `_journal.MAX_QUEUED_S`.
ANSWER_S = 1.0
# Time for which an instance appends directly after the owner didn't accept its records; about as
# long as it takes until there is a new owner.
DIRECT_APPEND_S = 1.0


class Route(NamedTuple):
    """
    The destination of callers' records.

    :param address: address of the owner, or empty for the store.
    :param epoch: epoch of the owner, or 0 for the store.
    """

    address: str
    epoch: int


TO_STORE = Route("", 0)


def choose_route(node: Node, at: Moment) -> Route:
    """
    Choose the destination of callers' records.

    :param node: the instance.
    :param at: the current time.
    :returns: the owner, or the store while no owner accepts records.
    """
    replicated = node.replicated
    is_known = replicated.owner is not None and replicated.owner_address and node.identity.address
    direct_until_s = max(node.intake.direct_until_s, node.intake.unheard_until_s)
    if not is_known or at.now_s < direct_until_s:
        return TO_STORE
    return Route(replicated.owner_address, replicated.epoch)


def send(
    node: Node,
    at: Moment,
    route: Route,
    seq: int,
    records: tuple[bytes, ...],
    may_refuse: bool = False,
) -> None:
    """
    Forward callers' records to the owner, or add them to the journal if this instance owns the log.

    :param node: the instance.
    :param at: the current time.
    :param route: the owner.
    :param seq: sequence number of the batch.
    :param records: the encoded records.
    :param may_refuse: whether none of the records can be in the log already, so that the owner may
        refuse single jobs.
    """
    if node.ownership.is_owner:
        _add(node, at, None, seq, records, may_refuse)
    else:
        forward = effects.Forward(route.address, route.epoch, seq, records, TIMEOUT_S, may_refuse)
        emit(node, forward)


def _add(
    node: Node,
    at: Moment,
    token: int | None,
    seq: int,
    records: tuple[bytes, ...],
    may_refuse: bool,
) -> None:
    """
    Add callers' records to the journal, except those of jobs that are refused.
    """
    accepted, refused = _refusals.select_accepted(node, at, records, may_refuse)
    item = CallerRecords(token, seq, accepted, at.now_s, refused)
    _journal.add_callers_records(node, item)


def on_received(node: Node, at: Moment, event: events.PeerRecords) -> None:
    """
    Append callers' records from another instance, or refuse them if this isn't the addressed owner.

    Records of other types are refused, so that no instance can append owner records this way.

    :param node: the instance.
    :param at: the current time.
    :param event: the records.
    """
    ownership = node.ownership
    is_addressed_owner = (
        ownership.is_owner and event.epoch == ownership.epoch and not node.is_stopping
    )
    if not is_addressed_owner or not all(_is_callers_record(data) for data in event.records):
        emit(node, effects.AnswerPeer(event.token, events.REFUSED))
        log_line(
            node,
            "records.refused",
            epoch=event.epoch,
            own_epoch=ownership.epoch,
            is_owner=ownership.is_owner,
            records=len(event.records),
        )
        return
    _add(node, at, event.token, 0, event.records, event.may_refuse)


def _is_callers_record(data: bytes) -> bool:
    return isinstance(decode_record(data), Submitted | Cancelled)
