"""
Detects slow or stalled tasks by their progress, and moves them away from slow workers.

A worker lists the progress of its tasks. From that follow the time that a task still needs there
and the time that it would need on another worker, at its own best rate or at that of other tasks of
its step. A task is moved only if it would finish sooner elsewhere and another worker has the
capacity.

The tasks of a step differ in size, so a single task that is slower than the others of its step says
little about its worker. A task that has been moved on that ground isn't moved on it again.
"""

from . import _draining, _durations, _replicated_state, _runs
from ._node import Moment, Node, RunProgress, Worker, log_line
from ._replicated_state import StepState, Task, find_task, occurrence_of
from .model import RunRow

# Progress is measured over at least the minimum time, since the shortest tasks take some tenths of
# a second. A window also spans at least the minimum percentage at the task's best rate, since lists
# give whole percents, but no window waits longer than the maximum time.
MIN_WINDOW_S = 0.2
MIN_WINDOW_PERCENT = 5.0
MAX_WINDOW_S = 1.0
# A task without progress for this long is stalled.
STALLED_S = 0.6
# A task is slow below this fraction of its own best rate.
SLOW_FRACTION_OF_BEST = 0.4
# A task is slow below this fraction of the best rate in its step if others on its worker are, or if
# the worker was slow recently.
SLOW_FRACTION_OF_STEP = 0.3
# The same for a task without such evidence. The largest tasks of a step are some four times as
# large as the smallest.
SLOW_FRACTION_OF_STEP_ALONE = 0.15
# Slow tasks on a worker from which their sizes no longer explain their rates.
MIN_SLOW_TASKS = 2
# Time since a worker was slow in which it counts as recent.
RECENTLY_SLOW_S = 10.0
# A worker is slow if at least this fraction of its tasks is slow.
SLOW_TASKS_FRACTION = 0.5
# A slow worker gets no new task for this time after it was last seen slow.
SLOW_PAUSE_S = 2.0
# Cost of a move: the stop, its record in the log and the order to start again.
MOVE_COST_S = 0.5
# The remaining time has to exceed the time of a fresh start by this factor, since both are
# estimates.
GAIN_FACTOR = 1.3
# Lower bound of the rate in estimates, in percent a second.
MIN_PERCENT_PER_S = 0.5


