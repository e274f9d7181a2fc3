"""
Leader election: decides which instance owns the log and so decides about tasks and instances.

When no record of the owner arrives for a timeout, the log goes to the first instance whose claim is
appended. `_takeover` decides when the log of an owner that is alive is claimed. The store accepts
only one claim per epoch and from then on refuses appends with an older epoch. A claimant takes over
when it reads its own claim; by then it has read all earlier records.
"""

from typing import Any

import xxhash

from . import _freshness, _journal, _reserves, _takeover, effects, events
from ._node import Fleet, Moment, Node, Subscription, emit, log_line
from ._records import Claimed, Released, encode_records
from .model import Bounds

CHANNEL = "claim"
# Minimum time without a record of the owner after which its log is claimed: three heartbeats.
OWNER_TIMEOUT_S = 0.6
# Multiple of the store's response time by which the timeout is extended: one for the owner's append
# and one for the read that returns it.
STORE_DELAY_FACTOR = 2.0
# Minimum timeout as a multiple of the longest recent gap between the owner's records.
OWNER_GAP_FACTOR = 2.0
# Upper bound of the timeout.
MAX_OWNER_TIMEOUT_S = 2.4
# Time from the start of a process after which its own reads show how slow the store is. Until then
# an instance that can't carry all of the owner's load waits for the maximum timeout.
STORE_SEEN_S = 5.0
# Minimum delay after a failed claim, which allows time to read who owns the log.
CLAIM_BACKOFF_S = 0.4
# Jitter between the claims of several instances, so that the others can read the first claim before
# they send theirs.
CLAIM_JITTER_S = 0.1
CLAIM_JITTER_STEPS = 16
# Number of values of the hash from which the jitter is derived.
HASH_RANGE = 2**64
# Maximum extra delay by age: recently started instances claim first, since a rolling restart
# reaches them last.
MAX_AGE_DELAY_S = 0.2
# Age from which the delay by age no longer grows.
OLD_INSTANCE_S = 60.0
# Owner timeout of an instance that may be weaker than another one. It doesn't depend on what either
# has seen: the others wait for at most the maximum timeout, their delay by age and their jitter.
WEAK_OWNER_TIMEOUT_S = MAX_OWNER_TIMEOUT_S + MAX_AGE_DELAY_S
# Extra delay of instances with a slow link or little CPU time: they claim last, because the owner
# sends all orders. The minimum exceeds the interval between two reads of the log, from which the
# other instances notice the owner's timeout, and the jitter.
MIN_WEAKNESS_DELAY_S = 0.8
MAX_WEAKNESS_DELAY_S = 1.0
# Time after which a claim without a response is sent again. If it was appended, it is read from the
# log, however late.
CLAIM_TIMEOUT_S = 1.5
# Pause between two successful appends from which the store counts as having been out of reach.
COMMIT_PAUSE_S = 1.0
# Fraction by which workers' clocks may run slow; waits for the expiry of leases are extended by it.
CLOCK_DRIFT = 0.021
# Safety margin added to every wait for the expiry of a lease.
LEASE_MARGIN_S = 0.3
# Time within which a long-running task must run again after its run has ended, even if only the
# lease of its worker shows that, and the part of it that records, the order and a change of owner
# may take.
MAX_RESTART_S = 9.0
START_TIME_S = 0.8
# Longest lease that an owner grants.
MAX_GRANT_S = (MAX_RESTART_S - START_TIME_S - LEASE_MARGIN_S) / (1 + CLOCK_DRIFT)


