"""
Tracks whether the job log responds to this instance, and resumes reads and appends after an outage.

A store that stops responding drops the calls in flight, which fail only after their timeouts, some
of them well after its return. So after a read without a response, the log is read at short
intervals, whatever is pending, and the first successful read replaces all pending calls. Only reads
of the log count: other topics may respond while the log doesn't.
"""

from . import _intake, _journal
from ._node import Moment, Node, Subscription, log_line

# Interval of reads while the log doesn't respond. While it does, an instance reads it more often,
# so a store under load doesn't get more reads than usual.
PROBE_INTERVAL_S = 0.2
# Silence after a failed read that isn't explained by lost responses of single reads: those sent
# meanwhile had no response either.
MIN_OUTAGE_S = 1.0
# Reasons of failed reads without a response. A store that refuses a read, such as with 429 or 503,
# responds, and calls in flight aren't dropped.
SILENT_REASONS = frozenset({"timeout", "closed", "connect"})


def is_silent(node: Node) -> bool:
    """
    Return whether a read of the log had no response and none has succeeded since.

    :param node: the instance.
    :returns: whether the log doesn't respond, as far as this instance knows.
    """
    return node.store.silent_since_s is not None


def is_outage(node: Node, at: Moment) -> bool:
    """
    Return whether the log has been silent for longer than lost responses explain.

    :param node: the instance.
    :param at: the current time.
    :returns: whether the log is out of reach.
    """
    silent_since_s = node.store.silent_since_s
    return silent_since_s is not None and at.now_s - silent_since_s >= MIN_OUTAGE_S


def on_read_failed(node: Node, at: Moment, reason: str, sent_s: float) -> None:
    """
    Note a failed read of the log. It proves nothing if it was refused or a later one has succeeded.

    :param node: the instance.
    :param at: the current time.
    :param reason: reason of the failure.
    :param sent_s: when the read was sent, by this instance's clock.
    """
    store = node.store
    if reason not in SILENT_REASONS:
        return
    if sent_s > store.answered_sent_s and store.silent_since_s is None:
        store.silent_since_s = at.now_s


def on_read(node: Node, at: Moment, sent_s: float) -> None:
    """
    Note a successful read of the log; after failed ones, replace the calls sent before it.

    :param node: the instance.
    :param at: the current time.
    :param sent_s: when the read was sent, by this instance's clock.
    """
    store = node.store
    store.answered_sent_s = max(store.answered_sent_s, sent_s)
    if store.silent_since_s is None:
        return
    silent_s = at.now_s - store.silent_since_s
    store.silent_since_s = None
    store.resumed_s = at.now_s
    log_line(node, "store.responds", silent_s=round(silent_s, 3))
    for subscription in (node.operator, node.registry):
        _replace_pending(subscription, at, sent_s)
    _journal.replace_pending(node, sent_s)
    _intake.replace_pending(node, at, sent_s)


def _replace_pending(subscription: Subscription, at: Moment, sent_s: float) -> None:
    # A read of all records of a topic, or of a large one, may take long on a slow link.
    is_awaited = subscription.cursor is None or subscription.is_arriving
    if not is_awaited and subscription.sent_s < sent_s:
        subscription.is_reading = False
        subscription.next_read_s = at.now_s
