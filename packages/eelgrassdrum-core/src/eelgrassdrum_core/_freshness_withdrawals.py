"""
Propagation of key withdrawals between peers, without waiting for the log.

A withdrawal only ever removes permissions, so it takes effect as soon as it arrives and needs no
order relative to other records. It is piggybacked on every heartbeat to a peer until that peer has
acknowledged it, and it is retained until it is folded from the log.
"""

from collections.abc import Iterator
from itertools import islice
from typing import NamedTuple

from . import _membership
from ._catch_up import reads_log
from ._effects import Emit, WriteLog
from ._events import PeerReceived, RecordFolded, RecordProposed, Ticked
from ._freshness import is_withdrawn
from ._handlers import HandlerTable
from ._keys import key_name
from ._log_state import NEVER_S, FoldReplaced
from ._membership_messages import Heartbeat
from ._membership_state import ALIVE, DEAD, LEAVING, Peer
from ._records import KEY_WITHDRAWN
from ._state import State

# Further withdrawals wait until some of these are folded from the log.
MAX_WITHDRAWALS_PER_HEARTBEAT = 1000
# The next instance appends a withdrawal that its first one has not appended in this time.
TAKEOVER_S = 5.0
# A withdrawal reaches all instances of a reachable zone within this time.
ZONE_PROPAGATION_S = 1.0


class KeyWithdrawalAsked(NamedTuple):
    """
    An operator withdraws a key at this instance, whether or not the log is available.

    :param workspace: the key's workspace.
    :param key_id: the key's id.
    """

    workspace: str
    key_id: str


def on_withdrawal_requested(state: State, event: KeyWithdrawalAsked) -> Iterator[object]:
    """
    Withdraw the key here, propagate it to the peers, and propose a record for the log.
    """
    name = key_name(event.workspace, event.key_id)
    if is_withdrawn(state, name):
        return
    yield from _add(state, name)
    yield _propose_record(name)


def on_heartbeat(state: State, event: PeerReceived) -> Iterator[object]:
    """
    Merge the withdrawals of a peer's heartbeat.
    """
    heartbeat = event.message
    peer = state.membership.peers.get(event.sender.instance)
    if not isinstance(heartbeat, Heartbeat) or peer is None or peer.sender != event.sender:
        return
    peer.withdrawn_seen = max(peer.withdrawn_seen, heartbeat.withdrawn_seen)
    # A peer omits its withdrawals only when this instance has acknowledged them.
    peer.withdrawn_version = max(peer.withdrawn_version, heartbeat.withdrawn_version)
    for name in heartbeat.withdrawn:
        if not is_withdrawn(state, name):
            yield from _add(state, name)


def on_folded(state: State, event: RecordFolded) -> Iterator[object]:
    """
    Remove withdrawals that are now folded from the log.
    """
    if event.record.kind == KEY_WITHDRAWN:
        _remove_folded(state)
    return iter(())


def on_replaced(state: State, event: FoldReplaced) -> Iterator[object]:
    """
    Remove withdrawals that are now folded from the log.
    """
    _remove_folded(state)
    return iter(())


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Propose records for withdrawals that have not appeared in the log in time.
    """
    if not state.freshness.withdrawn or not reads_log(state):
        return
    takeover_delay_s = TAKEOVER_S * (1 + _own_rank(state))
    for name, learned_s in state.freshness.withdrawn.items():
        if state.now_s - learned_s >= takeover_delay_s:
            state.freshness.withdrawn[name] = state.now_s
            yield _propose_record(name)


def unacknowledged_withdrawals(state: State, withdrawn_seen: int) -> tuple[str, ...]:
    """
    Return the withdrawals that a peer has not acknowledged.

    :param state: the state.
    :param withdrawn_seen: version of this instance's withdrawals that the peer has.
    :returns: names of withdrawn keys, empty when the peer has them all.
    """
    freshness = state.freshness
    if freshness.version <= withdrawn_seen:
        return ()
    return tuple(islice(freshness.withdrawn, MAX_WITHDRAWALS_PER_HEARTBEAT))


def told_instances(state: State) -> int:
    """
    Count the peers, other than dead or leaving ones, that have every withdrawal of this instance.

    A peer counts once it has acknowledged them. A peer in another zone also counts once its zone
    was reachable after the arrival of the last withdrawal.

    :param state: the state.
    :returns: the number of peers.
    """
    return sum(
        _has_acknowledged(state, peer)
        for peer in state.membership.peers.values()
        if peer.state not in (DEAD, LEAVING)
    )


def _has_acknowledged(state: State, peer: Peer) -> bool:
    freshness = state.freshness
    if not freshness.withdrawn or peer.withdrawn_seen >= freshness.version:
        return True
    if peer.sender.zone == state.identity.sender.zone:
        return False
    zone_s = state.membership.zones.get(peer.sender.zone, NEVER_S)
    return zone_s - ZONE_PROPAGATION_S >= max(freshness.withdrawn.values())


def _add(state: State, name: str) -> Iterator[object]:
    freshness = state.freshness
    freshness.withdrawn[name] = state.now_s
    freshness.version += 1
    # Makes heartbeats due at the next tick.
    state.membership.zone_heartbeats_sent_s = NEVER_S
    state.membership.relay_heartbeats_sent_s = NEVER_S
    yield WriteLog("key.withdrawn_ahead", {"key": name})


def _propose_record(name: str) -> Emit:
    workspace, _, key_id = name.partition("/")
    body = {"workspace": workspace, "key_id": key_id}
    return Emit(RecordProposed(KEY_WITHDRAWN, f"key/{name}", None, body))


def _remove_folded(state: State) -> None:
    withdrawn = state.freshness.withdrawn
    for name in [name for name in withdrawn if name in state.fold.keys.withdrawn]:
        del withdrawn[name]


def _own_rank(state: State) -> int:
    own = state.identity.sender
    peers = state.membership.peers.values()
    alive = [own, *(peer.sender for peer in peers if peer.state == ALIVE)]
    return _membership.rank("withdrawals", alive).index(own)


HANDLERS: HandlerTable = {
    KeyWithdrawalAsked: on_withdrawal_requested,
    PeerReceived: on_heartbeat,
    RecordFolded: on_folded,
    FoldReplaced: on_replaced,
    Ticked: on_tick,
}
