"""
Hands what callers sent to the owner, which appends it together with its own records.

A partition of the store works off one append at a time, so with many instances that append on their
own a slow store falls behind, and the owner's records wait among theirs. Without an owner that
answers, an instance appends by itself; a record that stands in the log twice changes nothing.
"""

from typing import NamedTuple

from . import _journal, effects, events
from ._node import CallerRecords, Moment, Node, emit, log_line
from ._records import Cancelled, Submitted, decode_record

# Time for the owner to append what it was given: two appends of the slowest store seen, which took
# 0.4 s each, and as much for the owner's own work.
TIMEOUT_S = 1.6
# An instance whose owner did not take records appends by itself for this long, as long as a new
# owner takes to be found.
DIRECT_APPEND_S = 1.0


class Route(NamedTuple):
    """
    Where records go.

    :param address: the owner's address, or empty for the store.
    :param epoch: the owner's epoch.
    """

    address: str
    epoch: int


TO_STORE = Route("", 0)


def choose_route(node: Node, at: Moment) -> Route:
    """
    Choose where the records of callers go.

    :param node: the instance.
    :param at: the current time.
    :returns: the owner, or the store while no owner takes them.
    """
    replicated = node.replicated
    is_known = replicated.owner is not None and replicated.owner_address and node.identity.address
    if not is_known or at.now_s < node.intake.direct_until_s:
        return TO_STORE
    return Route(replicated.owner_address, replicated.epoch)


def send(node: Node, at: Moment, route: Route, seq: int, records: tuple[bytes, ...]) -> None:
    """
    Send the records of callers to the owner.

    :param node: the instance.
    :param at: the current time.
    :param route: the owner.
    :param seq: number of the batch.
    :param records: the records.
    """
    if node.ownership.is_owner:
        _journal.add_callers_records(node, CallerRecords(None, seq, records, at.now_s))
    else:
        emit(node, effects.Forward(route.address, route.epoch, seq, records, TIMEOUT_S))


def on_received(node: Node, at: Moment, event: events.PeerRecords) -> None:
    """
    Take the records that another instance sends.

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
    _journal.add_callers_records(node, CallerRecords(event.token, 0, event.records, at.now_s))


def _is_callers_record(data: bytes) -> bool:
    return isinstance(decode_record(data), Submitted | Cancelled)