def claim_if_due(node: Node, at: Moment) -> None:
    """
    Claim the log if it has no owner, the owner's timeout has passed or the owner is weak.

    :param node: the instance.
    :param at: the current time.
    """
    ownership = node.ownership
    if ownership.is_owner or node.is_stopping or not node.tail.is_caught_up:
        return
    if ownership.is_claiming:
        if at.now_s - ownership.claim_sent_s > CLAIM_TIMEOUT_S:
            ownership.is_claiming = False
        return
    quiet_s = node.tail.answered_s - max(node.tail.owner_record_s, node.tail.readable_since_s)
    wait_s = claim_delay_s(node, at)
    if node.replicated.owner is not None:
        wait_s += _owner_timeout_s(node, at)
    if node.config is None or at.now_s < ownership.next_claim_s:
        return
    is_timeout = quiet_s >= wait_s
    if not is_timeout and not _takeover.is_due(node, at, _hash(node) / HASH_RANGE):
        return
    epoch = max(node.replicated.epoch, ownership.refused_epoch) + 1
    ownership.is_claiming = True
    ownership.is_claim_awaited = True
    ownership.claim_sent_s = at.now_s
    if epoch != ownership.claimed_epoch:
        ownership.claimed_epoch = epoch
        ownership.claim_since_s = at.now_s
    identity = node.identity
    record = Claimed(
        epoch,
        identity.instance,
        identity.incarnation,
        identity.address,
        identity.weakness,
        keeps_bounds=True,
        lease_ms=round(grant_s(node.bounds) * 1000),
        tells_begins=True,
    )
    log_line(
        node,
        "owner.claiming",
        epoch=epoch,
        reason="timeout" if is_timeout else "takeover",
        weakness=identity.weakness,
        former=node.replicated.owner,
        former_weakness=node.replicated.owner_weakness,
        quiet_s=round(quiet_s, 3),
        wait_s=round(wait_s, 3),
        owner_gap_s=round(node.tail.owner_gap_s, 3),
        store_delay_s=round(node.tail.store_delay_s, 3),
        offset=node.replicated.offset,
    )
    data = tuple(encode_records([record]))
    emit(node, effects.Append(CHANNEL, _journal.PRODUCER, epoch, 1, data))
    node.tail.next_read_s = at.now_s


def _owner_timeout_s(node: Node, at: Moment) -> float:
    if may_be_weaker(node):
        return WEAK_OWNER_TIMEOUT_S
    if node.identity.weakness > 0 and at.now_s - node.process_start_s < STORE_SEEN_S:
        return MAX_OWNER_TIMEOUT_S
    tail = node.tail
    timeout_s = max(
        OWNER_TIMEOUT_S + STORE_DELAY_FACTOR * tail.store_delay_s,
        OWNER_GAP_FACTOR * tail.owner_gap_s,
    )
    return min(MAX_OWNER_TIMEOUT_S, timeout_s)


def may_be_weaker(node: Node) -> bool:
    """
    Return whether some claimant so far was stronger than this instance, as far as the log tells.

    :param node: the instance.
    :returns: whether this instance claims the log after others.
    """
    return node.identity.weakness > (node.replicated.least_weakness or 0.0)


def claim_delay_s(node: Node, at: Moment) -> float:
    """
    Return how long this instance waits before it claims the next epoch.

    The delay consists of a jitter that is derived from the instance and the epoch, and of delays
    for old instances and for those with few resources.

    :param node: the instance.
    :param at: the current time.
    :returns: seconds to wait.
    """
    slot = _hash(node) % CLAIM_JITTER_STEPS
    age_s = min(OLD_INSTANCE_S, at.now_s - node.process_start_s)
    weakness = node.identity.weakness
    weakness_s = MIN_WEAKNESS_DELAY_S + weakness * (MAX_WEAKNESS_DELAY_S - MIN_WEAKNESS_DELAY_S)
    return (
        CLAIM_JITTER_S * slot / CLAIM_JITTER_STEPS
        + MAX_AGE_DELAY_S * age_s / OLD_INSTANCE_S
        + (weakness_s if weakness > 0 else 0.0)
    )


def _hash(node: Node) -> int:
    """
    Return a hash of the instance and the epoch, from which its jitter is derived.
    """
    return xxhash.xxh64_intdigest(f"{node.identity.producer}/{node.replicated.epoch}".encode())


