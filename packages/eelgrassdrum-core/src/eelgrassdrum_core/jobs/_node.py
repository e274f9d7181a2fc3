"""
The state of one instance.
"""

from collections import Counter, deque
from typing import Any, NamedTuple

import msgspec

from . import effects
from ._admission import PoolLoad
from ._neighbours import Neighbours
from ._on_time import Selection
from ._records import LeaseBounded, Record
from ._replicated_state import ReplicatedState
from ._reserves import Bursts
from .events import CallReceived
from .model import (
    Bounds,
    Config,
    InstanceRow,
    Refusal,
    Resources,
    RunRow,
    TaskKey,
    Wave,
    WorkerEntry,
)

NEVER_S = 1e18


class Moment(NamedTuple):
    """
    The time at which an event is reduced.

    :param now_s: monotonic clock that keeps running while the instance is suspended.
    :param wall_ms: Unix time.
    """

    now_s: float
    wall_ms: int


class Identity(NamedTuple):
    """
    Identity of an instance.

    :param incarnation: Unix time in milliseconds at which the process started.
    :param weakness: 0 for an instance that can carry the owner's load, up to 1 for one that can't.
    :param address: address at which it accepts callers' records from other instances, or empty.
    """

    instance: str
    incarnation: int
    zone: str
    weakness: float = 0.0
    address: str = ""

    @property
    def producer(self) -> str:
        """
        Name of this process, unique across restarts.
        """
        return f"{self.instance}.{self.incarnation}"


class CallerRecords(NamedTuple):
    """
    Callers' records that the owner appends.

    :param token: identifies the request of the instance that sent the records; ``None`` if this
        instance accepted them itself.
    :param seq: sequence number of this instance's own batch.
    :param since_s: when the owner received the records.
    :param refused: jobs of the same batch that the owner refused.
    """

    token: int | None
    seq: int
    records: tuple[bytes, ...]
    since_s: float
    refused: tuple[Refusal, ...] = ()


class Batch(msgspec.Struct, eq=False):
    """
    Records that are appended together, and the effects that follow once they are committed.

    :param data: the encoded records, in the same order.
    :param size_bytes: size of all encoded records, including those of callers.
    :param callers: callers' records, appended after the others.
    :param acks: by worker, its incarnation and the number of its latest recorded end of a run.
    :param bounds: records that bound the leases of workers which had no bound before, by worker.
    """

    records: list[Record] = []
    data: list[bytes] = []
    size_bytes: int = 0
    callers: list[CallerRecords] = []
    effects: list[Any] = []
    acks: dict[str, tuple[int, int]] = {}
    bounds: dict[str, LeaseBounded] = {}


class Journal(msgspec.Struct, eq=False):
    """
    The owner's appends.

    :param queue: batches to append after the one in flight, in their order; they are full.
    :param next: batch to append after those, to which records are added.
    :param data: encoded records of the batch in flight.
    :param seq: sequence number of the append in flight, or of the last one.
    :param sent_s: when the append in flight was first sent.
    :param last_sent_s: when it was last sent.
    :param heartbeat_s: when the latest heartbeat was written.
    :param logged_s: when a failed append was last logged.
    :param confirms_s: when the earliest attempt was sent that a response may belong to.
    :param is_waiting: whether a response to the append is outstanding.
    :param is_uncertain: whether the append in flight may already be committed.
    """

    queue: deque[Batch] = msgspec.field(default_factory=deque)
    next: Batch = msgspec.field(default_factory=Batch)
    in_flight: Batch | None = None
    data: tuple[bytes, ...] = ()
    seq: int = 0
    sent_s: float = 0.0
    last_sent_s: float = 0.0
    confirms_s: float = 0.0
    heartbeat_s: float = -1e9
    logged_s: float = -1e9
    is_waiting: bool = False
    is_uncertain: bool = False


class IntakeCall(NamedTuple):
    """
    A call whose record is to be appended.

    :param due_s: time by which the caller must be answered.
    :param since_s: when the call was received.
    """

    token: int
    record: Record
    due_s: float
    since_s: float


