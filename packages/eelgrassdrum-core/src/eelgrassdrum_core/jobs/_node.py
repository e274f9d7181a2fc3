"""
Everything that one instance knows and is doing.
"""

from collections import deque
from typing import Any, NamedTuple

import msgspec

from . import effects
from ._records import Record
from ._replicated_state import ReplicatedState
from .model import Bounds, Config, InstanceRow, Resources, RunRow, TaskKey, Wave, WorkerEntry

NEVER_S = 1e18


class Moment(NamedTuple):
    """
    The time at which an event is reduced.

    :param now_s: a clock that goes on while the instance is suspended.
    :param wall_ms: the current Unix time.
    """

    now_s: float
    wall_ms: int


class Identity(NamedTuple):
    """
    Which instance this is.

    :param incarnation: Unix milliseconds of the process's start.
    :param weakness: 0 for an instance that can carry the owner's load, up to 1 for one that can't.
    :param address: where it takes records of callers from other instances, or empty.
    """

    instance: str
    incarnation: int
    zone: str
    weakness: float = 0.0
    address: str = ""

    @property
    def producer(self) -> str:
        """
        Name under which this process appends what its callers send.
        """
        return f"{self.instance}.{self.incarnation}"


class CallerRecords(NamedTuple):
    """
    Records of callers that the owner appends.

    :param token: the exchange with the instance that sent them, or ``None`` for this one.
    :param seq: number of this instance's batch.
    """

    token: int | None
    seq: int
    records: tuple[bytes, ...]
    since_s: float


class Batch(msgspec.Struct, eq=False):
    """
    Records that are appended together, and what follows once they stand in the log.

    :param callers: records of callers, appended behind the others.
    :param acks: incarnation of each worker, and its newest end that the records note.
    """

    records: list[Record] = []
    callers: list[CallerRecords] = []
    effects: list[Any] = []
    acks: dict[str, tuple[int, int]] = {}


class Journal(msgspec.Struct, eq=False):
    """
    The owner's appends.

    :param seq: number of the append in flight, or of the last one.
    :param sent_s: when the append in flight was first sent.
    :param last_sent_s: when it was last sent.
    :param heartbeat_s: when the newest beat was written.
    :param logged_s: when a line about a failed append was last written.
    :param is_waiting: whether an answer to it is outstanding.
    :param is_uncertain: whether it may stand in the log already.
    """

    next: Batch = msgspec.field(default_factory=Batch)
    in_flight: Batch | None = None
    data: tuple[bytes, ...] = ()
    seq: int = 0
    sent_s: float = 0.0
    last_sent_s: float = 0.0
    heartbeat_s: float = -1e9
    logged_s: float = -1e9
    is_waiting: bool = False
    is_uncertain: bool = False


class IntakeCall(NamedTuple):
    """
    A call whose record is to be appended.

    :param due_s: when its caller will have stopped waiting.
    """

    token: int
    record: Record
    due_s: float
    since_s: float


class Intake(msgspec.Struct, eq=False):
    """
    Appends of what callers send.

    :param is_uncertain: whether the batch in flight may stand in the log already.
    :param is_failing: whether the newest outcome of a batch was no success.
    :param direct_until_s: batches go to the store itself before this time.
    :param route: where the batch in flight was sent.
    :param outcomes: what became of batches that this instance, as the owner, appended itself.
    :param accepted: jobs that stand in the log but were not read from it yet, by time.
    :param pending_cancels: calls that wait until the log says whether their job exists.
    """

    waiting: deque[IntakeCall] = msgspec.field(default_factory=deque)
    batch: tuple[IntakeCall, ...] = ()
    data: tuple[bytes, ...] = ()
    seq: int = 0
    last_sent_s: float = 0.0
    is_waiting: bool = False
    is_uncertain: bool = False
    is_failing: bool = False
    direct_until_s: float = 0.0
    route: Any = None
    outcomes: list[tuple[int, str]] = []
    abandoned: set[int] = set()
    accepted: dict[str, float] = {}
    pending_cancels: dict[str, list[tuple[int, float]]] = {}


class Order(msgspec.Struct, eq=False):
    """
    A start that the owner has ordered.

    :param lease_ms: time on the worker's clock from which the order is void.
    :param answered_s: when the worker confirmed it; 0 while it has not.
    :param sent_s: when it was sent; 0 before.
    :param unanswered_s: when it was given up on without an answer; 0 before.
    :param barred_s: when the worker confirmed that the run can't begin any more; 0 before.
    """

    run: int
    lease_ms: int = 0
    answered_s: float = 0.0
    sent_s: float = 0.0
    unanswered_s: float = 0.0
    barred_s: float = 0.0
    ticket: str = ""