def on_claim_appended(node: Node, at: Moment, event: events.Appended) -> None:
    """
    Handle the outcome of appending a claim. Whether the claim won is only decided by reading it.

    :param node: the instance.
    :param at: the current time.
    :param event: outcome of the append.
    """
    ownership = node.ownership
    if event.outcome == events.OK:
        return
    ownership.is_claiming = False
    ownership.next_claim_s = at.now_s + CLAIM_BACKOFF_S
    if event.outcome == events.FENCED:
        ownership.refused_epoch = max(ownership.refused_epoch, node.replicated.epoch) + 1
    log_line(node, "owner.claim_failed", outcome=event.outcome, detail=event.detail)


def on_claimed(node: Node, at: Moment, record: Claimed) -> bool:
    """
    Handle a claim that was read from the log.

    :param node: the instance.
    :param at: the current time.
    :param record: the claim.
    :returns: whether this instance has just become the owner.
    """
    if record.epoch != node.replicated.epoch:
        return False
    ownership = node.ownership
    is_own = (record.instance, record.incarnation) == node.identity[:2]
    if is_own and ownership.is_owner and record.epoch == ownership.epoch:
        return False
    if ownership.is_owner:
        step_down(node, at, "claimed_by_another", by=record.instance, epoch=record.epoch)
    # After a reload, this instance reads its former claims again but must not resume their epochs.
    is_awaited = ownership.is_claim_awaited and record.epoch == ownership.claimed_epoch
    if record.epoch >= ownership.claimed_epoch:
        ownership.is_claim_awaited = False
    if is_own and is_awaited and record.epoch > ownership.epoch:
        _take_over(node, at, record)
        if node.is_stopping:
            release(node, at)
        return True
    return False


def _take_over(node: Node, at: Moment, record: Claimed) -> None:
    ownership = node.ownership
    ownership.is_owner = True
    ownership.is_claiming = False
    ownership.has_released = False
    ownership.committed_s = ownership.committing_since_s = at.now_s
    ownership.epoch = record.epoch
    ownership.claimed_s = at.now_s
    ownership.claimed_log_s = node.replicated.log_s
    ownership.confirmed_s = ownership.claim_since_s
    # What this instance lacks, no owner can tell any more.
    node.tail.is_incomplete = False
    _journal.reset(node, 1)
    node.journal.sent_s = node.journal.heartbeat_s = at.now_s
    node.workers = {}
    node.unsent_by_step.clear()
    node.begun_jobs.clear()
    node.registry = Subscription()
    node.fleet = Fleet()
    node.advice = {}
    node.best_rates = {}
    node.moved_rates = {}
    replicated = node.replicated
    log_s = replicated.log_s + at.now_s - replicated.log_read_s
    node.bursts = _reserves.restore(replicated.bursts, log_s, at.now_s)
    node.tail.next_read_s = 0.0
    node.plan_due = True
    for state in node.waves.values():
        state.published = ""
    log_line(
        node,
        "owner.began",
        epoch=record.epoch,
        offset=node.replicated.offset,
        jobs=len(node.replicated.open_jobs),
        runs=sum(len(runs) for runs in node.replicated.running.values()),
        claim_s=round(at.now_s - ownership.claim_since_s, 3),
    )


def step_down(node: Node, at: Moment, reason: str, **fields: Any) -> None:
    """
    Give up ownership and request a reload of the replicated state.

    The reload is needed because the state may include records that were never appended.

    :param node: the instance.
    :param at: the current time.
    :param reason: reason for the structured log.
    :param fields: further fields of the log line.
    """
    ownership = node.ownership
    if not ownership.is_owner:
        return
    ownership.is_owner = False
    ownership.ended_s = at.now_s
    ownership.has_released = False
    ownership.reload_wanted = True
    _journal.reset(node, 0)
    node.workers = {}
    node.unsent_by_step.clear()
    node.begun_jobs.clear()
    node.fleet = Fleet()
    log_line(
        node,
        "owner.ended",
        reason=reason,
        own_epoch=ownership.epoch,
        held_s=round(at.now_s - ownership.claimed_s, 3),
        **fields,
    )


def release(node: Node, at: Moment) -> None:
    """
    Release the log, so that another instance can claim it without waiting for the owner's timeout.

    :param node: the instance, which owns the log.
    :param at: the current time.
    """
    node.ownership.has_released = True
    _journal.write_unapplied(node, Released(node.ownership.epoch))
    log_line(node, "owner.releasing", epoch=node.ownership.epoch)