class Intake(msgspec.Struct, eq=False):
    """
    Appends of callers' records.

    :param batch: calls of the batch in flight.
    :param data: encoded records of the batch in flight.
    :param seq: sequence number of the latest attempt to append a batch.
    :param first_seq: sequence number of the first attempt of the batch in flight.
    :param is_uncertain: whether the batch in flight may already be committed.
    :param is_failing: whether the latest append of a batch failed.
    :param direct_until_s: batches are appended directly to the store before this time.
    :param unheard_until_s: the same, unless a record of the owner is read.
    :param is_owner_mute: whether the owner didn't respond to the latest batch forwarded to it.
    :param was_given_back: whether the owner gave back the latest batch since the return of the log.
    :param route: destination of the batch in flight.
    :param outcomes: sequence numbers, outcomes and refused jobs of batches that this instance
        appended as the owner.
    :param abandoned: tokens of calls that need no answer any more.
    :param accepted: jobs that are committed but were not read from the log yet, with the time of
        their acceptance.
    :param pending_cancels: by job, tokens and due times of calls that wait until the log shows
        whether the job exists.
    :param questions: calls that wait for a read of the log, with the time of their arrival.
    :param is_answering: whether such calls are being answered from the state as it is.
    """

    waiting: deque[IntakeCall] = msgspec.field(default_factory=deque)
    batch: tuple[IntakeCall, ...] = ()
    data: tuple[bytes, ...] = ()
    seq: int = 0
    first_seq: int = 0
    last_sent_s: float = 0.0
    is_waiting: bool = False
    is_uncertain: bool = False
    is_failing: bool = False
    direct_until_s: float = 0.0
    unheard_until_s: float = 0.0
    is_owner_mute: bool = False
    was_given_back: bool = False
    route: Any = None
    outcomes: list[tuple[int, str, tuple[Refusal, ...]]] = []
    abandoned: set[int] = set()
    accepted: dict[str, float] = {}
    pending_cancels: dict[str, list[tuple[int, float]]] = {}
    questions: deque[tuple[CallReceived, float]] = msgspec.field(default_factory=deque)
    is_answering: bool = False


class Order(msgspec.Struct, eq=False):
    """
    An order of the owner to start a run.

    :param lease_ms: time on the worker's clock at which the order expires.
    :param answered_s: when the worker confirmed it, or 0.
    :param sent_s: when it was sent, or 0.
    :param unanswered_s: when it timed out without a response, or 0.
    :param barred_s: when the worker confirmed that the run can no longer begin, or 0.
    :param ticket: ticket of the advice service, or empty.
    :param gang_zones: availability zones of all members of its gang.
    """

    run: int
    lease_ms: int = 0
    answered_s: float = 0.0
    sent_s: float = 0.0
    unanswered_s: float = 0.0
    barred_s: float = 0.0
    ticket: str = ""
    gang_zones: frozenset[str] = frozenset()


class Stop(NamedTuple):
    """
    The latest order to stop a run.

    :param sent_s: when it was sent.
    :param since_s: when the run was first ordered to stop.
    :param is_acked: whether the worker has acknowledged it.
    """

    run: int
    sent_s: float
    since_s: float
    is_acked: bool = False


class RunProgress(msgspec.Struct, eq=False):
    """
    Progress of a run.

    :param percent: progress in the worker's latest list that was evaluated.
    :param at_s: the worker's clock at that list, in seconds.
    :param rate: progress between the last two lists in percent per second, or ``None``.
    :param best_rate: highest rate so far.
    :param no_progress_s: seconds since its last progress.
    """

    run: int
    percent: int
    at_s: float
    rate: float | None = None
    best_rate: float = 0.0
    no_progress_s: float = 0.0


