"""
Leases of holders: their renewal, extension and release, and the reclaim of expired ones.

Leases are renewed in the log, and extended by reclaimers while the log is unavailable. A holder
counts its lease from before it sent the renewal. A reclaimer counts from after it observed the
renewal and adds a margin for clock drift, so a valid lease is never reclaimed.
"""

from collections.abc import Iterator

from ._allowance_fold import RECLAIMERS, HolderLease, rank, registered_keys
from ._allowance_messages import (
    HOLDER_RECLAIMED,
    HOLDER_RELEASED,
    HOLDER_RENEWED,
    ExtensionAsked,
    ExtensionGiven,
    holder_key,
    holder_subject,
)
from ._allowance_state import LeaseWatch
from ._effects import Emit, SendPeer, WriteLog
from ._events import (
    CapacityChanged,
    PeerReceived,
    RecordFolded,
    RecordProposed,
    Ticked,
)
from ._handlers import HandlerTable
from ._ids import Sender
from ._state import State

LEASE_S = 30.0
# Age at which a lease is renewed; less for a holder that lacks some of its reclaimers, because its
# lease can't be extended while the log is unavailable.
RENEW_AFTER_S = 10.0
RENEW_UNPROTECTED_AFTER_S = 1.0
# Time after which a renewal without a known outcome is proposed again.
RENEWAL_TIMEOUT_S = 60.0
# Remaining lease below which a holder requests extensions from its reclaimers.
EXTEND_BELOW_S = 15.0
EXTEND_EVERY_S = 2.0
# Longest time after its last renewal in the log for which a lease can be extended.
MAX_EXTENSION_S = 3600.0
# Bound of the relative drift between two clocks, and time added for rounding.
CLOCK_RATE_MARGIN = 0.01
RECLAIM_MARGIN_S = 1.0
# Longest time that a stopping instance waits until its release is in the log.
RELEASE_WAIT_S = 5.0
# Delay between the attempts of successive reclaimers, so that usually only one writes a record.
RECLAIM_STAGGER_S = 1.0


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Renew or release this instance's lease, and watch the leases of others.
    """
    if not state.log.caught_up:
        return
    if is_drained(state):
        yield from _release(state)
        return
    yield from _renew(state)
    yield from _request_extension(state)
    yield from _watch_leases(state)


def on_folded(state: State, event: RecordFolded) -> Iterator[object]:
    """
    Start a new lease when this instance's renewal is accepted; restart a watch when its reclaim is
    rejected.
    """
    record = event.record
    sender = state.identity.sender
    if (record.id.writer, record.id.incarnation) != (sender.instance, sender.incarnation):
        return
    if record.kind == HOLDER_RECLAIMED and not event.accepted:
        state.limits.watches.pop(f"{record.body['instance']}:{record.body['incarnation']}", None)
    if record.kind != HOLDER_RENEWED:
        return
    lease = state.limits.lease
    lease.renewal_proposed_at_s = None
    if event.accepted:
        lease.sent_s = float(record.body["sent_s"])
        lease.until_s = max(lease.until_s, lease.sent_s + LEASE_S)
        lease.extensions.clear()
        yield Emit(CapacityChanged())


def on_peer(state: State, event: PeerReceived) -> Iterator[object]:
    """
    Grant a requested extension, or apply a granted one.
    """
    if isinstance(event.message, ExtensionAsked):
        yield from _grant_extension(state, event.sender, event.message)
    elif isinstance(event.message, ExtensionGiven):
        _apply_extension(state, event.sender, event.message)


def is_drained(state: State) -> bool:
    """
    Return whether this instance is stopping and has no requests left.

    :param state: the state.
    :returns: whether its allowances can be released.
    """
    return state.stopping and not state.requests.open_tokens and not state.requests.attempts


def may_exit(state: State) -> bool:
    """
    Return whether a stopping instance may exit.

    :param state: the state.
    :returns: whether it is drained, and the log has released its allowances or didn't do so within
        `RELEASE_WAIT_S`.
    """
    if not is_drained(state):
        return False
    lease = state.limits.lease
    waited_s = state.now_s - lease.released_at_s
    return own_lease(state) is None or (lease.released and waited_s >= RELEASE_WAIT_S)


def own_lease(state: State) -> HolderLease | None:
    """
    Return this instance's lease according to the log.

    :param state: the state.
    :returns: the lease, or ``None`` if this incarnation is not a holder.
    """
    sender = state.identity.sender
    lease = state.fold.allowances.holders.get(sender.instance)
    return lease if lease is not None and lease.incarnation == sender.incarnation else None


def _propose(state: State, kind: str, instance: str, body: dict[str, object]) -> Emit:
    subject = holder_subject(instance)
    base = state.fold.position.revisions.get(subject, 0)
    return Emit(RecordProposed(kind, subject, base, body))


def _renew(state: State) -> Iterator[object]:
    lease = state.limits.lease
    renew_after_s = RENEW_AFTER_S if _has_reclaimers(state) else RENEW_UNPROTECTED_AFTER_S
    is_fresh = lease.until_s - state.now_s > LEASE_S - renew_after_s
    is_pending = (
        lease.renewal_proposed_at_s is not None
        and state.now_s - lease.renewal_proposed_at_s < RENEWAL_TIMEOUT_S
    )
    if is_pending or state.membership.superseded or (is_fresh and own_lease(state) is not None):
        return
    lease.renewal_proposed_at_s = state.now_s
    sender = state.identity.sender
    body = {"zone": sender.zone, "sent_s": state.now_s}
    yield _propose(state, HOLDER_RENEWED, sender.instance, body)


def _has_reclaimers(state: State) -> bool:
    # While the log is unavailable, a lease is extended only if all its reclaimers grant it, so they
    # must be current holders.
    own = own_lease(state)
    registered = registered_keys(state.fold.allowances)
    current_reclaimers = [] if own is None else [key for key in own.reclaimers if key in registered]
    return len(current_reclaimers) >= min(RECLAIMERS, len(registered) - 1)


def _release(state: State) -> Iterator[object]:
    lease = state.limits.lease
    if lease.released or own_lease(state) is None:
        return
    lease.released = True
    lease.released_at_s = state.now_s
    lease.until_s = 0.0
    running = {team: units for team, units in state.limits.running.items() if units > 0}
    body: dict[str, object] = {"running": running}
    yield _propose(state, HOLDER_RELEASED, state.identity.sender.instance, body)


def _request_extension(state: State) -> Iterator[object]:
    lease = state.limits.lease
    own = own_lease(state)
    if own is None or lease.until_s - state.now_s > EXTEND_BELOW_S:
        return
    if state.now_s - lease.asked_at_s < EXTEND_EVERY_S or lease.until_s <= state.now_s:
        return
    lease.asked_at_s = state.now_s
    message = ExtensionAsked(own.renewed_offset, state.now_s)
    instances = registered_keys(state.fold.allowances)
    for key in own.reclaimers:
        peer = state.membership.peers.get(instances.get(key, ""))
        if peer is not None:
            yield SendPeer(peer.peer_address, message)


def _grant_extension(state: State, sender: Sender, asked: ExtensionAsked) -> Iterator[object]:
    watch = state.limits.watches.get(holder_key(sender))
    peer = state.membership.peers.get(sender.instance)
    # A reclaimer whose own lease has expired may itself be reclaimed, and no other instance is
    # bound by an extension that it has granted.
    if watch is None or peer is None or state.limits.lease.until_s <= state.now_s:
        return
    if watch.reclaiming or watch.renewed_offset != asked.renewed_offset:
        return
    watch.since_s = state.now_s
    yield SendPeer(peer.peer_address, ExtensionGiven(asked.renewed_offset, asked.asked_at_s))


def _apply_extension(state: State, sender: Sender, given: ExtensionGiven) -> None:
    own = own_lease(state)
    if own is None or own.renewed_offset != given.renewed_offset or not own.reclaimers:
        return
    lease = state.limits.lease
    key = holder_key(sender)
    lease.extensions[key] = max(given.asked_at_s, lease.extensions.get(key, 0.0))
    if any(reclaimer not in lease.extensions for reclaimer in own.reclaimers):
        return
    asked_s = min(lease.extensions[reclaimer] for reclaimer in own.reclaimers)
    until_s = min(asked_s + LEASE_S, lease.sent_s + MAX_EXTENSION_S)
    lease.until_s = max(lease.until_s, until_s)


def _watch_leases(state: State) -> Iterator[object]:
    allowances = state.fold.allowances
    own_key = holder_key(state.identity.sender)
    registered = registered_keys(allowances)
    watches = state.limits.watches
    state.limits.watches = {}
    for key, instance in registered.items():
        if key == own_key:
            continue
        lease = allowances.holders[instance]
        orphaned = not any(reclaimer in registered for reclaimer in lease.reclaimers)
        watch = watches.get(key)
        if watch is None or (watch.renewed_offset, watch.orphaned) != (
            lease.renewed_offset,
            orphaned,
        ):
            watch = LeaseWatch(lease.renewed_offset, orphaned, state.now_s)
        state.limits.watches[key] = watch
        yield from _reclaim(state, key, lease, watch)


def _reclaim(state: State, key: str, lease: HolderLease, watch: LeaseWatch) -> Iterator[object]:
    """
    Propose the reclaim of a lease that has certainly expired.
    """
    if watch.reclaiming or own_lease(state) is None:
        return
    own_key = holder_key(state.identity.sender)
    order = lease.reclaimers
    if watch.orphaned:
        order = tuple(rank(key, list(registered_keys(state.fold.allowances))))
    wait_s = expiry_wait_s(0.0)
    # An instance that isn't a reclaimer doesn't know which extensions were granted, so it waits for
    # the longest one.
    if own_key in order:
        wait_s += order.index(own_key) * RECLAIM_STAGGER_S
    else:
        wait_s += MAX_EXTENSION_S * (1 + CLOCK_RATE_MARGIN)
    if state.now_s - watch.since_s < wait_s:
        return
    watch.reclaiming = True
    instance = key.rpartition(":")[0]
    yield WriteLog("allowance.reclaiming", {"holder": key})
    body: dict[str, object] = {"instance": instance, "incarnation": lease.incarnation}
    yield _propose(state, HOLDER_RECLAIMED, instance, body)


def expiry_wait_s(grace_s: float) -> float:
    """
    Return the time after which another instance's lease has certainly expired.

    :param grace_s: seconds for which it may continue after its lease expires.
    :returns: seconds by this instance's clock, counted from when the renewal was observed.
    """
    return (LEASE_S + grace_s) * (1 + CLOCK_RATE_MARGIN) + RECLAIM_MARGIN_S


HANDLERS: HandlerTable = {
    Ticked: on_tick,
    RecordFolded: on_folded,
    PeerReceived: on_peer,
}