class RunProgress(msgspec.Struct, eq=False):
    """
    How a run gets on.

    :param percent: its progress in the list that was last measured.
    :param at_s: the worker's clock at that list, in seconds.
    :param rate: percent a second between the last two lists, or ``None``.
    :param best_rate: the highest of these.
    :param no_progress_s: for how long it has made no progress.
    """

    run: int
    percent: int
    at_s: float
    rate: float | None = None
    best_rate: float = 0.0
    no_progress_s: float = 0.0


class Worker(msgspec.Struct, eq=False):
    """
    What the owner knows of a worker.

    :param is_listed: whether the registry has an entry of it.
    :param has_ended: whether its life is known to have ended, whatever its entry says.
    :param token_raises: how often this owner has raised its token for the worker.
    :param possible_runs_until_s: until when a life that never answered may have runs.
    :param outbox: orders to start tasks that wait for others to be answered.
    :param outstanding: orders to start tasks without an answer.
    :param is_held: whether it has accepted this owner's token.
    :param clock_ms: its clock at `clock_at_s`.
    :param granted_ms: latest end of a lease that it was given.
    :param holds: calls for its lists without an answer.
    :param handled: newest end that was taken up.
    :param acked: newest end that stands in the log.
    :param ack_confirmed: newest end whose note the worker is known to have been told of.
    :param orders: starts by task.
    :param stops: when each stop was last sent.
    :param rows: what it listed last.
    :param rows_s: when the call that listed them was sent.
    :param unknown_runs: room of runs that it lists and the book does not.
    :param throttles: percent that each paced task was last given.
    :param pace: pace of its backfill, once there was any.
    :param no_starts_until_s: no starts before this time.
    :param progress: how its runs get on, by task.
    :param slow_until_s: it counts as slow before this time.
    :param lists_due_s: when its lists should be here at the latest.
    :param answer_due_s: when its answer to an order to start should be here at the latest.
    """

    entry: WorkerEntry
    is_listed: bool = True
    has_ended: bool = False
    token_raises: int = 0
    possible_runs_until_s: float = 0.0
    outbox: deque[Any] = msgspec.field(default_factory=deque)
    outstanding: int = 0
    is_held: bool = False
    is_failing: bool = False
    failing_since_s: float = 0.0
    clock_ms: int = 0
    clock_at_s: float = 0.0
    granted_ms: int = 0
    holds: int = 0
    next_hold_s: float = 0.0
    handled: int = 0
    acked: int = 0
    ack_confirmed: int = 0
    orders: dict[TaskKey, Order] = {}
    stops: dict[TaskKey, tuple[int, float]] = {}
    rows: dict[TaskKey, RunRow] = {}
    rows_s: float = 0.0
    unknown_runs: dict[TaskKey, Resources] = {}
    throttles: dict[TaskKey, int] = {}
    pace: Any = None
    no_starts_until_s: float = 0.0
    failed_jobs: deque[str] = msgspec.field(default_factory=lambda: deque(maxlen=8))
    started_s: dict[TaskKey, float] = {}
    progress: dict[TaskKey, RunProgress] = {}
    slow_until_s: float = 0.0
    lists_due_s: float = NEVER_S
    answer_due_s: float = NEVER_S

    @property
    def id(self) -> str:
        """
        Its id in the registry.
        """
        return self.entry.id


class WaveState(msgspec.Struct, eq=False):
    """
    A maintenance wave.

    :param seen_s: when this instance learnt of it.
    :param published: state that was last published.
    """

    wave: Wave
    seen_s: float
    published: str = ""
    asked_s: float = 0.0


class Fleet(msgspec.Struct, eq=False):
    """
    What the owner knows of the instances of workers.

    :param rows: newest row of each instance.
    :param listed_s: when the newest list was asked for.
    :param in_flight: orders without an answer, by instance.
    :param retry_s: earliest time of another order, by instance.
    :param draining: instances that take no new work, with the reason.
    :param wave_of: the wave for which each is emptied.
    :param pool_of: the pool to which each is moved.
    :param down: instances that were ordered down and are not known to be back, since when.
    :param rows_s: when the list that the rows are from was asked for.
    :param next_order_s: earliest time of the next order, by the rate that the service takes.
    """

    rows: dict[str, InstanceRow] = {}
    listed_s: float = -1e9
    is_listing: bool = False
    in_flight: dict[str, float] = {}
    retry_s: dict[str, float] = {}
    draining: dict[str, str] = {}
    wave_of: dict[str, int] = {}
    pool_of: dict[str, str] = {}
    down: dict[str, float] = {}
    rows_s: float = -1e9
    next_order_s: float = 0.0


