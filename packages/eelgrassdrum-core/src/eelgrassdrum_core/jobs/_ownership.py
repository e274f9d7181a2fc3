"""
Decides which instance owns the log, and with it all decisions about tasks and instances.

An owner that is silent for a while loses the log to the first instance whose claim is appended. The
store lets only one claim of an epoch in, and refuses appends of an older epoch from then on. A
claimant takes over when it reads its own claim, so it has read all that came before it.
"""

from typing import Any

import xxhash

from . import _journal, effects, events
from ._node import Fleet, Moment, Node, Subscription, emit, log_line
from ._records import Claimed, Released, encode_records
from .model import Bounds

CHANNEL = "claim"
# Silence of the owner after which its log is claimed: three of its beats.
OWNER_TIMEOUT_S = 0.6
# More silence where the store takes long for an answer, as multiples of that: the owner's append
# and the read that shows it.
STORE_DELAY_FACTOR = 2.0
# Silence as a multiple of the longest gap between the owner's records of late, and its bound.
OWNER_GAP_FACTOR = 2.0
MAX_OWNER_TIMEOUT_S = 2.4
# After a claim that failed, another one is sent no sooner than this: time to read who has the log.
CLAIM_BACKOFF_S = 0.4
# Spread of the claims of several instances, so that the first is seen by the others.
CLAIM_JITTER_S = 0.1
CLAIM_JITTER_STEPS = 16
# Instances that started lately claim first, by up to this much: a rolling restart comes to them
# last. From this age on it makes no difference.
MAX_AGE_DELAY_S = 0.2
OLD_INSTANCE_S = 60.0
# Instances with a narrow link or little processor time claim last, by up to this much: the owner
# sends all orders. It exceeds the time between two reads of the log, by which others learn of a
# silence.
MAX_WEAKNESS_DELAY_S = 0.6
# A claim without an answer is given up after this; if it was done, the log shows it.
CLAIM_TIMEOUT_S = 1.5
# Clocks of workers may be this much slow; leases are waited out by it.
CLOCK_DRIFT = 0.021
# Added to a wait for a lease that was given by someone else.
LEASE_MARGIN_S = 0.3


def claim_if_owner_silent(node: Node, at: Moment) -> None:
    """
    Claim the log if its owner seems gone.

    :param node: the instance.
    :param at: the time.
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
        wait_s += _owner_timeout_s(node)
    if node.config is None or quiet_s < wait_s or at.now_s < ownership.next_claim_s:
        return
    epoch = max(node.replicated.epoch, ownership.refused_epoch) + 1
    ownership.is_claiming = True
    ownership.claim_sent_s = at.now_s
    identity = node.identity
    record = Claimed(epoch, identity.instance, identity.incarnation, identity.address)
    log_line(
        node,
        "owner.claiming",
        epoch=epoch,
        former=node.replicated.owner,
        quiet_s=round(quiet_s, 3),
        offset=node.replicated.offset,
    )
    data = tuple(encode_records([record]))
    emit(node, effects.Append(CHANNEL, _journal.PRODUCER, epoch, 1, data))
    node.tail.next_read_s = at.now_s


def _owner_timeout_s(node: Node) -> float:
    tail = node.tail
    timeout_s = max(
        OWNER_TIMEOUT_S + STORE_DELAY_FACTOR * tail.store_delay_s,
        OWNER_GAP_FACTOR * tail.owner_gap_s,
    )
    return min(MAX_OWNER_TIMEOUT_S, timeout_s)


def claim_delay_s(node: Node, at: Moment) -> float:
    """
    Give this instance's place among those that would claim the next epoch.

    :param node: the instance.
    :param at: the time.
    :returns: seconds to wait.
    """
    seed = f"{node.identity.producer}/{node.replicated.epoch}"
    slot = xxhash.xxh64_intdigest(seed.encode()) % CLAIM_JITTER_STEPS
    age_s = min(OLD_INSTANCE_S, at.now_s - node.process_start_s)
    return (
        CLAIM_JITTER_S * slot / CLAIM_JITTER_STEPS
        + MAX_AGE_DELAY_S * age_s / OLD_INSTANCE_S
        + MAX_WEAKNESS_DELAY_S * node.identity.weakness
    )


def on_claim_appended(node: Node, at: Moment, event: events.Appended) -> None:
    """
    Take the outcome of a claim. Whether it holds is read from the log.

    :param node: the instance.
    :param at: the time.
    :param event: the outcome.
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
    Take a claim that was read from the log.

    :param node: the instance.
    :param at: the time.
    :param record: the claim.
    :returns: whether this instance has just come to own the log.
    """
    if record.epoch != node.replicated.epoch:
        return False
    ownership = node.ownership
    is_own = (record.instance, record.incarnation) == node.identity[:2]
    if is_own and ownership.is_owner and record.epoch == ownership.epoch:
        return False
    if ownership.is_owner:
        step_down(node, at, "claimed_by_another", by=record.instance, epoch=record.epoch)
    # An own claim of a time before a reload is read again, but its epoch is not taken up again.
    if is_own and ownership.is_claiming and record.epoch > ownership.epoch:
        _take_over(node, at, record)
        return True
    return False


def _take_over(node: Node, at: Moment, record: Claimed) -> None:
    ownership = node.ownership
    ownership.is_owner = True
    ownership.is_claiming = False
    ownership.epoch = record.epoch
    ownership.claimed_s = at.now_s
    ownership.confirmed_s = ownership.claim_sent_s
    _journal.reset(node, 1)
    node.journal.sent_s = node.journal.heartbeat_s = at.now_s
    node.workers = {}
    node.registry = Subscription()
    node.fleet = Fleet()
    node.advice = {}
    node.best_rates = {}
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
        claim_s=round(at.now_s - ownership.claim_sent_s, 3),
    )


def step_down(node: Node, at: Moment, reason: str, **fields: Any) -> None:
    """
    Stop deciding; the book is read again, since it may hold decisions that were never appended.

    :param node: the instance.
    :param at: the time.
    :param reason: why, for the log.
    :param fields: more of what decided it.
    """
    ownership = node.ownership
    if not ownership.is_owner:
        return
    ownership.is_owner = False
    ownership.reload_wanted = True
    _journal.reset(node, 0)
    node.workers = {}
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
    Give the log up, so that another instance need not wait for silence.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    node.journal.next.records.append(Released(node.ownership.epoch))
    log_line(node, "owner.releasing", epoch=node.ownership.epoch)


def lease_end_s(node: Node, bounds: Bounds) -> float:
    """
    Give the latest time to which this owner may lease workers.

    It depends on when the ownership was last confirmed, so that a new owner can tell when every
    lease of a former one has run out.

    :param node: the instance.
    :param bounds: times of the platform.
    :returns: time by this instance's clock.
    """
    return node.ownership.confirmed_s + bounds.max_lease_s


def former_leases_end_s(node: Node) -> float:
    """
    Give the time at which all leases of former owners have run out, on the slowest clock.

    :param node: the instance.
    :returns: time by this instance's clock.
    """
    lease_s = node.bounds.max_lease_s * (1 + CLOCK_DRIFT)
    return node.ownership.claimed_s + lease_s + LEASE_MARGIN_S
