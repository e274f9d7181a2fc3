"""
Shuts the process down gracefully: releases the log, answers open calls, then exits.
"""

from . import _intake, _journal, _ownership, effects, events
from ._node import Moment, Node, emit, log_line

# Calls are still answered for this time, until the load balancer has noticed the shutdown.
BALANCER_DELAY_S = 2.3
# Time left before the process is killed.
KILL_MARGIN_S = 1.0


def on_stop_requested(node: Node, at: Moment, _event: events.StopAsked) -> None:
    """
    Begin the shutdown.

    :param node: the instance.
    :param at: the time.
    """
    if node.is_stopping:
        return
    node.is_stopping = True
    node.stop_asked_s = at.now_s
    log_line(node, "instance.stopping", is_owner=node.ownership.is_owner)
    if node.ownership.is_owner and not node.ownership.has_released:
        _ownership.release(node, at)


def advance(node: Node, at: Moment) -> None:
    """
    Exit once no work is left, or shortly before the process would be killed.

    :param node: the instance.
    :param at: the time.
    """
    if not node.is_stopping:
        return
    if node.ownership.is_owner and _journal.is_idle(node):
        _ownership.step_down(node, at, "released")
        node.ownership.reload_wanted = False
    since_s = at.now_s - node.stop_asked_s
    is_done = _intake.is_idle(node) and (not node.ownership.is_owner or _journal.is_idle(node))
    is_deadline_near = since_s >= node.bounds.grace_s - KILL_MARGIN_S
    if (is_done and since_s >= BALANCER_DELAY_S) or is_deadline_near:
        log_line(node, "instance.stopped", since_s=round(since_s, 3), is_done=is_done)
        emit(node, effects.Exit())
