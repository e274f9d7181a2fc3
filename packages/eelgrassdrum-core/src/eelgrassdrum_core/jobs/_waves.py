"""
Carries out maintenance waves: chooses the instances to drain and maintain next, and publishes the
state of each wave.
"""

from . import _evacuation, _runs, effects, events
from ._instances import MAINTENANCE, ORDER_RETRY_S, UP, may_decide, unmaintained_instances
from ._journal import write
from ._node import Moment, Node, WaveState, emit, log_line
from ._records import WaveClosed
from .model import InstanceRow, Resources

# Load of a pool at which its instances are not drained while the wave has time.
BUSY_POOL_LOAD = 0.6
# Time to drain an instance and to have it back, beyond its maintenance; about the duration of short
# tasks.
DRAIN_S = 2.5
# A wave ignores the pool load if its remaining work needs more than this fraction of its remaining
# time.
URGENT_FRACTION = 0.5
# Instances that one log line names.
MAX_LOGGED_INSTANCES = 6


def advance(node: Node, at: Moment) -> None:
    """
    Advance every wave.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    for number in sorted(node.waves):
        state = node.waves[number]
        _publish(node, at, state)
        if number not in node.replicated.closed_waves and may_decide(node, at):
            _advance_wave(node, at, state)


def _publish(node: Node, at: Moment, state: WaveState) -> None:
    is_closed = state.wave.number in node.replicated.closed_waves
    wanted = "completed" if is_closed else "running"
    if state.published == wanted or at.now_s < state.next_publish_s:
        return
    state.next_publish_s = at.now_s + ORDER_RETRY_S
    emit(node, effects.PublishWave(state.wave.number, wanted))


def on_published(node: Node, at: Moment, event: events.WaveStatusAnswered) -> None:
    """
    Record that the state of a wave has been published.

    :param node: the instance.
    :param at: the time.
    :param event: the outcome.
    """
    state = node.waves.get(event.wave)
    if state is None:
        return
    if event.outcome == events.OK:
        state.published = event.state
    log_line(node, "wave.published", wave=event.wave, state=event.state, outcome=event.outcome)


def _advance_wave(node: Node, at: Moment, state: WaveState) -> None:
    fleet = node.fleet
    if not fleet.rows:
        return
    wave = state.wave
    remaining = unmaintained_instances(node, state)
    if not remaining:
        if not any(_is_in_maintenance(node, name) for name in wave.instances):
            write(node, at, WaveClosed(node.ownership.epoch, wave.number))
            _log_completed(node, at, state)
        return
    in_progress = sum(_is_in_maintenance(node, name) for name in wave.instances)
    listed = [fleet.rows[name] for name in remaining if name in fleet.rows]
    for row in sorted(listed, key=lambda row: _load_key(node, row)):
        if in_progress >= wave.max_down:
            return
        if row.instance in fleet.draining or row.state != UP:
            continue
        if not _may_drain(node, at, state, row, len(remaining)):
            continue
        fleet.draining[row.instance] = MAINTENANCE
        fleet.wave_of[row.instance] = wave.number
        in_progress += 1
        log_line(
            node,
            "instance.emptying",
            instance=row.instance,
            wave=wave.number,
            pool=row.pool,
            left=len(remaining),
        )


def _log_completed(node: Node, at: Moment, state: WaveState) -> None:
    """
    Log why a wave is completed: which of its instances were maintained, and which are not listed.
    """
    wave = state.wave
    maintained = node.replicated.maintained.get(wave.number, set())
    gone = [name for name in wave.instances if name not in maintained]
    log_line(
        node,
        "wave.completed",
        wave=wave.number,
        took_s=round(at.now_s - state.seen_s, 2),
        maintained=len(maintained),
        gone=gone[:MAX_LOGGED_INSTANCES],
        list_age_s=round(at.now_s - node.fleet.rows_s, 3),
    )


def _is_in_maintenance(node: Node, instance: str) -> bool:
    """
    Return whether an instance is drained or down for maintenance; one that moves is not.
    """
    return node.fleet.draining.get(instance) == MAINTENANCE


def _load_key(node: Node, row: InstanceRow) -> tuple[float, int]:
    """
    Return the sort key by which the least loaded instances are drained first.
    """
    worker = node.workers.get(row.worker)
    if worker is None:
        return (0.0, 0)
    return (pool_load(node, row.pool), len(_runs.runs_on(node, worker.id)))


def pool_load(node: Node, pool: str) -> float:
    """
    Return the fraction of a pool's processor capacity that is in use, outside evacuated
    availability zones.

    :param node: the instance.
    :param pool: name of the pool.
    :returns: 0 to 1; 1 for a pool without workers.
    """
    capacity = used = 0
    for worker in node.workers.values():
        is_evacuated = _evacuation.is_evacuated(node, worker.entry.zone)
        if worker.entry.service == pool and worker.is_listed and not is_evacuated:
            capacity += worker.entry.capacity.millicores
            used += node.replicated.load.get(worker.id, Resources()).millicores
    return used / capacity if capacity else 1.0


def _may_drain(node: Node, at: Moment, state: WaveState, row: InstanceRow, remaining: int) -> bool:
    if not row.worker or row.worker not in node.workers:
        return True
    if _evacuation.is_evacuated(node, row.zone):
        # Nothing starts there, so its maintenance costs the pool no capacity.
        return True
    wave = state.wave
    per_instance_s = node.bounds.upkeep_s + DRAIN_S
    needed_s = per_instance_s * remaining / max(1, wave.max_down)
    remaining_s = state.seen_s + wave.duration_s - at.now_s
    is_urgent = needed_s > remaining_s * URGENT_FRACTION
    return is_urgent or pool_load(node, row.pool) < BUSY_POOL_LOAD