def note_commit(node: Node, at: Moment) -> None:
    """
    Note that the store has taken an append of this owner.

    :param node: the instance, which owns the log.
    :param at: the current time.
    """
    ownership = node.ownership
    if at.now_s - ownership.committed_s > COMMIT_PAUSE_S:
        ownership.committing_since_s = at.now_s
    ownership.committed_s = at.now_s


def is_confirmed_again(node: Node, at: Moment, former_s: float) -> bool:
    """
    Return whether the store has just confirmed this owner after a long time without confirmation.

    :param node: the instance, which owns the log.
    :param at: the current time.
    :param former_s: what the confirmation was before.
    :returns: whether leases may last longer from now on.
    """
    confirmed_s = node.ownership.confirmed_s
    is_recent = at.now_s - confirmed_s <= COMMIT_PAUSE_S
    return is_recent and confirmed_s - former_s > COMMIT_PAUSE_S


def release_if_unread(node: Node, at: Moment) -> None:
    """
    Release the log if this owner's appends succeed but the log doesn't reach it in time.

    Its heartbeats would keep the log for it, while it knows nothing of what others append. It goes
    on as the owner until another instance has claimed the log: perhaps none of them can read it.
    While appends fail too, the store is out of reach, perhaps for all.

    A recent owner doesn't release the log: its predecessor may have done so, with no better reads.

    :param node: the instance, which owns the log.
    :param at: the current time.
    """
    ownership = node.ownership
    if ownership.has_released or at.now_s - ownership.committed_s > COMMIT_PAUSE_S:
        return
    if at.now_s - ownership.claimed_s < node.bounds.max_lease_s:
        return
    age_s = at.now_s - max(node.tail.complete_s, ownership.committing_since_s)
    if age_s > _freshness.max_owner_age_s(node):
        log_line(node, "owner.reads_late", state_age_s=round(age_s, 3))
        release(node, at)


def grant_s(bounds: Bounds) -> float:
    """
    Return the longest lease that an owner grants.

    :param bounds: time limits of the platform.
    :returns: seconds.
    """
    return min(bounds.max_lease_s, MAX_GRANT_S)


def lease_end_s(node: Node, bounds: Bounds) -> float:
    """
    Return the latest time until which this owner may grant leases to workers.

    It is bounded by the last confirmation of the ownership, so that a new owner knows when all
    leases of a former owner have expired.

    :param node: the instance.
    :param bounds: time limits of the platform.
    :returns: time by this instance's clock, in seconds.
    """
    return node.ownership.confirmed_s + grant_s(bounds)


def longest_lease_s(node: Node) -> float:
    """
    Return the longest time that a worker's lease may last, whoever grants it.

    :param node: the instance.
    :returns: seconds on the slowest clock, with the safety margin.
    """
    return node.bounds.max_lease_s * (1 + CLOCK_DRIFT) + LEASE_MARGIN_S


def former_lease_s(node: Node) -> float:
    """
    Return the longest time that a lease which a former owner granted may last.

    :param node: the instance, which owns the log.
    :returns: seconds on the slowest clock, with the safety margin.
    """
    *former, _own = node.replicated.lease_ms_by_claim or (0,)
    if not former or not all(former):
        return longest_lease_s(node)
    granted_s = min(node.bounds.max_lease_s, max(former) / 1000)
    return granted_s * (1 + CLOCK_DRIFT) + LEASE_MARGIN_S


def former_leases_end_s(node: Node, is_known_incarnation: bool) -> float:
    """
    Return the time at which all leases of former owners have expired, even on the slowest clock.

    :param node: the instance.
    :param is_known_incarnation: whether former owners granted them to the worker's present
        incarnation. To a later one their times mean nothing, so it takes the longest lease.
    :returns: time by this instance's clock, in seconds.
    """
    lease_s = former_lease_s(node) if is_known_incarnation else longest_lease_s(node)
    return node.ownership.claimed_s + lease_s
