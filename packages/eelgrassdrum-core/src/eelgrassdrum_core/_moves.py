"""
Execution of the steps of moves: drain, leave, reboot, join.

Each call to the platform carries the epoch of its step and is idempotent, so a controller that
takes over can restart the step. A record is proposed only after the platform has completed the
step. While the log is unavailable no step begins, but an instance that has left its pool is still
brought into service in its new one.

A drain that doesn't end is never forced. After `drain_limit_s` it is cancelled and retried with an
exponential backoff. After `STUCK_AFTER_DRAINS` such drains in a row, operators see the instance as
stuck.
"""

from collections.abc import Iterator

from ._controllers import claim_of, owned_shards, propose_record
from ._effects import WriteLog
from ._events import Ticked
from ._fleet_messages import (
    DONE,
    DRAIN,
    DRAINING,
    FAILED,
    JOIN,
    LEFT,
    MOVE_ABORTED,
    MOVE_JOINED,
    MOVE_LEFT,
    PURPOSE_MAINTENANCE,
    REBOOT,
    DrainInstance,
    JoinPool,
    RebootInstance,
    StepReported,
    move_subject,
)
from ._fleet_state import DrainBackoff, StepProgress
from ._fleet_view import down_instances, is_inventory_fresh, platform_now_s
from ._handlers import HandlerTable
from ._maintenance_fold import is_round_aborted
from ._pools import FleetInstance, pools_of, shard_of
from ._pools_budget import budget_of
from ._state import State

RESEND_S = 1.0
# Added to the longest run time of the queues that the pool serves.
DRAIN_MARGIN_S = 30.0
DRAIN_LIMIT_DEFAULT_S = 900.0
DRAIN_BACKOFF_S = 600.0
MAX_DRAIN_BACKOFF_S = 86_400.0
STUCK_AFTER_DRAINS = 3


def on_tick(state: State, event: Ticked) -> Iterator[object]:
    """
    Advance every move of the shards that this instance controls.
    """
    owned = frozenset(owned_shards(state))
    moving = state.fold.pools.moving
    for name in [name for name in state.fleet.progress if name not in moving]:
        del state.fleet.progress[name]
    for name in list(moving):
        entry = state.fold.pools.instances[name]
        if shard_of(entry.pool) in owned:
            yield from _advance_step(state, name, entry)


def on_reported(state: State, event: StepReported) -> Iterator[object]:
    """
    Process the platform's response unless it refers to an earlier step.
    """
    entry = state.fold.pools.instances.get(event.instance)
    progress = state.fleet.progress.get(event.instance)
    if entry is None or progress is None or not entry.epoch == event.epoch == progress.epoch:
        return
    if event.state == FAILED:
        progress.failures += 1
        yield WriteLog("move.step_failed", {"instance": event.instance, "action": event.action})
    if event.state != DONE:
        return
    if event.action == REBOOT:
        progress.is_rebooted = True
        progress.sent_s = float("-inf")
    last_action = DRAIN if entry.step == DRAINING else JOIN
    progress.is_acknowledged = progress.is_acknowledged or event.action == last_action
    if shard_of(entry.pool) in owned_shards(state):
        yield from _advance_step(state, event.instance, entry)


def drain_limit_s(state: State, entry: FleetInstance) -> float:
    """
    Return the timeout of a drain, in which an instance has to finish its running work.

    :param state: state of this entry instance.
    :param entry: the instance.
    :returns: seconds.
    """
    pool = pools_of(state.fold, shard_of(entry.pool)).get(entry.pool)
    service = "" if pool is None else pool.service
    queues = state.fold.config.queues.values()
    longest = max((q.max_run_s for q in queues if service and q.service == service), default=None)
    return DRAIN_LIMIT_DEFAULT_S if longest is None else longest + DRAIN_MARGIN_S


def stuck_instances(state: State) -> list[str]:
    """
    Return the instances whose last `STUCK_AFTER_DRAINS` or more drains timed out.

    :param state: state of this entry instance.
    :returns: sorted ids.
    """
    drain_backoffs = state.fleet.drain_backoffs.items()
    return sorted(
        name for name, backoff in drain_backoffs if backoff.failed_drains >= STUCK_AFTER_DRAINS
    )


