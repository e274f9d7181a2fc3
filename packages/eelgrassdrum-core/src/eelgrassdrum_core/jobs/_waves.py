"""
Works off maintenance waves: chooses the instances that are emptied and maintained next, and
publishes how far a wave is.
"""

from . import _runs, effects, events
from ._instances import MAINTENANCE, ORDER_RETRY_S, UP
from ._journal import write
from ._node import Moment, Node, WaveState, emit, log_line
from ._records import WaveClosed
from .model import InstanceRow, Resources

# Load of a pool above which its instances wait for their turn, while the wave has time.
BUSY_POOL = 0.6
# Time to empty an instance and to have it back, beyond its maintenance; as short tasks take.
EMPTYING_S = 2.5
# Part of a wave's time after which load does not hold it up any more.
URGENT_PART = 0.5


def advance(node: Node, at: Moment) -> None:
    """
    Take the next steps of every wave.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    for number in sorted(node.waves):
        state = node.waves[number]
        _publish(node, at, state)
        if number not in node.replicated.closed_waves:
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
    Take note that the state of a wave is published.

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


def _left(node: Node, state: WaveState) -> list[InstanceRow]:
    """
    Give the instances of a wave that are still there and not maintained yet.
    """
    done = node.replicated.maintained.get(state.wave.number, set())
    rows = (node.fleet.rows.get(name) for name in state.wave.instances if name not in done)
    return [row for row in rows if row is not None]


def _advance_wave(node: Node, at: Moment, state: WaveState) -> None:
    fleet = node.fleet
    if not fleet.rows:
        return
    wave = state.wave
    left = _left(node, state)
    if not left:
        if not any(name in fleet.down for name in wave.instances):
            write(node, at, WaveClosed(node.ownership.epoch, wave.number))
            log_line(
                node,
                "wave.completed",
                wave=wave.number,
                took_s=round(at.now_s - state.seen_s, 2),
            )
        return
    in_work = sum(name in fleet.draining or name in fleet.down for name in wave.instances)
    for row in sorted(left, key=lambda row: _busyness(node, row)):
        if in_work >= wave.max_down:
            return
        if row.instance in fleet.draining or row.state != UP:
            continue
        if not _may_empty(node, at, state, row, len(left)):
            continue
        fleet.draining[row.instance] = MAINTENANCE
        fleet.wave_of[row.instance] = wave.number
        in_work += 1
        log_line(
            node,
            "instance.emptying",
            instance=row.instance,
            wave=wave.number,
            pool=row.pool,
            left=len(left),
        )


def _busyness(node: Node, row: InstanceRow) -> tuple[float, int]:
    worker = node.workers.get(row.worker)
    if worker is None:
        return (0.0, 0)
    return (pool_load(node, row.pool), len(_runs.runs_on(node, worker.id)))


def pool_load(node: Node, pool: str) -> float:
    """
    Give the part of a pool's processors that is in use.

    :param node: the instance.
    :param pool: the pool.
    :returns: 0 to 1; 1 for a pool without workers.
    """
    have = need = 0
    for worker in node.workers.values():
        if worker.entry.service == pool and worker.is_listed:
            have += worker.entry.capacity.millicores
            need += node.replicated.load.get(worker.id, Resources()).millicores
    return need / have if have else 1.0


def _may_empty(node: Node, at: Moment, state: WaveState, row: InstanceRow, left: int) -> bool:
    if not row.worker or row.worker not in node.workers:
        return True
    wave = state.wave
    each_s = node.bounds.upkeep_s + EMPTYING_S
    need_s = each_s * left / max(1, wave.max_down)
    left_s = state.seen_s + wave.duration_s - at.now_s
    is_urgent = need_s > left_s * URGENT_PART
    return is_urgent or pool_load(node, row.pool) < BUSY_POOL
