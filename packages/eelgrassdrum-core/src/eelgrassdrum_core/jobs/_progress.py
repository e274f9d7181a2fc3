"""
Watches how fast tasks get on, and takes them away from workers that are slow or stand still.

A worker lists the progress of its tasks, which gives the time that a task still needs there, and
the time that it would need elsewhere, from its own best speed or that of other tasks of its step.
A task is moved only when it would end sooner elsewhere and there is room for it.
"""

from . import _emptying, _replicated_state, _runs
from ._node import Moment, Node, RunProgress, Worker, log_line
from ._replicated_state import StepState, Task, find_task, occurrence_of
from .model import RunRow

# Progress is compared over at least this long, since the shortest tasks take some tenths of a
# second, and over at least so many points at the task's best speed, since lists give whole
# percents; but after the longest time in any case.
LEAST_WINDOW_S = 0.2
LEAST_POINTS = 5.0
MOST_WINDOW_S = 1.0
# A task that has made no progress since its start for this long stands still.
STILL_S = 0.6
# Part of its own best speed below which a task is slow.
SLOW_PART = 0.4
# The same against the fastest task of its step, whose sizes differ by some tenths.
SLOW_PART_OF_STEP = 0.3
# A worker of whose tasks this part is slow is slow itself.
SLOW_TASKS_PART = 0.5
# A slow worker gets no new task for this long after the last sign of it.
SLOW_PAUSE_S = 2.0
# What a move costs: the stop, its entry in the log and the order to start again.
MOVE_S = 0.5
# The time left has to exceed that of a fresh start by this factor, since both are estimates.
GAIN_FACTOR = 1.3
# The least speed that is reckoned with, in percent a second.
LEAST_RATE = 0.5


def on_rows(node: Node, at: Moment, worker: Worker) -> None:
    """
    Take what a worker has listed, and move tasks away from it if it has become slow.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param worker: the worker.
    """
    watched = [
        (task, row)
        for row in worker.rows.values()
        if (task := _watched_task(node, worker, row)) is not None
    ]
    keys = {task.key for task, _row in watched}
    for key in worker.progress.keys() - keys:
        del worker.progress[key]
    for task, row in watched:
        _measure(node, worker, task, row)
    slow = [task for task, _row in watched if _is_slow(node, worker, task)]
    if not slow or len(slow) < SLOW_TASKS_PART * len(watched):
        return
    if at.now_s >= worker.slow_until_s:
        log_line(node, "worker.slow", worker=worker.id, slow=len(slow), watched=len(watched))
    worker.slow_until_s = at.now_s + SLOW_PAUSE_S
    node.plan_due = True
    _move_away(node, at, worker, slow)


def _watched_task(node: Node, worker: Worker, row: RunRow) -> Task | None:
    task = find_task(node.replicated, row.key)
    if task is None or task.status != _replicated_state.RUNNING or task.run != row.run:
        return None
    if task.worker != worker.id or row.key in worker.stops:
        return None
    step = node.replicated.jobs[row.key.job].spec.steps[row.key.step]
    return None if step.is_long_running or step.is_backfill else task


def _measure(node: Node, worker: Worker, task: Task, row: RunRow) -> None:
    progress = worker.progress.get(task.key)
    # The worker's clock tells when it made the list, however late the list was read.
    now_s = worker.clock_ms / 1000
    if progress is None or progress.run != row.run:
        worker.progress[task.key] = RunProgress(row.run, row.percent, now_s)
        return
    passed_s = now_s - progress.at_s
    is_short = progress.best_rate * passed_s < LEAST_POINTS and progress.best_rate
    if passed_s < LEAST_WINDOW_S or (is_short and passed_s < MOST_WINDOW_S):
        return
    progress.rate = (row.percent - progress.percent) / passed_s
    progress.best_rate = max(progress.best_rate, progress.rate)
    progress.no_progress_s = (
        progress.no_progress_s + passed_s if row.percent == progress.percent else 0.0
    )
    progress.percent, progress.at_s = row.percent, now_s
    step = task.key[:3]
    node.best_rates[step] = max(node.best_rates.get(step, 0.0), progress.rate)


def _state_of(node: Node, task: Task) -> StepState:
    job = node.replicated.jobs[task.key.job]
    return occurrence_of(job, task.key.occurrence)[task.key.step]


def _is_slow(node: Node, worker: Worker, task: Task) -> bool:
    progress = worker.progress[task.key]
    if progress.rate is None:
        return False
    return (
        progress.no_progress_s >= STILL_S
        or progress.rate < SLOW_PART * progress.best_rate
        or progress.rate < SLOW_PART_OF_STEP * node.best_rates[task.key[:3]]
    )


def _move_away(node: Node, at: Moment, worker: Worker, slow: list[Task]) -> None:
    free = _emptying.other_sites(node, at, worker)
    for task in slow:
        state = _state_of(node, task)
        if state.step.gang or not _ends_sooner_elsewhere(node, worker, task, state):
            continue
        site = _emptying.find_site(state, free)
        if site is None:
            continue
        site.free[0] = site.free[0].minus(state.resources)
        progress = worker.progress[task.key]
        log_line(
            node,
            "run.moved_away",
            job=task.key.job,
            task=".".join(map(str, task.key[1:])),
            run=task.run,
            worker=worker.id,
            reason="slow",
            percent=progress.percent,
            rate=round(progress.rate or 0.0, 1),
            best_rate=round(node.best_rates[task.key[:3]], 1),
        )
        node.avoided_workers.setdefault(task.key, set()).add(worker.id)
        _runs.send_stop(node, at, worker, task.key, task.run)


def _ends_sooner_elsewhere(node: Node, worker: Worker, task: Task, state: StepState) -> bool:
    progress = worker.progress[task.key]
    best_rate = node.best_rates[task.key[:3]]
    left = 100 - progress.percent
    here_s = left / max(LEAST_RATE, progress.rate or 0.0)
    if not best_rate:
        # Nothing is known of its speed elsewhere but that it has none here.
        elsewhere_s = state.step.estimate_ms / 1000
    else:
        elsewhere_s = (left if state.step.is_checkpointing else 100) / best_rate
    return here_s > GAIN_FACTOR * elsewhere_s + MOVE_S


def forget(node: Node) -> None:
    """
    Drop what is known of steps of jobs that have ended.

    :param node: the instance.
    """
    for key in [key for key in node.best_rates if key[0] not in node.replicated.open_jobs]:
        del node.best_rates[key]