def _advance_step(state: State, name: str, entry: FleetInstance) -> Iterator[object]:
    progress = state.fleet.progress.get(name)
    if progress is None or progress.epoch != entry.epoch:
        progress = StepProgress(entry.epoch, state.now_s)
        state.fleet.progress[name] = progress
    if progress.is_acknowledged:
        yield from _propose_completion(state, name, entry)
        return
    if state.now_s - progress.sent_s < RESEND_S:
        return
    if entry.step == DRAINING and not is_inventory_fresh(state):
        return
    if entry.step == DRAINING and _must_cancel_drain(state, name, entry, progress):
        yield from _propose_step(state, MOVE_ABORTED, name, entry)
        return
    progress.sent_s = state.now_s
    yield _call(name, entry, progress)


def _propose_completion(state: State, name: str, entry: FleetInstance) -> Iterator[object]:
    if entry.step == DRAINING:
        state.fleet.drain_backoffs.pop(name, None)
        yield from _propose_step(state, MOVE_LEFT, name, entry)
    else:
        yield from _propose_step(state, MOVE_JOINED, name, entry)


def _call(name: str, entry: FleetInstance, progress: StepProgress) -> object:
    if entry.step == DRAINING:
        return DrainInstance(name, entry.epoch)
    if entry.step == LEFT and not progress.is_rebooted:
        return RebootInstance(name, entry.epoch)
    return JoinPool(name, entry.pool, entry.epoch)


def _must_cancel_drain(
    state: State, name: str, entry: FleetInstance, progress: StepProgress
) -> bool:
    if state.now_s - progress.since_s > drain_limit_s(state, entry):
        _extend_backoff(state, name)
        return True
    if entry.purpose == PURPOSE_MAINTENANCE and is_round_aborted(
        state.fold, entry.pool, entry.epoch
    ):
        return True
    return _exceeds_budget(state, name, entry)


def _extend_backoff(state: State, name: str) -> None:
    last = state.fleet.drain_backoffs.get(name)
    if last is not None and state.now_s < last.retry_at_s:
        return
    count = 1 if last is None else last.failed_drains + 1
    pause_s = min(DRAIN_BACKOFF_S * 2 ** (count - 1), MAX_DRAIN_BACKOFF_S)
    state.fleet.drain_backoffs[name] = DrainBackoff(count, state.now_s + pause_s)


def _exceeds_budget(state: State, name: str, entry: FleetInstance) -> bool:
    """
    Return whether a drain must be cancelled because failures since its start exceed the budget.

    The newest drains that share the budget are cancelled first, as many as instances are missing.
    """
    down = down_instances(state)
    pools = pools_of(state.fold, shard_of(entry.pool))
    pool = pools.get(entry.pool)
    if pool is None:
        return False
    missing = -budget_of(state.fold, pool, down).headroom
    if missing <= 0:
        return False
    instances = state.fold.pools.instances
    drains = [
        (instances[other].epoch, other)
        for other in state.fold.pools.moving
        if instances[other].step == DRAINING and _shares_budget(state, entry, instances[other])
    ]
    return name in [other for _, other in sorted(drains, reverse=True)[:missing]]


def _shares_budget(state: State, entry: FleetInstance, other: FleetInstance) -> bool:
    if entry.pool == other.pool:
        return True
    own_pool = pools_of(state.fold, shard_of(entry.pool)).get(entry.pool)
    other_pool = pools_of(state.fold, shard_of(other.pool)).get(other.pool)
    if own_pool is None or other_pool is None or not own_pool.service:
        return False
    return own_pool.service == other_pool.service


def _propose_step(state: State, kind: str, name: str, entry: FleetInstance) -> Iterator[object]:
    body = {
        "instance": name,
        "claim": claim_of(state, shard_of(entry.pool)),
        "booted_at_s": platform_now_s(state) if entry.step == LEFT else 0.0,
    }
    yield from propose_record(state, kind, move_subject(name), body)


HANDLERS: HandlerTable = {
    Ticked: on_tick,
    StepReported: on_reported,
}
