"""
Withdrawals that go from peer to peer, ahead of the log.

A withdrawal only ever takes something away, so it is in force here as soon as it is heard and
needs no order against other records. It rides on every heartbeat to a peer until that peer has
it, and goes on doing so until it is folded from the log.
"""

from collections.abc import Iterator
from itertools import islice
from typing import NamedTuple

from . import _membership
from ._catch_up import reads_log
from ._effects import Emit, WriteLog
from ._events import PeerReceived, RecordFolded, RecordWanted, Ticked
from ._freshness import is_withdrawn
from ._handlers import HandlerTable
from ._keys import key_name
from ._log_state import NEVER_S, FoldReplaced
from ._membership_messages import Heartbeat
from ._membership_state import ALIVE, DEAD, LEAVING, Peer
from ._records import KEY_WITHDRAWN
from ._state import State

# Withdrawals that one message carries at most; more wait until the log holds some of them.
MAX_WITHDRAWALS_PER_HEARTBEAT = 1000
# Another instance appends a withdrawal when its first one has not in this time.
TAKEOVER_S = 5.0
# A withdrawal has reached all of a zone so long after it left here, when the zone is in touch.
ZONE_PROPAGATION_S = 1.0


class KeyWithdrawalAsked(NamedTuple):
    """
    An operator withdraws a key at this instance, whether or not the log can be reached.

    :param workspace: the key's workspace.
    :param key_id: the key's id.
    """

    workspace: str
    key_id: str


def on_withdrawal_requested(state: State, event: KeyWithdrawalAsked) -> Iterator[object]:
    """
    Withdraw the key here, tell the peers, and want it in the log.
    """
    name = key_name(event.workspace, event.key_id)
    if is_withdrawn(state, name):
        return
    yield from _add(state, name)
    yield _request_record(name)


def on_heartbeat(state: State, event: PeerReceived) -> Iterator[object]:
    """
    Take over what a peer tells of.
    """
    heartbeat = event.message
    peer = state.membership.peers.get(event.sender.instance)
    if not isinstance(heartbeat, Heartbeat) or peer is None or peer.sender != event.sender:
        return
    peer.withdrawn_seen = max(peer.withdrawn_seen, heartbeat.withdrawn_seen)
    # A peer leaves its withdrawals out only when it knows that they are here.
    peer.withdrawn_version = max(peer.withdrawn_version, heartbeat.withdrawn_version)
    for name in heartbeat.withdrawn:
        if not is_withdrawn(state, name):
            yield from _add(state, name)


def on_folded(state: State, event: RecordFolded) -> Iterator[object]:
    """
    Forget what the log now says itself.
    """
    if event.record.kind == KEY_WITHDRAWN:
        _remove_folded(state)
    return iter(())


def on_replaced(state: State, event: FoldReplaced) -> Iterator[object]:
    """
    Forget what the log now says itself.
    """
    _remove_folded(state)
    return iter(())


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Append what its first instance has not.
    """
    if not state.freshness.withdrawn or not reads_log(state):
        return
    takeover_delay_s = TAKEOVER_S * (1 + _own_rank(state))
    for name, learned_s in state.freshness.withdrawn.items():
        if state.now_s - learned_s >= takeover_delay_s:
            state.freshness.withdrawn[name] = state.now_s
            yield _request_record(name)


def unacknowledged_withdrawals(state: State, withdrawn_seen: int) -> tuple[str, ...]:
    """
    Give the withdrawals for a peer.

    :param state: the state.
    :param withdrawn_seen: version of them that the peer has.
    :returns: names of keys, none when the peer has them all.
    """
    freshness = state.freshness
    if freshness.version <= withdrawn_seen:
        return ()
    return tuple(islice(freshness.withdrawn, MAX_WITHDRAWALS_PER_HEARTBEAT))


def told_instances(state: State) -> int:
    """
    Count the peers that are not gone and have every withdrawal of this instance.

    A peer in another zone counts once this instance has heard so from it, or once its whole zone
    was in touch after the last withdrawal was heard of.

    :param state: the state.
    :returns: the count.
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
    # Heartbeats go out with the next tick.
    state.membership.zone_heartbeats_sent_s = NEVER_S
    state.membership.relay_heartbeats_sent_s = NEVER_S
    yield WriteLog("key.withdrawn_ahead", {"key": name})


def _request_record(name: str) -> Emit:
    workspace, _, key_id = name.partition("/")
    body = {"workspace": workspace, "key_id": key_id}
    return Emit(RecordWanted(KEY_WITHDRAWN, f"key/{name}", None, body))


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
