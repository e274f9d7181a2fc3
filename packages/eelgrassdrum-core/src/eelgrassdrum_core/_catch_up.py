"""
Catch-up from peers, for instances that cannot read the log.

Records keep their offsets, so the fold is the same whether they come from the log or from a peer.
An instance requests records from a peer that has folded further. When the peer no longer holds
them, a snapshot is used instead.
"""

from collections.abc import Iterator
from typing import NamedTuple

from ._effects import Emit, SendPeer
from ._events import PeerReceived, Ticked
from ._handlers import HandlerTable
from ._log_follower import fold_stored
from ._log_state import NEVER_S, SnapshotNeeded
from ._membership_messages import Heartbeat
from ._membership_state import DEAD, Peer
from ._records import StoredRecord
from ._snapshots_state import WHOLE
from ._state import State
from ._wire import register_message

ANSWER_TIMEOUT_S = 1.0
ANSWER_BYTES = 256 * 1024
# An instance that can read the log waits this long for it before it asks a peer.
LOG_GRACE_S = 1.0


@register_message
class RecordsAsked(NamedTuple):
    """
    Asks a peer for records that it has folded.

    :param from_offset: first offset requested.
    """

    from_offset: int


@register_message
class RecordsGiven(NamedTuple):
    """
    Folded records of the sender.

    :param records: records in offset order, possibly only a part.
    :param first: oldest offset that the sender holds.
    :param next_offset: first offset that the sender has not folded.
    :param caught_up: whether the sender's fold is complete.
    """

    records: tuple[StoredRecord, ...]
    first: int
    next_offset: int
    caught_up: bool


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Request records when a peer has folded further.
    """
    yield from _request_records(state)


def on_peer(state: State, event: PeerReceived) -> Iterator[object]:
    """
    Send records, apply records, or request them when a heartbeat shows that a peer is ahead.
    """
    peer = state.membership.peers.get(event.sender.instance)
    if peer is None or peer.sender != event.sender:
        return
    if isinstance(event.message, Heartbeat):
        yield from _request_records(state)
    elif isinstance(event.message, RecordsAsked):
        yield from _send_records(state, peer, event.message.from_offset)
    elif isinstance(event.message, RecordsGiven):
        yield from _apply_records(state, peer, event.message)


def reads_log(state: State) -> bool:
    """
    Return whether this instance can read from the log service.

    :param state: the state.
    :returns: whether the last read succeeded, and not too long ago.
    """
    log = state.log
    max_silence_s = state.tuning.log_wait_s + LOG_GRACE_S
    return log.available and state.now_s - log.answered_s <= max_silence_s


def _request_records(state: State) -> Iterator[object]:
    catch_up = state.catch_up
    if state.snapshots.phase != WHOLE:
        return
    ahead = _peers_ahead(state)
    if not ahead:
        catch_up.ahead_since_s = NEVER_S
        return
    if catch_up.ahead_since_s == NEVER_S:
        catch_up.ahead_since_s = state.now_s
    if reads_log(state) and state.now_s - catch_up.ahead_since_s < LOG_GRACE_S:
        return
    if catch_up.peer and state.now_s - catch_up.requested_s < ANSWER_TIMEOUT_S:
        return
    # A peer that has not answered is asked again only when no other peer is ahead.
    others = [peer for peer in ahead if peer.sender.instance != catch_up.peer]
    chosen = (others or ahead)[0]
    catch_up.peer = chosen.sender.instance
    catch_up.requested_s = state.now_s
    yield SendPeer(chosen.peer_address, RecordsAsked(state.fold.position.next_offset))


def _peers_ahead(state: State) -> list[Peer]:
    own_zone = state.identity.sender.zone
    own_offset = state.fold.position.next_offset
    # An instance that has not caught up also asks peers at its own offset, because the answer of a
    # caught-up peer shows that it has caught up as well.
    wanted = own_offset + 1 if state.log.caught_up else max(2, own_offset)
    ahead = [
        peer
        for peer in state.membership.peers.values()
        if peer.next_offset >= wanted and peer.state != DEAD
    ]
    return sorted(ahead, key=lambda p: (p.sender.zone != own_zone, -p.last_seen_s))


def _send_records(state: State, peer: Peer, from_offset: int) -> Iterator[object]:
    records = state.tail.records
    own_next = state.fold.position.next_offset
    first = records[0].stored.offset if records else own_next
    chosen: list[StoredRecord] = []
    size = 0
    if first <= from_offset < own_next:
        for index in range(from_offset - first, len(records)):
            size += records[index].size_bytes
            if chosen and size > ANSWER_BYTES:
                break
            chosen.append(records[index].stored)
    state.catch_up.records_given += len(chosen)
    answer = RecordsGiven(tuple(chosen), first, own_next, state.log.caught_up)
    yield SendPeer(peer.peer_address, answer)


def _apply_records(state: State, peer: Peer, reply: RecordsGiven) -> Iterator[object]:
    if peer.sender.instance == state.catch_up.peer:
        state.catch_up.peer = ""
    if state.snapshots.phase != WHOLE:
        return
    before = state.fold.position.next_offset
    for stored in reply.records:
        yield from fold_stored(state, stored)
    own_next = state.fold.position.next_offset
    state.catch_up.records_taken += own_next - before
    if reply.caught_up and own_next >= reply.next_offset:
        state.log.caught_up = True
    elif reply.first > own_next and not reads_log(state):
        yield Emit(SnapshotNeeded("peer holds no older records"))
    elif own_next > before:
        yield from _request_records(state)


HANDLERS: HandlerTable = {Ticked: on_tick, PeerReceived: on_peer}