class Worker(msgspec.Struct, eq=False):
    """
    The owner's view of a worker.

    :param has_entry: whether the registry has an entry of it.
    :param has_ended: whether its incarnation is considered ended, whatever its entry says.
    :param ended_s: when it was last considered ended.
    :param ended_reason: reason for which it was last considered ended, or empty.
    :param ignored_reason: reason for which its entry was last logged as ignored, or empty.
    :param incarnation_s: time by which its incarnation had certainly begun.
    :param former_incarnations: its incarnations that are over, as far as this owner knows.
    :param token_raises: number of times this owner has raised its fencing token for the worker.
    :param other_leases_until_s: time until which leases may last that `granted_ms` doesn't count,
        because a former owner granted them or a delayed order to a former incarnation did.
    :param outbox: orders to start tasks that wait for responses to earlier ones.
    :param outstanding: number of orders to start tasks without a response.
    :param unsent_orders: number of orders that are decided and were not sent.
    :param is_held: whether it has accepted this owner's fencing token.
    :param clock_ms: its clock at `clock_at_s`.
    :param granted_ms: latest expiry of the leases that it was granted, by its own clock.
    :param holds: number of lease renewals without a response.
    :param holds_since_s: time since which they are counted.
    :param handled: number of its latest end of a run that was processed.
    :param acked: number of its latest end of a run that is committed to the log.
    :param ack_confirmed: number of the latest end whose acknowledgement it is known to have
        received.
    :param orders: orders to start runs, by task.
    :param stops: latest order to stop a run, by task.
    :param rows: runs that it listed last, by task.
    :param rows_s: when the call that returned this list was sent.
    :param next_list_s: its next list is not requested before this time, as the last one was long.
    :param unknown_runs: resources of runs that it lists but that the log doesn't contain, by task.
    :param throttles: percentage that each throttled task was last set to.
    :param pace: state of the throttling of its backfill, once there was any.
    :param no_starts_until_s: no runs are started on it before this time.
    :param has_left: whether its former incarnation ended by a drain or an order.
    :param former_established: established runs of its former incarnation.
    :param progress: progress of its runs, by task.
    :param slow_until_s: it is considered slow before this time.
    :param lists_due_s: deadline for its next list of runs.
    :param answer_due_s: deadline for its response to an order to start a task.
    :param shares: how much of each image ran on it at the latest sample, as in `Report`.
    :param shares_s: time of that sample.
    """

    entry: WorkerEntry
    has_entry: bool = True
    has_ended: bool = False
    ended_s: float = 0.0
    ended_reason: str = ""
    ignored_reason: str = ""
    incarnation_s: float = 0.0
    former_incarnations: set[int] = set()
    token_raises: int = 0
    other_leases_until_s: float = 0.0
    outbox: deque[Any] = msgspec.field(default_factory=deque)
    outstanding: int = 0
    unsent_orders: int = 0
    is_held: bool = False
    is_failing: bool = False
    failing_since_s: float = 0.0
    clock_ms: int = 0
    clock_at_s: float = 0.0
    granted_ms: int = 0
    holds: int = 0
    holds_since_s: float = 0.0
    next_hold_s: float = 0.0
    handled: int = 0
    acked: int = 0
    ack_confirmed: int = 0
    orders: dict[TaskKey, Order] = {}
    stops: dict[TaskKey, Stop] = {}
    rows: dict[TaskKey, RunRow] = {}
    rows_s: float = 0.0
    next_list_s: float = 0.0
    unknown_runs: dict[TaskKey, Resources] = {}
    throttles: dict[TaskKey, int] = {}
    pace: Any = None
    no_starts_until_s: float = 0.0
    failed_jobs: deque[str] = msgspec.field(default_factory=lambda: deque(maxlen=8))
    started_s: dict[TaskKey, float] = {}
    has_left: bool = False
    former_established: frozenset[TaskKey] = frozenset()
    progress: dict[TaskKey, RunProgress] = {}
    slow_until_s: float = 0.0
    lists_due_s: float = NEVER_S
    answer_due_s: float = NEVER_S
    shares: dict[str, float] = {}
    shares_s: float = -1e9

    @property
    def id(self) -> str:
        """
        Id of the worker in the registry.
        """
        return self.entry.id

    @property
    def is_listed(self) -> bool:
        """
        Whether the registry has an entry of its incarnation and this has not ended.
        """
        return self.has_entry and not self.has_ended


class WaveState(msgspec.Struct, eq=False):
    """
    A maintenance wave.

    :param seen_s: when this instance read the wave.
    :param published: state that was last published.
    :param next_publish_s: earliest time of the next attempt to publish its state.
    """

    wave: Wave
    seen_s: float
    published: str = ""
    next_publish_s: float = 0.0


