"""
Follows the records that the operator publishes: the configuration, the maintenance waves and the
evacuations of availability zones.
"""

from . import _evacuation, effects, events
from ._node import Moment, Node, Subscription, WaveState, emit, log_line

# Long-poll time of a read, which bounds the age of the known configuration.
READ_WAIT_S = 1.0
# Delay before a failed read is retried.
RETRY_S = 0.15
# Age of the latest complete read from which a read doesn't wait for new records: after an outage,
# the age of the known configuration decides about calls.
OLD_S = 2 * READ_WAIT_S
# Number of records after the cursor from which the newest record of each key is read instead, since
# a configuration is transferred whole even if a later record replaces it.
SKIP_RECORDS = 2


def config_age_s(node: Node, now_s: float) -> float:
    """
    Return how long ago the known configuration was certainly the newest.

    :param node: the instance.
    :param now_s: the current time by this instance's clock.
    :returns: seconds.
    """
    return now_s - node.operator.last_success_s


def is_config_too_old(node: Node, now_s: float) -> bool:
    """
    Return whether calls are refused because a later configuration may be in force.

    :param node: the instance.
    :param now_s: the current time by this instance's clock.
    :returns: whether they are.
    """
    return config_age_s(node, now_s) > node.bounds.config_stale_s


def read(node: Node, at: Moment) -> None:
    """
    Send a read for new records, unless one is outstanding or the retry delay runs.

    :param node: the instance.
    :param at: the time.
    """
    operator = node.operator
    if operator.is_reading or at.now_s < operator.next_read_s:
        return
    operator.is_reading = True
    operator.is_arriving = False
    operator.sent_s = at.now_s
    is_old = at.now_s - operator.last_success_s > OLD_S
    emit(node, effects.ReadOperator(operator.cursor, 0.0 if is_old else READ_WAIT_S))


def on_read_began(node: Node, at: Moment, event: events.OperatorReadBegan) -> None:
    """
    Note that a response arrives, so that the read isn't replaced meanwhile.

    :param node: the instance.
    :param at: the time.
    :param event: the read.
    """
    operator = node.operator
    operator.is_arriving = operator.is_reading and event.sent_s >= operator.sent_s


def on_read(node: Node, at: Moment, event: events.OperatorRead) -> None:
    """
    Process records of the operator. A configuration is never replaced by an older one. Its age is
    only renewed by a read that leaves no record, since later versions may have been acknowledged.

    :param node: the instance.
    :param at: the time.
    :param event: the records.
    """
    operator = node.operator
    if event.sent_s >= operator.sent_s:
        operator.is_reading = False
        operator.cursor = None if _is_skip_due(operator, event.records_left) else event.cursor
        operator.is_behind = event.records_left > 0
    if not event.records_left:
        operator.last_success_s = max(operator.last_success_s, event.sent_s)
    _evacuation.on_read(node, at, event)
    known = node.config.version if node.config else -1
    if event.config is not None and event.config.version > known:
        node.config = event.config
        node.plan_due = True
        log_line(
            node,
            "config.in_force",
            version=event.config.version,
            former=known,
            queues=len(event.config.queues),
            workspaces=len(event.config.workspaces),
            cursor=event.cursor,
        )
    for wave in event.waves:
        if wave.number not in node.waves:
            node.waves[wave.number] = WaveState(wave, at.now_s)
            log_line(
                node,
                "wave.asked",
                wave=wave.number,
                instances=len(wave.instances),
                max_down=wave.max_down,
                duration_s=wave.duration_s,
            )
    read(node, at)


def _is_skip_due(operator: Subscription, records_left: int) -> bool:
    """
    Return whether the newest record of each key is read next.

    A read of all records renews the age of the configuration, which reads of single records may
    never do while a version is published during each.
    """
    return records_left >= SKIP_RECORDS or (records_left > 0 and operator.is_behind)


def on_failed(node: Node, at: Moment, event: events.OperatorReadFailed) -> None:
    """
    Schedule a retry after a failed read of the operator's records.

    :param node: the instance.
    :param at: the time.
    :param event: the failure.
    """
    operator = node.operator
    if event.sent_s >= operator.sent_s:
        operator.is_reading = False
        operator.next_read_s = at.now_s + RETRY_S
        if event.restart:
            operator.cursor = None
            operator.next_read_s = at.now_s
    log_line(
        node,
        "config.unreadable",
        reason=event.reason,
        version=node.config.version if node.config else None,
        age_s=round(min(at.now_s - operator.last_success_s, 1e6), 3),
    )