def on_rows(node: Node, at: Moment, worker: Worker) -> None:
    """
    Update the progress of a worker's tasks, and move tasks away from the worker if it is slow.

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
        if _is_cold_since(worker, row):
            _begin_window(worker, row)
        elif not _is_restoring(node, at, worker, task):
            _update_rate(node, worker, task, row)
    slow = _slow_tasks(node, at, worker, [task for task, _row in watched])
    if not slow or len(slow) < SLOW_TASKS_FRACTION * len(watched):
        return
    if at.now_s >= worker.slow_until_s:
        log_line(node, "worker.slow", worker=worker.id, slow=len(slow), watched=len(watched))
    worker.slow_until_s = at.now_s + SLOW_PAUSE_S
    node.plan_due = True
    _move_slow_tasks(node, at, worker, slow)


def _watched_task(node: Node, worker: Worker, row: RunRow) -> Task | None:
    """
    Return the task of a listed run if its progress is tracked, or ``None``.
    """
    task = find_task(node.replicated, row.key)
    if task is None or task.status != _replicated_state.RUNNING or task.run != row.run:
        return None
    if task.worker != worker.id or _runs.is_stopping(worker, row.key, row.run):
        return None
    step = node.replicated.jobs[row.key.job].spec.steps[row.key.step]
    return None if step.is_long_running or step.is_backfill else task


def _is_restoring(node: Node, at: Moment, worker: Worker, task: Task) -> bool:
    """
    Return whether a run may still restore its checkpoint, whose progress then shows at once.
    """
    started_s = worker.started_s.get(task.key, at.now_s)
    return bool(task.checkpoint) and at.now_s - started_s < node.bounds.restore_s


def _is_cold_since(worker: Worker, row: RunRow) -> bool:
    """
    Return whether a worker was cold at some time since the progress of a run was last evaluated.

    Its rate is no evidence then: the worker is slow for a known time, and a move would cost more.
    """
    progress = worker.progress.get(row.key)
    if progress is None or progress.run != row.run:
        return worker.clock_ms < worker.entry.cold_until_ms
    return progress.at_s * 1000 < worker.entry.cold_until_ms


def _begin_window(worker: Worker, row: RunRow) -> None:
    """
    Measure the progress of a run anew from now on, and keep its best rate.
    """
    former = worker.progress.get(row.key)
    best_rate = former.best_rate if former is not None and former.run == row.run else 0.0
    now_s = worker.clock_ms / 1000
    worker.progress[row.key] = RunProgress(row.run, row.percent, now_s, best_rate=best_rate)


def _update_rate(node: Node, worker: Worker, task: Task, row: RunRow) -> None:
    progress = worker.progress.get(task.key)
    # The worker's clock gives the time at which the list was made, however late it was read.
    now_s = worker.clock_ms / 1000
    if progress is None or progress.run != row.run:
        worker.progress[task.key] = RunProgress(row.run, row.percent, now_s)
        return
    elapsed_s = now_s - progress.at_s
    is_too_short = progress.best_rate * elapsed_s < MIN_WINDOW_PERCENT and progress.best_rate
    if elapsed_s < MIN_WINDOW_S or (is_too_short and elapsed_s < MAX_WINDOW_S):
        return
    progress.rate = (row.percent - progress.percent) / elapsed_s
    progress.best_rate = max(progress.best_rate, progress.rate)
    progress.no_progress_s = (
        progress.no_progress_s + elapsed_s if row.percent == progress.percent else 0.0
    )
    progress.percent, progress.at_s = row.percent, now_s
    step = task.key[:3]
    node.best_rates[step] = max(node.best_rates.get(step, 0.0), progress.rate)


def _step_state(node: Node, task: Task) -> StepState:
    job = node.replicated.jobs[task.key.job]
    return occurrence_of(job, task.key.occurrence)[task.key.step]


def _slow_tasks(node: Node, at: Moment, worker: Worker, tasks: list[Task]) -> list[Task]:
    """
    Return the tasks of a worker that have become slow or are much slower than others of their step.
    """
    rated = [task for task in tasks if _rated_progress(worker, task) is not None]
    compared = [task for task in rated if _is_slow_in_step(node, worker, task)]
    was_slow = worker.slow_until_s > 0 and at.now_s < worker.slow_until_s + RECENTLY_SLOW_S
    if len(compared) < MIN_SLOW_TASKS and not was_slow:
        fraction = SLOW_FRACTION_OF_STEP_ALONE
        compared = [task for task in compared if _is_slow_in_step(node, worker, task, fraction)]
    return [task for task in rated if task in compared or _has_become_slow(worker, task)]


def _rated_progress(worker: Worker, task: Task) -> RunProgress | None:
    """
    Return the progress of a task's present run, or ``None`` if it has no rate yet.
    """
    progress = worker.progress.get(task.key)
    if progress is None or progress.run != task.run or progress.rate is None:
        return None
    return progress


def _has_become_slow(worker: Worker, task: Task) -> bool:
    progress = worker.progress[task.key]
    is_slower = (progress.rate or 0.0) < SLOW_FRACTION_OF_BEST * progress.best_rate
    return is_slower or progress.no_progress_s >= STALLED_S


def _is_slow_in_step(
    node: Node, worker: Worker, task: Task, fraction: float = SLOW_FRACTION_OF_STEP
) -> bool:
    rate = worker.progress[task.key].rate or 0.0
    return task.key not in node.moved_rates and rate < fraction * node.best_rates[task.key[:3]]


def _move_slow_tasks(node: Node, at: Moment, worker: Worker, slow: list[Task]) -> None:
    candidates = _draining.other_candidates(node, at, worker)
    for task in slow:
        state = _step_state(node, task)
        if state.step.gang or not _finishes_sooner_elsewhere(node, worker, task, state):
            continue
        candidate = _draining.find_candidate(state, candidates)
        if candidate is None:
            continue
        candidate.free[0] = candidate.free[0].minus(state.resources)
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
        node.moved_rates[task.key] = _own_best_rate(node, worker, task)
        node.avoided_workers.setdefault(task.key, set()).add(worker.id)
        _runs.send_stop(node, at, worker, task.key, task.run)


def _finishes_sooner_elsewhere(node: Node, worker: Worker, task: Task, state: StepState) -> bool:
    progress = worker.progress[task.key]
    job = node.replicated.jobs[task.key.job]
    best_rate = node.best_rates[task.key[:3]]
    if task.key in node.moved_rates or _has_become_slow(worker, task):
        # Its own rate is known, and others of its step may be much smaller.
        best_rate = _own_best_rate(node, worker, task) or best_rate
    remaining = 100 - progress.percent
    remaining_here_s = remaining / max(MIN_PERCENT_PER_S, progress.rate or 0.0)
    if not best_rate:
        # Its rate elsewhere is unknown, as no task of the step has made progress.
        remaining_elsewhere_s = _durations.expected_s(node.replicated, job, task.key.step)
    else:
        remaining_elsewhere_s = (remaining if state.step.is_checkpointing else 100) / best_rate
    return remaining_here_s > GAIN_FACTOR * remaining_elsewhere_s + MOVE_COST_S


def _own_best_rate(node: Node, worker: Worker, task: Task) -> float:
    """
    Return the best rate of a task in its present run and in the runs that were moved.
    """
    return max(worker.progress[task.key].best_rate, node.moved_rates.get(task.key, 0.0))


def prune(node: Node) -> None:
    """
    Drop the rates of steps and tasks whose jobs are no longer open.

    :param node: the instance.
    """
    for key in [key for key in node.best_rates if key[0] not in node.replicated.open_jobs]:
        del node.best_rates[key]
    for task in [key for key in node.moved_rates if key.job not in node.replicated.open_jobs]:
        del node.moved_rates[task]