class Fleet(msgspec.Struct, eq=False):
    """
    The owner's view of the instances that workers run on.

    :param rows: latest listing of each instance.
    :param listed_s: when the latest list was requested.
    :param in_flight: when each order without a response was decided, by instance.
    :param unanswered: since when the latest attempt of an order that has no answer may be carried
        out late, by instance.
    :param refused: when an order was refused whose instance may be down or may still go down, by
        instance.
    :param retry_s: earliest time of another order, by instance.
    :param draining: instances that get no new work, with the reason.
    :param wave_of: wave for which each instance is drained.
    :param pool_of: pool to which each instance is moved.
    :param down: instances that were ordered down and are not known to be up again, with the time
        since which this owner considers them down.
    :param rows_s: when the list that `rows` comes from was requested.
    :param next_order_s: earliest time of the next order, limited by the service's rate.
    :param former_workers: for each ordered instance, the workers that it had before the order was
        first recorded, and their incarnations; empty if a previous owner recorded it.
    :param moved: instances whose move a list showed done, until that is recorded.
    :param emptying_since_s: since when instances in use are emptied for another pool.
    """

    rows: dict[str, InstanceRow] = {}
    listed_s: float = -1e9
    is_listing: bool = False
    in_flight: dict[str, float] = {}
    unanswered: dict[str, float] = {}
    refused: dict[str, float] = {}
    retry_s: dict[str, float] = {}
    draining: dict[str, str] = {}
    wave_of: dict[str, int] = {}
    pool_of: dict[str, str] = {}
    down: dict[str, float] = {}
    rows_s: float = -1e9
    next_order_s: float = 0.0
    former_workers: dict[str, dict[str, int]] = {}
    moved: set[str] = set()
    emptying_since_s: dict[str, float] = {}


class StepAdvice(msgspec.Struct, eq=False):
    """
    Responses of the advice service for a step.

    :param tickets: ticket and its expiry time, by worker.
    :param refused: workers that may not run it.
    """

    tickets: dict[str, tuple[str, float]] = {}
    refused: set[str] = set()
    is_asking: bool = False
    retry_s: float = 0.0


class Tail(msgspec.Struct, eq=False):
    """
    State of reading the log.

    :param is_caught_up: whether the latest read reached the end of the log.
    :param has_caught_up: whether the end of the log was reached since the replicated state was
        created.
    :param is_incomplete: whether records are missing from the replicated state that another
        instance may know, since the log lost them before any snapshot.
    :param read_bytes: size of all records that were read.
    :param sent_s: when the latest read was sent.
    :param last_success_s: when the latest successful read was sent.
    :param answered_s: when its response arrived.
    :param complete_s: time up to which the replicated state has all acknowledged records.
    :param readable_since_s: time since which no read has failed; 1e18 while reads fail.
    :param owner_record_s: when a record of the owner was last read, or an outage of the log ended.
    :param owner_gap_s: decaying maximum of the time between two reads with records of the owner.
    :param claim_read_s: when the latest claim was read, or the state was last rebuilt.
    :param steady_since_s: time since which all reads were complete and quick; 1e18 after others.
    :param wait_s: how long the read in progress may wait at the store.
    :param store_delay_s: decaying maximum of the store's response time beyond `wait_s`.
    """

    is_reading: bool = False
    next_read_s: float = 0.0
    is_caught_up: bool = False
    has_caught_up: bool = False
    needs_snapshot: bool = True
    is_incomplete: bool = False
    read_bytes: int = 0
    sent_s: float = -1e9
    last_success_s: float = -1e9
    answered_s: float = -1e9
    complete_s: float = -1e9
    readable_since_s: float = 1e18
    owner_record_s: float = 0.0
    owner_gap_s: float = 0.0
    claim_read_s: float = -1e9
    steady_since_s: float = 1e18
    wait_s: float = 0.0
    store_delay_s: float = 0.0


class Ownership(msgspec.Struct, eq=False):
    """
    State of this instance's ownership of the log.

    :param epoch: epoch of this instance's latest ownership.
    :param claimed_s: when it became the owner.
    :param claimed_log_s: the log's elapsed time then.
    :param confirmed_s: when the latest successful append was sent.
    :param claimed_epoch: epoch of this instance's latest claim.
    :param claim_since_s: when it first claimed that epoch.
    :param claim_sent_s: when the latest claim was sent.
    :param is_claim_awaited: whether this instance owns the log once it reads that claim.
    :param next_claim_s: earliest time of another claim.
    :param refused_epoch: highest epoch that the store has refused.
    :param has_released: whether this owner has asked the other instances to claim the log.
    :param committed_s: when an append last succeeded.
    :param committing_since_s: since when appends have succeeded without a long pause.
    :param ended_s: when its latest ownership ended.
    :param reload_wanted: whether the replicated state must be rebuilt from the store.
    """

    is_owner: bool = False
    epoch: int = 0
    claimed_s: float = 0.0
    claimed_log_s: float = 0.0
    confirmed_s: float = -1e9
    claimed_epoch: int = 0
    claim_since_s: float = 0.0
    claim_sent_s: float = 0.0
    is_claim_awaited: bool = False
    next_claim_s: float = 0.0
    is_claiming: bool = False
    refused_epoch: int = 0
    reload_wanted: bool = False
    has_released: bool = False
    committed_s: float = -1e9
    committing_since_s: float = -1e9
    ended_s: float = -1e9