class StepAdvice(msgspec.Struct, eq=False):
    """
    What the advice service said about a step.

    :param tickets: ticket and its time of expiry, by worker.
    :param refused: workers that may not run it.
    """

    tickets: dict[str, tuple[str, float]] = {}
    refused: set[str] = set()
    is_asking: bool = False
    retry_s: float = 0.0


class Tail(msgspec.Struct, eq=False):
    """
    Reading of the log.

    :param has_caught_up: whether the log was read to its end since the book was begun.
    :param last_success_s: when the newest answered read was sent.
    :param readable_since_s: since when reads have not failed.
    :param owner_record_s: when a record of the owner was last read.
    :param owner_gap_s: longest time between two reads with records of the owner, of late.
    :param wait_s: how long the read under way may wait at the store.
    :param store_delay_s: how long the store takes for an answer beyond that, of late.
    """

    is_reading: bool = False
    next_read_s: float = 0.0
    is_caught_up: bool = False
    has_caught_up: bool = False
    needs_snapshot: bool = True
    last_success_s: float = -1e9
    answered_s: float = -1e9
    readable_since_s: float = 1e18
    owner_record_s: float = 0.0
    owner_gap_s: float = 0.0
    wait_s: float = 0.0
    store_delay_s: float = 0.0


class Ownership(msgspec.Struct, eq=False):
    """
    Whether this instance owns the log.

    :param epoch: epoch of this instance's claim, while it owns the log.
    :param claimed_s: when it came to own the log.
    :param confirmed_s: when the newest append that succeeded was sent.
    :param next_claim_s: earliest time of another claim.
    :param refused_epoch: epoch that the store refused.
    """

    is_owner: bool = False
    epoch: int = 0
    claimed_s: float = 0.0
    confirmed_s: float = -1e9
    claim_sent_s: float = 0.0
    next_claim_s: float = 0.0
    is_claiming: bool = False
    refused_epoch: int = 0
    reload_wanted: bool = False


class Subscription(msgspec.Struct, eq=False):
    """
    Reading of records that others write.
    """

    cursor: int | None = None
    is_reading: bool = False
    next_read_s: float = 0.0
    last_success_s: float = -1e9


class Node(msgspec.Struct, eq=False):
    """
    One instance.

    :param silent_zones: availability zones whose workers seem to be cut off.
    :param best_rates: highest progress of a run in percent a second, by job, occurrence and step.
    :param process_start_s: when the process began.
    """

    identity: Identity
    bounds: Bounds
    replicated: ReplicatedState = msgspec.field(default_factory=ReplicatedState)
    tail: Tail = msgspec.field(default_factory=Tail)
    ownership: Ownership = msgspec.field(default_factory=Ownership)
    journal: Journal = msgspec.field(default_factory=Journal)
    intake: Intake = msgspec.field(default_factory=Intake)
    config: Config | None = None
    operator: Subscription = msgspec.field(default_factory=Subscription)
    registry: Subscription = msgspec.field(default_factory=Subscription)
    workers: dict[str, Worker] = {}
    waves: dict[int, WaveState] = {}
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    advice: dict[tuple[str, int, int], StepAdvice] = {}
    best_rates: dict[tuple[str, int, int], float] = {}
    silent_zones: frozenset[str] = frozenset()
    pools: dict[str, Any] = {}
    pools_s: float = 0.0
    avoid: dict[TaskKey, set[str]] = {}
    process_start_s: float = -1.0
    is_stopping: bool = False
    stop_asked_s: float = 0.0
    plan_due: bool = False
    next_plan_s: float = 0.0
    forget_s: float = 0.0
    snapshot_s: float = 0.0
    snapshot_offset: int = 0
    is_snapshotting: bool = False
    out: list[Any] = []


def emit(node: Node, effect: object) -> None:
    """
    Add an effect to those of the event that is being reduced.

    :param node: the instance.
    :param effect: the effect.
    """
    node.out.append(effect)


def log_line(node: Node, action: str, **fields: Any) -> None:
    """
    Add a line of the structured log.

    :param node: the instance.
    :param action: what was decided or learnt.
    :param fields: what decided it.
    """
    node.out.append(effects.WriteLine(action, fields))
