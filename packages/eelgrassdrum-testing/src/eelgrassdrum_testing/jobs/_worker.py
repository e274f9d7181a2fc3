"""
A stand-in of a worker: runs tasks under a lease, and obeys the newest token.
"""

import msgspec

from eelgrassdrum_core.jobs import model

LEASE_OVER = "lapsed"


class Run(msgspec.Struct, eq=False):
    """
    A task that runs.

    :param work_s: how long it takes at full speed.
    :param ends_s: when it ends by itself; never for a task that lasts.
    :param how: how it will end.
    :param left_s: work that it had left at `left_at_s`, in seconds at full speed.
    :param is_late: whether its order was held up on the way.
    """

    key: model.TaskKey
    run: int
    resources: model.Resources
    started_s: float
    work_s: float
    ends_s: float
    how: str
    is_long_running: bool
    left_s: float
    left_at_s: float
    stop_s: float | None = None
    is_late: bool = False


class JobWorker(msgspec.Struct, eq=False):
    """
    One worker.

    :param speed: how fast its clock goes.
    :param work_speed: how fast tasks get on, against a sound worker; 0 when they stand still.
    :param unheard_part: part of the calls that don't reach it.
    :param late_part: part of the starts that are carried out seconds later, without an answer.
    :param late_call_part: the same for stops and holds.
    :param lost_part: part of all calls that are carried out at once, without an answer.
    :param fails_part: part of its tasks that fail, after as long as they would take.
    :param is_closed: whether calls to it fail at once while it is down, instead of by timeout.
    :param newest_run: newest run that was stopped or ended, by task.
    :param ended_s: when each end came about, by its number.
    :param former_capacity: its capacity before it last shrank.
    :param shrunk_s: when it last shrank.
    :param lapsed: numbers of the ends that were not noted before the lease ran out; the platform
        takes them as never noted.
    """

    id: str
    service: str
    zone: str
    instance: str
    address: str
    capacity: model.Resources
    incarnation: int
    born_s: float
    rack: str = "r1"
    speed: float = 1.0
    token: int = 0
    lease_ms: int = 0
    is_up: bool = True
    is_draining: bool = False
    is_cut: bool = False
    is_closed: bool = False
    unheard_part: float = 0.0
    late_part: float = 0.0
    late_call_part: float = 0.0
    lost_part: float = 0.0
    fails_all: bool = False
    fails_part: float = 0.0
    work_speed: float = 1.0
    former_capacity: model.Resources | None = None
    shrunk_s: float = -1e9
    runs: dict[model.TaskKey, Run] = {}
    ends: list[model.EndRow] = []
    end_number: int = 0
    newest_run: dict[model.TaskKey, int] = {}
    ended_s: dict[int, float] = {}
    lapsed: set[int] = set()

    def clock_ms(self, now_s: float) -> int:
        """
        Give its steady clock.

        :param now_s: time of the world.
        :returns: milliseconds.
        """
        return round((now_s - self.born_s) * 1000 * self.speed)

    def at_clock(self, clock_ms: int) -> float:
        """
        Give the world's time at which its clock shows a value.

        :param clock_ms: the value.
        :returns: seconds.
        """
        return self.born_s + clock_ms / 1000 / self.speed

    def shrink(self, now_s: float, part: float) -> None:
        """
        Lose a part of the capacity.

        :param now_s: time of the world.
        :param part: the part that is left, from 0 to 1.
        """
        self.former_capacity, self.shrunk_s = self.capacity, now_s
        self.capacity = model.Resources(*(round(amount * part) for amount in self.capacity))

    def grow(self) -> None:
        """
        Have the capacity from before the last loss again.
        """
        if self.former_capacity is not None:
            self.capacity = self.former_capacity

    def binding_capacity(self, now_s: float, notice_s: float) -> model.Resources:
        """
        Return the capacity that starts must respect.

        :param now_s: time of the world.
        :param notice_s: time after which a loss of capacity must be known, in seconds.
        :returns: the capacity before the last loss while that need not be known.
        """
        if self.former_capacity is not None and now_s - self.shrunk_s <= notice_s:
            return self.former_capacity
        return self.capacity

    def advance(self, now_s: float) -> list[Run]:
        """
        End the runs whose time has come.

        :param now_s: time of the world.
        :returns: the runs that have ended.
        """
        over_s = self.at_clock(self.lease_ms)
        ended = []
        for run in list(self.runs.values()):
            stop_s = run.stop_s if run.stop_s is not None else float("inf")
            at_s = min(run.ends_s, over_s, stop_s)
            if at_s > now_s:
                continue
            how = run.how if at_s == run.ends_s else LEASE_OVER
            if at_s == stop_s:
                how = "stopped"
            self._end(run, how, at_s)
            ended.append(run)
        if over_s <= now_s:
            self.lapsed.update(
                end.number for end in self.ends if self.ended_s[end.number] <= over_s
            )
        return ended

    def _end(self, run: Run, how: str, at_s: float) -> None:
        del self.runs[run.key]
        self.end_number += 1
        self.ends.append(model.EndRow(self.end_number, run.key, run.run, how, ""))
        self.ended_s[self.end_number] = at_s
        self.newest_run[run.key] = max(self.newest_run.get(run.key, 0), run.run)
        run.how = how

    def crash(self) -> None:
        """
        Lose everything at once.
        """
        self.runs.clear()
        self.ends.clear()
        self.newest_run.clear()
        self.ended_s.clear()
        self.lapsed.clear()
        self.end_number = self.token = self.lease_ms = 0

    def begin(
        self, key: model.TaskKey, run: int, step: model.Step, now_s: float, work_s: float, how: str
    ) -> Run:
        """
        Start a task.

        :param key: the task.
        :param run: number of the run.
        :param step: its step.
        :param now_s: time of the world.
        :param work_s: how long it takes at full speed, unless it lasts.
        :param how: how it will end.
        :returns: the run.
        """
        work_s = float("inf") if step.is_long_running else work_s
        ends_s = self.end_of(now_s, work_s)
        self.runs[key] = Run(
            key,
            run,
            step.resources,
            now_s,
            work_s,
            ends_s,
            how,
            step.is_long_running,
            work_s,
            now_s,
        )
        return self.runs[key]

    def end_of(self, now_s: float, work_s: float) -> float:
        """
        Give the time at which some work is done.

        :param now_s: time of the world.
        :param work_s: seconds that it takes at full speed.
        :returns: time of the world.
        """
        return now_s + work_s / self.work_speed if self.work_speed else float("inf")

    def set_work_speed(self, now_s: float, speed: float) -> None:
        """
        Become slow, or sound again.

        :param now_s: time of the world.
        :param speed: the new speed.
        """
        left = {key: self.left_s(run, now_s) for key, run in self.runs.items()}
        self.work_speed = speed
        for key, run in self.runs.items():
            run.left_s, run.left_at_s = left[key], now_s
            run.ends_s = self.end_of(now_s, left[key])

    def left_s(self, run: Run, now_s: float) -> float:
        """
        Give the work that a run has left.

        :param run: the run.
        :param now_s: time of the world.
        :returns: seconds at full speed.
        """
        return run.left_s - (now_s - run.left_at_s) * self.work_speed

    def rows(self, now_s: float) -> tuple[model.RunRow, ...]:
        """
        List what runs.

        :param now_s: time of the world.
        :returns: the rows.
        """
        return tuple(
            model.RunRow(run.key, run.run, "", self._percent(run, now_s), 0.0)
            for run in self.runs.values()
        )

    def _percent(self, run: Run, now_s: float) -> int:
        if run.is_long_running:
            return 100 if now_s - run.started_s > 0.5 else 50
        return round(99 * (1 - self.left_s(run, now_s) / max(0.001, run.work_s)))