class Subscription(msgspec.Struct, eq=False):
    """
    State of polling records that others publish.

    :param cursor: position of the next read, or ``None`` to read all records.
    :param sent_s: when the latest read was sent.
    :param answered_sent_s: when the latest successful read of the registry was sent.
    :param last_success_s: when the operator's records were last read to their end, or those of the
        registry were read.
    :param is_behind: whether the latest read of the operator's records left some.
    :param is_arriving: whether the response to the latest read has begun to arrive.
    :param read_to: offset before which all records of the operator are known.
    """

    cursor: int | None = None
    is_reading: bool = False
    next_read_s: float = 0.0
    sent_s: float = -1e9
    answered_sent_s: float = -1e9
    last_success_s: float = -1e9
    is_behind: bool = False
    is_arriving: bool = False
    read_to: int = 0


class Evacuation(NamedTuple):
    """
    The newest known request about an availability zone.

    :param offset: offset of its record, or of the last one that a read of all records covered, if
        that read showed that the request was withdrawn.
    :param since_s: when this instance learned of it.
    """

    offset: int
    is_evacuated: bool
    since_s: float


class WaitingWork(msgspec.Struct, eq=False):
    """
    Work that the owner sees waiting, for log lines.

    :param epoch: ownership to which the rest applies.
    :param next_check_s: when the waiting work is next determined.
    :param steps: for each step with tasks that may start, by job, occurrence and step: since when
        none of them has started, and how many there are.
    :param unconfirmed: since when each run by the log is not confirmed by its worker, by worker,
        task and whether the worker doesn't answer.
    :param next_line_s: earliest time of the next line, by action and pool.
    """

    epoch: int = 0
    next_check_s: float = 0.0
    steps: dict[tuple[str, int, int], tuple[float, int]] = {}
    unconfirmed: dict[tuple[str, TaskKey, bool], float] = {}
    next_line_s: dict[tuple[str, str], float] = {}


class StoreContact(msgspec.Struct, eq=False):
    """
    Whether the store responds to reads of the log.

    :param silent_since_s: when a read had no response, if none has succeeded since; otherwise
        ``None``.
    :param answered_sent_s: when the latest successful read was sent.
    :param resumed_s: when a read last succeeded after a failed one.
    :param logged_s: when the failure of a read that was replaced was last logged.
    """

    silent_since_s: float | None = None
    answered_sent_s: float = -1e9
    resumed_s: float = -1e9
    logged_s: float = -1e9


class Apart(msgspec.Struct, eq=False):
    """
    Decisions of this owner that keep tasks apart.

    :param kept: number of tasks that took another worker than without them.
    :param unlogged: number of those since the latest line.
    :param next_line_s: earliest time of the next line.
    :param next_worst_s: earliest time of the next lines about the worst pairs.
    """

    kept: int = 0
    unlogged: int = 0
    next_line_s: float = 0.0
    next_worst_s: float = 0.0


class Node(msgspec.Struct, eq=False):
    """
    The state of an instance.

    :param unreachable_zones: availability zones whose workers seem to be unreachable.
    :param best_rates: highest progress rate of a run in percent per second, by job, occurrence and
        step.
    :param moved_rates: for tasks that were moved away from a slow worker, their own highest
        progress rate so far.
    :param avoided_workers: workers to avoid for the next run of a task, by task.
    :param is_awaiting_answers: whether a task waits for the answer of a worker to start there.
    :param unknown_used: resources that unknown runs of known jobs used at the latest plan, by
        workspace.
    :param stops_sent: stops of runs that must end which were sent since `stops_since_s`.
    :param begun_jobs: jobs that have begun, as far as no record tells so, in order.
    :param unsent_by_step: number of orders that are decided and were not sent, by step.
    :param kept_used: resources that the latest plan kept for the rest of large steps, by workspace.
    :param process_start_s: when the process started.
    :param plan_due: whether an event requires a new plan.
    :param last_cleanup_s: when expired jobs were last removed.
    :param next_snapshot_s: earliest time of the next snapshot.
    :param gap_offset: offset from which the log was last read in vain, since it begins later.
    :param snapshot_offset: offset of the last snapshot that this instance stored, or 0.
    :param snapshot_s: when the state of the last snapshot that this instance stored was encoded.
    :param snapshot_bytes: value of `Tail.read_bytes` at that time.
    :param snapshotting_s: when the state of the snapshot that is being stored was encoded.
    :param snapshotting_bytes: value of `Tail.read_bytes` at that time.
    :param recent_use: what workspaces have used of the pools lately, once there is any.
    :param scarce_pools: pools in which the latest plan found too little room.
    :param selections: the work that goes first in each of these pools.
    :param pool_ranks: the order of the steps in each of these pools by that selection.
    :param put_off: jobs and occurrences that it put off.
    :param late_jobs: open jobs of which a step was late before it started.
    :param next_order_line_s: earliest time of the next line about the start order, by pool.
    :param evacuations: newest request of the operator, by availability zone.
    :param next_duration_line_s: earliest time of the next line about the learned durations, by
        queue and step.
    :param next_sizes_line_s: earliest time of the next line about the sizes of pools.
    :param pool_loads: the waiting work of each of these pools.
    :param admitted: accepted jobs of these pools whose records aren't in the replicated state yet.
    :param refused_s: when this owner first refused each of the latest refused jobs, by job.
    :param refusal_lines: lines about refused jobs in the current second, by pool.
    :param worker_health: health of the workers, by instance.
    :param queue_outcomes: outcomes of jobs, by queue.
    :param rack_waits: waits of steps for the racks of their data, by job, occurrence and step.
    :param neighbours: images that slow each other down, as this owner has learned.
    :param apart: decisions that rest on them.
    :param out: effects of the event that is being reduced.
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
    store: StoreContact = msgspec.field(default_factory=StoreContact)
    workers: dict[str, Worker] = {}
    waves: dict[int, WaveState] = {}
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    advice: dict[tuple[str, int, int], StepAdvice] = {}
    best_rates: dict[tuple[str, int, int], float] = {}
    moved_rates: dict[TaskKey, float] = {}
    unreachable_zones: frozenset[str] = frozenset()
    pools: dict[str, Any] = {}
    bursts: Bursts = msgspec.field(default_factory=Bursts)
    next_pools_s: float = 0.0
    avoided_workers: dict[TaskKey, set[str]] = {}
    is_awaiting_answers: bool = False
    unknown_used: dict[str, Resources] = {}
    kept_used: dict[str, Resources] = {}
    begun_jobs: dict[str, None] = {}
    unsent_by_step: Counter[tuple[str, int, int]] = msgspec.field(default_factory=Counter)
    stops_since_s: float = -NEVER_S
    stops_sent: int = 0
    waiting_work: WaitingWork = msgspec.field(default_factory=WaitingWork)
    process_start_s: float = -1.0
    is_stopping: bool = False
    stop_asked_s: float = 0.0
    plan_due: bool = False
    next_plan_s: float = 0.0
    last_cleanup_s: float = 0.0
    next_snapshot_s: float = 0.0
    gap_offset: int = -1
    snapshot_offset: int = 0
    snapshot_s: float = -NEVER_S
    snapshot_bytes: int = 0
    snapshotting_s: float = 0.0
    snapshotting_bytes: int = 0
    is_snapshotting: bool = False
    recent_use: Any = None
    scarce_pools: frozenset[str] = frozenset()
    selections: dict[str, Selection] = {}
    pool_ranks: dict[str, Any] = {}
    put_off: set[tuple[str, int]] = set()
    late_jobs: set[str] = set()
    next_order_line_s: dict[str, float] = {}
    evacuations: dict[str, Evacuation] = {}
    next_duration_line_s: dict[tuple[str, int], float] = {}
    next_sizes_line_s: float = 0.0
    pool_loads: dict[str, PoolLoad] = {}
    admitted: dict[str, Any] = {}
    refused_s: dict[str, float] = {}
    refusal_lines: dict[str, Any] = {}
    rack_waits: dict[tuple[str, int, int], Any] = {}
    worker_health: dict[str, Any] = {}
    queue_outcomes: dict[str, Any] = {}
    neighbours: Neighbours = msgspec.field(default_factory=Neighbours)
    apart: Apart = msgspec.field(default_factory=Apart)
    out: list[Any] = []


def emit(node: Node, effect: object) -> None:
    """
    Add an effect to the result of the event that is being reduced.

    :param node: the instance.
    :param effect: the effect.
    """
    node.out.append(effect)


def log_line(node: Node, action: str, **fields: Any) -> None:
    """
    Emit a line of the structured log.

    :param node: the instance.
    :param action: name of the event.
    :param fields: fields of the line.
    """
    node.out.append(effects.WriteLine(action, fields))
